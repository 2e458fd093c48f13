package node

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/internal/discovery"
)

func leased(t *testing.T) Config {
	t.Helper()
	c := testConfig(t, &fakeDiscovery{addr: "127.0.0.1:1"})
	c.Settings.NodeCount, c.Settings.Limits.GossipAllowed = 2, true
	c.Settings.Workload.ConnectionQuotas = []float64{1000}
	servers := &c.Settings.Servers
	servers.SlowStartMinCapacity, servers.SlowStartWindowMicros = 0.5, 60_000_000
	servers.OverloadFactor, servers.OverloadWindowMicros = 3, 2_000_000
	c.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: []string{"127.0.0.1:2", "127.0.0.1:3"}}
	c.Budgets.Leased = true
	if faults := c.Validate(); len(faults) > 0 {
		t.Fatal(faults)
	}
	return c
}

// Guards against a part that is spent twice in one window, since the list took a server in slow start away and brought
// it back, or since the time of an earlier event was taken for now.
func TestAWindowOutlivesTheListAndTheEvent(t *testing.T) {
	c := leased(t)
	l := newLoop(t.Context(), &c, zap.NewNop())
	now := 20 * time.Second // what a start before this one did is past
	l.uptime = func() time.Duration { return now }
	s := discovery.Endpoint{ID: 7, Addr: "127.0.0.1:4", State: "up",
		StartedAtMillis: time.Now().Add(-time.Second).UnixMilli()}
	list := func(state string) {
		s.State = state
		l.applyEndpointList(&discovery.EndpointList{Servers: []discovery.Endpoint{s}})
	}
	list("up")
	part := l.control.Remaining(7)
	if part < 2 {
		t.Fatalf("the node's part is %d", part)
	}
	for range part {
		if !l.control.Take(7) {
			t.Fatal("less than was said")
		}
	}
	list("draining")
	if l.control.Take(7) || l.control.InSlowStart(7) {
		t.Error("a server that drains has a part")
	}
	now += time.Second
	list("up")
	if n := l.control.Remaining(7); n > part/2 { // the whole has grown a little meanwhile
		t.Errorf("%d may be spent within the window of %d", n, part)
	}
	now += 3 * time.Second // no event tells of it
	if n := l.control.Remaining(balance.ServerID(7)); n < part {
		t.Errorf("%d may be spent after the window, %d before", n, part)
	}
}

func TestFaultyKeysOfBudgets(t *testing.T) {
	for want, change := range map[string]func(c *Config){
		"peers.listen":           func(c *Config) { c.Peers.Listen = "here" },
		"peers.nodes[1]":         func(c *Config) { c.Peers.NodeAddrs[1] = "somewhere:9" },
		"that of nodes[0] too":   func(c *Config) { c.Peers.NodeAddrs[1] = c.Peers.NodeAddrs[0] },
		"1 addresses for 2":      func(c *Config) { c.Peers.NodeAddrs = c.Peers.NodeAddrs[:1] },
		"bars talk":              func(c *Config) { c.Settings.Limits.GossipAllowed = false },
		"budgets.lease: needs p": func(c *Config) { c.Peers = Peers{} },
		"tenant_quota":           func(c *Config) { c.Settings.Workload.ConnectionQuotas = nil },
		"budgets.floor":          func(c *Config) { c.Budgets.GuaranteedShare = 1.1 },
		"budgets.term_ms":        func(c *Config) { c.Budgets.LeaseTermMS = 49 },
		"budgets.beat_ms":        func(c *Config) { c.Budgets.HeartbeatMS = -1 },
		"budgets.drift_ppm":      func(c *Config) { c.Budgets.MaxClockDriftPPM = 50_001 },
		"retries_per_s: -1":      func(c *Config) { c.Budgets.RetriesPerSecond = -1 },
		"opens_per_s: 1000001":   func(c *Config) { c.Budgets.OpensPerSecond = 1_000_001 },
		"open_per_customer: -2":  func(c *Config) { c.Budgets.OpenPerCustomer = -2 },
		"budgets.open_lease_ms":  func(c *Config) { c.Budgets.OpenLeaseMS = 4999 },
		"moves_per_s: needs":     func(c *Config) { c.Budgets.MovesPerSecond, c.Budgets.Leased = 5, false },
		"retries_per_s: needs":   func(c *Config) { c.Budgets.RetriesPerSecond, c.Budgets.Leased = 5, false },
	} {
		c := leased(t)
		change(&c)
		if text := fmt.Sprint(c.Validate()); !strings.Contains(text, want) {
			t.Errorf("%q does not name %q", text, want)
		}
	}
}

// below makes a node of two below a control machine, above the control machine itself.
func below(t *testing.T) Config {
	c := leased(t)
	c.Peers = Peers{Listen: "127.0.0.1:0", ControlAddrs: []string{"127.0.0.1:2"}}
	return c
}

func above(t *testing.T) Config {
	c := leased(t)
	c.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: []string{"127.0.0.1:2"}, ChildListen: "127.0.0.1:0"}
	return c
}

// Each faulty key of control machines is named, alone, at a start, by check and on a reload.
func TestFaultyKeysOfControlMachines(t *testing.T) {
	many := make([]string, maxControlMachines+1)
	for i := range many {
		many[i] = fmt.Sprintf("127.0.0.1:%d", 100+i)
	}
	for _, c := range []struct {
		of     func(t *testing.T) Config
		want   string
		change func(c *Config)
	}{
		{below, "peers.control[0]", func(c *Config) { c.Peers.ControlAddrs[0] = "somewhere:9" }},
		{below, "that of control[0] too", func(c *Config) {
			c.Peers.ControlAddrs = append(c.Peers.ControlAddrs, c.Peers.ControlAddrs[0])
		}},
		{below, "peers.control: 33 addresses", func(c *Config) { c.Peers.ControlAddrs = many }},
		{below, "peers.control: this node is number 2 of 2", func(c *Config) { c.Settings.NodeIndex = 2 }},
		{below, "peers.control: this node is number 0 of 65537", func(c *Config) { c.Settings.NodeCount = 65537 }},
		{below, "peers.nodes: a node with peers.control", func(c *Config) {
			c.Peers.NodeAddrs = []string{"127.0.0.1:3"}
		}},
		{below, "peers.children: a node with peers.control", func(c *Config) { c.Peers.ChildListen = "127.0.0.1:0" }},
		{below, "peers.index: 1", func(c *Config) { c.Peers.ControlIndex = 1 }},
		{below, "peers.listen", func(c *Config) { c.Peers.Listen = "" }},
		{below, "bars talk", func(c *Config) { c.Settings.Limits.GossipAllowed = false }},
		{below, "budgets.open_per_customer: is not divided", func(c *Config) { c.Budgets.OpenPerCustomer = 5 }},
		{below, "budgets.child_term_ms", func(c *Config) { c.Budgets.ChildLeaseTermMS = 49 }},
		{above, "peers.children: \"here\"", func(c *Config) { c.Peers.ChildListen = "here" }},
		{above, "peers.children: 65537 nodes", func(c *Config) { c.Settings.NodeCount = 65537 }},
		{above, "peers.nodes: 33 addresses", func(c *Config) { c.Peers.NodeAddrs = many }},
		{above, "peers.nodes: 0 addresses", func(c *Config) { c.Peers.NodeAddrs = nil }},
		{above, "peers.index: 1 is none", func(c *Config) { c.Peers.ControlIndex = 1 }},
		{above, "peers.index: -1 is none", func(c *Config) { c.Peers.ControlIndex = -1 }},
		{above, "bars talk", func(c *Config) { c.Settings.Limits.GossipAllowed = false }},
		{above, "budgets.control_floor", func(c *Config) { c.Budgets.ControlGuaranteedShare = 1.1 }},
		{above, "budgets.open_per_customer: is not divided", func(c *Config) { c.Budgets.OpenPerCustomer = 5 }},
		{leased, "peers.index: 1 is for a control machine", func(c *Config) { c.Peers.ControlIndex = 1 }},
	} {
		cfg := c.of(t)
		if faults := cfg.Validate(); len(faults) > 0 {
			t.Fatal(faults)
		}
		n := &Node{cfg: cfg, log: zap.NewNop()}
		c.change(&cfg)
		if text := fmt.Sprint(cfg.Validate()); !strings.Contains(text, c.want) {
			t.Errorf("%q does not name %q", text, c.want)
		}
		if _, err := New(cfg, nil); err == nil || !strings.HasPrefix(err.Error(), "config: ") {
			t.Errorf("%s: a start gives %v", c.want, err)
		}
		if err := n.Reload(cfg); err == nil {
			t.Errorf("%s: a reload takes it", c.want)
		}
	}
}

// peerLink hands messages to peers to the test; there are no children.
type peerLink func(to int, message budget.Message)

func (l peerLink) SendToPeer(to int, message budget.Message) { l(to, message) }

func (l peerLink) SendToChild(int, budget.LeaseResponse) {}

// twoNodes is a node's loop and the part of another node in shared quotas, on one clock, with a network between them.
type twoNodes struct {
	loop     *loop
	now      time.Duration
	requests int // units that the loop's node has requested
}

// newTwoNodes makes two that share 40 units of new connections in any second, half of them guaranteed.
func newTwoNodes(t *testing.T, index int) *twoNodes {
	p := &twoNodes{now: 20 * time.Second} // what a start before this one did is past
	c := leased(t)
	c.Budgets.OpensPerSecond, c.Budgets.GuaranteedShare, c.Settings.NodeIndex = 40, 0.5, index
	if faults := c.Validate(); len(faults) > 0 {
		t.Fatal(faults)
	}
	p.loop = newLoop(t.Context(), &c, zap.NewNop())
	p.loop.uptime = func() time.Duration { return p.now }
	const window = 2250 * time.Millisecond // the longest of any quota
	other := budget.New(budget.Settings{Nodes: 2, Index: 1 - index, GuaranteedFraction: 0.5, MaxWindow: window,
		LeaseTerm: time.Second, HeartbeatInterval: 400 * time.Millisecond}, 1, 0)
	p.loop.control.SetSender(peerLink(func(_ int, message budget.Message) {
		if request, ok := message.(budget.LeaseRequest); ok {
			p.requests += len(request.Wanted)
		}
		p.deliver(1-index, other.HandleMessage(p.now, index, message))
	}))
	return p
}

// deliver queues the messages of the other node.
func (p *twoNodes) deliver(from int, actions []budget.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case budget.SendRequest:
			p.loop.events <- func() { p.loop.control.HandlePeerMessage(from, action.Request) }
		case budget.SendResponse:
			p.loop.events <- func() { p.loop.control.HandlePeerMessage(from, action.Response) }
		}
	}
}

// meet lasts until one of the nodes leads.
func (p *twoNodes) meet() {
	for range 5 {
		for p.loop.control.Tick(); len(p.loop.events) > 0; {
			(<-p.loop.events)()
		}
		p.now += 400 * time.Millisecond
	}
}

// newFollower gives the loop of the one of two nodes that follows: the one that leads has nobody to request units from.
func newFollower(t *testing.T) *twoNodes {
	var p *twoNodes
	for index := range 2 {
		p = newTwoNodes(t, index)
		if p.meet(); p.loop.control.State().Leader == 1-index {
			break
		}
	}
	if state := p.loop.control.State(); state.Leader < 0 || p.requests != 0 {
		t.Fatalf("%+v, %d units requested", state, p.requests)
	}
	return p
}

// Guards against units for others than this node's clients that are taken beside the quota: who asks gets the node's
// part and no more, is answered once, and what is short is requested at once, not with the next heartbeat.
func TestAcquireForOtherPrograms(t *testing.T) {
	p := newFollower(t)
	n := &Node{loop: p.loop}
	answers, taken := 0, 0
	for range 12 { // nobody waits for an answer here
		if err := n.Acquire("opens_per_s", 7, 0, func(ok bool) {
			answers++
			if ok {
				taken++
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	if answers != 0 || len(p.loop.events) != 12 {
		t.Fatalf("%d answers from the caller's goroutine, %d in the queue", answers, len(p.loop.events))
	}
	for range 12 {
		(<-p.loop.events)()
	}
	if answers != 12 || taken != 10 { // half of the limit is guaranteed, half of that to this node
		t.Errorf("%d answers, %d units taken, not 12 and 10", answers, taken)
	}
	if p.requests == 0 {
		t.Error("nothing was requested from the other node")
	}
}

// Acquire says what is wrong with a limit that it cannot use, and calls nobody back.
func TestAcquireOfUnusableLimits(t *testing.T) {
	p := newFollower(t)
	n := &Node{loop: p.loop}
	for _, test := range []struct {
		limit, text string
		want        error
	}{
		{"", "no rate", ErrUnknownRate}, {"cold", "no rate", ErrUnknownRate},
		{"open_per_customer", "no rate", ErrUnknownRate}, {"retries_per_s", "no bound", ErrNoLimit},
	} {
		err := n.Acquire(test.limit, 1, 0, func(bool) { t.Errorf("%q was answered", test.limit) })
		if !errors.Is(err, test.want) || !strings.Contains(err.Error(), test.text) {
			t.Errorf("%q: %v, not %q", test.limit, err, test.text)
		}
	}
	if len(p.loop.events) != 0 {
		t.Fatal("what is rejected got to the loop")
	}
	plain := testConfig(t, &fakeDiscovery{addr: "127.0.0.1:1"})
	n = &Node{loop: newLoop(t.Context(), &plain, zap.NewNop())}
	if err := n.Acquire("opens_per_s", 7, 0, func(bool) {}); !errors.Is(err, ErrLeasingDisabled) {
		t.Errorf("a node that shares nothing: %v", err)
	}
}
