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

// Guards against counters that change their name or order, on which operators' tools depend. The golden files have the
// counters of a node in a flat group, of a node below a control machine and of a control machine.
func TestCountersMatchGoldenFiles(t *testing.T) {
	limits := []Limit{{Retries, 1}, {ListCalls, 1}, {HealthChecks, 1}, {Connects, 1}, {Moves, 1}, {Opens, 1}}
	for role, cfg := range map[string]Config{"flat": flatConfig(append(limits, Limit{OpenConnections, 1})...),
		"below": childConfig(limits...), "above": parentConfig(limits...)} {
		t.Run(role, func(t *testing.T) {
			want, err := os.ReadFile("testdata/control-counters-" + role + ".txt")
			if err != nil {
				t.Fatal(err)
			}
			if got := distinctCounters(t, cfg); got != string(want) {
				t.Errorf("counters are\n%s, want\n%s", got, want)
			}
		})
	}
}

// distinctCounters sets each counter of a node to a different value, and returns a line with the name and value of each
// counter.
func distinctCounters(t *testing.T, cfg Config) string {
	m := newManager(cfg, func() time.Duration { return 0 })
	if err := m.Listen(); err != nil {
		t.Fatal(err)
	}
	m.counters.publish(&counterSnapshot{
		group: budget.Counters{Reserved: 1, Leased: 2, Denied: 3, Granted: 4, Expired: 5, Stale: 6, DuplicateIndexes: 7,
			LeaderChanges: 8},
		followers: 9, children: 10,
		parent: budget.ParentCounters{Deferred: 11, Requests: 12, FromChildren: 13, FromGroup: 14,
			DeferralOverflows: 15, Unknown: 16}})
	var counters []*atomic.Int64
	for _, kind := range []Kind{Retries, ListCalls, HealthChecks, Connects, Moves, Opens, OpenConnections} {
		counters = append(counters, &m.counters.rejected[kind])
	}
	for _, conn := range []*transport.Conn{m.peers, m.children} {
		if conn != nil {
			defer conn.Close()
			counts := &conn.Counters
			counters = append(counters, &counts.Sent, &counts.SentBytes, &counts.Received, &counts.ReceivedBytes,
				&counts.Dropped, &counts.UnknownSender, &counts.OtherVersion, &counts.Unreadable, &counts.TooLong)
		}
	}
	const firstValue = 17
	for i, counter := range counters {
		counter.Store(int64(firstValue + i))
	}
	var text strings.Builder
	m.Counters(func(name string, value int64) { fmt.Fprintln(&text, name, value) })
	return text.String()
}
