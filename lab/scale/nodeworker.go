package scale

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

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

// isBelowControl reports whether a node sends its requests to control nodes.
func (w *nodeWorker) isBelowControl(n *emulatedNode) bool {
	return w.setup.Topology.ControlNodes > 0 && w.setup.Topology.controlIndex(n.index) < 0
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
