package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The smallest group is migrated off a lagging server, and only if another server has headroom.
func TestRebalancingMigratesSmallestGroup(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1)...)
	for i, group := range []string{"big", "big", "small"} {
		id := RequestID(i + 1)
		n.handle(Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(i), Group: group, Timeout: time.Second})
		n.handle(AttemptAccepted{ID: id, Server: 1})
	}
	late := LateMessage{ID: 1, Server: 1, Latency: 60 * ms}
	if actions := n.handle(late); len(actions) != 0 {
		t.Errorf("no other server, want no migration: %v", actions)
	}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: readyServers(2)})
	if actions := n.handle(late); !slices.Equal(actions, []Action{Migrate{ID: 3}}) {
		t.Errorf("got %v, want a migration of the small group", actions)
	}
	if actions := n.handle(LateMessage{ID: 1, Server: 1, Latency: 50 * ms}); len(actions) != 0 {
		t.Errorf("latency at half the objective, want no migration: %v", actions)
	}
}

// Groups that are spread over servers migrate towards the top of their ranking, so that all nodes choose the
// same server.
func TestMigratedGroupsGatherByRanking(t *testing.T) {
	for i := range 20 {
		n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
		group := fmt.Sprint("group-", i)
		ranking := n.rank(&request{Request: Request{Group: group}})
		r := Request{ID: 1, Class: "safe", ClientKey: "client", Group: group}
		n.handle(ExistingConnection{Request: r, Server: ranking[2].ID})
		if actions := n.handle(LateMessage{ID: 1, Server: ranking[2].ID,
			Latency: 60 * ms}); !slices.Equal(actions, []Action{Migrate{ID: 1}}) {
			t.Fatalf("%s, want a migration: %v", group, actions)
		}
		n.handle(AttemptEnded{ID: 1, Server: ranking[2].ID, Outcome: Cancelled, Final: true})
		r.ID, r.Timeout = 2, time.Second
		if s := sentTo(n.handle(r)); s != ranking[0].ID {
			t.Errorf("%s: reconnected to server %d, want %d, which ranks first", group, s, ranking[0].ID)
		}
	}
}

// If many nodes detect the same lagging server, together they must migrate about as many connections as a
// single node would.
func TestNodesMigrateByTheirShareOfConnections(t *testing.T) {
	const nodes, perNode = 50, 2
	migrated := 0
	for seed := range nodes {
		config := testConfig()
		config.NodeCount = nodes
		b := New(config, uint64(seed))
		b.Handle(0, EndpointUpdate{Kind: ListCached, Servers: readyServers(1, 2, 3, 4)})
		for id := RequestID(1); id <= 4*perNode; id++ {
			r := Request{ID: id, Class: "safe", ClientKey: fmt.Sprint("client-", seed, "-", id)}
			b.Handle(0, ExistingConnection{Request: r, Server: ServerID(id%4 + 1)})
		}
		for _, a := range b.Handle(time.Second, LateMessage{ID: 3, Server: 4, Latency: 90 * ms}) {
			if _, ok := a.(Migrate); ok {
				migrated++
			}
		}
	}
	if migrated == 0 || migrated > 6 {
		t.Errorf("%d nodes migrated %d of %d connections on one late message each", nodes, migrated,
			nodes*perNode)
	}
}

// Every node must first migrate the group that ranks the lagging server lowest.
func TestAllNodesMigrateTheSameGroup(t *testing.T) {
	migratedGroups := map[string]int{}
	for seed := range 20 {
		b := New(testConfig(), uint64(seed))
		b.Handle(0, EndpointUpdate{Kind: ListCached, Servers: readyServers(1, 2, 3, 4, 5, 6, 7, 8)})
		for id := RequestID(1); id <= 5; id++ {
			r := Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(seed, "-", id),
				Group: fmt.Sprint("group-", id)}
			b.Handle(0, ExistingConnection{Request: r, Server: 1})
		}
		for _, a := range b.Handle(time.Second, LateMessage{ID: 1, Server: 1, Latency: 90 * ms}) {
			if m, ok := a.(Migrate); ok {
				migratedGroups[b.requests[m.ID].Group]++
			}
		}
	}
	if len(migratedGroups) != 1 {
		t.Errorf("the nodes migrated different groups: %v", migratedGroups)
	}
}

// If late messages are not reported, a load report above capacity causes the migration of a group.
func TestReportOverCapacityMigratesAGroup(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1)...)
	for i, group := range []string{"big", "big", "small"} {
		n.handle(ExistingConnection{Request: Request{ID: RequestID(i + 1), Class: "safe",
			ClientKey: fmt.Sprint(i), Group: group}, Server: 1})
	}
	if actions := n.handle(loadReport(n.servers[1], 1.1)); len(actions) != 0 {
		t.Errorf("no other server, want no migration: %v", actions)
	}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: readyServers(2)})
	if actions := n.handle(loadReport(n.servers[1], 1.1)); len(actions) != 0 {
		t.Errorf("load of the other server unknown, want no migration: %v", actions)
	}
	n.handle(loadReport(n.servers[2], 0.9))
	if actions := n.handle(loadReport(n.servers[1], 1.1)); len(actions) != 0 {
		t.Errorf("other server overloaded, want no migration: %v", actions)
	}
	n.handle(loadReport(n.servers[2], 0.1))
	if actions := n.handle(loadReport(n.servers[1], 1)); len(actions) != 0 {
		t.Errorf("server exactly at capacity, want no migration: %v", actions)
	}
	n.config.LateMessagesReported = true
	if actions := n.handle(loadReport(n.servers[1], 1.1)); len(actions) != 0 {
		t.Errorf("late messages are reported, want no migration on a load report: %v", actions)
	}
	n.config.LateMessagesReported = false
	if actions := n.handle(loadReport(n.servers[1], 1.1)); !slices.Equal(actions, []Action{Migrate{ID: 3}}) {
		t.Errorf("got %v, want a migration of the small group", actions)
	}
}

// Clients have to be migrated before their server or this node stops. Only established connections can be
// migrated.
func TestShutdownMigratesEstablishedConnections(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	for i := range RequestID(4) {
		n.handle(ExistingConnection{Request: Request{ID: i + 1, Class: "safe", ClientKey: fmt.Sprint(i)},
			Server: ServerID(1 + i%2)})
	}
	n.handle(Request{ID: 5, Class: "safe", ClientKey: "in-flight", Timeout: time.Second})
	if actions := n.handle(ShutdownAnnounced{Server: 2}); !slices.Equal(actions, []Action{Migrate{ID: 2},
		Migrate{ID: 4}}) {
		t.Errorf("shutdown of server 2: %v", actions)
	}
	if actions := n.handle(ShutdownAnnounced{Server: 9}); len(actions) != 0 {
		t.Errorf("shutdown of an unknown server: %v", actions)
	}
	if actions := n.handle(ShutdownAnnounced{}); !slices.Equal(actions, []Action{Migrate{ID: 1},
		Migrate{ID: 2}, Migrate{ID: 3}, Migrate{ID: 4}}) {
		t.Errorf("shutdown of the node: %v", actions)
	}
}

// Two servers are over their capacity and 80 nodes have connections there. Together the nodes must check each
// server and migrate groups off it only a few times per second.
func TestNodesTogetherLimitHealthChecks(t *testing.T) {
	const nodes, seconds = 80, 10
	config := testConfig()
	config.HealthChecksAllowed, config.LateMessagesReported = true, false
	checks, migrated := map[ServerID]int{}, 0
	for _, n := range newTestNodes(config, nodes, readyServers(1, 2, 3, 4, 5, 6, 7, 8)...) {
		for id := ServerID(1); id <= 8; id++ {
			addConnections(n, n.servers[id], 1)
		}
		for range seconds {
			n.now += time.Second
			migrated += answerHealthChecks(n, n.handle(TimerFired{timerUtilisation}), checks)
		}
	}
	for id, count := range checks {
		if limit := 8 * seconds; count > limit {
			t.Errorf("server %d: %d health checks in %d s, limit is %d", id, count, seconds, limit)
		}
	}
	if checks[1] < seconds/2 || migrated < seconds/2 || migrated > 3*maxRebalancedGroups*seconds {
		t.Errorf("%d health checks of server 1, which is over capacity, and %d migrations in %d s", checks[1],
			migrated, seconds)
	}
}

// answerHealthChecks answers all health checks of a node with reports that put servers 1 and 2 over their
// capacity. It adds the number of checks to checks by server, and returns the number of migrations.
func answerHealthChecks(n *testNode, actions []Action, checks map[ServerID]int) (migrated int) {
	for len(actions) > 0 {
		var nextActions []Action
		for _, a := range actions {
			switch a := a.(type) {
			case HealthCheck:
				checks[a.Server]++
				utilisation := 0.1
				if a.Server <= 2 {
					utilisation = 1.2
				}
				nextActions = append(nextActions, n.handle(loadReport(n.servers[a.Server], utilisation))...)
			case Migrate:
				migrated++
			}
		}
		actions = nextActions
	}
	return migrated
}

// The later a server's messages are, the more groups are migrated at a time, up to twice as many.
func TestRebalancingGrowsWithLateness(t *testing.T) {
	migrated := func(latency time.Duration) (n int) {
		for seed := range uint64(400) {
			config := testConfig()
			config.NodeCount = 16
			b := New(config, seed)
			b.Handle(0, EndpointUpdate{Kind: ListCached, Servers: readyServers(1, 2, 3, 4)})
			for id := RequestID(1); id <= 8; id++ {
				r := Request{ID: id, Class: "safe", Group: fmt.Sprint("group-", id)}
				b.Handle(0, ExistingConnection{Request: r, Server: ServerID(id%4 + 1)})
			}
			n += len(b.Handle(time.Second, LateMessage{ID: 3, Server: 4, Latency: latency}))
		}
		return n
	}
	at90ms, at600ms, at60s := migrated(90*ms), migrated(600*ms), migrated(60*time.Second)
	if at90ms == 0 || at600ms < at90ms*3/2 || at600ms > at90ms*5/2 || at60s > at600ms*5/4 {
		t.Errorf("%d migrations at 90 ms, %d at 600 ms, %d at 60 s", at90ms, at600ms, at60s)
	}
}
