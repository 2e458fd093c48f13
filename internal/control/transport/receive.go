package transport

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// rejection is why a datagram is dropped: what is logged, and the counter of that reason.
type rejection struct {
	reason  string
	counter *atomic.Int64
}

// receive checks a datagram and hands its message on, or counts and drops it.
func (c *Conn) receive(data []byte, addr netip.AddrPort, handle Handler) {
	message, rejected := c.open(data, addr)
	if rejected != nil {
		rejected.counter.Add(1)
		c.logRejected(rejected.reason, addr)
		return
	}
	c.Counters.Received.Add(1)
	c.Counters.ReceivedBytes.Add(int64(len(data)))
	handle(message.From, addr, slices.Clone(message.Body))
}

// open takes a datagram out of its envelope, whose From is then the sender's number at this node.
func (c *Conn) open(data []byte, addr netip.AddrPort) (*envelope, *rejection) {
	number, known := c.peers.Load().numbers[addr]
	if !known && c.cfg.Role != Parent {
		return nil, &rejection{"datagram from an unknown address", &c.Counters.UnknownSender}
	}
	if len(data) > MaxDatagramSize {
		return nil, &rejection{"datagram is too long", &c.Counters.TooLong}
	}
	var e envelope
	err := cbor.Unmarshal(data, &e)
	if err != nil && !hasOtherVersion(data) {
		return nil, &rejection{"datagram is unreadable", &c.Counters.Unreadable}
	}
	if err != nil || e.Version != Version {
		return nil, &rejection{"datagram of another version", &c.Counters.OtherVersion}
	}
	if !c.isFrom(e.From, number) {
		return nil, &rejection{"datagram under an invalid node number", &c.Counters.UnknownSender}
	}
	if e.Kind != c.cfg.Role.messageKind() {
		return nil, &rejection{"datagram of another kind", &c.Counters.Unreadable}
	}
	if c.cfg.Role == Child { // the sender counts itself among the control machines, which each child orders on its own
		e.From = number
	}
	return &e, nil
}

// arrayMajorType is the CBOR type of an envelope, in the three high bits of its first byte (RFC 8949, section 3.1).
const arrayMajorType = 4

// hasOtherVersion reports whether an unreadable datagram is an envelope of another version, which stands first in all
// versions.
func hasOtherVersion(data []byte) bool {
	return len(data) > 1 && data[0]>>5 == arrayMajorType && data[1] != Version
}

// isFrom reports whether a sender may use a number, where the peer with its address has number addressNumber.
func (c *Conn) isFrom(from, addressNumber int) bool {
	switch c.cfg.Role {
	case Member:
		return from == addressNumber && from != c.cfg.Index
	case Parent:
		return from >= 0 && from < c.cfg.MaxChildren
	}
	return true
}

// logRejected logs at most once a second, so that a stranger cannot fill the log.
func (c *Conn) logRejected(reason string, addr netip.AddrPort) {
	second := int64(time.Since(c.created)/time.Second) + 1
	if c.lastLogged.Swap(second) != second {
		c.log.Warn(reason, zap.Stringer("addr", addr))
	}
}
