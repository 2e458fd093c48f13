// Package transport carries messages between nodes as UDP datagrams: it frames them, checks who sent them and counts
// them. It owns the sockets and decides nothing; package budget says what is sent and what a message means. Datagrams
// bear no signature, so they belong on a network that only nodes reach.
package transport

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is that of the datagrams' form. A datagram of another version is counted and dropped.
const Version = 3

// MaxDatagramSize bounds a datagram, in bytes: it fits a packet of any usual network, so that none is fragmented.
const MaxDatagramSize = 1400

// MessageKind says between which nodes a message goes.
type MessageKind uint8

// The kinds, as they stand in a datagram.
const (
	GroupMessage MessageKind = 1 + iota // among the members of a group
	ChildMessage                        // between a node and its control machines
)

// envelope is the form of a datagram.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Kind    MessageKind
	From    int // the sender's number
	Body    cbor.RawMessage
}

// Role says with whom a node exchanges messages, and how it knows them.
type Role int

// The roles of a node.
const (
	Member Role = iota // of a group, in which all know one another by address
	Child              // below control machines, which it knows by address
	Parent             // a control machine, which knows its children by number and answers where they sent from
)

// Config says where the nodes are.
type Config struct {
	Role        Role
	Listen      string // this node's own address; port 0 takes a free one
	Index       int    // this node's number; Parent: among the control machines
	MaxChildren int    // Parent: the numbers of children are below it

	// Peers is where each peer is reached and sends from. Member: all members by number; Child: the control machines
	// by preference; Parent: none.
	Peers []string

	// RetryListen says that another process of this node may still have the address: the connection then takes it once
	// that has ended.
	RetryListen bool

	// SimulateLink delays a datagram, or drops it where ok is false; nil does neither. The laboratory sets it.
	SimulateLink func(to netip.AddrPort) (delay time.Duration, ok bool)
}

// messageKind is the kind of all messages of a role.
func (r Role) messageKind() MessageKind {
	if r == Member {
		return GroupMessage
	}
	return ChildMessage
}

// Counters counts datagrams.
type Counters struct {
	Sent, SentBytes         atomic.Int64
	Received, ReceivedBytes atomic.Int64
	Dropped                 atomic.Int64 // not sent, or not handled since a queue was full
	UnknownSender           atomic.Int64 // from an address or under a number that no peer has
	OtherVersion            atomic.Int64
	Unreadable              atomic.Int64 // of another form or kind
	TooLong                 atomic.Int64 // over MaxDatagramSize
}

// addressBook holds the peers' addresses, by number and back.
type addressBook struct {
	addrs   []netip.AddrPort
	numbers map[netip.AddrPort]int
}

func newAddressBook(peers []string) (*addressBook, error) {
	book := &addressBook{numbers: map[netip.AddrPort]int{}}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("nodes[%d]: %w", i, err)
		}
		book.addrs = append(book.addrs, addr)
		book.numbers[addr] = i
	}
	return book, nil
}

// AddressError says that an address of the configuration cannot be used.
type AddressError struct {
	Key     string // of the configuration
	Address string
	Reason  string
}

func (e *AddressError) Error() string { return fmt.Sprintf("%s: %q %s", e.Key, e.Address, e.Reason) }

// CheckListenAddress checks a node's own address, which has to name a port. It fails with an AddressError.
func CheckListenAddress(key, listen string) error {
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "" {
		return &AddressError{key, listen, "is no address with a port"}
	}
	return nil
}

// CheckPeerAddresses checks the addresses of peers, which have to be IP addresses with ports, each of them another. It
// fails with an AddressError.
func CheckPeerAddresses(key string, peers []string) error {
	seen := map[netip.AddrPort]int{}
	for i, text := range peers {
		element := fmt.Sprintf("%s[%d]", key, i)
		addr, err := netip.ParseAddrPort(text)
		if err != nil || addr.Port() == 0 {
			return &AddressError{element, text, "is no IP address with a port"}
		}
		if before, ok := seen[addr]; ok {
			return &AddressError{element, text, fmt.Sprintf("is that of %s[%d] too", key, before)}
		}
		seen[addr] = i
	}
	return nil
}
