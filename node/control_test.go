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

// leasingConfig returns a valid configuration of one of two nodes that share quotas by leases.
func leasingConfig(t *testing.T) Config {
	t.Helper()
	cfg := testConfig(t, &fakeDiscovery{addr: "127.0.0.1:1"})
	cfg.Settings.NodeCount, cfg.Settings.Limits.GossipAllowed = 2, true
	cfg.Settings.Workload.ConnectionQuotas = []float64{1000}
	settings := &cfg.Settings.Servers
	settings.SlowStartMinCapacity, settings.SlowStartWindowMicros = 0.5, 60_000_000
	settings.OverloadFactor, settings.OverloadWindowMicros = 3, 2_000_000
	cfg.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: []string{"127.0.0.1:2", "127.0.0.1:3"}}
	cfg.Budgets.Leased = true
	if faults := cfg.Validate(); len(faults) > 0 {
		t.Fatal(faults)
	}
	return cfg
}

// Guards against a slow-start share that is used twice in one window, because a server was removed from the endpoint
// list and added again, or because the time of an earlier event was taken for the current time.
func TestSlowStartBudgetSurvivesListChanges(t *testing.T) {
	cfg := leasingConfig(t)
	loop := newLoop(t.Context(), &cfg, zap.NewNop())
	now := 20 * time.Second // after the time in which an earlier process may have used the share
	loop.uptime = func() time.Duration { return now }
	endpoint := discovery.Endpoint{ID: 7, Addr: "127.0.0.1:4", State: "up",
		StartedAtMillis: time.Now().Add(-time.Second).UnixMilli()}
	applyList := func(state string) {
		endpoint.State = state
		loop.applyEndpointList(&discovery.EndpointList{Servers: []discovery.Endpoint{endpoint}}, false)
	}
	applyList("up")
	share := loop.control.Remaining(7)
	if share < 2 {
		t.Fatalf("the node's share is %d, want at least 2", share)
	}
	for range share {
		if !loop.control.Take(7) {
			t.Fatal("fewer units than Remaining returned")
		}
	}
	applyList("draining")
	if loop.control.Take(7) || loop.control.InSlowStart(7) {
		t.Error("a draining server has a share")
	}
	now += time.Second
	applyList("up")
	if remaining := loop.control.Remaining(7); remaining > share/2 { // the total has grown a little in the meantime
		t.Errorf("%d units remain within the window, want at most half of %d", remaining, share)
	}
	now += 3 * time.Second // without an event
	if remaining := loop.control.Remaining(balance.ServerID(7)); remaining < share {
		t.Errorf("%d units remain after the window, want at least %d", remaining, share)
	}
}

// Guards against invalid keys of budgets and peers that are accepted or not named in the error.
func TestInvalidBudgetKeys(t *testing.T) {
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
		cfg := leasingConfig(t)
		change(&cfg)
		if text := fmt.Sprint(cfg.Validate()); !strings.Contains(text, want) {
			t.Errorf("%q does not name %q", text, want)
		}
	}
}

// childConfig returns a valid configuration of one of two nodes below a control machine.
func childConfig(t *testing.T) Config {
	cfg := leasingConfig(t)
	cfg.Peers = Peers{Listen: "127.0.0.1:0", ControlAddrs: []string{"127.0.0.1:2"}}
	return cfg
}

// controlMachineConfig returns a valid configuration of a control machine.
func controlMachineConfig(t *testing.T) Config {
	cfg := leasingConfig(t)
	cfg.Peers = Peers{Listen: "127.0.0.1:0", NodeAddrs: []string{"127.0.0.1:2"}, ChildListen: "127.0.0.1:0"}
	return cfg
}

// Guards against invalid keys of control machines that are accepted by Validate, New or Reload, or not named in the
// error. Each configuration has one invalid key.
func TestInvalidControlMachineKeys(t *testing.T) {
	tooManyAddrs := make([]string, maxControlMachines+1)
	for i := range tooManyAddrs {
		tooManyAddrs[i] = fmt.Sprintf("127.0.0.1:%d", 100+i)
	}
	for _, test := range []struct {
		newConfig func(t *testing.T) Config
		want      string
		change    func(c *Config)
	}{
		{childConfig, "peers.control[0]", func(c *Config) { c.Peers.ControlAddrs[0] = "somewhere:9" }},
		{childConfig, "that of control[0] too", func(c *Config) {
			c.Peers.ControlAddrs = append(c.Peers.ControlAddrs, c.Peers.ControlAddrs[0])
		}},
		{childConfig, "peers.control: 33 addresses", func(c *Config) { c.Peers.ControlAddrs = tooManyAddrs }},
		{childConfig, "peers.control: this node is number 2 of 2", func(c *Config) { c.Settings.NodeIndex = 2 }},
		{childConfig, "peers.control: this node is number 0 of 65537", func(c *Config) {
			c.Settings.NodeCount = 65537
		}},
		{childConfig, "peers.nodes: a node with peers.control", func(c *Config) {
			c.Peers.NodeAddrs = []string{"127.0.0.1:3"}
		}},
		{childConfig, "peers.children: a node with peers.control", func(c *Config) {
			c.Peers.ChildListen = "127.0.0.1:0"
		}},
		{childConfig, "peers.index: 1", func(c *Config) { c.Peers.ControlIndex = 1 }},
		{childConfig, "peers.listen", func(c *Config) { c.Peers.Listen = "" }},
		{childConfig, "bars talk", func(c *Config) { c.Settings.Limits.GossipAllowed = false }},
		{childConfig, "budgets.open_per_customer: is not divided", func(c *Config) { c.Budgets.OpenPerCustomer = 5 }},
		{childConfig, "budgets.child_term_ms", func(c *Config) { c.Budgets.ChildLeaseTermMS = 49 }},
		{controlMachineConfig, "peers.children: \"here\"", func(c *Config) { c.Peers.ChildListen = "here" }},
		{controlMachineConfig, "peers.children: 65537 nodes", func(c *Config) { c.Settings.NodeCount = 65537 }},
		{controlMachineConfig, "peers.nodes: 33 addresses", func(c *Config) { c.Peers.NodeAddrs = tooManyAddrs }},
		{controlMachineConfig, "peers.nodes: 0 addresses", func(c *Config) { c.Peers.NodeAddrs = nil }},
		{controlMachineConfig, "peers.index: 1 is none", func(c *Config) { c.Peers.ControlIndex = 1 }},
		{controlMachineConfig, "peers.index: -1 is none", func(c *Config) { c.Peers.ControlIndex = -1 }},
		{controlMachineConfig, "bars talk", func(c *Config) { c.Settings.Limits.GossipAllowed = false }},
		{controlMachineConfig, "budgets.control_floor", func(c *Config) { c.Budgets.ControlGuaranteedShare = 1.1 }},
		{controlMachineConfig, "budgets.open_per_customer: is not divided", func(c *Config) {
			c.Budgets.OpenPerCustomer = 5
		}},
		{leasingConfig, "peers.index: 1 is for a control machine", func(c *Config) { c.Peers.ControlIndex = 1 }},
	} {
		cfg := test.newConfig(t)
		if faults := cfg.Validate(); len(faults) > 0 {
			t.Fatal(faults)
		}
		n := &Node{cfg: cfg, log: zap.NewNop()}
		test.change(&cfg)
		if text := fmt.Sprint(cfg.Validate()); !strings.Contains(text, test.want) {
			t.Errorf("%q does not name %q", text, test.want)
		}
		if _, err := New(cfg, nil); err == nil || !strings.HasPrefix(err.Error(), "config: ") {
			t.Errorf("%s: New returned %v", test.want, err)
		}
		if err := n.Reload(cfg); err == nil {
			t.Errorf("%s: Reload accepted the configuration", test.want)
		}
	}
}

// peerLink passes messages for peers to a function. There are no children.
type peerLink func(to int, message budget.Message)

// SendToPeer passes a message for a peer to the function.
func (l peerLink) SendToPeer(to int, message budget.Message) { l(to, message) }

// SendToChild does nothing.
func (l peerLink) SendToChild(int, budget.LeaseResponse) {}

// twoNodes connects the loop of one node with the quota protocol of another node. Both use the same simulated clock.
type twoNodes struct {
	loop     *loop
	now      time.Duration
	requests int // units that the loop has requested from the other node
}

// newTwoNodes returns two nodes that share 40 new connections per second, half of them as guaranteed shares.
func newTwoNodes(t *testing.T, index int) *twoNodes {
	p := &twoNodes{now: 20 * time.Second} // after the time in which an earlier process may have used units
	cfg := leasingConfig(t)
	cfg.Budgets.OpensPerSecond, cfg.Budgets.GuaranteedShare, cfg.Settings.NodeIndex = 40, 0.5, index
	if faults := cfg.Validate(); len(faults) > 0 {
		t.Fatal(faults)
	}
	p.loop = newLoop(t.Context(), &cfg, zap.NewNop())
	p.loop.uptime = func() time.Duration { return p.now }
	const window = 2250 * time.Millisecond // the longest window of any quota
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

// deliver queues messages of the other node in the loop.
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

// electLeader advances the clock by five heartbeats, in which one of the nodes becomes the leader.
func (p *twoNodes) electLeader() {
	for range 5 {
		for p.loop.control.Tick(); len(p.loop.events) > 0; {
			(<-p.loop.events)()
		}
		p.now += 400 * time.Millisecond
	}
}

// newFollower returns two nodes of which the loop's is the follower. The leader could not request units from another
// node.
func newFollower(t *testing.T) *twoNodes {
	var p *twoNodes
	for index := range 2 {
		p = newTwoNodes(t, index)
		if p.electLeader(); p.loop.control.State().Leader == 1-index {
			break
		}
	}
	if state := p.loop.control.State(); state.Leader < 0 || p.requests != 0 {
		t.Fatalf("%+v, %d units requested", state, p.requests)
	}
	return p
}

// Guards against Acquire exceeding the quota. Callers get at most the node's share, done is called once per call, and
// missing units are requested at once instead of with the next heartbeat.
func TestAcquireForOtherPrograms(t *testing.T) {
	p := newFollower(t)
	n := &Node{loop: p.loop}
	answers, taken := 0, 0
	for range 12 { // without waiting for units of the other node
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
		t.Fatalf("done was called %d times by the caller's goroutine, %d calls are queued", answers, len(p.loop.events))
	}
	for range 12 {
		(<-p.loop.events)()
	}
	if answers != 12 || taken != 10 { // half of the limit is guaranteed, and half of that to this node
		t.Errorf("%d answers and %d units acquired, want 12 and 10", answers, taken)
	}
	if p.requests == 0 {
		t.Error("no unit was requested from the other node")
	}
}

// Guards against Acquire accepting a limit that it cannot use. It must return the error and not call done.
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
		err := n.Acquire(test.limit, 1, 0, func(bool) { t.Errorf("done was called for %q", test.limit) })
		if !errors.Is(err, test.want) || !strings.Contains(err.Error(), test.text) {
			t.Errorf("%q: got error %v, want %q", test.limit, err, test.text)
		}
	}
	if len(p.loop.events) != 0 {
		t.Fatal("a rejected call was posted to the loop")
	}
	cfg := testConfig(t, &fakeDiscovery{addr: "127.0.0.1:1"})
	n = &Node{loop: newLoop(t.Context(), &cfg, zap.NewNop())}
	if err := n.Acquire("opens_per_s", 7, 0, func(bool) {}); !errors.Is(err, ErrLeasingDisabled) {
		t.Errorf("without leases: got error %v", err)
	}
}
