// Package scale measures the cost of the control plane in fleets of growing size on one machine. A fleet consists of
// emulated nodes, which run the program's own control code under synthetic traffic, real node processes that serve
// real clients, and a list service; the links between them have the delays and losses of zones and regions. The cost
// for each role is compared with its target at the planned fleet size.
package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"brassmux/lab/emulator"
	"brassmux/lab/process"
)

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
