package node

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
	"brassmux/internal/upgrade"
)

// withInheritedSocket has a node listen on a socket that the test holds, and meet its other process in a folder.
func withInheritedSocket(t *testing.T) (change func(*Config), path string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd())) // the node closes its own
	if err != nil {
		t.Fatal(err)
	}
	folder, err := os.MkdirTemp("", "b") // a socket's name must be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	return func(c *Config) {
		c.Listen, c.ListenFD, c.HandoverDir, c.Admin = l.Addr().String(), fd, folder, "127.0.0.1:0"
	}, upgrade.SocketPath(folder, l.Addr().String())
}

// dialAsSuccessor is a stand-in for the next process.
func dialAsSuccessor(t *testing.T, path string) *upgrade.Link {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if link, err := upgrade.Dial(path); err == nil {
			t.Cleanup(link.Close)
			return link
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

func sendKind(t *testing.T, link *upgrade.Link, kind upgrade.Kind) {
	t.Helper()
	if err := link.Send(upgrade.Message{Kind: kind}, testTimeout); err != nil {
		t.Fatal(err)
	}
}

func receiveMessage(t *testing.T, link *upgrade.Link) (*upgrade.Message, []*net.TCPConn) {
	t.Helper()
	m, conns, err := link.Receive(time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range conns {
		t.Cleanup(func() { c.Close() })
	}
	return m, conns
}

// serveAsSuccessor has the stand-in say that it does, and gives what it was told before.
func serveAsSuccessor(t *testing.T, link *upgrade.Link) (messages []*upgrade.Message) {
	t.Helper()
	sendKind(t, link, upgrade.KindHello)
	for {
		m, _ := receiveMessage(t, link)
		if messages = append(messages, m); m.Kind == upgrade.KindStateEnd {
			break
		}
	}
	sendKind(t, link, upgrade.KindServing)
	if m, _ := receiveMessage(t, link); m.Kind != upgrade.KindReleased {
		t.Fatalf("got %v", m.Kind)
	}
	return messages
}

// What the next process does not take goes on, and is moved when the time to stop runs out.
func TestAConnectionThatIsNotTakenIsServedAndMoved(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, func(c *Config) { change(c); c.Timeouts.StopMS, c.Timeouts.CloseMS = 900, 300 }, h)
	client, server := n.establish(h)
	link := dialAsSuccessor(t, path)
	serveAsSuccessor(t, link)
	n.stop()
	m, conns := receiveMessage(t, link)
	if m.Kind != upgrade.KindConnection || len(conns) != 2 {
		t.Fatalf("got %v with %d sockets", m.Kind, len(conns))
	}
	for _, c := range conns {
		c.Close()
	}
	sendKind(t, link, upgrade.KindRejected)
	client.send("still\r\n")
	server.expect("still\r\n")
	server.send("here\r\n")
	client.expect("here\r\n")
	go func() { // and each time it is offered again
		for {
			_, conns, err := link.Receive(time.Now().Add(testTimeout))
			if err != nil {
				return
			}
			for _, c := range conns {
				c.Close()
			}
			link.Send(upgrade.Message{Kind: upgrade.KindRejected}, testTimeout)
		}
	}()
	client.expect("MOVE\r\n")
	client.Close()
	n.wait()
	if given, moved := n.counter("handed_over"), n.counter("moved"); given != 0 || moved != 1 {
		t.Errorf("%d handed over, %d moved", given, moved)
	}
}

// The next process dies while it is handed a connection: the old one still has it.
func TestAConnectionOutlivesTheProcessThatWasToTakeIt(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, h)
	client, server := n.establish(h)
	link := dialAsSuccessor(t, path)
	serveAsSuccessor(t, link)
	n.stop()
	_, conns := receiveMessage(t, link)
	for _, c := range conns {
		c.Close()
	}
	link.Close()
	client.expect("MOVE\r\n") // and nothing before it
	client.expectEnd(io.EOF)
	server.expectEnd(io.EOF)
	client.Close()
	n.wait()
}

// startWithHangingSuccessor stops a node beside a next process that serves and then answers nothing. Some connections
// stand.
func startWithHangingSuccessor(t *testing.T, stop int64, stands int, before func(n *testNode,
	h *testServer)) (n *testNode, link *upgrade.Link, clients []*testConn) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n = startNode(t, func(c *Config) {
		change(c)
		withoutHealthChecks(c)
		c.Timeouts.StopMS, c.Timeouts.CloseMS = stop, 300
	}, h)
	for range stands {
		client, _ := n.establish(h)
		clients = append(clients, client)
	}
	before(n, h)
	link = dialAsSuccessor(t, path)
	serveAsSuccessor(t, link)
	n.stop()
	return n, link, clients
}

// The next process hangs with a connection in its hands: who waits for an answer here has it in time all the same,
// and the process ends in its time.
func TestANextProcessThatHangsHoldsUpNoAnswer(t *testing.T) {
	var waits *testConn
	n, link, _ := startWithHangingSuccessor(t, 700, 1, func(n *testNode, h *testServer) {
		waits = n.dial()
		waits.send("OPEN id w c=pay,d=60000\r\n")
		h.accept(t) // and is not answered
	})
	begun := time.Now()
	receiveMessage(t, link)
	if line := waits.readLine(); !strings.HasPrefix(line, "ERR") {
		t.Errorf("got %q", line)
	}
	n.wait()
	if took := time.Since(begun); took >= 2*messageTimeout { // what the next process has to answer
		t.Errorf("ended after %v", took)
	}
}

// It is offered no more than it had been when it began to hang; the others are moved.
func TestANextProcessThatHangsIsOfferedNoMore(t *testing.T) {
	const more = 3
	n, link, clients := startWithHangingSuccessor(t, 2800, maxConcurrentTransfers+more, func(*testNode, *testServer) {})
	moved := make(chan bool, len(clients))
	for _, client := range clients {
		go func() {
			line, _ := client.in.ReadString('\n')
			moved <- line == "MOVE\r\n"
			client.Close()
		}()
	}
	for range maxConcurrentTransfers {
		receiveMessage(t, link)
	}
	for range more {
		if !<-moved {
			t.Error("a connection that was not offered has ended without MOVE")
		}
	}
	n.wait()
	if m, _, err := link.Receive(time.Now().Add(testTimeout)); err == nil {
		t.Errorf("it was offered %v", m.Kind)
	}
}

// A hand-over that is damaged is counted, told in one line, and changes nothing.
func TestADamagedHandOverChangesNothing(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, h)
	client, server := n.establish(h)
	dialAsSuccessor(t, path).Close() // it listens now, and this is one fault
	n.waitFor("that to be over", func() bool { return n.counter("handover_faults") == 1 })
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte(`{"version":1,"kind":"connection"`))
	n.waitFor("the fault to be counted", func() bool { return n.counter("handover_faults") == 2 })
	if got := n.logs.FilterMessage("hand-over failed").Len(); got != 2 {
		t.Errorf("%d lines", got)
	}
	client.send("still\r\n")
	server.expect("still\r\n")
	link := dialAsSuccessor(t, path) // the next one finds the node as it was
	serveAsSuccessor(t, link)
}

// A process that says hello and goes leaves the node its cold budgets and its place.
func TestANextProcessThatNeverServesLeavesAllAsItWas(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, h)
	for range 3 {
		link := dialAsSuccessor(t, path)
		sendKind(t, link, upgrade.KindHello)
		for {
			if m, _ := receiveMessage(t, link); m.Kind == upgrade.KindStateEnd {
				break
			}
		}
		faults := n.counter("handover_faults")
		link.Close()
		n.waitFor("its end to be seen", func() bool { return n.counter("handover_faults") == faults+1 })
	}
	if got := n.ping(); got != "PONG\r\n" {
		t.Errorf("got %q", got)
	}
	n.establish(h)
	link := dialAsSuccessor(t, path)
	messages := serveAsSuccessor(t, link)
	if last := messages[len(messages)-1]; last.OutOfService {
		t.Error("it is reported as out of service")
	}
}

// A process that comes while the one before it is still being let go waits for its turn; it would start knowing
// nothing.
func TestANextProcessThatComesAtOnceIsHeard(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	n := startNode(t, change, h)
	n.handover.attending <- struct{}{} // the one before
	link := dialAsSuccessor(t, path)
	sendKind(t, link, upgrade.KindHello)
	var late net.Error
	if _, _, err := link.Receive(time.Now().Add(50 * time.Millisecond)); !errors.As(err, &late) || !late.Timeout() {
		t.Fatalf("it was sent away: %v", err)
	}
	<-n.handover.attending
	for {
		if m, _ := receiveMessage(t, link); m.Kind == upgrade.KindStateEnd {
			break
		}
	}
}

// before is a stand-in for the process that serves already.
func startPredecessor(t *testing.T, path string, say ...upgrade.Message) {
	t.Helper()
	l, err := upgrade.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	go func() {
		link, err := l.Accept()
		if err != nil {
			return
		}
		defer link.Close()
		link.Receive(time.Now().Add(testTimeout))
		for _, m := range say {
			link.Send(m, testTimeout)
		}
		if m, _, err := link.Receive(time.Now().Add(testTimeout)); err == nil && m.Kind == upgrade.KindServing {
			link.Send(upgrade.Message{Kind: upgrade.KindReleased}, testTimeout)
			link.Receive(time.Now().Add(testTimeout))
		}
	}()
}

// The new process goes by the list of the old one, which is newer than its configuration's, and stays out of service.
func TestTheNewProcessGoesOnWhereTheOldOneStands(t *testing.T) {
	h := newTestServer(t, "s-new")
	change, path := withInheritedSocket(t)
	list := newFakeDiscovery(t, 0)
	cfg := testConfig(t, list)
	change(&cfg)
	startPredecessor(t, path,
		upgrade.Message{Kind: upgrade.KindState,
			Endpoints: &discovery.EndpointList{Version: 41, Full: true,
				Servers: []discovery.Endpoint{h.endpoint("up")}}},
		upgrade.Message{Kind: upgrade.KindState, State: &balance.HandoverState{ConnectionRate: 3}},
		upgrade.Message{Kind: upgrade.KindStateEnd, OutOfService: true, DiscoveryAddr: list.addr})
	n := runNode(t, cfg, list)
	n.waitFor("the node to be ready", func() bool { return n.lifecycle.isReady() })
	if got := n.ping(); got != "ERR out of service\r\n" {
		t.Errorf("got %q", got)
	}
	n.waitFor("the list to be asked for", func() bool { return list.since() == "41" })
	client := n.open("k", "")
	s, _ := h.accept(t)
	s.send("UP r\r\n")
	client.expect("UP r\r\n")
	client.expect("MOVE\r\n") // as the node is out of service
}

// An old process that says nonsense, or nothing more, holds the new one up for no longer than its time.
func TestTheNewProcessStartsWithoutTheOldOnesWord(t *testing.T) {
	for name, say := range map[string][]upgrade.Message{
		"nonsense": {{Kind: upgrade.KindAccepted}},
		"half":     {{Kind: upgrade.KindState, State: &balance.HandoverState{}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestServer(t, "s-1")
			change, path := withInheritedSocket(t)
			startPredecessor(t, path, say...)
			n := startNode(t, change, h)
			client := n.open("k", "")
			s, _ := h.accept(t)
			s.send("UP r\r\n")
			client.expect("UP r\r\n")
			if got := n.counter("handover_faults"); got != 1 {
				t.Errorf("%d faults counted", got)
			}
		})
	}
}

// The folder where the processes of a node meet cannot be written to for a while, as where a disk is full: the next
// process still finds this one afterwards.
func TestTheNextProcessFindsThisOneOnceTheFolderCanBeWritten(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	folder := filepath.Dir(path)
	if err := os.Remove(folder); err != nil {
		t.Fatal(err)
	}
	n := startNode(t, change, h)
	n.waitFor("the fault", func() bool { return n.counter("handover_faults") > 0 })
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	serveAsSuccessor(t, dialAsSuccessor(t, path))
}

// A process that was told to stop takes over no more connections: the one before it, which still has them, goes on
// with them.
func TestAProcessThatStopsTakesOverNothing(t *testing.T) {
	h := newTestServer(t, "s-1")
	change, path := withInheritedSocket(t)
	list := newFakeDiscovery(t, 0)
	cfg := testConfig(t, list, h)
	change(&cfg)
	cfg.Timeouts.StopMS = 5000
	before, err := upgrade.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(before.Close)
	links := make(chan *upgrade.Link, 1)
	go func() {
		link, err := before.Accept()
		if err != nil {
			return
		}
		link.Receive(time.Now().Add(testTimeout))
		link.Send(upgrade.Message{Kind: upgrade.KindStateEnd, DiscoveryAddr: list.addr}, testTimeout)
		link.Receive(time.Now().Add(testTimeout))
		link.Send(upgrade.Message{Kind: upgrade.KindReleased}, testTimeout)
		links <- link
	}()
	n := runNode(t, cfg, list)
	link := <-links
	t.Cleanup(link.Close)
	n.waitFor("the node to serve", func() bool { return n.lifecycle.acceptsClients() })
	client, server := n.establish(h) // holds the stop up
	n.stop()
	n.waitFor("the stop", func() bool { return n.logs.FilterMessage("stopping").Len() > 0 })
	other := newTestServer(t, "s-2")
	toClient, _ := net.Dial("tcp", h.addr)
	toServer, _ := net.Dial("tcp", other.addr)
	standing := &exchange.OpenConnection{FirstLine: []byte("OPEN i k c=chat,d=1000\r\n"),
		Server: balance.ServerID(other.endpoint("up").ID), Addr: other.addr}
	if err := link.Send(upgrade.Message{Kind: upgrade.KindConnection, Connection: standing}, testTimeout,
		toClient.(*net.TCPConn), toServer.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	if m, _ := receiveMessage(t, link); m.Kind != upgrade.KindRejected {
		t.Errorf("a connection is %s", m.Kind)
	}
	client.Close()
	server.Close()
}
