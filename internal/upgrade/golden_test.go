package upgrade

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
	"brassmux/internal/golden"
)

// goldenMessages returns messages of each kind, with every field set.
func goldenMessages() []Message {
	endpoints := &discovery.EndpointList{Version: 41, Full: true, Servers: []discovery.Endpoint{
		{ID: 1<<64 - 1, Addr: "10.0.0.1:9000", Zone: "a", Cell: 3, State: "up", Weight: 1.5,
			StartedAtMillis: 1700000000000},
		{ID: 7, Addr: "10.0.0.2:9000", State: "draining", Weight: 1},
		{ID: 8, State: "removed"},
	}}
	state := &balance.HandoverState{TakenAt: 11, ConnectionRate: 2.5, RateUpdatedAt: 12,
		Servers: []balance.ServerRecord{{ID: 1<<64 - 1, StartedAt: 13, EjectedUntil: 14, ConsecutiveFailures: 15,
			Utilisation: 0.25, ReportedAt: 16, ConnectionsSinceReport: 17,
			LatestStart: 18, StartLearnedAt: 19}},
		Affinities: []balance.AffinityRecord{{ClientKey: "k\x01<é>", Server: 1<<63 + 5, StartedAt: 20, ExpiresAt: 21}}}
	connection := &exchange.OpenConnection{FirstLine: []byte("OPEN a b c=x,d=1\r\n"), Server: 1<<63 + 5,
		Addr: "10.0.0.1:1", Age: time.Second, PendingAges: []time.Duration{2, 1}, BufferedFromClient: []byte{0, 255},
		BufferedFromServer: []byte("half")}
	orders := &Orders{ServiceOrder{Revision: 3, OutOfService: true},
		ReloadOrder{Revision: 2, Discovery: "10.0.0.8:80", ControlAddrs: []string{"10.0.0.7:1"}}}
	return []Message{
		{Kind: KindHello},
		{Kind: KindState, Endpoints: endpoints},
		{Kind: KindState, State: state},
		{Kind: KindState, State: &balance.HandoverState{}},
		{Kind: KindStateEnd, OutOfService: true, DiscoveryAddr: "10.0.0.9:80"},
		{Kind: KindStateEnd},
		{Kind: KindServing},
		{Kind: KindReleased},
		{Kind: KindConnection, Connection: connection},
		{Kind: KindConnection, Connection: &exchange.OpenConnection{FirstLine: []byte("x"), Server: 1}},
		{Kind: KindAccepted},
		{Kind: KindRejected},
		{Kind: KindHello, Orders: &Orders{}},
		{Kind: KindStateEnd, OutOfService: true, Orders: orders},
		{Kind: KindOrders, Orders: orders},
		{Kind: KindState, IDs: IDs{1, 1<<64 - 1}},
		{Kind: KindStateEnd, IDSeed: 1<<64 - 1},
		{Kind: KindIDs, IDs: IDs{5}},
	}
}

// Guards against a changed encoding, which a process of another build could not decode.
func TestGoldenMessages(t *testing.T) {
	predecessor, successor := newLinks(t)
	client, _ := tcpPair(t)
	server, _ := tcpPair(t)
	var encoded strings.Builder
	for _, msg := range goldenMessages() {
		var err error
		if msg.Kind == KindConnection {
			err = predecessor.Send(msg, testTimeout, client, server)
		} else {
			err = predecessor.Send(msg, testTimeout)
		}
		if err != nil {
			t.Fatal(err)
		}
		data := make([]byte, maxMessageBytes)
		n, err := successor.conn.Read(data)
		if err != nil {
			t.Fatal(err)
		}
		encoded.Write(data[:n])
		encoded.WriteByte('\n')
	}
	golden.Check(t, "messages.txt", encoded.String())
	for i, line := range golden.Lines(t, "messages.txt") {
		want := goldenMessages()[i]
		want.Version = protocolVersion
		if got, err := decode([]byte(line), want.Kind.socketCount()); err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: decoded as %+v, %v", line, got, err)
		}
	}
}

// Guards against a changed socket path, at which a process of another build would not find its predecessor.
func TestGoldenSocketPath(t *testing.T) {
	golden.Check(t, "path.txt", SocketPath("/tmp/folder", "127.0.0.1:9000")+"\n")
}
