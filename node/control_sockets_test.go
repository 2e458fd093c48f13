package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"brassmux/internal/control"
)

// pollInterval is the interval at which the test repeats an action.
const pollInterval = 5 * time.Millisecond

// units are the times at which all nodes used units of a quota.
type units []time.Duration

// countBetween counts the units that were used between two times.
func (u units) countBetween(from, to time.Duration) (count int) {
	for _, at := range u {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// peak returns the largest number of units in any second.
func (u units) peak() (peak int) {
	for _, at := range u {
		peak = max(peak, u.countBetween(at, at+time.Second))
	}
	return peak
}

// counterValue returns a counter by its name, or 0 if there is none.
func counterValue(n *Node, name string) int64 {
	for _, field := range n.Counters() {
		if field.Key == name {
			return field.Integer
		}
	}
	return 0
}

// maxLateness limits how late the goroutine of the test may run. Beyond that, units are counted too late and appear in
// the wrong window.
const maxLateness = 200 * time.Millisecond

// Guards against wrong division of a quota among four nodes and two control machines over real sockets. A single node
// with demand must get more than half of the limit, also after its control machine has failed and after a reload, and
// all nodes together must never use more than the limit.
func TestControlMachinesOverSockets(t *testing.T) {
	for range 8 { // a run on an overloaded machine proves nothing
		lateness := runSocketFleet(t)
		if lateness < maxLateness {
			return
		}
		t.Logf("run ignored: goroutine late by %v", lateness)
	}
	t.Fatal("the goroutine was late in all eight runs")
}

// The size of the fleet, and its limit of units per second.
const (
	fleetNodes    = 4
	fleetMachines = 2
	fleetLimit    = 60
)

// socketFleet is a set of nodes below control machines that communicate over sockets.
type socketFleet struct {
	t               *testing.T
	discoveryServer *fakeDiscovery
	nodes           []*Node
	machines        []*Node
	childAddrs      []string // the addresses of the control machines for children
	startedAt       time.Time
	lateness        time.Duration // the largest delay of the goroutine of the test

	mu   sync.Mutex
	used units
}

// newSocketFleet starts all processes. It connects the control machines once all of them have their addresses.
func newSocketFleet(t *testing.T) *socketFleet {
	f := &socketFleet{t: t, discoveryServer: &fakeDiscovery{addr: "127.0.0.1:1"}}
	var peerAddrs []string
	for i := range fleetMachines {
		n := f.newNode(0, Peers{Listen: "127.0.0.1:0", NodeAddrs: []string{"127.0.0.1:1", "127.0.0.1:2"},
			ChildListen: "127.0.0.1:0", ControlIndex: i})
		f.machines = append(f.machines, n)
		peerAddrs = append(peerAddrs, n.loop.control.Addr().String())
		f.childAddrs = append(f.childAddrs, n.loop.control.ChildAddr().String())
	}
	for _, n := range f.machines {
		if err := n.loop.control.SetPeers(peerAddrs); err != nil {
			t.Fatal(err)
		}
		f.serve(n)
	}
	for i := range fleetNodes {
		n := f.newNode(i, Peers{Listen: "127.0.0.1:0", ControlAddrs: []string{f.childAddrs[i%2], f.childAddrs[1-i%2]}})
		f.nodes = append(f.nodes, n)
		f.serve(n)
	}
	f.startedAt = time.Now()
	return f
}

// newNode returns a node with these peers that does not run yet.
func (f *socketFleet) newNode(index int, peers Peers) *Node {
	cfg := testConfig(f.t, f.discoveryServer)
	cfg.Settings.NodeCount, cfg.Settings.NodeIndex = fleetNodes, index
	cfg.Settings.Limits.GossipAllowed, cfg.Settings.Workload.ConnectionQuotas = true, []float64{100}
	cfg.Peers = peers
	cfg.Budgets = Budgets{Leased: true, GuaranteedShare: 0.5, RetriesPerSecond: fleetLimit, HeartbeatMS: 40,
		ChildLeaseTermMS: 100, LeaseTermMS: 200}
	n, err := New(cfg, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return n
}

// serve runs a node until the test ends.
func (f *socketFleet) serve(n *Node) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	f.t.Cleanup(func() {
		stop()
		<-done
	})
}

// acquireRetry makes a node acquire a unit of the quota of retries, and records when it is granted.
func (f *socketFleet) acquireRetry(n *Node) {
	loop := n.loop
	loop.post(func() {
		loop.control.Acquire(control.Retries, 0, quotaWait, func(ok bool) {
			if ok {
				f.mu.Lock()
				f.used = append(f.used, time.Since(f.startedAt))
				f.mu.Unlock()
			}
		})
		loop.control.SendRequests()
	})
}

// pollUntil repeats an action until isDone returns true, and records how late its goroutine runs.
func (f *socketFleet) pollUntil(description string, action func(), isDone func() bool) {
	f.t.Helper()
	last := time.Now()
	for deadline := last.Add(2 * testTimeout); !isDone(); {
		time.Sleep(pollInterval)
		now := time.Now()
		f.lateness, last = max(f.lateness, now.Sub(last)-pollInterval), now
		if now.After(deadline) {
			f.t.Fatalf("timeout waiting for %s: %d units, goroutine late by %v, %v", description, len(f.used),
				f.lateness, f.machines[0].Counters())
		}
		action()
	}
}

// hasHalf returns a condition: at least half of the limit was used in the last second, which began after from.
func (f *socketFleet) hasHalf(from time.Duration) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := time.Since(f.startedAt)
		return now >= from+time.Second && f.used.countBetween(now-time.Second, now) >= fleetLimit/2
	}
}

// leader returns the control machine that the first node follows, as an index into its ControlAddrs.
func (f *socketFleet) leader() int {
	leader := make(chan int, 1)
	f.nodes[0].loop.post(func() { leader <- f.nodes[0].loop.control.State().Leader })
	return <-leader
}

// runSocketFleet runs the test once, and returns how late its goroutine was.
func runSocketFleet(t *testing.T) (lateness time.Duration) {
	f := newSocketFleet(t)
	first := f.nodes[0]
	f.pollUntil("half of the limit for one node", func() { f.acquireRetry(first) }, f.hasHalf(0))
	f.pollUntil("half of the limit for all nodes", func() {
		for _, n := range f.nodes {
			f.acquireRetry(n)
		}
	}, f.hasHalf(time.Since(f.startedAt)))
	f.machines[0].cancel() // like a crash, without notice to the other processes
	diedAt := time.Since(f.startedAt)
	f.pollUntil("half of the limit after a crash", func() { f.acquireRetry(first) }, f.hasHalf(diedAt))
	if leader := f.leader(); leader != 1 {
		t.Errorf("node 0 follows control machine %d after the crash of 0, want 1", leader)
	}
	cfg := first.cfg
	cfg.Peers.ControlAddrs = f.childAddrs[1:]
	if err := first.Reload(cfg); err != nil { // like SIGHUP
		t.Fatal(err)
	}
	f.pollUntil("the control machine of the reload", func() {}, func() bool { return f.leader() == 0 })
	f.pollUntil("half of the limit after a reload", func() { f.acquireRetry(first) },
		f.hasHalf(time.Since(f.startedAt)))
	f.check()
	return f.lateness
}

// check compares the used units with the limit.
func (f *socketFleet) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.used.peak(); n > fleetLimit && f.lateness < maxLateness {
		f.t.Errorf("%d units in a second, limit %d", n, fleetLimit)
	}
	passed := int64(0)
	for _, n := range f.machines {
		passed += counterValue(n, "budget_passed")
	}
	if passed == 0 {
		f.t.Error("no unit came through a control machine")
	}
	f.t.Logf("%d units, %d of them through control machines, goroutine late by %v", len(f.used), passed, f.lateness)
}
