package budget

import (
	"testing"
	"time"
)

// parentSettings are those of the nodes below a Parent in a test.
func parentSettings(nodes int, guaranteed float64) Settings {
	return Settings{Nodes: nodes, GuaranteedFraction: guaranteed, MaxWindow: time.Second,
		LeaseTerm: 250 * time.Millisecond, HeartbeatInterval: 400 * time.Millisecond}
}

// newTestParent makes one in a group of so many, with a rule for kind 1.
func newTestParent(settings Settings, group int) *Parent {
	upper := settings
	upper.Nodes, upper.GuaranteedFraction = group, 0.5
	p := NewParent(settings, New(upper, 1, 0), 2, 0)
	p.SetRule(1, Rule{Limit: 10, Window: time.Second})
	return p
}

// Messages that no node of this group sends are counted and change nothing; a node accepts no requests, and no
// responses of an index that it does not know.
func TestUnknownMessages(t *testing.T) {
	settings := parentSettings(10, 0.5)
	p := newTestParent(settings, 2)
	p.SetRule(9, Rule{Limit: 10, Window: time.Second, ConcurrencyLeaseTerm: 10 * time.Second})
	now := 10 * time.Second
	for i, c := range []struct {
		from    int
		message Message
	}{{-1, LeaseRequest{Incarnation: 1}}, {10, LeaseRequest{Incarnation: 1}}, {3, LeaseRequest{}},
		{3, LeaseResponse{Incarnation: 1}}} {
		if out := p.HandleChildMessage(now, c.from, c.message); len(out) > 0 || p.Counters.Unknown != int64(i+1) {
			t.Errorf("%d: %v, %+v", c.from, out, p.Counters)
		}
	}
	checkGrants(t, p.HandleChildMessage(now, 3, absurdRequest()))
	if p.children.available(ID{Kind: 1}, false) > 0 {
		t.Error("what was delegated to another incarnation is granted")
	}
	settings.Parents, settings.Index = 2, 3
	m := New(settings, 4, 0)
	for _, c := range []struct {
		from    int
		message Message
	}{{2, LeaseResponse{Incarnation: 1}}, {-1, LeaseResponse{Incarnation: 1}}, {0, LeaseRequest{Incarnation: 1}}} {
		m.HandleMessage(now, c.from, c.message)
	}
	if m.Counters.Unknown != 3 || len(m.leader.followers) != 0 {
		t.Errorf("%+v", m.Counters)
	}
}

// absurdRequest has values that no member sends.
func absurdRequest() LeaseRequest {
	request := LeaseRequest{Incarnation: 5, Seq: 1, LeaderClock: -1 << 62, Leader: 99,
		Releases: []Release{{Grant: 77, Used: -3, SinceUse: -1 << 62}},
		Wanted: []Amount{{ID: ID{Kind: 1}, Units: -4}, {ID: ID{Kind: 2}, Units: 5},
			{ID: ID{Kind: 9}, Units: 5}},
		Delegated: []Amount{{ID: ID{Kind: 1}, Units: -7}, {ID: ID{Kind: 1}, Units: 1 << 40}}}
	for i := range 3 * MaxEntries {
		request.Wanted = append(request.Wanted, Amount{ID: ID{Kind: 1, Subject: uint64(i)}, Units: 1 << 40})
	}
	return request
}

// checkGrants holds the grants to children to a limit of ten.
func checkGrants(t *testing.T, actions []Action) {
	granted := 0
	for _, a := range actions {
		if send, ok := a.(SendResponse); ok && send.ToChild {
			for _, g := range send.Response.Grants {
				if granted += g.Units; g.Units < 0 || g.Units > 10 {
					t.Errorf("%+v", g)
				}
			}
		}
	}
}

// Deferred responses are bounded, to one node and to all, and none is deferred for longer than an eighth of a heartbeat
// interval.
func TestDeferredResponsesAreBounded(t *testing.T) {
	settings := parentSettings(3000, 0)
	p := newTestParent(settings, 2)
	now, answered := 10*time.Second, 0
	count := func(actions []Action) {
		for _, a := range actions {
			if send, ok := a.(SendResponse); ok && send.ToChild {
				answered++
			}
		}
	}
	request := func(seq uint64, id ID) LeaseRequest {
		return LeaseRequest{Incarnation: 5, Seq: seq, Wanted: []Amount{{ID: id, Units: 20}}}
	}
	// The other control machine is followed and answers nothing of what is wanted.
	p.group.follower.leaderIndex = 1
	p.group.follower.contacts[1] = leaderContact{incarnation: 9, leaderClock: 1, receivedAt: now, hasQuorum: true}
	for i := range 2000 {
		count(p.HandleChildMessage(now, i, request(1, ID{Kind: 1})))
	}
	for seq := range uint64(20) {
		count(p.HandleChildMessage(now, 2500, request(seq+1, ID{Kind: 1})))
	}
	if deferred := p.State(now).Deferred; deferred != maxDeferred || answered != 2020-maxDeferred {
		t.Errorf("%d deferred, %d answered", deferred, answered)
	}
	now += settings.HeartbeatInterval / deferralDivisor
	count(p.Tick(now))
	if deferred := p.State(now).Deferred; deferred != 0 || answered != 2020 || len(p.deferredByChild) != 0 {
		t.Errorf("%d deferred after their time, %d answered", deferred, answered)
	}
	for seq := range uint64(20) {
		count(p.HandleChildMessage(now, 2501, request(seq+1, ID{Kind: 1, Subject: 5})))
	}
	if deferred := p.State(now).Deferred; deferred > maxDeferredPerChild {
		t.Errorf("%d deferred of one node", deferred)
	}
}

// A Parent forgets the budgets of a rule that its children no longer use, for them and in its group.
func TestParentDropsIdleAccounts(t *testing.T) {
	settings := parentSettings(10, 0.5)
	p := newTestParent(settings, 1)
	now, granted := 10*time.Second, 0
	for i := range 3000 {
		now += 10 * time.Millisecond
		request := LeaseRequest{Incarnation: 5, Seq: uint64(i + 1),
			Wanted: []Amount{{ID: ID{Kind: 1, Subject: uint64(i)}, Units: 1}}}
		for _, a := range p.HandleChildMessage(now, i%10, request) {
			if send, ok := a.(SendResponse); ok {
				granted += len(send.Response.Grants)
			}
		}
		if i%40 == 0 {
			p.Tick(now)
		}
	}
	if granted < 2000 {
		t.Fatalf("%d granted", granted)
	}
	for range 20 {
		now += settings.HeartbeatInterval
		p.Tick(now)
	}
	below, above := len(p.children.accounts), len(p.group.accounts)
	pools := len(p.children.totals) + len(p.group.leader.totals)
	if below > 50 || above > 50 || pools > 100 {
		t.Errorf("%d and %d are remembered, and %d sums", below, above, pools)
	}
}
