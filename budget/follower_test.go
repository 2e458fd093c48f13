package budget

import (
	"slices"
	"testing"
	"time"
)

// parentStub answers the requests of a member in place of its parents.
type parentStub struct {
	member *Member
	id     ID
	now    time.Duration
}

// respond answers the requests to a parent. It grants all wanted units under the given grant number.
func (s *parentStub) respond(parent int, incarnation, number uint64, actions []Action) {
	for _, action := range slices.Clone(actions) {
		send, ok := action.(SendRequest)
		if !ok || send.To != parent {
			continue
		}
		response := LeaseResponse{Incarnation: incarnation, Follower: 7, Seq: send.Request.Seq, LeaderClock: s.now}
		for _, wanted := range send.Request.Wanted {
			response.Grants = append(response.Grants, Grant{ID: s.id, Units: wanted.Units, Number: number})
		}
		s.member.HandleMessage(s.now, parent, response)
	}
}

// requestsToSecond returns the requests to the second parent while the first one does not respond, so that the member
// follows the second one.
func (s *parentStub) requestsToSecond() (requests []LeaseRequest) {
	for range 20 {
		s.now += 200 * time.Millisecond
		actions := slices.Clone(s.member.Tick(s.now))
		for _, action := range actions {
			if send, ok := action.(SendRequest); ok && send.To == 1 {
				requests = append(requests, send.Request)
			}
		}
		s.respond(1, 200, 2, actions)
		if s.member.follower.leaderIndex == 1 {
			s.member.Request(s.now, s.id)
		}
	}
	return requests
}

// A member with grants of two leaders has to release each grant to its grantor. Leaders number their grants from one,
// so a leader would apply the release of another leader's grant to its own grant with that number.
func TestReleasesGoToGrantor(t *testing.T) {
	stub := parentStub{id: ID{Kind: 1, Subject: 3}, now: 10 * time.Second}
	stub.member = New(Settings{Nodes: 3, MaxWindow: time.Second, LeaseTerm: 1500 * time.Millisecond,
		HeartbeatInterval: 400 * time.Millisecond, Parents: 2}, 7, 0)
	stub.member.SetRule(1, Rule{Limit: 10, Window: time.Second})
	stub.respond(0, 100, 0, stub.member.Tick(stub.now))
	if stub.member.Acquire(stub.now, stub.id) || !stub.member.Request(stub.now, stub.id) {
		t.Fatal("Acquire succeeded before any grant, or Request failed")
	}
	stub.respond(0, 100, 1, stub.member.Tick(stub.now))
	if stub.member.Available(stub.now, stub.id) != 1 {
		t.Fatal("the first parent's grant is not available")
	}
	// The first parent's grant is unused when the member follows the second parent, which grants other units.
	requests := stub.requestsToSecond()
	if stub.member.follower.leaderIndex != 1 {
		t.Fatal("the member does not follow the second parent")
	}
	released := 0
	for _, request := range requests {
		for _, release := range request.Releases {
			if release.Grant == 1 || request.Leader != 200 && request.ReleasesTo != 200 {
				t.Errorf("release %+v of the first parent's grant, or without a grantor, in request %+v", release,
					request)
			}
			released++
		}
	}
	if released == 0 {
		t.Error("no grants released to the second parent")
	}
}

// A node has to follow the parents in order of preference: the next one if a parent fails, immediately requesting the
// wanted units, and an earlier one again if that parent keeps responding.
func TestParentsAreFollowedInOrder(t *testing.T) {
	sim := newTreeSimulation(4, treeSize{3, 6, 0, 0.5, 60}, 0, &Rule{Limit: 60, Window: 2 * time.Second})
	run := func(duration time.Duration) (used int) {
		for end := sim.now + duration; sim.now < end; {
			sim.step(5 * time.Millisecond)
			if sim.useAny(0) {
				used++
			}
		}
		return used
	}
	run(10 * time.Second)
	if sim.leaderOf(0) != 0 {
		t.Fatalf("node 0 follows parent %d, want 0", sim.leaderOf(0))
	}
	sim.parents[0].isDead = true
	sim.parents[0].parent.group.follower.leaderIndex = 0 // the failed Parent must not be the group's leader
	failedAt := sim.now
	for sim.nodes[0].member.follower.leaderIndex != 1 && sim.now < failedAt+10*time.Second {
		run(5 * time.Millisecond)
	}
	if failoverTime := sim.now - failedAt; failoverTime > 3*sim.settings.HeartbeatInterval+100*time.Millisecond {
		t.Errorf("node 0 follows the next parent after %v", failoverTime)
	}
	sim.parents[1].isDead = true
	run(3 * time.Second)
	if sim.leaderOf(0) != 2 {
		t.Errorf("node 0 follows parent %d after two have failed, want 2", sim.leaderOf(0))
	}
	for i := range 2 {
		sim.startParent(i)
	}
	run(15 * time.Second)
	if sim.leaderOf(0) != 0 {
		t.Errorf("node 0 follows parent %d after all have restarted, want 0", sim.leaderOf(0))
	}
	if run(4*time.Second) < 60 {
		t.Error("less than the limit of 60 used in 4 s after all parents have restarted")
	}
}

// Of two processes with the same index at one Parent, the later one must neither use nor delegate the reservation.
// Otherwise both would use it.
func TestDuplicateIndexAtParent(t *testing.T) {
	sim := newTreeSimulation(3, treeSize{1, 4, 1, 0.5, 8}, 0,
		&Rule{Limit: 8, Window: 2 * time.Second, NoDelegation: true})
	sim.settle(1000, 10*time.Millisecond)
	sim.nodes[1].index = 0
	sim.startNode(1)
	for range 2000 {
		sim.step(10 * time.Millisecond)
		sim.useAny(0)
		sim.useAny(1)
	}
	if got := sim.maxUsed(); got != 2 {
		t.Errorf("%d units used in a window by an index with a reservation of 2", got)
	}
	firstCounters, secondCounters := &sim.nodes[0].member.Counters, &sim.nodes[1].member.Counters
	if secondCounters.DuplicateIndexes == 0 || firstCounters.Reserved == 0 {
		t.Errorf("the duplicate was not detected, or the first process used no reservation: %+v %+v", *firstCounters,
			*secondCounters)
	}
}

// Two processes with the same index that start together must not both use the reservation either. Neither of them
// delegates at first, so the leader cannot detect the duplicate by a delegation in force.
func TestDuplicateIndexStartedTogether(t *testing.T) {
	sim := newTreeSimulation(3, treeSize{1, 4, 1, 0.5, 8}, 0,
		&Rule{Limit: 8, Window: 2 * time.Second, NoDelegation: true})
	sim.nodes[1].index = 0
	sim.startNode(1)
	for range 2000 {
		sim.step(10 * time.Millisecond)
		sim.useAny(0)
		sim.useAny(1)
	}
	if got := sim.maxUsed(); got != 2 {
		t.Errorf("%d units used in a window by an index with a reservation of 2", got)
	}
}
