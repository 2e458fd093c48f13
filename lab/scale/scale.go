// Package scale measures the cost of the control plane in fleets of growing size on one machine. A fleet consists of
// emulated nodes, which run the program's own control code under synthetic traffic, real node processes that serve
// real clients, and a list service; the links between them have the delays and losses of zones and regions. The cost
// for each role is compared with its target at the planned fleet size.
package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
)

// Options say what is played.
type Options struct {
	Nodes          []int         // sizes, hollow and real nodes together
	RealNodes      int           // processes of the program among them that serve real clients
	Seed           uint64        // for the nodes, their traffic and chance
	Duration       time.Duration // that is counted over, in each fleet
	ControlNodes   int           // control machines beside them; 0 where control is flat
	Scenario       string        // one of Scenarios
	OutageDuration time.Duration // how long a cut or a loss lasts, where the scenario has one
	Binary         string        // of the program; "" for the one that runs
	Log            io.Writer     // of what goes on; nil for none
}

// Bounds of the options.
const (
	leastNodes, mostNodes = 40, 12_000
	mostReal              = 60
	mostControl           = 32
	leastFor, mostFor     = 5 * time.Second, 10 * time.Minute
	perProcess            = 300 // hollow nodes
)

// Scenarios are those that can be played.
func Scenarios() []string { return []string{"steady", "restarts", "zone", "region", "cold", "leader"} }

// Check names the first option that is faulty.
func (o *Options) Check() error {
	if len(o.Nodes) == 0 {
		return errors.New("--nodes: none")
	}
	for i, n := range o.Nodes {
		if n < leastNodes || n > mostNodes {
			return fmt.Errorf("--nodes: %d is not %d to %d", n, leastNodes, mostNodes)
		} else if i > 0 && n <= o.Nodes[i-1] {
			return fmt.Errorf("--nodes: %d is not over the one before it", n)
		}
		if o.RealNodes < 0 || o.RealNodes > mostReal || o.RealNodes > n/4 {
			return fmt.Errorf("--real: %d is not 0 to %d, and a fourth of the nodes at most", o.RealNodes, mostReal)
		}
	}
	if o.ControlNodes < 0 || o.ControlNodes > mostControl {
		return fmt.Errorf("--control: %d is not 0 to %d", o.ControlNodes, mostControl)
	}
	if o.Duration < leastFor || o.Duration > mostFor {
		return fmt.Errorf("--for: %v is not %v to %v", o.Duration, leastFor, mostFor)
	}
	if o.OutageDuration < time.Second || o.OutageDuration > mostFor {
		return fmt.Errorf("--cut: %v is not 1s to %v", o.OutageDuration, mostFor)
	}
	if !slices.Contains(Scenarios(), o.Scenario) {
		return fmt.Errorf("--scenario: %q is none of %s", o.Scenario, strings.Join(Scenarios(), ", "))
	}
	return nil
}

// Result is what was counted with all sizes.
type Result struct {
	Scenario        string   `json:"scenario"`
	Seed            uint64   `json:"seed"`
	ControlNodes    int      `json:"control"` // control machines; 0 where control is flat
	DurationSeconds float64  `json:"for_s"`
	Fleets          []*Fleet `json:"fleets"`
	Slopes          []Slope  `json:"slopes"` // over the sizes; none under four of them
}

// Fleet is what was counted with one size.
type Fleet struct {
	Nodes           int             `json:"nodes"`
	RealNodes       int             `json:"real"`
	InvalidReason   string          `json:"void"`       // why the run says nothing; "" where it does
	Settled         bool            `json:"settled"`    // before it began all nodes followed the list and one keeper
	MaxDelayMS      float64         `json:"late_ms"`    // the most by which any process of the run itself was late, of those that lead nothing
	LateSampleRatio float64         `json:"late_looks"` // part of its looks at the clock at which the worst of them was 100 ms late
	StartupSeconds  float64         `json:"start_s"`    // until all served
	Roles           map[string]Role `json:"roles"`
	Changes         ChangeLatency   `json:"changes"`
	Units           UnitUsage       `json:"units"`
	Peak            Peak            `json:"peak"`
	Clients         map[string]int  `json:"clients"` // the real ones
	Targets         []Target        `json:"targets"`
	Notes           []string        `json:"notes,omitempty"`
}

// Role is what one machine of a role used and met, a second: the mean over those of the role, and the most at any.
type Role struct {
	Nodes         int              `json:"machines"`
	CPU           float64          `json:"cores"`
	MaxCPU        float64          `json:"most_cores"` // of a process: hollow nodes that share one count as its mean
	LiveMB        float64          `json:"live_mb"`    // in use after a collection; 0 where it was not looked at
	ResidentMB    float64          `json:"resident_mb"`
	MaxResidentMB float64          `json:"most_resident_mb"`
	Descriptors   float64          `json:"descriptors"`
	In            flow             `json:"in"`   // from other nodes
	Out           flow             `json:"out"`  // to them
	List          flow             `json:"list"` // from the list service; for that itself, to all
	Dropped       int64            `json:"lost"` // words that came and were not looked at
	Counters      map[string]int64 `json:"counters,omitempty"`
	Processes     int              `json:"processes"`
}

// ChangeLatency summarizes the seconds between making a list change and its application at the nodes.
type ChangeLatency struct {
	Count   int     `json:"made"`
	Median  float64 `json:"half"`  // at half of the nodes, in the mean of the changes
	P99     float64 `json:"p99"`   // at 99 in 100, at the worst of the changes
	Max     float64 `json:"all"`   // at all, at the worst of the changes that got there
	Missing int     `json:"never"` // nodes and changes that did not meet, with time enough
}

// Peak is the load peak after a fault ends: the most messages that a receiver got in any second after it, divided by
// the mean before it, at the receiver with the highest ratio. A mean below ten counts as ten. At the list service,
// calls are compared with the mean of calls and list notifications.
type Peak struct {
	Ratio float64 `json:"times"`
	Role  string  `json:"role"`
	Node  int     `json:"node"` // -1 for the list service
}

// UnitUsage compares the units taken by all nodes with their common limit.
type UnitUsage struct {
	Kind         string  `json:"kind"`
	Limit        int     `json:"whole"` // in any second
	Taken        int64   `json:"taken"`
	Refused      int64   `json:"refused"`
	MaxPerSecond int     `json:"most"`      // in any second
	GapP99       float64 `json:"gap_p99_s"` // longest time in which a busy node was granted nothing, 99 in 100 of them
	MaxGap       float64 `json:"gap_most_s"`
}

// Target is what control may cost, and what it did.
type Target struct {
	Name  string  `json:"what"`
	Value float64 `json:"got"`
	Limit float64 `json:"limit"`
	Met   bool    `json:"holds"`
	Ratio float64 `json:"factor"` // got over limit
}

// TargetsMet reports whether the largest fleet met every target.
func (r *Result) TargetsMet() bool {
	return !slices.ContainsFunc(r.Fleets[len(r.Fleets)-1].Targets, func(t Target) bool { return !t.Met })
}

// InvalidReason returns why a run is invalid, or "" if all fleets gave valid results.
func (r *Result) InvalidReason() string {
	for _, f := range r.Fleets {
		if f.InvalidReason != "" {
			return fmt.Sprintf("%d nodes: %s", f.Nodes, f.InvalidReason)
		}
	}
	return ""
}

// Run plays all sizes, one after the other.
func Run(o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		o.Binary = self
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	most := o.Nodes[len(o.Nodes)-1]
	if err := process.RaiseDescriptorLimit(2*most + 1000); err != nil {
		return nil, err
	}
	r := &Result{Scenario: o.Scenario, Seed: o.Seed, ControlNodes: o.ControlNodes, DurationSeconds: o.Duration.Seconds()}
	for _, n := range o.Nodes {
		f := newFleet(o, n)
		got, err := f.play()
		if err != nil {
			return nil, err
		}
		r.Fleets = append(r.Fleets, got)
	}
	r.Slopes = r.slopes()
	return r, nil
}

const (
	servers     = 30
	clientsEach = 10 // at a real node
	unitsEach   = 4  // a second, of what all nodes together may take
	alone       = 8  // nodes that are asked first whether they lead: each has a process of its own, so that what that costs is counted alone
	// lateMost is how late any process of the run may be before the run says nothing: half of the silence after which a node takes who leads
	// for gone. lateLooks is the part of its looks that may be late at all.
	lateMost  = 500 // ms
	lateLooks = 0.01
)

// fleet is one size.
type fleet struct {
	o        Options
	n        int
	seen     *Fleet
	starter  *process.Starter
	place    place
	ports    []net.PacketConn // held, so that another run beside this one takes others
	relay    *emulator.DatagramNetwork
	links    *links
	shaped   [Zones][Zones]emulator.Direction // of the real nodes' datagrams, as the links are
	list     *proc
	parts    []*proc // of hollow nodes
	alone    map[int]bool
	gone     map[int]bool // nodes that do not come back
	reals    []*realNode
	template map[string]any

	mu      sync.Mutex
	servers []*emulator.Server
	named   int
	version int64 // of the list
	made    map[int64]time.Time
	force   map[int64]map[int]time.Duration // by version and node, since it was made, or since the node came back if that was later
	back    map[int]time.Time               // when nodes came back
	units   map[int64]int
	states  map[*proc]*state
	faults  []string
	clock   lateness
	over    chan struct{}
	clients clients
}

// proc is a process of hollow nodes, or the list service's.
type proc struct {
	role    string
	numbers []int
	cmd     *exec.Cmd
	in      *json.Encoder
	reports chan report
	dead    chan struct{}
	killed  bool // by the scenario
}

func newFleet(o Options, n int) *fleet {
	return &fleet{o: o, n: n, seen: &Fleet{Nodes: n, RealNodes: o.RealNodes, Roles: map[string]Role{}}, alone: map[int]bool{}, gone: map[int]bool{},
		links: newLinks(Links{WithinZone: 250 * time.Microsecond, WithinRegion: time.Millisecond, BetweenRegions: 40 * time.Millisecond, LossRate: 0.001}),
		made:  map[int64]time.Time{}, force: map[int64]map[int]time.Duration{}, back: map[int]time.Time{}, units: map[int64]int{}, states: map[*proc]*state{}, over: make(chan struct{})}
}

func (f *fleet) say(format string, args ...any) {
	fmt.Fprintf(f.o.Log, "%d nodes: %s\n", f.n, fmt.Sprintf(format, args...))
}

func (f *fleet) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) < 10 {
		f.faults = append(f.faults, fmt.Sprintf(format, args...))
	}
}

// realNumbers are those of the real nodes: the last ones that lead nothing.
func (f *fleet) realNumbers() (numbers []int) {
	first := f.leaders()
	for i := f.n - 1; len(numbers) < f.o.RealNodes; i-- {
		if !slices.Contains(first, i) {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// play plays one size.
func (f *fleet) play() (*Fleet, error) {
	f.starter = process.NewStarter()
	defer f.starter.Close()
	defer f.end()
	if err := f.open(); err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := f.start(); err != nil {
		return nil, err
	}
	f.seen.StartupSeconds = time.Since(begun).Seconds()
	f.say("all serve after %.1f s", f.seen.StartupSeconds)
	f.settle()
	f.span(f.happen)
	f.finish()
	return f.seen, nil
}

// open brings up all but the nodes.
func (f *fleet) open() (err error) {
	f.place = place{Nodes: f.n, Control: f.o.ControlNodes}
	for _, port := range []*int{&f.place.Port, &f.place.Children} {
		held, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.ports, *port = append(f.ports, held), held.LocalAddr().(*net.UDPAddr).Port
	}
	if f.relay, err = emulator.NewDatagramNetwork(f.place.first()+f.o.ControlNodes, f.o.Seed); err != nil {
		return err
	}
	numbers := f.realNumbers()
	f.shape()
	var free emulator.Direction // hollow nodes shape their own
	f.relay.SharedDirection = func(from, to int) *emulator.Direction {
		if slices.Contains(numbers, from) {
			return &f.shaped[zoneOf(from)][zoneOf(to)]
		}
		return &free
	}
	relays := map[int]string{}
	for _, n := range numbers {
		relays[n] = f.relay.Addr(n)
	}
	for _, i := range f.place.all() {
		if port := f.place.Port; !slices.Contains(numbers, i) {
			if f.o.ControlNodes > 0 && f.place.is(i) >= 0 { // what real nodes reach of it
				port = f.place.Children
			}
			f.relay.SetNodeAddr(i, hollowAddr(i, port), false)
		}
	}
	f.list = &proc{role: "list"}
	if err := f.spawn(f.list, setup{Role: "list", Seed: f.o.Seed, Relays: relays, Links: f.links.Links}); err != nil {
		return err
	}
	r, err := f.list.next(doSetup, 20*time.Second)
	if err != nil {
		return err
	}
	for range servers {
		if err := f.addServer(time.Time{}); err != nil {
			return err
		}
	}
	var addrs []string
	for i := range f.n {
		if f.o.ControlNodes > 0 { // nobody knows all
			break
		}
		if addrs = append(addrs, relays[i]); addrs[i] == "" {
			addrs[i] = hollowAddr(i, f.place.Port).String()
		}
	}
	f.template = f.config(r.Addr, addrs)
	config, err := json.Marshal(f.template)
	if err != nil {
		return err
	}
	groups := [][]int{}
	for _, n := range f.leaders() {
		f.alone[n] = true
		groups = append(groups, []int{n})
	}
	var all []int
	for z := range Zones {
		for i := z; i < f.n; i += Zones {
			if !f.alone[i] && !slices.Contains(numbers, i) {
				all = append(all, i)
			}
		}
	}
	for parts := (len(all) + perProcess - 1) / perProcess; parts > 0; parts-- { // of like size
		k := (len(all) + parts - 1) / parts
		groups = append(groups, all[:k])
		all = all[k:]
	}
	for _, g := range groups {
		p := &proc{role: "node", numbers: g}
		if f.alone[g[0]] {
			p.role = "spare"
			if f.o.ControlNodes > 0 {
				p.role = "control"
			}
			if g[0] == f.leaders()[0] {
				p.role = "leader"
			}
		}
		f.parts = append(f.parts, p)
		s := setup{Role: "hollow", Seed: f.o.Seed, Place: f.place, Relays: relays, Numbers: g, Config: config, Links: f.links.Links}
		if g[0] < f.n { // control machines have no clients
			s.Traffic = f.traffic()
		}
		if err := f.spawn(p, s); err != nil {
			return err
		}
	}
	for _, n := range numbers {
		f.reals = append(f.reals, &realNode{f: f, number: n})
	}
	return nil
}

// leaders gives the numbers of who is asked first whether it leads, the first one first: each has a process of its own.
func (f *fleet) leaders() []int {
	if f.o.ControlNodes == 0 {
		return leaders(f.n)[:alone]
	}
	all := leaders(f.o.ControlNodes)
	for i := range all {
		all[i] += f.place.first()
	}
	return all
}

// traffic asks for three fifths of the whole, half of it at a tenth of the nodes, which get the most of it from others.
func (f *fleet) traffic() traffic {
	return traffic{Kind: "retries_per_s", Calm: 0.6 * unitsEach * 0.5 / 0.9, Busy: 0.6 * unitsEach * 0.5 / 0.1, Every: 10}
}

// config is that of any node, but for what is its own.
func (f *fleet) config(list string, addrs []string) map[string]any {
	return map[string]any{"discovery": list, "limits": map[string]any{"cores": 1, "sockets": 4096},
		"known": f.listed(),
		"settings": map[string]any{"balancers": f.n, "tick_us": 5000, "membership_mode": "pushed",
			"ceilings": map[string]any{"dial_timeout_us": 200000, "keepalive_us": 5000000, "max_open": 2000, "max_retry_after_us": 1000000,
				"may_probe": false, "retry_after": true, "send_cap": 3, "peers": true},
			"classes":     []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": 2_000_000}},
			"family_info": map[string]any{"message_aim_us": []float64{300000}, "tenant_quota_connections": []float64{float64(8 * f.n)}},
			"report":      map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules":       map[string]any{"cold_from": 0.2, "cold_us": 6_000_000, "fall_multiple": 3, "fall_us": 1_000_000}},
		"peers":   map[string]any{"nodes": addrs},
		"budgets": map[string]any{"lease": true, "floor": 0.5, "retries_per_s": unitsEach * f.n}}
}

// procs are all processes but the real nodes'.
func (f *fleet) procs() []*proc { return append([]*proc{f.list}, f.parts...) }

// spawn starts a part.
func (f *fleet) spawn(p *proc, s setup) error {
	p.cmd = exec.Command(f.o.Binary, "lab", "scale-part")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	p.cmd.Stderr = os.Stderr
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := f.starter.StartCommand(p.cmd); err != nil {
		return err
	}
	p.in, p.reports, p.dead = json.NewEncoder(in), make(chan report, 100), make(chan struct{})
	go func() {
		dec := json.NewDecoder(out)
		for {
			var r report
			if err := dec.Decode(&r); err != nil {
				break
			}
			if r.Err != "" {
				f.fault("a process of %s nodes: %s", p.role, r.Err)
			}
			if r.Did == "sample" {
				f.sampled(p, r)
				continue
			}
			select {
			case p.reports <- r:
			default: // nobody waits for it
			}
		}
		p.cmd.Wait()
		close(p.dead)
	}()
	return p.in.Encode(order{Do: doSetup, Setup: &s})
}

// next waits for a report.
func (p *proc) next(did string, within time.Duration) (report, error) {
	end := time.After(within)
	for {
		select {
		case r := <-p.reports:
			if r.Err != "" {
				return r, errors.New(r.Err)
			} else if r.Did == did {
				return r, nil
			}
		case <-p.dead:
			return report{}, fmt.Errorf("a process of %s nodes ended before %s", p.role, did)
		case <-end:
			return report{}, fmt.Errorf("a process of %s nodes did not %s within %v", p.role, did, within)
		}
	}
}

// sampled takes in what a part tells all the time.
func (f *fleet) sampled(p *proc, r report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range r.Force {
		f.inForce(c.Node, c.From, c.To, time.Unix(0, c.At))
	}
	if u := r.Units; u != nil {
		for i, n := range u.N {
			f.units[u.At+int64(i)] += int(n)
		}
	}
	f.states[p] = r.State
}

// inForce notes that versions are in force at a node. f.mu is held.
func (f *fleet) inForce(node int, from, to int64, at time.Time) {
	for v := from + 1; v <= to; v++ {
		made, ok := f.made[v]
		if !ok {
			continue
		}
		if back := f.back[node]; back.After(made) {
			made = back
		}
		if f.force[v] == nil {
			f.force[v] = map[int]time.Duration{}
		}
		if _, ok := f.force[v][node]; !ok {
			f.force[v][node] = max(at.Sub(made), 0)
		}
	}
}

// put has the list service make a change.
func (f *fleet) put(e emulator.Endpoint) {
	f.mu.Lock()
	f.version++
	f.made[f.version] = time.Now()
	f.mu.Unlock()
	f.list.in.Encode(order{Do: doPut, Entry: &e})
}

func (f *fleet) addServer(started time.Time) error {
	f.mu.Lock()
	f.named++
	id := "s-" + strconv.Itoa(f.named)
	f.mu.Unlock()
	config := emulator.ServerConfig{Capacity: 8 * f.n / servers, InitialFraction: 0.2, WarmUp: 6 * time.Second}
	s := emulator.NewServer(id, config, started, f.clients.received)
	var free emulator.Direction
	if err := s.Open(func(int) (in, out *emulator.Direction) { return &free, &free }); err != nil {
		return err
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	e := emulator.Endpoint{ID: id, Addr: s.Addr(), State: "up", Weight: 1}
	if !started.IsZero() {
		e.Started = started.UnixMilli()
	}
	f.put(e)
	return nil
}

// start starts all nodes and returns once they serve.
func (f *fleet) start() error {
	for _, p := range f.parts {
		p.in.Encode(order{Do: doStart})
	}
	var wait sync.WaitGroup
	errs := make(chan error, len(f.parts)+len(f.reals))
	for _, p := range f.parts {
		wait.Go(func() {
			if _, err := p.next(doStart, 2*time.Minute); err != nil {
				errs <- err
			}
		})
	}
	for _, n := range f.reals {
		wait.Go(func() {
			if err := f.startReal(n); err != nil {
				errs <- err
			}
		})
	}
	wait.Wait()
	close(errs)
	return <-errs
}

// changeEvery is the time between two changes of the list on an ordinary day: 18,000 a day.
const changeEvery = 4800 * time.Millisecond

// changes has the list change until the end, by turns: a server starts, the oldest drains, it goes.
func (f *fleet) changes() {
	var leaving *emulator.Server
	next := time.Now()
	for i := 0; ; i++ {
		if !f.sleep(time.Until(next)) {
			return
		}
		next = next.Add(changeEvery)
		f.mu.Lock()
		oldest := f.servers[0]
		f.mu.Unlock()
		switch i % 3 {
		case 0:
			if err := f.addServer(time.Now()); err != nil {
				f.fault("a server does not start: %v", err)
			}
		case 1:
			leaving = oldest
			f.mu.Lock()
			f.servers = f.servers[1:]
			f.mu.Unlock()
			f.put(emulator.Endpoint{ID: leaving.ID, Addr: leaving.Addr(), State: "draining", Weight: 1})
			time.AfterFunc(time.Second, leaving.Drain)
		case 2:
			f.put(emulator.Endpoint{ID: leaving.ID, Addr: leaving.Addr(), State: "removed", Weight: 1})
			leaving.Stop()
		}
	}
}

// sleep waits, and tells whether the run still goes on.
func (f *fleet) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-f.over:
		return false
	}
}

// everywhere waits until a version is at all nodes, and tells whether it came to that.
func (f *fleet) everywhere(version int64, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		n := len(f.force[version])
		f.mu.Unlock()
		if n >= f.n+f.o.ControlNodes-len(f.gone) {
			return true
		}
	}
	return false
}

// followed tells how many nodes ask each keeper, and how many of them know that most do.
func (f *fleet) followed() (keepers map[int]int, by int) {
	keepers = map[int]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		for k, n := range s.Keepers {
			keepers[k] += n
		}
		by += s.Followed
	}
	return keepers, by
}

// whom tells whom nodes ask.
func whom(keepers map[int]int) string {
	asked, most, nodes := 0, -1, 0
	for _, k := range slices.Sorted(maps.Keys(keepers)) {
		if n := keepers[k]; k >= 0 {
			if asked++; n > nodes {
				most, nodes = k, n
			}
		}
	}
	return fmt.Sprintf("%d nodes ask nobody, the others %d keepers, most (%d) number %d", keepers[-1], asked, nodes, most)
}

// settle waits until all follow the list, and until what the start brought about is over.
func (f *fleet) settle() {
	if err := f.addServer(time.Now()); err != nil {
		f.fault("a server does not start: %v", err)
	}
	if f.seen.Settled = f.everywhere(f.version, 45*time.Second); !f.seen.Settled {
		f.mu.Lock()
		n := len(f.force[f.version])
		f.mu.Unlock()
		f.seen.Notes = append(f.seen.Notes, fmt.Sprintf("the first change was at %d nodes after 45 s", n))
		f.say("%s", f.seen.Notes[len(f.seen.Notes)-1])
	}
	for i := 0; i < 40; i++ {
		if _, by := f.followed(); by > (f.n+f.o.ControlNodes-f.o.RealNodes)*99/100 {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	keepers, by := f.followed()
	f.seen.Settled = f.seen.Settled && by > (f.n+f.o.ControlNodes-f.o.RealNodes)*99/100
	f.say("%s; %d know that most do as they do", whom(keepers), by)
	resident := 0.0
	for _, p := range f.procs() {
		resident += process.ReadUsage(strconv.Itoa(p.cmd.Process.Pid)).Resident
	}
	if f.say("%.0f MB resident", resident/1e6); resident > memory()/2 {
		f.fault("%.0f MB are in use, over half of the machine's memory", resident/1e6)
	}
	go f.serveClients()
	time.Sleep(6 * time.Second) // a promise binds for less
}

// span counts over what is done.
func (f *fleet) span(do func()) {
	f.mu.Lock()
	clear(f.made)
	clear(f.units)
	f.mu.Unlock()
	f.clock.begin()
	go f.clock.watch(f.over)
	for _, p := range f.procs() {
		p.in.Encode(order{Do: doSpan})
	}
	for _, n := range f.reals {
		n.begin()
	}
	go f.changes()
	do()
	for _, n := range f.reals {
		n.finish(&f.seen.Roles)
	}
	for _, p := range f.procs() {
		p.in.Encode(order{Do: doEnd})
	}
	roles := map[string][]*span{}
	for _, p := range f.procs() {
		if p.killed {
			continue
		}
		r, err := p.next(doEnd, 30*time.Second)
		if err != nil {
			f.fault("%v", err)
			continue
		}
		roles[p.role] = append(roles[p.role], r.Span)
		if p.role == "node" { // the others' own work may be too much for them
			f.seen.MaxDelayMS, f.seen.LateSampleRatio = max(f.seen.MaxDelayMS, r.Span.Late), max(f.seen.LateSampleRatio, round(r.Span.Looks))
		}
	}
	most, looks := f.clock.was()
	f.seen.MaxDelayMS, f.seen.LateSampleRatio = max(f.seen.MaxDelayMS, most), max(f.seen.LateSampleRatio, round(looks))
	close(f.over)
	for role, spans := range roles {
		f.seen.Roles[role] = sum(spans)
		for _, s := range spans {
			if s.Peak > f.seen.Peak.Ratio {
				f.seen.Peak = Peak{round(s.Peak), role, s.PeakAt}
			}
		}
	}
	var gaps []float64
	warned := map[string]int{}
	for _, s := range roles["node"] {
		gaps = append(gaps, s.Gaps...)
	}
	for _, all := range roles {
		for _, s := range all {
			f.seen.Units.Taken += s.Taken
			f.seen.Units.Refused += s.Refused
			for what, n := range s.Warned {
				warned[what] += n
			}
		}
	}
	for _, what := range slices.Sorted(maps.Keys(warned)) {
		f.seen.Notes = append(f.seen.Notes, fmt.Sprintf("%d times logged: %s", warned[what], what))
	}
	slices.Sort(gaps)
	if len(gaps) > 0 {
		f.seen.Units.GapP99, f.seen.Units.MaxGap = round(gaps[at(len(gaps), 0.99)]), round(gaps[len(gaps)-1])
	}
}

// at is the place of a part of n in order.
func at(n int, part float64) int { return max(int(math.Ceil(part*float64(n)))-1, 0) }

func round(x float64) float64 {
	if x == 0 {
		return 0
	}
	digits := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*digits) / digits
}

// sum gives a role what its processes have counted.
func sum(spans []*span) Role {
	r := Role{Processes: len(spans), Counters: map[string]int64{}}
	var cpu, live, resident, files float64
	for _, s := range spans {
		r.Nodes += s.Nodes
		cpu, live, resident, files = cpu+s.CPU/s.Seconds, live+s.Live, resident+s.Resident, files+float64(s.Files)
		r.MaxCPU = max(r.MaxCPU, s.CPU/s.Seconds/float64(s.Nodes))
		r.MaxResidentMB = max(r.MaxResidentMB, s.Resident/float64(s.Nodes)/1e6)
		in, out, list := s.Flows["in"], s.Flows["out"], s.Flows["list"]
		r.In.merge(in)
		r.Out.merge(out)
		r.List.merge(list)
		for k, v := range s.Counters {
			if v != 0 {
				r.Counters[k] += v
			}
		}
	}
	n := float64(r.Nodes)
	r.CPU, r.LiveMB, r.ResidentMB, r.Descriptors = round(cpu/n), round(live/n/1e6), round(resident/n/1e6), round(files/n)
	r.MaxCPU, r.MaxResidentMB = round(r.MaxCPU), round(r.MaxResidentMB)
	for _, f := range []*flow{&r.In, &r.Out, &r.List} {
		*f = flow{round(f.Messages / n), round(f.Bytes / n), round(f.MaxMessages), round(f.MaxBytes)}
	}
	r.Dropped = r.Counters["peer_dropped"] + r.Counters["overruns"]
	return r
}

// finish judges.
func (f *fleet) finish() {
	keepers, _ := f.followed()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.seen
	now := time.Now()
	halves := 0.0
	for v, made := range f.made {
		got := slices.Sorted(maps.Values(f.force[v]))
		if len(got) < f.n+f.o.ControlNodes && now.Sub(made) < inForceWithin { // it may come yet
			continue
		}
		s.Changes.Count++
		for _, i := range f.place.all() {
			if _, ok := f.force[v][i]; !ok && !f.gone[i] && now.Sub(f.back[i]) >= inForceWithin {
				s.Changes.Missing++
			}
		}
		if len(got) > 0 {
			halves += got[at(len(got), 0.5)].Seconds()
			s.Changes.P99 = max(s.Changes.P99, round(got[at(len(got), 0.99)].Seconds()))
			s.Changes.Max = max(s.Changes.Max, round(got[len(got)-1].Seconds()))
		}
	}
	if s.Changes.Count > 0 {
		s.Changes.Median = round(halves / float64(s.Changes.Count))
	}
	s.Units.Kind, s.Units.Limit = f.traffic().Kind, unitsEach*f.n
	s.Units.MaxPerSecond = mostInASecond(f.units)
	s.Clients = f.clients.counts()
	s.Targets = f.targets()
	elsewhere := 0
	for k, n := range keepers {
		if f.o.ControlNodes == 0 && k >= 0 && !f.alone[k] {
			elsewhere += n
		}
	}
	s.Notes = append(s.Notes, "at the end "+whom(keepers))
	switch {
	case len(f.faults) > 0:
		s.InvalidReason = f.faults[0]
	case s.MaxDelayMS > lateMost || s.LateSampleRatio > lateLooks:
		s.InvalidReason = fmt.Sprintf("the run was %.0f ms late at most, and over %v at %g of its looks", s.MaxDelayMS, lateLook, s.LateSampleRatio)
	case elsewhere > f.n/100: // what that costs is counted at nodes that lead nothing
		s.Notes = append(s.Notes, fmt.Sprintf("%d nodes ask one that shares its process", elsewhere))
	}
}

// mostInASecond gives the most units in any second: of whole steps alone, so that none is counted that is not in it.
func mostInASecond(steps map[int64]int) (most int) {
	if len(steps) == 0 {
		return 0
	}
	first, last := int64(math.MaxInt64), int64(0)
	for i := range steps {
		first, last = min(first, i), max(last, i)
	}
	sum := 0
	for i := first; i <= last; i++ {
		sum += steps[i] - steps[i-1000/unitEvery]
		most = max(most, sum)
	}
	return most
}

// What control may cost at the size that is coming, in the operators' words.
const (
	nodeCores     = 0.022
	controlCores  = 1
	nodeMB        = 128
	nodeBytes     = 14_000
	inForceWithin = 14 * time.Second
	withoutGrants = 4 // s
	peakTimes     = 3
)

func (f *fleet) targets() (all []Target) {
	s := f.seen
	add := func(what string, got, limit float64) {
		t := Target{Name: what, Value: round(got), Limit: limit, Met: got <= limit}
		if limit > 0 {
			t.Ratio = round(got / limit)
		}
		all = append(all, t)
	}
	for _, role := range []string{"node", "leader", "spare", "control"} {
		r, ok := s.Roles[role]
		if !ok {
			continue
		} else if f.o.ControlNodes > 0 && role != "node" {
			add(role+", a control machine: cores", r.MaxCPU, controlCores)
			continue
		}
		add(role+": cores", r.MaxCPU, nodeCores)
		memory := r.LiveMB
		if role != "node" { // it has the process for itself
			memory = r.ResidentMB
		}
		add(role+": MB", memory, nodeMB)
		add(role+": bytes a second from and to other nodes and the list service", r.In.MaxBytes+r.Out.MaxBytes+r.List.MaxBytes, nodeBytes)
	}
	if r, ok := s.Roles["real"]; ok {
		add("real node: MB", r.MaxResidentMB, nodeMB)
	}
	add("change in force everywhere: seconds", s.Changes.Max, inForceWithin.Seconds())
	add("change never in force: nodes and changes", float64(s.Changes.Missing), 0)
	switch f.o.Scenario {
	case "zone", "region":
		add("most words in a second after the return over the mean, at any receiver", s.Peak.Ratio, peakTimes)
	case "steady", "restarts", "leader": // who leads is not to be worse there than where it dies
		add("busy nodes without a grant, 99 in 100: seconds", s.Units.GapP99, withoutGrants)
	}
	add("units taken over the whole in any second", math.Max(0, float64(s.Units.MaxPerSecond-s.Units.Limit)), 0)
	return all
}

// end ends all that runs.
func (f *fleet) end() {
	select {
	case <-f.over:
	default:
		close(f.over)
	}
	for _, p := range f.procs() {
		if p == nil || p.dead == nil {
			continue
		}
		p.cmd.Process.Kill()
		<-p.dead
	}
	for _, n := range f.reals {
		if n.p != nil {
			n.p.Kill()
		}
	}
	f.mu.Lock()
	all := slices.Clone(f.servers)
	f.mu.Unlock()
	for _, s := range all {
		s.Stop()
	}
	if f.relay != nil {
		f.relay.Close()
	}
	for _, p := range f.ports {
		p.Close()
	}
}
