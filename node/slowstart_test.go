package node

import (
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"
)

// coldSite is a site of four servers that are in slow start for 20 s, in which they bear little.
const (
	slowStartQuota       = 40.0
	slowStartMinCapacity = 0.05
	slowStartWindow      = 20 * time.Second
	overloadFactor       = 3.0
	overloadWindow       = time.Second
)

func slowStartSite(c *Config) {
	c.Settings.Servers.SlowStartMinCapacity, c.Settings.Servers.SlowStartWindowMicros = slowStartMinCapacity,
		slowStartWindow.Microseconds()
	c.Settings.Servers.OverloadFactor, c.Settings.Servers.OverloadWindowMicros = overloadFactor,
		overloadWindow.Microseconds()
	c.Settings.Workload.ConnectionQuotas = []float64{slowStartQuota}
}

// slowStartLimit is the most that one of servers may get in a window at an age: N, and what the operators let come by
// chance beside it.
func slowStartLimit(servers int, age time.Duration) float64 {
	share := min(slowStartMinCapacity+(1-slowStartMinCapacity)*age.Seconds()/slowStartWindow.Seconds(), 1)
	n := slowStartQuota / slowStartWindow.Seconds() * overloadFactor * overloadWindow.Seconds() /
		float64(servers) * share
	return n + 3*math.Sqrt(n) + 3
}

// clockSteps are by how much a machine's wall clock may be off.
var clockSteps = []time.Duration{0, 2 * time.Second, 30 * time.Second, time.Hour, -2 * time.Second,
	-30 * time.Second, -time.Hour}

// slowStartScenario plays a node with four servers, of which the fourth starts anew, and checks that this one gets no
// more than it bears. Before that, at says what happens; the node's configuration is changed first.
type slowStartScenario struct {
	change    func(*Config)
	omitsDate bool // the list service tells no Date
	known     bool // the start stands in the list that the node begins with
	before    func(n *testNode)
}

func (s slowStartScenario) run(t *testing.T) {
	t.Helper()
	hosts := []*testServer{newTestServer(t, "s-1"), newTestServer(t, "s-2"), newTestServer(t, "s-3"),
		newTestServer(t, "s-4")}
	var counts []*atomic.Int64
	all := []string{}
	for _, h := range hosts {
		counts = append(counts, acceptAll(t, h))
		all = append(all, h.endpointJSON("up"))
	}
	list := newFakeDiscovery(t, 0)
	list.omitsDate = s.omitsDate
	cfg := testConfig(t, list, hosts...)
	slowStartSite(&cfg)
	begun := time.Now()
	if s.known {
		cfg.InitialEndpoints.Servers[3].StartedAtMillis = begun.UnixMilli()
		all[3] = hosts[3].endpointJSONSince("up", begun)
	}
	if s.change != nil {
		s.change(&cfg)
	}
	n := runNode(t, cfg, list)
	list.sendList(2, true, all...)
	n.waitFor("the list", func() bool { return n.counter("list_changes") == 1 })
	if s.before != nil {
		s.before(n)
	}
	if !s.known {
		begun = time.Now()
	}
	list.sendList(3, false, hosts[3].endpointJSONSince("up", begun))
	n.waitFor("the new start", func() bool { return n.counter("list_changes") == 2 })
	for i := range 150 {
		client := n.open(fmt.Sprintf("k%d", i), "")
		client.readLine() // whatever the answer is
		client.Close()
	}
	got, windows := float64(counts[3].Load()), math.Ceil(time.Since(begun).Seconds()/overloadWindow.Seconds())
	if limit := slowStartLimit(len(hosts), time.Since(begun)) * windows; got > limit {
		t.Errorf("the server that has just started got %v of 150 requests, %.1f is the most", got, limit)
	}
	if others := counts[0].Load() + counts[1].Load() + counts[2].Load(); others < 75 {
		t.Errorf("the others got %d of 150 requests", others)
	}
}

// A server that starts anew while a node runs is in slow start for it, however wrong the wall clock was when the node
// began.
func TestAServerInSlowStartIsSparedWhateverTheWallClockSaidAtTheStart(t *testing.T) {
	for _, off := range clockSteps {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			change := func(c *Config) { c.TestOptions.ClockOffsetMS = off.Milliseconds() }
			slowStartScenario{change: change}.run(t)
			slowStartScenario{change: change, omitsDate: true}.run(t)
			slowStartScenario{change: change, known: true}.run(t) // the Date of the list's answer is what tells
		})
	}
}

// Steps of the wall clock while a node runs change nothing, whichever reading was the right one.
func TestAServerInSlowStartIsSparedWhateverTheWallClockDoesMeanwhile(t *testing.T) {
	for _, off := range clockSteps {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			for name, first := range map[string]time.Duration{"right before": 0, "right since": off} {
				stepWallClock(t, first, off-first)
				if t.Failed() {
					t.Fatal(name)
				}
			}
		})
	}
}

// stepWallClock runs a scenario in which the wall clock is off by one time at first, and by another in the end.
func stepWallClock(t *testing.T, first, last time.Duration) {
	t.Helper()
	var wall atomic.Int64 // by how much it is off
	wall.Store(int64(first))
	slowStartScenario{omitsDate: true, change: func(c *Config) {
		c.TestOptions.WallClock = func() time.Time { return time.Now().Add(time.Duration(wall.Load())) }
	}, before: func(*testNode) { wall.Store(int64(last)) }}.run(t)
}

// A clock that was ahead when the node began, and is set right later, is evidence about the servers that were known
// before, too.
func TestAStepBackTellsOfServersThatWereTakenForWarm(t *testing.T) {
	var wall atomic.Int64
	wall.Store(int64(time.Hour))
	slowStartScenario{omitsDate: true, known: true, change: func(c *Config) {
		c.TestOptions.WallClock = func() time.Time { return time.Now().Add(time.Duration(wall.Load())) }
	}, before: func(*testNode) { wall.Store(0) }}.run(t)
}

// A process that is told to stop leaves servers in slow start to the next one, which may run already.
func TestAProcessThatStopsSendsNothingToServersInSlowStart(t *testing.T) {
	hosts := []*testServer{newTestServer(t, "s-1"), newTestServer(t, "s-2")}
	n := startNode(t, func(c *Config) {
		slowStartSite(c)
		c.Settings.Servers.SlowStartMinCapacity = 1
		c.Settings.Workload.ConnectionQuotas = []float64{10_000}
		c.Settings.Limits.HealthChecksAllowed = false
		c.Timeouts.AcceptAfterStopMS, c.Timeouts.StopMS = 2000, 4000
		c.InitialEndpoints.Servers[1].StartedAtMillis = time.Now().Add(-10 * time.Second).UnixMilli()
	}, hosts...)
	counts := []*atomic.Int64{acceptAll(t, hosts[0]), acceptAll(t, hosts[1])}
	ask := func(i int) {
		client := n.open(fmt.Sprintf("k%d", i), "")
		client.readLine()
		client.Close()
	}
	asked := 0
	n.waitFor("a client at the server in slow start", func() bool {
		ask(asked)
		asked++
		return counts[1].Load() > 0
	})
	n.stop()
	n.waitFor("the stop", func() bool { return n.logs.FilterMessage("stopping").Len() > 0 })
	n.openRequests() // the loop has been told
	before := counts[1].Load()
	for range 40 {
		ask(asked)
		asked++
	}
	if got := counts[1].Load() - before; got > 0 {
		t.Errorf("%d of 40 went to the server in slow start", got)
	}
}
