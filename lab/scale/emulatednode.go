package scale

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"brassmux/internal/discovery"
	"brassmux/lab/emulator"
	"brassmux/node"
)

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
