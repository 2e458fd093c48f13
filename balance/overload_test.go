package balance

import (
	"fmt"
	"testing"
	"time"
)

// A server is overloaded by its connections only where both thresholds are exceeded. Each row has its
// connections against the others'.
func TestOverloadThresholdsByConnections(t *testing.T) {
	for _, c := range []struct {
		open, rest int // on server 1, and on each of servers 2 to 4
		skip       bool
	}{
		{5, 1, true},  // mean 2: 5 > 4 and 5 >= 5
		{4, 1, false}, // mean 1.75: over twice, but not three above
		{9, 4, false}, // mean 5.25: three above, but not over twice
		{8, 2, true},  // mean 3.5: 8 > 7 and 8 >= 6.5
		{6, 2, false}, // mean 3: 6 is not over 6
	} {
		n := newTestNode(testConfig(), readyServers(1, 2, 3, 4)...)
		for _, s := range n.ready {
			addConnections(n, s, c.rest)
		}
		addConnections(n, n.ready[0], c.open-c.rest)
		if overloaded := n.isOverloaded(&request{}, n.ready[0], 0); overloaded != c.skip {
			t.Errorf("%d against %d each: passed over is %v", c.open, c.rest, overloaded)
		}
	}
}

// A report is itself some time old: connections from shortly before may not be in it.
func TestReportOmitsRecentConnections(t *testing.T) {
	n, first, second := newCheckingNode(1, 2, 3)
	for id := RequestID(11); id <= 14; id++ {
		n.handle(ExistingConnection{Request: Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(id)},
			Server: first.ID})
	}
	n.handle(loadReport(first, 0.5)) // two of four may not be in it: as much again may be to come
	n.requestInGroup(1)
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Error("the next one is to go to the server as if all were in its report")
	}
}

// Each of 80 nodes sees one client of a reconnect surge and has the same report of the only server that is
// not overloaded.
func TestReconnectSurgeIsSpreadDespiteOneReport(t *testing.T) {
	const nodes, each, load = 80, 40.0, 0.3 // connections fill a server
	config := testConfig()
	config.HealthChecksAllowed, config.ConnectionCapacity = true, 4*each
	utilisation := map[ServerID]float64{1: load, 2: 1.1, 3: 1.1, 4: 1.1}
	sent := map[ServerID]int{}
	for i, n := range fleet(config, nodes, readyServers(1, 2, 3, 4)...) {
		for id := ServerID(1); id <= 4; id++ {
			n.handle(loadReport(n.servers[id], utilisation[id]))
		}
		r := Request{ID: 1, Class: "safe", ClientKey: fmt.Sprint("k", i), Group: fmt.Sprint("g", i),
			Timeout: time.Second, Reconnect: true}
		acts := n.handle(r)
		sent[sentTo(acts)]++
		r.ID = 2 // it comes back at once: nothing new is known, so the answer stays
		second := n.handle(r)
		if sentTo(acts) == 0 && sentTo(second) != 0 {
			t.Errorf("node %d refuses a client, and then sends it on the same report", i)
		}
	}
	room := int((1 - load) * each)
	if sent[1] < room/4 || sent[1] > room {
		t.Errorf("%d of %d clients to the server that has room for %d", sent[1], nodes, room)
	}
	// Where there is but one node it knows what it sends, and without reconnects there is no surge.
	for _, reconnect := range []bool{true, false} {
		count := nodes
		if reconnect {
			count = 1
		}
		n := fleet(config, count, readyServers(1)...)[0]
		n.handle(loadReport(n.servers[1], load))
		acts := n.handle(Request{ID: 1, Class: "safe", ClientKey: "k", Timeout: time.Second,
			Reconnect: reconnect})
		if sentTo(acts) != 1 {
			t.Errorf("%d nodes, back %v: %v", count, reconnect, acts)
		}
	}
}

// All clients with affinity for a server come on the same report. It gets no more of them than that report
// allows.
func TestAffinityDoesNotOverloadOnOneReport(t *testing.T) {
	n, first, second := newCheckingNode(1, 2)
	n.config.LateMessagesReported, n.utilisationLimit, n.groupUtilisationLimit = true, maxUtilisation,
		maxGroupUtilisation
	for id := range RequestID(60) {
		n.affinity.bind(fmt.Sprint("client-", id+1), first)
	}
	for id := range RequestID(4) {
		n.handle(ExistingConnection{Request: Request{ID: 100 + id, Class: "safe", Group: "group"},
			Server: first.ID})
	}
	first.connectionsSinceReport = 0 // the report has these
	n.handle(loadReport(first, 0.4))
	n.handle(loadReport(second, 0.1))
	got := 0
	for id := range RequestID(8) {
		if sentTo(n.requestInGroup(1+id)) == first.ID {
			got++
		}
	}
	if got < 3 || got > 5 {
		t.Errorf("%d of 8 went to a server of 0.4 that four connections make", got)
	}
}
