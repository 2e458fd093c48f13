package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sumsChecker holds a leader's sums against going through all followers and grants.
type sumsChecker struct {
	t                             *testing.T
	compared, delegated, reserved int
}

func (c *sumsChecker) check(l *leader, first ID) {
	for i := range uint64(4) {
		id := first
		id.Subject += i
		if a := l.accounts[id]; a != nil && !a.isConcurrencyLimit() {
			c.checkBudget(l, a)
		}
	}
	alive := 0
	for _, f := range l.followers {
		if f.delegatedUntil > l.now {
			alive++
		}
	}
	if count := l.followerCount(); count != alive {
		c.t.Fatalf("%d follow, %d are counted", alive, count)
	}
}

func (c *sumsChecker) checkBudget(l *leader, a *account) {
	got := l.available(a.ID, false)
	sum, reserved := 0, 0
	for i, f := range l.followers {
		if f.delegatedUntil < l.now+l.settings.maxEffectDuration() {
			continue
		}
		units, isNamed := f.delegated[a.ID]
		if f.delegatesUnlisted && !isNamed && a.rule != nil && a.allowsDelegation() {
			units = l.sharesOf(i, a).reserved
		}
		sum += units
	}
	for _, g := range l.grants {
		if g.id == a.ID && g.effectUntil > l.now {
			reserved += g.units
		}
	}
	if want := min(sum, l.shares(a).allReserved) - reserved; got != want {
		c.t.Fatalf("%d available, %d delegated less %d are %d", got, sum, reserved, want)
	}
	c.compared, c.delegated, c.reserved = c.compared+1, c.delegated+min(sum, 1), c.reserved+min(reserved, 1)
}

// What a leader grants rests on its sums: they are what the messages said, whatever goes wrong.
func TestLeaderSumsMatchFollowers(t *testing.T) {
	c := sumsChecker{t: t}
	for seed := range uint64(6) {
		rule := &Rule{Limit: 300, Window: 2 * time.Second}
		if seed%3 == 2 {
			rule = nil
		}
		flat := newFlatWorld(seed, 7, 0.7, 300, 0, rule)
		tree := newTreeWorld(seed, treeSize{3, 9, 0.7, 0.5, 300}, 0, rule)
		if rule != nil {
			flat.uses, tree.uses = make([][]time.Duration, 4), make([][]time.Duration, 4)
		}
		flat.disturbance, tree.disturbance = flat.disturbance/4, tree.disturbance/4 // delegations come to count
		for range 400 {
			flat.play(100 * time.Millisecond)
			tree.play(100 * time.Millisecond)
			for _, n := range flat.nodes {
				c.check(&n.member.leader, flat.spec.ID)
			}
			for _, p := range tree.parents {
				c.check(&p.parent.children, tree.spec.ID)
				c.check(&p.parent.group.leader, tree.spec.ID)
			}
		}
	}
	t.Logf("%d compared, %d with something delegated, %d with something reserved", c.compared, c.delegated, c.reserved)
	if c.delegated < 1000 || c.reserved < 1000 {
		t.Error("too little was delegated or reserved to prove anything")
	}
}

// The quorum is that of the ends of all commitments in their order.
func TestQuorumMatchesCommitments(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	m := New(Settings{Nodes: 9, GuaranteedFraction: 0.5, MaxWindow: time.Second, LeaseTerm: time.Second,
		HeartbeatInterval: 400 * time.Millisecond}, 1, 0)
	l := &m.leader
	now, yes := 10*time.Second, 0
	seqs, clocks := make([]uint64, 9), make([]time.Duration, 9)
	for range 5000 {
		now += time.Duration(rng.IntN(200)) * time.Millisecond
		from := 1 + rng.IntN(8)
		seqs[from]++
		request := LeaseRequest{Incarnation: uint64(100 + from), Seq: seqs[from], LeaderClock: clocks[from], Leader: 1}
		for _, a := range m.HandleMessage(now, from, request) {
			if send, ok := a.(SendResponse); ok && rng.IntN(4) > 0 {
				clocks[from] = send.Response.LeaderClock
			}
		}
		if got, count := l.hasQuorum(), lastingFollowers(l); got != (count > 4) {
			t.Fatalf("%d of 9 follow, quorum %v", count, got)
		} else if got {
			yes++
		}
	}
	if yes < 100 || yes > 4900 {
		t.Errorf("a quorum %d times proves nothing", yes)
	}
}

// lastingFollowers counts those that follow until after the effect of a grant of now.
func lastingFollowers(l *leader) (count int) {
	for _, f := range l.followers {
		if f.delegatedUntil >= l.now+l.settings.maxEffectDuration() {
			count++
		}
	}
	return count
}

// A leader takes in releases of its own grants alone: each leader numbers its grants from one.
func TestReleasesToAnotherLeaderAreIgnored(t *testing.T) {
	id := ID{Kind: 1, Subject: 3}
	m := New(Settings{Nodes: 3, GuaranteedFraction: 1, MaxWindow: time.Second, LeaseTerm: time.Second,
		HeartbeatInterval: 400 * time.Millisecond}, 300, 0)
	m.SetRule(1, Rule{Limit: 9, Window: time.Second})
	m.account(id)
	m.now = 14 * time.Second
	number := m.leader.grant(1, 7, id, 3)
	for seq, c := range []struct {
		to   uint64
		left int
	}{{100, 3}, {300, 0}} {
		m.HandleMessage(m.now, 1, LeaseRequest{Incarnation: 7, Seq: uint64(1 + seq), ReleasesTo: c.to,
			Releases: []Release{{Grant: number}}})
		if got := m.leader.outstandingUnits(id); got != c.left {
			t.Errorf("released to %d: %d reserved", c.to, got)
		}
	}
}
