package node

import (
	"sync/atomic"
	"time"
)

// gaugeInterval is the interval at which gauges are updated.
const gaugeInterval = 200 * time.Millisecond

// gauges are figures of the loop's state that other goroutines read.
type gauges struct {
	knownServers    atomic.Int64 // in the endpoint list
	excludedServers atomic.Int64 // of those, draining or ejected: they get no new connection
}

func (l *loop) updateGauges() {
	l.gauges.knownServers.Store(int64(len(l.servers)))
	l.gauges.excludedServers.Store(int64(l.balancer.ExcludedServerCount(l.now())))
}

// loopCounters count the outcomes of requests and messages.
type loopCounters struct {
	opened   atomic.Int64 // connections of before that are established again
	served   atomic.Int64
	refused  atomic.Int64 // requests rejected with BUSY
	failed   atomic.Int64
	left     atomic.Int64 // clients that disconnected first
	moved    atomic.Int64 // clients migrated
	messages atomic.Int64
	late     atomic.Int64 // messages over a third of their latency objective
	dropped  atomic.Int64 // message times that were not measured
}
