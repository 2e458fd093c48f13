// Package transport exchanges messages between nodes as UDP datagrams. It owns the sockets, wraps messages in
// envelopes, checks their senders and counts them; package budget defines the messages. Datagrams are not
// authenticated, so the network has to be reachable by nodes only.
package transport

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the datagram format. Datagrams of another version are counted and dropped.
const Version = 3

// MaxDatagramSize is the maximum size of a datagram in bytes. It fits into one packet on any usual network, so that
// datagrams are not fragmented.
const MaxDatagramSize = 1400

// MessageKind identifies the nodes between which a message is sent.
type MessageKind uint8

// The message kinds, with their values in a datagram.
const (
	GroupMessage MessageKind = 1 + iota // between members of a group
	ChildMessage                        // between a node and its control machines
)

// envelope is the content of a datagram, encoded as a CBOR array.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	Kind        MessageKind
	SenderIndex int // index of the sending node
	Body        cbor.RawMessage
}

// Role is a node's role on a socket. It determines the node's peers and how their datagrams are identified.
type Role int

// The roles of a node.
const (
	Member Role = iota // of a group; members identify one another by address
	Child              // of control machines, which it identifies by address
	Parent             // a control machine; it identifies children by index and responds to the address they sent from
)

// Config is the configuration of a Conn.
type Config struct {
	Role        Role
	Listen      string // this node's address; port 0 selects a free port
	Index       int    // this node's index; Parent: its index among the control machines
	MaxChildren int    // Parent: the indexes of children are below it

	// Peers are the addresses at which the peers receive and from which they send. Member: all members by index;
	// Child: the control machines in order of preference; Parent: none.
	Peers []string

	// RetryListen is set where another process of this node may still use the address. A failure to bind it is then
	// retried until that process has ended.
	RetryListen bool

	// SimulateLink returns the delay of a datagram, or ok = false to drop it. It is set in the laboratory only; nil
	// sends each datagram at once.
	SimulateLink func(to netip.AddrPort) (delay time.Duration, ok bool)
}

// messageKind returns the kind of the messages that are sent and received in the role.
func (r Role) messageKind() MessageKind {
	if r == Member {
		return GroupMessage
	}
	return ChildMessage
}

// Counters count the datagrams of a Conn.
type Counters struct {
	Sent, SentBytes         atomic.Int64
	Received, ReceivedBytes atomic.Int64
	Dropped                 atomic.Int64 // not sent, or received but not handled as a queue was full
	UnknownSender           atomic.Int64 // received from an address or with an index of no peer
	OtherVersion            atomic.Int64 // received with another Version
	Unreadable              atomic.Int64 // received in an invalid format or with another MessageKind
	TooLong                 atomic.Int64 // received with more than MaxDatagramSize bytes
}

// addressBook maps the indexes of peers to their addresses and back.
type addressBook struct {
	addrs   []netip.AddrPort
	indexes map[netip.AddrPort]int
}

func newAddressBook(peers []string) (*addressBook, error) {
	book := &addressBook{indexes: map[netip.AddrPort]int{}}
	for i, peer := range peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("address of peer %d: %w", i, err)
		}
		book.addrs = append(book.addrs, addr)
		book.indexes[addr] = i
	}
	return book, nil
}

// AddressError reports an invalid address in the configuration.
type AddressError struct {
	Key     string // of the address in the configuration
	Address string
	Reason  string
}

func (e *AddressError) Error() string { return fmt.Sprintf("%s: %q %s", e.Key, e.Address, e.Reason) }

// CheckListenAddress checks a node's own address, which has to contain a port. It returns an *AddressError for an
// invalid address.
func CheckListenAddress(key, listen string) error {
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "" {
		return &AddressError{key, listen, "is no address with a port"}
	}
	return nil
}

// CheckPeerAddresses checks the addresses of peers, which have to be distinct IP addresses with ports. It returns an
// *AddressError for the first invalid address.
func CheckPeerAddresses(key string, peers []string) error {
	indexes := map[netip.AddrPort]int{}
	for i, peer := range peers {
		elementKey := fmt.Sprintf("%s[%d]", key, i)
		addr, err := netip.ParseAddrPort(peer)
		if err != nil || addr.Port() == 0 {
			return &AddressError{elementKey, peer, "is no IP address with a port"}
		}
		if first, ok := indexes[addr]; ok {
			return &AddressError{elementKey, peer, fmt.Sprintf("is that of %s[%d] too", key, first)}
		}
		indexes[addr] = i
	}
	return nil
}
