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

// goldenDatagram is a datagram as one end sends it and another takes it in.
type goldenDatagram struct {
	file     string
	sender   Config // with the address of the receiver, number 1, where it knows it
	receiver Config
	message  budget.Message
	from     int // the sender's number at the receiver
}

func goldenDatagrams() []goldenDatagram {
	id := func(of uint64) budget.ID { return budget.ID{Kind: 3, Subject: of, Since: -9} }
	request := budget.LeaseRequest{Incarnation: 1<<64 - 1, Seq: 70000, LeaderClock: 1 << 40, Leader: 1 << 33,
		Delegated: []budget.Amount{{ID: id(1), Units: 2}}, DelegatesUnlisted: true,
		ConcurrencyHeld: []budget.Amount{{ID: id(2), Units: 300}}, Acknowledged: 69999,
		Wanted:   []budget.Amount{{ID: id(1 << 63), Units: 16}, {ID: id(4), Units: 1}},
		Releases: []budget.Release{{Grant: 5, Used: 1, SinceUse: 400_000_000}}, ReleasesTo: 77, Leaving: true}
	response := budget.LeaseResponse{Incarnation: 1 << 33, Seq: 70000, GrantsExpireIn: 1 << 41, Follower: 1<<64 - 1,
		RenewsConcurrencyLeases: true, Grants: []budget.Grant{{ID: id(4), Units: 2, Number: 6}}, HasQuorum: true,
		DuplicateIndex: true, Leaving: true}
	sender, receiver := "127.0.0.1:7", "127.0.0.1:8"
	group := Config{Peers: []string{sender, receiver}}
	member := func(index int) Config { c := group; c.Index = index; return c }
	child := Config{Role: Child, Peers: []string{"127.0.0.1:9", receiver}, Index: 4711}
	above := Config{Role: Parent, MaxChildren: 4712, Index: 1}
	answered := Config{Role: Child, Peers: []string{"127.0.0.1:9", sender}, Index: 4711}
	return []goldenDatagram{
		{"budget-request", member(0), member(1), request, 0},
		{"budget-response", member(0), member(1), response, 0},
		{"child-request", child, above, request, 4711},
		{"child-response", above, answered, response, 1}}
}

// What one build sends another one reads: each kind of datagram keeps its bytes, both ways.
func TestDatagramsKeepTheirBytes(t *testing.T) {
	for _, g := range goldenDatagrams() {
		t.Run(g.file, func(t *testing.T) {
			text, err := os.ReadFile("testdata/" + g.file + ".hex")
			if err != nil {
				t.Fatal(err)
			}
			want, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
			if err != nil {
				t.Fatal(err)
			}
			if sent := g.send(t); !bytes.Equal(sent, want) {
				t.Errorf("sends\n%x, not\n%x", sent, want)
			}
			g.receive(t, want)
		})
	}
}

// end makes one that is on no socket.
func end(t *testing.T, cfg Config) *Conn {
	c := &Conn{cfg: cfg, log: zap.NewNop(), queue: make(chan datagram, 1)}
	if err := c.SetPeers(cfg.Peers); err != nil {
		t.Fatal(err)
	}
	return c
}

func (g goldenDatagram) send(t *testing.T) []byte {
	to := netip.MustParseAddrPort("127.0.0.1:8")
	sender := end(t, g.sender)
	if g.sender.Role == Parent {
		sender.SendTo(to, g.message)
	} else {
		sender.Send(1, g.message)
	}
	sent := <-sender.queue
	if sent.to != to {
		t.Errorf("sends to %v", sent.to)
	}
	return sent.data
}

func (g goldenDatagram) receive(t *testing.T, data []byte) {
	var got budget.Message
	times := 0
	source := netip.MustParseAddrPort("127.0.0.1:7")
	end(t, g.receiver).receive(data, source, func(from int, at netip.AddrPort, body []byte) {
		times++
		var err error
		if got, err = budget.DecodeMessage(body); err != nil || from != g.from || at != source {
			t.Errorf("from number %d at %v, not %d: %v", from, at, g.from, err)
		}
	})
	if times != 1 || !reflect.DeepEqual(got, g.message) {
		t.Errorf("%d times got\n%+v, not\n%+v", times, got, g.message)
	}
}
