package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestRemovedServerMovesOnlyItsKeys(t *testing.T) {
	before, after := newTestNode(testConfig(), readyServers(1, 2, 3, 4, 5)...), newTestNode(testConfig(),
		readyServers(1, 2, 4, 5)...)
	keysOfRemoved := 0
	for i := range 200 {
		r := &request{Request: Request{ClientKey: fmt.Sprint("client-", i)}}
		oldTop, newTop := before.rank(r)[0].ID, after.rank(r)[0].ID
		if oldTop != 3 && oldTop != newTop {
			t.Errorf("%s moved from server %d to %d although only 3 was removed", r.ClientKey, oldTop, newTop)
		}
		if oldTop == 3 {
			keysOfRemoved++
		}
	}
	if keysOfRemoved < 20 || keysOfRemoved > 60 {
		t.Errorf("%d of 200 keys ranked server 3 of 5 first", keysOfRemoved)
	}
}

func TestRankingFollowsWeightOnAllNodes(t *testing.T) {
	servers := readyServers(1, 2)
	servers[1].Weight = 3
	firstNode, secondNode := newTestNode(testConfig(), servers...), New(testConfig(), 99)
	secondNode.Handle(0, EndpointUpdate{Kind: ListSnapshot, Servers: []Server{servers[1], servers[0]}})
	keysOfHeavy := 0
	for i := range 400 {
		r := &request{Request: Request{ClientKey: fmt.Sprint("client-", i)}}
		if firstNode.rank(r)[0].ID != secondNode.rank(r)[0].ID {
			t.Fatalf("%s: two nodes rank different servers first", r.ClientKey)
		}
		if firstNode.rank(r)[0].ID == 2 {
			keysOfHeavy++
		}
	}
	if keysOfHeavy < 270 || keysOfHeavy > 330 {
		t.Errorf("%d of 400 keys rank the server with three quarters of the weight first", keysOfHeavy)
	}
}

func TestGroupPrecedesClientKeyInRanking(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3, 4, 5)...)
	top := n.rank(&request{Request: Request{ClientKey: "a", Group: "g"}})[0]
	if other := n.rank(&request{Request: Request{ClientKey: "b", Group: "g"}})[0]; other != top {
		t.Errorf("clients of one group rank different servers first: %d and %d", top.ID, other.ID)
	}
}

func TestRequestWithoutKeyIsPlaced(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	if _, s := n.place("safe", ""); s == 0 {
		t.Error("request without a key was not placed")
	}
}

func TestOverloadedServerIsSkipped(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	top := n.rank(&request{Request: Request{ClientKey: "client"}})[0].ID
	n.handle(HealthCheckResult{Server: top, Outcome: OK, Report: &LoadReport{Utilisation: 0.9}})
	n.handle(HealthCheckResult{Server: 3 - top, Outcome: OK, Report: &LoadReport{Utilisation: 0.2}})
	if _, s := n.place("safe", "client"); s != 3-top {
		t.Error("request was not placed on the server that is not overloaded")
	}
	n.handle(HealthCheckResult{Server: 3 - top, Outcome: OK, Report: &LoadReport{Utilisation: 0.9}})
	if _, s := n.place("safe", "client2"); s == 0 {
		t.Error("all servers are overloaded: request was not placed")
	}
}

// A server with a backlog may report headroom but would drop new connections, whose clients would reconnect
// and be dropped again.
func TestLaggingServerGetsNoConnections(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2)
	n.requestInGroup(1)
	n.handle(loadReport(first, 0.1))
	n.handle(AttemptAccepted{ID: 1, Server: first.ID})
	n.handle(LateMessage{ID: 1, Server: first.ID, Latency: 101 * ms})
	n.requestInGroup(2)
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Errorf("sent to server %d, want %d, which has headroom", s, second.ID)
	}
	n.handle(loadReport(second, targetUtilisation+0.1))
	if actions := n.requestInGroup(3); finalAnswer(actions) != "reject" {
		t.Errorf("no server has headroom, want a rejection: %v", actions)
	}
	n.handle(LateMessage{ID: 1, Server: first.ID, Latency: 99 * ms})
	n.now += freshnessWindow / 2
	n.handle(loadReport(first, 0.1))
	n.handle(loadReport(second, targetUtilisation+0.1))
	if s := sentTo(n.requestInGroup(4)); s != first.ID {
		t.Errorf("messages in time again: sent to server %d, want the first again", s)
	}
}

// Without load reports, late messages are the only indication of a server's load.
func TestLateMessageCountsWithoutReports(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	first := n.rank(&request{Request: Request{Group: "group"}})[0]
	n.requestInGroup(1)
	n.handle(AttemptAccepted{ID: 1, Server: first.ID})
	n.handle(LateMessage{ID: 1, Server: first.ID, Latency: 35 * ms})
	if s := sentTo(n.requestInGroup(2)); s == first.ID {
		t.Error("server with a late message got another connection at once")
	}
	n.now += freshnessWindow
	if s := sentTo(n.requestInGroup(3)); s != first.ID {
		t.Error("server is still skipped after freshnessWindow")
	}
}

// If three health checks find no headroom, the group stays on the server that ranks first. It must not spread
// over servers of unknown load.
func TestGroupIsNotSpreadOverUnknownServers(t *testing.T) {
	n, first, _ := newHealthCheckingNode(1, 2, 3, 4, 5, 6)
	ranking := n.rank(&request{Request: Request{Group: "group"}})
	n.requestInGroup(1)
	n.handle(loadReport(first, 0.9))
	n.handle(loadReport(ranking[1], 0.8))
	if s := sentTo(n.handle(loadReport(ranking[2], 0.7))); s != first.ID {
		t.Errorf("sent to server %d, want %d, which ranks first", s, first.ID)
	}
}

// A server over its capacity would drop new connections, each of which costs it work. Clients have to be
// rejected instead.
func TestServerOverCapacityGetsNoConnections(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2, 3)
	n.requestInGroup(1)
	if actions := n.handle(loadReport(first, 1.1)); finalAnswer(actions) != "reject" {
		t.Errorf("server at 1.1 of its capacity, want a rejection: %v", actions)
	}
	n.now += freshnessWindow
	n.requestInGroup(2)
	n.handle(loadReport(first, 0.9))
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Error("overloaded server under its capacity was not skipped")
	}
}

// The servers of the node's zone rank first if crossing zones has a cost. The order within each zone stays
// the same.
func TestOwnZoneRanksFirst(t *testing.T) {
	config := testConfig()
	servers := readyServers(1, 2, 3, 4, 5, 6)
	for i := range servers {
		servers[i].Zone = []string{"x", "y"}[i%2]
	}
	rankedIDs := func(zone string, cost float64) (ids []ServerID) {
		config.Zone, config.CrossZoneCost = zone, cost
		b := New(config, 1)
		b.Handle(0, EndpointUpdate{Kind: ListSnapshot, Servers: servers})
		for _, s := range b.rank(&request{Request: Request{Group: "g"}}) {
			ids = append(ids, s.ID)
		}
		return ids
	}
	withoutZones := rankedIDs("x", 0)
	withRemainder := func(remainder ServerID) (ids []ServerID) {
		for _, id := range withoutZones {
			if id%2 == remainder {
				ids = append(ids, id)
			}
		}
		return ids
	}
	if got, want := rankedIDs("x", 0.1), append(withRemainder(1),
		withRemainder(0)...); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	for _, zone := range []string{"", "elsewhere"} { // an unknown zone is ignored
		if got := rankedIDs(zone, 0.1); !slices.Equal(got, withoutZones) {
			t.Errorf("zone %q: got %v, want %v", zone, got, withoutZones)
		}
	}
}

// After a server at capacity a request may go only to servers in slow start that have attempts left.
func TestSlowStartServersFollowServerAtCapacity(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2, 3, 4)
	n.config.ConnectionCapacity = 1e6
	ranking := n.rank(&request{Request: Request{Group: "group"}})
	last := ranking[3].Server
	n.now += n.config.OverloadWindow // ends the block on attempts after a restart
	last.StartedAt = n.now - 2*time.Second
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{last}})
	for i, s := range n.rank(&request{Request: Request{Group: "group"}}) {
		n.handle(loadReport(s, []float64{1.1, 0.1, 0.1, 0}[i]))
	}
	if s := sentTo(n.requestInGroup(1)); s != last.ID {
		t.Errorf("sent to server %d, want %d, which is in slow start", s, last.ID)
	}
	n.now += n.config.SlowStartWindow // the server is now warm
	for _, s := range []*server{first, second, ranking[2], n.servers[last.ID]} {
		n.handle(loadReport(s, map[bool]float64{true: 1.1}[s == first]))
	}
	if s := sentTo(n.requestInGroup(2)); s != 0 {
		t.Errorf("sent to warm server %d after one at capacity", s)
	}
}

// Every server that has a part of a group bears the cost of the full group. A group must not spread over
// servers just under targetUtilisation. If the first server is overloaded, it goes to another one that
// already has it.
func TestGroupStaysTogetherWhenServerIsOverloaded(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2, 3, 4)
	n.utilisationLimit, n.groupUtilisationLimit = maxUtilisation, maxGroupUtilisation
	third := n.rank(&request{Request: Request{Group: "group"}})[2]
	for id, s := range []*server{first, third} {
		n.handle(ExistingConnection{Request: Request{ID: RequestID(100 + id), Class: "safe", ClientKey: "old",
			Group: "group"}, Server: s.ID})
	}
	reportLoads := func(loads ...float64) {
		for i, s := range []*server{first, second, third} {
			n.handle(loadReport(s, loads[i]))
		}
	}
	for _, test := range []struct {
		loads  []float64
		target *server
	}{
		{[]float64{0.5, 0.1, 0.1}, first},
		{[]float64{targetUtilisation + 0.1, 0.1, 0.1}, first}, // already has the group
		{[]float64{maxGroupUtilisation + 0.01, 0.1, targetUtilisation + 0.1}, third},
		{[]float64{maxGroupUtilisation + 0.01, 0.1, maxGroupUtilisation + 0.01}, second},
	} {
		reportLoads(test.loads...)
		if s := sentTo(n.requestInGroup(RequestID(1 + len(n.requests)))); s != test.target.ID {
			t.Errorf("loads %v: sent to server %d, want %d", test.loads, s, test.target.ID)
		}
		n.affinity = affinityTable{maxEntries: 9, entries: map[string]*affinityEntry{}}
		for _, s := range n.servers {
			s.connectionsSinceReport = 0
		}
	}
}

// If only load reports reveal an overload, a group that is kept together would overload its server before the
// next report.
func TestGroupIsSplitWithoutLateMessages(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2)
	n.handle(ExistingConnection{Request: Request{ID: 100, Class: "safe", ClientKey: "old", Group: "group"},
		Server: first.ID})
	n.handle(loadReport(first, targetUtilisation+0.1))
	n.handle(loadReport(second, 0.1))
	if s := sentTo(n.requestInGroup(1)); s != second.ID {
		t.Errorf("sent to server %d, want %d, which has headroom", s, second.ID)
	}
}
