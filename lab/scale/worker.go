package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"brassmux/internal/discovery"
	"brassmux/lab/emulator"
	"brassmux/lab/process"
	"brassmux/node"
)

// RunWorker runs one worker process, which emulates nodes or the list service. It executes commands from in until
// in ends and writes its reports to out.
func RunWorker(in io.Reader, out io.Writer) error {
	w := &worker{out: json.NewEncoder(out)}
	commands := bufio.NewScanner(in)
	commands.Buffer(nil, 1<<24)
	go w.delays.run(nil)
	for commands.Scan() {
		var cmd command
		if err := json.Unmarshal(commands.Bytes(), &cmd); err != nil {
			return err
		}
		if err := w.execute(cmd); err != nil {
			w.send(report{Action: cmd.Action, Err: err.Error()})
			return err
		}
	}
	return commands.Err()
}

// worker is the state of a worker process that does not depend on its role.
type worker struct {
	mu   sync.Mutex
	out  *json.Encoder
	role interface {
		execute(cmd command) error
		fill(m *measurement) // sets the figures that depend on the role
	}
	delays     delayMonitor
	startedAt  time.Time
	startUsage process.Usage
}

// send writes a report to the coordinator. It is safe for concurrent use.
func (w *worker) send(r report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Encode(r)
}

// execute carries out a command, or passes it to the role.
func (w *worker) execute(cmd command) error {
	switch cmd.Action {
	case actionSetup:
		runtime.GOMAXPROCS(2) // as on a small machine; it also keeps each garbage collector from using all cores
		var err error
		if cmd.Setup.Role == "list" {
			w.role, err = newListWorker(w, cmd.Setup)
		} else {
			w.role, err = newNodeWorker(w, cmd.Setup)
		}
		return err
	case actionBeginMeasurement:
		w.startUsage, w.startedAt = ownUsage(), time.Now()
		w.delays.reset()
	case actionEndMeasurement:
		usage := ownUsage()
		m := &measurement{Seconds: time.Since(w.startedAt).Seconds(), CPU: (usage.CPU - w.startUsage.CPU).Seconds(),
			ResidentBytes: usage.Resident, Descriptors: usage.Descriptors, Flows: map[string]flow{}}
		m.MaxDelayMS, m.LateSampleRatio = w.delays.results()
		w.role.fill(m)
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		m.LiveBytes = float64(mem.HeapAlloc + mem.StackInuse)
		w.send(report{Action: cmd.Action, Measurement: m})
		return nil
	}
	return w.role.execute(cmd)
}

// delaySampleInterval is the time between two samples of the delay of a process. A sample above lateThreshold counts
// as late: this is also the timeout of a request for a unit.
const (
	delaySampleInterval = 20 * time.Millisecond
	lateThreshold       = unitTimeout
)

// delayMonitor measures how much later than planned a sleeping goroutine of the process resumes.
type delayMonitor struct {
	mu                   sync.Mutex
	maxDelay             time.Duration
	samples, lateSamples float64
}

// run takes samples until done is closed.
func (m *delayMonitor) run(done <-chan struct{}) {
	for {
		start := time.Now()
		select {
		case <-done:
			return
		case <-time.After(delaySampleInterval):
		}
		delay := time.Since(start) - delaySampleInterval
		m.mu.Lock()
		m.maxDelay = max(m.maxDelay, delay)
		if m.samples++; delay > lateThreshold {
			m.lateSamples++
		}
		m.mu.Unlock()
	}
}

// reset discards all samples.
func (m *delayMonitor) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxDelay, m.samples, m.lateSamples = 0, 0, 0
}

// results returns the maximum delay in milliseconds and the fraction of the samples that were late.
func (m *delayMonitor) results() (maxDelayMS, lateRatio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.maxDelay.Microseconds()) / 1000, m.lateSamples / max(m.samples, 1)
}

// ownUsage returns the resource usage of this process. The CPU time is exact to the microsecond.
func ownUsage() process.Usage {
	var rusage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	usage := process.ReadUsage("self")
	usage.CPU = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	return usage
}

// listWorker is the role of the process that runs the list service.
type listWorker struct {
	worker        *worker
	list          *emulator.ListService
	links         *links
	streamLinks   streamLinks // of real nodes; emulated nodes shape their own streams
	isReal        map[int]bool
	calls         atomic.Int64
	failedCalls   atomic.Int64
	notifications atomic.Int64
	mu            sync.Mutex
	peak          peakMeter
}

func newListWorker(w *worker, setup *setup) (*listWorker, error) {
	l := &listWorker{worker: w, links: newLinks(setup.Links), isReal: map[int]bool{}}
	for index := range setup.RealNodeAddrs {
		l.isReal[index] = true
	}
	config := emulator.ListConfig{CallsPerSecond: setup.CallsPerSecond, QueueTimeout: 2 * time.Second}
	l.list = emulator.NewListService(config, func(emulator.Notification) { l.notifications.Add(1) },
		func(call emulator.Call) {
			l.calls.Add(1)
			if call.Failed {
				l.failedCalls.Add(1)
			}
		})
	go func() {
		for range time.Tick(time.Second) {
			l.mu.Lock()
			l.peak.sample(l.calls.Load(), l.notifications.Load()+l.calls.Load())
			l.mu.Unlock()
		}
	}()
	l.streamLinks.update(l.links, listServiceZone)
	var unshaped emulator.Direction
	if err := l.list.Open(func(index int) (in, out *emulator.Direction) {
		if !l.isReal[index] {
			return &unshaped, &unshaped
		}
		return &l.streamLinks[zoneOf(index)].in, &l.streamLinks[zoneOf(index)].out
	}); err != nil {
		return nil, err
	}
	w.send(report{Action: actionSetup, Addr: l.list.Addr()})
	return l, nil
}

func (l *listWorker) execute(cmd command) error {
	switch cmd.Action {
	case actionUpdateList:
		l.list.Update(*cmd.Endpoint)
	case actionPartition:
		l.links.partition.Store(cmd.Partition)
		l.streamLinks.update(l.links, listServiceZone)
	case actionMark:
		l.mu.Lock()
		l.peak.mark()
		l.mu.Unlock()
	case actionStart, actionBeginMeasurement:
		l.calls.Store(0)
		l.failedCalls.Store(0)
		l.notifications.Store(0)
		l.mu.Lock()
		l.peak.reset()
		l.mu.Unlock()
	}
	return nil
}

// fill sets the figures of the list service.
func (l *listWorker) fill(m *measurement) {
	m.Nodes = 1
	m.Counters = map[string]int64{"calls": l.calls.Load(), "calls_failed": l.failedCalls.Load(),
		"told": l.notifications.Load()}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.PeakRatio, m.PeakNode = l.peak.ratio(), -1
}

// nodeWorker is the role of a process that runs emulated nodes.
type nodeWorker struct {
	worker         *worker
	setup          *setup
	links          *links
	realNodeByAddr map[netip.AddrPort]int
	streamLinks    map[int]*streamLinks // by the zone of the nodes
	nodes          []*emulatedNode
	serving        atomic.Int64
	mu             sync.Mutex
	changes        []appliedChange
	warnings       map[string]int

	firstUnitBucket   int64
	unitCounts        []int32
	taken             atomic.Int64
	refused           atomic.Int64
	socketDropsBefore int64
}

// emulatedNode runs the control code of a node under synthetic traffic.
type emulatedNode struct {
	worker          *nodeWorker
	index           int
	node            atomic.Pointer[node.Node]
	unreachable     atomic.Bool // its links drop all traffic
	stop            context.CancelFunc
	stopped         chan struct{}
	conns           sync.Map     // open connections to the list service
	listBytes       atomic.Int64 // bytes received from the list service
	busy            bool
	sharedNodeAddrs []string // addresses of all nodes, kept once per process

	// Guarded by worker.mu.
	version   int64
	leader    int
	hasQuorum bool

	// Guarded by worker.mu, and used for measurements only.
	countersBefore  map[string]int64
	listBytesBefore int64
	earlierCounters map[string]int64 // sums over the earlier starts of this node
	peak            peakMeter
	lastLeased      int64
	lastGrant       time.Time
	maxGrantGap     time.Duration
}

func newNodeWorker(parent *worker, setup *setup) (*nodeWorker, error) {
	w := &nodeWorker{worker: parent, setup: setup, links: newLinks(setup.Links),
		realNodeByAddr: map[netip.AddrPort]int{}, streamLinks: map[int]*streamLinks{}, warnings: map[string]int{}}
	for index, addr := range setup.RealNodeAddrs {
		addrPort, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		w.realNodeByAddr[addrPort] = index
	}
	for _, index := range setup.Nodes {
		if zone := zoneOf(index); w.streamLinks[zone] == nil {
			w.streamLinks[zone] = &streamLinks{}
			w.streamLinks[zone].update(w.links, zone)
		}
		w.nodes = append(w.nodes,
			&emulatedNode{worker: w, index: index, leader: -1, busy: setup.Traffic.isBusy(index)})
	}
	return w, nil
}

func (w *nodeWorker) execute(cmd command) error {
	switch cmd.Action {
	case actionStart:
		for _, n := range w.nodes {
			if err := n.start(); err != nil {
				return fmt.Errorf("node %d: %w", n.index, err)
			}
		}
		for w.serving.Load() < int64(len(w.nodes)) {
			time.Sleep(10 * time.Millisecond)
		}
		w.worker.send(report{Action: actionStart, Serving: len(w.nodes)})
		go w.generateTraffic()
		go w.runSampler()
	case actionPartition:
		w.links.partition.Store(cmd.Partition)
		for zone, links := range w.streamLinks {
			links.update(w.links, zone)
		}
	case actionKill:
		for _, n := range w.nodesWithIndex(cmd.Nodes) {
			n.kill()
		}
	case actionRevive, actionRestart:
		w.mu.Lock()
		w.setup.KnownList = cmd.KnownList
		w.mu.Unlock()
		go func() {
			for _, n := range w.nodesWithIndex(cmd.Nodes) {
				if err := n.restart(); err != nil {
					w.worker.send(report{Action: cmd.Action, Err: fmt.Sprintf("node %d: %v", n.index, err)})
				}
			}
		}()
	case actionMark:
		w.mu.Lock()
		for _, n := range w.nodes {
			n.peak.mark()
			n.lastGrant, n.maxGrantGap = time.Now(), 0
		}
		w.mu.Unlock()
	case actionBeginMeasurement:
		w.mu.Lock()
		w.taken.Store(0)
		w.refused.Store(0)
		for _, n := range w.nodes {
			n.countersBefore, n.listBytesBefore = n.counters(), n.listBytes.Load()
			n.peak.reset()
			n.lastGrant, n.maxGrantGap = time.Now(), 0
		}
		w.socketDropsBefore = w.socketDrops()
		w.mu.Unlock()
	}
	return nil
}

// nodesWithIndex returns the nodes of this process that are among indexes.
func (w *nodeWorker) nodesWithIndex(indexes []int) (found []*emulatedNode) {
	for _, n := range w.nodes {
		if slices.Contains(indexes, n.index) {
			found = append(found, n)
		}
	}
	return found
}

// kill emulates a loss of power: it drops all traffic of the node before it shuts the node down, so that no peer
// notices the shutdown.
func (n *emulatedNode) kill() {
	n.unreachable.Store(true)
	n.conns.Range(func(c, _ any) bool {
		c.(net.Conn).Close()
		return true
	})
	n.stop()
}

// restart shuts the node down and starts it again.
func (n *emulatedNode) restart() error {
	n.stop()
	<-n.stopped
	n.worker.mu.Lock()
	n.earlierCounters = n.counters()
	n.worker.mu.Unlock()
	n.unreachable.Store(false)
	return n.start()
}

// socketCloseTimeout bounds how long a stopped node may take to close its sockets. Unlike the end of a process, which
// closes them at once, this depends on the goroutines of the node.
const socketCloseTimeout = 5 * time.Second

// start creates the node and runs it.
func (n *emulatedNode) start() error {
	var config node.Config
	if err := json.Unmarshal(n.worker.setup.Config, &config); err != nil {
		return err
	}
	if firstNode := n.worker.nodes[0]; n != firstNode { // without control nodes, the addresses of all nodes
		config.Peers.NodeAddrs = firstNode.sharedNodeAddrs
	}
	n.sharedNodeAddrs = config.Peers.NodeAddrs
	zone := zoneOf(n.index)
	config.Name, config.Listen = "h"+strconv.Itoa(n.index), "127.0.0.1:0"
	config.Settings.NodeIndex, config.Seed =
		n.index, strconv.FormatUint(n.worker.setup.Seed<<20+uint64(n.index)+1, 16)
	topology := n.worker.setup.Topology
	config.Peers.Listen = emulatedAddr(n.index, topology.PeerPort).String()
	if controlIndex := topology.controlIndex(n.index); topology.ControlNodes > 0 && controlIndex >= 0 {
		config.Peers.ChildListen, config.Peers.ControlIndex =
			emulatedAddr(n.index, topology.ChildPort).String(), controlIndex
		for i := range topology.ControlNodes {
			config.Peers.NodeAddrs = append(config.Peers.NodeAddrs,
				emulatedAddr(topology.firstControlNode()+i, topology.PeerPort).String())
		}
	} else if topology.ControlNodes > 0 {
		for _, i := range topology.controlOrder(n.index) {
			config.Peers.ControlAddrs = append(config.Peers.ControlAddrs,
				emulatedAddr(topology.firstControlNode()+i, topology.ChildPort).String())
		}
	}
	config.Source = emulator.SourceAddr(n.index).String()
	config.TestOptions.LogEndpointLists = true
	n.worker.mu.Lock()
	knownList := n.worker.setup.KnownList
	n.worker.mu.Unlock()
	if knownList != nil {
		config.InitialEndpoints = discovery.EndpointList{}
		if err := json.Unmarshal(knownList, &config.InitialEndpoints); err != nil {
			return err
		}
	}
	n.worker.mu.Lock()
	n.version, n.leader, n.hasQuorum = config.InitialEndpoints.Version, -1, false
	n.worker.mu.Unlock()
	config.TestOptions.PeerLink = func(to netip.AddrPort) (time.Duration, bool) {
		if n.unreachable.Load() {
			return 0, false
		}
		peer := emulatedNodeAt(to.Addr())
		if peer < 0 {
			peer = n.worker.realNodeByAddr[to]
		}
		return n.worker.links.datagramDelay(zone, zoneOf(peer))
	}
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(emulator.SourceAddr(n.index), 0))}
	streamLink := &n.worker.streamLinks[zone][listServiceZone]
	config.TestOptions.DialDiscovery = func(ctx context.Context, network, addr string) (net.Conn, error) {
		delay, _, blocked := n.worker.links.between(zone, listServiceZone)
		if blocked || n.unreachable.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		select {
		case <-time.After(2 * delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		counted := &countingConn{emulator.Wrap(conn.(*net.TCPConn), &streamLink.in, &streamLink.out), n}
		n.conns.Store(counted, true)
		return counted, nil
	}
	created, err := node.New(config, zap.New(&logObserver{n}))
	// Retries while the node's previous start still holds the socket.
	for deadline := time.Now().Add(socketCloseTimeout); err != nil && errors.Is(err, syscall.EADDRINUSE) &&
		time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
		created, err = node.New(config, zap.New(&logObserver{n}))
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	n.stop, n.stopped = cancel, stopped
	n.node.Store(created)
	go func() {
		created.Run(ctx)
		close(stopped)
	}()
	return nil
}

// countingConn counts the bytes that a node reads from the list service.
type countingConn struct {
	net.Conn
	node *emulatedNode
}

func (c *countingConn) Close() error {
	c.node.conns.Delete(c)
	return c.Conn.Close()
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.listBytes.Add(int64(n))
	return n, err
}

// logObserver is a logging core that reads the state of a node from its log entries.
type logObserver struct{ node *emulatedNode }

func (o *logObserver) Enabled(level zapcore.Level) bool  { return level >= zapcore.InfoLevel }
func (o *logObserver) With([]zapcore.Field) zapcore.Core { return o }
func (o *logObserver) Sync() error                       { return nil }
func (o *logObserver) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if o.Enabled(entry.Level) {
		return checked.AddCore(entry, o)
	}
	return checked
}

func (o *logObserver) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	w := o.node.worker
	switch entry.Message {
	case "serving":
		w.serving.Add(1)
	case "list in force":
		now := time.Now().UnixNano()
		w.mu.Lock()
		for _, field := range fields {
			if field.Key == "version" && field.Integer > o.node.version {
				w.changes = append(w.changes, appliedChange{o.node.index, o.node.version, field.Integer, now})
				o.node.version = field.Integer
			}
		}
		w.mu.Unlock()
	case "quota group":
		w.mu.Lock()
		for _, field := range fields {
			switch field.Key {
			case "leader":
				o.node.leader = int(field.Integer)
			case "has_quorum":
				o.node.hasQuorum = field.Integer == 1
			}
		}
		w.mu.Unlock()
	}
	if entry.Level >= zapcore.WarnLevel {
		w.mu.Lock()
		w.warnings[entry.Message]++
		w.mu.Unlock()
	}
	return nil
}

// isBelowControl reports whether a node sends its requests to control nodes.
func (w *nodeWorker) isBelowControl(n *emulatedNode) bool {
	return w.setup.Topology.ControlNodes > 0 && w.setup.Topology.controlIndex(n.index) < 0
}

// counters returns the node's counters, summed over all its starts.
func (n *emulatedNode) counters() map[string]int64 {
	totals := maps.Clone(n.earlierCounters)
	if totals == nil {
		totals = map[string]int64{}
	}
	for _, field := range n.node.Load().Counters() {
		totals[field.Key] += field.Integer
	}
	return totals
}

// generateTraffic requests units for the nodes at random times, whatever the result of earlier requests (open loop).
func (w *nodeWorker) generateTraffic() {
	traffic := w.setup.Traffic
	rng := rand.New(rand.NewPCG(w.setup.Seed, uint64(w.setup.Nodes[0])+7))
	var busy, others []*emulatedNode
	for _, n := range w.nodes {
		if n.busy {
			busy = append(busy, n)
		} else {
			others = append(others, n)
		}
	}
	busyRate, baseRate := float64(len(busy))*traffic.BusyRate, float64(len(others))*traffic.BaseRate
	if busyRate+baseRate <= 0 {
		return
	}
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rng.ExpFloat64() / (busyRate + baseRate) * float64(time.Second)))
		time.Sleep(time.Until(next))
		nodes := others
		if rng.Float64()*(busyRate+baseRate) < busyRate {
			nodes = busy
		}
		n := nodes[rng.IntN(len(nodes))]
		if n.unreachable.Load() { // its clients use other nodes
			continue
		}
		if err := n.node.Load().Acquire(traffic.Kind, 0, unitTimeout, w.recordAcquire); err != nil {
			w.worker.send(report{Action: "draw", Err: err.Error()})
			return
		}
	}
}

// unitTimeout is the timeout of a request for a unit. The program's own requests use the same.
const unitTimeout = 100 * time.Millisecond

// recordAcquire counts the result of a request for a unit.
func (w *nodeWorker) recordAcquire(granted bool) {
	if !granted {
		w.refused.Add(1)
		return
	}
	w.taken.Add(1)
	bucket := time.Now().UnixMilli() / unitBucketMS
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unitCounts) == 0 {
		w.firstUnitBucket = bucket
	}
	for int64(len(w.unitCounts)) <= bucket-w.firstUnitBucket {
		w.unitCounts = append(w.unitCounts, 0)
	}
	if bucket >= w.firstUnitBucket {
		w.unitCounts[bucket-w.firstUnitBucket]++
	}
}

// sampleInterval is the time between two samples of the nodes of a process, and between two reports of them.
const sampleInterval = 200 * time.Millisecond

// runSampler reports changes, units and leaders, and updates the load peaks and grant gaps of the nodes.
func (w *nodeWorker) runSampler() {
	for turn := 0; ; turn++ {
		time.Sleep(sampleInterval)
		now := time.Now()
		r := report{Action: "sample", State: &leaderState{NodesByLeader: map[int]int{}}}
		w.mu.Lock()
		r.Changes, w.changes = w.changes, nil
		if len(w.unitCounts) > 0 {
			r.Units = &unitCounts{w.firstUnitBucket, w.unitCounts}
			w.unitCounts = nil
		}
		for _, n := range w.nodes {
			r.State.NodesByLeader[n.leader]++
			if n.hasQuorum || w.isBelowControl(n) && n.leader >= 0 {
				r.State.InQuorum++
			}
		}
		w.mu.Unlock()
		w.worker.send(r)
		for _, n := range w.nodes {
			onSecond := turn%int(time.Second/sampleInterval) == 0
			if !n.busy && !onSecond {
				continue
			}
			w.mu.Lock()
			counters := n.counters()
			if onSecond {
				messages := counters["peer_words"] + counters["child_words"]
				n.peak.sample(messages, messages)
			}
			leased := counters["budget_leased"]
			n.maxGrantGap = max(n.maxGrantGap, now.Sub(n.lastGrant))
			if leased > n.lastLeased {
				n.lastLeased, n.lastGrant = leased, now
			}
			w.mu.Unlock()
		}
	}
}

// fill sets the figures of the emulated nodes.
func (w *nodeWorker) fill(m *measurement) {
	m.Nodes, m.Counters = len(w.nodes), map[string]int64{}
	var in, out, list flow
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		delta := n.counters()
		for k, v := range n.countersBefore {
			if k != "budget_followers" && k != "budget_children" { // gauges, which are not differences
				delta[k] -= v
			}
		}
		for k, v := range delta {
			m.Counters[k] += v
		}
		in.add(float64(delta["peer_words"]+delta["child_words"])/m.Seconds,
			float64(delta["peer_bytes"]+delta["child_bytes"])/m.Seconds)
		out.add(float64(delta["peer_words_sent"]+delta["child_words_sent"])/m.Seconds,
			float64(delta["peer_bytes_sent"]+delta["child_bytes_sent"])/m.Seconds)
		list.add(float64(delta["list_changes"])/m.Seconds,
			float64(n.listBytes.Load()-n.listBytesBefore)/m.Seconds)
		if ratio := n.peak.ratio(); ratio > m.PeakRatio {
			m.PeakRatio, m.PeakNode = ratio, n.index
		}
		if n.busy {
			m.GrantGaps = append(m.GrantGaps, n.maxGrantGap.Seconds())
		}
	}
	m.Counters["overruns"] = w.socketDrops() - w.socketDropsBefore
	m.Flows["in"], m.Flows["out"], m.Flows["list"] = in, out, list
	m.Taken, m.Refused, m.Warnings = w.taken.Load(), w.refused.Load(), maps.Clone(w.warnings)
}

// socketDrops returns the number of datagrams dropped because the receive buffers of the nodes' sockets were full.
func (w *nodeWorker) socketDrops() (total int64) {
	localAddrs := map[string]bool{}
	for _, n := range w.nodes {
		for _, port := range []int{w.setup.Topology.PeerPort, w.setup.Topology.ChildPort} {
			addr := emulatedAddr(n.index, port)
			ip := addr.Addr().As4()
			localAddrs[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], addr.Port())] = true
		}
	}
	data, err := os.ReadFile("/proc/self/net/udp")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 12 && localAddrs[fields[1]] {
			drops, _ := strconv.ParseInt(fields[12], 10, 64)
			total += drops
		}
	}
	return total
}

// totalMemory returns the memory of the machine in bytes.
func totalMemory() float64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return float64(info.Totalram) * float64(info.Unit)
}

// peakMeter measures the load peak at one receiver, second by second: the mean of its load before the mark, and the
// maximum of the received messages per second after it.
type peakMeter struct {
	lastReceived, handledAtStart int64
	maxRate                      float64
	startedAt                    time.Time
	markedAt                     time.Time
	baselineRate                 float64
	sampledAt                    time.Time // time of lastReceived
}

// minBaselineRate is the lowest baseline in messages per second. Below it, the messages of one second vary too much by
// chance.
const minBaselineRate = 10

func (p *peakMeter) reset() { *p = peakMeter{} }

// sample takes the totals of the messages received and of the messages handled so far.
func (p *peakMeter) sample(received, handled int64) {
	now := time.Now()
	switch {
	case p.startedAt.IsZero():
		p.handledAtStart, p.startedAt = handled, now
	case p.markedAt.IsZero():
		p.baselineRate = float64(handled-p.handledAtStart) / now.Sub(p.startedAt).Seconds()
	default: // the second that contains the mark counts as a whole
		p.maxRate = max(p.maxRate, float64(received-p.lastReceived)/now.Sub(p.sampledAt).Seconds())
	}
	p.lastReceived, p.sampledAt = received, now
}

// mark ends the baseline.
func (p *peakMeter) mark() { p.markedAt = time.Now() }

// ratio returns the maximum rate divided by the baseline, or 0 without a mark.
func (p *peakMeter) ratio() float64 { return p.maxRate / max(p.baselineRate, minBaselineRate) }
