// Package emulator emulates the systems that a node communicates with: servers, the list service, and the links between
// these systems and the nodes, for connections and datagrams. Each has faults that callers can switch on and off. The
// package neither schedules faults nor checks the behavior of the nodes.
package emulator

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Mode determines how one direction of a link handles its traffic.
type Mode int

// Modes of a direction.
const (
	Pass  Mode = iota // all traffic is delivered
	Drop              // bytes and datagrams are discarded; connections stay open
	Stall             // bytes and datagrams are held back until the mode changes; datagrams for at most stallTimeout
	Reset             // connections are reset at the next bytes; datagrams are discarded
	Cut               // half of the next bytes are delivered, then the connection is reset; datagrams are discarded
	modeCount
)

// Direction is one direction of a link. The zero value delivers all traffic. It may be shared by many connections, and
// its methods are safe for concurrent use.
type Direction struct {
	mu                   sync.Mutex
	mode                 Mode
	delay                time.Duration
	lossProbability      float64 // the three probabilities apply to datagrams only
	duplicateProbability float64
	reorderProbability   float64
	changed              chan struct{} // closed at the next change of the mode or delay; nil without a waiter

	Affected     [modeCount]atomic.Int64 // reads, writes or datagrams affected by each mode
	RandomFaults atomic.Int64            // datagrams that were lost, duplicated or reordered
	Delayed      atomic.Int64            // reads, writes or datagrams that were delayed
}

// Set sets the mode and the delay of delivered traffic.
func (d *Direction) Set(mode Mode, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode, d.delay = mode, delay
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// SetRandomFaults sets the probabilities, from 0 to 1, that a datagram is lost, duplicated or reordered.
func (d *Direction) SetRandomFaults(loss, duplicate, reorder float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lossProbability, d.duplicateProbability, d.reorderProbability = loss, duplicate, reorder
}

// state returns the mode, the delay and a channel that is closed when they change.
func (d *Direction) state() (Mode, time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.mode, d.delay, d.changed
}

// errLinkBroken is returned by reads and writes on a connection that a link fault has reset.
var errLinkBroken = errors.New("connection reset by a link fault")

// conn is a connection with a Direction for reads and one for writes.
type conn struct {
	*net.TCPConn
	in, out   *Direction
	node      int // node at the other end
	closed    chan struct{}
	closeOnce sync.Once
	arrivedAt atomic.Int64 // arrival of the last bytes, before any delay; Unix time in nanoseconds
}

// Wrap returns a connection with the mode and delay of in applied to reads from c, and those of out to writes.
func Wrap(c *net.TCPConn, in, out *Direction) net.Conn {
	return &conn{TCPConn: c, in: in, out: out, closed: make(chan struct{})}
}

// ArrivedAt returns the time at which the last bytes arrived, before the link delayed them.
func (c *conn) ArrivedAt() time.Time { return time.Unix(0, c.arrivedAt.Load()) }

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// Abort resets the connection, like the end of the process that holds it.
func (c *conn) Abort() {
	c.SetLinger(0)
	c.Close()
}

// applyFaults waits as long as the direction delays n bytes, and returns the number of bytes to deliver. A negative
// number means that the bytes are discarded.
func (c *conn) applyFaults(d *Direction, n int) (int, error) {
	for delayApplied := false; ; {
		mode, delay, changed := d.state()
		if delay > 0 && !delayApplied {
			delayApplied = true
			d.Delayed.Add(1)
			select {
			case <-time.After(delay):
			case <-c.closed:
				return 0, net.ErrClosed
			}
			continue
		}
		if mode != Pass {
			d.Affected[mode].Add(1)
		}
		switch mode {
		case Drop:
			return -1, nil
		case Reset:
			c.Abort()
			return 0, errLinkBroken
		case Cut:
			return n / 2, errLinkBroken
		case Stall:
			select {
			case <-changed:
			case <-c.closed:
				return 0, net.ErrClosed
			}
		default:
			return n, nil
		}
	}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n == 0 {
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // the end of the stream is delayed like bytes
				if passed, linkErr := c.applyFaults(c.in, 0); linkErr == nil && passed < 0 {
					<-c.closed // the end of the stream is discarded too
				}
			}
			return n, err
		}
		c.arrivedAt.Store(time.Now().UnixNano())
		passed, linkErr := c.applyFaults(c.in, n)
		switch {
		case passed < 0:
			continue
		case linkErr != nil:
			defer c.Abort()
			return passed, linkErr
		}
		return n, err
	}
}

func (c *conn) Write(p []byte) (int, error) {
	passed, linkErr := c.applyFaults(c.out, len(p))
	switch {
	case passed < 0:
		return len(p), nil
	case linkErr != nil:
		if passed > 0 {
			c.TCPConn.Write(p[:passed])
		}
		c.Abort()
		return 0, linkErr
	}
	return c.TCPConn.Write(p)
}

// SourceAddr returns the address from which a node connects. It identifies the node to listeners.
func SourceAddr(node int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(node / 250), byte(node%250 + 1)})
}

// nodeOf returns the node that connects from an address, or -1 if there is none.
func nodeOf(addr netip.AddrPort) int {
	octets := addr.Addr().Unmap().As4()
	if octets[0] != 127 || octets[1] != 1 || octets[3] == 0 {
		return -1
	}
	return int(octets[2])*250 + int(octets[3]) - 1
}

// Links returns the directions of a node's link: in from the node, and out to the node.
type Links func(node int) (in, out *Direction)

// listener accepts connections of nodes and applies the directions of their links.
type listener struct {
	*net.TCPListener
	links Links
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		node := nodeOf(c.RemoteAddr().(*net.TCPAddr).AddrPort())
		if node < 0 { // the peer is not a node
			c.Close()
			continue
		}
		in, out := l.links(node)
		wrapped := Wrap(c, in, out).(*conn)
		wrapped.node = node
		return wrapped, nil
	}
}

// Listen opens a listener on a free loopback port. It accepts connections from nodes and closes all others.
func Listen(links Links) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &listener{l, links}, nil
}
