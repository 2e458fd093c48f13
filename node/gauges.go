package node

import (
	"sync/atomic"
	"time"
)

// gaugeInterval is the interval at which gauges are updated.
const gaugeInterval = 200 * time.Millisecond

// gauges expose the loop's state to other goroutines.
type gauges struct {
	knownServers    atomic.Int64 // servers in the endpoint list
	excludedServers atomic.Int64 // of those, draining or ejected ones, which get no new connections
}

func (l *loop) updateGauges() {
	l.gauges.knownServers.Store(int64(len(l.servers)))
	l.gauges.excludedServers.Store(int64(l.balancer.ExcludedServerCount(l.now())))
}

// loopCounters count requests and messages by outcome.
type loopCounters struct {
	reconnects          atomic.Int64 // requests of clients that reconnect to their former server
	listWaits           atomic.Int64 // requests that waited for a newer endpoint list
	served              atomic.Int64
	rejected            atomic.Int64 // requests rejected with BUSY
	failed              atomic.Int64
	disconnected        atomic.Int64 // clients that left before their answer
	migrated            atomic.Int64 // clients told to connect anew
	messages            atomic.Int64
	lateMessages        atomic.Int64 // messages slower than a third of the latency objective
	droppedMessageTimes atomic.Int64 // discarded because the event queue was full
}
