package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestServerMissingFromSnapshotIsRemoved(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	n.handle(EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(2)})
	for i := range 20 {
		if _, s := n.place("safe", fmt.Sprint(i)); s == 1 {
			t.Fatal("a request was placed on a removed server")
		}
	}
}

// After a rolling restart all nodes request the list at once. Those whose call failed must not retry at the
// same time.
func TestFailedWatchesAreRetriedWithJitter(t *testing.T) {
	const nodes = 200
	callsPerInterval := map[time.Duration]int{}
	for seed := range nodes {
		config := testConfig()
		config.EndpointsPushed = false
		b := New(config, uint64(seed))
		b.Handle(0, EndpointUpdate{Kind: ListCached})
		for _, a := range b.Handle(0, EndpointUpdate{Kind: WatchFailed}) {
			if timer, ok := a.(SetTimer); ok {
				callsPerInterval[timer.After/(10*ms)]++
			}
		}
	}
	for at, count := range callsPerInterval {
		if count > nodes/8 {
			t.Errorf("%d of %d nodes retry within the same 10 ms, %v later", count, nodes, at*10*ms)
		}
	}
	if len(callsPerInterval) == 0 {
		t.Error("no node retries")
	}
}

func TestFailedWatchesBackOff(t *testing.T) {
	config := testConfig()
	config.EndpointsPushed = false
	n := &testNode{Balancer: New(config, 1)}
	if !slices.Contains(n.handle(EndpointUpdate{Kind: ListCached}),
		Action(SetTimer{0, timerWatchEndpoints})) {
		t.Fatal("a single node does not request the list immediately")
	}
	firstPause := time.Duration(0)
	for i := range 8 {
		actions := n.handle(EndpointUpdate{Kind: WatchFailed})
		timer, ok := actions[0].(SetTimer)
		if !ok || timer.After <= 0 || timer.After > maxWatchBackoff*3/2 {
			t.Fatalf("after failure %d: %v", i, actions)
		}
		if i == 3 && timer.After < firstPause {
			t.Errorf("pause decreased from %v to %v", firstPause, timer.After)
		}
		if i == 0 {
			firstPause = timer.After
		}
		if !slices.Contains(n.handle(TimerFired{Token: timer.Token}), Action(WatchEndpoints{})) {
			t.Fatal("timer does not cause a watch request")
		}
	}
}

// The list is requested soon if changes are pushed, or if a watch broke that had delivered data. Other
// requests are spread over time, so that the discovery service can keep up.
func TestWatchDelayByUpdateKind(t *testing.T) {
	for _, test := range []struct {
		pushed   bool
		kind     UpdateKind
		minDelay time.Duration
		maxDelay time.Duration
	}{
		{true, WatchFailed, 0, 300 * ms}, {true, WatchBroken, 0, 300 * ms}, {false, WatchBroken, 0, 300 * ms},
		{false, WatchFailed, 1150 * ms, 3450 * ms},
	} {
		config := testConfig()
		config.NodeCount, config.EndpointsPushed = 300, test.pushed
		n := newTestNode(config, readyServers(1)...)
		for range 20 {
			actions := n.handle(EndpointUpdate{Kind: test.kind})
			if timer := actions[0].(SetTimer); timer.After < test.minDelay || timer.After > test.maxDelay ||
				timer.Token != timerWatchEndpoints {
				t.Errorf("%+v: got %+v", test, timer)
			}
		}
	}
}

// If the list is stale a server may be draining. It has to pass a health check before it gets a connection,
// and a request that waits too long for that is rejected.
func TestStaleListRequiresHealthCheck(t *testing.T) {
	for _, kind := range []UpdateKind{WatchFailed, WatchBroken, ListCached} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) { testStaleList(t, kind) })
	}
}

// requestWithoutReports places a request whose health checks all time out.
func (n *testNode) requestWithoutReports(id RequestID) (target ServerID, rejected bool) {
	actions := n.requestInGroup(id)
	for _, a := range actions {
		if timer, ok := a.(SetTimer); ok {
			n.now += timer.After
			actions = append(actions, n.handle(TimerFired{Token: timer.Token})...)
		}
	}
	return sentTo(actions), finalAnswer(actions) == "reject"
}

func testStaleList(t *testing.T, kind UpdateKind) {
	config := testConfig()
	config.HealthChecksAllowed, config.EndpointsPushed = true, false
	n := newTestNode(config)
	n.handle(EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(1, 2)})
	first, second := topRankedServers(n)
	if target, _ := n.requestWithoutReports(1); target != first.ID {
		t.Fatalf("current list: placed on server %d, which does not rank first", target)
	}
	n.handle(EndpointUpdate{Kind: kind, Servers: readyServers(1, 2)})
	first, second = n.servers[first.ID], n.servers[second.ID]
	n.handle(AttemptEnded{ID: 1, Server: first.ID, Outcome: OK, Final: true})
	n.now += freshnessWindow
	if target, rejected := n.requestWithoutReports(2); target != 0 || !rejected {
		t.Errorf("stale list without reports: placed on server %d, rejected is %v", target, rejected)
	}
	n.now += 4 * freshnessWindow
	n.requestInGroup(3)
	refusal := HealthCheckResult{Server: first.ID, Outcome: ServerError,
		Report: &LoadReport{Utilisation: 0.1}}
	n.handle(refusal)
	if target := sentTo(n.handle(loadReport(second, -1))); target != second.ID { // does not report its load
		t.Errorf("stale list, one server refuses: placed on server %d, want %d", target, second.ID)
	}
	n.now += 10 * freshnessWindow
	n.requestInGroup(4)
	for range maxHealthChecks {
		for _, s := range []*server{first, second} {
			// This result stands for a health check that was not sent because a quota was exhausted.
			if target := sentTo(n.handle(HealthCheckResult{Server: s.ID, Outcome: OK})); target != 0 {
				t.Errorf("stale list, no server has reported: placed on server %d", target)
			}
		}
	}
	n.now += 10 * freshnessWindow
	n.handle(EndpointUpdate{Kind: ListDelta})
	if target, _ := n.requestWithoutReports(5); target == 0 {
		t.Error("confirmed list: request was not placed")
	}
}

func TestUnlistedServersAreKeptIfConfigured(t *testing.T) {
	for _, test := range []struct {
		keepUnlisted bool
		listedState  ServerState // in the list before the removal
		removalKind  UpdateKind
		used         bool
	}{
		{false, Ready, ListSnapshot, false}, {false, Ready, ListDelta, false},
		{true, Ready, ListSnapshot, true}, {true, Ready, ListDelta, true},
		{true, Draining, ListSnapshot, false}, {true, Draining, ListDelta, false},
	} {
		config := testConfig()
		config.KeepUnlistedServers = test.keepUnlisted
		n := newTestNode(config, readyServers(1)...)
		n.handle(EndpointUpdate{Kind: ListDelta,
			Servers: []Server{{ID: 1, State: test.listedState, Weight: 3}}})
		removal := EndpointUpdate{Kind: test.removalKind}
		if test.removalKind == ListDelta {
			removal.Servers = []Server{{ID: 1, State: Removed}}
		}
		n.handle(removal)
		if _, s := n.place("safe", "client"); (s == 1) != test.used {
			t.Errorf("%+v: placed on server %d", test, s)
		}
	}
}
