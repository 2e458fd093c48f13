package fleet

import (
	"fmt"
	"time"
)

// Result holds the measurements of a run.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Served is the fraction of the clients' wanted connection time in which they were connected to a server within its
	// capacity.
	Served float64 `json:"served"`
	// WorstWindow is the lowest value of Served over any 5 s.
	WorstWindow float64    `json:"worst_5s"`
	Violations  Violations `json:"broken"`
	// SlowStartUtilization is the maximum ratio of the attempts at a server in slow start to their limit, over all
	// overload windows in which at least two thirds of the attempts came from nodes notified of the server's start.
	SlowStartUtilization float64 `json:"cold_used"`
	// Totals holds each counter's total over the run and all nodes.
	Totals map[string]int `json:"totals"`
	// CountsPerSecond holds each counter's increments by second of the run.
	CountsPerSecond map[string][]int `json:"seconds"`
	// MaxPerServer holds the maximum increments of a counter at a single server within one second.
	MaxPerServer map[string]int `json:"one_host_1s"`
	// Utilization holds, by second, the ratio of the load of all servers to their capacity.
	Utilization []float64 `json:"used"`
	// Imbalance holds, by second, the ratio of the highest utilization of a server to the mean.
	Imbalance []float64 `json:"spread"`
	// History describes the first violations.
	History []string `json:"history"`
}

// Violations counts the violations of each invariant.
type Violations struct {
	// Unanswered counts requests without a final answer before their deadline, and answers after the final one.
	Unanswered int `json:"unanswered"`
	// Duplicates counts attempts that started while another of the same request was in flight.
	Duplicates int `json:"twice"`
	// LateSends counts attempts at a draining or removed server after the grace period.
	LateSends int `json:"late_sends"`
	// Overloads counts servers that were overloaded in slow start, with at least two thirds of the attempts coming from
	// nodes notified of their start.
	Overloads int `json:"fallen_colds"`
}

// Any reports whether an invariant was violated.
func (v Violations) Any() bool { return v != Violations{} }

// String returns the form in which the commands print the counts, which differs from the names of the fields.
func (v Violations) String() string {
	return fmt.Sprintf("{Unanswered:%d Twice:%d Late:%d Fallen:%d}",
		v.Unanswered, v.Duplicates, v.LateSends, v.Overloads)
}

// serverSecond identifies a counter of one server in one second of the run.
type serverSecond struct {
	counter string
	server  *server
	second  int
}

// second returns the number of full seconds since the start of the run.
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

// recordViolation increments the count of an invariant and adds a description to the history, up to maxHistory entries.
func (sim *simulation) recordViolation(count *int, format string, args ...any) {
	*count++
	if len(sim.result.History) < maxHistory {
		at := (sim.now - startTime).Round(time.Millisecond)
		sim.result.History = append(sim.result.History, fmt.Sprintf("%v ", at)+fmt.Sprintf(format, args...))
	}
}
