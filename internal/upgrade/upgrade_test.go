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
	"slices"
	"strings"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
)

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// newLinks returns the two ends of a link.
func newLinks(t *testing.T) (predecessor, successor *Link) {
	t.Helper()
	path := SocketPath(t.TempDir(), "127.0.0.1:9000")
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if successor, err = Dial(path); err != nil {
		t.Fatal(err)
	}
	if predecessor, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { predecessor.Close(); successor.Close() })
	return predecessor, successor
}

// testDeadline returns the deadline for a wait that begins now.
func testDeadline() time.Time { return time.Now().Add(testTimeout) }

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (accepted, dialed *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialedConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	acceptedConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialedConn.Close(); acceptedConn.Close() })
	return acceptedConn.(*net.TCPConn), dialedConn.(*net.TCPConn)
}

// Guards against transferred connections with lost fields, with swapped sockets, or that break when the predecessor
// closes its own copies of the sockets.
func TestLinkTransfersConnection(t *testing.T) {
	predecessor, successor := newLinks(t)
	client, clientPeer := tcpPair(t)
	server, serverPeer := tcpPair(t)
	want := &exchange.OpenConnection{FirstLine: []byte("OPEN a b c=x,d=1\r\n"), Server: 1<<63 + 5, Addr: "10.0.0.1:1",
		Age: time.Second, PendingAges: []time.Duration{2, 1}, BufferedFromClient: []byte{0, 255},
		BufferedFromServer: []byte("half")}
	if err := predecessor.Send(Message{Kind: KindConnection, Connection: want}, testTimeout,
		client, server); err != nil {
		t.Fatal(err)
	}
	msg, conns, err := successor.Receive(testDeadline())
	if err != nil || len(conns) != 2 || !reflect.DeepEqual(msg.Connection, want) {
		t.Fatalf("got %+v, %d sockets, %v", msg, len(conns), err)
	}
	client.Close() // the transferred duplicates stay open
	server.Close()
	for i, peer := range []*net.TCPConn{clientPeer, serverPeer} {
		got := make([]byte, 2)
		peer.SetDeadline(testDeadline())
		if _, err := conns[i].Write([]byte("ok")); err != nil {
			t.Fatal(err)
		} else if _, err := io.ReadFull(peer, got); err != nil || string(got) != "ok" {
			t.Errorf("got %q, %v", got, err)
		}
		conns[i].Close()
	}
}

// Guards against a receiver that blocks after the other process has closed the link or after the deadline.
func TestReceiveReportsCloseAndDeadline(t *testing.T) {
	predecessor, successor := newLinks(t)
	predecessor.Close()
	if _, _, err := successor.Receive(testDeadline()); err == nil {
		t.Error("no error")
	}
	_, idle := newLinks(t)
	if _, _, err := idle.Receive(time.Now().Add(time.Millisecond)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// Guards against invalid messages that are accepted or that make the link unusable.
func TestReceiveRejectsInvalidMessages(t *testing.T) {
	predecessor, successor := newLinks(t)
	for name, data := range map[string]string{
		"invalid JSON":  "OPEN",
		"other version": `{"version":2,"kind":"hello"}`,
		"no kind":       `{"version":1}`,
		"unknown kind":  `{"version":1,"kind":"bye"}`,
		"truncated":     `{"version":1,"kind":"hel`,
		"invalid list":  `{"version":1,"kind":"learned","list":{"servers":[{"id":1,"state":"odd"}]}}`,
		"wrong type":    `{"version":1,"kind":"learned","memory":{"rate":"x"}}`,
		"cut ID":        `{"version":1,"kind":"ids","ids":"AQAAAAAAAA=="}`,
		"no base64":     `{"version":1,"kind":"ids","ids":"?"}`,
		"no orders":     `{"version":1,"kind":"orders"}`,
		"no connection": `{"version":1,"kind":"connection"}`,
		"no sockets":    `{"version":1,"kind":"connection","standing":{"head":"T1BFTg==","server":1}}`,
		"negative age":  `{"version":1,"kind":"connection","standing":{"head":"T1BFTg==","server":1,"age":-1}}`,
		"oversized":     `{"version":1,"kind":"hello","x":"` + strings.Repeat("x", maxMessageBytes) + `"}`,
	} {
		if _, err := predecessor.conn.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
		msg, _, err := successor.Receive(testDeadline())
		if messageErr := (&MessageError{}); !errors.As(err, &messageErr) {
			t.Errorf("%s: got %+v, %v", name, msg, err)
		}
	}
	checkLinkWorks(t, predecessor, successor)
}

// checkLinkWorks fails the test if a message does not pass from one end of a link to the other.
func checkLinkWorks(t *testing.T, from, to *Link) {
	t.Helper()
	if err := from.Send(Message{Kind: KindHello}, testTimeout); err != nil {
		t.Fatal(err)
	}
	if msg, _, err := to.Receive(testDeadline()); err != nil || msg.Kind != KindHello {
		t.Errorf("a later message is received as %+v, %v", msg, err)
	}
}

// Guards against leaked sockets: the receiver must close those of an invalid message. Here a message has one socket
// instead of two, and another has one instead of none.
func TestReceiveClosesSocketsOfInvalidMessages(t *testing.T) {
	predecessor, successor := newLinks(t)
	conn, peer := tcpPair(t)
	for _, kind := range []Kind{KindConnection, KindHello} {
		msg := Message{Kind: kind, Connection: &exchange.OpenConnection{FirstLine: []byte("x"), Server: 1}}
		if err := predecessor.Send(msg, testTimeout, conn); err != nil {
			t.Fatal(err)
		}
		if _, conns, err := successor.Receive(testDeadline()); err == nil || conns != nil {
			t.Errorf("%s: got %v, %v", kind, conns, err)
		}
	}
	conn.Close()
	peer.SetDeadline(testDeadline())
	if _, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a socket of an invalid message is not closed: %v", err)
	}
	checkLinkWorks(t, predecessor, successor)
}

// Guards against invalid messages that are reported with the wrong type of error.
func TestDecodeErrors(t *testing.T) {
	connection := []byte(`{"version":1,"kind":"connection","standing":{"head":"T1BFTg==","server":1}}`)
	versionErr, kindErr, countErr, sizeErr := &VersionError{}, &KindError{}, &SocketCountError{}, &SizeError{}
	if _, err := decode([]byte(`{"version":2,"kind":"hello"}`), 0); !errors.As(err, &versionErr) ||
		versionErr.Version != 2 {
		t.Errorf("another version: %v", err)
	}
	if _, err := decode([]byte(`{"version":1,"kind":"bye"}`), 0); !errors.As(err, &kindErr) || kindErr.Kind != "bye" {
		t.Errorf("an unknown kind: %v", err)
	}
	if _, err := decode([]byte(`{"version":1,"kind":"connection"}`), 2); !errors.Is(err, ErrIncompleteConnection) {
		t.Errorf("no connection: %v", err)
	}
	if _, err := decode(connection, 1); !errors.As(err, &countErr) || countErr.Count != 1 || countErr.Want != 2 {
		t.Errorf("one socket: %v", err)
	}
	oversized := Message{Kind: KindStateEnd, DiscoveryAddr: strings.Repeat("x", maxMessageBytes)}
	if _, err := encode(oversized); !errors.As(err, &sizeErr) || sizeErr.Bytes <= maxMessageBytes {
		t.Errorf("a long message: %v", err)
	}
}

// Guards against a MaxEntries so large that a message with that many of the longest entries exceeds the size limit.
func TestMaxEntriesFitMessage(t *testing.T) {
	predecessor, successor := newLinks(t)
	var state balance.HandoverState
	endpoints := &discovery.EndpointList{Version: 1 << 62, Full: true}
	for range MaxEntries {
		state.Affinities = append(state.Affinities, balance.AffinityRecord{ClientKey: strings.Repeat("\x01", 128),
			Server: 1<<64 - 1, StartedAt: 1 << 62, ExpiresAt: 1 << 62})
		state.Servers = append(state.Servers,
			balance.ServerRecord{ID: 1<<64 - 1, StartedAt: 1 << 62, Utilisation: 1. / 3})
		endpoints.Servers = append(endpoints.Servers, discovery.Endpoint{ID: 1<<64 - 1, Addr: "255.255.255.255:65535",
			Zone: strings.Repeat("z", 100), State: "draining", Weight: 1. / 3, StartedAtMillis: 1 << 41})
	}
	for _, msg := range []Message{{Kind: KindState, Endpoints: endpoints}, {Kind: KindIDs, IDs: make(IDs, MaxIDs)},
		{Kind: KindState, State: &balance.HandoverState{Affinities: state.Affinities}},
		{Kind: KindState, State: &balance.HandoverState{Servers: state.Servers}}} {
		if err := predecessor.Send(msg, testTimeout); err != nil {
			t.Fatal(err)
		}
		if _, _, err := successor.Receive(testDeadline()); err != nil {
			t.Error(err)
		}
	}
	if err := predecessor.Send(Message{Kind: KindStateEnd, DiscoveryAddr: strings.Repeat("x", maxMessageBytes)},
		testTimeout); err == nil {
		t.Error("a message over the size limit was sent")
	}
}

// Guards against a successor that cannot take over the socket path, a predecessor that removes the socket file of its
// successor, temporary files that are left behind, and access by other users.
func TestListenReplacesListener(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	if _, err := Dial(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("without a listener: %v", err)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	first.Close() // must not remove the socket file of second
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
		t.Errorf("after the listener was closed: %v", err)
	}
	if files, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*")); len(files) != 1 {
		t.Errorf("files left behind: %v", files)
	}
}

// Guards against a path without a directory, and against nodes that share one.
func TestSocketPath(t *testing.T) {
	if SocketPath("", "a") != "" {
		t.Error("got a path without a directory")
	}
	if SocketPath("/tmp", "a") == SocketPath("/tmp", "b") {
		t.Error("two nodes have the same path")
	}
}

// Guards against processes of a node that do not find each other because the path of their directory is too long for
// the address of a Unix socket, and against a descriptor that stays open for that.
func TestLinkInDirectoryWithLongPath(t *testing.T) {
	const limit = maxAddressBytes
	for _, length := range []int{limit - 40, limit - 30, limit - 8, limit, 1000} {
		dir := t.TempDir()
		for len(dir) < length {
			dir = filepath.Join(dir, strings.Repeat("x", min(200, max(length-len(dir)-1, 1))))
		}
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		path := SocketPath(dir, "127.0.0.1:9000")
		if _, err := Dial(path); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("%d bytes, without a listener: %v", len(dir), err)
		}
		listener, err := Listen(path)
		if err != nil {
			t.Fatalf("%d bytes: %v", len(dir), err)
		}
		successor, err := Dial(path)
		if err != nil {
			t.Fatalf("%d bytes: %v", len(dir), err)
		}
		predecessor, err := listener.Accept()
		if err != nil {
			t.Fatalf("%d bytes: %v", len(dir), err)
		}
		checkLinkWorks(t, predecessor, successor)
		listener.Close()
		successor.Close()
		predecessor.Close()
		if isOpen(dir) {
			t.Errorf("%d bytes: a descriptor of the directory is left open", len(dir))
		}
	}
}

// isOpen reports whether this process has a descriptor of a file or directory.
func isOpen(path string) bool {
	descriptors, _ := filepath.Glob("/proc/self/fd/*")
	return slices.ContainsFunc(descriptors, func(descriptor string) bool {
		target, err := os.Readlink(descriptor)
		return err == nil && target == path
	})
}

// Guards against input that makes decode panic, and against accepted messages that the node cannot use.
func FuzzDecode(f *testing.F) {
	for _, msg := range []Message{{Kind: KindHello}, {Kind: KindStateEnd, OutOfService: true, DiscoveryAddr: "a:1"},
		{Kind: KindState, State: &balance.HandoverState{Affinities: []balance.AffinityRecord{{ClientKey: "k"}}}},
		{Kind: KindConnection, Connection: &exchange.OpenConnection{FirstLine: []byte("OPEN"), Server: 3, Age: 1}}} {
		msg.Version = protocolVersion
		data, err := json.Marshal(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, 0)
		f.Add(data[:len(data)/2], 2)
		f.Add(bytes.ReplaceAll(data, []byte("1"), []byte("-1")), 2)
	}
	f.Fuzz(func(t *testing.T, data []byte, socketCount int) {
		msg, err := decode(data, socketCount)
		if err == nil && (msg.Version != protocolVersion || msg.Kind == "" || msg.Kind == KindConnection &&
			(msg.Connection == nil || socketCount != socketsPerConnection)) {
			t.Errorf("accepted %q with %d sockets", data, socketCount)
		}
		if err == nil && msg.State != nil { // the balancer must be able to restore it
			balancer := balance.New(balance.Config{Classes: map[string]balance.Class{"c": {}}}, 1)
			balancer.Handle(time.Hour, balance.EndpointUpdate{Kind: balance.ListSnapshot,
				Servers: []balance.Server{{ID: 1, State: balance.Ready}}})
			balancer.Restore(time.Hour, *msg.State)
			balancer.Handle(time.Hour, balance.Request{ID: 1, Class: "c", ClientKey: "k", Timeout: time.Second})
		}
	})
}
