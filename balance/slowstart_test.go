package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Rule 4: a reconnect surge meets a server that just started, at few nodes and at many.
func TestSlowStartKeepsWarmUpLimit(t *testing.T) {
	const perSecond = 30.0 // usual connections of all nodes together
	for _, nodes := range []int{3, 200} {
		config := testConfig()
		config.NodeCount = nodes
		sent := map[time.Duration]int{}
		for seed := range nodes {
			n := newTestNode(config)
			config.NodeIndex = seed
			n.Balancer = New(config, uint64(seed)) // each node has its own
			n.handle(EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(1, 2, 3, 4)})
			for i := range 60 * int(perSecond) / nodes { // a minute of usual traffic
				n.now += time.Duration(float64(nodes) * float64(time.Second) / perSecond)
				id, s := n.establish("safe", fmt.Sprint(seed, "-", i))
				n.end(id, s)
			}
			surgeOnStartingServer(n, seed, sent)
		}
		// A server can do at least what it usually gets from all nodes; in slow start, a fraction of that.
		for window, count := range sent {
			age := (float64(window) + 0.5) * config.OverloadWindow.Seconds() /
				config.SlowStartWindow.Seconds()
			fraction := config.SlowStartMinCapacity + (1-config.SlowStartMinCapacity)*min(age, 1)
			bound := config.OverloadFactor * fraction * perSecond / 4 * config.OverloadWindow.Seconds()
			if float64(count) > bound+1 {
				t.Errorf("%d nodes, window %d: %d connections in slow start, over %.1f", nodes, window, count,
					bound)
			}
		}
		if nodes == 3 && len(sent) == 0 { // at many nodes no part of the limit comes to a connection
			t.Error("the server in slow start got no connection until it was warm")
		}
	}
}

// surgeOnStartingServer has server 4 start and clients reconnect as long as it is in slow start. It counts by
// window what one node sends the server.
func surgeOnStartingServer(n *testNode, seed int, sent map[time.Duration]int) {
	config, up := n.config, n.now
	started := Server{ID: 4, State: Ready, Weight: 1, StartedAt: up}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{started}})
	for i := range 12000 / config.NodeCount {
		n.now += config.SlowStartWindow * time.Duration(config.NodeCount) / 12000
		id := n.next
		n.next++
		r := Request{ID: id, Class: "safe", ClientKey: fmt.Sprint("w", seed, i), Timeout: time.Second,
			Reconnect: true}
		if sentTo(n.handle(r)) == 4 && n.now < up+config.SlowStartWindow {
			sent[(n.now-up)/config.OverloadWindow]++
		}
	}
}

// Each of hundreds of nodes sends a server in slow start a connection in minutes. Together they must send it
// what it can take, neither nothing nor all at once.
func TestManyNodesKeepWarmUpLimit(t *testing.T) {
	const each = 40.0 // connections fill a server
	config := testConfig()
	config.ConnectionCapacity = 4 * each
	for _, c := range []struct {
		nodes int
		quiet time.Duration // before the surge, in which unused attempts could add up
	}{{2, 0}, {80, 0}, {400, 0}, {80, 3 * time.Second}, {400, 4 * time.Second}, {80, 5 * time.Second}} {
		count := c.nodes
		sent := make([]int, 8)
		for _, n := range fleet(config, count, readyServers(1, 2, 3, 4)...) {
			lastingSurge(n, c.quiet, sent)
		}
		total := 0
		for second := range len(sent) - 1 {
			total += sent[second]
			fraction := config.SlowStartMinCapacity +
				(1-config.SlowStartMinCapacity)*float64(second+1)/config.SlowStartWindow.Seconds()
			limit := config.OverloadFactor * fraction * each / config.SlowStartWindow.Seconds() *
				config.OverloadWindow.Seconds()
			if in := sent[second] + sent[second+1]; float64(in) > limit+1 {
				t.Errorf("%v, from second %d: %d connections, over %.1f: %v", c, second, in, limit, sent)
			}
		}
		if total < int(each)/5 {
			t.Errorf("%d nodes sent %d connections in slow start, of %v that fill it", count,
				total, each)
		}
	}
}

// lastingSurge has server 4 start, and after a quiet time clients come as long as it is in slow start. It
// counts by second what one node sends the server.
func lastingSurge(n *testNode, quiet time.Duration, sent []int) {
	const step = 20 * time.Millisecond
	up := time.Minute + time.Second
	n.now = up
	started := Server{ID: 4, State: Ready, Weight: 1, StartedAt: up}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{started}})
	for n.now += quiet; n.now < up+n.config.SlowStartWindow; n.now += step {
		id := n.next
		n.next++
		r := Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(id), Timeout: time.Second}
		if sentTo(n.handle(r)) == 4 {
			sent[(n.now-up)/time.Second]++
		}
	}
}

// A node that has just restarted does not know which attempts it made before on servers in slow start.
func TestRestartedNodeBlocksSlowStartForAWindow(t *testing.T) {
	config := testConfig()
	config.ConnectionCapacity = 1e6
	n := fleet(config, 1)[0]
	starting := Server{ID: 1, State: Ready, Weight: 1, StartedAt: n.now - 2*time.Second}
	n.handle(EndpointUpdate{Kind: ListCached, Servers: []Server{starting}})
	if s := n.servers[1]; s.start.blockedUntil != n.now+config.OverloadWindow {
		t.Errorf("blocked for %v, not for a window", s.start.blockedUntil-n.now)
	}
	starting.ID = 2
	n.now += config.OverloadWindow / 2 // the process before may have known of it
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	if s := n.servers[2]; s.start.blockedUntil != n.now+config.OverloadWindow/2 {
		t.Errorf("with early news of a start blocked for %v, not for the rest of the window",
			s.start.blockedUntil-n.now)
	}
	starting.ID = 3
	n.now += config.OverloadWindow / 2
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	if s := n.servers[3]; s.start.blockedUntil > n.now {
		t.Errorf("with later news of a start it is blocked for %v", s.start.blockedUntil-n.now)
	}
	if !slices.ContainsFunc(n.ready, func(s *server) bool { return s.ID == 2 }) {
		t.Error("not ready")
	}
}

// noQuotas has none, and the other nodes never give any.
type noQuotas struct{ SlowStartQuotas }

func (noQuotas) Remaining(ServerID) int { return -1 }

func (noQuotas) RequestMore(ServerID) bool { return true }

// A request that waited for slow-start quotas in vain must still check the load of a warm server before it
// goes there.
func TestQuotaRequestsLeaveAHealthCheckForAWarmServer(t *testing.T) {
	n, starting, warm := newCheckingNode(1, 2)
	n.config.SlowStartQuotas = noQuotas{}
	e := starting.Server
	e.StartedAt = n.now - time.Second
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{e}})
	acts := n.requestInGroup(1)
	for range maxHealthChecks {
		if len(starting.waiting) > 0 {
			acts = n.handle(HealthCheckResult{Server: starting.ID, Outcome: OK}) // no quota is granted
		}
	}
	if to := sentTo(acts); to != 0 || !slices.Contains(acts, Action(HealthCheck{warm.ID})) {
		t.Fatalf("sent to %d without a question: %v", to, acts)
	}
	if acts := n.handle(loadReport(warm, 1.1)); answer(acts) != "reject" {
		t.Errorf("the warm one is full: %v", acts)
	}
}

// A node is killed and restarts within a window, from a list that is older than the start of a server:
// attempts of the process before count, though nothing is known of them.
func TestRestartWithinWindowKeepsWarmUpLimit(t *testing.T) {
	config := testConfig()
	config.NodeCount, config.ConnectionCapacity = 1, 4000
	servers := readyServers(1, 2, 3, 4)
	now := time.Hour
	started := servers[3]
	started.StartedAt = now - time.Second
	sent := 0
	for range 3 { // three processes, one after the other
		n := &testNode{Balancer: New(config, 7), now: now, next: 1}
		n.handle(EndpointUpdate{Kind: ListCached, Servers: servers})
		n.now += 50 * ms
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{started}})
		for i := range 1000 {
			if _, s := n.place("safe", fmt.Sprint(i)); s == 4 {
				sent++
			}
		}
		now = n.now + 50*ms
	}
	age := now - started.StartedAt
	whole := config.WarmServerAttemptLimit(len(servers)) * (config.SlowStartMinCapacity +
		(1-config.SlowStartMinCapacity)*age.Seconds()/config.SlowStartWindow.Seconds())
	if float64(sent) > whole+1 {
		t.Errorf("%d sent within a window, %.1f is the most", sent, whole+1)
	}
}

// Each row has the listed start relative to the news of it, and how long slow start lasts from then on.
func TestSlowStartEndsOnceServerIsSurelyWarm(t *testing.T) {
	for _, c := range []struct{ err, listed, slowStart time.Duration }{
		{0, -2 * time.Second, 6 * time.Second},
		// listed too late: it was there when it was listed
		{33 * time.Second, 30 * time.Second, 8 * time.Second},
		{33 * time.Second, -20 * time.Second, 8 * time.Second}, // perhaps listed too early
		{3 * time.Second, -4 * time.Second, 7 * time.Second},
	} {
		config := testConfig()
		config.StartTimeUncertainty = c.err
		n := newTestNode(config, readyServers(1)...)
		two := readyServers(2)[0]
		two.StartedAt = n.now + c.listed
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{two}})
		n.now += c.slowStart - ms
		n.handle(TimerFired{Token: 99999})
		if !n.inSlowStart(n.ensureServer(2)) {
			t.Errorf("%+v: slow start ends too early", c)
		}
		n.now += ms
		n.handle(TimerFired{Token: 99999})
		if n.inSlowStart(n.ensureServer(2)) {
			t.Errorf("%+v: slow start lasts too long", c)
		}
	}
}

// A start that is listed too early must not raise the limit over what the server surely bears.
func TestWarmUpLimitUsesSureCapacity(t *testing.T) {
	for _, c := range []struct {
		err      time.Duration
		fraction float64
	}{{0, 0.3 + 0.7*6/8}, {33 * time.Second, 0.3}} {
		config := testConfig()
		config.StartTimeUncertainty, config.ConnectionCapacity = c.err, 400
		n := newTestNode(config)
		n.now += config.OverloadWindow // attempts of a process before this one are past
		only := readyServers(2)[0]
		only.StartedAt = n.now - 7*time.Second
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{only}})
		got := 0
		for s := ServerID(2); s == 2; got++ {
			_, s = n.place("safe", fmt.Sprint(got))
		}
		limit := config.ConnectionCapacity / config.SlowStartWindow.Seconds() * c.fraction *
			config.OverloadFactor *
			config.OverloadWindow.Seconds()
		if float64(got-1) < limit-2 || float64(got-1) > limit+1 {
			t.Errorf("error %v: %d at once, not %.1f", c.err, got-1, limit)
		}
	}
}

// Rule 4 against an adversary who chooses when which node has how many clients, restarts or is upgraded: in
// no window do all nodes together make more attempts than the limit and one.
func TestNoAdversaryExceedsWarmUpLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdversary(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a.now += rapid.SampledFrom([]time.Duration{0, 0, ms, 100 * ms, time.Second,
				a.config.OverloadWindow - ms, a.config.OverloadWindow}).Draw(t, "pause")
			if a.now >= a.up+a.config.SlowStartWindow {
				break
			}
			a.step(t)
			if in, limit := a.inWindow(), a.limit(); float64(in) > limit+1+1e-6 {
				t.Fatalf("%v after its start %d in a window, %.2f and one are the bound", a.now-a.up, in,
					limit)
			}
		}
	})
}

// adversary chooses what the nodes of a deployment do while one server is in slow start.
type adversary struct {
	config   Config
	nodes    []*testNode
	starting []Server
	up, now  time.Duration
	sent     []time.Duration // attempts on the server
}

func newAdversary(t *rapid.T) *adversary {
	config := testConfig()
	config.NodeCount = rapid.IntRange(1, 40).Draw(t, "nodes")
	config.ConnectionCapacity = rapid.Float64Range(1, 2000).Draw(t, "connections")
	config.SlowStartMinCapacity = rapid.Float64Range(0.05, 1).Draw(t, "from")
	config.OverloadFactor = rapid.Float64Range(1, 5).Draw(t, "multiple")
	a := &adversary{config: config, up: time.Minute, now: time.Minute}
	a.starting = []Server{{ID: ServerID(rapid.Uint64().Draw(t, "id")), State: Ready, StartedAt: a.up}}
	a.nodes = make([]*testNode, config.NodeCount)
	for i := range a.nodes {
		a.restart(i, ListSnapshot)
	}
	return a
}

func (a *adversary) restart(i int, kind UpdateKind) {
	a.config.NodeIndex = i
	a.nodes[i] = &testNode{Balancer: New(a.config, uint64(a.now)), now: a.now, next: 1}
	a.nodes[i].handle(EndpointUpdate{Kind: kind, Servers: a.starting})
}

// step may restart a node, and has clients come to it or to all.
func (a *adversary) step(t *rapid.T) {
	i := rapid.IntRange(0, a.config.NodeCount-1).Draw(t, "node")
	if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		a.restart(i, ListCached)
	}
	some := a.nodes[i : i+1]
	if rapid.Bool().Draw(t, "all") {
		some = a.nodes
	}
	for _, n := range some {
		n.now = a.now
		for range rapid.IntRange(1, 9).Draw(t, "clients") {
			if _, s := n.place("safe", fmt.Sprint(len(n.requests))); s != 0 {
				a.sent = append(a.sent, a.now)
			}
		}
	}
}

func (a *adversary) inWindow() (count int) {
	for _, at := range a.sent {
		if at > a.now-a.config.OverloadWindow {
			count++
		}
	}
	return count
}

// limit is what the server bears in the last window, by its age.
func (a *adversary) limit() float64 {
	c := a.config
	age := float64(a.now-a.up-c.OverloadWindow/2) / float64(c.SlowStartWindow)
	fraction := c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*max(age, 0)
	return c.OverloadFactor * fraction * c.ConnectionCapacity / c.SlowStartWindow.Seconds() *
		c.OverloadWindow.Seconds()
}
