package transport

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// rejection is the reason for which a received datagram is dropped.
type rejection struct {
	reason  string        // log message
	counter *atomic.Int64 // of the datagrams dropped for this reason
}

// receive passes the message of a valid datagram to handle, and counts and drops an invalid one.
func (c *Conn) receive(data []byte, addr netip.AddrPort, handle Handler) {
	message, rejected := c.decodeEnvelope(data, addr)
	if rejected != nil {
		rejected.counter.Add(1)
		c.logRejection(rejected.reason, addr)
		return
	}
	c.Counters.Received.Add(1)
	c.Counters.ReceivedBytes.Add(int64(len(data)))
	handle(message.SenderIndex, addr, slices.Clone(message.Body))
}

// decodeEnvelope decodes and checks a datagram. The SenderIndex of the returned envelope is an index into this node's
// peers or, at a control machine, the index of a child.
func (c *Conn) decodeEnvelope(data []byte, addr netip.AddrPort) (*envelope, *rejection) {
	index, known := c.peers.Load().indexes[addr]
	if !known && c.cfg.Role != Parent {
		return nil, &rejection{"datagram from an unknown address", &c.Counters.UnknownSender}
	}
	if len(data) > MaxDatagramSize {
		return nil, &rejection{"datagram is too long", &c.Counters.TooLong}
	}
	var message envelope
	err := cbor.Unmarshal(data, &message)
	if err != nil && !hasOtherVersion(data) {
		return nil, &rejection{"datagram is unreadable", &c.Counters.Unreadable}
	}
	if err != nil || message.Version != Version {
		return nil, &rejection{"datagram of another version", &c.Counters.OtherVersion}
	}
	if !c.isValidSender(message.SenderIndex, index) {
		return nil, &rejection{"datagram under an invalid node number", &c.Counters.UnknownSender}
	}
	if message.Kind != c.cfg.Role.messageKind() {
		return nil, &rejection{"datagram of another kind", &c.Counters.Unreadable}
	}
	if c.cfg.Role == Child { // control machines send their own index, but each child lists them in its own order
		message.SenderIndex = index
	}
	return &message, nil
}

// cborArrayMajorType is the CBOR major type of an envelope, in the three high bits of its first byte (RFC 8949, section
// 3.1).
const cborArrayMajorType = 4

// hasOtherVersion reports whether a datagram that cannot be decoded is an envelope of another version. The version is
// the first element of the array in all versions.
func hasOtherVersion(data []byte) bool {
	return len(data) > 1 && data[0]>>5 == cborArrayMajorType && data[1] != Version
}

// isValidSender reports whether a datagram may carry senderIndex. addressIndex is the index of the peer from whose
// address it was received.
func (c *Conn) isValidSender(senderIndex, addressIndex int) bool {
	switch c.cfg.Role {
	case Member:
		return senderIndex == addressIndex && senderIndex != c.cfg.Index
	case Parent:
		return senderIndex >= 0 && senderIndex < c.cfg.MaxChildren
	}
	return true
}

// logRejection logs at most one rejected datagram per second, so that an unknown sender cannot fill the log.
func (c *Conn) logRejection(reason string, addr netip.AddrPort) {
	second := int64(time.Since(c.created)/time.Second) + 1
	if c.lastLoggedSecond.Swap(second) != second {
		c.log.Warn(reason, zap.Stringer("addr", addr))
	}
}
