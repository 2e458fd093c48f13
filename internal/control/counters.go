package control

import (
	"sync/atomic"

	"brassmux/budget"
	"brassmux/internal/control/transport"
)

// counterSnapshot is a copy of the counts that only the loop's goroutine may read.
type counterSnapshot struct {
	group     budget.Counters
	followers int
	parent    budget.ParentCounters
	children  int
}

// counter defines a counter by its published name and its value in a snapshot.
type counter struct {
	name string
	read func(s *counterSnapshot) int64
}

// groupCounters are the counters of a member of a group.
var groupCounters = [...]counter{
	{"budget_own", func(s *counterSnapshot) int64 { return s.group.Reserved }},
	{"budget_leased", func(s *counterSnapshot) int64 { return s.group.Leased }},
	{"budget_short", func(s *counterSnapshot) int64 { return s.group.Denied }},
	{"budget_given", func(s *counterSnapshot) int64 { return s.group.Granted }},
	{"budget_lapsed", func(s *counterSnapshot) int64 { return s.group.Expired }},
	{"budget_stale", func(s *counterSnapshot) int64 { return s.group.Stale }},
	{"budget_twins", func(s *counterSnapshot) int64 { return s.group.DuplicateIndexes }},
	{"budget_keepers", func(s *counterSnapshot) int64 { return s.group.LeaderChanges }},
	{"budget_followers", func(s *counterSnapshot) int64 { return int64(s.followers) }},
}

// parentCounters are the counters of a control machine.
var parentCounters = [...]counter{
	{"budget_children", func(s *counterSnapshot) int64 { return int64(s.children) }},
	{"budget_asks", func(s *counterSnapshot) int64 { return s.parent.Requests }},
	{"budget_lent", func(s *counterSnapshot) int64 { return s.parent.FromChildren }},
	{"budget_passed", func(s *counterSnapshot) int64 { return s.parent.FromGroup }},
	{"budget_held_back", func(s *counterSnapshot) int64 { return s.parent.Deferred }},
	{"budget_held_full", func(s *counterSnapshot) int64 { return s.parent.DeferralOverflows }},
	{"budget_strange_asks", func(s *counterSnapshot) int64 { return s.parent.Unknown }},
}

// transportCounters are the counters of a socket, with their names without the prefix.
var transportCounters = [...]struct {
	name  string
	value func(c *transport.Counters) *atomic.Int64
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
	peerCounterPrefix  = "peer_"
	childCounterPrefix = "child_"
)

// counters holds published counters. It is safe for concurrent use. The group and parent counters are updated whenever
// the node sends its due messages.
type counters struct {
	group    [len(groupCounters)]atomic.Int64
	parent   [len(parentCounters)]atomic.Int64
	rejected [kindCount]atomic.Int64 // failed acquisitions, by kind
}

// publishCounters copies the counts of package budget to the published counters.
func (m *Manager) publishCounters() {
	snapshot := counterSnapshot{group: m.member.Counters, followers: m.member.State(m.loop.Uptime()).Followers}
	if m.parent != nil {
		snapshot.parent, snapshot.children = m.parent.Counters, m.parent.State(m.loop.Uptime()).Children
	}
	m.counters.publish(&snapshot)
}

func (c *counters) publish(snapshot *counterSnapshot) {
	for i := range groupCounters {
		c.group[i].Store(groupCounters[i].read(snapshot))
	}
	for i := range parentCounters {
		c.parent[i].Store(parentCounters[i].read(snapshot))
	}
}

// Counters calls add with the name and value of each counter, always in the same order. A nil *Manager has no counters.
// Counters is safe for concurrent use.
func (m *Manager) Counters(add func(name string, value int64)) {
	if m == nil {
		return
	}
	for i := range groupCounters {
		add(groupCounters[i].name, m.counters.group[i].Load())
	}
	for kind := Retries; kind < kindCount; kind++ {
		if m.hasLimit[kind] {
			add(kind.rejectedCounter(), m.counters.rejected[kind].Load())
		}
	}
	if m.parent != nil {
		for i := range parentCounters {
			add(parentCounters[i].name, m.counters.parent[i].Load())
		}
	}
	addTransportCounters(add, peerCounterPrefix, m.peers)
	addTransportCounters(add, childCounterPrefix, m.children)
}

func addTransportCounters(add func(name string, value int64), prefix string, conn *transport.Conn) {
	if conn == nil {
		return
	}
	for _, counter := range transportCounters {
		add(prefix+counter.name, counter.value(&conn.Counters).Load())
	}
}
