package budget

import (
	"testing"
	"time"
)

// parentSettings returns the settings of the nodes below a Parent.
func parentSettings(nodes int, guaranteed float64) Settings {
	return Settings{Nodes: nodes, GuaranteedFraction: guaranteed, MaxWindow: time.Second,
		LeaseTerm: 250 * time.Millisecond, HeartbeatInterval: 400 * time.Millisecond}
}

// newTestParent returns a Parent in a group of groupNodes control machines, with a rule for kind 1.
func newTestParent(settings Settings, groupNodes int) *Parent {
	groupSettings := settings
	groupSettings.Nodes, groupSettings.GuaranteedFraction = groupNodes, 0.5
	parent := NewParent(settings, New(groupSettings, 1, 0), 2, 0)
	parent.SetRule(1, Rule{Limit: 10, Window: time.Second})
	return parent
}

// Messages that no node of the group sends have to be counted and otherwise ignored, and invalid values in a request
// must not cause grants beyond the limit. A node below Parents must accept neither requests nor responses from unknown
// indexes.
func TestUnknownMessagesAreIgnored(t *testing.T) {
	settings := parentSettings(10, 0.5)
	parent := newTestParent(settings, 2)
	parent.SetRule(9, Rule{Limit: 10, Window: time.Second, ConcurrencyLeaseTerm: 10 * time.Second})
	now := 10 * time.Second
	for i, c := range []struct {
		from    int
		message Message
	}{{-1, LeaseRequest{Incarnation: 1}}, {10, LeaseRequest{Incarnation: 1}}, {3, LeaseRequest{}},
		{3, LeaseResponse{Incarnation: 1}}} {
		if actions := parent.HandleChildMessage(now, c.from, c.message); len(actions) > 0 ||
			parent.Counters.Unknown != int64(i+1) {
			t.Errorf("message from %d caused actions %v, counters %+v", c.from, actions, parent.Counters)
		}
	}
	checkGrants(t, parent.HandleChildMessage(now, 3, invalidRequest()))
	if parent.children.available(ID{Kind: 1}, false) > 0 {
		t.Error("units delegated to another incarnation are available")
	}
	settings.Parents, settings.Index = 2, 3
	member := New(settings, 4, 0)
	for _, c := range []struct {
		from    int
		message Message
	}{{2, LeaseResponse{Incarnation: 1}}, {-1, LeaseResponse{Incarnation: 1}}, {0, LeaseRequest{Incarnation: 1}}} {
		member.HandleMessage(now, c.from, c.message)
	}
	if member.Counters.Unknown != 3 || len(member.leader.followers) != 0 {
		t.Errorf("the member accepted an unknown message: %+v", member.Counters)
	}
}

// invalidRequest returns a request with values that no member sends.
func invalidRequest() LeaseRequest {
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

// checkGrants fails if a grant to a child has a negative number of units or more than the limit of ten.
func checkGrants(t *testing.T, actions []Action) {
	granted := 0
	for _, action := range actions {
		if send, ok := action.(SendResponse); ok && send.ToChild {
			for _, grant := range send.Response.Grants {
				if granted += grant.Units; grant.Units < 0 || grant.Units > 10 {
					t.Errorf("invalid grant %+v", grant)
				}
			}
		}
	}
}

// The number of deferred responses to one node and to all nodes has to be bounded, and no response may be deferred for
// longer than an eighth of a heartbeat interval.
func TestDeferredResponsesAreBounded(t *testing.T) {
	settings := parentSettings(3000, 0)
	parent := newTestParent(settings, 2)
	now, sent := 10*time.Second, 0
	countResponses := func(actions []Action) {
		for _, action := range actions {
			if send, ok := action.(SendResponse); ok && send.ToChild {
				sent++
			}
		}
	}
	request := func(seq uint64, id ID) LeaseRequest {
		return LeaseRequest{Incarnation: 5, Seq: seq, Wanted: []Amount{{ID: id, Units: 20}}}
	}
	// The Parent follows the other control machine, which does not respond to its requests.
	parent.group.follower.leaderIndex = 1
	parent.group.follower.contacts[1] = leaderContact{incarnation: 9, leaderClock: 1, receivedAt: now, hasQuorum: true}
	for i := range 2000 {
		countResponses(parent.HandleChildMessage(now, i, request(1, ID{Kind: 1})))
	}
	for seq := range uint64(20) {
		countResponses(parent.HandleChildMessage(now, 2500, request(seq+1, ID{Kind: 1})))
	}
	if deferred := parent.State(now).Deferred; deferred != maxDeferred || sent != 2020-maxDeferred {
		t.Errorf("%d responses deferred, %d sent", deferred, sent)
	}
	now += settings.HeartbeatInterval / deferralDivisor
	countResponses(parent.Tick(now))
	if deferred := parent.State(now).Deferred; deferred != 0 || sent != 2020 || len(parent.deferredByChild) != 0 {
		t.Errorf("%d responses deferred after they were due, %d sent", deferred, sent)
	}
	for seq := range uint64(20) {
		countResponses(parent.HandleChildMessage(now, 2501, request(seq+1, ID{Kind: 1, Subject: 5})))
	}
	if deferred := parent.State(now).Deferred; deferred > maxDeferredPerChild {
		t.Errorf("%d responses to one node deferred", deferred)
	}
}

// A Parent has to drop the accounts of budgets of a rule that its children no longer use, those for the children and
// those in its group. Otherwise a steady flow of new budgets would use ever more memory.
func TestParentDropsIdleAccounts(t *testing.T) {
	settings := parentSettings(10, 0.5)
	parent := newTestParent(settings, 1)
	now, granted := 10*time.Second, 0
	for i := range 3000 {
		now += 10 * time.Millisecond
		request := LeaseRequest{Incarnation: 5, Seq: uint64(i + 1),
			Wanted: []Amount{{ID: ID{Kind: 1, Subject: uint64(i)}, Units: 1}}}
		for _, action := range parent.HandleChildMessage(now, i%10, request) {
			if send, ok := action.(SendResponse); ok {
				granted += len(send.Response.Grants)
			}
		}
		if i%40 == 0 {
			parent.Tick(now)
		}
	}
	if granted < 2000 {
		t.Fatalf("only %d grants", granted)
	}
	for range 20 {
		now += settings.HeartbeatInterval
		parent.Tick(now)
	}
	childAccounts, groupAccounts := len(parent.children.accounts), len(parent.group.accounts)
	totals := len(parent.children.totals) + len(parent.group.leader.totals)
	if childAccounts > 50 || groupAccounts > 50 || totals > 100 {
		t.Errorf("%d and %d accounts and %d totals left", childAccounts, groupAccounts, totals)
	}
}
