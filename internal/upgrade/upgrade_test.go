package upgrade

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
)

const patience = 10 * time.Second

// newLinks returns both ends of a link.
func newLinks(t *testing.T) (predecessor, successor *Link) {
	t.Helper()
	path := SocketPath(t.TempDir(), "127.0.0.1:9000")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if successor, err = Dial(path); err != nil {
		t.Fatal(err)
	}
	if predecessor, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { predecessor.Close(); successor.Close() })
	return predecessor, successor
}

func testDeadline() time.Time { return time.Now().Add(patience) }

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); a.Close() })
	return a.(*net.TCPConn), c.(*net.TCPConn)
}

func TestLinkTransfersAConnection(t *testing.T) {
	predecessor, successor := newLinks(t)
	client, farClient := tcpPair(t)
	server, farServer := tcpPair(t)
	want := &exchange.OpenConnection{FirstLine: []byte("OPEN a b c=x,d=1\r\n"), Server: 1<<63 + 5, Addr: "10.0.0.1:1",
		Age:         time.Second,
		PendingAges: []time.Duration{2, 1}, BufferedFromClient: []byte{0, 255}, BufferedFromServer: []byte("half")}
	if err := predecessor.Send(Message{Kind: KindConnection, Connection: want}, patience, client, server); err != nil {
		t.Fatal(err)
	}
	m, conns, err := successor.Receive(testDeadline())
	if err != nil || len(conns) != 2 || !reflect.DeepEqual(m.Connection, want) {
		t.Fatalf("got %+v, %d sockets, %v", m, len(conns), err)
	}
	client.Close() // the copies live on
	server.Close()
	for i, far := range []*net.TCPConn{farClient, farServer} {
		got := make([]byte, 2)
		far.SetDeadline(testDeadline())
		if _, err := conns[i].Write([]byte("ok")); err != nil {
			t.Fatal(err)
		} else if _, err := io.ReadFull(far, got); err != nil || string(got) != "ok" {
			t.Errorf("got %q, %v", got, err)
		}
		conns[i].Close()
	}
}

func TestReceiveReportsTheOtherEndsClose(t *testing.T) {
	predecessor, successor := newLinks(t)
	predecessor.Close()
	if _, _, err := successor.Receive(testDeadline()); err == nil {
		t.Error("no error")
	}
	_, waiting := newLinks(t)
	if _, _, err := waiting.Receive(time.Now().Add(time.Millisecond)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// An invalid message is a MessageError, and the link can be used further.
func TestReceiveRejectsInvalidMessages(t *testing.T) {
	predecessor, successor := newLinks(t)
	for name, data := range map[string]string{
		"no JSON":          "OPEN",
		"another version":  `{"version":2,"kind":"hello"}`,
		"no kind":          `{"version":1}`,
		"an unknown kind":  `{"version":1,"kind":"bye"}`,
		"half":             `{"version":1,"kind":"hel`,
		"a bad list":       `{"version":1,"kind":"learned","list":{"servers":[{"id":1,"state":"odd"}]}}`,
		"a wrong number":   `{"version":1,"kind":"learned","memory":{"rate":"x"}}`,
		"no connection":    `{"version":1,"kind":"connection"}`,
		"no sockets":       `{"version":1,"kind":"connection","standing":{"head":"T1BFTg==","server":1}}`,
		"a negative age":   `{"version":1,"kind":"connection","standing":{"head":"T1BFTg==","server":1,"age":-1}}`,
		"over the maximum": `{"version":1,"kind":"hello","x":"` + strings.Repeat("x", maxMessageBytes) + `"}`,
	} {
		if _, err := predecessor.conn.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
		m, _, err := successor.Receive(testDeadline())
		if invalid := (&MessageError{}); !errors.As(err, &invalid) {
			t.Errorf("%s: got %+v, %v", name, m, err)
		}
	}
	checkHello(t, predecessor, successor)
}

// checkHello fails the test where a message does not pass from one end to the other.
func checkHello(t *testing.T, from, to *Link) {
	t.Helper()
	if err := from.Send(Message{Kind: KindHello}, patience); err != nil {
		t.Fatal(err)
	}
	if m, _, err := to.Receive(testDeadline()); err != nil || m.Kind != KindHello {
		t.Errorf("a later message: %+v, %v", m, err)
	}
}

// One socket where two belong, and a socket where none does: the receiver closes it.
func TestReceiveClosesSocketsOfInvalidMessages(t *testing.T) {
	predecessor, successor := newLinks(t)
	near, far := tcpPair(t)
	for _, kind := range []Kind{KindConnection, KindHello} {
		m := Message{Kind: kind, Connection: &exchange.OpenConnection{FirstLine: []byte("x"), Server: 1}}
		if err := predecessor.Send(m, patience, near); err != nil {
			t.Fatal(err)
		}
		if _, conns, err := successor.Receive(testDeadline()); err == nil || conns != nil {
			t.Errorf("%s: got %v, %v", kind, conns, err)
		}
	}
	near.Close()
	far.SetDeadline(testDeadline())
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a socket of an invalid message stays open: %v", err)
	}
	checkHello(t, predecessor, successor)
}

// Each kind of fault has its error.
func TestDecodeErrors(t *testing.T) {
	connection := []byte(`{"version":1,"kind":"connection","standing":{"head":"T1BFTg==","server":1}}`)
	version, kind, count, size := &VersionError{}, &KindError{}, &SocketCountError{}, &SizeError{}
	if _, err := decode([]byte(`{"version":2,"kind":"hello"}`), 0); !errors.As(err, &version) || version.Version != 2 {
		t.Errorf("another version: %v", err)
	}
	if _, err := decode([]byte(`{"version":1,"kind":"bye"}`), 0); !errors.As(err, &kind) || kind.Kind != "bye" {
		t.Errorf("an unknown kind: %v", err)
	}
	if _, err := decode([]byte(`{"version":1,"kind":"connection"}`), 2); !errors.Is(err, ErrIncompleteConnection) {
		t.Errorf("no connection: %v", err)
	}
	if _, err := decode(connection, 1); !errors.As(err, &count) || count.Count != 1 || count.Want != 2 {
		t.Errorf("one socket: %v", err)
	}
	long := Message{Kind: KindStateEnd, DiscoveryAddr: strings.Repeat("x", maxMessageBytes)}
	if _, err := encode(long); !errors.As(err, &size) || size.Bytes <= maxMessageBytes {
		t.Errorf("a long message: %v", err)
	}
}

// MaxEntries of the longest entries fit one message.
func TestMaxEntriesFitAMessage(t *testing.T) {
	predecessor, successor := newLinks(t)
	var m balance.HandoverState
	l := &discovery.EndpointList{Version: 1 << 62, Full: true}
	for range MaxEntries {
		m.Affinities = append(m.Affinities, balance.AffinityRecord{ClientKey: strings.Repeat("\x01", 128),
			Server:    1<<64 - 1,
			StartedAt: 1 << 62, ExpiresAt: 1 << 62})
		m.Servers = append(m.Servers, balance.ServerRecord{ID: 1<<64 - 1, StartedAt: 1 << 62, Utilisation: 1. / 3})
		l.Servers = append(l.Servers, discovery.Endpoint{ID: 1<<64 - 1, Addr: "255.255.255.255:65535",
			Zone:  strings.Repeat("z", 100),
			State: "draining", Weight: 1. / 3, StartedAtMillis: 1 << 41})
	}
	for _, part := range []Message{{Kind: KindState, Endpoints: l},
		{Kind: KindState, State: &balance.HandoverState{Affinities: m.Affinities}},
		{Kind: KindState, State: &balance.HandoverState{Servers: m.Servers}}} {
		if err := predecessor.Send(part, patience); err != nil {
			t.Fatal(err)
		}
		if _, _, err := successor.Receive(testDeadline()); err != nil {
			t.Error(err)
		}
	}
	if err := predecessor.Send(Message{Kind: KindStateEnd, DiscoveryAddr: strings.Repeat("x", maxMessageBytes)},
		patience); err == nil {
		t.Error("a message over the maximum was sent")
	}
}

func TestListenReplacesAnEarlierListener(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	if _, err := Dial(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nobody there: %v", err)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	first.Close() // its end must not take the name away
	link, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	link.Close()
	if _, err := second.Accept(); err != nil {
		t.Error(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info, err)
	}
	second.Close()
	if _, err := Dial(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("after its end: %v", err)
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*")); len(left) != 1 {
		t.Errorf("left behind: %v", left)
	}
}

func TestSocketPath(t *testing.T) {
	if SocketPath("", "a") != "" || SocketPath("/"+strings.Repeat("x", 100), "a") != "" {
		t.Error("a path where none can be")
	}
	if SocketPath("/tmp", "a") == SocketPath("/tmp", "b") {
		t.Error("two nodes meet")
	}
}

// Whatever the input, decode neither panics nor returns a message that the node could not use.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{{Kind: KindHello}, {Kind: KindStateEnd, OutOfService: true, DiscoveryAddr: "a:1"},
		{Kind: KindState, State: &balance.HandoverState{Affinities: []balance.AffinityRecord{{ClientKey: "k"}}}},
		{Kind: KindConnection, Connection: &exchange.OpenConnection{FirstLine: []byte("OPEN"), Server: 3, Age: 1}}} {
		m.Version = protocolVersion
		data, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, 0)
		f.Add(data[:len(data)/2], 2)
		f.Add(bytes.ReplaceAll(data, []byte("1"), []byte("-1")), 2)
	}
	f.Fuzz(func(t *testing.T, data []byte, fds int) {
		m, err := decode(data, fds)
		if err == nil && (m.Version != protocolVersion || m.Kind == "" || m.Kind == KindConnection &&
			(m.Connection == nil || fds != socketsPerConnection)) {
			t.Errorf("let through: %q with %d sockets", data, fds)
		}
		if err == nil && m.State != nil { // and the decisions can take it
			b := balance.New(balance.Config{Classes: map[string]balance.Class{"c": {}}}, 1)
			b.Handle(time.Hour, balance.EndpointUpdate{Kind: balance.ListSnapshot,
				Servers: []balance.Server{{ID: 1, State: balance.Ready}}})
			b.Restore(time.Hour, *m.State)
			b.Handle(time.Hour, balance.Request{ID: 1, Class: "c", ClientKey: "k", Timeout: time.Second})
		}
	})
}
