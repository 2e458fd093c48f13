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

// Options say how a scenario is played.
type Options struct {
	Seed   uint64
	Binary string // of the program; "" for the one that runs
}

// lateMost is how late the rig may be before its run says nothing: the checker has as much slack.
const lateMost = 100 * time.Millisecond

var modes = map[string]emulator.Mode{"drop": emulator.Drop, "stall": emulator.Stall, "reset": emulator.Reset, "cut": emulator.Cut}

type rig struct {
	s       *Scenario
	o       Options
	starter *process.Starter
	library *shim.Library // nil where no process runs under a shim
	list    *emulator.ListService
	other   string                    // another address of the list service
	words   *emulator.DatagramNetwork // among the nodes, or among the control machines
	below   *emulator.DatagramNetwork // nodes and control machines, by process number; nil without control machines
	ref     *checker.Checker
	begun   time.Time
	over    chan struct{} // closed when the day is
	links   map[linkKey]*emulator.Direction
	work    sync.WaitGroup // clients and events

	mu       sync.Mutex
	rng      *rand.Rand
	nodes    []*node
	servers  []*emulator.Server // all that there were
	named    int                // of them
	clients  []*client
	totals   map[string]int
	effects  []int
	failed   string
	late     time.Duration
	seconds  []Second
	waits    []time.Duration         // of starts, for the list
	backs    []time.Duration         // of nodes, for the list service that is back
	listUp   time.Time               // since when the list service can be reached; the zero time while it is down
	ready    map[int][]time.Duration // by event, of starts
	unready  map[int]int             // by event: starts that never were
	starting int                     // processes that are on their way to be ready
	peaks    map[string][]time.Time  // what is counted by the second
	sum      map[string]float64
	logs     []*process.Process
}

type linkKey struct {
	kind string
	node int
	to   bool // the node
}

// Run plays a scenario.
func Run(s *Scenario, o Options) (*Result, error) {
	if o.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		o.Binary = self
	}
	if err := process.RaiseDescriptorLimit((s.Nodes+s.ControlMachines)*(8+s.Servers) + 4*s.Clients.Initial + 500); err != nil {
		return nil, err
	}
	r := &rig{s: s, o: o, starter: process.NewStarter(), over: make(chan struct{}), links: map[linkKey]*emulator.Direction{},
		ready: map[int][]time.Duration{}, unready: map[int]int{},
		rng: rand.New(rand.NewPCG(o.Seed, 1)), totals: map[string]int{}, peaks: map[string][]time.Time{}, effects: make([]int, len(s.Events)), sum: map[string]float64{}}
	defer r.starter.Close()
	if s.UseShim {
		library, err := shim.Build()
		if err != nil {
			return nil, err
		}
		defer library.Remove()
		r.library = library
	}
	v := s.Server
	connections := r.connections()
	r.ref = checker.New(checker.Config{
		AnswerGrace: 70 * time.Millisecond, DrainGrace: time.Duration(v.DrainGrace), Slack: 100 * time.Millisecond,
		DepartureGrace: 100 * time.Millisecond, IdempotencyWindow: keyedWindow, ReadyTimeout: readyWithin,
		RateLimits: s.Quotas.rates(), SlowStartWindow: time.Duration(v.OverloadWindow),
		SlowStartDuration: time.Duration(v.SlowStartDuration),
		SlowStartLimit: func(age time.Duration) float64 { // by the mean share of the window
			mean := max(age.Seconds()-time.Duration(v.OverloadWindow).Seconds()/2, 0) / time.Duration(v.SlowStartDuration).Seconds()
			share := min(v.SlowStartMinCapacity+(1-v.SlowStartMinCapacity)*mean, 1)
			return v.OverloadFactor * time.Duration(v.OverloadWindow).Seconds() * share * connections /
				(float64(s.Servers) * time.Duration(v.SlowStartDuration).Seconds())
		},
	})
	var err error
	if s.ControlMachines > 0 {
		if r.below, err = emulator.NewDatagramNetwork(s.Nodes+s.ControlMachines, o.Seed^1<<32); err != nil {
			return nil, err
		}
		defer r.below.Close()
	}
	if r.words, err = emulator.NewDatagramNetwork(s.group(), o.Seed); err != nil {
		return nil, err
	}
	defer r.words.Close()
	r.list = emulator.NewListService(emulator.ListConfig{
		CallsPerSecond: s.ListService.CallsPerSecond, QueueTimeout: time.Duration(s.ListService.CallTimeout),
		PropagationDelay: time.Duration(s.ListService.PropagationDelay),
	}, r.told, r.called)
	defer r.list.Close()
	if err := r.list.Open(r.ways("list")); err != nil {
		return nil, err
	}
	if r.other, err = r.list.OpenAddress(r.ways("list")); err != nil {
		return nil, err
	}
	defer r.stopServers()
	for range s.Servers {
		if err := r.newServer(time.Time{}); err != nil {
			return nil, err
		}
	}
	// Servers are listed after the propagation delay.
	for version := int64(0); version < int64(s.Servers); version, _ = r.list.Snapshot(0) {
		time.Sleep(5 * time.Millisecond)
	}
	defer r.killAll()
	var ready sync.WaitGroup
	for i := range s.Nodes + s.ControlMachines {
		n := &node{index: i}
		if r.nodes = append(r.nodes, n); s.InheritSocket {
			defer n.close()
			if err := n.listen(); err != nil {
				return nil, err
			}
		}
	}
	for _, n := range r.nodes {
		ready.Go(func() { r.startNode(dayStart, n, 0, false) })
	}
	ready.Wait()
	r.begun = time.Now()
	r.mu.Lock()
	r.listUp = r.begun
	r.mu.Unlock()
	go r.watchClock()
	go r.measure()
	r.work.Go(r.arrivals)
	r.work.Go(r.odds)
	for i, e := range s.Events {
		r.work.Go(func() {
			if r.sleep(time.Until(r.begun.Add(time.Duration(e.At)))) {
				r.trouble(i, e)
			}
		})
	}
	time.Sleep(time.Until(r.begun.Add(time.Duration(s.Length))))
	r.allReady()
	close(r.over)
	done := make(chan struct{})
	go func() { r.work.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second): // guards against a rig that never ends
		r.fail("clients or events did not end within 20 s")
	}
	return r.finish(), nil
}

// connections are those that all servers are to bear.
func (r *rig) connections() float64 { return 0.85 * float64(r.s.Server.Capacity*r.s.Servers) }

// way is one direction of a node's links of a kind.
func (r *rig) way(kind string, node int, to bool) *emulator.Direction {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := linkKey{kind, node, to}
	if r.links[k] == nil {
		r.links[k] = &emulator.Direction{}
	}
	return r.links[k]
}

// ways are both directions of any node's links of a kind, by what the nodes say and hear there.
func (r *rig) ways(kind string) emulator.Links {
	return func(node int) (in, out *emulator.Direction) { return r.way(kind, node, false), r.way(kind, node, true) }
}

func (r *rig) count(what string) {
	r.mu.Lock()
	r.totals[what]++
	r.mu.Unlock()
}

// peak notes something of which the most in any second is wanted; of what has a second word the most at any one of those.
func (r *rig) peak(what string, at time.Time) {
	r.mu.Lock()
	r.peaks[what] = append(r.peaks[what], at)
	r.mu.Unlock()
}

func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == "" {
		r.failed = fmt.Sprintf(format, args...)
	}
}

// sleep waits, and tells whether the day still goes on.
func (r *rig) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.over:
		return false
	}
}

func (r *rig) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *rig) between(a, b Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(a) + time.Duration(r.rng.Float64()*float64(b-a))
}

// The list service and the servers.

func (r *rig) newServer(started time.Time) error {
	kind := emulator.ServerConfig{
		Capacity: r.s.Server.Capacity, InitialFraction: r.s.Server.SlowStartMinCapacity, WarmUp: time.Duration(r.s.Server.SlowStartDuration),
	}
	r.mu.Lock()
	r.named++ // two may start at once
	id := fmt.Sprintf("s-%d", r.named)
	r.mu.Unlock()
	s := emulator.NewServer(id, kind, started, r.received)
	if err := s.Open(r.ways("servers")); err != nil {
		return err
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	r.list.UpdateServer(s, "up")
	return nil
}

// leave makes known that a server drains or is gone. Where it is to count as told whether or not it reaches a node, it does
// so for all nodes once the service has had it and could be reached for as long.
func (r *rig) leave(s *emulator.Server, state string) {
	r.list.UpdateServer(s, state)
	told := time.Duration(r.s.ListService.NotificationGrace)
	if told == 0 {
		return
	}
	known := time.Now().Add(time.Duration(r.s.ListService.PropagationDelay))
	r.work.Go(func() {
		for {
			r.mu.Lock()
			up := r.listUp
			r.mu.Unlock()
			from := known
			if up.After(from) {
				from = up
			}
			if wait := time.Until(from.Add(told)); up.IsZero() {
				if !r.sleep(10 * time.Millisecond) {
					return
				}
			} else if wait > 0 {
				if !r.sleep(wait) {
					return
				}
			} else {
				for _, n := range r.nodes {
					r.ref.EndpointReported(n.index, s.ID, true, time.Time{}, from.Add(told))
				}
				return
			}
		}
	})
}

// listDown has the list service go down, or come back.
func (r *rig) listDown(down bool) {
	r.list.SetDown(down)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listUp = time.Now(); down {
		r.listUp = time.Time{}
		return
	}
	for _, n := range r.nodes {
		n.back = r.listUp
	}
}

func (r *rig) stopServers() {
	for _, s := range r.servers {
		s.Stop()
	}
}

func (r *rig) told(t emulator.Notification) {
	r.mu.Lock()
	if n := r.nodes[t.Node]; !n.began.IsZero() {
		r.waits = append(r.waits, t.At.Sub(n.began))
		n.began = time.Time{}
	}
	if n := r.nodes[t.Node]; !n.back.IsZero() {
		r.backs = append(r.backs, t.At.Sub(n.back))
		n.back = time.Time{}
	}
	r.mu.Unlock()
	for _, e := range t.Endpoints {
		started := time.Time{}
		if e.Started > 0 {
			started = time.UnixMilli(e.Started)
		}
		r.ref.EndpointReported(t.Node, e.ID, e.State != "up", started, t.At)
	}
}

func (r *rig) called(c emulator.Call) {
	r.count("list calls")
	r.peak("list calls", c.At)
	r.ref.RateLimitedEvent("list_calls_per_s", "", c.At, c.At)
	if c.Failed {
		r.count("list calls failed")
	}
}

func (r *rig) received(x emulator.Event) {
	switch x.Kind {
	case emulator.AttemptReceived:
		r.count("attempts")
		r.ref.RateLimitedEvent("connects_per_s", x.Server.ID, x.Entered, x.Entered)
		r.ref.AttemptReceived(x.Node, x.Server.ID, x.Request, x.Entered, x.Server.Started)
		if !x.Server.Started.IsZero() {
			r.count("attempts at servers that started")
		}
	case emulator.AttemptRejected:
		r.ref.AttemptRejected(x.Server.ID, x.Request)
	case emulator.AttemptEnded:
		r.ref.AttemptEnded(x.Server.ID, x.Request)
	case emulator.HealthChecked:
		r.count("probes")
		r.peak("probes "+x.Server.ID, x.At)
		r.ref.RateLimitedEvent("probes_per_s", x.Server.ID, x.Entered, x.Entered)
	case emulator.ConnectionAccepted:
		r.count("connections at servers")
		r.peak("connections "+x.Server.ID, x.At)
	}
}

// watchClock notes how late the rig itself is.
func (r *rig) watchClock() {
	const every = 20 * time.Millisecond
	for {
		begun := time.Now()
		if !r.sleep(every) {
			return
		}
		r.mu.Lock()
		r.late = max(r.late, time.Since(begun)-every)
		r.mu.Unlock()
	}
}

// measure looks ten times a second where the clients are, and which servers are asked for more than they can do.
func (r *rig) measure() {
	const looks = 10
	for r.sleep(time.Second / looks) {
		loads := map[string]float64{}
		r.mu.Lock()
		all, servers := slices.Clone(r.clients), slices.Clone(r.servers)
		r.mu.Unlock()
		for _, s := range servers {
			if !s.Leaving() {
				loads[s.ID] = s.Utilization()
			}
		}
		var now Second
		for _, c := range all {
			switch stands, wants := c.state(); {
			case !wants:
			case !stands:
				now.Waiting += 1.0 / looks
			case loads[r.ref.LastServer(c.request())] <= 1:
				now.Served += 1.0 / looks
			default:
				now.Overloaded += 1.0 / looks
			}
		}
		r.mu.Lock()
		at := int(time.Since(r.begun) / time.Second)
		for len(r.seconds) <= at {
			r.seconds = append(r.seconds, Second{})
		}
		s := &r.seconds[at]
		s.Served, s.Overloaded, s.Waiting, s.Utilization = s.Served+now.Served, s.Overloaded+now.Overloaded, s.Waiting+now.Waiting, loads
		r.clients = slices.DeleteFunc(r.clients, func(c *client) bool { return c.done() })
		r.mu.Unlock()
	}
}
