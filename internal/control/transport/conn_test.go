package transport

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"brassmux/budget"
)

// patience is how long a test waits for what has to come.
const patience = 10 * time.Second

// openSocket opens one on the loopback address.
func openSocket(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func mustMarshal(t *testing.T, value any) []byte {
	t.Helper()
	data, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Messages arrive under their sender's number; all other datagrams are counted by what is wrong with them, and dropped.
func TestOnlyPeersMessagesArrive(t *testing.T) {
	friend, stranger := openSocket(t), openSocket(t)
	peers := []string{"127.0.0.1:1", friend.LocalAddr().String()}
	c, err := New(Config{Listen: "127.0.0.1:0", Peers: peers, Index: 0}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	messages := make(chan budget.LeaseRequest, 10)
	go c.Serve(t.Context(), func(from int, _ netip.AddrPort, body []byte) {
		message, err := budget.DecodeMessage(body)
		request, ok := message.(budget.LeaseRequest)
		if err != nil || !ok || from != 1 {
			t.Errorf("from %d: %v", from, err)
		}
		messages <- request
	})
	id := budget.ID{Kind: 1, Subject: 1 << 63, Since: 5}
	message := budget.LeaseRequest{Incarnation: 7, Seq: 1,
		Wanted: []budget.Amount{{ID: id, Units: 3}}}
	body := mustMarshal(t, message)
	send := func(from *net.UDPConn, value any) { from.WriteTo(mustMarshal(t, value), c.conn.Load().LocalAddr()) }
	send(stranger, envelope{Version: Version, Kind: GroupMessage, From: 1, Body: body})
	send(friend, envelope{Version: Version + 1, Kind: GroupMessage, From: 1, Body: body})
	send(friend, []any{Version + 1, "of another form"}) // as the build before or after may send
	send(friend, envelope{Version: Version, Kind: GroupMessage, From: 0, Body: body})
	send(friend, "no envelope")
	send(friend, envelope{Version: Version, Kind: GroupMessage, From: 1, Body: body})
	select {
	case got := <-messages:
		if got.Incarnation != 7 || len(got.Wanted) != 1 || got.Wanted[0].Units != 3 ||
			got.Wanted[0].ID.Subject != 1<<63 {
			t.Errorf("got %+v", got)
		}
	case <-time.After(patience):
		t.Fatal("no message")
	}
	n := &c.Counters
	if n.UnknownSender.Load() != 2 || n.OtherVersion.Load() != 2 || n.Unreadable.Load() != 1 || n.Received.Load() != 1 {
		t.Errorf("%d unknown, %d of another version, %d unreadable, %d received", n.UnknownSender.Load(),
			n.OtherVersion.Load(), n.Unreadable.Load(), n.Received.Load())
	}
	checkSends(t, c, friend, message)
}

// checkSends sends a message to a friend, number 1, and drops those that cannot be sent.
func checkSends(t *testing.T, c *Conn, friend *net.UDPConn, message budget.Message) {
	c.Send(1, message)
	friend.SetReadDeadline(time.Now().Add(patience))
	buf := make([]byte, 2000)
	if got, _, err := friend.ReadFrom(buf); err != nil || got > 60 {
		t.Errorf("%d bytes, %v", got, err)
	}
	c.Send(0, message) // itself
	c.Send(2, message) // nobody
	c.Send(1, budget.LeaseRequest{Releases: make([]budget.Release, 2000)})
	if n := c.Counters.Dropped.Load(); n != 3 {
		t.Errorf("%d dropped", n)
	}
}

// A message with every list full fits a datagram.
func TestTheLongestMessageFits(t *testing.T) {
	id := budget.ID{Kind: 1, Subject: 1<<64 - 1, Since: 1<<62 - 1}
	message := budget.LeaseRequest{Incarnation: 1<<64 - 1, Seq: 1 << 40, LeaderClock: 1 << 62, Leader: 1<<64 - 1,
		ReleasesTo: 1<<64 - 1}
	for range budget.MaxEntries {
		message.Delegated = append(message.Delegated, budget.Amount{ID: id, Units: 100})
		message.Wanted = append(message.Wanted, budget.Amount{ID: id, Units: 100})
		message.Releases = append(message.Releases, budget.Release{Grant: 1 << 40, Used: 100})
	}
	c := &Conn{cfg: Config{Index: 0}, log: zap.NewNop(), queue: make(chan datagram, 1)}
	c.peers.Store(&addressBook{addrs: make([]netip.AddrPort, 2)})
	if c.Send(1, message); c.Counters.Dropped.Load() != 0 {
		t.Error("too long")
	}
}

// arrival is a message that was handled.
type arrival struct {
	from int
	addr netip.AddrPort
}

// startServing gives a connection that serves, its address, and what arrives.
func startServing(t *testing.T, cfg Config) (*Conn, netip.AddrPort, chan arrival) {
	cfg.Listen = "127.0.0.1:0"
	c, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	arrivals := make(chan arrival, 10)
	go c.Serve(t.Context(), func(from int, addr netip.AddrPort, _ []byte) { arrivals <- arrival{from, addr} })
	return c, c.conn.Load().LocalAddr().(*net.UDPAddr).AddrPort(), arrivals
}

func checkArrival(t *testing.T, what string, arrivals chan arrival, want arrival) {
	t.Helper()
	select {
	case got := <-arrivals:
		if got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	case <-time.After(patience):
		t.Fatalf("%s: no message", what)
	}
}

// A control machine knows its children by number wherever they are, and answers there; a node accepts its control
// machines' addresses alone. All else is counted by what is wrong with it and dropped: also a message of the group, one
// of a number that no child has, and one longer than any of ours, even where its first part reads well.
func TestChildrenAndTheirControlMachines(t *testing.T) {
	parent, above, requests := startServing(t, Config{Role: Parent, Index: 1, MaxChildren: 10})
	unused := "127.0.0.1:1"
	child, below, answers := startServing(t, Config{Role: Child, Peers: []string{unused, above.String()}, Index: 9})
	child.Send(1, budget.LeaseRequest{Incarnation: 5})
	checkArrival(t, "request", requests, arrival{9, below})
	parent.SendTo(below, budget.LeaseResponse{Incarnation: 6})
	checkArrival(t, "answer", answers, arrival{1, above})

	stranger := openSocket(t)
	send := func(to netip.AddrPort, e envelope, more int) {
		stranger.WriteToUDPAddrPort(append(mustMarshal(t, e), make([]byte, more)...), to)
	}
	body := mustMarshal(t, budget.LeaseRequest{Incarnation: 7})
	good := envelope{Version: Version, Kind: ChildMessage, From: 3, Body: body}
	for _, change := range []func(e *envelope){
		func(e *envelope) { e.From = 10 }, func(e *envelope) { e.From = -1 },
		func(e *envelope) { e.Kind = GroupMessage }, func(e *envelope) { e.Version++ }} {
		e := good
		change(&e)
		send(above, e, 0)
	}
	send(above, good, MaxDatagramSize)
	send(below, good, 0)
	send(above, good, 0)
	checkArrival(t, "after all the bad ones", requests, arrival{3, stranger.LocalAddr().(*net.UDPAddr).AddrPort()})
	parent.SendTo(below, budget.LeaseResponse{Incarnation: 6})
	checkArrival(t, "after a stranger's", answers, arrival{1, above})
	n := &parent.Counters
	if n.UnknownSender.Load() != 2 || n.Unreadable.Load() != 1 || n.OtherVersion.Load() != 1 || n.TooLong.Load() != 1 ||
		n.Received.Load() != 2 {
		t.Errorf("%d of unknown numbers, %d unreadable, %d of another version, %d too long, %d received",
			n.UnknownSender.Load(), n.Unreadable.Load(), n.OtherVersion.Load(), n.TooLong.Load(), n.Received.Load())
	}
	if n := &child.Counters; n.UnknownSender.Load() != 1 || n.Received.Load() != 2 {
		t.Errorf("at the node %d of unknown addresses, %d received", n.UnknownSender.Load(), n.Received.Load())
	}
}

// Guards against a log that a stranger can fill: of any number of bad datagrams it has a line a second at most.
func TestStrangersDoNotFillTheLog(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	c, err := New(Config{Role: Parent, Listen: "127.0.0.1:0", MaxChildren: 1}, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	for i := range 10_000 {
		c.receive([]byte{0xff, byte(i)}, netip.AddrPort{}, nil)
	}
	limit := int(time.Since(began)/time.Second) + 2
	if logs.Len() == 0 || logs.Len() > limit || c.Counters.Unreadable.Load() != 10_000 {
		t.Errorf("%d lines, %d are the most, of %d datagrams", logs.Len(), limit, c.Counters.Unreadable.Load())
	}
}
