package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// gossipConfig returns the configuration of a deployment whose nodes exchange gossip and whose servers do not
// report their load.
func gossipConfig(nodes, index int) Config {
	config := testConfig()
	config.NodeCount, config.NodeIndex, config.GossipEnabled, config.CoresPerWeight,
		config.HealthChecksAllowed,
		config.EndpointsPushed = nodes, index, true, 1, false, true
	return config
}

// gossipNetwork simulates a deployment. It delays, reorders, duplicates and drops gossip messages.
type gossipNetwork struct {
	nodes     []*Balancer
	rng       *rand.Rand
	loss      float64
	inTransit []delivery
	attempts  map[RequestID]ServerID
	now       time.Duration
	messages  int
}

type delivery struct {
	deliverAt time.Duration
	node      int
	event     Event
	isGossip  bool
}

func newGossipNetwork(nodes int, loss float64, servers ...Server) *gossipNetwork {
	network := &gossipNetwork{rng: rand.New(rand.NewPCG(7, 7)), loss: loss,
		attempts: map[RequestID]ServerID{}, now: time.Minute}
	for i := range nodes {
		network.nodes = append(network.nodes, New(gossipConfig(nodes, i), uint64(i)))
		network.handle(i, EndpointUpdate{Kind: ListCached, Servers: servers})
	}
	return network
}

func (network *gossipNetwork) handle(node int, ev Event) {
	for _, a := range slices.Clone(network.nodes[node].Handle(network.now, ev)) {
		switch a := a.(type) {
		case SendGossip:
			for range 1 + network.rng.IntN(2) { // some are duplicated
				if network.messages++; network.rng.Float64() >= network.loss {
					at := network.now + time.Duration(1+network.rng.IntN(40))*time.Millisecond
					network.inTransit = append(network.inTransit, delivery{at, a.ToNode,
						GossipReceived{FromNode: node, Message: a.Message}, true})
				}
			}
		case SetTimer:
			network.inTransit = append(network.inTransit, delivery{network.now + a.After, node,
				TimerFired{a.Token}, false})
		case Attempt:
			network.attempts[a.ID] = a.Server
			network.inTransit = append(network.inTransit, delivery{network.now + time.Millisecond, node,
				AttemptAccepted{ID: a.ID, Server: a.Server}, false})
		}
	}
}

// advance delivers all events that are due until end.
func (network *gossipNetwork) advance(end time.Duration) {
	for {
		earliest := -1
		for i, d := range network.inTransit {
			if d.deliverAt <= end && (earliest < 0 || d.deliverAt < network.inTransit[earliest].deliverAt) {
				earliest = i
			}
		}
		if earliest < 0 {
			network.now = end
			return
		}
		d := network.inTransit[earliest]
		network.inTransit = slices.Delete(network.inTransit, earliest, earliest+1)
		network.now = max(network.now, d.deliverAt)
		network.handle(d.node, d.event)
	}
}

// placeClients places clients of one group, each at a different node and with an eighth of a server's
// capacity as its load. It returns the number of connections on each server.
func (network *gossipNetwork) placeClients(clients int) map[ServerID]int {
	connections := map[ServerID]int{}
	for i := range clients {
		id, node := RequestID(i+1), i%len(network.nodes)
		network.handle(node, Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(i), Group: "g",
			Timeout: 4 * time.Second})
		network.advance(network.now + 2*time.Second)
		network.handle(node, ConnectionLoad{ID: id, Load: workPerCore / 8})
		network.advance(network.now + 100*time.Millisecond)
	}
	for _, s := range network.attempts {
		connections[s]++
	}
	return connections
}

// Many nodes with one connection each must not overload a server together. Without load ledgers all 24
// connections would go to the server that ranks first for the group.
func TestGossipingNodesOverloadNoServer(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		network := newGossipNetwork(24, loss, readyServers(1, 2, 3, 4, 5, 6, 7, 8)...)
		connections := network.placeClients(24)
		if len(network.attempts) < 20 { // some may be rejected if messages are lost
			t.Errorf("loss %v: %d of 24 clients were placed", loss, len(network.attempts))
		}
		maxConnections := 0
		for _, n := range connections {
			maxConnections = max(maxConnections, n)
		}
		if loss == 0 && maxConnections > 8 || maxConnections > 14 {
			t.Errorf("loss %v: too many connections on a server: %v", loss, connections)
		}
	}
}

// The number of gossip messages must grow with the requests and not with the number of nodes times servers.
func TestGossipVolumeGrowsWithRequests(t *testing.T) {
	small, large := newGossipNetwork(8, 0, readyServers(1, 2, 3, 4)...), newGossipNetwork(80, 0,
		readyServers(1, 2, 3, 4)...)
	for _, network := range []*gossipNetwork{small, large} {
		network.placeClients(8)
	}
	if large.messages > 2*small.messages+16 {
		t.Errorf("%d messages among 80 nodes, %d among 8", large.messages, small.messages)
	}
}

// Without a response from the ledger owner a node decides by its own state, within the timeout of the
// request.
func TestSilentLedgerOwnerDoesNotBlockPlacement(t *testing.T) {
	network := newGossipNetwork(8, 1, readyServers(1, 2, 3)...)
	network.handle(0, Request{ID: 1, Class: "safe", ClientKey: "k", Group: "g", Timeout: time.Second})
	network.advance(network.now + 500*time.Millisecond)
	if len(network.attempts) != 1 {
		t.Error("the request was not placed")
	}
}

// A restarted node has lost its connections, so that the load which it sent before must not count.
func TestLedgerIgnoresLoadOfRestartedNode(t *testing.T) {
	b := New(gossipConfig(4, 0), 1)
	b.Handle(time.Minute, EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(1)})
	receive := func(incarnation uint8, load float64) {
		b.Handle(time.Minute, GossipReceived{FromNode: 1, Message: GossipMessage{Kind: GossipHeldLoad,
			Incarnation: incarnation, Server: 1, Load: load, Groups: []uint16{5}}})
	}
	s := b.servers[1]
	receive(9, workPerCore/2)
	if got := b.aggregateLoad(s, nil).Load; got < 4.9e5 {
		t.Fatalf("load %v, want about 5e5", got)
	}
	b.incarnations[1] = 10 // as a message about another server would set it
	if got := b.aggregateLoad(s, nil).Load; got != 0 {
		t.Errorf("load from before the restart counts: %v", got)
	}
	receive(10, workPerCore/4)
	if got := b.aggregateLoad(s, nil).Load; got < 2.4e5 || got > 2.6e5 {
		t.Errorf("load %v, want about 2.5e5", got)
	}
	b.now += 2 * gossipInterval
	if got := b.aggregateLoad(s, nil).Load; got != 0 {
		t.Errorf("outdated load counts: %v", got)
	}
}

// A ledger does not reveal a backlog. A server with late messages must not get connections, whatever load its
// ledger states.
func TestLaggingServerIsSkippedWithGossip(t *testing.T) {
	n := &testNode{Balancer: New(gossipConfig(1, 0), 1), now: time.Minute, nextID: 1}
	n.handle(EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(1, 2, 3)})
	first := sentTo(n.requestInGroup(1))
	n.handle(AttemptAccepted{ID: 1, Server: first})
	if second := sentTo(n.requestInGroup(2)); first == 0 || second != first {
		t.Fatalf("sent to servers %d and %d, want the same one", first, second)
	}
	n.handle(LateMessage{ID: 1, Server: first, Latency: 150 * ms})
	if s := sentTo(n.requestInGroup(3)); s == 0 || s == first {
		t.Errorf("sent to server %d although it is lagging, or not at all", s)
	}
	n.now += freshnessWindow
	if s := sentTo(n.requestInGroup(4)); s != first {
		t.Errorf("messages in time again: sent to server %d, want %d", s, first)
	}
}

// Messages from unknown nodes or from the node itself, and messages with unknown servers or kinds, must have
// no effect.
func TestInvalidGossipIsIgnored(t *testing.T) {
	b := New(gossipConfig(4, 0), 1)
	b.Handle(time.Minute, EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(1)})
	for _, from := range []int{-1, 0, 4, 1 << 30} {
		b.Handle(time.Minute, GossipReceived{FromNode: from, Message: GossipMessage{Kind: GossipHeldLoad,
			Server: 1, Load: 1e9}})
	}
	for kind := GossipKind(-1); kind < 9; kind++ {
		b.Handle(time.Minute, GossipReceived{FromNode: 1, Message: GossipMessage{Kind: kind, Server: 77,
			Load: 1e9}})
	}
	if len(b.servers[1].ledger) != 0 || b.servers[77] != nil {
		t.Error("an invalid message was accepted")
	}
	// A request without a group must not cause a panic.
	b.Handle(time.Minute, GossipReceived{FromNode: 1, Message: GossipMessage{Kind: GossipLoadRequest,
		Server: 1}})
}
