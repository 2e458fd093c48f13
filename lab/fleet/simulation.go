package fleet

import (
	"math/rand/v2"
	"time"

	"brassmux/balance"
)

const (
	// startTime is the virtual time at which a run starts. It is not 0, because a server start at 0 means "long ago".
	startTime      = time.Hour
	networkDelay   = 500 * time.Microsecond // one way
	silenceTimeout = 300 * time.Millisecond // of a health check or attempt that receives no response
	maxHistory     = 20                     // maximum number of violations that are described
)

// Balancer makes the decisions of a node. It is implemented by balance.Balancer, and by faulty variants in tests.
type Balancer interface {
	// Handle returns the actions in response to an event. The slice is valid until the next call.
	Handle(now time.Duration, event balance.Event) []balance.Action
}

// NewBalancer returns a balance.Balancer.
func NewBalancer(config balance.Config, seed uint64) Balancer { return balance.New(config, seed) }

// simulation is the state of one run. It is not safe for concurrent use.
type simulation struct {
	scenario     *Scenario
	newBalancer  func(balance.Config, uint64) Balancer
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastSequence int
	nodes        []*node
	servers      []*server // all servers started so far, in the order of their IDs
	clients      []*client

	endpointChanges    []balance.Server // published by discovery, oldest first
	discoveryBusyUntil time.Duration
	discoveryDownUntil time.Duration

	result        *Result
	servedSamples []float64 // clients connected to a server within its capacity, by sample
	wantedSamples []float64 // clients that want a connection, by sample
	serverCounts  map[serverSecond]int
}

// Run simulates a scenario with a random seed. newBalancer is called each time a node starts.
func Run(scenario *Scenario, seed uint64, newBalancer func(balance.Config, uint64) Balancer) *Result {
	sim := newSimulation(scenario, seed, newBalancer)
	sim.start()
	sim.runUntil(startTime + time.Duration(scenario.Length) + time.Duration(scenario.Clients.Deadline) + time.Second)
	return sim.summarize()
}

func newSimulation(scenario *Scenario, seed uint64, newBalancer func(balance.Config, uint64) Balancer) *simulation {
	const marginSeconds = 10 // after the end of the scenario, for which samples are kept
	samples := (int(time.Duration(scenario.Length)/time.Second) + marginSeconds) * int(time.Second/sampleInterval)
	return &simulation{
		scenario:     scenario,
		newBalancer:  newBalancer,
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          startTime,
		serverCounts: map[serverSecond]int{},
		result: &Result{
			Scenario:        scenario.Name,
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

// start starts the servers and nodes, and schedules the clients, faults, load reports and samples.
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

// ended reports whether the scenario has reached its length.
func (sim *simulation) ended() bool { return sim.now > startTime+time.Duration(sim.scenario.Length) }

// uniform draws a uniformly distributed duration from low to high.
func (sim *simulation) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Float64()*float64(high-low))
}

// sample returns a random fraction of the indices below count, in random order.
func (sim *simulation) sample(count int, fraction float64) []int {
	return sim.random.Perm(count)[:int(float64(count)*fraction+0.5)]
}
