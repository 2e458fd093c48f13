package budget

import (
	"testing"
	"time"
)

// measuredWindows is the number of windows over which the tests measure the use of a limit.
const measuredWindows = 10

// runTries advances the simulation for a duration, in which node 1 tries to use units in each step. It returns the
// number of used units.
func (s *simulation) runTries(duration time.Duration, tries int) (used int) {
	before := s.totalUsed()
	for end := s.now + duration; s.now < end; {
		s.step(5 * time.Millisecond)
		for range tries {
			s.useAny(1)
		}
	}
	return s.totalUsed() - before
}

// settle advances the simulation by a number of steps without demand.
func (s *simulation) settle(steps int, step time.Duration) {
	for range steps {
		s.step(step)
	}
}

// logStates logs the states and counters of all processes.
func (s *simulation) logStates(t *testing.T) {
	for i, node := range s.nodes {
		t.Logf("node %d dead %v: %+v %+v", i, node.isDead, node.member.State(s.nodeClock(i)), node.member.Counters)
	}
	for i, control := range s.parents {
		t.Logf("parent %d dead %v: %+v %+v", i, control.isDead, control.parent.State(s.clock(&control.process)),
			control.parent.Counters)
	}
}

// stop lets a process leave gracefully.
func (s *simulation) stop(id processID) {
	s.leave(id)
	s.step(10 * time.Millisecond)
	s.process(id).isDead = true
}

// While messages arrive, the only node that requests units has to obtain nearly the full limit, and to do so again
// within seconds after each change, such as the failure of the leader.
func TestRequestingMemberObtainsLimit(t *testing.T) {
	t.Parallel()
	rule := &Rule{Limit: 10, Window: 2 * time.Second}
	undelegated := &Rule{Limit: 10, Window: 2 * time.Second, NoDelegation: true}
	for _, c := range []struct {
		name         string
		nodes        int
		guaranteed   float64
		limit        int
		rule         *Rule
		disrupt      func(sim *simulation)
		minShare     float64 // part of the limit that the node has to use
		settlingTime time.Duration
	}{
		{"no change", 8, 0.5, 10, nil, nil, 0.9, 0},
		{"limit of one for 300 nodes", 300, 0.5, 1, nil, nil, 0.9, 0},
		{"budget of a rule", 8, 0.5, 10, rule, nil, 0.9, 0},
		{"reservations are not delegated", 8, 0.5, 10, undelegated, nil, 0.5, 0}, // unreserved part, one reservation
		{"all units reserved", 8, 1, 10, nil, nil, 0.9, 0},
		{"the leader crashes", 8, 0.5, 20, nil, func(sim *simulation) { sim.nodes[sim.leaderOf(1)].isDead = true },
			0.85, 5 * time.Second}, // all except the reservation of the crashed leader
		{"the leader leaves gracefully", 8, 0.5, 20, nil, func(sim *simulation) {
			sim.stop(processID{false, sim.leaderOf(1)})
		}, 0.85, 4 * time.Second}, // the last grants of the leader have expired by then
		{"another member leaves gracefully", 8, 0.5, 20, nil, stopNonLeader, 0.85, time.Second},
		{"a partition heals", 8, 0.5, 20, nil, partitionAndHeal, 0.9, 10 * time.Second},
		{"all processes restart", 8, 0.5, 20, nil, (*simulation).restartNodes, 0.9, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newFlatSimulation(5, c.nodes, c.guaranteed, c.limit, 0, c.rule)
			sim.settle(1500, 5*time.Millisecond)
			if c.disrupt != nil {
				c.disrupt(sim)
			}
			sim.runTries(c.settlingTime, 2)
			used, want := float64(sim.runTries(measuredWindows*sim.spec.Window, 2)),
				c.minShare*float64(measuredWindows*c.limit)
			if used < want {
				t.Errorf("used %v units, want at least %v, which is %v of the limit", used, want, c.minShare)
				sim.logStates(t)
			}
			if sim.maxUsed() > c.limit {
				t.Errorf("used %d units in a window, more than the limit", sim.maxUsed())
			}
		})
	}
}

// stopNonLeader stops a node that is not the leader.
func stopNonLeader(sim *simulation) {
	stopped := 3
	if sim.leaderOf(1) == stopped {
		stopped = 4
	}
	sim.stop(processID{false, stopped})
}

// partitionAndHeal separates nodes 0 to 3 from the others for 20 s.
func partitionAndHeal(sim *simulation) {
	sim.isCut = func(from, to processID) bool { return (from.index < 4) != (to.index < 4) }
	sim.settle(1000, simulationStep)
	sim.isCut = nil
}

func (s *simulation) restartNodes() {
	for i := range s.nodes {
		s.startNode(i)
	}
}

func (s *simulation) restartAll() {
	s.restartNodes()
	for i := range s.parents {
		s.startParent(i)
	}
}

// While messages arrive, the only node that requests units has to obtain nearly the full limit except the reservations
// of other nodes, and to do so again after each change. After the failure of a Parent this takes the time to detect it,
// and after the failure of the group's leader as long as in a flat group.
func TestRequestingChildObtainsLimit(t *testing.T) {
	t.Parallel()
	usualSize := treeSize{4, 24, 0.1, 0.5, 100}
	for _, c := range []struct {
		name         string
		size         treeSize
		undelegated  bool
		disrupt      func(sim *simulation)
		settlingTime time.Duration
		minShare     float64 // part of the limit that the node has to use
	}{
		{"no change", usualSize, false, nil, 0, 0.8},
		{"nodes have no reservation", treeSize{4, 24, 0, 0.5, 100}, false, nil, 0, 0.85},
		{"limit of one", treeSize{4, 24, 0, 0.5, 1}, false, nil, 0, 0.5},
		{"one parent", treeSize{1, 8, 0.5, 0.5, 40}, false, nil, 0, 0.9},
		{"reservations are not delegated", treeSize{4, 24, 0.1, 0.2, 100}, true, nil, 0, 0.65},
		{"all units reserved to nodes and delegated", treeSize{1, 8, 1, 0.5, 40}, false, nil, 0, 0.85},
		{"the parent crashes", usualSize, false, func(sim *simulation) { sim.parents[sim.leaderOf(1)].isDead = true },
			4 * time.Second, 0.65},
		{"the parent leaves gracefully", usualSize, false, func(sim *simulation) {
			sim.stop(processID{true, sim.leaderOf(1)})
		}, 4 * time.Second, 0.7},
		{"the group's leader crashes", usualSize, false, func(sim *simulation) {
			sim.parents[sim.groupLeader(sim.leaderOf(1))].isDead = true
		}, 5 * time.Second, 0.6},
		{"all processes restart", usualSize, false, (*simulation).restartAll, 7 * time.Second, 0.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			rule := &Rule{Limit: c.size.limit, Window: 2 * time.Second, NoDelegation: c.undelegated}
			sim := newTreeSimulation(5, c.size, 0, rule)
			tries := 1 + c.size.limit/100
			sim.settle(1600, 5*time.Millisecond)
			if c.disrupt != nil {
				c.disrupt(sim)
				sim.runTries(c.settlingTime, tries)
			}
			limitUnits := float64(measuredWindows * c.size.limit)
			used, want := float64(sim.runTries(measuredWindows*2*time.Second, tries)), c.minShare*limitUnits
			t.Logf("used %v of the limit", used/limitUnits)
			if used < want {
				t.Errorf("used %v units, want at least %v, which is %v of the limit", used, want, c.minShare)
				sim.logStates(t)
			}
			if sim.maxUsed() > c.size.limit {
				t.Errorf("used %d units in a window, more than the limit", sim.maxUsed())
			}
		})
	}
}

// While messages arrive, a node that requests units of a concurrency limit has to obtain them, and no unit may be ended
// because its lease expires, not even after the crash of the leader. A node that no leader responds to has to fall back
// to its reservation.
func TestConcurrencyLeasesOutliveLeader(t *testing.T) {
	t.Parallel()
	// Two thirds of the term of a lease are longer than the change to another leader takes.
	sim := newFlatSimulation(5, 8, 0.5, 20, 0,
		&Rule{Limit: 20, Window: 200 * time.Millisecond, ConcurrencyLeaseTerm: 15 * time.Second})
	sim.concurrency.unitDuration = 1000 * time.Hour
	run := func(duration time.Duration) int {
		for end := sim.now + duration; sim.now < end; {
			sim.step(simulationStep)
			sim.useAny(1)
		}
		return len(sim.nodes[1].unitEnds)
	}
	before := run(30 * time.Second)
	if before < 11 { // ten that are not reserved, and the node's reservation
		t.Fatalf("%d units in use at the requesting member, want at least 11: %+v", before,
			sim.nodes[1].member.State(sim.nodeClock(1)))
	}
	sim.killNode(sim.leaderOf(1))
	if after := run(30 * time.Second); after < before || sim.concurrency.endedEarly > 0 {
		t.Errorf("%d units in use after the crash of the leader, %d before it; %d ended early", after, before,
			sim.concurrency.endedEarly)
	}
	for i := range sim.nodes { // no leader responds
		if i != 1 {
			sim.killNode(i)
		}
	}
	if got := run(sim.rule.ConcurrencyLeaseTerm); got > 2 {
		t.Errorf("%d units in use at an isolated node, want at most 2", got)
	}
}
