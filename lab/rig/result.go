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
	// InvalidReason tells why the run proves nothing; "" for a valid run.
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
	Starts  int     `json:"starts"`
	Median  float64 `json:"half"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"all"`
	Missing int     `json:"never"` // starts without a notification until the process or the run ended
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

func mostInASecond(times []time.Time) (most int) {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare) // others may still append to the slice
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// lists sums up waits for the list, and those that have not ended.
func (r *rig) lists(waits []time.Duration, since func(n *node) time.Time) ListDelays {
	r.mu.Lock() // the list service still serves
	defer r.mu.Unlock()
	waits = slices.Clone(waits)
	l := ListDelays{Starts: len(waits)}
	for _, n := range r.nodes {
		if !since(n).IsZero() {
			l.Starts, l.Missing = l.Starts+1, l.Missing+1
		}
	}
	l.Median, l.P99, l.Max = within(waits, 0.5), within(waits, 0.99), within(waits, 1)
	return l
}

// within gives the seconds within which a part of them was over; 0 where there are none.
func within(waits []time.Duration, part float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return math.Round(waits[max(int(math.Ceil(part*float64(len(waits)))), 1)-1].Seconds()*1000) / 1000
}

func (r *rig) finish() *Result {
	for _, n := range r.nodes { // counters are told on request
		if p := r.process(n); p != nil {
			r.disturb(n, false)
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGUSR1)
		}
		if n.second != nil {
			n.second.Signal(syscall.SIGUSR1)
		}
	}
	for _, n := range r.nodes {
		for _, p := range []*process.Process{r.process(n), n.second} {
			until := time.Now().Add(3 * time.Second)
			for p != nil && time.Now().Before(until) && !p.CountersSettled() {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	for _, p := range r.logs {
		for k, v := range p.Counters() {
			r.sum[k] += v
		}
	}
	delete(r.sum, "ts")
	r.mu.Lock() // the stand-ins still serve, and count what they do
	totals, effects, peaks := maps.Clone(r.totals), slices.Clone(r.effects), maps.Clone(r.peaks)
	waits, backs := r.waits, r.backs
	r.mu.Unlock()
	res := &Result{Scenario: r.s.Name, Seed: r.o.Seed, Nodes: r.s.Nodes, Totals: totals, EventEffects: effects, Counters: r.sum}
	res.Violations, res.History = r.ref.Check(time.Now())
	for _, p := range r.logs {
		if told := p.Crash(); told != "" {
			res.Violations.Crashed++
			res.History = append(res.History, fmt.Sprintf("node %d crashed:\n%s", p.Node, told))
		}
	}
	for name, n := range r.sum { // what the program itself held back
		if strings.HasPrefix(name, "rule_") && n > 0 {
			res.Violations.Asserted += int(n)
			res.History = append(res.History, fmt.Sprintf("%s: %.0f by the nodes' own count", name, n))
		}
	}
	res.Totals["answered in time"], res.Totals["excused"] = r.ref.Answered, r.ref.Excused
	res.Totals["attempts at cold servers"], res.Totals["further attempts"] = r.ref.SlowStartSends, r.ref.Retries
	res.SlowStartUtilization = math.Round(r.ref.SlowStartUtilization*1000) / 1000
	res.ListDelays, res.StartupTimes, res.Peaks = r.lists(waits, func(n *node) time.Time { return n.began }), r.readies(), map[string]int{}
	res.ListRecovery = r.lists(backs, func(n *node) time.Time { return n.back })
	for what, times := range peaks {
		kind, _, one := strings.Cut(what, " s-")
		if one {
			kind += " at one server"
		}
		res.Peaks[kind] = max(res.Peaks[kind], mostInASecond(times))
	}
	if r.s.Quotas.OpenPerCustomer > 0 {
		res.Totals["most open of a customer"] = r.ref.MaxOpen
	}
	res.MaxLatenessMS = float64(r.late.Microseconds()) / 1000
	if r.failed != "" {
		res.InvalidReason = r.failed
	} else if r.ref.Foreign > 0 { // guards against what two rigs side by side do to each other: ports that are free again are taken anew
		res.InvalidReason = fmt.Sprintf("%d requests of another rig came", r.ref.Foreign)
	} else if r.late > lateMost {
		res.InvalidReason = fmt.Sprintf("the rig was %v late", r.late.Round(time.Millisecond))
	}
	res.Seconds = r.seconds
	served, wanted := 0.0, 0.0
	for _, s := range r.seconds {
		served, wanted = served+s.Served, wanted+s.Served+s.Overloaded+s.Waiting
	}
	if wanted > 0 {
		res.Served = math.Round(served/wanted*1e4) / 1e4
	}
	seconds := time.Duration(r.s.Length).Seconds()
	for i := range r.nodes {
		w, b := r.sent(i)
		res.Datagrams.PerSecond, res.Datagrams.BytesPerSecond = res.Datagrams.PerSecond+float64(w)/seconds, res.Datagrams.BytesPerSecond+float64(b)/seconds
		res.Datagrams.MaxPerSecond = max(res.Datagrams.MaxPerSecond, float64(w)/seconds)
		res.Datagrams.MaxBytesPerSecond = max(res.Datagrams.MaxBytesPerSecond, float64(b)/seconds)
	}
	for _, line := range slices.Clone(res.History)[:min(len(res.History), 3)] {
		id, _, _ := strings.Cut(strings.TrimSpace(line[min(13, len(line)):]), ",")
		for _, p := range r.logs {
			if text := p.LogExcerpt(id); strings.Contains(text, id) {
				res.History = append(res.History, text)
			}
		}
	}
	return res
}

// sent gives the words and bytes that a process sent to others.
func (r *rig) sent(i int) (words, bytes int64) {
	if r.s.ControlMachines == 0 {
		return r.words.SentBy(i)
	}
	words, bytes = r.below.SentBy(i)
	if i >= r.s.Nodes {
		w, b := r.words.SentBy(i - r.s.Nodes)
		words, bytes = words+w, bytes+b
	}
	return words, bytes
}

// TotalNames gives the totals in order.
func (r *Result) TotalNames() []string { return slices.Sorted(maps.Keys(r.Totals)) }
