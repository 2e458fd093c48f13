package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// totalsChecker compares a leader's totals with sums over all its followers and grants.
type totalsChecker struct {
	t                                *testing.T
	compared, delegated, outstanding int
}

func (c *totalsChecker) check(l *leader, first ID) {
	for i := range uint64(4) {
		id := first
		id.Subject += i
		if a := l.accounts[id]; a != nil && !a.isConcurrencyLimit() {
			c.checkBudget(l, a)
		}
	}
	following := 0
	for _, record := range l.followers {
		if record.delegatedUntil > l.now {
			following++
		}
	}
	if count := l.followerCount(); count != following {
		c.t.Fatalf("%d members follow, but followerCount is %d", following, count)
	}
}

func (c *totalsChecker) checkBudget(l *leader, a *account) {
	got := l.available(a.ID, false)
	delegated, outstanding := 0, 0
	for i, record := range l.followers {
		if record.delegatedUntil < l.now+l.settings.maxEffectDuration() {
			continue
		}
		units, isListed := record.delegated[a.ID]
		if record.delegatesUnlisted && !isListed && a.rule != nil && a.allowsDelegation() {
			units = l.sharesOf(i, a).reserved
		}
		delegated += units
	}
	for _, g := range l.grants {
		if g.id == a.ID && g.effectUntil > l.now {
			outstanding += g.units
		}
	}
	if want := min(delegated, l.shares(a).allReserved) - outstanding; got != want {
		c.t.Fatalf("%d units available; %d delegated, less %d outstanding, are %d", got, delegated, outstanding, want)
	}
	c.compared, c.delegated, c.outstanding = c.compared+1, c.delegated+min(delegated, 1),
		c.outstanding+min(outstanding, 1)
}

// The totals of a leader, from which it calculates the available units, have to match the delegations and releases that
// it has received, under random disruptions.
func TestLeaderTotalsMatchFollowers(t *testing.T) {
	checker := totalsChecker{t: t}
	for seed := range uint64(6) {
		rule := &Rule{Limit: 300, Window: 2 * time.Second}
		if seed%3 == 2 {
			rule = nil
		}
		flat := newFlatSimulation(seed, 7, 0.7, 300, 0, rule)
		tree := newTreeSimulation(seed, treeSize{3, 9, 0.7, 0.5, 300}, 0, rule)
		if rule != nil {
			flat.uses, tree.uses = make([][]time.Duration, 4), make([][]time.Duration, 4)
		}
		// Fewer disruptions, so that delegations are counted.
		flat.disruptionRate, tree.disruptionRate = flat.disruptionRate/4, tree.disruptionRate/4
		for range 400 {
			flat.run(100 * time.Millisecond)
			tree.run(100 * time.Millisecond)
			for _, n := range flat.nodes {
				checker.check(&n.member.leader, flat.spec.ID)
			}
			for _, p := range tree.parents {
				checker.check(&p.parent.children, tree.spec.ID)
				checker.check(&p.parent.group.leader, tree.spec.ID)
			}
		}
	}
	t.Logf("%d comparisons, %d with delegated units, %d with outstanding units", checker.compared, checker.delegated,
		checker.outstanding)
	if checker.delegated < 1000 || checker.outstanding < 1000 {
		t.Error("fewer than 1000 comparisons had delegated units, or had outstanding units")
	}
}

// hasQuorum, which uses the ordered expiries of delegations, has to match a count over all followers.
func TestQuorumMatchesDelegationExpiries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	member := New(Settings{Nodes: 9, GuaranteedFraction: 0.5, MaxWindow: time.Second, LeaseTerm: time.Second,
		HeartbeatInterval: 400 * time.Millisecond}, 1, 0)
	l := &member.leader
	now, quorumCount := 10*time.Second, 0
	seqs, leaderClocks := make([]uint64, 9), make([]time.Duration, 9)
	for range 5000 {
		now += time.Duration(random.IntN(200)) * time.Millisecond
		from := 1 + random.IntN(8)
		seqs[from]++
		request := LeaseRequest{Incarnation: uint64(100 + from), Seq: seqs[from], LeaderClock: leaderClocks[from],
			Leader: 1}
		for _, action := range member.HandleMessage(now, from, request) {
			if send, ok := action.(SendResponse); ok && random.IntN(4) > 0 {
				leaderClocks[from] = send.Response.LeaderClock
			}
		}
		if got, count := l.hasQuorum(), countLastingFollowers(l); got != (count > 4) {
			t.Fatalf("%d of 9 members follow, but hasQuorum is %v", count, got)
		} else if got {
			quorumCount++
		}
	}
	if quorumCount < 100 || quorumCount > 4900 {
		t.Errorf("a quorum in %d of 5000 steps is not meaningful", quorumCount)
	}
}

// countLastingFollowers counts the members that follow until after the last effect of a grant made now.
func countLastingFollowers(l *leader) (count int) {
	for _, record := range l.followers {
		if record.delegatedUntil >= l.now+l.settings.maxEffectDuration() {
			count++
		}
	}
	return count
}

// A leader has to ignore releases that are addressed to another leader. Each leader numbers its grants from one, so it
// would otherwise release its grant with the same number.
func TestReleasesToAnotherLeaderAreIgnored(t *testing.T) {
	id := ID{Kind: 1, Subject: 3}
	member := New(Settings{Nodes: 3, GuaranteedFraction: 1, MaxWindow: time.Second, LeaseTerm: time.Second,
		HeartbeatInterval: 400 * time.Millisecond}, 300, 0)
	member.SetRule(1, Rule{Limit: 9, Window: time.Second})
	member.account(id)
	member.now = 14 * time.Second
	number := member.leader.grant(1, 7, id, 3)
	for seq, c := range []struct {
		releasedTo  uint64
		outstanding int
	}{{100, 3}, {300, 0}} {
		member.HandleMessage(member.now, 1, LeaseRequest{Incarnation: 7, Seq: uint64(1 + seq), ReleasesTo: c.releasedTo,
			Releases: []Release{{Grant: number}}})
		if got := member.leader.outstandingUnits(id); got != c.outstanding {
			t.Errorf("after a release to leader %d: %d units outstanding", c.releasedTo, got)
		}
	}
}
