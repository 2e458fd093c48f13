package budget

import (
	"slices"
	"testing"
	"time"
)

// granter plays the parents of a member.
type granter struct {
	m   *Member
	id  ID
	now time.Duration
}

// respond has a parent answer the latest request, with a grant of a number.
func (g *granter) respond(parent int, incarnation, number uint64, actions []Action) {
	for _, a := range slices.Clone(actions) {
		send, ok := a.(SendRequest)
		if !ok || send.To != parent {
			continue
		}
		response := LeaseResponse{Incarnation: incarnation, Follower: 7, Seq: send.Request.Seq, LeaderClock: g.now}
		for _, wanted := range send.Request.Wanted {
			response.Grants = append(response.Grants, Grant{ID: g.id, Units: wanted.Units, Number: number})
		}
		g.m.HandleMessage(g.now, parent, response)
	}
}

// requestsToSecond has the first parent fall silent, so that the second is followed, and gives the requests to it.
func (g *granter) requestsToSecond() (requests []LeaseRequest) {
	for range 20 {
		g.now += 200 * time.Millisecond
		actions := slices.Clone(g.m.Tick(g.now))
		for _, a := range actions {
			if send, ok := a.(SendRequest); ok && send.To == 1 {
				requests = append(requests, send.Request)
			}
		}
		g.respond(1, 200, 2, actions)
		if g.m.follower.leaderIndex == 1 {
			g.m.Request(g.now, g.id)
		}
	}
	return requests
}

// A member with grants of two leaders releases each to its grantor: leaders number their grants from one, so a release
// of one's grant would have the other forget its own.
func TestReleasesGoToTheGrantor(t *testing.T) {
	g := granter{id: ID{Kind: 1, Subject: 3}, now: 10 * time.Second}
	g.m = New(Settings{Nodes: 3, MaxWindow: time.Second, LeaseTerm: 1500 * time.Millisecond,
		HeartbeatInterval: 400 * time.Millisecond, Parents: 2}, 7, 0)
	g.m.SetRule(1, Rule{Limit: 10, Window: time.Second})
	g.respond(0, 100, 0, g.m.Tick(g.now))
	if g.m.Acquire(g.now, g.id) || !g.m.Request(g.now, g.id) {
		t.Fatal("there is none, and some may be had")
	}
	g.respond(0, 100, 1, g.m.Tick(g.now))
	if g.m.Available(g.now, g.id) != 1 {
		t.Fatal("no grant of the first")
	}
	// The grant of the first is not used when the second is followed, which grants others.
	requests := g.requestsToSecond()
	if g.m.follower.leaderIndex != 1 {
		t.Fatal("the second is not followed")
	}
	released := 0
	for _, r := range requests {
		for _, release := range r.Releases {
			if release.Grant == 1 || r.Leader != 200 && r.ReleasesTo != 200 {
				t.Errorf("%+v in %+v: it is of the first, or names no grantor", release, r)
			}
			released++
		}
	}
	if released == 0 {
		t.Error("nothing released to the second")
	}
}

// A node follows the parents in their order: the next when one falls silent, at once with what it wants, and again an
// earlier one that goes on responding.
func TestParentsAreFollowedInOrder(t *testing.T) {
	w := newTreeWorld(4, treeSize{3, 6, 0, 0.5, 60}, 0, &Rule{Limit: 60, Window: 2 * time.Second})
	run := func(d time.Duration) (used int) {
		for end := w.now + d; w.now < end; {
			w.step(5 * time.Millisecond)
			if w.use(0) {
				used++
			}
		}
		return used
	}
	run(10 * time.Second)
	if w.leaderOf(0) != 0 {
		t.Fatalf("follows %d", w.leaderOf(0))
	}
	w.parents[0].isDead = true
	w.parents[0].parent.group.follower.leaderIndex = 0 // its death is to be that of a Parent, not of the group's leader
	at := w.now
	for w.nodes[0].member.follower.leaderIndex != 1 && w.now < at+10*time.Second {
		run(5 * time.Millisecond)
	}
	if took := w.now - at; took > 3*w.settings.HeartbeatInterval+100*time.Millisecond {
		t.Errorf("%v until the next is followed", took)
	}
	w.parents[1].isDead = true
	run(3 * time.Second)
	if w.leaderOf(0) != 2 {
		t.Errorf("follows %d after two are gone", w.leaderOf(0))
	}
	for i := range 2 {
		w.startParent(i)
	}
	run(15 * time.Second)
	if w.leaderOf(0) != 0 {
		t.Errorf("follows %d after all have restarted", w.leaderOf(0))
	}
	if run(4*time.Second) < 60 {
		t.Error("little to be had after all have restarted")
	}
}

// Of two processes with one index at one Parent, the later one uses and delegates nothing of the reservation.
func TestDuplicateIDAtParent(t *testing.T) {
	w := newTreeWorld(3, treeSize{1, 4, 1, 0.5, 8}, 0, &Rule{Limit: 8, Window: 2 * time.Second, NoDelegation: true})
	w.settle(1000, 10*time.Millisecond)
	w.nodes[1].index = 0
	w.startNode(1)
	for range 2000 {
		w.step(10 * time.Millisecond)
		w.use(0)
		w.use(1)
	}
	if got := w.maxUsed(); got != 2 {
		t.Errorf("%d used in a window of an index that has two reserved", got)
	}
	first, second := &w.nodes[0].member.Counters, &w.nodes[1].member.Counters
	if second.DuplicateIndexes == 0 || first.Reserved == 0 {
		t.Errorf("%+v %+v", *first, *second)
	}
}
