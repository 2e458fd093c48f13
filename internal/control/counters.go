package control

import (
	"sync/atomic"

	"brassmux/budget"
	"brassmux/internal/control/transport"
)

// figures are the counts that belong to the loop's goroutine.
type figures struct {
	group     budget.Counters
	followers int
	parent    budget.ParentCounters
	children  int
}

// counter maps the name of a counter, as operators' tools read it, to its value.
type counter struct {
	name string
	read func(f *figures) int64
}

// groupCounters are those of a member of a group.
var groupCounters = [...]counter{
	{"budget_own", func(f *figures) int64 { return f.group.Reserved }},
	{"budget_leased", func(f *figures) int64 { return f.group.Leased }},
	{"budget_short", func(f *figures) int64 { return f.group.Denied }},
	{"budget_given", func(f *figures) int64 { return f.group.Granted }},
	{"budget_lapsed", func(f *figures) int64 { return f.group.Expired }},
	{"budget_stale", func(f *figures) int64 { return f.group.Stale }},
	{"budget_twins", func(f *figures) int64 { return f.group.DuplicateIndexes }},
	{"budget_keepers", func(f *figures) int64 { return f.group.LeaderChanges }},
	{"budget_followers", func(f *figures) int64 { return int64(f.followers) }},
}

// parentCounters are those of a control machine.
var parentCounters = [...]counter{
	{"budget_children", func(f *figures) int64 { return int64(f.children) }},
	{"budget_asks", func(f *figures) int64 { return f.parent.Requests }},
	{"budget_lent", func(f *figures) int64 { return f.parent.FromChildren }},
	{"budget_passed", func(f *figures) int64 { return f.parent.FromGroup }},
	{"budget_held_back", func(f *figures) int64 { return f.parent.Deferred }},
	{"budget_held_full", func(f *figures) int64 { return f.parent.DeferralOverflows }},
	{"budget_strange_asks", func(f *figures) int64 { return f.parent.Unknown }},
}

// transportCounters are those of a socket, without their prefix.
var transportCounters = [...]struct {
	name  string
	count func(c *transport.Counters) *atomic.Int64
}{
	{"words_sent", func(c *transport.Counters) *atomic.Int64 { return &c.Sent }},
	{"bytes_sent", func(c *transport.Counters) *atomic.Int64 { return &c.SentBytes }},
	{"words", func(c *transport.Counters) *atomic.Int64 { return &c.Received }},
	{"bytes", func(c *transport.Counters) *atomic.Int64 { return &c.ReceivedBytes }},
	{"dropped", func(c *transport.Counters) *atomic.Int64 { return &c.Dropped }},
	{"unknown", func(c *transport.Counters) *atomic.Int64 { return &c.UnknownSender }},
	{"other_version", func(c *transport.Counters) *atomic.Int64 { return &c.OtherVersion }},
	{"unreadable", func(c *transport.Counters) *atomic.Int64 { return &c.Unreadable }},
	{"too_long", func(c *transport.Counters) *atomic.Int64 { return &c.TooLong }},
}

// The prefixes of transportCounters.
const (
	peerPrefix  = "peer_"
	childPrefix = "child_"
)

// counters are safe for concurrent use. Those of figures are as of the last exchange.
type counters struct {
	group    [len(groupCounters)]atomic.Int64
	parent   [len(parentCounters)]atomic.Int64
	rejected [kindCount]atomic.Int64 // requests for units, by kind
}

func (m *Manager) publishCounters() {
	f := figures{group: m.quotas.Counters, followers: m.quotas.State(m.loop.Uptime()).Followers}
	if m.parent != nil {
		f.parent, f.children = m.parent.Counters, m.parent.State(m.loop.Uptime()).Children
	}
	m.counters.publish(&f)
}

func (c *counters) publish(f *figures) {
	for i := range groupCounters {
		c.group[i].Store(groupCounters[i].read(f))
	}
	for i := range parentCounters {
		c.parent[i].Store(parentCounters[i].read(f))
	}
}

// Counters calls add with the name and value of each counter, always in the same order. A nil Manager has none. It is
// safe for concurrent use.
func (m *Manager) Counters(add func(name string, value int64)) {
	if m == nil {
		return
	}
	for i := range groupCounters {
		add(groupCounters[i].name, m.counters.group[i].Load())
	}
	for kind := Retries; kind < kindCount; kind++ {
		if m.limited[kind] {
			add(kind.rejectedCounter(), m.counters.rejected[kind].Load())
		}
	}
	if m.parent != nil {
		for i := range parentCounters {
			add(parentCounters[i].name, m.counters.parent[i].Load())
		}
	}
	addTransportCounters(add, peerPrefix, m.peers)
	addTransportCounters(add, childPrefix, m.children)
}

func addTransportCounters(add func(name string, value int64), prefix string, conn *transport.Conn) {
	if conn == nil {
		return
	}
	for _, c := range transportCounters {
		add(prefix+c.name, c.count(&conn.Counters).Load())
	}
}
