package fleet

import (
	"math/rand/v2"
	"time"

	"brassmux/balance"
)

const (
	// startTime is the virtual time of the start. It is not 0 because a server's start at 0 means "long ago".
	startTime      = time.Hour
	networkDelay   = 500 * time.Microsecond // one way
	silenceTimeout = 300 * time.Millisecond // of a health check or connection attempt without any answer
	maxHistory     = 20                     // violations that are described
)

// Balancer makes the decisions of a node: balance.Balancer, or a faulty variant in a test.
type Balancer interface {
	// Handle returns the actions that follow an event. The slice is valid until the next call.
	Handle(now time.Duration, ev balance.Event) []balance.Action
}

// NewBalancer returns the balancer of this module.
func NewBalancer(config balance.Config, seed uint64) Balancer { return balance.New(config, seed) }

// simulation is the state of one run. It is used by one goroutine.
type simulation struct {
	scenario     *Scenario
	newBalancer  func(balance.Config, uint64) Balancer
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastSequence int
	nodes        []*node
	servers      []*server // all that ever started, in the order of their IDs
	clients      []*client

	endpointChanges    []balance.Server // that discovery knows, oldest first
	discoveryBusyUntil time.Duration
	discoveryDownUntil time.Duration

	result        *Result
	servedSamples []float64 // clients served within capacity, by sample interval
	wantedSamples []float64 // clients that want a connection, by sample interval
	serverCounts  map[serverSecond]int
}

// Run simulates a scenario with a seed. newBalancer is called at each start of a node.
func Run(s *Scenario, seed uint64, newBalancer func(balance.Config, uint64) Balancer) *Result {
	sim := newSimulation(s, seed, newBalancer)
	sim.start()
	sim.runUntil(startTime + time.Duration(s.Length) + time.Duration(s.Clients.Deadline) + time.Second)
	return sim.summarize()
}

func newSimulation(s *Scenario, seed uint64, newBalancer func(balance.Config, uint64) Balancer) *simulation {
	const marginSeconds = 10 // samples after the end of the scenario
	samples := (int(time.Duration(s.Length)/time.Second) + marginSeconds) * int(time.Second/sampleInterval)
	return &simulation{
		scenario:     s,
		newBalancer:  newBalancer,
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          startTime,
		serverCounts: map[serverSecond]int{},
		result: &Result{
			Scenario:        s.Name,
			Seed:            seed,
			Totals:          map[string]int{},
			CountsPerSecond: map[string][]int{},
			MaxPerServer:    map[string]int{},
			History:         []string{},
		},
		servedSamples: make([]float64, samples),
		wantedSamples: make([]float64, samples),
	}
}

// start starts servers and nodes, and schedules clients, faults and samples.
func (sim *simulation) start() {
	const initialArrivalSpan = 2 * time.Second
	for range sim.scenario.Servers {
		sim.addServer(0)
	}
	for i := range sim.scenario.Nodes {
		n := &node{sim: sim, index: i}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
	for range sim.scenario.Clients.Initial {
		sim.schedule(sim.uniform(0, initialArrivalSpan), func() { sim.addClient() })
	}
	if sim.scenario.Clients.ArrivalsPerSecond > 0 {
		sim.schedule(sim.arrivalDelay(), sim.generateArrivals)
	}
	for _, f := range sim.scenario.Faults {
		sim.schedule(time.Duration(f.At), func() { injectors[f.Kind](sim, f) })
	}
	sim.schedule(0, sim.reportLoads)
	sim.schedule(sampleInterval, sim.sampleService)
}

// ended reports whether the scenario's length has passed.
func (sim *simulation) ended() bool { return sim.now > startTime+time.Duration(sim.scenario.Length) }

// uniform draws a duration between two bounds.
func (sim *simulation) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Float64()*float64(high-low))
}

// sample draws a fraction of the indices below count, in random order.
func (sim *simulation) sample(count int, fraction float64) []int {
	return sim.random.Perm(count)[:int(float64(count)*fraction+0.5)]
}
