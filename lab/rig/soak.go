package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// SoakConfig has the bounds of generated scenarios.
type SoakConfig struct {
	MaxNodes int           // a scenario has at least half as many, and 4
	Length   time.Duration // of a scenario
}

// quietPeriod is the time at the start of a scenario before the first fault, and at its end after all faults are over.
const quietPeriod = 1500 * time.Millisecond

// Generate returns a random scenario: a topology, clients of all kinds, and faults in groups of two or three that begin
// within half a second. The same seed gives the same scenario.
func (c SoakConfig) Generate(seed uint64) *Scenario {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 3)), length: c.Length}
	nodes := max(c.MaxNodes/2, 4) + g.rng.IntN(max(c.MaxNodes-c.MaxNodes/2, 1))
	servers := 4 + g.rng.IntN(5)
	scenario := &Scenario{
		Name: fmt.Sprintf("soak-%d", seed), Description: "Drawn by lab soak.", Length: Duration(c.Length),
		Nodes: nodes, Servers: servers, UseShim: true,
		Clients: Clients{Initial: 5 * nodes, PerSecond: 3 * float64(nodes), MeanDuration: g.duration(2, 6),
			Deadline:       g.duration(0.6, 1.5),
			ReconnectDelay: [2]Duration{Duration(50 * time.Millisecond), g.duration(0.2, 0.8)},
			BusyNodeWeight: g.choose(1, 1, 8), MisbehavingPerSecond: 6, NotIdempotentFraction: 0.25,
			KeyedFraction: 0.25},
		Server: Server{Capacity: max(30*nodes/servers, 20), SlowStartMinCapacity: g.choose(0.05, 0.3),
			SlowStartDuration: g.duration(4, 10), OverloadFactor: g.choose(1, 3), OverloadWindow: g.duration(1, 2),
			DrainGrace: Duration(500 * time.Millisecond)},
		ListService: ListService{CallsPerSecond: float64(20 * nodes), CallTimeout: Duration(time.Second),
			PropagationDelay: g.duration(0.05, 0.4)},
	}
	if g.rng.IntN(3) == 0 {
		scenario.Quotas = Quotas{Leased: true, GuaranteedFraction: 0.5}
	}
	scenario.InheritSocket = g.rng.IntN(2) == 0
	for at := quietPeriod; at < c.Length-2*quietPeriod; at += time.Duration(g.duration(1, 2.5)) {
		for range 2 + g.rng.IntN(2) {
			scenario.Events = append(scenario.Events,
				g.event(at+time.Duration(g.duration(0, 0.5)), nodes, scenario.InheritSocket))
		}
	}
	return scenario
}

// generator generates the random parts of a scenario.
type generator struct {
	rng    *rand.Rand
	length time.Duration
}

// duration returns a random duration between two numbers of seconds.
func (g *generator) duration(from, to float64) Duration {
	return Duration(time.Duration((from+g.rng.Float64()*(to-from))*1000) * time.Millisecond)
}

// choose returns a random one of the values.
func (g *generator) choose(values ...float64) float64 { return values[g.rng.IntN(len(values))] }

// nodeSubset returns a random, sorted subset of at least one and up to a third of the nodes.
func (g *generator) nodeSubset(nodes int) []int {
	subset := g.rng.Perm(nodes)[:1+g.rng.IntN(max(nodes/3, 1))]
	slices.Sort(subset)
	return subset
}

// faultDuration returns a random duration for a fault that begins at a time, so that it ends before the quiet period.
func (g *generator) faultDuration(at time.Duration, from, to float64) Duration {
	return min(g.duration(from, to), Duration(max(g.length-quietPeriod-at, 100*time.Millisecond)))
}

// event returns a random fault.
func (g *generator) event(at time.Duration, nodes int, inheritSocket bool) Event {
	e := Event{At: Duration(at), Nodes: g.nodeSubset(nodes), Stagger: g.duration(0, 0.5),
		Duration: g.faultDuration(at, 0.3, 2)}
	kindSetters := []func(){ // a kind that is listed more often is more likely
		func() { e.Kind, e.Duration = "kill", g.duration(0.05, 0.4) },
		func() { e.Kind, e.Duration = "stop", g.duration(0.01, 0.2) },
		func() { e.Kind, e.Duration = "stop", g.duration(0.01, 0.2) },
		func() { e.Kind, e.Duration = "pause", g.faultDuration(at, 0.1, 2) },
		func() { e.Kind = "reload" }, func() { e.Kind = "reload" },
		func() { e.Kind = "log_stuck" },
		func() {
			steps := []time.Duration{2 * time.Second, -2 * time.Second, 30 * time.Second, -30 * time.Second,
				time.Hour, -time.Hour}
			e.Kind, e.ClockOffset = "clock_step", Duration(steps[g.rng.IntN(len(steps))])
		},
		func() {
			e.Kind, e.Syscalls, e.Probability = "syscalls",
				[]string{[]string{"accept", "socket", "connect"}[g.rng.IntN(3)]}, g.choose(0.1, 0.5, 1)
			if e.Probability == 1 {
				e.Duration = g.faultDuration(at, 0.05, 0.3) // brief, as every call fails
			}
		},
		func() {
			e.Kind, e.Nodes, e.Fraction, e.Probability = "spoil_servers", nil, g.choose(0.2, 0.5), g.choose(0.3, 1)
		},
		func() { e.Kind, e.Nodes, e.Fraction = "replace_servers", nil, g.choose(0.2, 0.5) },
		func() { e.Kind, e.Nodes, e.Fraction = "replace_servers", nil, g.choose(0.2, 0.5) },
		func() { e.Kind, e.Nodes, e.Fraction = "crash_servers", nil, g.choose(0.2, 0.4) },
		func() { e.Kind, e.Nodes, e.Fraction = "hang_servers", nil, g.choose(0.2, 0.5) },
		func() { e.Kind, e.Nodes = "list_down", nil }, func() { e.Kind = "list_stuck" },
		func() {
			e.Kind, e.Link, e.Direction, e.Mode = "link", "servers", []string{"to", "from", "both"}[g.rng.IntN(3)],
				[]string{"reset", "cut", "stall", "drop"}[g.rng.IntN(4)]
		},
		func() {
			e.Kind, e.Link, e.Direction, e.Mode, e.Delay = "link", "servers", "both", "pass", g.duration(0.02, 0.15)
		},
		func() {
			e.Kind, e.Link, e.Direction, e.Mode = "link", "list", "both", []string{"reset", "stall"}[g.rng.IntN(2)]
		},
	}
	if inheritSocket {
		upgrade := func() { e.Kind = "upgrade" }
		kindSetters = append(kindSetters, upgrade, upgrade, upgrade)
	}
	kindSetters[g.rng.IntN(len(kindSetters))]()
	if slices.Contains([]string{"list_stuck", "link", "log_stuck", "clock_step", "syscalls", "hang_servers",
		"spoil_servers", "list_down"}, e.Kind) {
		e.Stagger = 0
	}
	return e
}
