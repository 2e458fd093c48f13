package rig

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"brassmux/lab/checker"
	"brassmux/lab/emulator"
	"brassmux/lab/process"
	"brassmux/lab/shim"
)

// Options are the options of Run.
type Options struct {
	Seed   uint64
	Binary string // path of the program; "" for this executable
}

// latenessLimit is the lateness of the harness beyond which a run is invalid. It equals the slack of the checker.
const latenessLimit = 100 * time.Millisecond

// linkModes are the modes of a link that impair it, by their names in a scenario.
var linkModes = map[string]emulator.Mode{"drop": emulator.Drop, "stall": emulator.Stall, "reset": emulator.Reset,
	"cut": emulator.Cut}

// run is one run of a scenario.
type run struct {
	scenario          *Scenario
	options           Options
	starter           *process.Starter
	shimLibrary       *shim.Library // nil without shims
	listService       *emulator.ListService
	alternateListAddr string                    // second address of the list service
	peerNetwork       *emulator.DatagramNetwork // between the nodes, or between the control machines
	childNetwork      *emulator.DatagramNetwork // between nodes and control machines; nil without control machines
	checker           *checker.Checker
	startedAt         time.Time
	ended             chan struct{} // closed at the end of the run
	links             map[linkKey]*emulator.Direction
	tasks             sync.WaitGroup // clients and events

	mu             sync.Mutex
	rng            *rand.Rand
	nodes          []*node
	servers        []*emulator.Server // including those that have stopped
	serverCount    int                // the number in the latest server ID
	clients        []*client
	totals         map[string]int
	effects        []int
	failure        string
	maxLateness    time.Duration
	seconds        []Second
	listWaits      []time.Duration         // from the start of a process to its first notification
	recoveryWaits  []time.Duration         // from the end of an outage of the list service to a notification
	listUpSince    time.Time               // when the list service became reachable; zero while it is down
	readyDurations map[int][]time.Duration // startup times by event
	unreadyCounts  map[int]int             // processes that were never ready, by event
	startingCount  int                     // processes that are started and not yet ready
	peakTimes      map[string][]time.Time  // times at which something happened, by its name
	counters       map[string]float64
	processes      []*process.Process
}

// linkKey identifies one direction of all links of a kind at a node.
type linkKey struct {
	kind   string
	node   int
	toNode bool
}

// Run runs a scenario and returns its result. A run that proves nothing is not an error, but sets Result.InvalidReason.
func Run(scenario *Scenario, options Options) (*Result, error) {
	if options.Binary == "" {
		executable, err := os.Executable()
		if err != nil {
			return nil, err
		}
		options.Binary = executable
	}
	if err := process.RaiseDescriptorLimit((scenario.Nodes+scenario.ControlMachines)*(8+scenario.Servers) +
		4*scenario.Clients.Initial + 500); err != nil {
		return nil, err
	}
	r := &run{scenario: scenario, options: options, starter: process.NewStarter(), ended: make(chan struct{}),
		links: map[linkKey]*emulator.Direction{}, readyDurations: map[int][]time.Duration{},
		unreadyCounts: map[int]int{}, rng: rand.New(rand.NewPCG(options.Seed, 1)), totals: map[string]int{},
		peakTimes: map[string][]time.Time{}, effects: make([]int, len(scenario.Events)),
		counters: map[string]float64{}}
	defer r.starter.Close()
	if scenario.UseShim {
		shimLibrary, err := shim.Build()
		if err != nil {
			return nil, err
		}
		defer shimLibrary.Remove()
		r.shimLibrary = shimLibrary
	}
	server := scenario.Server
	expectedConnections := r.expectedConnections()
	r.checker = checker.New(checker.Config{
		AnswerGrace: 70 * time.Millisecond, DrainGrace: time.Duration(server.DrainGrace), Slack: 100 * time.Millisecond,
		DepartureGrace: 100 * time.Millisecond, IdempotencyWindow: idempotencyWindow, ReadyTimeout: readyTimeout,
		RateLimits: scenario.Quotas.limits(), OverloadWindow: time.Duration(server.OverloadWindow),
		SlowStartWindow: time.Duration(server.SlowStartDuration),
		SlowStartLimit: func(age time.Duration) float64 { // at the mean capacity over the window
			elapsedFraction := max(age.Seconds()-time.Duration(server.OverloadWindow).Seconds()/2, 0) /
				time.Duration(server.SlowStartDuration).Seconds()
			capacityFraction := min(server.SlowStartMinCapacity+(1-server.SlowStartMinCapacity)*elapsedFraction, 1)
			return server.OverloadFactor * time.Duration(server.OverloadWindow).Seconds() * capacityFraction *
				expectedConnections / (float64(scenario.Servers) * time.Duration(server.SlowStartDuration).Seconds())
		},
	})
	var err error
	if scenario.ControlMachines > 0 {
		if r.childNetwork, err = emulator.NewDatagramNetwork(scenario.Nodes+scenario.ControlMachines,
			options.Seed^1<<32); err != nil {
			return nil, err
		}
		defer r.childNetwork.Close()
	}
	if r.peerNetwork, err = emulator.NewDatagramNetwork(scenario.peerCount(), options.Seed); err != nil {
		return nil, err
	}
	defer r.peerNetwork.Close()
	r.listService = emulator.NewListService(emulator.ListConfig{
		CallsPerSecond:   scenario.ListService.CallsPerSecond,
		QueueTimeout:     time.Duration(scenario.ListService.CallTimeout),
		PropagationDelay: time.Duration(scenario.ListService.PropagationDelay),
	}, r.onNotification, r.onListCall)
	defer r.listService.Close()
	if err := r.listService.Open(r.nodeLinks("list")); err != nil {
		return nil, err
	}
	if r.alternateListAddr, err = r.listService.OpenAddress(r.nodeLinks("list")); err != nil {
		return nil, err
	}
	defer r.stopServers()
	for range scenario.Servers {
		if err := r.newServer(time.Time{}); err != nil {
			return nil, err
		}
	}
	// Servers are listed after the propagation delay.
	for version := int64(0); version < int64(scenario.Servers); version, _ = r.listService.Snapshot(0) {
		time.Sleep(5 * time.Millisecond)
	}
	defer r.killAll()
	var starts sync.WaitGroup
	for i := range scenario.Nodes + scenario.ControlMachines {
		n := &node{index: i}
		if r.nodes = append(r.nodes, n); scenario.InheritSocket {
			defer n.close()
			if err := n.listen(); err != nil {
				return nil, err
			}
		}
	}
	for _, n := range r.nodes {
		starts.Go(func() { r.startNode(runStart, n, 0, false) })
	}
	starts.Wait()
	r.startedAt = time.Now()
	r.mu.Lock()
	r.listUpSince = r.startedAt
	r.mu.Unlock()
	go r.measureLateness()
	go r.sampleClients()
	r.tasks.Go(r.startClients)
	r.tasks.Go(r.startMisbehavingClients)
	for i, event := range scenario.Events {
		r.tasks.Go(func() {
			if r.sleep(time.Until(r.startedAt.Add(time.Duration(event.At)))) {
				r.inject(i, event)
			}
		})
	}
	time.Sleep(time.Until(r.startedAt.Add(time.Duration(scenario.Length))))
	r.awaitAllReady()
	close(r.ended)
	done := make(chan struct{})
	go func() { r.tasks.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second): // bounds the run if a task hangs
		r.fail("clients or events did not end within 20 s")
	}
	return r.collectResult(), nil
}

// expectedConnections returns the connections for which the servers are provisioned: 85% of their capacity.
func (r *run) expectedConnections() float64 {
	return 0.85 * float64(r.scenario.Server.Capacity*r.scenario.Servers)
}

// direction returns one direction of a node's links of a kind, shared by all of them.
func (r *run) direction(kind string, node int, toNode bool) *emulator.Direction {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := linkKey{kind, node, toNode}
	if r.links[key] == nil {
		r.links[key] = &emulator.Direction{}
	}
	return r.links[key]
}

// nodeLinks returns, for links of a kind, the function that returns both directions of a node's link: from the node and
// to it.
func (r *run) nodeLinks(kind string) emulator.Links {
	return func(node int) (in, out *emulator.Direction) {
		return r.direction(kind, node, false), r.direction(kind, node, true)
	}
}

// count adds one to a total.
func (r *run) count(name string) {
	r.mu.Lock()
	r.totals[name]++
	r.mu.Unlock()
}

// recordPeak records an occurrence of something of which Result.Peaks has the maximum in any second. A name that ends
// with a space and a server ID is counted by server.
func (r *run) recordPeak(name string, at time.Time) {
	r.mu.Lock()
	r.peakTimes[name] = append(r.peakTimes[name], at)
	r.mu.Unlock()
}

// fail makes the run invalid. The first reason is kept.
func (r *run) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == "" {
		r.failure = fmt.Sprintf(format, args...)
	}
}

// sleep waits for d or until the run ends, and reports whether the run goes on.
func (r *run) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ended:
		return false
	}
}

// randomIndex returns a random number from 0 to n-1.
func (r *run) randomIndex(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// randomDuration returns a random duration between low and high.
func (r *run) randomDuration(low, high Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(low) + time.Duration(r.rng.Float64()*float64(high-low))
}

// newServer starts a server and adds it to the list. Started is when it started, zero for long ago.
func (r *run) newServer(started time.Time) error {
	config := emulator.ServerConfig{
		Capacity: r.scenario.Server.Capacity, SlowStartMinCapacity: r.scenario.Server.SlowStartMinCapacity,
		SlowStartWindow: time.Duration(r.scenario.Server.SlowStartDuration),
	}
	r.mu.Lock()
	r.serverCount++ // under the lock, as servers may start concurrently
	id := fmt.Sprintf("s-%d", r.serverCount)
	r.mu.Unlock()
	server := emulator.NewServer(id, config, started, r.onServerEvent)
	if err := server.Open(r.nodeLinks("servers")); err != nil {
		return err
	}
	r.mu.Lock()
	r.servers = append(r.servers, server)
	r.mu.Unlock()
	r.listService.UpdateServer(server, "up")
	return nil
}

// reportLeaving adds to the list that a server drains or is removed. With a NotificationGrace it then reports the
// server to the checker as leaving, for all nodes, once the service has had the change and been reachable for that
// time.
func (r *run) reportLeaving(server *emulator.Server, state string) {
	r.listService.UpdateServer(server, state)
	grace := time.Duration(r.scenario.ListService.NotificationGrace)
	if grace == 0 {
		return
	}
	listedAt := time.Now().Add(time.Duration(r.scenario.ListService.PropagationDelay))
	r.tasks.Go(func() {
		for {
			r.mu.Lock()
			upSince := r.listUpSince
			r.mu.Unlock()
			since := listedAt
			if upSince.After(since) {
				since = upSince
			}
			if wait := time.Until(since.Add(grace)); upSince.IsZero() {
				if !r.sleep(10 * time.Millisecond) {
					return
				}
			} else if wait > 0 {
				if !r.sleep(wait) {
					return
				}
			} else {
				for _, n := range r.nodes {
					r.checker.EndpointReported(n.index, server.ID, true, time.Time{}, since.Add(grace))
				}
				return
			}
		}
	})
}

// setListDown makes the list service unreachable, or ends that.
func (r *run) setListDown(down bool) {
	r.listService.SetDown(down)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listUpSince = time.Now(); down {
		r.listUpSince = time.Time{}
		return
	}
	for _, n := range r.nodes {
		n.recoveryPendingSince = r.listUpSince
	}
}

// stopServers stops all servers.
func (r *run) stopServers() {
	for _, s := range r.servers {
		s.Stop()
	}
}

// onNotification records a notification by the list service.
func (r *run) onNotification(notification emulator.Notification) {
	r.mu.Lock()
	if n := r.nodes[notification.Node]; !n.listPendingSince.IsZero() {
		r.listWaits = append(r.listWaits, notification.At.Sub(n.listPendingSince))
		n.listPendingSince = time.Time{}
	}
	if n := r.nodes[notification.Node]; !n.recoveryPendingSince.IsZero() {
		r.recoveryWaits = append(r.recoveryWaits, notification.At.Sub(n.recoveryPendingSince))
		n.recoveryPendingSince = time.Time{}
	}
	r.mu.Unlock()
	for _, endpoint := range notification.Endpoints {
		started := time.Time{}
		if endpoint.Started > 0 {
			started = time.UnixMilli(endpoint.Started)
		}
		r.checker.EndpointReported(notification.Node, endpoint.ID, endpoint.State != "up", started, notification.At)
	}
}

// onListCall records a call of the list service.
func (r *run) onListCall(call emulator.Call) {
	r.count("list calls")
	r.recordPeak("list calls", call.At)
	r.checker.RateLimitedEvent("list_calls_per_s", "", call.At, call.At)
	if call.Failed {
		r.count("list calls failed")
	}
}

// onServerEvent records an event at a server.
func (r *run) onServerEvent(event emulator.Event) {
	switch event.Kind {
	case emulator.AttemptReceived:
		r.count("attempts")
		r.checker.RateLimitedEvent("connects_per_s", event.Server.ID, event.ArrivedAt, event.ArrivedAt)
		r.checker.AttemptReceived(event.Node, event.Server.ID, event.Request, event.ArrivedAt, event.Server.Started)
		if !event.Server.Started.IsZero() {
			r.count("attempts at servers that started")
		}
	case emulator.AttemptRejected:
		r.checker.AttemptRejected(event.Server.ID, event.Request)
	case emulator.AttemptEnded:
		r.checker.AttemptEnded(event.Server.ID, event.Request)
	case emulator.HealthChecked:
		r.count("probes")
		r.recordPeak("probes "+event.Server.ID, event.At)
		r.checker.RateLimitedEvent("probes_per_s", event.Server.ID, event.ArrivedAt, event.ArrivedAt)
	case emulator.ConnectionAccepted:
		r.count("connections at servers")
		r.recordPeak("connections "+event.Server.ID, event.At)
	}
}

// measureLateness records by how much the harness itself wakes up late.
func (r *run) measureLateness() {
	const interval = 20 * time.Millisecond
	for {
		startedAt := time.Now()
		if !r.sleep(interval) {
			return
		}
		r.mu.Lock()
		r.maxLateness = max(r.maxLateness, time.Since(startedAt)-interval)
		r.mu.Unlock()
	}
}

// sampleClients samples ten times a second which clients are connected, and which servers are overloaded.
func (r *run) sampleClients() {
	const samplesPerSecond = 10
	for r.sleep(time.Second / samplesPerSecond) {
		utilization := map[string]float64{}
		r.mu.Lock()
		clients, servers := slices.Clone(r.clients), slices.Clone(r.servers)
		r.mu.Unlock()
		for _, s := range servers {
			if !s.Leaving() {
				utilization[s.ID] = s.Utilization()
			}
		}
		var sample Second
		for _, c := range clients {
			switch connected, wanted := c.state(); {
			case !wanted:
			case !connected:
				sample.Waiting += 1.0 / samplesPerSecond
			case utilization[r.checker.LastServer(c.lastRequest())] <= 1:
				sample.Served += 1.0 / samplesPerSecond
			default:
				sample.Overloaded += 1.0 / samplesPerSecond
			}
		}
		r.mu.Lock()
		second := int(time.Since(r.startedAt) / time.Second)
		for len(r.seconds) <= second {
			r.seconds = append(r.seconds, Second{})
		}
		total := &r.seconds[second]
		total.Served, total.Overloaded, total.Waiting, total.Utilization = total.Served+sample.Served,
			total.Overloaded+sample.Overloaded, total.Waiting+sample.Waiting, utilization
		r.clients = slices.DeleteFunc(r.clients, func(c *client) bool { return c.isFinished() })
		r.mu.Unlock()
	}
}
