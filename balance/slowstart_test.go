package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Rule 4: a reconnect surge must not exceed the warm-up limit of a server that has just started, with few
// nodes and with many.
func TestSlowStartKeepsWarmUpLimit(t *testing.T) {
	const connectionsPerSecond = 30.0 // usual rate of all nodes together
	for _, nodes := range []int{3, 200} {
		config := testConfig()
		config.NodeCount = nodes
		attemptsByWindow := map[time.Duration]int{}
		for seed := range nodes {
			n := newTestNode(config)
			config.NodeIndex = seed
			n.Balancer = New(config, uint64(seed)) // with the index and seed of this node
			n.handle(EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(1, 2, 3, 4)})
			for i := range 60 * int(connectionsPerSecond) / nodes { // one minute of usual traffic
				n.now += time.Duration(float64(nodes) * float64(time.Second) / connectionsPerSecond)
				id, s := n.establish("safe", fmt.Sprint(seed, "-", i))
				n.end(id, s)
			}
			simulateReconnectSurge(n, seed, attemptsByWindow)
		}
		// A server can take at least its usual rate of connections, and a fraction of that in slow start.
		for window, attempts := range attemptsByWindow {
			age := (float64(window) + 0.5) * config.OverloadWindow.Seconds() /
				config.SlowStartWindow.Seconds()
			capacityFraction := config.SlowStartMinCapacity + (1-config.SlowStartMinCapacity)*min(age, 1)
			limit := config.OverloadFactor * capacityFraction * connectionsPerSecond / 4 *
				config.OverloadWindow.Seconds()
			if float64(attempts) > limit+1 {
				t.Errorf("%d nodes, window %d: %d attempts in slow start, limit is %.1f", nodes, window,
					attempts, limit)
			}
		}
		if nodes == 3 && len(attemptsByWindow) == 0 { // with 200 nodes each share is below one attempt
			t.Error("no attempts on the server in slow start")
		}
	}
}

// simulateReconnectSurge starts server 4 and lets clients reconnect while it is in slow start. It counts the
// attempts of one node on that server by OverloadWindow.
func simulateReconnectSurge(n *testNode, seed int, attemptsByWindow map[time.Duration]int) {
	config, startedAt := n.config, n.now
	starting := Server{ID: 4, State: Ready, Weight: 1, StartedAt: startedAt}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	for i := range 12000 / config.NodeCount {
		n.now += config.SlowStartWindow * time.Duration(config.NodeCount) / 12000
		id := n.nextID
		n.nextID++
		r := Request{ID: id, Class: "safe", ClientKey: fmt.Sprint("w", seed, i), Timeout: time.Second,
			Reconnect: true}
		if sentTo(n.handle(r)) == 4 && n.now < startedAt+config.SlowStartWindow {
			attemptsByWindow[(n.now-startedAt)/config.OverloadWindow]++
		}
	}
}

// With hundreds of nodes, the share of each is one attempt in minutes on a server in slow start. Together
// they must make as many attempts as the server can take, neither none nor all at once.
func TestManyNodesKeepWarmUpLimit(t *testing.T) {
	const serverCapacity = 40.0 // in connections
	config := testConfig()
	config.ConnectionCapacity = 4 * serverCapacity
	for _, test := range []struct {
		nodes    int
		idleTime time.Duration // before the surge; unused attempts must not accumulate
	}{{2, 0}, {80, 0}, {400, 0}, {80, 3 * time.Second}, {400, 4 * time.Second}, {80, 5 * time.Second}} {
		count := test.nodes
		attemptsBySecond := make([]int, 8)
		for _, n := range newTestNodes(config, count, readyServers(1, 2, 3, 4)...) {
			simulateSteadyClients(n, test.idleTime, attemptsBySecond)
		}
		total := 0
		for second := range len(attemptsBySecond) - 1 {
			total += attemptsBySecond[second]
			capacityFraction := config.SlowStartMinCapacity +
				(1-config.SlowStartMinCapacity)*float64(second+1)/config.SlowStartWindow.Seconds()
			limit := config.OverloadFactor * capacityFraction * serverCapacity /
				config.SlowStartWindow.Seconds() * config.OverloadWindow.Seconds()
			if inWindow := attemptsBySecond[second] +
				attemptsBySecond[second+1]; float64(inWindow) > limit+1 {
				t.Errorf("%v, from second %d: %d attempts, limit is %.1f: %v", test, second, inWindow, limit,
					attemptsBySecond)
			}
		}
		if total < int(serverCapacity)/5 {
			t.Errorf("%d nodes made %d attempts in slow start on a server with capacity for %v", count,
				total, serverCapacity)
		}
	}
}

// simulateSteadyClients starts server 4 and, after idleTime, lets clients connect at a steady rate while it
// is in slow start. It counts the attempts of one node on that server by second.
func simulateSteadyClients(n *testNode, idleTime time.Duration, attemptsBySecond []int) {
	const step = 20 * time.Millisecond
	startedAt := time.Minute + time.Second
	n.now = startedAt
	starting := Server{ID: 4, State: Ready, Weight: 1, StartedAt: startedAt}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	for n.now += idleTime; n.now < startedAt+n.config.SlowStartWindow; n.now += step {
		id := n.nextID
		n.nextID++
		r := Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(id), Timeout: time.Second}
		if sentTo(n.handle(r)) == 4 {
			attemptsBySecond[(n.now-startedAt)/time.Second]++
		}
	}
}

// A node that has just restarted has no record of its previous attempts on servers in slow start, and must
// make none for an OverloadWindow.
func TestRestartedNodeBlocksSlowStartForAWindow(t *testing.T) {
	config := testConfig()
	config.ConnectionCapacity = 1e6
	n := newTestNodes(config, 1)[0]
	starting := Server{ID: 1, State: Ready, Weight: 1, StartedAt: n.now - 2*time.Second}
	n.handle(EndpointUpdate{Kind: ListCached, Servers: []Server{starting}})
	if s := n.servers[1]; s.start.blockedUntil != n.now+config.OverloadWindow {
		t.Errorf("start in the cached list: blocked for %v, want a full window", s.start.blockedUntil-n.now)
	}
	starting.ID = 2
	n.now += config.OverloadWindow / 2 // the previous process may have made attempts on it
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	if s := n.servers[2]; s.start.blockedUntil != n.now+config.OverloadWindow/2 {
		t.Errorf("start learned within the window: blocked for %v, want the rest of the window",
			s.start.blockedUntil-n.now)
	}
	starting.ID = 3
	n.now += config.OverloadWindow / 2
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	if s := n.servers[3]; s.start.blockedUntil > n.now {
		t.Errorf("start learned after the window: blocked for %v, want 0", s.start.blockedUntil-n.now)
	}
	if !slices.ContainsFunc(n.ready, func(s *server) bool { return s.ID == 2 }) {
		t.Error("server 2 is not ready")
	}
}

// noQuotas is a SlowStartQuotas without attempts, whose requests for more are never granted.
type noQuotas struct{ SlowStartQuotas }

func (noQuotas) Remaining(ServerID) int { return -1 }

func (noQuotas) RequestMore(ServerID) bool { return true }

// A request that waited for slow-start quotas without getting any must still check the load of a warm server
// before it is sent there.
func TestQuotaRequestsLeaveHealthCheckForWarmServer(t *testing.T) {
	n, starting, warm := newHealthCheckingNode(1, 2)
	n.config.SlowStartQuotas = noQuotas{}
	restarted := starting.Server
	restarted.StartedAt = n.now - time.Second
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{restarted}})
	actions := n.requestInGroup(1)
	for range maxHealthChecks {
		if len(starting.waitingRequests) > 0 {
			actions = n.handle(HealthCheckResult{Server: starting.ID, Outcome: OK}) // no quota is granted
		}
	}
	if target := sentTo(actions); target != 0 || !slices.Contains(actions, Action(HealthCheck{warm.ID})) {
		t.Fatalf("sent to server %d, want only a health check of the warm one: %v", target, actions)
	}
	if actions := n.handle(loadReport(warm, 1.1)); finalAnswer(actions) != "reject" {
		t.Errorf("warm server over capacity, want a rejection: %v", actions)
	}
}

// A node is killed and restarts within an OverloadWindow, with a cached list that is older than the start of
// a server. The unrecorded attempts of its previous processes must count towards the limit.
func TestRestartWithinWindowKeepsWarmUpLimit(t *testing.T) {
	config := testConfig()
	config.NodeCount, config.ConnectionCapacity = 1, 4000
	servers := readyServers(1, 2, 3, 4)
	now := time.Hour
	starting := servers[3]
	starting.StartedAt = now - time.Second
	attempts := 0
	for range 3 { // consecutive processes
		n := &testNode{Balancer: New(config, 7), now: now, nextID: 1}
		n.handle(EndpointUpdate{Kind: ListCached, Servers: servers})
		n.now += 50 * ms
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
		for i := range 1000 {
			if _, s := n.place("safe", fmt.Sprint(i)); s == 4 {
				attempts++
			}
		}
		now = n.now + 50*ms
	}
	age := now - starting.StartedAt
	limit := config.WarmServerAttemptLimit(len(servers)) * (config.SlowStartMinCapacity +
		(1-config.SlowStartMinCapacity)*age.Seconds()/config.SlowStartWindow.Seconds())
	if float64(attempts) > limit+1 {
		t.Errorf("%d attempts within a window, limit is %.1f", attempts, limit+1)
	}
}

// Slow start lasts until the server is certainly warm. Each row has the listed start relative to the time at
// which the node learned of it, and the time from then until the end of slow start.
func TestSlowStartEndsWhenServerIsCertainlyWarm(t *testing.T) {
	for _, test := range []struct{ uncertainty, listedAfterNotice, slowStart time.Duration }{
		{0, -2 * time.Second, 6 * time.Second},
		// The listed time is too late, because the server was running when it was listed.
		{33 * time.Second, 30 * time.Second, 8 * time.Second},
		{33 * time.Second, -20 * time.Second, 8 * time.Second}, // may be listed too early
		{3 * time.Second, -4 * time.Second, 7 * time.Second},
	} {
		config := testConfig()
		config.StartTimeUncertainty = test.uncertainty
		n := newTestNode(config, readyServers(1)...)
		starting := readyServers(2)[0]
		starting.StartedAt = n.now + test.listedAfterNotice
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
		n.now += test.slowStart - ms
		n.handle(TimerFired{Token: 99999})
		if !n.inSlowStart(n.ensureServer(2)) {
			t.Errorf("%+v: slow start ends too early", test)
		}
		n.now += ms
		n.handle(TimerFired{Token: 99999})
		if n.inSlowStart(n.ensureServer(2)) {
			t.Errorf("%+v: slow start lasts too long", test)
		}
	}
}

// A start that is listed too early must not raise the limit above the certain capacity of the server.
func TestWarmUpLimitUsesGuaranteedCapacity(t *testing.T) {
	for _, test := range []struct {
		uncertainty      time.Duration
		capacityFraction float64
	}{{0, 0.3 + 0.7*6/8}, {33 * time.Second, 0.3}} {
		config := testConfig()
		config.StartTimeUncertainty, config.ConnectionCapacity = test.uncertainty, 400
		n := newTestNode(config)
		n.now += config.OverloadWindow // ends the block on attempts after a restart
		starting := readyServers(2)[0]
		starting.StartedAt = n.now - 7*time.Second
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
		attempts := 0
		for s := ServerID(2); s == 2; attempts++ {
			_, s = n.place("safe", fmt.Sprint(attempts))
		}
		limit := config.ConnectionCapacity / config.SlowStartWindow.Seconds() * test.capacityFraction *
			config.OverloadFactor * config.OverloadWindow.Seconds()
		if float64(attempts-1) < limit-2 || float64(attempts-1) > limit+1 {
			t.Errorf("uncertainty %v: %d attempts at once, want %.1f", test.uncertainty, attempts-1, limit)
		}
	}
}

// Rule 4: whatever the times at which clients connect and nodes restart, all nodes together make at most one
// attempt more than the limit in any window.
func TestNoAdversaryExceedsWarmUpLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdversary(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a.now += rapid.SampledFrom([]time.Duration{0, 0, ms, 100 * ms, time.Second,
				a.config.OverloadWindow - ms, a.config.OverloadWindow}).Draw(t, "pause")
			if a.now >= a.startedAt+a.config.SlowStartWindow {
				break
			}
			a.step(t)
			if attempts, limit := a.attemptsInWindow(), a.attemptLimit(); float64(attempts) > limit+1+1e-6 {
				t.Fatalf("%v after the start: %d attempts in a window, limit is %.2f plus 1",
					a.now-a.startedAt, attempts, limit)
			}
		}
	})
}

// adversary chooses the events at the nodes of a deployment while one server is in slow start.
type adversary struct {
	config         Config
	nodes          []*testNode
	starting       []Server
	startedAt, now time.Duration
	attempts       []time.Duration // times of the attempts on the server
}

func newAdversary(t *rapid.T) *adversary {
	config := testConfig()
	config.NodeCount = rapid.IntRange(1, 40).Draw(t, "nodes")
	config.ConnectionCapacity = rapid.Float64Range(1, 2000).Draw(t, "connections")
	config.SlowStartMinCapacity = rapid.Float64Range(0.05, 1).Draw(t, "minimum capacity")
	config.OverloadFactor = rapid.Float64Range(1, 5).Draw(t, "overload factor")
	a := &adversary{config: config, startedAt: time.Minute, now: time.Minute}
	a.starting = []Server{{ID: ServerID(rapid.Uint64().Draw(t, "id")), State: Ready, StartedAt: a.startedAt}}
	a.nodes = make([]*testNode, config.NodeCount)
	for i := range a.nodes {
		a.restart(i, ListSnapshot)
	}
	return a
}

func (a *adversary) restart(index int, kind UpdateKind) {
	a.config.NodeIndex = index
	a.nodes[index] = &testNode{Balancer: New(a.config, uint64(a.now)), now: a.now, nextID: 1}
	a.nodes[index].handle(EndpointUpdate{Kind: kind, Servers: a.starting})
}

// step may restart a node, and lets clients connect to that node or to all nodes.
func (a *adversary) step(t *rapid.T) {
	index := rapid.IntRange(0, a.config.NodeCount-1).Draw(t, "node")
	if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		a.restart(index, ListCached)
	}
	selected := a.nodes[index : index+1]
	if rapid.Bool().Draw(t, "all") {
		selected = a.nodes
	}
	for _, n := range selected {
		n.now = a.now
		for range rapid.IntRange(1, 9).Draw(t, "clients") {
			if _, s := n.place("safe", fmt.Sprint(len(n.requests))); s != 0 {
				a.attempts = append(a.attempts, a.now)
			}
		}
	}
}

func (a *adversary) attemptsInWindow() (count int) {
	for _, at := range a.attempts {
		if at > a.now-a.config.OverloadWindow {
			count++
		}
	}
	return count
}

// attemptLimit returns the number of attempts that the server can take in the last window, given its age.
func (a *adversary) attemptLimit() float64 {
	config := a.config
	age := float64(a.now-a.startedAt-config.OverloadWindow/2) / float64(config.SlowStartWindow)
	capacityFraction := config.SlowStartMinCapacity + (1-config.SlowStartMinCapacity)*max(age, 0)
	return config.OverloadFactor * capacityFraction * config.ConnectionCapacity /
		config.SlowStartWindow.Seconds() * config.OverloadWindow.Seconds()
}
