package node

import (
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"brassmux/budget"
	"brassmux/internal/control"
	"brassmux/internal/settings"
)

// leaseQuotas configures a node that shares quotas with another one.
func leaseQuotas(c *Config) {
	c.Settings.NodeCount, c.Settings.Limits.GossipAllowed = 2, true
	c.Settings.Workload.ConnectionQuotas = []float64{1000}
	c.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: []string{"127.0.0.1:2", "127.0.0.1:3"}}
	c.Budgets.Leased = true
}

// heldPeers are two nodes with a simulated clock, whose messages to each other are held until deliverAll.
type heldPeers struct {
	now      time.Duration
	loops    [2]*loop
	messages []func()
}

// connect makes the loops use the simulated clock and hold their messages.
func (p *heldPeers) connect() {
	for i, l := range p.loops {
		l.uptime = func() time.Duration { return p.now }
		l.control.SetSender(peerLink(func(to int, message budget.Message) {
			p.messages = append(p.messages, func() { p.loops[to].control.HandlePeerMessage(i, message) })
		}))
	}
}

// deliverAll calls Tick at both nodes and delivers all messages.
func (p *heldPeers) deliverAll() {
	for _, l := range p.loops {
		l.control.Tick()
	}
	for len(p.messages) > 0 {
		next := p.messages[0]
		p.messages = p.messages[1:]
		next()
	}
}

// exhaust acquires all units that a node has, and reports whether further ones must come from other nodes.
func exhaust(manager *control.Manager, kind control.Kind, subject uint64) bool {
	for manager.Available(kind, subject) > 0 && manager.TryAcquire(kind, subject) {
	}
	return manager.Available(kind, subject) == -1
}

// withholdQuotas makes a node wait for units of quotas until grant is called: its own shares are used up, the messages
// of the other node are held, and the clock stands still.
func (n *testNode) withholdQuotas(kind control.Kind, subjects ...uint64) (grant func()) {
	otherConfig := n.cfg
	index := n.cfg.Settings.NodeIndex
	otherConfig.Settings.NodeIndex = 1 - index
	refusedCounter := "budget_" + strings.TrimSuffix(kind.ConfigKey(), "_per_s") + "_refused"
	peers := &heldPeers{now: 20 * time.Second} // after the time in which an earlier process may have used units
	n.inLoop(func() {
		peers.loops[index], peers.loops[1-index] = n.loop, newLoop(n.t.Context(), &otherConfig, zap.NewNop())
		peers.connect()
		for range 100 {
			peers.now += 100 * time.Millisecond
			peers.deliverAll()
		}
		manager := n.loop.control
		for _, subject := range subjects {
			if !exhaust(manager, kind, subject) || manager.State().Leader == index {
				n.t.Error("the quota is not exhausted, or the node is the leader")
			}
		}
	})
	return func() {
		n.inLoop(func() {
			peers.now += quotaWait / 10
			peers.deliverAll()
			peers.deliverAll()
			if len(n.loop.control.WaitingQuotas()) > 0 || counterValue(n.Node, refusedCounter) > 0 {
				n.t.Error("requests still wait for units, or were refused")
			}
		})
	}
}

// Guards against an attempt that waits for its quota while the server begins to drain, and is then sent there.
func TestAttemptWaitingForQuotaAvoidsDrainingServer(t *testing.T) {
	first, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, func(c *Config) {
		leaseQuotas(c)
		c.Settings.Limits.HealthChecksAllowed, c.Budgets.ConnectsPerSecond = false, 20
	}, first, other)
	subject := func(srv *testServer) uint64 { return uint64(settings.HashServerID(srv.id)) }
	grant := n.withholdQuotas(control.Connects, subject(first), subject(other))
	client := n.open("k", "")
	n.waitFor("the request", func() bool { return n.waitingForQuotas() == 1 })
	n.inLoop(func() {
		quota := budget.ID{Kind: uint8(control.Connects), Subject: subject(first)}
		if !slices.Contains(n.loop.control.WaitingQuotas(), quota) {
			first, other = other, first
		}
	})
	n.discovery.sendList(2, false, first.endpointJSON("draining"))
	n.waitFor("the drain", func() bool { return n.isDraining(first) })
	n.waitFor("another attempt", func() bool {
		grant()
		return len(other.conns) > 0
	})
	server, _ := other.accept(t)
	server.send("UP r\r\n")
	client.expect("UP r\r\n")
	if first.countUnaccepted(t) > 0 {
		t.Error("the request was sent to the draining server")
	}
}

// waitingForQuotas returns the number of requests that wait for units of quotas.
func (n *testNode) waitingForQuotas() (count int) {
	n.inLoop(func() { count = len(n.loop.control.WaitingQuotas()) })
	return count
}
