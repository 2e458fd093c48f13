package transport

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/zap"

	"brassmux/budget"
)

// goldenDatagram is a datagram that is recorded in a golden file.
type goldenDatagram struct {
	file        string // name without the extension
	sender      Config // unless it is a Parent, Peers[1] is the address of the receiver
	receiver    Config
	message     budget.Message
	senderIndex int // of the sender, as the receiver reports it
}

func goldenDatagrams() []goldenDatagram {
	id := func(subject uint64) budget.ID { return budget.ID{Kind: 3, Subject: subject, Since: -9} }
	request := budget.LeaseRequest{Incarnation: 1<<64 - 1, Seq: 70000, LeaderClock: 1 << 40, Leader: 1 << 33,
		Delegated: []budget.Amount{{ID: id(1), Units: 2}}, DelegatesUnlisted: true,
		ConcurrencyHeld: []budget.Amount{{ID: id(2), Units: 300}}, Acknowledged: 69999,
		Wanted:   []budget.Amount{{ID: id(1 << 63), Units: 16}, {ID: id(4), Units: 1}},
		Releases: []budget.Release{{Grant: 5, Used: 1, SinceUse: 400_000_000}}, ReleasesTo: 77, Leaving: true}
	response := budget.LeaseResponse{Incarnation: 1 << 33, Seq: 70000, GrantsExpireIn: 1 << 41, Follower: 1<<64 - 1,
		RenewsConcurrencyLeases: true, Grants: []budget.Grant{{ID: id(4), Units: 2, Number: 6}}, HasQuorum: true,
		DuplicateIndex: true, Leaving: true}
	senderAddr, receiverAddr := "127.0.0.1:7", "127.0.0.1:8"
	groupConfig := Config{Peers: []string{senderAddr, receiverAddr}}
	member := func(index int) Config { c := groupConfig; c.Index = index; return c }
	childOfReceiver := Config{Role: Child, Peers: []string{"127.0.0.1:9", receiverAddr}, Index: 4711}
	parent := Config{Role: Parent, MaxChildren: 4712, Index: 1}
	childOfSender := Config{Role: Child, Peers: []string{"127.0.0.1:9", senderAddr}, Index: 4711}
	return []goldenDatagram{
		{"budget-request", member(0), member(1), request, 0},
		{"budget-response", member(0), member(1), response, 0},
		{"child-request", childOfReceiver, parent, request, 4711},
		{"child-response", parent, childOfSender, response, 1}}
}

// Guards against a change of the encoding of datagrams, after which builds of different age could not communicate. Each
// kind of datagram is sent with the bytes of its golden file, and decoded from them.
func TestDatagramsMatchGoldenFiles(t *testing.T) {
	for _, golden := range goldenDatagrams() {
		t.Run(golden.file, func(t *testing.T) {
			hexText, err := os.ReadFile("testdata/" + golden.file + ".hex")
			if err != nil {
				t.Fatal(err)
			}
			want, err := hex.DecodeString(strings.Join(strings.Fields(string(hexText)), ""))
			if err != nil {
				t.Fatal(err)
			}
			if sent := golden.send(t); !bytes.Equal(sent, want) {
				t.Errorf("sent datagram\n%x, want\n%x", sent, want)
			}
			golden.receive(t, want)
		})
	}
}

// newConnWithoutSocket returns a Conn that queues datagrams and does not send them.
func newConnWithoutSocket(t *testing.T, cfg Config) *Conn {
	c := &Conn{cfg: cfg, log: zap.NewNop(), sendQueue: make(chan outgoingDatagram, 1)}
	if err := c.SetPeers(cfg.Peers); err != nil {
		t.Fatal(err)
	}
	return c
}

func (g goldenDatagram) send(t *testing.T) []byte {
	receiverAddr := netip.MustParseAddrPort("127.0.0.1:8")
	sender := newConnWithoutSocket(t, g.sender)
	if g.sender.Role == Parent {
		sender.SendTo(receiverAddr, g.message)
	} else {
		sender.Send(1, g.message)
	}
	sent := <-sender.sendQueue
	if sent.to != receiverAddr {
		t.Errorf("datagram sent to %v instead of the receiver", sent.to)
	}
	return sent.data
}

func (g goldenDatagram) receive(t *testing.T, data []byte) {
	var got budget.Message
	calls := 0
	senderAddr := netip.MustParseAddrPort("127.0.0.1:7")
	newConnWithoutSocket(t, g.receiver).receive(data, senderAddr, func(index int, addr netip.AddrPort, body []byte) {
		calls++
		var err error
		if got, err = budget.DecodeMessage(body); err != nil || index != g.senderIndex || addr != senderAddr {
			t.Errorf("message from index %d at %v, want index %d and the sender's address: %v", index, addr,
				g.senderIndex, err)
		}
	})
	if calls != 1 || !reflect.DeepEqual(got, g.message) {
		t.Errorf("handled %d messages, the last\n%+v, want one\n%+v", calls, got, g.message)
	}
}
