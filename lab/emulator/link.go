// Package emulator has stand-ins for the systems around a node: servers, the list service, and the links between them
// and the nodes, for connections and for datagrams, each with faults that can be switched on. Which faults happen when,
// and whether the nodes behave, is left to its callers.
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

// Mode is what one direction of a link does with its traffic.
type Mode int

// The modes of a direction.
const (
	Pass  Mode = iota // everything is delivered
	Drop              // bytes and datagrams vanish; the connection stays
	Stall             // bytes are held back until the mode changes, and so are datagrams, for a time
	Reset             // connections are reset at the next bytes; datagrams vanish
	Cut               // half of the next bytes are delivered, then the connection is reset; datagrams vanish
	modes
)

// Direction is one direction of a link. The zero value passes everything. It may be shared by many connections, and its
// methods may be called from any goroutine.
type Direction struct {
	mu                   sync.Mutex
	mode                 Mode
	delay                time.Duration
	lossProbability      float64 // this one and the next two apply to datagrams only
	duplicateProbability float64
	reorderProbability   float64
	changed              chan struct{}

	Affected     [modes]atomic.Int64 // reads, writes or datagrams that each mode was applied to, by mode
	RandomFaults atomic.Int64        // datagrams that were lost, duplicated or reordered
	Delayed      atomic.Int64        // reads, writes or datagrams that were delayed
}

// Set sets the mode from now on, and the delay of what is delivered.
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

func (d *Direction) state() (Mode, time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.mode, d.delay, d.changed
}

// errLinkBroken is what this end sees of a connection that its link reset.
var errLinkBroken = errors.New("the link broke")

// conn is a connection whose two directions can have faults.
type conn struct {
	*net.TCPConn
	in, out   *Direction
	node      int // at the other end
	closed    chan struct{}
	once      sync.Once
	arrivedAt atomic.Int64 // when bytes last arrived, before any delay; Unix time in nanoseconds
}

// Wrap returns a connection that applies in to what is read from c, and out to what is written to it.
func Wrap(c *net.TCPConn, in, out *Direction) net.Conn {
	return &conn{TCPConn: c, in: in, out: out, closed: make(chan struct{})}
}

// ArrivedAt returns when the bytes read last arrived, before the link delayed them.
func (c *conn) ArrivedAt() time.Time { return time.Unix(0, c.arrivedAt.Load()) }

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// Abort resets the connection, as the end of its process would.
func (c *conn) Abort() {
	c.SetLinger(0)
	c.Close()
}

// gate waits as long as the direction delays n bytes, and returns how many of them pass; a negative number means that
// they vanish.
func (c *conn) gate(d *Direction, n int) (int, error) {
	for waited := false; ; {
		mode, delay, changed := d.state()
		if delay > 0 && !waited {
			waited = true
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
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // the end of the stream is delayed as bytes are
				if passed, cut := c.gate(c.in, 0); cut == nil && passed < 0 {
					<-c.closed // the end vanishes too
				}
			}
			return n, err
		}
		c.arrivedAt.Store(time.Now().UnixNano())
		passed, cut := c.gate(c.in, n)
		switch {
		case passed < 0:
			continue
		case cut != nil:
			defer c.Abort()
			return passed, cut
		}
		return n, err
	}
}

func (c *conn) Write(p []byte) (int, error) {
	passed, cut := c.gate(c.out, len(p))
	switch {
	case passed < 0:
		return len(p), nil
	case cut != nil:
		if passed > 0 {
			c.TCPConn.Write(p[:passed])
		}
		c.Abort()
		return 0, cut
	}
	return c.TCPConn.Write(p)
}

// SourceAddr returns the address from which a node connects, which identifies its links.
func SourceAddr(node int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(node / 250), byte(node%250 + 1)})
}

// nodeOf returns the node that connects from an address; -1 for none.
func nodeOf(addr netip.AddrPort) int {
	a := addr.Addr().Unmap().As4()
	if a[0] != 127 || a[1] != 1 || a[3] == 0 {
		return -1
	}
	return int(a[2])*250 + int(a[3]) - 1
}

// Links returns both directions of a node's link: from the node and to it.
type Links func(node int) (in, out *Direction)

// listener accepts the connections of all nodes.
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
		if node < 0 { // of another program
			c.Close()
			continue
		}
		in, out := l.links(node)
		w := Wrap(c, in, out).(*conn)
		w.node = node
		return w, nil
	}
}

// Listen opens a listener on a free loopback port that accepts the links of all nodes, and of no one else.
func Listen(links Links) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &listener{l, links}, nil
}
