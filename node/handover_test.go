package node

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
	"brassmux/internal/upgrade"
)

// withInheritedSocket returns a change of a configuration that makes a node inherit a listening socket of the test and
// hand over in a temporary directory, and the path of the hand-over socket.
func withInheritedSocket(t *testing.T) (change func(*Config), path string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd())) // the node closes the inherited descriptor
	if err != nil {
		t.Fatal(err)
	}
	dir, err := os.MkdirTemp("", "b") // the path of a socket must be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return func(c *Config) {
		c.Listen, c.ListenFD, c.HandoverDir, c.Admin = listener.Addr().String(), fd, dir, "127.0.0.1:0"
	}, upgrade.SocketPath(dir, listener.Addr().String())
}

// dialAsSuccessor connects to a node as its successor.
func dialAsSuccessor(t *testing.T, path string) *upgrade.Link {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if link, err := upgrade.Dial(path); err == nil {
			t.Cleanup(link.Close)
			return link
		} else if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// sendKind sends a message without contents.
func sendKind(t *testing.T, link *upgrade.Link, kind upgrade.Kind) {
	t.Helper()
	if err := link.Send(upgrade.Message{Kind: kind}, testTimeout); err != nil {
		t.Fatal(err)
	}
}

// receiveMessage receives a message and its sockets, which are closed when the test ends.
func receiveMessage(t *testing.T, link *upgrade.Link) (*upgrade.Message, []*net.TCPConn) {
	t.Helper()
	message, conns, err := link.Receive(time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	for _, conn := range conns {
		t.Cleanup(func() { conn.Close() })
	}
	return message, conns
}

// serveAsSuccessor receives the state of the node, announces that the successor serves, and returns the state messages.
func serveAsSuccessor(t *testing.T, link *upgrade.Link) (messages []*upgrade.Message) {
	t.Helper()
	sendKind(t, link, upgrade.KindHello)
	for {
		message, _ := receiveMessage(t, link)
		if messages = append(messages, message); message.Kind == upgrade.KindStateEnd {
			break
		}
	}
	sendKind(t, link, upgrade.KindServing)
	if message, _ := receiveMessage(t, link); message.Kind != upgrade.KindReleased {
		t.Fatalf("got a message of kind %v", message.Kind)
	}
	return messages
}

// Guards against losing a connection that the successor rejects. The node must keep serving it, and migrate it before
// the time limit of the shutdown.
func TestRejectedTransferIsMigrated(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, func(c *Config) { change(c); c.Timeouts.StopMS, c.Timeouts.CloseMS = 900, 300 }, srv)
	client, server := n.establish(srv)
	link := dialAsSuccessor(t, path)
	serveAsSuccessor(t, link)
	n.stop()
	message, conns := receiveMessage(t, link)
	if message.Kind != upgrade.KindConnection || len(conns) != 2 {
		t.Fatalf("got a message of kind %v with %d sockets", message.Kind, len(conns))
	}
	for _, conn := range conns {
		conn.Close()
	}
	sendKind(t, link, upgrade.KindRejected)
	client.send("still\r\n")
	server.expect("still\r\n")
	server.send("here\r\n")
	client.expect("here\r\n")
	go func() { // reject the retries too
		for {
			_, conns, err := link.Receive(time.Now().Add(testTimeout))
			if err != nil {
				return
			}
			for _, conn := range conns {
				conn.Close()
			}
			link.Send(upgrade.Message{Kind: upgrade.KindRejected}, testTimeout)
		}
	}()
	client.expect("MOVE\r\n")
	client.Close()
	n.wait()
	if handedOver, migrated := n.counter("handed_over"), n.counter("moved"); handedOver != 0 || migrated != 1 {
		t.Errorf("%d handed over and %d migrated, want 0 and 1", handedOver, migrated)
	}
}

// Guards against losing a connection whose successor crashes during the transfer. The node must keep and migrate it.
func TestTransferSurvivesSuccessorCrash(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, srv)
	client, server := n.establish(srv)
	link := dialAsSuccessor(t, path)
	serveAsSuccessor(t, link)
	n.stop()
	_, conns := receiveMessage(t, link)
	for _, conn := range conns {
		conn.Close()
	}
	link.Close()
	client.expect("MOVE\r\n") // without other data before it
	client.expectEnd(io.EOF)
	server.expectEnd(io.EOF)
	client.Close()
	n.wait()
}

// startWithHangingSuccessor stops a node with established connections and a successor that serves but does not respond
// to transfers. It calls beforeSuccessor before the successor connects.
func startWithHangingSuccessor(t *testing.T, stopMS int64, connections int, beforeSuccessor func(n *testNode,
	srv *testServer)) (n *testNode, link *upgrade.Link, clients []*testConn) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n = startNode(t, func(c *Config) {
		change(c)
		withoutHealthChecks(c)
		c.Timeouts.StopMS, c.Timeouts.CloseMS = stopMS, 300
	}, srv)
	for range connections {
		client, _ := n.establish(srv)
		clients = append(clients, client)
	}
	beforeSuccessor(n, srv)
	link = dialAsSuccessor(t, path)
	serveAsSuccessor(t, link)
	n.stop()
	return n, link, clients
}

// Guards against a successor that does not respond to a transfer and thereby delays the answers to pending requests or
// the end of the process.
func TestHangingSuccessorDoesNotDelayAnswers(t *testing.T) {
	var waiting *testConn
	n, link, _ := startWithHangingSuccessor(t, 700, 1, func(n *testNode, srv *testServer) {
		waiting = n.dial()
		waiting.send("OPEN id w c=pay,d=60000\r\n")
		srv.accept(t) // without an answer
	})
	startedAt := time.Now()
	receiveMessage(t, link)
	if line := waiting.readLine(); !strings.HasPrefix(line, "ERR") {
		t.Errorf("got %q", line)
	}
	n.wait()
	if elapsed := time.Since(startedAt); elapsed >= 2*messageTimeout { // the time limit for the answer of the successor
		t.Errorf("the process ended after %v", elapsed)
	}
}

// Guards against sending further connections to a successor that does not respond. The others must be migrated.
func TestHangingSuccessorGetsNoMoreConnections(t *testing.T) {
	const excess = 3
	n, link, clients := startWithHangingSuccessor(t, 2800, maxConcurrentTransfers+excess,
		func(*testNode, *testServer) {})
	isMigrated := make(chan bool, len(clients))
	for _, client := range clients {
		go func() {
			line, _ := client.reader.ReadString('\n')
			isMigrated <- line == "MOVE\r\n"
			client.Close()
		}()
	}
	for range maxConcurrentTransfers {
		receiveMessage(t, link)
	}
	for range excess {
		if !<-isMigrated {
			t.Error("a connection that was not transferred ended without MOVE")
		}
	}
	n.wait()
	if message, _, err := link.Receive(time.Now().Add(testTimeout)); err == nil {
		t.Errorf("the successor got another message of kind %v", message.Kind)
	}
}

// Guards against a failed hand-over that affects the node. It must be counted and logged once.
func TestInvalidHandoverMessageChangesNothing(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, srv)
	client, server := n.establish(srv)
	dialAsSuccessor(t, path).Close() // waits for the listener, and counts as a failure
	n.waitFor("the first failure", func() bool { return n.counter("handover_faults") == 1 })
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte(`{"version":1,"kind":"connection"`))
	n.waitFor("the second failure", func() bool { return n.counter("handover_faults") == 2 })
	if got := n.logs.FilterMessage("hand-over failed").Len(); got != 2 {
		t.Errorf("%d log lines, want 2", got)
	}
	client.send("still\r\n")
	server.expect("still\r\n")
	link := dialAsSuccessor(t, path) // a later hand-over must succeed
	serveAsSuccessor(t, link)
}

// Guards against a node that stays released after a successor has fetched the state and ended without serving: it must
// still accept clients and successors.
func TestSuccessorThatNeverServesChangesNothing(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, srv)
	for range 3 {
		link := dialAsSuccessor(t, path)
		sendKind(t, link, upgrade.KindHello)
		for {
			if message, _ := receiveMessage(t, link); message.Kind == upgrade.KindStateEnd {
				break
			}
		}
		failures := n.counter("handover_faults")
		link.Close()
		n.waitFor("the failure to be counted", func() bool { return n.counter("handover_faults") == failures+1 })
	}
	if got := n.ping(); got != "PONG\r\n" {
		t.Errorf("got %q", got)
	}
	n.establish(srv)
	link := dialAsSuccessor(t, path)
	messages := serveAsSuccessor(t, link)
	if stateEnd := messages[len(messages)-1]; stateEnd.OutOfService {
		t.Error("the node reports itself as out of service")
	}
}

// Guards against a crash of a process that ends while a successor asks for its state.
func TestStateOfEndedLoopIsEmpty(t *testing.T) {
	n := startNode(t, nil, newTestServer(t, "s-1"))
	n.stop()
	n.wait()
	if messages := insertIDs(n.loop.exportState(upgrade.Orders{}), 1, []uint64{1}); len(messages) > 0 {
		t.Errorf("got %v", messages)
	}
}

// Guards against a process that says it is ready before it listens for successors. An upgrade that starts at once would
// hand over nothing.
func TestReadyProcessListensForSuccessor(t *testing.T) {
	for range 20 {
		change, path := withInheritedSocket(t)
		n := startNode(t, change, newTestServer(t, "s-1"))
		for !n.lifecycle.isReady() {
			runtime.Gosched()
		}
		link, err := upgrade.Dial(path)
		if err != nil {
			t.Fatal(err)
		}
		link.Close()
	}
}

// Guards against disconnecting a successor while the previous one is still being handled, which would make it start
// without the state.
func TestNextSuccessorWaitsForPrevious(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, srv)
	n.handover.successorSlot <- struct{}{} // the previous successor
	link := dialAsSuccessor(t, path)
	sendKind(t, link, upgrade.KindHello)
	var timeoutError net.Error
	if _, _, err := link.Receive(time.Now().Add(50 * time.Millisecond)); !errors.As(err, &timeoutError) ||
		!timeoutError.Timeout() {
		t.Fatalf("the successor was disconnected: %v", err)
	}
	<-n.handover.successorSlot
	for {
		if message, _ := receiveMessage(t, link); message.Kind == upgrade.KindStateEnd {
			break
		}
	}
}

// startPredecessor accepts one successor, sends it messages, and releases the node to it.
func startPredecessor(t *testing.T, path string, messages ...upgrade.Message) {
	t.Helper()
	listener, err := upgrade.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	go func() {
		link, err := listener.Accept()
		if err != nil {
			return
		}
		defer link.Close()
		link.Receive(time.Now().Add(testTimeout))
		for _, message := range messages {
			link.Send(message, testTimeout)
		}
		if message, _, err := link.Receive(time.Now().Add(testTimeout)); err == nil &&
			message.Kind == upgrade.KindServing {
			link.Send(upgrade.Message{Kind: upgrade.KindReleased}, testTimeout)
			link.Receive(time.Now().Add(testTimeout))
		}
	}()
}

// Guards against a new process that does not take over the state of its predecessor: its endpoint list, which is newer
// than that of the configuration, and being out of service.
func TestStartTakesOverPredecessorState(t *testing.T) {
	srv := newTestServer(t, "s-new")
	change, path := withInheritedSocket(t)
	discoveryServer := newFakeDiscovery(t, 0)
	cfg := testConfig(t, discoveryServer)
	change(&cfg)
	startPredecessor(t, path,
		upgrade.Message{Kind: upgrade.KindState,
			Endpoints: &discovery.EndpointList{Version: 41, Full: true,
				Servers: []discovery.Endpoint{srv.endpoint("up")}}},
		upgrade.Message{Kind: upgrade.KindState, State: &balance.HandoverState{ConnectionRate: 3}},
		upgrade.Message{Kind: upgrade.KindStateEnd, OutOfService: true, DiscoveryAddr: discoveryServer.addr})
	n := runNode(t, cfg, discoveryServer)
	n.waitFor("the node to be ready", func() bool { return n.lifecycle.isReady() })
	if got := n.ping(); got != "ERR out of service\r\n" {
		t.Errorf("got %q", got)
	}
	n.waitFor("the watch of the list", func() bool { return discoveryServer.lastSinceVersion() == "41" })
	client := n.open("k", "")
	serverConn, _ := srv.accept(t)
	serverConn.send("UP r\r\n")
	client.expect("UP r\r\n")
	client.expect("MOVE\r\n") // because the node is out of service
}

// Guards against a new process that does not start in time because its predecessor sends an unexpected message or an
// incomplete state.
func TestStartWithFaultyPredecessor(t *testing.T) {
	for name, messages := range map[string][]upgrade.Message{
		"unexpected message": {{Kind: upgrade.KindAccepted}},
		"incomplete state":   {{Kind: upgrade.KindState, State: &balance.HandoverState{}}},
	} {
		t.Run(name, func(t *testing.T) {
			srv := newTestServer(t, "s-1")
			change, path := withInheritedSocket(t)
			startPredecessor(t, path, messages...)
			n := startNode(t, change, srv)
			client := n.open("k", "")
			serverConn, _ := srv.accept(t)
			serverConn.send("UP r\r\n")
			client.expect("UP r\r\n")
			if got := n.counter("handover_faults"); got != 1 {
				t.Errorf("%d failures counted, want 1", got)
			}
		})
	}
}

// Guards against a node that never listens for successors because the hand-over directory was not writable at its
// start, for example because of a full disk.
func TestSuccessorListenerRetriesUnwritableDirectory(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	dir := filepath.Dir(path)
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	n := startNode(t, change, srv)
	n.waitFor("the failure", func() bool { return n.counter("handover_faults") > 0 })
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	serveAsSuccessor(t, dialAsSuccessor(t, path))
}

// Guards against a stopping process that takes over connections. It must reject them, so that its predecessor keeps
// serving them.
func TestStoppingProcessRejectsTransfers(t *testing.T) {
	srv := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	discoveryServer := newFakeDiscovery(t, 0)
	cfg := testConfig(t, discoveryServer, srv)
	change(&cfg)
	cfg.Timeouts.StopMS = 5000
	predecessor, err := upgrade.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(predecessor.Close)
	links := make(chan *upgrade.Link, 1)
	go func() {
		link, err := predecessor.Accept()
		if err != nil {
			return
		}
		link.Receive(time.Now().Add(testTimeout))
		link.Send(upgrade.Message{Kind: upgrade.KindStateEnd, DiscoveryAddr: discoveryServer.addr}, testTimeout)
		link.Receive(time.Now().Add(testTimeout))
		link.Send(upgrade.Message{Kind: upgrade.KindReleased}, testTimeout)
		links <- link
	}()
	n := runNode(t, cfg, discoveryServer)
	link := <-links
	t.Cleanup(link.Close)
	n.waitFor("the node to serve", func() bool { return n.lifecycle.acceptsClients() })
	client, server := n.establish(srv) // delays the end of the shutdown
	n.stop()
	n.waitFor("the shutdown to begin", func() bool { return n.logs.FilterMessage("stopping").Len() > 0 })
	other := newTestServer(t, "s-2")
	toClient, _ := net.Dial("tcp", srv.addr)
	toServer, _ := net.Dial("tcp", other.addr)
	connection := &exchange.OpenConnection{FirstLine: []byte("OPEN i k c=chat,d=1000\r\n"),
		Server: balance.ServerID(other.endpoint("up").ID), Addr: other.addr}
	if err := link.Send(upgrade.Message{Kind: upgrade.KindConnection, Connection: connection}, testTimeout,
		toClient.(*net.TCPConn), toServer.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	if message, _ := receiveMessage(t, link); message.Kind != upgrade.KindRejected {
		t.Errorf("the transfer is answered with %s", message.Kind)
	}
	client.Close()
	server.Close()
}
