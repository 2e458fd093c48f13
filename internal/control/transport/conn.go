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

// maxQueuedDatagrams is the maximum number of datagrams that wait to be sent.
const maxQueuedDatagrams = 512

// listenRetryInterval is the time between attempts to bind an address that another process still uses.
const listenRetryInterval = 200 * time.Millisecond

// parentReceiveBufferSize is the requested size of a control machine's socket receive buffer, in bytes. All children
// may send at once after the failure of another control machine. The system may grant less.
const parentReceiveBufferSize = 1 << 20

// readBufferSize is larger than any UDP datagram, in bytes.
const readBufferSize = 1 << 16

// Conn sends and receives a node's messages on one UDP socket. Its methods are safe for concurrent use.
type Conn struct {
	Counters Counters

	cfg       Config
	log       *zap.Logger
	socket    atomic.Pointer[net.UDPConn] // nil until the address is bound
	peers     atomic.Pointer[addressBook]
	sendQueue chan outgoingDatagram

	created          time.Time
	lastLoggedSecond atomic.Int64 // last second in which a rejection was logged; the first second after created is 1
}

// outgoingDatagram is a datagram in the send queue.
type outgoingDatagram struct {
	to   netip.AddrPort
	data []byte
}

// Handler handles a received message, given the index and address of its sender. The handler may retain the body.
type Handler func(from int, addr netip.AddrPort, body []byte)

// New returns a Conn that listens at the configured address. If binding the address fails and Config.RetryListen is
// set, Serve retries it. The Conn sends and receives while Serve runs.
func New(cfg Config, log *zap.Logger) (*Conn, error) {
	c := &Conn{cfg: cfg, log: log, created: time.Now(), sendQueue: make(chan outgoingDatagram, maxQueuedDatagrams)}
	if err := c.SetPeers(cfg.Peers); err != nil {
		return nil, err
	}
	if err := transient.Retry(c.listen); err != nil && !cfg.RetryListen {
		return nil, err
	}
	return c, nil
}

// SetPeers replaces the addresses of the peers. If one is invalid, it returns an error and changes none.
func (c *Conn) SetPeers(peers []string) error {
	book, err := newAddressBook(peers)
	if err != nil {
		return err
	}
	c.peers.Store(book)
	return nil
}

// Addr returns the address of the socket, or nil if the address is not bound yet.
func (c *Conn) Addr() net.Addr {
	if socket := c.socket.Load(); socket != nil {
		return socket.LocalAddr()
	}
	return nil
}

// Close closes the socket of a Conn for which Serve was never called.
func (c *Conn) Close() {
	if socket := c.socket.Load(); socket != nil {
		socket.Close()
	}
}

func (c *Conn) listen() error {
	addr, err := net.ResolveUDPAddr("udp", c.cfg.Listen)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	c.socket.Store(socket)
	if c.cfg.Role == Parent {
		c.log.Info("listening for children", zap.Stringer("address", socket.LocalAddr()),
			zap.Int("max_children", c.cfg.MaxChildren))
	} else {
		c.log.Info("listening for peers", zap.Stringer("address", socket.LocalAddr()),
			zap.Int("peers", len(c.peers.Load().addrs)))
	}
	return nil
}

// Serve sends and receives until ctx is done, and then closes the socket. It calls handle for each valid message,
// always from the same goroutine.
func (c *Conn) Serve(ctx context.Context, handle Handler) {
	for c.socket.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(listenRetryInterval):
			c.listen() // fails while another process uses the address
		}
	}
	socket := c.socket.Load()
	if c.cfg.Role == Parent {
		socket.SetReadBuffer(parentReceiveBufferSize)
	}
	go c.writeLoop(ctx, socket)
	buffer := make([]byte, readBufferSize)
	for {
		n, addr, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // ICMP error caused by a datagram sent earlier
		}
		c.receive(buffer[:n], netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), handle)
	}
}

func (c *Conn) writeLoop(ctx context.Context, socket *net.UDPConn) {
	for {
		select {
		case <-ctx.Done():
			socket.Close()
			return
		case datagram := <-c.sendQueue:
			c.writeDatagram(socket, datagram)
		}
	}
}

// writeDatagram sends a datagram, subject to the simulated link if there is one.
func (c *Conn) writeDatagram(socket *net.UDPConn, datagram outgoingDatagram) {
	send := func() error {
		_, err := socket.WriteToUDPAddrPort(datagram.data, datagram.to)
		return err
	}
	var err error
	if c.cfg.SimulateLink == nil {
		err = send()
	} else if delay, ok := c.cfg.SimulateLink(datagram.to); ok && delay > 0 {
		time.AfterFunc(delay, func() { send() })
	} else if ok {
		err = send()
	}
	if err != nil {
		c.Counters.Dropped.Add(1)
		return
	}
	c.Counters.Sent.Add(1)
	c.Counters.SentBytes.Add(int64(len(datagram.data)))
}

// Send queues a message to the peer with index to. It drops the message if there is no such peer, if the peer is this
// node, or if the queue is full. It never blocks.
func (c *Conn) Send(to int, message cbor.Marshaler) {
	addrs := c.peers.Load().addrs
	if to < 0 || to >= len(addrs) || c.cfg.Role == Member && to == c.cfg.Index {
		c.Counters.Dropped.Add(1)
		return
	}
	c.SendTo(addrs[to], message)
}

// SendTo queues a message to an address, such as the one from which a child sent. It drops the message if the queue is
// full. It never blocks.
func (c *Conn) SendTo(to netip.AddrPort, message cbor.Marshaler) {
	body, err := message.MarshalCBOR()
	if err != nil {
		c.Counters.Dropped.Add(1)
		return
	}
	data, err := cbor.Marshal(envelope{Version: Version, Kind: c.cfg.Role.messageKind(), SenderIndex: c.cfg.Index,
		Body: body})
	if err != nil || len(data) > MaxDatagramSize {
		c.Counters.Dropped.Add(1)
		c.log.Error("message not sent: too long", zap.Int("bytes", len(data)))
		return
	}
	select {
	case c.sendQueue <- outgoingDatagram{to, data}:
	default:
		c.Counters.Dropped.Add(1)
	}
}
