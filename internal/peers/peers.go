// Package peers carries words between the nodes as datagrams. It knows the nodes by their configured addresses and decides
// nothing. It belongs on a network that only nodes reach: words bear no signature.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// Version of the words. One of another version is counted and dropped.
const Version = 2

// Bounds: of a word, so that it fits a datagram on any network without being cut in pieces; of the words that wait to be sent.
const (
	WordMost = 1400
	waitMost = 512
)

// Kind tells what a word is about.
type Kind uint8

// Budget words are those of package budget.
const Budget Kind = 1

// frame is what a datagram holds.
type frame struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    Kind
	From    int
	Body    cbor.RawMessage
}

// Config says where the nodes are.
type Config struct {
	Listen string   // this node's own address; port 0 takes a free one
	Nodes  []string // of all nodes, by number: where each is reached, and where its words come from
	Index  int      // this node's number
	Wait   bool     // another process of this node may still have the address
}

// Conn is this node's end. Its methods may be called from any goroutine.
type Conn struct {
	cfg   Config
	log   *zap.Logger
	conn  atomic.Pointer[net.UDPConn]
	nodes []netip.AddrPort
	from  map[netip.AddrPort]int
	queue chan letter
	last  atomic.Int64 // when a strange word was last logged
	Count Counts
}

type letter struct {
	to   int
	data []byte
}

// Counts counts words: sent, received; not sent for want of room; from an unknown address; of another version; unreadable.
type Counts struct{ Sent, Bytes, Received, Dropped, Unknown, Version, Unreadable atomic.Int64 }

// Check names what is wrong with the addresses.
func Check(listen string, nodes []string) error {
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "" {
		return fmt.Errorf("listen: %q is no address with a port", listen)
	}
	seen := map[netip.AddrPort]int{}
	for i, text := range nodes {
		addr, err := netip.ParseAddrPort(text)
		if err != nil || addr.Port() == 0 {
			return fmt.Errorf("nodes[%d]: %q is no IP address with a port", i, text)
		}
		if before, ok := seen[addr]; ok {
			return fmt.Errorf("nodes[%d]: %q is that of nodes[%d] too", i, text, before)
		}
		seen[addr] = i
	}
	return nil
}

// New takes the address.
func New(cfg Config, log *zap.Logger) (*Conn, error) {
	c := &Conn{cfg: cfg, log: log, from: map[netip.AddrPort]int{}, queue: make(chan letter, waitMost)}
	for i, text := range cfg.Nodes {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("nodes[%d]: %w", i, err)
		}
		c.nodes = append(c.nodes, addr)
		c.from[addr] = i
	}
	if err := c.listen(); err != nil && !cfg.Wait {
		return nil, err
	}
	return c, nil
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
	c.log.Info("peers", zap.String("peers", conn.LocalAddr().String()), zap.Int("nodes", len(c.nodes)))
	return nil
}

// listenEvery is how often a process whose address is another's yet tries to take it.
const listenEvery = 200 * time.Millisecond

// Serve sends and receives until ctx ends. heard gets each word with its sender's number; the body is its own.
func (c *Conn) Serve(ctx context.Context, heard func(from int, kind Kind, body []byte)) {
	for c.conn.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(listenEvery):
			c.listen()
		}
	}
	conn := c.conn.Load()
	go func() {
		for {
			select {
			case <-ctx.Done():
				conn.Close()
				return
			case l := <-c.queue:
				if _, err := conn.WriteToUDPAddrPort(l.data, c.nodes[l.to]); err == nil {
					c.Count.Sent.Add(1)
					c.Count.Bytes.Add(int64(len(l.data)))
				} else {
					c.Count.Dropped.Add(1)
				}
			}
		}
	}()
	buf := make([]byte, 1<<16)
	for {
		n, addr, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // a word of ours met nobody
		}
		c.take(buf[:n], netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), heard)
	}
}

func (c *Conn) take(data []byte, addr netip.AddrPort, heard func(int, Kind, []byte)) {
	from, ok := c.from[addr]
	if !ok {
		c.Count.Unknown.Add(1)
		c.strange("a word from an unknown address", addr)
		return
	}
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		// The version comes first, so that a word of another form is known as such.
		if len(data) > 1 && data[0]>>5 == 4 && data[1] != Version {
			c.Count.Version.Add(1)
			c.strange("a word of another version", addr)
			return
		}
		c.Count.Unreadable.Add(1)
		c.strange("a word that is no word", addr)
		return
	}
	if f.Version != Version {
		c.Count.Version.Add(1)
		c.strange("a word of another version", addr)
		return
	} else if f.From != from || from == c.cfg.Index {
		c.Count.Unknown.Add(1)
		c.strange("a word under another's number", addr)
		return
	}
	c.Count.Received.Add(1)
	heard(from, f.Kind, append([]byte(nil), f.Body...))
}

// strange logs once a second at the most.
func (c *Conn) strange(what string, addr netip.AddrPort) {
	now := time.Now().Unix()
	if c.last.Swap(now) != now {
		c.log.Warn(what, zap.Stringer("addr", addr))
	}
}

// Tell sends a word to a node, or drops it where too many wait. It never blocks.
func (c *Conn) Tell(to int, kind Kind, word any) {
	body, err := cbor.Marshal(word)
	if err != nil || to < 0 || to >= len(c.nodes) || to == c.cfg.Index {
		c.Count.Dropped.Add(1)
		return
	}
	data, err := cbor.Marshal(frame{Version: Version, Kind: kind, From: c.cfg.Index, Body: body})
	if err != nil || len(data) > WordMost {
		c.Count.Dropped.Add(1)
		c.log.Error("a word that is too long is not sent", zap.Int("bytes", len(data)))
		return
	}
	select {
	case c.queue <- letter{to, data}:
	default:
		c.Count.Dropped.Add(1)
	}
}

// Read reads the body of a word. Bounds are the codec's: no deeper than the words are, and no array that the body has no room for.
func Read(body []byte, word any) error { return cbor.Unmarshal(body, word) }
