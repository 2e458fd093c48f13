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
	Scenario string             `json:"scenario"`
	Seed     uint64             `json:"seed"`
	Nodes    int                `json:"nodes"`
	Void     string             `json:"void"`      // why the run says nothing; "" where it does
	Lateness float64            `json:"late_ms"`   // the most by which the rig itself was late
	Served   float64            `json:"served"`    // part of the time wanted in which clients stood at a server within what it can do
	Broken   checker.Violations `json:"broken"`    // rules
	ColdUsed float64            `json:"cold_used"` // the fullest window of a cold server, what came over what may come
	Totals   map[string]int     `json:"totals"`    // counted at clients, servers and the list service
	Effects  []int              `json:"effects"`   // by event: how often it was seen to act at who met it
	Counters map[string]float64 `json:"counters"`  // the nodes' own, summed over all processes that told theirs
	Words    Words              `json:"words"`
	Seconds  []Second           `json:"seconds"` // the day, second by second
	Lists    Lists              `json:"lists"`
	Ready    []Ready            `json:"ready"`   // first the day's start, then each event that started processes
	Back     Lists              `json:"back"`    // the same, from when the list service was back
	Peaks    map[string]int     `json:"peaks"`   // the most in any second: of calls for the list, and at any one server
	History  []string           `json:"history"` // of what broke a rule, the first few, and the logs of the nodes in it
}

// Lists tells how long processes of nodes were without word of the list service, in seconds from their starts.
type Lists struct {
	Starts int     `json:"starts"`
	Half   float64 `json:"half"` // half of those that got it had it within
	Most   float64 `json:"p99"`
	All    float64 `json:"all"`
	Never  int     `json:"never"` // none came as long as they ran
}

// Ready tells how long processes took from their starts until they first answered PONG, in seconds.
type Ready struct {
	Event     int     `json:"event"` // its place among the scenario's; -1 for the day's start
	Starts    int     `json:"starts"`
	Half      float64 `json:"half"` // half of those that did had done so within
	NineInTen float64 `json:"nine_in_ten"`
	All       float64 `json:"all"`
	Never     int     `json:"never"` // ended, or the day did, before
}

// Second is where clients were in one second of the day, as means of ten looks, and how full servers were.
type Second struct {
	Served  float64 `json:"served"`  // stood at a server within what it can do
	Crowded float64 `json:"crowded"` // stood at one beyond that
	Waiting float64 `json:"waiting"` // stood nowhere

	Loads map[string]float64 `json:"loads"` // by server: asked of it over what it can do, at the second's last look
}

// Words counts what nodes told one another, a second.
type Words struct {
	All          float64 `json:"words"`
	Bytes        float64 `json:"bytes"`
	BusiestWords float64 `json:"busiest_words"` // sent by the node that sends most
	BusiestBytes float64 `json:"busiest_bytes"`
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
func (r *rig) lists(waits []time.Duration, since func(n *node) time.Time) Lists {
	r.mu.Lock() // the list service still serves
	defer r.mu.Unlock()
	waits = slices.Clone(waits)
	l := Lists{Starts: len(waits)}
	for _, n := range r.nodes {
		if !since(n).IsZero() {
			l.Starts, l.Never = l.Starts+1, l.Never+1
		}
	}
	l.Half, l.Most, l.All = within(waits, 0.5), within(waits, 0.99), within(waits, 1)
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
	res := &Result{Scenario: r.s.Name, Seed: r.o.Seed, Nodes: r.s.Nodes, Totals: totals, Effects: effects, Counters: r.sum}
	res.Broken, res.History = r.ref.Check(time.Now())
	for _, p := range r.logs {
		if told := p.Crash(); told != "" {
			res.Broken.Crashed++
			res.History = append(res.History, fmt.Sprintf("node %d crashed:\n%s", p.Node, told))
		}
	}
	for name, n := range r.sum { // what the program itself held back
		if strings.HasPrefix(name, "rule_") && n > 0 {
			res.Broken.Asserted += int(n)
			res.History = append(res.History, fmt.Sprintf("%s: %.0f by the nodes' own count", name, n))
		}
	}
	res.Totals["answered in time"], res.Totals["excused"] = r.ref.Answered, r.ref.Excused
	res.Totals["attempts at cold servers"], res.Totals["further attempts"] = r.ref.SlowStartSends, r.ref.Retries
	res.ColdUsed = math.Round(r.ref.SlowStartUtilization*1000) / 1000
	res.Lists, res.Ready, res.Peaks = r.lists(waits, func(n *node) time.Time { return n.began }), r.readies(), map[string]int{}
	res.Back = r.lists(backs, func(n *node) time.Time { return n.back })
	for what, times := range peaks {
		kind, _, one := strings.Cut(what, " s-")
		if one {
			kind += " at one server"
		}
		res.Peaks[kind] = max(res.Peaks[kind], mostInASecond(times))
	}
	if r.s.Budgets.Open > 0 {
		res.Totals["most open of a customer"] = r.ref.MaxOpen
	}
	res.Lateness = float64(r.late.Microseconds()) / 1000
	if r.failed != "" {
		res.Void = r.failed
	} else if r.ref.ForeignRequests > 0 { // guards against what two rigs side by side do to each other: ports that are free again are taken anew
		res.Void = fmt.Sprintf("%d requests of another rig came", r.ref.ForeignRequests)
	} else if r.late > lateMost {
		res.Void = fmt.Sprintf("the rig was %v late", r.late.Round(time.Millisecond))
	}
	res.Seconds = r.seconds
	served, wanted := 0.0, 0.0
	for _, s := range r.seconds {
		served, wanted = served+s.Served, wanted+s.Served+s.Crowded+s.Waiting
	}
	if wanted > 0 {
		res.Served = math.Round(served/wanted*1e4) / 1e4
	}
	seconds := time.Duration(r.s.Length).Seconds()
	for i := range r.nodes {
		w, b := r.sent(i)
		res.Words.All, res.Words.Bytes = res.Words.All+float64(w)/seconds, res.Words.Bytes+float64(b)/seconds
		res.Words.BusiestWords = max(res.Words.BusiestWords, float64(w)/seconds)
		res.Words.BusiestBytes = max(res.Words.BusiestBytes, float64(b)/seconds)
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
	if r.s.Control == 0 {
		return r.words.SentBy(i)
	}
	words, bytes = r.below.SentBy(i)
	if i >= r.s.Nodes {
		w, b := r.words.SentBy(i - r.s.Nodes)
		words, bytes = words+w, bytes+b
	}
	return words, bytes
}

// Names gives the totals in order.
func (r *Result) Names() []string { return slices.Sorted(maps.Keys(r.Totals)) }
