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

// Options configures a run.
type Options struct {
	Nodes          []int         // fleet sizes in ascending order, emulated and real nodes together
	RealNodes      int           // number of real node processes among them, which serve real clients
	Seed           uint64        // seed of the random numbers of nodes, traffic and clients
	Duration       time.Duration // measured time in each fleet
	ControlNodes   int           // control nodes in addition to Nodes; 0 if all nodes are peers
	Scenario       string        // one of those returned by Scenarios
	OutageDuration time.Duration // length of the outage in the scenarios that have one
	Binary         string        // path of the program; "" for the running one
	Log            io.Writer     // destination of progress messages; nil for none
}

// Bounds of the options.
const (
	minNodes, maxNodes       = 40, 12_000
	maxRealNodes             = 60
	maxControlNodes          = 32
	minDuration, maxDuration = 5 * time.Second, 10 * time.Minute
	nodesPerWorker           = 300 // emulated nodes of one worker process
)

// Scenarios returns the names of the scenarios.
func Scenarios() []string { return []string{"steady", "restarts", "zone", "region", "cold", "leader"} }

// Check returns an error for the first invalid option.
func (o *Options) Check() error {
	if len(o.Nodes) == 0 {
		return errors.New("--nodes: at least one size is required")
	}
	for i, n := range o.Nodes {
		if n < minNodes || n > maxNodes {
			return fmt.Errorf("--nodes: %d is not between %d and %d", n, minNodes, maxNodes)
		} else if i > 0 && n <= o.Nodes[i-1] {
			return fmt.Errorf("--nodes: %d is not greater than the size before it", n)
		}
		if o.RealNodes < 0 || o.RealNodes > maxRealNodes || o.RealNodes > n/4 {
			return fmt.Errorf("--real: %d is not between 0 and %d, or is more than a fourth of the nodes",
				o.RealNodes, maxRealNodes)
		}
	}
	if o.ControlNodes < 0 || o.ControlNodes > maxControlNodes {
		return fmt.Errorf("--control: %d is not between 0 and %d", o.ControlNodes, maxControlNodes)
	}
	if o.Duration < minDuration || o.Duration > maxDuration {
		return fmt.Errorf("--for: %v is not between %v and %v", o.Duration, minDuration, maxDuration)
	}
	if o.OutageDuration < time.Second || o.OutageDuration > maxDuration {
		return fmt.Errorf("--cut: %v is not between 1s and %v", o.OutageDuration, maxDuration)
	}
	if !slices.Contains(Scenarios(), o.Scenario) {
		return fmt.Errorf("--scenario: %q is not one of %s", o.Scenario, strings.Join(Scenarios(), ", "))
	}
	return nil
}

// Result holds the figures of a run at all fleet sizes.
type Result struct {
	Scenario        string   `json:"scenario"`
	Seed            uint64   `json:"seed"`
	ControlNodes    int      `json:"control"` // control nodes; 0 if all nodes are peers
	DurationSeconds float64  `json:"for_s"`
	Fleets          []*Fleet `json:"fleets"`
	Slopes          []Slope  `json:"slopes"` // growth over the sizes; empty for fewer than four
}

// Fleet holds the figures at one size.
type Fleet struct {
	Nodes         int    `json:"nodes"`
	RealNodes     int    `json:"real"`
	InvalidReason string `json:"void"` // why the figures are invalid; "" if they are valid
	// Settled reports whether all nodes had applied the list and over 99% followed a leader before the measurement.
	Settled bool `json:"settled"`
	// MaxDelayMS and LateSampleRatio are maxima over the coordinator and the worker processes of ordinary nodes: the
	// delay in milliseconds, and the fraction of the delay samples above 100 ms.
	MaxDelayMS      float64         `json:"late_ms"`
	LateSampleRatio float64         `json:"late_looks"`
	StartupSeconds  float64         `json:"start_s"` // time until all nodes served
	Roles           map[string]Role `json:"roles"`
	Changes         ChangeLatency   `json:"changes"`
	Units           UnitUsage       `json:"units"`
	Peak            Peak            `json:"peak"`
	Clients         map[string]int  `json:"clients"` // outcomes of the sessions of real clients
	Targets         []Target        `json:"targets"`
	Notes           []string        `json:"notes,omitempty"`
}

// Role holds the resource usage and the traffic of one node of a role: the mean over the nodes of the role, and the
// maximum of any of them. Rates are per second.
type Role struct {
	Nodes         int              `json:"machines"`
	CPU           float64          `json:"cores"`
	MaxCPU        float64          `json:"most_cores"` // emulated nodes that share a process count as its mean
	LiveMB        float64          `json:"live_mb"`    // in use after a garbage collection; 0 if not measured
	ResidentMB    float64          `json:"resident_mb"`
	MaxResidentMB float64          `json:"most_resident_mb"`
	Descriptors   float64          `json:"descriptors"`
	In            flow             `json:"in"`   // received from other nodes
	Out           flow             `json:"out"`  // sent to other nodes
	List          flow             `json:"list"` // received from the list service
	Dropped       int64            `json:"lost"` // messages received but not processed
	Counters      map[string]int64 `json:"counters,omitempty"`
	Processes     int              `json:"processes"`
}

// ChangeLatency summarizes the seconds between making a list change and its application at the nodes.
type ChangeLatency struct {
	Count   int     `json:"made"`
	Median  float64 `json:"half"`  // at half of the nodes, mean of the changes
	P99     float64 `json:"p99"`   // at 99% of the nodes, maximum of the changes
	Max     float64 `json:"all"`   // at the last node that applied it, maximum of the changes
	Missing int     `json:"never"` // pairs of node and change where the change was not applied in time
}

// Peak is the load peak after the end of an outage, or after the failure of the leader: the most messages that a
// receiver got in any second after that time, divided by the mean before it, at the receiver with the highest ratio. A
// mean below ten counts as ten. At the list service, calls are compared with the mean of calls and list notifications.
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
	GapP99       float64 `json:"gap_p99_s"` // 99th percentile over busy nodes of the longest time without a grant
	MaxGap       float64 `json:"gap_most_s"`
}

// Target compares a figure of the control plane with its limit.
type Target struct {
	Name  string  `json:"what"`
	Value float64 `json:"got"`
	Limit float64 `json:"limit"`
	Met   bool    `json:"holds"`
	Ratio float64 `json:"factor"` // value divided by limit
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

// Run measures fleets of all sizes, one after the other.
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
	largest := o.Nodes[len(o.Nodes)-1]
	if err := process.RaiseDescriptorLimit(2*largest + 1000); err != nil {
		return nil, err
	}
	result := &Result{
		Scenario: o.Scenario, Seed: o.Seed, ControlNodes: o.ControlNodes, DurationSeconds: o.Duration.Seconds()}
	for _, size := range o.Nodes {
		f := newFleet(o, size)
		counted, err := f.run()
		if err != nil {
			return nil, err
		}
		result.Fleets = append(result.Fleets, counted)
	}
	result.Slopes = result.slopes()
	return result, nil
}

const (
	serverCount        = 30
	clientsPerRealNode = 10
	unitsPerNode       = 4 // common limit of all nodes, in units per second and node
	// candidateCount is the number of first nodes in the leader ranking. Each runs in a separate process, so that the
	// cost of leading is measured separately.
	candidateCount = 8
	// maxDelayMS is the maximum delay in milliseconds of any process of a valid run: half of the silence after which a
	// node considers the leader lost. maxLateSampleRatio is the fraction of the delay samples that may be late.
	maxDelayMS         = 500
	maxLateSampleRatio = 0.01
)

// fleet coordinates the measurement at one size.
type fleet struct {
	options             Options
	size                int
	result              *Fleet
	starter             *process.Starter
	topology            topology
	reservedPorts       []net.PacketConn // kept open so that a concurrent run uses other ports
	relay               *emulator.DatagramNetwork
	links               *links
	realNodeLinks       [Zones][Zones]emulator.Direction // links of the datagrams of real nodes
	list                *workerProcess                   // the list service
	nodeWorkers         []*workerProcess                 // processes of emulated nodes
	hasDedicatedProcess map[int]bool                     // nodes that share their process with no other node
	killed              map[int]bool                     // nodes that are killed and not revived
	realNodes           []*realNode
	configTemplate      map[string]any

	mu               sync.Mutex
	servers          []*emulator.Server
	lastServerNumber int
	listVersion      int64               // version of the endpoint list
	changedAt        map[int64]time.Time // by version
	// applied holds, by version and node, the delay from the change, or from the return of the node if that was later.
	applied      map[int64]map[int]time.Duration
	returnedAt   map[int]time.Time // by node: time of its last return
	unitCounts   map[int64]int     // units taken by time bucket
	leaderStates map[*workerProcess]*leaderState
	failures     []string
	delays       delayMonitor
	done         chan struct{}
	clientStats  clientStats
}

// workerProcess is a process of emulated nodes, or that of the list service, as seen by the coordinator.
type workerProcess struct {
	role     string
	nodes    []int
	cmd      *exec.Cmd
	commands *json.Encoder
	reports  chan report
	exited   chan struct{}
	killed   bool // killed by the scenario
}

func newFleet(options Options, size int) *fleet {
	return &fleet{
		options: options, size: size,
		result:              &Fleet{Nodes: size, RealNodes: options.RealNodes, Roles: map[string]Role{}},
		hasDedicatedProcess: map[int]bool{}, killed: map[int]bool{},
		links: newLinks(Links{WithinZone: 250 * time.Microsecond, WithinRegion: time.Millisecond,
			BetweenRegions: 40 * time.Millisecond, LossRate: 0.001}),
		changedAt: map[int64]time.Time{}, applied: map[int64]map[int]time.Duration{},
		returnedAt: map[int]time.Time{}, unitCounts: map[int64]int{},
		leaderStates: map[*workerProcess]*leaderState{}, done: make(chan struct{})}
}

// logf writes a progress message.
func (f *fleet) logf(format string, args ...any) {
	fmt.Fprintf(f.options.Log, "%d nodes: %s\n", f.size, fmt.Sprintf(format, args...))
}

// failf records a failure, which makes the run invalid. It keeps the first ten.
func (f *fleet) failf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) < 10 {
		f.failures = append(f.failures, fmt.Sprintf(format, args...))
	}
}

// realNodeIndexes returns the indexes of the real nodes: the last ones that are not leader candidates.
func (f *fleet) realNodeIndexes() (indexes []int) {
	candidates := f.leaderCandidates()
	for i := f.size - 1; len(indexes) < f.options.RealNodes; i-- {
		if !slices.Contains(candidates, i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// run measures one size.
func (f *fleet) run() (*Fleet, error) {
	f.starter = process.NewStarter()
	defer f.starter.Close()
	defer f.shutDown()
	if err := f.prepare(); err != nil {
		return nil, err
	}
	started := time.Now()
	if err := f.start(); err != nil {
		return nil, err
	}
	f.result.StartupSeconds = time.Since(started).Seconds()
	f.logf("all nodes serve after %.1f s", f.result.StartupSeconds)
	f.settle()
	f.measure(f.runScenario)
	f.evaluate()
	return f.result, nil
}

// prepare starts the list service, the servers and the worker processes, but no nodes.
func (f *fleet) prepare() (err error) {
	f.topology = topology{Nodes: f.size, ControlNodes: f.options.ControlNodes}
	for _, port := range []*int{&f.topology.PeerPort, &f.topology.ChildPort} {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.reservedPorts, *port = append(f.reservedPorts, conn), conn.LocalAddr().(*net.UDPAddr).Port
	}
	if f.relay, err = emulator.NewDatagramNetwork(
		f.topology.firstControlNode()+f.options.ControlNodes, f.options.Seed); err != nil {
		return err
	}
	realIndexes := f.realNodeIndexes()
	f.updateRealNodeLinks()
	var unshaped emulator.Direction // emulated nodes shape their own datagrams
	f.relay.SharedDirection = func(from, to int) *emulator.Direction {
		if slices.Contains(realIndexes, from) {
			return &f.realNodeLinks[zoneOf(from)][zoneOf(to)]
		}
		return &unshaped
	}
	realNodeAddrs := map[int]string{}
	for _, n := range realIndexes {
		realNodeAddrs[n] = f.relay.Addr(n)
	}
	for _, i := range f.topology.allNodes() {
		if port := f.topology.PeerPort; !slices.Contains(realIndexes, i) {
			// Real nodes contact control nodes at their port for ordinary nodes.
			if f.options.ControlNodes > 0 && f.topology.controlIndex(i) >= 0 {
				port = f.topology.ChildPort
			}
			f.relay.SetNodeAddr(i, emulatedAddr(i, port), false)
		}
	}
	f.list = &workerProcess{role: "list"}
	if err := f.spawn(f.list, setup{
		Role: "list", Seed: f.options.Seed, RealNodeAddrs: realNodeAddrs, Links: f.links.Links}); err != nil {
		return err
	}
	reply, err := f.list.awaitReport(actionSetup, 20*time.Second)
	if err != nil {
		return err
	}
	for range serverCount {
		if err := f.addServer(time.Time{}); err != nil {
			return err
		}
	}
	var addrs []string
	for i := range f.size {
		if f.options.ControlNodes > 0 { // ordinary nodes have the addresses of control nodes only
			break
		}
		if addrs = append(addrs, realNodeAddrs[i]); addrs[i] == "" {
			addrs[i] = emulatedAddr(i, f.topology.PeerPort).String()
		}
	}
	f.configTemplate = f.config(reply.Addr, addrs)
	config, err := json.Marshal(f.configTemplate)
	if err != nil {
		return err
	}
	groups := [][]int{}
	for _, n := range f.leaderCandidates() {
		f.hasDedicatedProcess[n] = true
		groups = append(groups, []int{n})
	}
	var emulated []int
	for z := range Zones {
		for i := z; i < f.size; i += Zones {
			if !f.hasDedicatedProcess[i] && !slices.Contains(realIndexes, i) {
				emulated = append(emulated, i)
			}
		}
	}
	// Splits the remaining nodes into groups of similar size.
	for workers := (len(emulated) + nodesPerWorker - 1) / nodesPerWorker; workers > 0; workers-- {
		count := (len(emulated) + workers - 1) / workers
		groups = append(groups, emulated[:count])
		emulated = emulated[count:]
	}
	for _, group := range groups {
		proc := &workerProcess{role: "node", nodes: group}
		if f.hasDedicatedProcess[group[0]] {
			proc.role = "spare"
			if f.options.ControlNodes > 0 {
				proc.role = "control"
			}
			if group[0] == f.leaderCandidates()[0] {
				proc.role = "leader"
			}
		}
		f.nodeWorkers = append(f.nodeWorkers, proc)
		setup := setup{Role: "hollow", Seed: f.options.Seed, Topology: f.topology, RealNodeAddrs: realNodeAddrs,
			Nodes: group, Config: config, Links: f.links.Links}
		if group[0] < f.size { // control nodes have no clients
			setup.Traffic = f.traffic()
		}
		if err := f.spawn(proc, setup); err != nil {
			return err
		}
	}
	for _, n := range realIndexes {
		f.realNodes = append(f.realNodes, &realNode{fleet: f, index: n})
	}
	return nil
}

// leaderCandidates returns the nodes that may become leader, first choice first. Each runs in a separate process.
func (f *fleet) leaderCandidates() []int {
	if f.options.ControlNodes == 0 {
		return leaderRanking(f.size)[:candidateCount]
	}
	candidates := leaderRanking(f.options.ControlNodes)
	for i := range candidates {
		candidates[i] += f.topology.firstControlNode()
	}
	return candidates
}

// traffic returns a load of three fifths of the common limit, half of it at a tenth of the nodes. These need three
// times their own share, so that most of their units are lent by others.
func (f *fleet) traffic() traffic {
	return traffic{Kind: "retries_per_s", BaseRate: 0.6 * unitsPerNode * 0.5 / 0.9,
		BusyRate: 0.6 * unitsPerNode * 0.5 / 0.1, BusyInterval: 10}
}

// config returns the node configuration without the parts that differ between nodes.
func (f *fleet) config(listAddr string, addrs []string) map[string]any {
	return map[string]any{"discovery": listAddr, "limits": map[string]any{"cores": 1, "sockets": 4096},
		"known": f.listSnapshot(),
		"settings": map[string]any{"balancers": f.size, "tick_us": 5000, "membership_mode": "pushed",
			"ceilings": map[string]any{"dial_timeout_us": 200000, "keepalive_us": 5000000, "max_open": 2000,
				"max_retry_after_us": 1000000, "may_probe": false, "retry_after": true, "send_cap": 3, "peers": true},
			"classes": []any{map[string]any{"name": "c", "effect": "read_like", "deadline_us": 2_000_000}},
			"family_info": map[string]any{"message_aim_us": []float64{300000},
				"tenant_quota_connections": []float64{float64(8 * f.size)}},
			"report": map[string]any{"fields": []string{"x0"}, "via": "probe"},
			"rules": map[string]any{"cold_from": 0.2, "cold_us": 6_000_000, "fall_multiple": 3,
				"fall_us": 1_000_000}},
		"peers":   map[string]any{"nodes": addrs},
		"budgets": map[string]any{"lease": true, "floor": 0.5, "retries_per_s": unitsPerNode * f.size}}
}

// workerProcesses returns all processes except those of the real nodes.
func (f *fleet) workerProcesses() []*workerProcess {
	return append([]*workerProcess{f.list}, f.nodeWorkers...)
}

// spawn starts a worker process and sends it its setup.
func (f *fleet) spawn(p *workerProcess, setup setup) error {
	p.cmd = exec.Command(f.options.Binary, "lab", "scale-part")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	p.cmd.Stderr = os.Stderr
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := f.starter.StartCommand(p.cmd); err != nil {
		return err
	}
	p.commands, p.reports, p.exited = json.NewEncoder(stdin), make(chan report, 100), make(chan struct{})
	go func() {
		decoder := json.NewDecoder(stdout)
		for {
			var r report
			if err := decoder.Decode(&r); err != nil {
				break
			}
			if r.Err != "" {
				f.failf("worker process for role %s: %s", p.role, r.Err)
			}
			if r.Action == "sample" {
				f.recordSample(p, r)
				continue
			}
			select {
			case p.reports <- r:
			default: // drops a report that no caller awaits
			}
		}
		p.cmd.Wait()
		close(p.exited)
	}()
	return p.commands.Encode(command{Action: actionSetup, Setup: &setup})
}

// awaitReport waits for the report on an action.
func (p *workerProcess) awaitReport(action string, timeout time.Duration) (report, error) {
	deadline := time.After(timeout)
	for {
		select {
		case r := <-p.reports:
			if r.Err != "" {
				return r, errors.New(r.Err)
			} else if r.Action == action {
				return r, nil
			}
		case <-p.exited:
			return report{}, fmt.Errorf("worker process for role %s exited before its report on %s", p.role, action)
		case <-deadline:
			return report{}, fmt.Errorf("worker process for role %s did not report on %s within %v",
				p.role, action, timeout)
		}
	}
}

// recordSample adds a periodic report of a worker process to the figures.
func (f *fleet) recordSample(p *workerProcess, r report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range r.Changes {
		f.recordApplied(change.Node, change.From, change.To, time.Unix(0, change.At))
	}
	if units := r.Units; units != nil {
		for i, count := range units.Counts {
			f.unitCounts[units.FirstBucket+int64(i)] += int(count)
		}
	}
	f.leaderStates[p] = r.State
}

// recordApplied records that a node applied the list versions above from and up to to. The caller holds f.mu.
func (f *fleet) recordApplied(node int, from, to int64, appliedAt time.Time) {
	for version := from + 1; version <= to; version++ {
		changedAt, ok := f.changedAt[version]
		if !ok {
			continue
		}
		if returnedAt := f.returnedAt[node]; returnedAt.After(changedAt) {
			changedAt = returnedAt
		}
		if f.applied[version] == nil {
			f.applied[version] = map[int]time.Duration{}
		}
		if _, ok := f.applied[version][node]; !ok {
			f.applied[version][node] = max(appliedAt.Sub(changedAt), 0)
		}
	}
}

// updateList changes an endpoint at the list service.
func (f *fleet) updateList(endpoint emulator.Endpoint) {
	f.mu.Lock()
	f.listVersion++
	f.changedAt[f.listVersion] = time.Now()
	f.mu.Unlock()
	f.list.commands.Encode(command{Action: actionUpdateList, Endpoint: &endpoint})
}

// addServer starts a server and adds it to the endpoint list. A zero startedAt means that it is already warm.
func (f *fleet) addServer(startedAt time.Time) error {
	f.mu.Lock()
	f.lastServerNumber++
	id := "s-" + strconv.Itoa(f.lastServerNumber)
	f.mu.Unlock()
	config := emulator.ServerConfig{
		Capacity: 8 * f.size / serverCount, SlowStartMinCapacity: 0.2, SlowStartWindow: 6 * time.Second,
	}
	server := emulator.NewServer(id, config, startedAt, f.clientStats.observe)
	var unshaped emulator.Direction
	if err := server.Open(func(int) (in, out *emulator.Direction) { return &unshaped, &unshaped }); err != nil {
		return err
	}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	endpoint := emulator.Endpoint{ID: id, Addr: server.Addr(), State: "up", Weight: 1}
	if !startedAt.IsZero() {
		endpoint.Started = startedAt.UnixMilli()
	}
	f.updateList(endpoint)
	return nil
}

// start starts all nodes and returns when they serve.
func (f *fleet) start() error {
	for _, p := range f.nodeWorkers {
		p.commands.Encode(command{Action: actionStart})
	}
	var group sync.WaitGroup
	errs := make(chan error, len(f.nodeWorkers)+len(f.realNodes))
	for _, p := range f.nodeWorkers {
		group.Go(func() {
			if _, err := p.awaitReport(actionStart, 2*time.Minute); err != nil {
				errs <- err
			}
		})
	}
	for _, n := range f.realNodes {
		group.Go(func() {
			if err := f.startRealNode(n); err != nil {
				errs <- err
			}
		})
	}
	group.Wait()
	close(errs)
	return <-errs
}

// changeInterval is the time between two changes of the list on an ordinary day, which has 18,000.
const changeInterval = 4800 * time.Millisecond

// changeList changes the list until the run is over, in turn: it adds a server, drains the oldest, and removes that.
func (f *fleet) changeList() {
	var draining *emulator.Server
	next := time.Now()
	for i := 0; ; i++ {
		if !f.sleep(time.Until(next)) {
			return
		}
		next = next.Add(changeInterval)
		f.mu.Lock()
		oldest := f.servers[0]
		f.mu.Unlock()
		switch i % 3 {
		case 0:
			if err := f.addServer(time.Now()); err != nil {
				f.failf("starting a server: %v", err)
			}
		case 1:
			draining = oldest
			f.mu.Lock()
			f.servers = f.servers[1:]
			f.mu.Unlock()
			f.updateList(emulator.Endpoint{ID: draining.ID, Addr: draining.Addr(), State: "draining", Weight: 1})
			time.AfterFunc(time.Second, draining.Drain)
		case 2:
			f.updateList(emulator.Endpoint{ID: draining.ID, Addr: draining.Addr(), State: "removed", Weight: 1})
			draining.Stop()
		}
	}
}

// sleep waits for d, and reports whether the run goes on.
func (f *fleet) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.done:
		return false
	}
}

// awaitApplied waits until all nodes have applied a list version, and reports whether they did so within the timeout.
func (f *fleet) awaitApplied(version int64, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		applied := len(f.applied[version])
		f.mu.Unlock()
		if applied >= f.size+f.options.ControlNodes-len(f.killed) {
			return true
		}
	}
	return false
}

// leaderCounts returns the number of emulated nodes by leader, and the number of nodes whose leader has a quorum.
func (f *fleet) leaderCounts() (nodesByLeader map[int]int, inQuorum int) {
	nodesByLeader = map[int]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, state := range f.leaderStates {
		for leader, nodes := range state.NodesByLeader {
			nodesByLeader[leader] += nodes
		}
		inQuorum += state.InQuorum
	}
	return nodesByLeader, inQuorum
}

// describeLeaders returns a summary of the number of nodes by leader.
func describeLeaders(nodesByLeader map[int]int) string {
	leaders, mainLeader, followers := 0, -1, 0
	for _, leader := range slices.Sorted(maps.Keys(nodesByLeader)) {
		if nodes := nodesByLeader[leader]; leader >= 0 {
			if leaders++; nodes > followers {
				mainLeader, followers = leader, nodes
			}
		}
	}
	return fmt.Sprintf("%d nodes ask nobody, the others %d keepers, most (%d) number %d",
		nodesByLeader[-1], leaders, followers, mainLeader)
}

// settle waits until all nodes have applied the list and follow a leader, and until the effects of the start are over.
func (f *fleet) settle() {
	if err := f.addServer(time.Now()); err != nil {
		f.failf("starting a server: %v", err)
	}
	if f.result.Settled = f.awaitApplied(f.listVersion, 45*time.Second); !f.result.Settled {
		f.mu.Lock()
		applied := len(f.applied[f.listVersion])
		f.mu.Unlock()
		f.result.Notes = append(f.result.Notes, fmt.Sprintf("the first change was at %d nodes after 45 s", applied))
		f.logf("%s", f.result.Notes[len(f.result.Notes)-1])
	}
	for i := 0; i < 40; i++ {
		if _, inQuorum := f.leaderCounts(); inQuorum > (f.size+f.options.ControlNodes-f.options.RealNodes)*99/100 {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	nodesByLeader, inQuorum := f.leaderCounts()
	f.result.Settled = f.result.Settled && inQuorum > (f.size+f.options.ControlNodes-f.options.RealNodes)*99/100
	f.logf("%s; %d nodes have a leader with a quorum", describeLeaders(nodesByLeader), inQuorum)
	resident := 0.0
	for _, p := range f.workerProcesses() {
		resident += process.ReadUsage(strconv.Itoa(p.cmd.Process.Pid)).Resident
	}
	if f.logf("%.0f MB resident", resident/1e6); resident > totalMemory()/2 {
		f.failf("worker processes use %.0f MB, more than half of the machine's memory", resident/1e6)
	}
	go f.startClients()
	time.Sleep(6 * time.Second) // longer than the term of any lease
}

// measure runs the scenario and collects the figures of all processes over its duration.
func (f *fleet) measure(scenario func()) {
	f.mu.Lock()
	clear(f.changedAt)
	clear(f.unitCounts)
	f.mu.Unlock()
	f.delays.reset()
	go f.delays.run(f.done)
	for _, p := range f.workerProcesses() {
		p.commands.Encode(command{Action: actionBeginMeasurement})
	}
	for _, n := range f.realNodes {
		n.beginMeasurement()
	}
	go f.changeList()
	scenario()
	for _, n := range f.realNodes {
		n.endMeasurement(&f.result.Roles)
	}
	for _, p := range f.workerProcesses() {
		p.commands.Encode(command{Action: actionEndMeasurement})
	}
	byRole := map[string][]*measurement{}
	for _, p := range f.workerProcesses() {
		if p.killed {
			continue
		}
		reply, err := p.awaitReport(actionEndMeasurement, 30*time.Second)
		if err != nil {
			f.failf("%v", err)
			continue
		}
		byRole[p.role] = append(byRole[p.role], reply.Measurement)
		if p.role == "node" { // the processes of other roles may be delayed by the work that is measured
			f.result.MaxDelayMS, f.result.LateSampleRatio = max(f.result.MaxDelayMS, reply.Measurement.MaxDelayMS),
				max(f.result.LateSampleRatio, round(reply.Measurement.LateSampleRatio))
		}
	}
	maxDelay, lateRatio := f.delays.results()
	f.result.MaxDelayMS, f.result.LateSampleRatio =
		max(f.result.MaxDelayMS, maxDelay), max(f.result.LateSampleRatio, round(lateRatio))
	close(f.done)
	for role, measurements := range byRole {
		f.result.Roles[role] = aggregate(measurements)
		for _, m := range measurements {
			if m.PeakRatio > f.result.Peak.Ratio {
				f.result.Peak = Peak{round(m.PeakRatio), role, m.PeakNode}
			}
		}
	}
	var gaps []float64
	warnings := map[string]int{}
	for _, m := range byRole["node"] {
		gaps = append(gaps, m.GrantGaps...)
	}
	for _, measurements := range byRole {
		for _, m := range measurements {
			f.result.Units.Taken += m.Taken
			f.result.Units.Refused += m.Refused
			for message, count := range m.Warnings {
				warnings[message] += count
			}
		}
	}
	for _, message := range slices.Sorted(maps.Keys(warnings)) {
		f.result.Notes = append(f.result.Notes, fmt.Sprintf("%d times logged: %s", warnings[message], message))
	}
	slices.Sort(gaps)
	if len(gaps) > 0 {
		f.result.Units.GapP99, f.result.Units.MaxGap =
			round(gaps[quantileIndex(len(gaps), 0.99)]), round(gaps[len(gaps)-1])
	}
}

// quantileIndex returns the index of a quantile among count sorted values.
func quantileIndex(count int, fraction float64) int {
	return max(int(math.Ceil(fraction*float64(count)))-1, 0)
}

// round rounds x to four significant digits.
func round(x float64) float64 {
	if x == 0 {
		return 0
	}
	digits := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*digits) / digits
}

// aggregate combines the measurements of the processes of a role.
func aggregate(measurements []*measurement) Role {
	role := Role{Processes: len(measurements), Counters: map[string]int64{}}
	var cpu, live, resident, descriptors float64
	for _, m := range measurements {
		role.Nodes += m.Nodes
		cpu, live, resident, descriptors =
			cpu+m.CPU/m.Seconds, live+m.LiveBytes, resident+m.ResidentBytes, descriptors+float64(m.Descriptors)
		role.MaxCPU = max(role.MaxCPU, m.CPU/m.Seconds/float64(m.Nodes))
		role.MaxResidentMB = max(role.MaxResidentMB, m.ResidentBytes/float64(m.Nodes)/1e6)
		in, out, list := m.Flows["in"], m.Flows["out"], m.Flows["list"]
		role.In.merge(in)
		role.Out.merge(out)
		role.List.merge(list)
		for k, v := range m.Counters {
			if v != 0 {
				role.Counters[k] += v
			}
		}
	}
	nodes := float64(role.Nodes)
	role.CPU, role.LiveMB, role.ResidentMB, role.Descriptors =
		round(cpu/nodes), round(live/nodes/1e6), round(resident/nodes/1e6), round(descriptors/nodes)
	role.MaxCPU, role.MaxResidentMB = round(role.MaxCPU), round(role.MaxResidentMB)
	for _, mean := range []*flow{&role.In, &role.Out, &role.List} {
		*mean = flow{round(mean.Messages / nodes), round(mean.Bytes / nodes),
			round(mean.MaxMessages), round(mean.MaxBytes)}
	}
	role.Dropped = role.Counters["peer_dropped"] + role.Counters["overruns"]
	return role
}

// evaluate calculates the results and compares them with the targets.
func (f *fleet) evaluate() {
	nodesByLeader, _ := f.leaderCounts()
	f.mu.Lock()
	defer f.mu.Unlock()
	result := f.result
	now := time.Now()
	medianSum := 0.0
	for version, changedAt := range f.changedAt {
		delays := slices.Sorted(maps.Values(f.applied[version]))
		if len(delays) < f.size+f.options.ControlNodes && now.Sub(changedAt) < maxChangeDelay {
			// Some nodes may still apply it in time.
			continue
		}
		result.Changes.Count++
		for _, i := range f.topology.allNodes() {
			if _, ok := f.applied[version][i]; !ok && !f.killed[i] && now.Sub(f.returnedAt[i]) >= maxChangeDelay {
				result.Changes.Missing++
			}
		}
		if len(delays) > 0 {
			medianSum += delays[quantileIndex(len(delays), 0.5)].Seconds()
			result.Changes.P99 = max(result.Changes.P99, round(delays[quantileIndex(len(delays), 0.99)].Seconds()))
			result.Changes.Max = max(result.Changes.Max, round(delays[len(delays)-1].Seconds()))
		}
	}
	if result.Changes.Count > 0 {
		result.Changes.Median = round(medianSum / float64(result.Changes.Count))
	}
	result.Units.Kind, result.Units.Limit = f.traffic().Kind, unitsPerNode*f.size
	result.Units.MaxPerSecond = maxUnitsPerSecond(f.unitCounts)
	result.Clients = f.clientStats.snapshot()
	result.Targets = f.targets()
	sharedLeaderFollowers := 0
	for leader, nodes := range nodesByLeader {
		if f.options.ControlNodes == 0 && leader >= 0 && !f.hasDedicatedProcess[leader] {
			sharedLeaderFollowers += nodes
		}
	}
	result.Notes = append(result.Notes, "at the end "+describeLeaders(nodesByLeader))
	switch {
	case len(f.failures) > 0:
		result.InvalidReason = f.failures[0]
	case result.MaxDelayMS > maxDelayMS || result.LateSampleRatio > maxLateSampleRatio:
		result.InvalidReason = fmt.Sprintf("the run was %.0f ms late at most, and over %v at %g of its looks",
			result.MaxDelayMS, lateThreshold, result.LateSampleRatio)
	case sharedLeaderFollowers > f.size/100: // the cost of that leader is counted as that of ordinary nodes
		result.Notes = append(result.Notes,
			fmt.Sprintf("%d nodes ask one that shares its process", sharedLeaderFollowers))
	}
}

// maxUnitsPerSecond returns the maximum number of units in any second. A second consists of complete buckets, so that
// no unit outside it is counted.
func maxUnitsPerSecond(buckets map[int64]int) (maximum int) {
	if len(buckets) == 0 {
		return 0
	}
	first, last := int64(math.MaxInt64), int64(0)
	for i := range buckets {
		first, last = min(first, i), max(last, i)
	}
	sum := 0
	for i := first; i <= last; i++ {
		sum += buckets[i] - buckets[i-1000/unitBucketMS]
		maximum = max(maximum, sum)
	}
	return maximum
}

// Limits for the control plane at the planned size, as given by the operators.
const (
	maxNodeCores       = 0.022
	maxControlCores    = 1
	maxNodeMB          = 128
	maxNodeBytes       = 14_000
	maxChangeDelay     = 14 * time.Second
	maxGrantGapSeconds = 4
	maxPeakRatio       = 3
)

// targets compares the figures with their limits.
func (f *fleet) targets() (all []Target) {
	result := f.result
	add := func(name string, value, limit float64) {
		target := Target{Name: name, Value: round(value), Limit: limit, Met: value <= limit}
		if limit > 0 {
			target.Ratio = round(value / limit)
		}
		all = append(all, target)
	}
	for _, role := range []string{"node", "leader", "spare", "control"} {
		r, ok := result.Roles[role]
		if !ok {
			continue
		} else if f.options.ControlNodes > 0 && role != "node" {
			add(role+", a control machine: cores", r.MaxCPU, maxControlCores)
			continue
		}
		add(role+": cores", r.MaxCPU, maxNodeCores)
		memoryMB := r.LiveMB
		if role != "node" { // the node is alone in its process
			memoryMB = r.ResidentMB
		}
		add(role+": MB", memoryMB, maxNodeMB)
		add(role+": bytes a second from and to other nodes and the list service",
			r.In.MaxBytes+r.Out.MaxBytes+r.List.MaxBytes, maxNodeBytes)
	}
	if r, ok := result.Roles["real"]; ok {
		add("real node: MB", r.MaxResidentMB, maxNodeMB)
	}
	add("change in force everywhere: seconds", result.Changes.Max, maxChangeDelay.Seconds())
	add("change never in force: nodes and changes", float64(result.Changes.Missing), 0)
	switch f.options.Scenario {
	case "zone", "region":
		add("most words in a second after the return over the mean, at any receiver", result.Peak.Ratio, maxPeakRatio)
	case "steady", "restarts", "leader": // grants must not be delayed longer by a working leader than by its failure
		add("busy nodes without a grant, 99 in 100: seconds", result.Units.GapP99, maxGrantGapSeconds)
	}
	add("units taken over the whole in any second",
		math.Max(0, float64(result.Units.MaxPerSecond-result.Units.Limit)), 0)
	return all
}

// shutDown stops all processes and servers and closes the sockets.
func (f *fleet) shutDown() {
	select {
	case <-f.done:
	default:
		close(f.done)
	}
	for _, p := range f.workerProcesses() {
		if p == nil || p.exited == nil {
			continue
		}
		p.cmd.Process.Kill()
		<-p.exited
	}
	for _, n := range f.realNodes {
		if n.proc != nil {
			n.proc.Kill()
		}
	}
	f.mu.Lock()
	servers := slices.Clone(f.servers)
	f.mu.Unlock()
	for _, server := range servers {
		server.Stop()
	}
	if f.relay != nil {
		f.relay.Close()
	}
	for _, p := range f.reservedPorts {
		p.Close()
	}
}
