package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"brassmux/internal/transient"
)

// maxQueued bounds the datagrams that wait to be sent.
const maxQueued = 512

// listenRetryInterval is the time between attempts to take an address that another process still has.
const listenRetryInterval = 200 * time.Millisecond

// parentReadBuffer is the wanted size of a control machine's receive buffer, in bytes: all children may send at once
// after another control machine's death. The system may allow less.
const parentReadBuffer = 1 << 20

// maxRead is over the length of any datagram, in bytes.
const maxRead = 1 << 16

// Conn is a node's socket for messages. Its methods are safe for concurrent use.
type Conn struct {
	Counters Counters

	cfg   Config
	log   *zap.Logger
	conn  atomic.Pointer[net.UDPConn] // nil while another process has the address
	peers atomic.Pointer[addressBook]
	queue chan datagram

	created    time.Time
	lastLogged atomic.Int64 // the second since created, counted from 1, in which a rejected datagram was logged
}

// datagram waits to be sent.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// Handler takes in a message: its sender's number and address, and its body, which the handler may keep.
type Handler func(from int, addr netip.AddrPort, body []byte)

// New makes a connection and takes its address, if that is not inherited from another process. It sends and receives
// once Serve runs.
func New(cfg Config, log *zap.Logger) (*Conn, error) {
	c := &Conn{cfg: cfg, log: log, created: time.Now(), queue: make(chan datagram, maxQueued)}
	if err := c.SetPeers(cfg.Peers); err != nil {
		return nil, err
	}
	if err := transient.Retry(c.listen); err != nil && !cfg.RetryListen {
		return nil, err
	}
	return c, nil
}

// SetPeers replaces the peers' addresses. On an error the former ones stay.
func (c *Conn) SetPeers(peers []string) error {
	book, err := newAddressBook(peers)
	if err != nil {
		return err
	}
	c.peers.Store(book)
	return nil
}

// Addr is this node's own address; nil while another process still has it.
func (c *Conn) Addr() net.Addr {
	if conn := c.conn.Load(); conn != nil {
		return conn.LocalAddr()
	}
	return nil
}

// Close closes the socket of a connection that was never served.
func (c *Conn) Close() {
	if conn := c.conn.Load(); conn != nil {
		conn.Close()
	}
}

func (c *Conn) listen() error {
	addr, err := net.ResolveUDPAddr("udp", c.cfg.Listen)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	c.conn.Store(conn)
	if c.cfg.Role == Parent {
		c.log.Info("listening for children", zap.Stringer("address", conn.LocalAddr()),
			zap.Int("max_children", c.cfg.MaxChildren))
	} else {
		c.log.Info("listening for peers", zap.Stringer("address", conn.LocalAddr()),
			zap.Int("peers", len(c.peers.Load().addrs)))
	}
	return nil
}

// Serve sends and receives until ctx ends, and then closes the socket. It calls handle for each valid message, from one
// goroutine.
func (c *Conn) Serve(ctx context.Context, handle Handler) {
	for c.conn.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(listenRetryInterval):
			c.listen() // fails while the other process has the address
		}
	}
	conn := c.conn.Load()
	if c.cfg.Role == Parent {
		conn.SetReadBuffer(parentReadBuffer)
	}
	go c.writeQueued(ctx, conn)
	buffer := make([]byte, maxRead)
	for {
		n, addr, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // an ICMP error in answer to an earlier datagram
		}
		c.receive(buffer[:n], netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), handle)
	}
}

func (c *Conn) writeQueued(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case <-ctx.Done():
			conn.Close()
			return
		case d := <-c.queue:
			c.write(conn, d)
		}
	}
}

// write sends a datagram, or has the laboratory's link delay or lose it.
func (c *Conn) write(conn *net.UDPConn, d datagram) {
	send := func() error {
		_, err := conn.WriteToUDPAddrPort(d.data, d.to)
		return err
	}
	var err error
	if c.cfg.SimulateLink == nil {
		err = send()
	} else if delay, ok := c.cfg.SimulateLink(d.to); ok && delay > 0 {
		time.AfterFunc(delay, func() { send() })
	} else if ok {
		err = send()
	}
	if err != nil {
		c.Counters.Dropped.Add(1)
		return
	}
	c.Counters.Sent.Add(1)
	c.Counters.SentBytes.Add(int64(len(d.data)))
}

// Send queues a message to the peer with a number. It drops the message where no peer has the number, where the peer is
// this node itself, or where the queue is full. It never blocks.
func (c *Conn) Send(to int, message cbor.Marshaler) {
	addrs := c.peers.Load().addrs
	if to < 0 || to >= len(addrs) || c.cfg.Role == Member && to == c.cfg.Index {
		c.Counters.Dropped.Add(1)
		return
	}
	c.SendTo(addrs[to], message)
}

// SendTo queues a message to an address, such as one that a child sent from. It drops the message where the queue is
// full. It never blocks.
func (c *Conn) SendTo(to netip.AddrPort, message cbor.Marshaler) {
	body, err := message.MarshalCBOR()
	if err != nil {
		c.Counters.Dropped.Add(1)
		return
	}
	data, err := cbor.Marshal(envelope{Version: Version, Kind: c.cfg.Role.messageKind(), From: c.cfg.Index, Body: body})
	if err != nil || len(data) > MaxDatagramSize {
		c.Counters.Dropped.Add(1)
		c.log.Error("message not sent: too long", zap.Int("bytes", len(data)))
		return
	}
	select {
	case c.queue <- datagram{to, data}:
	default:
		c.Counters.Dropped.Add(1)
	}
}
