package balance

import (
	"fmt"
	"testing"
	"time"
)

// A server counts as overloaded by its connections only if both thresholds are exceeded: twice the mean, and
// three more than the mean.
func TestOverloadThresholdsByConnections(t *testing.T) {
	for _, test := range []struct {
		connections, connectionsElsewhere int // on server 1, and on each of servers 2 to 4
		overloaded                        bool
	}{
		{5, 1, true},  // mean 2: 5 > 4 and 5 >= 5
		{4, 1, false}, // mean 1.75: over twice the mean, but less than three above it
		{9, 4, false}, // mean 5.25: three above the mean, but not over twice
		{8, 2, true},  // mean 3.5: 8 > 7 and 8 >= 6.5
		{6, 2, false}, // mean 3: 6 is not over 6
	} {
		n := newTestNode(testConfig(), readyServers(1, 2, 3, 4)...)
		for _, s := range n.ready {
			addConnections(n, s, test.connectionsElsewhere)
		}
		addConnections(n, n.ready[0], test.connections-test.connectionsElsewhere)
		if overloaded := n.isOverloaded(&request{}, n.ready[0], 0); overloaded != test.overloaded {
			t.Errorf("%d connections, %d on each other server: overloaded is %v", test.connections,
				test.connectionsElsewhere, overloaded)
		}
	}
}

// A load report is itself some time old and may omit recent connections.
func TestReportOmitsRecentConnections(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2, 3)
	for id := RequestID(11); id <= 14; id++ {
		n.handle(ExistingConnection{Request: Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(id)},
			Server: first.ID})
	}
	n.handle(loadReport(first, 0.5)) // may omit two of four, so that 1.0 is possible
	n.requestInGroup(1)
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Error("request was placed as if the report included all connections")
	}
}

// Each of 80 nodes gets one client of a reconnect surge and has the same report of the only server that is
// not overloaded. Together they must not fill it beyond its capacity.
func TestReconnectSurgeIsSpreadOnEqualReports(t *testing.T) {
	const nodes, serverCapacity, reportedLoad = 80, 40.0, 0.3 // capacity in connections
	config := testConfig()
	config.HealthChecksAllowed, config.ConnectionCapacity = true, 4*serverCapacity
	utilisation := map[ServerID]float64{1: reportedLoad, 2: 1.1, 3: 1.1, 4: 1.1}
	clients := map[ServerID]int{}
	for i, n := range newTestNodes(config, nodes, readyServers(1, 2, 3, 4)...) {
		for id := ServerID(1); id <= 4; id++ {
			n.handle(loadReport(n.servers[id], utilisation[id]))
		}
		request := Request{ID: 1, Class: "safe", ClientKey: fmt.Sprint("k", i), Group: fmt.Sprint("g", i),
			Timeout: time.Second, Reconnect: true}
		actions := n.handle(request)
		clients[sentTo(actions)]++
		request.ID = 2 // the client reconnects at once; without new information the answer must be the same
		repeated := n.handle(request)
		if sentTo(actions) == 0 && sentTo(repeated) != 0 {
			t.Errorf("node %d rejects a client and then places it by the same report", i)
		}
	}
	headroom := int((1 - reportedLoad) * serverCapacity)
	if clients[1] < headroom/4 || clients[1] > headroom {
		t.Errorf("%d of %d clients on a server with headroom for %d", clients[1], nodes, headroom)
	}
	// A single node counts its own connections, and without reconnects there is no surge.
	for _, reconnect := range []bool{true, false} {
		count := nodes
		if reconnect {
			count = 1
		}
		n := newTestNodes(config, count, readyServers(1)...)[0]
		n.handle(loadReport(n.servers[1], reportedLoad))
		actions := n.handle(Request{ID: 1, Class: "safe", ClientKey: "k", Timeout: time.Second,
			Reconnect: reconnect})
		if sentTo(actions) != 1 {
			t.Errorf("%d nodes, reconnect %v, want an attempt on server 1: %v", count, reconnect, actions)
		}
	}
}

// All clients with affinity for a server are placed by the same report. The server must not get more of them
// than that report allows.
func TestAffinityDoesNotOverloadServer(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2)
	n.config.LateMessagesReported, n.utilisationLimit, n.groupUtilisationLimit = true, maxUtilisation,
		maxGroupUtilisation
	for id := range RequestID(60) {
		n.affinity.bind(fmt.Sprint("client-", id+1), first)
	}
	for id := range RequestID(4) {
		n.handle(ExistingConnection{Request: Request{ID: 100 + id, Class: "safe", Group: "group"},
			Server: first.ID})
	}
	first.connectionsSinceReport = 0 // the report includes these
	n.handle(loadReport(first, 0.4))
	n.handle(loadReport(second, 0.1))
	sentToFirst := 0
	for id := range RequestID(8) {
		if sentTo(n.requestInGroup(1+id)) == first.ID {
			sentToFirst++
		}
	}
	if sentToFirst < 3 || sentToFirst > 5 {
		t.Errorf("%d of 8 clients on a server whose four connections make a utilisation of 0.4", sentToFirst)
	}
}
