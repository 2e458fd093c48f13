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

// Result is what a run has counted.
type Result struct {
	Scenario             string             `json:"scenario"`
	Seed                 uint64             `json:"seed"`
	Nodes                int                `json:"nodes"`
	InvalidReason        string             `json:"void"`      // why the run says nothing; "" where it does
	MaxLatenessMS        float64            `json:"late_ms"`   // the most by which the rig itself was late
	Served               float64            `json:"served"`    // part of the time wanted in which clients stood at a server within what it can do
	Violations           checker.Violations `json:"broken"`    // rules
	SlowStartUtilization float64            `json:"cold_used"` // the fullest window of a cold server, what came over what may come
	Totals               map[string]int     `json:"totals"`    // counted at clients, servers and the list service
	EventEffects         []int              `json:"effects"`   // by event: how often it was seen to act at who met it
	Counters             map[string]float64 `json:"counters"`  // the nodes' own, summed over all processes that told theirs
	Datagrams            DatagramRates      `json:"words"`
	Seconds              []Second           `json:"seconds"` // the day, second by second
	ListDelays           ListDelays         `json:"lists"`
	StartupTimes         []StartupTimes     `json:"ready"`   // first the day's start, then each event that started processes
	ListRecovery         ListDelays         `json:"back"`    // the same, from when the list service was back
	Peaks                map[string]int     `json:"peaks"`   // the most in any second: of calls for the list, and at any one server
	History              []string           `json:"history"` // of what broke a rule, the first few, and the logs of the nodes in it
}

// ListDelays tells how long processes of nodes were without word of the list service, in seconds from their starts.
type ListDelays struct {
	Starts  int     `json:"starts"`
	Median  float64 `json:"half"` // half of those that got it had it within
	P99     float64 `json:"p99"`
	Max     float64 `json:"all"`
	Missing int     `json:"never"` // none came as long as they ran
}

// StartupTimes tells how long processes took from their starts until they first answered PONG, in seconds.
type StartupTimes struct {
	Event      int     `json:"event"` // its place among the scenario's; -1 for the day's start
	Starts     int     `json:"starts"`
	Median     float64 `json:"half"` // half of those that did had done so within
	P90        float64 `json:"nine_in_ten"`
	Max        float64 `json:"all"`
	NeverReady int     `json:"never"` // ended, or the day did, before
}

// Second is where clients were in one second of the day, as means of ten looks, and how full servers were.
type Second struct {
	Served     float64 `json:"served"`  // stood at a server within what it can do
	Overloaded float64 `json:"crowded"` // stood at one beyond that
	Waiting    float64 `json:"waiting"` // stood nowhere

	Utilization map[string]float64 `json:"loads"` // by server: asked of it over what it can do, at the second's last look
}

// DatagramRates counts what nodes told one another, a second.
type DatagramRates struct {
	PerSecond         float64 `json:"words"`
	BytesPerSecond    float64 `json:"bytes"`
	MaxPerSecond      float64 `json:"busiest_words"` // sent by the node that sends most
	MaxBytesPerSecond float64 `json:"busiest_bytes"`
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
