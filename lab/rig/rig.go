package rig

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
	"brassmux/lab/referee"
)

// Result is what a run has counted.
type Result struct {
	Scenario string             `json:"scenario"`
	Seed     uint64             `json:"seed"`
	Nodes    int                `json:"nodes"`
	Void     string             `json:"void"`      // why the run says nothing; "" where it does
	Lateness float64            `json:"late_ms"`   // the most by which the rig itself was late
	Served   float64            `json:"served"`    // part of the time wanted in which clients stood at a server within what it can do
	Broken   referee.Broken     `json:"broken"`    // rules
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

// Options say how a scenario is played.
type Options struct {
	Seed   uint64
	Binary string // of the program; "" for the one that runs
}

// lateMost is how late the rig may be before its run says nothing: the referee has as much slack.
const lateMost = 100 * time.Millisecond

var modes = map[string]emulator.Mode{"drop": emulator.Drop, "stall": emulator.Stall, "reset": emulator.Reset, "cut": emulator.Cut}

type rig struct {
	s       *Scenario
	o       Options
	starter *process.Starter
	list    *emulator.List
	words   *emulator.Words // among the nodes, or among the control machines
	below   *emulator.Words // between the nodes and the control machines, by the processes' numbers; nil where there are none
	ref     *referee.Referee
	begun   time.Time
	over    chan struct{} // closed when the day is
	links   map[linkKey]*emulator.Way
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

// node is a place among the nodes, through the starts of its processes.
type node struct {
	index     int
	now       *process.Process
	second    *process.Process // under the same name
	began     time.Time        // this start, until it had word of the list
	back      time.Time        // when the list service was back, until it had word of it
	disturbed time.Time        // since when the rig does something to it; the zero time for not
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
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		limit.Cur = limit.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
		if need := uint64((s.Nodes+s.Control)*(8+s.Servers) + 4*s.Clients.Standing + 500); need > limit.Cur {
			return nil, fmt.Errorf("%d descriptors are wanted, %d are allowed", need, limit.Cur)
		}
	}
	r := &rig{s: s, o: o, starter: process.NewStarter(), over: make(chan struct{}), links: map[linkKey]*emulator.Way{},
		ready: map[int][]time.Duration{}, unready: map[int]int{},
		rng: rand.New(rand.NewPCG(o.Seed, 1)), totals: map[string]int{}, peaks: map[string][]time.Time{}, effects: make([]int, len(s.Events)), sum: map[string]float64{}}
	defer r.starter.Close()
	v := s.Server
	connections := r.connections()
	r.ref = referee.New(referee.Rules{Answer: 70 * time.Millisecond, Grace: time.Duration(v.Grace), Slack: 100 * time.Millisecond,
		Ready: readyWithin, Rates: s.Budgets.rates(), Window: time.Duration(v.FallWindow), Cold: time.Duration(v.ColdFor),
		Allowed: func(age time.Duration) float64 { // by the mean share of the window
			mean := max(age.Seconds()-time.Duration(v.FallWindow).Seconds()/2, 0) / time.Duration(v.ColdFor).Seconds()
			share := min(v.ColdFrom+(1-v.ColdFrom)*mean, 1)
			return v.FallMultiple * time.Duration(v.FallWindow).Seconds() * share * connections /
				(float64(s.Servers) * time.Duration(v.ColdFor).Seconds())
		}})
	var err error
	if s.Control > 0 {
		if r.below, err = emulator.NewWords(s.Nodes+s.Control, o.Seed^1<<32); err != nil {
			return nil, err
		}
		defer r.below.Close()
	}
	if r.words, err = emulator.NewWords(s.group(), o.Seed); err != nil {
		return nil, err
	}
	defer r.words.Close()
	r.list = emulator.NewList(emulator.ListKind{PerSecond: s.List.PerSecond, Patience: time.Duration(s.List.Patience),
		Lag: time.Duration(s.List.Lag)}, r.told, r.called)
	defer r.list.Close()
	if err := r.list.Open(r.ways("list")); err != nil {
		return nil, err
	}
	defer r.stopServers()
	for range s.Servers {
		if err := r.newServer(time.Time{}); err != nil {
			return nil, err
		}
	}
	for version := int64(0); version < int64(s.Servers); version, _ = r.list.Known(0) { // they are listed after the lag
		time.Sleep(5 * time.Millisecond)
	}
	defer r.killAll()
	var ready sync.WaitGroup
	for i := range s.Nodes + s.Control {
		r.nodes = append(r.nodes, &node{index: i})
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
func (r *rig) connections() float64 { return 0.85 * float64(r.s.Server.Holds*r.s.Servers) }

// way is one direction of a node's links of a kind.
func (r *rig) way(kind string, node int, to bool) *emulator.Way {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := linkKey{kind, node, to}
	if r.links[k] == nil {
		r.links[k] = &emulator.Way{}
	}
	return r.links[k]
}

// ways are both directions of any node's links of a kind, by what the nodes say and hear there.
func (r *rig) ways(kind string) emulator.Ways {
	return func(node int) (in, out *emulator.Way) { return r.way(kind, node, false), r.way(kind, node, true) }
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

func mostInASecond(times []time.Time) (most int) {
	slices.SortFunc(times, time.Time.Compare)
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

func (r *rig) between(a, b Dur) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(a) + time.Duration(r.rng.Float64()*float64(b-a))
}

// The list service and the servers.

func (r *rig) newServer(started time.Time) error {
	kind := emulator.ServerKind{Holds: r.s.Server.Holds, ColdFrom: r.s.Server.ColdFrom, ColdFor: time.Duration(r.s.Server.ColdFor)}
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
	r.list.Change(s, "up")
	return nil
}

// leave makes known that a server drains or is gone. Where it is to count as told whether or not it reaches a node, it does
// so for all nodes once the service has had it and could be reached for as long.
func (r *rig) leave(s *emulator.Server, state string) {
	r.list.Change(s, state)
	told := time.Duration(r.s.List.Told)
	if told == 0 {
		return
	}
	known := time.Now().Add(time.Duration(r.s.List.Lag))
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
					r.ref.Told(n.index, s.ID, true, time.Time{}, from.Add(told))
				}
				return
			}
		}
	})
}

// listDown has the list service go down, or come back.
func (r *rig) listDown(down bool) {
	r.list.Down(down)
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

func (r *rig) told(t emulator.Told) {
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
	for _, e := range t.Entries {
		started := time.Time{}
		if e.Started > 0 {
			started = time.UnixMilli(e.Started)
		}
		r.ref.Told(t.Node, e.ID, e.State != "up", started, t.At)
	}
}

func (r *rig) called(c emulator.Call) {
	r.count("list calls")
	r.peak("list calls", c.At)
	r.ref.Rated("list_calls_per_s", "", c.At, c.At)
	if c.Failed {
		r.count("list calls failed")
	}
}

func (r *rig) received(x emulator.Receipt) {
	switch x.What {
	case emulator.Sent:
		r.count("attempts")
		r.ref.Rated("connects_per_s", x.Server.ID, x.Entered, x.Entered)
		r.ref.Sent(x.Node, x.Server.ID, x.Request, x.Entered, x.Server.Started)
		if !x.Server.Started.IsZero() {
			r.count("attempts at servers that started")
		}
	case emulator.Ended:
		r.ref.Ended(x.Server.ID, x.Request)
	case emulator.Probed:
		r.count("probes")
		r.peak("probes "+x.Server.ID, x.At)
		r.ref.Rated("probes_per_s", x.Server.ID, x.Entered, x.Entered)
	case emulator.Accepted:
		r.count("connections at servers")
		r.peak("connections "+x.Server.ID, x.At)
	}
}

// Nodes.

func (r *rig) config(n *node, clock time.Duration) map[string]any {
	v, c := r.s.Server, r.s.Clients
	version, known := r.list.Known(n.index)
	up := []emulator.Entry{}
	if r.s.List.Unknown {
		version, known = 0, nil
	}
	for _, e := range known {
		if e.State == "up" {
			up = append(up, e)
		}
	}
	r.mu.Lock()
	seed := fmt.Sprintf("%016x", r.rng.Uint64())
	r.mu.Unlock()
	us := func(d Dur) int64 { return time.Duration(d).Microseconds() }
	cfg := map[string]any{"name": fmt.Sprintf("n%d", n.index), "listen": "127.0.0.1:0", "discovery": r.list.Addr(), "seed": seed, "source": emulator.Source(n.index).String(),
		"limits": map[string]any{"cores": 1, "sockets": 4096},
		"known":  map[string]any{"version": version, "full": true, "servers": up},
		"settings": map[string]any{"balancers": max(r.s.Nodes, r.s.Fleet), "index": n.index, "tick_us": 5000, "membership_mode": "on_request",
			"ceilings": map[string]any{"dial_timeout_us": 200000, "keepalive_us": 5000000, "max_open": 2000, "max_retry_after_us": 1000000,
				"may_probe": true, "retry_after": true, "send_cap": 3, "peers": r.s.Budgets.Lease},
			"classes":     []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": us(c.Deadline)}},
			"family_info": map[string]any{"message_aim_us": []float64{300000}, "tenant_quota_connections": []float64{r.connections()}},
			"report":      map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules": map[string]any{"start_error_us": r.clockError().Microseconds(), "cold_from": v.ColdFrom, "cold_us": us(v.ColdFor), "fall_multiple": v.FallMultiple,
				"fall_us": us(v.FallWindow)}}}
	if clock != 0 {
		cfg["lab"] = map[string]any{"clock_off_ms": clock.Milliseconds()}
	}
	if r.s.Budgets.Lease {
		cfg["peers"] = r.peers(n.index)
		cfg["budgets"] = map[string]any{"lease": true, "floor": r.s.Budgets.Floor}
		for key, n := range r.s.Budgets.rates() {
			cfg["budgets"].(map[string]any)[key] = n
		}
		cfg["budgets"].(map[string]any)["open_lease_ms"] = time.Duration(r.s.Budgets.OpenLease).Milliseconds()
	}
	return cfg
}

// peers are the ways between the processes as one of them is told.
func (r *rig) peers(index int) map[string]any {
	s, p, addrs := r.s, map[string]any{"listen": "127.0.0.1:0"}, []string{}
	if s.Control > 0 && index < s.Nodes {
		for _, c := range s.preference(index) {
			addrs = append(addrs, r.below.Addr(c))
		}
		p["control"] = addrs
		return p
	}
	for i := range s.group() {
		addrs = append(addrs, r.words.Addr(i))
	}
	p["nodes"] = addrs
	if s.Control > 0 {
		p["children"], p["index"] = "127.0.0.1:0", index-s.Nodes
	}
	return p
}

// clockError is by how much any node's wall clock may be off.
func (r *rig) clockError() (most time.Duration) {
	for _, e := range r.s.Events {
		most = max(most, time.Duration(e.Clock), -time.Duration(e.Clock))
	}
	return most
}

// dayStart stands for the event of the day's start.
const dayStart = -1

// startNode starts a process of a node, as an event has it, and returns once it serves. Its known list is the service's as it is, so what it is
// told thereby counts as told.
func (r *rig) startNode(event int, n *node, clock time.Duration, second bool) *process.Process {
	if !second {
		r.ref.Forget(n.index)
		r.mu.Lock()
		n.began = time.Now()
		r.mu.Unlock()
	}
	cfg, begun := r.config(n, clock), time.Now()
	for _, e := range cfg["known"].(map[string]any)["servers"].([]emulator.Entry) {
		if e.Started > 0 {
			r.ref.Told(n.index, e.ID, false, time.UnixMilli(e.Started), time.Now())
		}
	}
	p, err := r.starter.Start(r.o.Binary, n.index, cfg, func(p *process.Process, line map[string]any) {
		for _, kind := range []string{"peers", "children"} {
			at, ok := line[kind].(string)
			if !ok || line["msg"] != kind {
				continue
			}
			addr, err := netip.ParseAddrPort(at)
			switch {
			case err != nil:
			case r.s.Control == 0:
				r.words.At(n.index, addr, second)
			case n.index < r.s.Nodes || kind == "children":
				r.below.At(n.index, addr, second)
			default:
				r.words.At(n.index-r.s.Nodes, addr, second)
			}
		}
	})
	if err != nil {
		r.fail("node %d does not start: %v", n.index, err)
		return nil
	}
	r.mu.Lock()
	r.starting++
	if r.logs = append(r.logs, p); second {
		n.second = p
	} else {
		n.now = p
	}
	r.mu.Unlock()
	r.work.Go(func() { r.awaitReady(event, p, begun) })
	select {
	case <-p.Serves:
	case <-p.Ended:
		r.fail("node %d ended at its start: %s", n.index, p.Of(""))
	case <-time.After(30 * time.Second):
		r.fail("node %d does not serve within 30 s", n.index)
	}
	return p
}

// disturb notes that the rig does something to a node from now on, or no more.
func (r *rig) disturb(n *node, on bool) {
	r.mu.Lock()
	from := n.disturbed
	if on && from.IsZero() {
		n.disturbed = time.Now()
	} else if !on {
		n.disturbed = time.Time{}
	}
	r.mu.Unlock()
	if !on && !from.IsZero() {
		r.ref.Excuse(n.index, from, time.Now())
	}
}

func (r *rig) process(n *node) *process.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return n.now
}

func (r *rig) killAll() {
	r.mu.Lock()
	all := slices.Clone(r.logs)
	r.mu.Unlock()
	var gone sync.WaitGroup
	for _, p := range all {
		select {
		case <-p.Ended:
		default:
			gone.Go(func() { p.Kill() })
		}
	}
	gone.Wait()
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
			if !s.Leaves() {
				loads[s.ID] = s.Load()
			}
		}
		var now Second
		for _, c := range all {
			switch stands, wants := c.state(); {
			case !wants:
			case !stands:
				now.Waiting += 1.0 / looks
			case loads[r.ref.At(c.request())] <= 1:
				now.Served += 1.0 / looks
			default:
				now.Crowded += 1.0 / looks
			}
		}
		r.mu.Lock()
		at := int(time.Since(r.begun) / time.Second)
		for len(r.seconds) <= at {
			r.seconds = append(r.seconds, Second{})
		}
		s := &r.seconds[at]
		s.Served, s.Crowded, s.Waiting, s.Loads = s.Served+now.Served, s.Crowded+now.Crowded, s.Waiting+now.Waiting, loads
		r.clients = slices.DeleteFunc(r.clients, func(c *client) bool { return c.done() })
		r.mu.Unlock()
	}
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
			for until := time.Now().Add(3 * time.Second); p != nil && time.Now().Before(until) && !p.Told(); {
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
	res := &Result{Scenario: r.s.Name, Seed: r.o.Seed, Nodes: r.s.Nodes, Totals: r.totals, Effects: r.effects, Counters: r.sum}
	res.Broken, res.History = r.ref.Verdict(time.Now())
	res.Totals["answered in time"], res.Totals["excused"] = r.ref.Answered, r.ref.Excused
	res.Totals["attempts at cold servers"], res.Totals["further attempts"] = r.ref.Cold, r.ref.Further
	res.ColdUsed = math.Round(r.ref.ColdUsed*1000) / 1000
	res.Lists, res.Ready, res.Peaks = r.lists(r.waits, func(n *node) time.Time { return n.began }), r.readies(), map[string]int{}
	res.Back = r.lists(r.backs, func(n *node) time.Time { return n.back })
	for what, times := range r.peaks {
		kind, _, one := strings.Cut(what, " s-")
		if one {
			kind += " at one server"
		}
		res.Peaks[kind] = max(res.Peaks[kind], mostInASecond(times))
	}
	if r.s.Budgets.Open > 0 {
		res.Totals["most open of a customer"] = r.ref.MostOpen
	}
	res.Lateness = float64(r.late.Microseconds()) / 1000
	if r.failed != "" {
		res.Void = r.failed
	} else if r.ref.Foreign > 0 { // guards against what two rigs side by side do to each other: ports that are free again are taken anew
		res.Void = fmt.Sprintf("%d requests of another rig came", r.ref.Foreign)
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
			if text := p.Of(id); strings.Contains(text, id) {
				res.History = append(res.History, text)
			}
		}
	}
	return res
}

// sent gives the words and bytes that a process sent to others.
func (r *rig) sent(i int) (words, bytes int64) {
	if r.s.Control == 0 {
		return r.words.Sent(i)
	}
	words, bytes = r.below.Sent(i)
	if i >= r.s.Nodes {
		w, b := r.words.Sent(i - r.s.Nodes)
		words, bytes = words+w, bytes+b
	}
	return words, bytes
}

// Names gives the totals in order.
func (r *Result) Names() []string { return slices.Sorted(maps.Keys(r.Totals)) }
