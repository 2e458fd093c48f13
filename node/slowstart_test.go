package node

import (
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"
)

// Settings of a site whose servers have little capacity for 20 s after their start.
const (
	slowStartQuota       = 40.0
	slowStartMinCapacity = 0.05
	slowStartWindow      = 20 * time.Second
	overloadFactor       = 3.0
	overloadWindow       = time.Second
)

// slowStartSite configures the site.
func slowStartSite(c *Config) {
	c.Settings.Servers.SlowStartMinCapacity, c.Settings.Servers.SlowStartWindowMicros = slowStartMinCapacity,
		slowStartWindow.Microseconds()
	c.Settings.Servers.OverloadFactor, c.Settings.Servers.OverloadWindowMicros = overloadFactor,
		overloadWindow.Microseconds()
	c.Settings.Workload.ConnectionQuotas = []float64{slowStartQuota}
}

// slowStartLimit returns the maximum number of connections in a window for one of several servers at an age: the
// expected number n, plus the random variation of 3*sqrt(n)+3 that operators tolerate.
func slowStartLimit(servers int, age time.Duration) float64 {
	capacity := min(slowStartMinCapacity+(1-slowStartMinCapacity)*age.Seconds()/slowStartWindow.Seconds(), 1)
	expected := slowStartQuota / slowStartWindow.Seconds() * overloadFactor * overloadWindow.Seconds() /
		float64(servers) * capacity
	return expected + 3*math.Sqrt(expected) + 3
}

// clockOffsets are errors of the wall clock.
var clockOffsets = []time.Duration{0, 2 * time.Second, 30 * time.Second, time.Hour, -2 * time.Second,
	-30 * time.Second, -time.Hour}

// slowStartScenario runs a node with four servers, restarts the fourth one, and checks that this one gets no more
// connections than its slow-start limit. change alters the configuration of the node; before is called before the
// restart is listed.
type slowStartScenario struct {
	change       func(*Config)
	omitsDate    bool // responses of the discovery service have no Date header
	startIsKnown bool // the initial endpoint list has the restart already
	before       func(n *testNode)
}

func (s slowStartScenario) run(t *testing.T) {
	t.Helper()
	servers := []*testServer{newTestServer(t, "s-1"), newTestServer(t, "s-2"), newTestServer(t, "s-3"),
		newTestServer(t, "s-4")}
	var counts []*atomic.Int64
	entries := []string{}
	for _, srv := range servers {
		counts = append(counts, acceptAll(t, srv))
		entries = append(entries, srv.endpointJSON("up"))
	}
	discoveryServer := newFakeDiscovery(t, 0)
	discoveryServer.omitsDate = s.omitsDate
	cfg := testConfig(t, discoveryServer, servers...)
	slowStartSite(&cfg)
	startedAt := time.Now()
	if s.startIsKnown {
		cfg.InitialEndpoints.Servers[3].StartedAtMillis = startedAt.UnixMilli()
		entries[3] = servers[3].endpointJSONSince("up", startedAt)
	}
	if s.change != nil {
		s.change(&cfg)
	}
	n := runNode(t, cfg, discoveryServer)
	discoveryServer.sendList(2, true, entries...)
	n.waitFor("the list", func() bool { return n.counter("list_changes") == 1 })
	if s.before != nil {
		s.before(n)
	}
	if !s.startIsKnown {
		startedAt = time.Now()
	}
	discoveryServer.sendList(3, false, servers[3].endpointJSONSince("up", startedAt))
	n.waitFor("the restart", func() bool { return n.counter("list_changes") == 2 })
	for i := range 150 {
		client := n.open(fmt.Sprintf("k%d", i), "")
		client.readLine() // any answer
		client.Close()
	}
	received, windows := float64(counts[3].Load()), math.Ceil(time.Since(startedAt).Seconds()/overloadWindow.Seconds())
	if limit := slowStartLimit(len(servers), time.Since(startedAt)) * windows; received > limit {
		t.Errorf("the restarted server got %v of 150 requests, limit %.1f", received, limit)
	}
	if others := counts[0].Load() + counts[1].Load() + counts[2].Load(); others < 75 {
		t.Errorf("the other servers got %d of 150 requests, want at least 75", others)
	}
}

// Guards against a restarted server that is not in slow start because the wall clock was wrong when the node started.
func TestSlowStartWithWrongClockAtStart(t *testing.T) {
	for _, offset := range clockOffsets {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			change := func(c *Config) { c.TestOptions.ClockOffsetMS = offset.Milliseconds() }
			slowStartScenario{change: change}.run(t)
			slowStartScenario{change: change, omitsDate: true}.run(t)
			slowStartScenario{change: change, startIsKnown: true}.run(t) // the Date header reveals the wrong clock
		})
	}
}

// Guards against a restarted server that is not in slow start because the wall clock steps while the node runs, from or
// to the correct time.
func TestSlowStartWithClockSteps(t *testing.T) {
	for _, offset := range clockOffsets {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			for name, initialOffset := range map[string]time.Duration{"correct before step": 0,
				"correct after step": offset} {
				stepWallClock(t, initialOffset, offset-initialOffset)
				if t.Failed() {
					t.Fatal(name)
				}
			}
		})
	}
}

// stepWallClock runs a scenario in which the error of the wall clock changes.
func stepWallClock(t *testing.T, initialOffset, finalOffset time.Duration) {
	t.Helper()
	var clockOffset atomic.Int64 // the error of the wall clock
	clockOffset.Store(int64(initialOffset))
	slowStartScenario{omitsDate: true, change: func(c *Config) {
		c.TestOptions.WallClock = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	}, before: func(*testNode) { clockOffset.Store(int64(finalOffset)) }}.run(t)
}

// Guards against servers that were treated as past slow start by a clock that was ahead, and stay so after the clock is
// set back. The step back must put the servers of the initial list in slow start too.
func TestClockStepBackRestoresSlowStart(t *testing.T) {
	var clockOffset atomic.Int64
	clockOffset.Store(int64(time.Hour))
	slowStartScenario{omitsDate: true, startIsKnown: true, change: func(c *Config) {
		c.TestOptions.WallClock = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	}, before: func(*testNode) { clockOffset.Store(0) }}.run(t)
}

// Guards against a stopping process that uses the capacity of servers in slow start, which belongs to its successor by
// then.
func TestStoppingProcessAvoidsSlowStartServers(t *testing.T) {
	servers := []*testServer{newTestServer(t, "s-1"), newTestServer(t, "s-2")}
	n := startNode(t, func(c *Config) {
		slowStartSite(c)
		c.Settings.Servers.SlowStartMinCapacity = 1
		c.Settings.Workload.ConnectionQuotas = []float64{10_000}
		c.Settings.Limits.HealthChecksAllowed = false
		c.Timeouts.AcceptAfterStopMS, c.Timeouts.StopMS = 2000, 4000
		c.InitialEndpoints.Servers[1].StartedAtMillis = time.Now().Add(-10 * time.Second).UnixMilli()
	}, servers...)
	counts := []*atomic.Int64{acceptAll(t, servers[0]), acceptAll(t, servers[1])}
	request := func(i int) {
		client := n.open(fmt.Sprintf("k%d", i), "")
		client.readLine()
		client.Close()
	}
	requested := 0
	n.waitFor("a client at the server in slow start", func() bool {
		request(requested)
		requested++
		return counts[1].Load() > 0
	})
	n.stop()
	n.waitFor("the shutdown to begin", func() bool { return n.logs.FilterMessage("stopping").Len() > 0 })
	n.openRequests() // waits until the loop has handled the shutdown
	before := counts[1].Load()
	for range 40 {
		request(requested)
		requested++
	}
	if got := counts[1].Load() - before; got > 0 {
		t.Errorf("%d of 40 requests went to the server in slow start, want 0", got)
	}
}
