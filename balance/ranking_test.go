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
	moved := 0
	for i := range 200 {
		r := &request{Request: Request{ClientKey: fmt.Sprint("client-", i)}}
		was, is := before.rank(r)[0].ID, after.rank(r)[0].ID
		if was != 3 && was != is {
			t.Errorf("%s went from %d to %d though 3 left", r.ClientKey, was, is)
		}
		if was == 3 {
			moved++
		}
	}
	if moved < 20 || moved > 60 {
		t.Errorf("server 3 of 5 held %d of 200 keys", moved)
	}
}

func TestRankingFollowsWeightAndIsTheSameOnAllNodes(t *testing.T) {
	servers := readyServers(1, 2)
	servers[1].Weight = 3
	a, b := newTestNode(testConfig(), servers...), New(testConfig(), 99)
	b.Handle(0, EndpointUpdate{Kind: ListSnapshot, Servers: []Server{servers[1], servers[0]}})
	heavy := 0
	for i := range 400 {
		r := &request{Request: Request{ClientKey: fmt.Sprint("client-", i)}}
		if a.rank(r)[0].ID != b.rank(r)[0].ID {
			t.Fatalf("%s: two nodes differ", r.ClientKey)
		}
		if a.rank(r)[0].ID == 2 {
			heavy++
		}
	}
	if heavy < 270 || heavy > 330 {
		t.Errorf("the server of three quarters of the weight tops %d of 400", heavy)
	}
}

func TestGroupPrecedesClientKeyInRanking(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3, 4, 5)...)
	top := n.rank(&request{Request: Request{ClientKey: "a", Group: "g"}})[0]
	if other := n.rank(&request{Request: Request{ClientKey: "b", Group: "g"}})[0]; other != top {
		t.Errorf("one group has two tops: %d and %d", top.ID, other.ID)
	}
}

func TestRequestWithoutKeyIsPlaced(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	if _, s := n.place("safe", ""); s == 0 {
		t.Error("a request without a key went nowhere")
	}
}

func TestOverloadedServerIsPassedOver(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	top := n.rank(&request{Request: Request{ClientKey: "client"}})[0].ID
	n.handle(HealthCheckResult{Server: top, Outcome: OK, Report: &LoadReport{Utilisation: 0.9}})
	n.handle(HealthCheckResult{Server: 3 - top, Outcome: OK, Report: &LoadReport{Utilisation: 0.2}})
	if _, s := n.place("safe", "client"); s != 3-top {
		t.Error("the overloaded top was not passed over")
	}
	n.handle(HealthCheckResult{Server: 3 - top, Outcome: OK, Report: &LoadReport{Utilisation: 0.9}})
	if _, s := n.place("safe", "client2"); s == 0 {
		t.Error("with all servers overloaded the request was not placed")
	}
}

// A server with a backlog may report headroom. It would drop new connections, which come back to be dropped
// once more.
func TestLaggingServerGetsNoConnections(t *testing.T) {
	n, first, second := newCheckingNode(1, 2)
	n.requestInGroup(1)
	n.handle(loadReport(first, 0.1))
	n.handle(AttemptAccepted{ID: 1, Server: first.ID})
	n.handle(LateMessage{ID: 1, Server: first.ID, Latency: 101 * ms})
	n.requestInGroup(2)
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Errorf("sent to %d, not on to %d, which is at ease", s, second.ID)
	}
	n.handle(loadReport(second, targetUtilisation+0.1))
	if acts := n.requestInGroup(3); answer(acts) != "reject" {
		t.Errorf("nobody is at ease, but: %v", acts)
	}
	n.handle(LateMessage{ID: 1, Server: first.ID, Latency: 99 * ms})
	n.now += freshnessWindow / 2
	n.handle(loadReport(first, 0.1))
	n.handle(loadReport(second, targetUtilisation+0.1))
	if s := sentTo(n.requestInGroup(4)); s != first.ID {
		t.Errorf("it is in time again, but the request went to %d", s)
	}
}

// Without reports a late message is all that a node knows of a server's load.
func TestLateMessageCountsWithoutReports(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	first := n.rank(&request{Request: Request{Group: "group"}})[0]
	n.requestInGroup(1)
	n.handle(AttemptAccepted{ID: 1, Server: first.ID})
	n.handle(LateMessage{ID: 1, Server: first.ID, Latency: 35 * ms})
	if s := sentTo(n.requestInGroup(2)); s == first.ID {
		t.Error("the late server got another connection at once")
	}
	n.now += freshnessWindow
	if s := sentTo(n.requestInGroup(3)); s != first.ID {
		t.Error("the late server is still passed by")
	}
}

// After three health checks in vain the group stays at its first server; it does not scatter over servers of
// unknown load.
func TestOverloadedServersDoNotScatterAGroup(t *testing.T) {
	n, first, _ := newCheckingNode(1, 2, 3, 4, 5, 6)
	order := n.rank(&request{Request: Request{Group: "group"}})
	n.requestInGroup(1)
	n.handle(loadReport(first, 0.9))
	n.handle(loadReport(order[1], 0.8))
	if s := sentTo(n.handle(loadReport(order[2], 0.7))); s != first.ID {
		t.Errorf("sent to %d, not to the top %d", s, first.ID)
	}
}

// A server over its capacity would drop new connections, and each costs it work: clients are rejected
// instead.
func TestServerOverCapacityGetsNoConnections(t *testing.T) {
	n, first, second := newCheckingNode(1, 2, 3)
	n.requestInGroup(1)
	if acts := n.handle(loadReport(first, 1.1)); answer(acts) != "reject" {
		t.Errorf("at 1.1 of its capacity: %v", acts)
	}
	n.now += freshnessWindow
	n.requestInGroup(2)
	n.handle(loadReport(first, 0.9))
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Error("a top under its capacity was not passed over")
	}
}

// The node's own zone ranks first where crossing zones has a cost; the order within each zone stays the same.
func TestOwnZoneRanksFirst(t *testing.T) {
	config := testConfig()
	servers := readyServers(1, 2, 3, 4, 5, 6)
	for i := range servers {
		servers[i].Zone = []string{"x", "y"}[i%2]
	}
	order := func(zone string, price float64) (ids []ServerID) {
		config.Zone, config.CrossZoneCost = zone, price
		b := New(config, 1)
		b.Handle(0, EndpointUpdate{Kind: ListSnapshot, Servers: servers})
		for _, s := range b.rank(&request{Request: Request{Group: "g"}}) {
			ids = append(ids, s.ID)
		}
		return ids
	}
	plain := order("x", 0)
	of := func(rest ServerID) (ids []ServerID) {
		for _, id := range plain {
			if id%2 == rest {
				ids = append(ids, id)
			}
		}
		return ids
	}
	if got, want := order("x", 0.1), append(of(1), of(0)...); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	for _, zone := range []string{"", "elsewhere"} { // unknown: decisions as without places
		if got := order(zone, 0.1); !slices.Equal(got, plain) {
			t.Errorf("zone %q: got %v, want %v", zone, got, plain)
		}
	}
}

// Past a server at capacity a request goes on to servers in slow start that have attempts left, and to no
// other.
func TestServersInSlowStartFollowOneAtCapacity(t *testing.T) {
	n, first, second := newCheckingNode(1, 2, 3, 4)
	n.config.ConnectionCapacity = 1e6
	order := n.rank(&request{Request: Request{Group: "group"}})
	last := order[3].Server
	n.now += n.config.OverloadWindow // attempts of a process before this one are past
	last.StartedAt = n.now - 2*time.Second
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{last}})
	for i, s := range n.rank(&request{Request: Request{Group: "group"}}) {
		n.handle(loadReport(s, []float64{1.1, 0.1, 0.1, 0}[i]))
	}
	if s := sentTo(n.requestInGroup(1)); s != last.ID {
		t.Errorf("sent to %d, not to the cold %d", s, last.ID)
	}
	n.now += n.config.SlowStartWindow // it is warm, and one like the others
	for _, s := range []*server{first, second, order[2], n.servers[last.ID]} {
		n.handle(loadReport(s, map[bool]float64{true: 1.1}[s == first]))
	}
	if s := sentTo(n.requestInGroup(2)); s != 0 {
		t.Errorf("past a full server to %d", s)
	}
}

// Each server that holds a part of a group bears the cost of the whole. A group does not scatter over servers
// just under targetUtilisation, and past an overloaded first server it goes to one that holds it.
func TestGroupStaysTogetherPastOverloadedServer(t *testing.T) {
	n, first, second := newCheckingNode(1, 2, 3, 4)
	n.utilisationLimit, n.groupUtilisationLimit = maxUtilisation, maxGroupUtilisation
	third := n.rank(&request{Request: Request{Group: "group"}})[2]
	for id, s := range []*server{first, third} {
		n.handle(ExistingConnection{Request: Request{ID: RequestID(100 + id), Class: "safe", ClientKey: "old",
			Group: "group"}, Server: s.ID})
	}
	tell := func(loads ...float64) {
		for i, s := range []*server{first, second, third} {
			n.handle(loadReport(s, loads[i]))
		}
	}
	for _, c := range []struct {
		loads []float64
		to    *server
	}{
		{[]float64{0.5, 0.1, 0.1}, first},
		{[]float64{targetUtilisation + 0.1, 0.1, 0.1}, first}, // it holds the group
		{[]float64{maxGroupUtilisation + 0.01, 0.1, targetUtilisation + 0.1}, third},
		{[]float64{maxGroupUtilisation + 0.01, 0.1, maxGroupUtilisation + 0.01}, second},
	} {
		tell(c.loads...)
		if s := sentTo(n.requestInGroup(RequestID(1 + len(n.requests)))); s != c.to.ID {
			t.Errorf("%v: sent to %d, not to %d", c.loads, s, c.to.ID)
		}
		n.affinity = affinityTable{maxEntries: 9, entries: map[string]*affinityEntry{}}
		for _, s := range n.servers {
			s.connectionsSinceReport = 0
		}
	}
}

// Where only reports show load, a group that is kept together would overload its server before the next one.
func TestGroupIsNotKeptTogetherOnReportsAlone(t *testing.T) {
	n, first, second := newCheckingNode(1, 2)
	n.handle(ExistingConnection{Request: Request{ID: 100, Class: "safe", ClientKey: "old", Group: "group"},
		Server: first.ID})
	n.handle(loadReport(first, targetUtilisation+0.1))
	n.handle(loadReport(second, 0.1))
	if s := sentTo(n.requestInGroup(1)); s != second.ID {
		t.Errorf("sent to %d, not to %d, which is at ease", s, second.ID)
	}
}
