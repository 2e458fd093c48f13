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

// leaseQuotas has a node share budgets with another one.
func leaseQuotas(c *Config) {
	c.Settings.NodeCount, c.Settings.Limits.GossipAllowed = 2, true
	c.Settings.Workload.ConnectionQuotas = []float64{1000}
	c.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: []string{"127.0.0.1:2", "127.0.0.1:3"}}
	c.Budgets.Leased = true
}

// heldPeers are two nodes on a clock that the test moves, whose messages to one another are held until share.
type heldPeers struct {
	now      time.Duration
	loops    [2]*loop
	messages []func()
}

// connect has the loops use the clock and hold their messages.
func (p *heldPeers) connect() {
	for i, l := range p.loops {
		l.uptime = func() time.Duration { return p.now }
		l.control.SetSender(peerLink(func(to int, w budget.Message) {
			p.messages = append(p.messages, func() { p.loops[to].control.HandlePeerMessage(i, w) })
		}))
	}
}

// share has both do what is due, and delivers all messages.
func (p *heldPeers) share() {
	for _, l := range p.loops {
		l.control.Tick()
	}
	for len(p.messages) > 0 {
		next := p.messages[0]
		p.messages = p.messages[1:]
		next()
	}
}

// exhaust acquires all units that a node has, and reports whether more are to come from the others.
func exhaust(m *control.Manager, kind control.Kind, of uint64) bool {
	for m.Available(kind, of) > 0 && m.TryAcquire(kind, of) {
	}
	return m.Available(kind, of) == -1
}

// withholdQuotas has a node wait for budgets: its own parts are spent, the other's words are held back, and its time
// stands still, until grant.
func (r *testNode) withholdQuotas(kind control.Kind, ids ...uint64) (grant func()) {
	other := r.cfg
	own := r.cfg.Settings.NodeIndex
	other.Settings.NodeIndex = 1 - own
	refused := "budget_" + strings.TrimSuffix(kind.ConfigKey(), "_per_s") + "_refused"
	p := &heldPeers{now: 20 * time.Second} // what a start before this one did is past
	r.inLoop(func() {
		p.loops[own], p.loops[1-own] = r.loop, newLoop(r.t.Context(), &other, zap.NewNop())
		p.connect()
		for range 100 {
			p.now += 100 * time.Millisecond
			p.share()
		}
		m := r.loop.control
		for _, of := range ids {
			if !exhaust(m, kind, of) || m.State().Leader == own {
				r.t.Error("none waits for the other node")
			}
		}
	})
	return func() {
		r.inLoop(func() {
			p.now += quotaWait / 10
			p.share()
			p.share()
			if len(r.loop.control.WaitingQuotas()) > 0 || counterOf(r.Node, refused) > 0 {
				r.t.Error("some wait on, or go without")
			}
		})
	}
}

// The same, and the attempt waits for a budget.
func TestNothingIsSentToAServerThatDrainsWhileAnAttemptWaitsForABudget(t *testing.T) {
	first, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, func(c *Config) {
		leaseQuotas(c)
		c.Settings.Limits.HealthChecksAllowed, c.Budgets.ConnectsPerSecond = false, 20
	}, first, other)
	of := func(h *testServer) uint64 { return uint64(settings.HashServerID(h.id)) }
	grant := n.withholdQuotas(control.Connects, of(first), of(other))
	client := n.open("k", "")
	n.waitFor("the request", func() bool { return n.waitingForQuotas() == 1 })
	n.inLoop(func() {
		quota := budget.ID{Kind: uint8(control.Connects), Subject: of(first)}
		if !slices.Contains(n.loop.control.WaitingQuotas(), quota) {
			first, other = other, first
		}
	})
	n.discovery.sendList(2, false, first.endpointJSON("draining"))
	n.waitFor("the drain", func() bool { return n.drains(first) })
	n.waitFor("another attempt", func() bool {
		grant()
		return len(other.conns) > 0
	})
	server, _ := other.accept(t)
	server.send("UP r\r\n")
	client.expect("UP r\r\n")
	if first.countUnaccepted(t) > 0 {
		t.Error("the one that drains was sent it")
	}
}

// waitingForQuotas counts who does.
func (r *testNode) waitingForQuotas() (n int) {
	r.inLoop(func() { n = len(r.loop.control.WaitingQuotas()) })
	return n
}
