package budget

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// hotNode tries to use the first budget, which no other node uses, hotNodeTries times per step.
const (
	hotNode      = 1
	hotNodeTries = 16 // tries per step
	trafficLimit = 400
	trafficStep  = 10 * time.Millisecond
)

// runTraffic advances the simulation with ordinary traffic, in which each node tries to use one of the other budgets
// about once per second. It returns the times at which the hot node used units.
func (s *simulation) runTraffic(
	duration time.Duration, drawNode func() (node int, isHot bool),
) (hotUses []time.Duration) {
	before := len(s.uses[0])
	for end := s.now + duration; s.now < end; {
		s.step(trafficStep)
		for range max(int(float64(len(s.nodes))*trafficStep.Seconds()), 1) {
			if i, isHot := drawNode(); !isHot {
				s.useBudget(i, 1+s.random.IntN(len(s.uses)-1))
			}
		}
		for range hotNodeTries {
			s.useBudget(hotNode, 0)
		}
	}
	return s.uses[0][before:]
}

func (s *simulation) runTreeTraffic(duration time.Duration) (hotUses []time.Duration) {
	return s.runTraffic(duration, func() (int, bool) {
		i := s.random.IntN(len(s.nodes))
		return i, i == hotNode
	})
}

func (s *simulation) runFlatTraffic(duration time.Duration) (hotUses []time.Duration) {
	return s.runTraffic(duration, func() (int, bool) { return s.random.IntN(len(s.nodes)), false })
}

// longestGap returns the longest time without a use.
func longestGap(uses []time.Duration, from, to time.Duration) (longest time.Duration) {
	for _, usedAt := range append(slices.Clone(uses), to) {
		longest, from = max(longest, usedAt-from), usedAt
	}
	return longest
}

// timeToHalfLimit returns the time from a moment until half of the limit is used in a window that starts after the
// moment, or 0 if that does not happen.
func timeToHalfLimit(uses []time.Duration, from, window time.Duration) time.Duration {
	first := 0
	for i, usedAt := range uses {
		for ; uses[first] <= usedAt-window; first++ {
		}
		if i+1-first >= trafficLimit/2 && usedAt > from+window {
			return usedAt - from
		}
	}
	return 0
}

// newTrafficTree returns a tree in which the heartbeats of the processes start at random times of the heartbeat
// interval.
func newTrafficTree(nodes, parents int) *simulation {
	rule := &Rule{Limit: trafficLimit, Window: 1250 * time.Millisecond}
	sim := newTreeSimulation(9, treeSize{parents, nodes, 0.1, 0.25, trafficLimit}, 0, rule)
	sim.settings.MaxWindow, sim.groupSettings.MaxWindow, sim.spec.Window = rule.Window, rule.Window, rule.Window
	sim.groupSettings.LeaseTerm, sim.minLatency = 500*time.Millisecond, 5*time.Millisecond
	sim.settings.MaxClockDrift, sim.groupSettings.MaxClockDrift = 0, 0
	sim.uses, sim.waiting = make([][]time.Duration, 21), map[waitKey]int{}
	for i := range parents {
		sim.startParent(i)
		sim.parents[i].nextTick = sim.now + time.Duration(sim.random.Int64N(int64(sim.groupSettings.HeartbeatInterval)))
	}
	for i, n := range sim.nodes {
		sim.startNode(i)
		n.nextTick = sim.now + time.Duration(sim.random.Int64N(int64(sim.settings.HeartbeatInterval)))
	}
	return sim
}

// sizeFromEnvironment returns the number in an environment variable, or the fallback.
func sizeFromEnvironment(name string, fallback int) int {
	if size, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return size
	}
	return fallback
}

// trafficTest runs the phases of the test of one tree.
type trafficTest struct {
	*testing.T
	*simulation
	meter *meter
	means map[processID]float64 // mean messages per second in ordinary traffic
}

// The traffic through Parents, counted in simulated time, has to stay small, and the limit has to be usable: a node
// obtains half of the limit after a second, a failed process interrupts grants for at most 4 s, and a separated region
// continues to use units and returns without a burst of messages. BUDGET_NODES and BUDGET_CONTROL set other sizes;
// docs/budgets.md has the results for 5,700 nodes and 32 control machines.
func TestTrafficWithParents(t *testing.T) {
	t.Parallel()
	nodes, parents := sizeFromEnvironment("BUDGET_NODES", 160), sizeFromEnvironment("BUDGET_CONTROL", 8)
	sim := newTrafficTree(nodes, parents)
	sim.settle(1200, trafficStep) // until all have started and delegate
	s := &trafficTest{T: t, simulation: sim, meter: newMeter(func() time.Duration { return sim.now })}
	s.checkFirstSecond()
	s.checkTraffic()
	s.checkRegionCutOff()
	s.checkParentFailure()
	s.checkGroupLeaderFailure()
	if maxUsed := sim.maxUsed(); maxUsed > trafficLimit {
		t.Errorf("%d units used in a window, more than the limit", maxUsed)
	}
}

func (s *trafficTest) checkFirstSecond() {
	start, used := s.now, 0
	for _, usedAt := range s.runTreeTraffic(2250 * time.Millisecond) {
		if usedAt > start+time.Second {
			used++
		}
	}
	s.Logf("%d nodes, %d parents: a newly requesting node uses %v of the limit in the window after its first second",
		len(s.nodes), len(s.parents), float64(used)/trafficLimit)
	if used < trafficLimit/2 {
		s.Errorf("used %d units of a limit of %d in the window after the first second", used, trafficLimit)
	}
}

func (s *trafficTest) checkTraffic() {
	s.meter.reset()
	s.simulation.onReceive = s.meter.receive
	s.runTreeTraffic(10 * time.Second)
	mean, highest := s.meter.perSecond(false, len(s.nodes))
	s.Logf("a node receives %.1f messages and %.0f bytes per second, the hot node %.0f and %.0f",
		mean.messages, mean.bytes, highest.messages, highest.bytes)
	if mean.bytes > 7000 {
		s.Errorf("a node receives %v bytes per second, more than 7000", mean.bytes)
	}
	mean, highest = s.meter.perSecond(true, len(s.parents))
	s.Logf("a parent receives %.0f messages and %.0f bytes per second, the highest rates are %.0f and %.0f",
		mean.messages, mean.bytes, highest.messages, highest.bytes)
	leader := processID{true, s.groupLeader(0)}
	s.Logf("the group's leader receives %.0f messages and %.0f bytes per second", float64(s.meter.messages[leader])/10,
		float64(s.meter.bytes[leader])/10)
	s.means = s.meter.means()
}

// checkRegionCutOff separates a quarter of the parents and their nodes from the others for 60 s.
func (s *trafficTest) checkRegionCutOff() {
	firstZone, parents, leader := 0, len(s.parents), s.groupLeader(0)
	isInside := func(zone int) bool { return (zone-firstZone+parents)%parents < max(parents/4, 1) }
	for isInside(leader) || isInside(s.leaderOf(hotNode)) {
		firstZone++
	}
	used := func() (used int) {
		for _, n := range s.nodes {
			if isInside(n.parentOrder[0]) {
				used += int(n.member.Counters.Leased + n.member.Counters.Reserved)
			}
		}
		return used
	}
	s.isCut = func(from, to processID) bool { return isInside(s.zone(from)) != isInside(s.zone(to)) }
	before := used()
	s.runTreeTraffic(30 * time.Second)
	early := used() - before
	s.runTreeTraffic(30 * time.Second)
	late := used() - before - early
	s.Logf("a separated region uses %d units in 30 s, and %d in the next 30 s", early, late)
	if late < 100 {
		s.Error("a separated region uses fewer than 100 units in 30 s")
	}
	s.meter.reset()
	s.isCut = nil
	s.runTreeTraffic(20 * time.Second)
	peak, receiver := s.meter.peak(s.means)
	s.Logf("after the region returns, the messages in a second are at most %.2f times the mean of the receiver (%+v)",
		peak, receiver)
	if peak > 3 {
		s.Error("a burst of messages of more than 3 times the mean")
	}
}

func (s *trafficTest) checkParentFailure() {
	parent := s.leaderOf(hotNode)
	if parent == s.groupLeader(0) {
		s.Fatal("the hot node's parent is the group's leader")
	}
	s.parents[parent].isDead = true
	s.meter.reset()
	failedAt := s.now
	gap := longestGap(s.runTreeTraffic(10*time.Second), failedAt, s.now)
	peak, receiver := s.meter.peak(s.means)
	s.Logf("the hot node uses no unit for %v after its parent fails; messages per second up to %.2f times mean (%+v)",
		gap, peak, receiver)
	if gap > 4*time.Second {
		s.Error("the hot node uses no unit for more than 4 s")
	}
}

func (s *trafficTest) checkGroupLeaderFailure() {
	s.parents[s.groupLeader(s.leaderOf(hotNode))].isDead = true
	failedAt := s.now
	uses := s.runTreeTraffic(10 * time.Second)
	gap, halfLimitTime := longestGap(uses, failedAt, s.now), timeToHalfLimit(uses, failedAt, s.spec.Window)
	s.Logf("after the failure of the group's leader the hot node uses no unit for %v, and half of the limit after %v",
		gap, halfLimitTime)
	if gap > 4*time.Second || halfLimitTime == 0 {
		s.Error("the hot node uses no unit for more than 4 s, or never half of the limit again")
	}
}

// The traffic in a flat group, counted in the same way. A node has to obtain half of the limit after a second.
func TestTrafficOfFlatGroup(t *testing.T) {
	t.Parallel()
	nodes := sizeFromEnvironment("BUDGET_FLAT", 60)
	rule := &Rule{Limit: trafficLimit, Window: 1250 * time.Millisecond}
	sim := newFlatSimulation(9, nodes, 0.3, trafficLimit, 0, rule)
	sim.settings.MaxWindow, sim.spec.Window = rule.Window, rule.Window
	sim.uses = make([][]time.Duration, 21)
	for i, n := range sim.nodes {
		sim.startNode(i)
		n.nextTick = sim.now + time.Duration(sim.random.Int64N(int64(sim.settings.HeartbeatInterval)))
	}
	sim.settle(1200, trafficStep)
	sim.runFlatTraffic(time.Second)
	used := len(sim.runFlatTraffic(1250 * time.Millisecond))
	t.Logf("%d nodes: a newly requesting node uses %v of the limit in the window after its first second", nodes,
		float64(used)/trafficLimit)
	if used < trafficLimit/2 {
		t.Error("less than half of the limit used in the window after the first second")
	}
	meter := newMeter(func() time.Duration { return sim.now })
	sim.onReceive = meter.receive
	sim.runFlatTraffic(10 * time.Second)
	leader := processID{false, sim.leaderOf(1)}
	t.Logf("the leader receives %.0f messages and %.0f bytes per second", float64(meter.messages[leader])/10,
		float64(meter.bytes[leader])/10)
	delete(meter.messages, leader)
	mean, _ := meter.perSecond(false, nodes-1)
	t.Logf("another member receives %.1f messages and %.0f bytes per second", mean.messages, mean.bytes)
	if sim.maxUsed() > trafficLimit {
		t.Errorf("%d units used in a window, more than the limit", sim.maxUsed())
	}
}
