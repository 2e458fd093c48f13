package fleet

import (
	"fmt"
	"time"
)

// Result is what a run has counted.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Served is the fraction of the wanted connection time in which the server was within its capacity.
	Served float64 `json:"served"`
	// WorstWindow is Served over the worst 5 s.
	WorstWindow float64    `json:"worst_5s"`
	Violations  Violations `json:"broken"`
	// SlowStartUtilization is the maximum, over all windows in which most sends came from notified nodes, of the
	// connections sent to a server in slow start over the limit.
	SlowStartUtilization float64 `json:"cold_used"`
	// Totals holds each counter over the whole run and all nodes.
	Totals map[string]int `json:"totals"`
	// Seconds holds each counter by second.
	CountsPerSecond map[string][]int `json:"seconds"`
	// MaxPerServer holds each counter's maximum at one server in one second.
	MaxPerServer map[string]int `json:"one_host_1s"`
	// Utilization is, by second, the load of all servers over their capacity.
	Utilization []float64 `json:"used"`
	// Imbalance is, by second, the utilization of the busiest server over the mean.
	Imbalance []float64 `json:"spread"`
	// History describes the first violations.
	History []string `json:"history"`
}

// Violations counts violated invariants.
type Violations struct {
	// Unanswered counts requests without a final answer before their deadline, and answers after the final one.
	Unanswered int `json:"unanswered"`
	// Duplicates counts attempts that started while another of the same request was in flight.
	Duplicates int `json:"twice"`
	// LateSends counts attempts at a draining or removed server after the grace period.
	LateSends int `json:"late_sends"`
	// Overloads counts servers overloaded in slow start, mostly by nodes that were notified of their start.
	Overloads int `json:"fallen_colds"`
}

// Any reports whether an invariant was violated.
func (v Violations) Any() bool { return v != Violations{} }

// String returns the counts under the names that the commands print.
func (v Violations) String() string {
	return fmt.Sprintf("{Unanswered:%d Twice:%d Late:%d Fallen:%d}",
		v.Unanswered, v.Duplicates, v.LateSends, v.Overloads)
}

// serverSecond identifies a counter of one server in one second.
type serverSecond struct {
	counter string
	server  *server
	second  int
}

// second returns the number of whole seconds since the start.
func (sim *simulation) second() int { return int((sim.now - startTime) / time.Second) }

// count increments a counter.
func (sim *simulation) count(counter string) {
	second := sim.second()
	counts := sim.result.CountsPerSecond[counter]
	for len(counts) <= second {
		counts = append(counts, 0)
	}
	counts[second]++
	sim.result.CountsPerSecond[counter] = counts
	sim.result.Totals[counter]++
}

// countAtServer increments a counter that is also kept for each server.
func (sim *simulation) countAtServer(counter string, s *server) {
	sim.count(counter)
	key := serverSecond{counter, s, sim.second()}
	sim.serverCounts[key]++
	sim.result.MaxPerServer[counter] = max(sim.result.MaxPerServer[counter], sim.serverCounts[key])
}

// recordViolation increments the count of an invariant and describes the violation in the history while there is room.
func (sim *simulation) recordViolation(count *int, format string, args ...any) {
	*count++
	if len(sim.result.History) < maxHistory {
		at := (sim.now - startTime).Round(time.Millisecond)
		sim.result.History = append(sim.result.History, fmt.Sprintf("%v ", at)+fmt.Sprintf(format, args...))
	}
}
