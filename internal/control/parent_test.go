package control

import (
	"testing"
	"time"
)

// recoveryTime is longer than the time for which units used by an earlier process of a node still count.
const recoveryTime = 10 * time.Second

// Guards against units that no node can use if guaranteed parts are not delegated. A node below control machines that
// needs units acquires at least half of the limit within a second, as in a flat group.
func TestNodeAcquiresHalfOfUndelegatedLimit(t *testing.T) {
	const limit = 60
	tree := newNodeTree(t, 6, 3, func(c *Config) { c.Limits = []Limit{{Opens, limit}} })
	tree.run(recoveryTime, nil)
	start := tree.now
	tree.run(4*time.Second, func() { tree.acquire(tree.nodes[1], Opens) })
	if acquired := tree.acquiredBetween(start, start+time.Second); acquired < limit/2 || tree.peakPerSecond() > limit {
		t.Errorf("the node acquired %d of %d units in its first second, at most %d in any second", acquired, limit,
			tree.peakPerSecond())
	}
}

// Guards against a limit that is exceeded, or delegated units that become unusable, when a control machine fails. Its
// nodes detect the failure after 2.5 heartbeat intervals, lease units from another one and return after its restart;
// other nodes are not affected. Also checks that a node that alone needs units acquires at least half of the limit per
// second, although its guaranteed part is a twelfth.
func TestLimitHoldsWhenControlMachineFails(t *testing.T) {
	const limit, heartbeatInterval = 60, 400 * time.Millisecond
	tree := newNodeTree(t, 6, 3, func(c *Config) { c.Limits = []Limit{{Retries, limit}} })
	tree.run(recoveryTime, nil)
	busyNode := tree.nodes[1]
	start := tree.now
	tree.run(2*time.Second, func() { tree.acquire(busyNode, Retries) })
	if acquired := tree.acquiredBetween(start+time.Second, tree.now); acquired < limit/2 ||
		tree.peakPerSecond() > limit {
		t.Errorf("the node acquired %d of %d units in a second, at most %d in any second", acquired, limit,
			tree.peakPerSecond())
	}
	acquireAtAll := func() { tree.acquireAtAllNodes(Retries) }
	tree.run(3*time.Second, acquireAtAll)
	leader := tree.controlMachines[0].State().Leader
	// Not the leader of the control machines: its failure has the same effect as in a flat group.
	failing := tree.controlMachines[(leader+1)%3]
	for i, m := range tree.nodes {
		if tree.controlMachines[i%3] == failing {
			busyNode = m
		}
	}
	tree.failed[failing] = true
	failedAt := tree.now
	leasedBefore := busyNode.member.Counters.Leased
	// The last response may have arrived just before the failure, and the next request is sent with a heartbeat.
	tree.run(5*heartbeatInterval/2+heartbeatInterval, func() { tree.acquire(busyNode, Retries) })
	if busyNode.member.Counters.Leased == leasedBefore {
		t.Errorf("%v after the failure of its control machine, a node has leased no units from another",
			tree.now-failedAt)
	}
	tree.run(3*time.Second, acquireAtAll)
	tree.checkPeak(limit)
	tree.startProcess(failing.cfg)
	tree.run(recoveryTime, acquireAtAll)
	if state := busyNode.State(); state.Leader != 0 {
		t.Errorf("node follows control machine %d of its list after the restart of the first, want 0", state.Leader)
	}
	tree.checkPeak(limit)
}

// Guards against an index that refers to another control machine after the list is replaced. Nodes whose control
// machines are replaced while they hold grants and have delegated units follow the new first one, and all nodes
// together never acquire more than the limit.
func TestLimitHoldsWhenControlMachinesAreReplaced(t *testing.T) {
	for name, change := range map[string]func(all []int) []int{
		"reversed":       func(all []int) []int { return []int{all[2], all[1], all[0]} },
		"first removed":  func(all []int) []int { return all[1:] },
		"only last left": func(all []int) []int { return all[2:] },
	} {
		t.Run(name, func(t *testing.T) { checkReplacedControlMachines(t, change) })
	}
}

// rotatingDemand returns a function that acquires units at one or two nodes, which change over time, so that units are
// delegated and granted.
func (tree *nodeTree) rotatingDemand() func() {
	turn := 0
	return func() {
		turn++
		for i, m := range tree.nodes {
			if turn/100%6 == i || turn/40%6 == i {
				tree.acquire(m, Retries)
			}
		}
	}
}

// restoreControlMachines sets all three control machines again at nodes that have fewer.
func (tree *nodeTree) restoreControlMachines() {
	for i := range tree.preferences {
		if len(tree.preferences[i]) < 3 {
			tree.setControlMachines(i, []int{i % 3, (i + 1) % 3, (i + 2) % 3})
		}
	}
}

// checkReplacedControlMachines replaces the control machines of each node four times, with those that change returns.
func checkReplacedControlMachines(t *testing.T, change func(all []int) []int) {
	const limit = 60
	tree := newNodeTree(t, 6, 3, func(c *Config) { c.Limits = []Limit{{Retries, limit}} })
	tree.run(recoveryTime, nil)
	acquireInTurns := tree.rotatingDemand()
	tree.run(3*time.Second, acquireInTurns)
	for range 4 {
		for i, m := range tree.nodes {
			tree.setControlMachines(i, change(tree.preferences[i]))
			if leader := m.State().Leader; leader != -1 {
				t.Fatalf("node follows control machine %d of a new list before any of it has responded", leader)
			}
			tree.run(300*time.Millisecond, acquireInTurns)
		}
		tree.restoreControlMachines()
	}
	start := tree.now
	tree.run(5*time.Second, acquireInTurns)
	if peak, acquired := tree.peakPerSecond(), tree.acquiredBetween(start, tree.now); peak > limit ||
		acquired < 5*limit/2 {
		t.Errorf("at most %d units acquired in a second, %d in the last 5 s, the limit is %d", peak, acquired, limit)
	}
	for i, m := range tree.nodes {
		if state := m.State(); state.Leader != 0 || m.member.Counters.Leased == 0 {
			t.Errorf("node %d follows control machine %d and has used %d leased units, want machine 0 and some units",
				i, state.Leader, m.member.Counters.Leased)
		}
	}
}

// Guards against a node that ignores a control machine added to its list. It has to follow that one when the only one
// it had before fails.
func TestNodeFollowsAddedControlMachine(t *testing.T) {
	tree := newNodeTree(t, 2, 2, func(c *Config) {
		if c.Limits = []Limit{{Retries, 60}}; !c.isControlMachine() {
			c.Parents = c.Parents[:1]
		}
	})
	tree.preferences = [][]int{{0}, {0}}
	tree.run(recoveryTime, nil)
	for i := range tree.nodes {
		tree.setControlMachines(i, []int{0, 1})
	}
	tree.run(time.Second, nil)
	tree.failed[tree.controlMachines[0]] = true
	tree.run(3*time.Second, nil)
	for i, m := range tree.nodes {
		if state := m.State(); state.Leader != 1 {
			t.Errorf("node %d follows control machine %d, want 1", i, state.Leader)
		}
	}
}

// Guards against a deferred response that is not sent before the next heartbeat of the control machine, because its
// next tick was scheduled before the response was deferred.
func TestDeferredResponseIsDueSoon(t *testing.T) {
	tree := newNodeTree(t, 1, 2, func(c *Config) { c.Limits = []Limit{{Retries, 60}} })
	tree.run(recoveryTime, nil)
	leader := tree.controlMachines[0].State().Leader
	node, parent := tree.nodes[0], tree.controlMachines[1-leader]
	loop := parent.loop.(*fakeLoop)
	tree.setControlMachines(0, []int{1 - leader, leader})
	tree.run(2*time.Second, nil)
	tree.failed[tree.controlMachines[leader]] = true // the failure is not detected yet
	for range 90 {
		tree.acquire(node, Retries)
	}
	for range 20 { // until all units that are available without the leader are granted
		loop.scheduledTicks, parent.nextTick = nil, 0
		node.sendDueMessages()
		messages := tree.inFlight
		tree.inFlight = nil
		for _, deliver := range messages {
			deliver()
		}
		for range 16 {
			tree.acquire(node, Retries)
		}
		tree.now += 20 * time.Millisecond
	}
	if deferred := parent.parent.State(tree.uptimeOf(parent)).Deferred; deferred == 0 {
		t.Fatal("no response is deferred")
	}
	if delay := parent.nextTick - loop.Now(); len(loop.scheduledTicks) == 0 || delay > 50*time.Millisecond {
		t.Errorf("%d ticks scheduled, the next in %v, want one within 50ms", len(loop.scheduledTicks), delay)
	}
}
