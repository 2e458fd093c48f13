package rig

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"syscall"
	"time"

	"brassmux/lab/checker"
	"brassmux/lab/process"
)

// Result is what a run has measured.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Nodes    int    `json:"nodes"`
	// InvalidReason is why the run proves nothing; "" for a valid run.
	InvalidReason string  `json:"void"`
	MaxLatenessMS float64 `json:"late_ms"` // of the harness itself
	// Served is the fraction of the wanted connection time in which the server was within its capacity.
	Served     float64            `json:"served"`
	Violations checker.Violations `json:"broken"`
	// SlowStartUtilization is the maximum, over all windows, of the attempts at a server in slow start over the limit.
	SlowStartUtilization float64        `json:"cold_used"`
	Totals               map[string]int `json:"totals"` // counters of the clients, the servers and the list service
	// EventEffects is how often each event was observed to affect its targets.
	EventEffects []int `json:"effects"`
	// Counters are the counters of the nodes, summed over all processes that reported them.
	Counters   map[string]float64 `json:"counters"`
	Datagrams  DatagramRates      `json:"words"`
	Seconds    []Second           `json:"seconds"` // each second of the run
	ListDelays ListDelays         `json:"lists"`   // from the start of a process
	// StartupTimes has an entry for the start of the run, then one for each event that started processes.
	StartupTimes []StartupTimes `json:"ready"`
	ListRecovery ListDelays     `json:"back"` // from the end of an outage of the list service
	// Peaks are the maxima in any second: of list calls, and of connections and health checks at one server.
	Peaks map[string]int `json:"peaks"`
	// History describes the first violations, and has excerpts from the logs of the nodes involved.
	History []string `json:"history"`
}

// ListDelays is the distribution of the time until a process was notified by the list service, in seconds.
type ListDelays struct {
	Starts  int     `json:"starts"` // waits, ended or not
	Median  float64 `json:"half"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"all"`
	Missing int     `json:"never"` // waits that had not ended at the end of the run
}

// StartupTimes is the distribution of the time from the start of a process to its first PONG, in seconds.
type StartupTimes struct {
	Event      int     `json:"event"` // index in the scenario; -1 for the start of the run
	Starts     int     `json:"starts"`
	Median     float64 `json:"half"`
	P90        float64 `json:"nine_in_ten"`
	Max        float64 `json:"all"`
	NeverReady int     `json:"never"` // processes that were not ready when they or the run ended
}

// Second has the clients by state in one second of the run, as means of ten samples, and the load of the servers.
type Second struct {
	Served     float64 `json:"served"`  // connected to a server within its capacity
	Overloaded float64 `json:"crowded"` // connected to an overloaded server
	Waiting    float64 `json:"waiting"` // not connected

	// Utilization is the load over the capacity of each server at the last sample.
	Utilization map[string]float64 `json:"loads"`
}

// DatagramRates are the datagrams and bytes per second that the processes sent one another.
type DatagramRates struct {
	PerSecond         float64 `json:"words"`
	BytesPerSecond    float64 `json:"bytes"`
	MaxPerSecond      float64 `json:"busiest_words"` // by one process
	MaxBytesPerSecond float64 `json:"busiest_bytes"` // by one process
}

// maxPerSecond returns the highest number of times within any second.
func maxPerSecond(times []time.Time) (highest int) {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare) // a copy, as the slice may still be appended to
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, i+1-first)
	}
	return highest
}

// listDelays returns the distribution of the waits for a notification by the list service. Since returns the start of a
// node's wait that has not ended, or zero.
func (r *run) listDelays(waits []time.Duration, since func(n *node) time.Time) ListDelays {
	r.mu.Lock() // the list service still runs and calls onNotification
	defer r.mu.Unlock()
	waits = slices.Clone(waits)
	delays := ListDelays{Starts: len(waits)}
	for _, n := range r.nodes {
		if !since(n).IsZero() {
			delays.Starts, delays.Missing = delays.Starts+1, delays.Missing+1
		}
	}
	delays.Median, delays.P99, delays.Max = percentile(waits, 0.5), percentile(waits, 0.99), percentile(waits, 1)
	return delays
}

// percentile sorts durations and returns the smallest, in seconds, that is not exceeded by a fraction of them; 0 if
// there are none.
func percentile(durations []time.Duration, fraction float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return math.Round(durations[max(int(math.Ceil(fraction*float64(len(durations)))), 1)-1].Seconds()*1000) / 1000
}

// collectResult reads the counters of all processes, checks the history and returns the result of the run.
func (r *run) collectResult() *Result {
	for _, n := range r.nodes { // a process writes its counters on SIGUSR1
		if p := r.currentProcess(n); p != nil {
			r.setDisturbed(n, false)
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGUSR1)
		}
		if n.duplicate != nil {
			n.duplicate.Signal(syscall.SIGUSR1)
		}
	}
	for _, n := range r.nodes {
		for _, p := range []*process.Process{r.currentProcess(n), n.duplicate} {
			deadline := time.Now().Add(3 * time.Second)
			for p != nil && time.Now().Before(deadline) && !p.CountersSettled() {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	for _, p := range r.processes {
		for name, value := range p.Counters() {
			r.counters[name] += value
		}
	}
	delete(r.counters, "ts")
	r.mu.Lock() // the stand-ins still run and count
	totals, effects, peaks := maps.Clone(r.totals), slices.Clone(r.effects), maps.Clone(r.peakTimes)
	listWaits, recoveryWaits := r.listWaits, r.recoveryWaits
	r.mu.Unlock()
	result := &Result{Scenario: r.scenario.Name, Seed: r.options.Seed, Nodes: r.scenario.Nodes, Totals: totals,
		EventEffects: effects, Counters: r.counters}
	result.Violations, result.History = r.checker.Check(time.Now())
	for _, p := range r.processes {
		if crash := p.Crash(); crash != "" {
			result.Violations.Crashed++
			result.History = append(result.History, fmt.Sprintf("node %d crashed:\n%s", p.Node, crash))
		}
	}
	for name, count := range r.counters { // violations that the program's own invariants prevented
		if strings.HasPrefix(name, "rule_") && count > 0 {
			result.Violations.Asserted += int(count)
			result.History = append(result.History,
				fmt.Sprintf("%s: %.0f violations counted by the nodes", name, count))
		}
	}
	result.Totals["answered in time"], result.Totals["excused"] = r.checker.Answered, r.checker.Excused
	result.Totals["attempts at cold servers"], result.Totals["further attempts"] =
		r.checker.SlowStartSends, r.checker.Retries
	result.SlowStartUtilization = math.Round(r.checker.SlowStartUtilization*1000) / 1000
	result.ListDelays, result.StartupTimes, result.Peaks = r.listDelays(listWaits,
		func(n *node) time.Time { return n.listPendingSince }), r.startupTimes(), map[string]int{}
	result.ListRecovery = r.listDelays(recoveryWaits, func(n *node) time.Time { return n.recoveryPendingSince })
	for name, times := range peaks {
		kind, _, isPerServer := strings.Cut(name, " s-")
		if isPerServer {
			kind += " at one server"
		}
		result.Peaks[kind] = max(result.Peaks[kind], maxPerSecond(times))
	}
	if r.scenario.Quotas.OpenPerCustomer > 0 {
		result.Totals["most open of a customer"] = r.checker.MaxOpen
	}
	result.MaxLatenessMS = float64(r.maxLateness.Microseconds()) / 1000
	if r.failure != "" {
		result.InvalidReason = r.failure
	} else if r.checker.ForeignRequests > 0 { // a concurrent run has reused a released port
		result.InvalidReason = fmt.Sprintf("%d requests of another run arrived", r.checker.ForeignRequests)
	} else if r.maxLateness > latenessLimit {
		result.InvalidReason = fmt.Sprintf("the harness was %v late", r.maxLateness.Round(time.Millisecond))
	}
	result.Seconds = r.seconds
	served, wanted := 0.0, 0.0
	for _, s := range r.seconds {
		served, wanted = served+s.Served, wanted+s.Served+s.Overloaded+s.Waiting
	}
	if wanted > 0 {
		result.Served = math.Round(served/wanted*1e4) / 1e4
	}
	seconds := time.Duration(r.scenario.Length).Seconds()
	for i := range r.nodes {
		datagrams, bytes := r.sentBy(i)
		result.Datagrams.PerSecond, result.Datagrams.BytesPerSecond =
			result.Datagrams.PerSecond+float64(datagrams)/seconds,
			result.Datagrams.BytesPerSecond+float64(bytes)/seconds
		result.Datagrams.MaxPerSecond = max(result.Datagrams.MaxPerSecond, float64(datagrams)/seconds)
		result.Datagrams.MaxBytesPerSecond = max(result.Datagrams.MaxBytesPerSecond, float64(bytes)/seconds)
	}
	// Adds the log excerpts of the first requests in the history. An ID follows the time, which takes 13 characters.
	for _, line := range slices.Clone(result.History)[:min(len(result.History), 3)] {
		id, _, _ := strings.Cut(strings.TrimSpace(line[min(13, len(line)):]), ",")
		for _, p := range r.processes {
			if excerpt := p.LogExcerpt(id); strings.Contains(excerpt, id) {
				result.History = append(result.History, excerpt)
			}
		}
	}
	return result
}

// sentBy returns the datagrams and bytes that a process has sent to the others.
func (r *run) sentBy(index int) (datagrams, bytes int64) {
	if r.scenario.ControlMachines == 0 {
		return r.peerNetwork.SentBy(index)
	}
	datagrams, bytes = r.childNetwork.SentBy(index)
	if index >= r.scenario.Nodes {
		peerDatagrams, peerBytes := r.peerNetwork.SentBy(index - r.scenario.Nodes)
		datagrams, bytes = datagrams+peerDatagrams, bytes+peerBytes
	}
	return datagrams, bytes
}

// TotalNames returns the sorted names of the totals.
func (r *Result) TotalNames() []string { return slices.Sorted(maps.Keys(r.Totals)) }
