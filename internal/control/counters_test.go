package control

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brassmux/budget"
	"brassmux/internal/control/transport"
)

// Each role of a node in sharing quotas has its counters under the names that operators' tools know, in their order.
func TestCountersKeepTheirNames(t *testing.T) {
	limits := []Limit{{Retries, 1}, {ListCalls, 1}, {HealthChecks, 1}, {Connects, 1}, {Moves, 1}, {Opens, 1}}
	for role, cfg := range map[string]Config{"flat": flatConfig(append(limits, Limit{OpenConnections, 1})...),
		"below": childConfig(limits...), "above": parentConfig(limits...)} {
		t.Run(role, func(t *testing.T) {
			want, err := os.ReadFile("testdata/control-counters-" + role + ".txt")
			if err != nil {
				t.Fatal(err)
			}
			if got := numberedCounters(t, cfg); got != string(want) {
				t.Errorf("counts\n%s, not\n%s", got, want)
			}
		})
	}
}

// numberedCounters gives the names with their values, after a number of its own was put into each count.
func numberedCounters(t *testing.T, cfg Config) string {
	m := newManager(cfg, func() time.Duration { return 0 })
	if err := m.Listen(); err != nil {
		t.Fatal(err)
	}
	m.counters.publish(&figures{
		group: budget.Counters{Reserved: 1, Leased: 2, Denied: 3, Granted: 4, Expired: 5, Stale: 6, DuplicateIndexes: 7,
			LeaderChanges: 8},
		followers: 9, children: 10,
		parent: budget.ParentCounters{Deferred: 11, Requests: 12, FromChildren: 13, FromGroup: 14,
			DeferralOverflows: 15, Unknown: 16}})
	var counts []*atomic.Int64
	for _, kind := range []Kind{Retries, ListCalls, HealthChecks, Connects, Moves, Opens, OpenConnections} {
		counts = append(counts, &m.counters.rejected[kind])
	}
	for _, conn := range []*transport.Conn{m.peers, m.children} {
		if conn != nil {
			defer conn.Close()
			p := &conn.Counters
			counts = append(counts, &p.Sent, &p.SentBytes, &p.Received, &p.ReceivedBytes, &p.Dropped, &p.UnknownSender,
				&p.OtherVersion, &p.Unreadable, &p.TooLong)
		}
	}
	const first = 17
	for i, count := range counts {
		count.Store(int64(first + i))
	}
	var text strings.Builder
	m.Counters(func(name string, value int64) { fmt.Fprintln(&text, name, value) })
	return text.String()
}
