package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// SoakConfig says what drawn days are like.
type SoakConfig struct {
	MaxNodes int           // at the most; days have from half of them on
	Length   time.Duration // of a day
}

// quiet is how long a day is without a new trouble at its begin, and how long all troubles are over before its end.
const quiet = 1500 * time.Millisecond

// Generate makes a day from a seed: a topology, clients of all kinds, and troubles, two or three of which begin within
// half a second at a time. The same seed gives the same day.
func (k SoakConfig) Generate(seed uint64) *Scenario {
	d := &drawing{rng: rand.New(rand.NewPCG(seed, 3)), length: k.Length}
	nodes := max(k.MaxNodes/2, 4) + d.rng.IntN(max(k.MaxNodes-k.MaxNodes/2, 1))
	servers := 4 + d.rng.IntN(5)
	s := &Scenario{
		Name: fmt.Sprintf("soak-%d", seed), Description: "Drawn by lab soak.", Length: Duration(k.Length), Nodes: nodes, Servers: servers, UseShim: true,
		Clients: Clients{Initial: 5 * nodes, PerSecond: 3 * float64(nodes), MeanDuration: d.span(2, 6), Deadline: d.span(0.6, 1.5),
			ReconnectDelay: [2]Duration{Duration(50 * time.Millisecond), d.span(0.2, 0.8)}, BusyNodeWeight: d.one(1, 1, 8), MisbehavingPerSecond: 6, NotIdempotentFraction: 0.25, KeyedFraction: 0.25},
		Server: Server{Capacity: max(30*nodes/servers, 20), SlowStartMinCapacity: d.one(0.05, 0.3), SlowStartDuration: d.span(4, 10), OverloadFactor: d.one(1, 3), OverloadWindow: d.span(1, 2),
			DrainGrace: Duration(500 * time.Millisecond)},
		ListService: ListService{CallsPerSecond: float64(20 * nodes), CallTimeout: Duration(time.Second), PropagationDelay: d.span(0.05, 0.4)},
	}
	if d.rng.IntN(3) == 0 {
		s.Quotas = Quotas{Leased: true, GuaranteedFraction: 0.5}
	}
	s.InheritSocket = d.rng.IntN(2) == 0
	for at := quiet; at < k.Length-2*quiet; at += time.Duration(d.span(1, 2.5)) {
		for range 2 + d.rng.IntN(2) {
			s.Events = append(s.Events, d.event(at+time.Duration(d.span(0, 0.5)), nodes, s.InheritSocket))
		}
	}
	return s
}

// drawing draws a day.
type drawing struct {
	rng    *rand.Rand
	length time.Duration
}

// span draws a time between two numbers of seconds.
func (d *drawing) span(from, to float64) Duration {
	return Duration(time.Duration((from+d.rng.Float64()*(to-from))*1000) * time.Millisecond)
}

// one draws one of some numbers.
func (d *drawing) one(of ...float64) float64 { return of[d.rng.IntN(len(of))] }

// some draws some nodes, one at the least.
func (d *drawing) some(nodes int) []int {
	all := d.rng.Perm(nodes)[:1+d.rng.IntN(max(nodes/3, 1))]
	slices.Sort(all)
	return all
}

// lasts draws how long a trouble lasts that begins at a moment.
func (d *drawing) lasts(at time.Duration, from, to float64) Duration {
	return min(d.span(from, to), Duration(max(d.length-quiet-at, 100*time.Millisecond)))
}

// event draws a trouble.
func (d *drawing) event(at time.Duration, nodes int, inherit bool) Event {
	e := Event{At: Duration(at), Nodes: d.some(nodes), Stagger: d.span(0, 0.5), Duration: d.lasts(at, 0.3, 2)}
	draw := []func(){
		func() { e.Kind, e.Duration = "kill", d.span(0.05, 0.4) },
		func() { e.Kind, e.Duration = "stop", d.span(0.01, 0.2) },
		func() { e.Kind, e.Duration = "stop", d.span(0.01, 0.2) },
		func() { e.Kind, e.Duration = "pause", d.lasts(at, 0.1, 2) },
		func() { e.Kind = "reload" },
		func() { e.Kind = "reload" },
		func() { e.Kind = "log_stuck" },
		func() {
			steps := []time.Duration{2 * time.Second, -2 * time.Second, 30 * time.Second, -30 * time.Second, time.Hour, -time.Hour}
			e.Kind, e.ClockOffset = "clock_step", Duration(steps[d.rng.IntN(len(steps))])
		},
		func() {
			e.Kind, e.Syscalls, e.Probability = "syscalls", []string{[]string{"accept", "socket", "connect"}[d.rng.IntN(3)]}, d.one(0.1, 0.5, 1)
			if e.Probability == 1 {
				e.Duration = d.lasts(at, 0.05, 0.3) // for a moment
			}
		},
		func() {
			e.Kind, e.Nodes, e.Fraction, e.Probability = "spoil_servers", nil, d.one(0.2, 0.5), d.one(0.3, 1)
		},
		func() { e.Kind, e.Nodes, e.Fraction = "replace_servers", nil, d.one(0.2, 0.5) },
		func() { e.Kind, e.Nodes, e.Fraction = "replace_servers", nil, d.one(0.2, 0.5) },
		func() { e.Kind, e.Nodes, e.Fraction = "crash_servers", nil, d.one(0.2, 0.4) },
		func() { e.Kind, e.Nodes, e.Fraction = "hang_servers", nil, d.one(0.2, 0.5) },
		func() { e.Kind, e.Nodes = "list_down", nil },
		func() { e.Kind = "list_stuck" },
		func() {
			e.Kind, e.Link, e.Direction, e.Mode = "link", "servers", []string{"to", "from", "both"}[d.rng.IntN(3)], []string{"reset", "cut", "stall", "drop"}[d.rng.IntN(4)]
		},
		func() {
			e.Kind, e.Link, e.Direction, e.Mode, e.Delay = "link", "servers", "both", "pass", d.span(0.02, 0.15)
		},
		func() {
			e.Kind, e.Link, e.Direction, e.Mode = "link", "list", "both", []string{"reset", "stall"}[d.rng.IntN(2)]
		},
	}
	if inherit {
		upgrade := func() { e.Kind = "upgrade" }
		draw = append(draw, upgrade, upgrade, upgrade)
	}
	draw[d.rng.IntN(len(draw))]()
	if slices.Contains([]string{"list_stuck", "link", "log_stuck", "clock_step", "syscalls", "hang_servers", "spoil_servers", "list_down"}, e.Kind) {
		e.Stagger = 0
	}
	return e
}
