package emulator

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	maxDatagramBytes = 1 << 16
	maxReorderDelay  = 300 * time.Millisecond
	stallTimeout     = time.Minute // a datagram that is held back for longer is dropped
)

// DatagramNetwork relays datagrams between nodes. Each node has one address in the network, to which the other nodes
// send and from which they receive the node's datagrams. Each ordered pair of nodes has a Direction. The methods are
// safe for concurrent use.
type DatagramNetwork struct {
	// SharedDirection returns the Direction of a pair of nodes. If it is nil, each pair has a separate Direction. It
	// must be set before any traffic.
	SharedDirection func(from, to int) *Direction

	mu         sync.Mutex
	rng        *rand.Rand
	sockets    []*nodeSocket
	nodeByAddr map[netip.AddrPort]int // by the address at which the node's process listens
	directions map[[2]int]*Direction
	receivers  sync.WaitGroup
	sent       map[int]traffic // by node
}

// traffic counts the datagrams and bytes that a node has sent.
type traffic struct{ datagrams, bytes int64 }

// nodeSocket is a node's address in the network, with the addresses of the processes behind it.
type nodeSocket struct {
	conn         *net.UDPConn
	processAddrs []netip.AddrPort // of the node's process, or of two processes with the same node ID
}

// datagram is a datagram in transit from one node to another.
type datagram struct {
	from, to int
	payload  []byte
}

// randomNumbers holds the random draws for one datagram: numbers in [0, 1), which are compared with the probabilities
// of faults, and the delay of a reordered or duplicated datagram.
type randomNumbers struct {
	loss, duplicate, reorder float64
	delay                    time.Duration
}

// noFaults holds draws that exceed every probability, so that no fault occurs.
var noFaults = randomNumbers{loss: 1, duplicate: 1, reorder: 1}

// NewDatagramNetwork opens an address for each node. The seed determines the random faults.
func NewDatagramNetwork(nodes int, seed uint64) (*DatagramNetwork, error) {
	network := &DatagramNetwork{
		rng:        rand.New(rand.NewPCG(seed, 2)),
		nodeByAddr: map[netip.AddrPort]int{},
		directions: map[[2]int]*Direction{},
		sent:       map[int]traffic{},
	}
	for node := range nodes {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			network.Close()
			return nil, err
		}
		network.sockets = append(network.sockets, &nodeSocket{conn: conn})
		network.receivers.Go(func() { network.receive(node, conn) })
	}
	return network, nil
}

// Addr returns the address at which the other nodes reach a node.
func (network *DatagramNetwork) Addr(node int) string {
	return network.sockets[node].conn.LocalAddr().String()
}

// Direction returns the direction from one node to another.
func (network *DatagramNetwork) Direction(from, to int) *Direction {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.direction(from, to)
}

// direction is like Direction, but requires network.mu to be held.
func (network *DatagramNetwork) direction(from, to int) *Direction {
	if network.SharedDirection != nil {
		return network.SharedDirection(from, to)
	}
	pair := [2]int{from, to}
	if network.directions[pair] == nil {
		network.directions[pair] = &Direction{}
	}
	return network.directions[pair]
}

// SetNodeAddr sets the address at which a node's process listens, which replaces earlier addresses. If additional is
// true, it adds the address of another process with the same node ID instead.
func (network *DatagramNetwork) SetNodeAddr(node int, addr netip.AddrPort, additional bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	socket := network.sockets[node]
	if !additional {
		for _, oldAddr := range socket.processAddrs {
			delete(network.nodeByAddr, oldAddr)
		}
		socket.processAddrs = nil
	}
	socket.processAddrs, network.nodeByAddr[addr] = append(socket.processAddrs, addr), node
}

// SentBy returns the numbers of datagrams and bytes that a node has sent.
func (network *DatagramNetwork) SentBy(node int) (datagrams, bytes int64) {
	network.mu.Lock()
	defer network.mu.Unlock()
	sent := network.sent[node]
	return sent.datagrams, sent.bytes
}

// receive forwards the datagrams that arrive at a node's address, until the address is closed.
func (network *DatagramNetwork) receive(to int, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, addr, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		network.mu.Lock()
		from, isKnown := network.nodeByAddr[addr]
		if !isKnown { // from a process that has been replaced
			network.mu.Unlock()
			continue
		}
		previous := network.sent[from]
		network.sent[from] = traffic{previous.datagrams + 1, previous.bytes + int64(size)}
		direction := network.direction(from, to)
		random := randomNumbers{
			loss: network.rng.Float64(), duplicate: network.rng.Float64(), reorder: network.rng.Float64(),
		}
		random.delay = time.Duration(network.rng.Float64() * float64(maxReorderDelay))
		network.mu.Unlock()
		network.forward(direction, datagram{from, to, slices.Clone(buffer[:size])}, random)
	}
}

// forward applies the direction's mode and random faults to a datagram.
func (network *DatagramNetwork) forward(direction *Direction, d datagram, random randomNumbers) {
	direction.mu.Lock()
	mode, delay := direction.mode, direction.delay
	lost, duplicated := random.loss < direction.lossProbability, random.duplicate < direction.duplicateProbability
	reordered := random.reorder < direction.reorderProbability
	direction.mu.Unlock()
	switch {
	case mode == Stall:
		direction.Affected[Stall].Add(1)
		network.forwardAfterStall(direction, d)
		return
	case mode != Pass:
		direction.Affected[mode].Add(1)
		return
	case lost:
		direction.RandomFaults.Add(1)
		return
	}
	if delay > 0 {
		direction.Delayed.Add(1)
	}
	if reordered {
		direction.RandomFaults.Add(1)
		delay += random.delay
	}
	network.deliverAfter(delay, d)
	if duplicated {
		direction.RandomFaults.Add(1)
		network.deliverAfter(delay+random.delay, d)
	}
}

// forwardAfterStall forwards a datagram without random faults once the direction's mode changes. It drops the datagram
// after stallTimeout.
func (network *DatagramNetwork) forwardAfterStall(direction *Direction, d datagram) {
	_, _, changed := direction.state()
	go func() {
		select {
		case <-changed:
			network.forward(direction, d, noFaults)
		case <-time.After(stallTimeout):
		}
	}()
}

func (network *DatagramNetwork) deliverAfter(delay time.Duration, d datagram) {
	if delay == 0 {
		network.deliver(d)
	} else {
		time.AfterFunc(delay, func() { network.deliver(d) })
	}
}

func (network *DatagramNetwork) deliver(d datagram) {
	network.mu.Lock()
	conn, processAddrs := network.sockets[d.from].conn, slices.Clone(network.sockets[d.to].processAddrs)
	network.mu.Unlock()
	for _, addr := range processAddrs {
		conn.WriteToUDPAddrPort(d.payload, addr)
	}
}

// Close closes all addresses and waits until their receivers have returned.
func (network *DatagramNetwork) Close() {
	for _, socket := range network.sockets {
		socket.conn.Close()
	}
	network.receivers.Wait()
}
