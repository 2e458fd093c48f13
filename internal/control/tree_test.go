package control

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"brassmux/budget"
)

// tree is nodes below control machines, each with its manager on one clock that the test moves, with a network that it
// can cut.
type tree struct {
	t       *testing.T
	now     time.Duration
	nodes   []*Manager
	control []*Manager
	prefers [][]int // control machines by node, the first one first
	dead    map[*Manager]bool
	sent    []func()
	spent   []time.Duration // units of the quota, at all nodes
}

const step = 5 * time.Millisecond

func newTree(t *testing.T, nodes, control int, change func(c *Config)) *tree {
	f := &tree{t: t, dead: map[*Manager]bool{}}
	var addrs []string
	for i := range control {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", 2+i))
	}
	for i := range nodes {
		var all []int
		for k := range control {
			all = append(all, (i+k)%control)
		}
		f.prefers = append(f.prefers, all)
	}
	for i := range nodes + control {
		c := flatConfig()
		c.Settings.NodeCount, c.MaxChildren = nodes, nodes
		if i < nodes {
			c.Settings.NodeIndex, c.Peers, c.Parents = i, nil, addrs
		} else {
			c.Peers, c.ChildListen, c.ControlIndex = addrs, "127.0.0.1:0", i-nodes
		}
		change(&c)
		f.add(c)
	}
	return f
}

// add puts a start of a process in its place.
func (f *tree) add(c Config) {
	born := f.now
	m := newManager(c, func() time.Duration { return f.now - born })
	if m.parent == nil {
		f.nodes = place(f.nodes, c.Settings.NodeIndex, m)
	} else {
		f.control = place(f.control, c.ControlIndex, m)
	}
	f.connect(m)
}

func place(all []*Manager, i int, m *Manager) []*Manager {
	if i < len(all) {
		all[i] = m
		return all
	}
	return append(all, m)
}

// connect has a manager send over the network of the test.
func (f *tree) connect(m *Manager) {
	if m.parent == nil {
		m.SetSender(f.senderOfNode(m, m.cfg.Settings.NodeIndex))
	} else {
		m.SetSender(f.senderOfParent(m, m.cfg.ControlIndex))
	}
}

func (f *tree) senderOfNode(m *Manager, i int) fakeSender {
	return fakeSender{toPeer: func(to int, message budget.Message) {
		if to >= len(f.prefers[i]) {
			f.t.Errorf("node %d asks number %d of %d", i, to, len(f.prefers[i]))
			return
		}
		at := f.prefers[i][to]
		f.send(m, func() *Manager { return f.control[at] },
			func(m *Manager) { m.HandleChildMessage(i, netip.AddrPort{}, message) })
	}}
}

func (f *tree) senderOfParent(m *Manager, i int) fakeSender {
	return fakeSender{toPeer: func(to int, message budget.Message) {
		f.send(m, func() *Manager { return f.control[to] }, func(m *Manager) { m.HandlePeerMessage(i, message) })
	}, toChild: func(to int, message budget.LeaseResponse) {
		f.send(m, func() *Manager { return f.nodes[to] }, func(m *Manager) {
			if from := slices.Index(f.prefers[to], i); from >= 0 { // else from an unknown address
				m.HandlePeerMessage(from, message)
			}
		})
	}}
}

// prefer has a node follow other control machines, in its order of preference.
func (f *tree) prefer(node int, control []int) {
	f.prefers[node] = control
	m := f.nodes[node]
	m.quotas.ReplaceParents(f.uptime(m), len(control))
}

func (f *tree) send(from *Manager, to func() *Manager, handle func(*Manager)) {
	f.sent = append(f.sent, func() {
		if m := to(); !f.dead[from] && !f.dead[m] {
			handle(m)
		}
	})
}

// run goes on for a while; before each step, what is to be done is done.
func (f *tree) run(d time.Duration, do func()) {
	for end := f.now + d; f.now < end; f.now += step {
		if do != nil {
			do()
		}
		for _, m := range append(slices.Clone(f.nodes), f.control...) {
			if !f.dead[m] {
				m.exchange()
			}
		}
		for len(f.sent) > 0 {
			sent := f.sent
			f.sent = nil
			for _, one := range sent {
				one()
			}
		}
	}
}

// want has a node want a unit.
func (f *tree) want(m *Manager, kind Kind) {
	if !f.dead[m] {
		m.Acquire(kind, 7, quotaWait, func(ok bool) {
			if ok {
				f.spent = append(f.spent, f.now)
			}
		})
	}
}

// in counts the units that were spent between two times.
func (f *tree) in(from, to time.Duration) (n int) {
	for _, at := range f.spent {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// peak is the most in any second.
func (f *tree) peak() (peak int) {
	for _, at := range f.spent {
		peak = max(peak, f.in(at, at+time.Second))
	}
	return peak
}

func (f *tree) checkPeak(limit int) {
	f.t.Helper()
	if n := f.peak(); n > limit {
		f.t.Errorf("%d of %d were spent in a second", n, limit)
	}
}

// wantAll has each node want a unit.
func (f *tree) wantAll(kind Kind) {
	for _, m := range f.nodes {
		f.want(m, kind)
	}
}

func (f *tree) uptime(m *Manager) time.Duration { return m.loop.Uptime() }
