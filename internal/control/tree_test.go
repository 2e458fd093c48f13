package control

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"brassmux/budget"
)

// nodeTree simulates nodes below control machines. All managers share a clock that the test advances, and a network on
// which processes can be made to fail.
type nodeTree struct {
	t               *testing.T
	now             time.Duration
	nodes           []*Manager
	controlMachines []*Manager
	preferences     [][]int // by node: indexes of its control machines in order of preference
	failed          map[*Manager]bool
	inFlight        []func()        // each delivers a message
	acquiredAt      []time.Duration // time of each unit acquired, at all nodes
}

// stepInterval is the time by which run advances the clock in each step.
const stepInterval = 5 * time.Millisecond

// newNodeTree starts nodes and control machines. change modifies the configuration of each of them.
func newNodeTree(t *testing.T, nodeCount, controlMachineCount int, change func(c *Config)) *nodeTree {
	tree := &nodeTree{t: t, failed: map[*Manager]bool{}}
	var addrs []string
	for i := range controlMachineCount {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", 2+i))
	}
	for i := range nodeCount {
		var preference []int
		for k := range controlMachineCount {
			preference = append(preference, (i+k)%controlMachineCount)
		}
		tree.preferences = append(tree.preferences, preference)
	}
	for i := range nodeCount + controlMachineCount {
		cfg := flatConfig()
		cfg.Settings.NodeCount, cfg.MaxChildren = nodeCount, nodeCount
		if i < nodeCount {
			cfg.Settings.NodeIndex, cfg.Peers, cfg.Parents = i, nil, addrs
		} else {
			cfg.Peers, cfg.ChildListen, cfg.ControlIndex = addrs, "127.0.0.1:0", i-nodeCount
		}
		change(&cfg)
		tree.startProcess(cfg)
	}
	return tree
}

// startProcess starts a process and replaces the earlier process of the same node, if there is one.
func (tree *nodeTree) startProcess(cfg Config) {
	startedAt := tree.now
	m := newManager(cfg, func() time.Duration { return tree.now - startedAt })
	if m.parent == nil {
		tree.nodes = setAt(tree.nodes, cfg.Settings.NodeIndex, m)
	} else {
		tree.controlMachines = setAt(tree.controlMachines, cfg.ControlIndex, m)
	}
	tree.connectSender(m)
}

// setAt replaces the manager with index i, or appends m if there is none.
func setAt(managers []*Manager, i int, m *Manager) []*Manager {
	if i < len(managers) {
		managers[i] = m
		return managers
	}
	return append(managers, m)
}

// connectSender makes a manager send its messages over the simulated network.
func (tree *nodeTree) connectSender(m *Manager) {
	if m.parent == nil {
		m.SetSender(tree.nodeSender(m, m.cfg.Settings.NodeIndex))
	} else {
		m.SetSender(tree.controlMachineSender(m, m.cfg.ControlIndex))
	}
}

func (tree *nodeTree) nodeSender(m *Manager, index int) fakeSender {
	return fakeSender{toPeer: func(to int, message budget.Message) {
		if to >= len(tree.preferences[index]) {
			tree.t.Errorf("node %d sends to control machine %d of its %d", index, to, len(tree.preferences[index]))
			return
		}
		target := tree.preferences[index][to]
		tree.send(m, func() *Manager { return tree.controlMachines[target] },
			func(m *Manager) { m.HandleChildMessage(index, netip.AddrPort{}, message) })
	}}
}

func (tree *nodeTree) controlMachineSender(m *Manager, index int) fakeSender {
	return fakeSender{toPeer: func(to int, message budget.Message) {
		tree.send(m, func() *Manager { return tree.controlMachines[to] },
			func(m *Manager) { m.HandlePeerMessage(index, message) })
	}, toChild: func(to int, message budget.LeaseResponse) {
		tree.send(m, func() *Manager { return tree.nodes[to] }, func(m *Manager) {
			if from := slices.Index(tree.preferences[to], index); from >= 0 { // otherwise the address is unknown
				m.HandlePeerMessage(from, message)
			}
		})
	}}
}

// setControlMachines replaces the control machines of the node with an index, in order of preference.
func (tree *nodeTree) setControlMachines(index int, preference []int) {
	tree.preferences[index] = preference
	m := tree.nodes[index]
	m.member.ReplaceParents(tree.uptimeOf(m), len(preference))
}

// send queues a message. It is lost if the sender or the receiver has failed when it is delivered.
func (tree *nodeTree) send(from *Manager, to func() *Manager, handle func(*Manager)) {
	tree.inFlight = append(tree.inFlight, func() {
		if m := to(); !tree.failed[from] && !tree.failed[m] {
			handle(m)
		}
	})
}

// run advances the clock in steps. In each step it calls beforeStep, and then exchanges all due messages.
func (tree *nodeTree) run(duration time.Duration, beforeStep func()) {
	for end := tree.now + duration; tree.now < end; tree.now += stepInterval {
		if beforeStep != nil {
			beforeStep()
		}
		for _, m := range append(slices.Clone(tree.nodes), tree.controlMachines...) {
			if !tree.failed[m] {
				m.sendDueMessages()
			}
		}
		for len(tree.inFlight) > 0 {
			messages := tree.inFlight
			tree.inFlight = nil
			for _, deliver := range messages {
				deliver()
			}
		}
	}
}

// acquire acquires a unit at a node, unless the node has failed, and records the time when it succeeds.
func (tree *nodeTree) acquire(m *Manager, kind Kind) {
	if !tree.failed[m] {
		m.Acquire(kind, 7, quotaWait, func(ok bool) {
			if ok {
				tree.acquiredAt = append(tree.acquiredAt, tree.now)
			}
		})
	}
}

// acquiredBetween returns the number of units acquired in the interval [from, to).
func (tree *nodeTree) acquiredBetween(from, to time.Duration) (count int) {
	for _, at := range tree.acquiredAt {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// peakPerSecond returns the maximum number of units acquired in any second.
func (tree *nodeTree) peakPerSecond() (peak int) {
	for _, at := range tree.acquiredAt {
		peak = max(peak, tree.acquiredBetween(at, at+time.Second))
	}
	return peak
}

func (tree *nodeTree) checkPeak(limit int) {
	tree.t.Helper()
	if peak := tree.peakPerSecond(); peak > limit {
		tree.t.Errorf("%d units acquired in a second, the limit is %d", peak, limit)
	}
}

// acquireAtAllNodes acquires a unit at each node.
func (tree *nodeTree) acquireAtAllNodes(kind Kind) {
	for _, m := range tree.nodes {
		tree.acquire(m, kind)
	}
}

func (tree *nodeTree) uptimeOf(m *Manager) time.Duration { return m.loop.Uptime() }
