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

// receiveTimeout is how long a test waits for a datagram or message.
const receiveTimeout = 10 * time.Second

// openSocket opens a UDP socket on the loopback address, and closes it at the end of the test.
func openSocket(t *testing.T) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket
}

func mustMarshal(t *testing.T, value any) []byte {
	t.Helper()
	data, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a member of a group that handles a datagram from an unknown address, of another version, with another
// sender's index or in an invalid format. Each is dropped and counted by its fault; a valid message is handled with the
// index of its sender.
func TestConnDropsInvalidDatagrams(t *testing.T) {
	peerSocket, unknownSocket := openSocket(t), openSocket(t)
	peers := []string{"127.0.0.1:1", peerSocket.LocalAddr().String()}
	c, err := New(Config{Listen: "127.0.0.1:0", Peers: peers, Index: 0}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	messages := make(chan budget.LeaseRequest, 10)
	go c.Serve(t.Context(), func(from int, _ netip.AddrPort, body []byte) {
		message, err := budget.DecodeMessage(body)
		request, ok := message.(budget.LeaseRequest)
		if err != nil || !ok || from != 1 {
			t.Errorf("received message from peer %d, want a lease request from peer 1: %v", from, err)
		}
		messages <- request
	})
	id := budget.ID{Kind: 1, Subject: 1 << 63, Since: 5}
	message := budget.LeaseRequest{Incarnation: 7, Seq: 1,
		Wanted: []budget.Amount{{ID: id, Units: 3}}}
	body := mustMarshal(t, message)
	send := func(from *net.UDPConn, value any) { from.WriteTo(mustMarshal(t, value), c.socket.Load().LocalAddr()) }
	send(unknownSocket, envelope{Version: Version, Kind: GroupMessage, SenderIndex: 1, Body: body})
	send(peerSocket, envelope{Version: Version + 1, Kind: GroupMessage, SenderIndex: 1, Body: body})
	send(peerSocket, []any{Version + 1, "other format"}) // an older or newer build may send this
	send(peerSocket, envelope{Version: Version, Kind: GroupMessage, SenderIndex: 0, Body: body})
	send(peerSocket, "not an envelope")
	send(peerSocket, envelope{Version: Version, Kind: GroupMessage, SenderIndex: 1, Body: body})
	select {
	case got := <-messages:
		if got.Incarnation != 7 || len(got.Wanted) != 1 || got.Wanted[0].Units != 3 ||
			got.Wanted[0].ID.Subject != 1<<63 {
			t.Errorf("received %+v, want the message that was sent", got)
		}
	case <-time.After(receiveTimeout):
		t.Fatal("no message received")
	}
	counters := &c.Counters
	if counters.UnknownSender.Load() != 2 || counters.OtherVersion.Load() != 2 || counters.Unreadable.Load() != 1 ||
		counters.Received.Load() != 1 {
		t.Errorf("%d unknown sender, %d other version, %d unreadable, %d received; want 2, 2, 1, 1",
			counters.UnknownSender.Load(), counters.OtherVersion.Load(), counters.Unreadable.Load(),
			counters.Received.Load())
	}
	checkSendAndDrop(t, c, peerSocket, message)
}

// checkSendAndDrop checks that a message to the peer with index 1 is sent, and that messages to the sending node
// itself, to an unknown index and over the maximum size are dropped and counted.
func checkSendAndDrop(t *testing.T, c *Conn, peerSocket *net.UDPConn, message budget.Message) {
	c.Send(1, message)
	peerSocket.SetReadDeadline(time.Now().Add(receiveTimeout))
	buffer := make([]byte, 2000)
	if size, _, err := peerSocket.ReadFrom(buffer); err != nil || size > 60 {
		t.Errorf("received a datagram of %d bytes, want at most 60: %v", size, err)
	}
	c.Send(0, message) // the sending node itself
	c.Send(2, message) // no such peer
	c.Send(1, budget.LeaseRequest{Releases: make([]budget.Release, 2000)})
	if dropped := c.Counters.Dropped.Load(); dropped != 3 {
		t.Errorf("%d messages dropped, want 3", dropped)
	}
}

// Guards against a request with every list full and large values in its fields that exceeds MaxDatagramSize and cannot
// be sent.
func TestLongestMessageFitsDatagram(t *testing.T) {
	id := budget.ID{Kind: 1, Subject: 1<<64 - 1, Since: 1<<62 - 1}
	message := budget.LeaseRequest{Incarnation: 1<<64 - 1, Seq: 1 << 40, LeaderClock: 1 << 62, Leader: 1<<64 - 1,
		ReleasesTo: 1<<64 - 1}
	for range budget.MaxEntries {
		message.Delegated = append(message.Delegated, budget.Amount{ID: id, Units: 100})
		message.Wanted = append(message.Wanted, budget.Amount{ID: id, Units: 100})
		message.Releases = append(message.Releases, budget.Release{Grant: 1 << 40, Used: 100})
	}
	c := &Conn{cfg: Config{Index: 0}, log: zap.NewNop(), sendQueue: make(chan outgoingDatagram, 1)}
	c.peers.Store(&addressBook{addrs: make([]netip.AddrPort, 2)})
	if c.Send(1, message); c.Counters.Dropped.Load() != 0 {
		t.Error("the longest message does not fit into a datagram")
	}
}

// messageSource is the sender of a handled message.
type messageSource struct {
	index int
	addr  netip.AddrPort
}

// startConn starts a Conn, and returns it with its address and the senders of the messages that it handles.
func startConn(t *testing.T, cfg Config) (*Conn, netip.AddrPort, chan messageSource) {
	cfg.Listen = "127.0.0.1:0"
	c, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	sources := make(chan messageSource, 10)
	go c.Serve(t.Context(), func(from int, addr netip.AddrPort, _ []byte) { sources <- messageSource{from, addr} })
	return c, c.socket.Load().LocalAddr().(*net.UDPAddr).AddrPort(), sources
}

func checkNextSource(t *testing.T, description string, sources chan messageSource, want messageSource) {
	t.Helper()
	select {
	case got := <-sources:
		if got != want {
			t.Errorf("%s: got %v, want %v", description, got, want)
		}
	case <-time.After(receiveTimeout):
		t.Fatalf("%s: no message", description)
	}
}

// Guards against control machines and children that handle invalid datagrams. A control machine accepts children by
// index from any address, a child only the addresses of its control machines. All other datagrams are dropped and
// counted by their fault; one longer than MaxDatagramSize also if it begins with a valid envelope.
func TestParentAndChildDropInvalidDatagrams(t *testing.T) {
	parent, parentAddr, requests := startConn(t, Config{Role: Parent, Index: 1, MaxChildren: 10})
	unusedAddr := "127.0.0.1:1"
	child, childAddr, responses := startConn(t,
		Config{Role: Child, Peers: []string{unusedAddr, parentAddr.String()}, Index: 9})
	child.Send(1, budget.LeaseRequest{Incarnation: 5})
	checkNextSource(t, "request", requests, messageSource{9, childAddr})
	parent.SendTo(childAddr, budget.LeaseResponse{Incarnation: 6})
	checkNextSource(t, "response", responses, messageSource{1, parentAddr})

	otherSocket := openSocket(t)
	send := func(to netip.AddrPort, message envelope, trailingBytes int) {
		otherSocket.WriteToUDPAddrPort(append(mustMarshal(t, message), make([]byte, trailingBytes)...), to)
	}
	body := mustMarshal(t, budget.LeaseRequest{Incarnation: 7})
	valid := envelope{Version: Version, Kind: ChildMessage, SenderIndex: 3, Body: body}
	for _, change := range []func(e *envelope){
		func(e *envelope) { e.SenderIndex = 10 }, func(e *envelope) { e.SenderIndex = -1 },
		func(e *envelope) { e.Kind = GroupMessage }, func(e *envelope) { e.Version++ }} {
		invalid := valid
		change(&invalid)
		send(parentAddr, invalid, 0)
	}
	send(parentAddr, valid, MaxDatagramSize)
	send(childAddr, valid, 0)
	send(parentAddr, valid, 0)
	checkNextSource(t, "request after invalid datagrams", requests,
		messageSource{3, otherSocket.LocalAddr().(*net.UDPAddr).AddrPort()})
	parent.SendTo(childAddr, budget.LeaseResponse{Incarnation: 6})
	checkNextSource(t, "response after a datagram from an unknown address", responses, messageSource{1, parentAddr})
	counters := &parent.Counters
	if counters.UnknownSender.Load() != 2 || counters.Unreadable.Load() != 1 || counters.OtherVersion.Load() != 1 ||
		counters.TooLong.Load() != 1 || counters.Received.Load() != 2 {
		t.Errorf(
			"parent: %d unknown sender, %d unreadable, %d other version, %d too long, %d received; want 2, 1, 1, 1, 2",
			counters.UnknownSender.Load(), counters.Unreadable.Load(), counters.OtherVersion.Load(),
			counters.TooLong.Load(), counters.Received.Load())
	}
	if childCounters := &child.Counters; childCounters.UnknownSender.Load() != 1 || childCounters.Received.Load() != 2 {
		t.Errorf("child: %d unknown sender, %d received; want 1, 2", childCounters.UnknownSender.Load(),
			childCounters.Received.Load())
	}
}

// Guards against an unknown sender that fills the log: however many invalid datagrams it sends, at most one line per
// second is logged.
func TestRejectionsAreLoggedOncePerSecond(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	c, err := New(Config{Role: Parent, Listen: "127.0.0.1:0", MaxChildren: 1}, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	start := time.Now()
	for i := range 10_000 {
		c.receive([]byte{0xff, byte(i)}, netip.AddrPort{}, nil)
	}
	maxLines := int(time.Since(start)/time.Second) + 2
	if logs.Len() == 0 || logs.Len() > maxLines || c.Counters.Unreadable.Load() != 10_000 {
		t.Errorf("%d log lines, want 1 to %d; %d of 10000 datagrams counted as unreadable", logs.Len(), maxLines,
			c.Counters.Unreadable.Load())
	}
}
