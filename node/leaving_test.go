package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"brassmux/internal/control"
	"brassmux/internal/exchange"
	"brassmux/internal/settings"
)

// leavingClients is how many clients of a play leave.
const leavingClients = 50

// Wherever a request waits, nothing is sent for a client that has left: closed, broken, or ended its sending, since
// until its answer it has nothing else to say. Whatever would have the request go on comes over 0.1 s later, and
// servers count what they are sent.
func TestAClientThatLeavesWhileItWaitsIsNotForwarded(t *testing.T) {
	for name, place := range waitingPlaces {
		for way, leave := range leaveWays {
			t.Run(name+", "+way, func(t *testing.T) {
				w := newPendingClients(t, place)
				w.leaveAt(place, leave)
			})
		}
	}
}

// leaveWays are the ways in which a client leaves.
var leaveWays = map[string]func(c *testConn){
	"closes":                    func(c *testConn) { c.Close() },
	"breaks":                    func(c *testConn) { c.reset() },
	"ends its sending":          func(c *testConn) { c.CloseWrite() },
	"closes, has written ahead": func(c *testConn) { c.send("a\r\nb\r\n"); c.Close() },
}

// waitingPlace is a place where requests wait.
type waitingPlace struct {
	attempts   int  // for each client, before it leaves
	decided    int  // times that the decisions heard of each; -1 where the node does not run yet
	holdsCheck bool // the health check is held
	change     func(w *pendingClients, c *Config)
	wait       func(w *pendingClients) (then func())
}

func checkHealthFirst(_ *pendingClients, c *Config) {
	c.Timeouts.HealthCheckMS, c.Settings.Limits.HealthChecksAllowed = 60_000, true
}

func holdConnections(w *pendingClients, c *Config) {
	c.dialServer, c.Settings.Limits.DialTimeoutMicros = w.gate.connect, 60_000_000
}

var waitingPlaces = map[string]waitingPlace{
	// the process comes to it later
	"in the listener's queue":                              {-1, -1, false, nil, waitInListenerQueue},
	"in the queue":                                         {0, 0, false, nil, waitInQueue},
	"before the queue":                                     {0, 0, false, nil, waitBeforeQueue},
	"while its server is asked":                            {0, 1, true, checkHealthFirst, waitForHealthCheck},
	"while its connection comes up":                        {1, 1, false, holdConnections, waitForConnection},
	"while its next connection comes up, after an error":   {2, 1, false, holdConnections, waitForConnectionAfterError},
	"while its next connection comes up, after a time-out": {2, 1, false, holdConnections, waitAfterTimeout},
	"while its attempt waits for a budget": {0, 1, false, func(_ *pendingClients, c *Config) {
		leaseQuotas(c)
		c.Budgets.ConnectsPerSecond = 4 * leavingClients
	}, waitForConnectQuota},
	"while it waits for its customer's budget": {0, 0, false, func(_ *pendingClients, c *Config) {
		leaseQuotas(c)
		c.Budgets.OpensPerSecond = 4 * leavingClients
	}, waitForOpenQuota},
	"before its connection is tried again": {1, 0, false, nil, waitForReconnect},
	"while no list names its server":       {0, 0, false, nil, waitForServerName},
	"when its server has it":               {1, 1, false, nil, waitAtServer},
}

func waitInListenerQueue(w *pendingClients) func() {
	w.open("")
	w.leavingSeen = func() bool { return true }
	return w.n.run
}

func waitInQueue(w *pendingClients) func() {
	hold := w.n.blockLoop()
	w.open("")
	w.n.waitFor("the requests", func() bool { return len(w.n.loop.events) == leavingClients })
	w.leavingSeen = func() bool { return len(w.n.loop.events) == 2*leavingClients } // their ends, behind them
	return func() { close(hold) }
}

func waitBeforeQueue(w *pendingClients) func() {
	hold := w.n.blockLoop()
	for len(w.n.loop.events) < eventQueueSize {
		w.n.loop.post(func() {})
	}
	w.open("")
	w.n.waitFor("the requests", func() bool { return w.n.frontend.Counters.Requests.Load() == leavingClients })
	w.leavingSeen = func() bool {
		return strings.Count(allStacks(), "exchange.(*Exchange).handleClientEnd(") == leavingClients
	}
	return func() { close(hold) }
}

func waitForHealthCheck(w *pendingClients) func() {
	w.open("")
	check, _ := w.h.accept(w.t)
	w.n.waitFor("the requests", func() bool {
		return w.n.logs.FilterMessage("request").Len() == leavingClients
	})
	return func() {
		check.send("PONG x0=0.1\r\n")
		w.n.waitFor("the answer", func() bool {
			return w.n.logs.FilterMessage("health check result").Len() == 1
		})
	}
}

func waitForConnection(w *pendingClients) func() {
	w.open("")
	return w.awaitConnections()
}

func waitForConnectionAfterError(w *pendingClients) func() {
	w.open("")
	w.awaitConnections()()
	for range leavingClients {
		s, _ := w.acceptAttempt()
		s.send("ERR\r\n")
	}
	return w.awaitConnections()
}

func waitAfterTimeout(w *pendingClients) func() {
	w.t.Parallel() // half of its time
	w.timeoutMS = 4000
	w.open("")
	w.awaitConnections()()
	for range leavingClients {
		w.acceptAttempt() // and is not answered
	}
	return w.awaitConnections()
}

func waitForConnectQuota(w *pendingClients) func() {
	grant := w.n.withholdQuotas(control.Connects, uint64(settings.HashServerID(w.h.id)))
	w.open("")
	w.n.waitFor("the requests", func() bool { return w.n.waitingForQuotas() == leavingClients })
	return grant
}

func waitForOpenQuota(w *pendingClients) func() {
	grant := w.n.withholdQuotas(control.Opens, customerHash(&exchange.Head{Key: []byte("k")}))
	w.open("")
	w.n.waitFor("the requests", func() bool { return w.n.waitingForQuotas() == leavingClients })
	return grant
}

func waitForReconnect(w *pendingClients) func() {
	w.open(",at=s-1")
	for range leavingClients {
		s, _ := w.h.accept(w.t)
		s.send("BUSY\r\n")
	}
	w.n.waitFor("the pause", func() bool { return w.n.counter("attempts_full") == leavingClients })
	return func() {
		w.n.discovery.sendList(2, false, w.h.endpointJSON("removed"))
		again := make(chan int)
		// begun after the pause
		time.AfterFunc(reconnectInterval, func() {
			w.n.loop.post(func() { again <- len(w.n.loop.awaitingServer) })
		})
		if waiting := <-again; waiting > 0 {
			w.t.Error("it waits for a list that names its server")
		}
	}
}

func waitForServerName(w *pendingClients) func() {
	w.open(",at=s-9")
	w.n.waitFor("them to wait", func() bool { return w.n.counter("standing_before") == leavingClients })
	return func() {
		w.n.discovery.sendList(2, false, (&testServer{id: "s-9", addr: w.h.addr}).endpointJSON("up"))
		w.n.waitFor("the news", func() bool {
			return w.n.counter("list_changes") == 1 && w.n.addressOf(&testServer{id: "s-9"}) != ""
		})
	}
}

func waitAtServer(w *pendingClients) func() {
	w.open("")
	var servers []*testConn
	for range leavingClients {
		s, _ := w.h.accept(w.t)
		servers = append(servers, s)
	}
	return func() {
		for _, s := range servers {
			s.expectEnd(io.EOF) // what is out is called off
		}
	}
}

// newPendingClients starts a node with what is around clients that wait.
func newPendingClients(t *testing.T, place waitingPlace) *pendingClients {
	t.Helper()
	w := &pendingClients{t: t, h: newTestServer(t, "s-1"), gate: newDialGate(), timeoutMS: 20_000}
	if place.holdsCheck {
		w.h.addr = acceptConns(t, func(check *testConn) {
			w.h.busy.Go(func() {
				line, _ := check.in.ReadString('\n')
				w.h.firstLines <- line
				w.h.conns <- check
			})
		})
	}
	hosts := []*testServer{w.h}
	if place.attempts == 2 {
		w.other = newTestServer(t, "s-2")
		hosts = append(hosts, w.other)
	}
	list := newFakeDiscovery(t, 0)
	cfg := testConfig(t, list, hosts...)
	cfg.Settings.Limits.HealthChecksAllowed = false
	if place.change != nil {
		place.change(w, &cfg)
	}
	w.n = newTestNode(t, cfg, list)
	if place.decided >= 0 {
		w.n.run()
	}
	return w
}

// leaveAt has the clients wait, leave and be forgotten.
func (w *pendingClients) leaveAt(place waitingPlace, leave func(c *testConn)) {
	then := place.wait(w)
	for _, client := range w.clients {
		leave(client)
	}
	left := time.Now()
	if w.leavingSeen == nil {
		w.leavingSeen = func() bool { return w.n.counter("left") == leavingClients }
	}
	w.n.waitFor("their leaving to be seen", w.leavingSeen)
	time.Sleep(time.Until(left.Add(100 * time.Millisecond))) // the bound
	then()
	w.n.waitFor("all to be over", func() bool {
		return w.n.counter("connections") == leavingClients && w.n.frontend.Handshakes() == 0 &&
			w.n.openRequests() == 0 && w.n.frontend.OpenRequests() == 0
	})
	w.checkNothingSent(place)
}

func (w *pendingClients) checkNothingSent(place waitingPlace) {
	t := w.t
	t.Helper()
	if sent := w.h.countUnaccepted(t); sent > 0 {
		t.Errorf("%d were forwarded", sent)
	}
	if w.other != nil && w.other.countUnaccepted(t) > 0 {
		t.Error("some were forwarded")
	}
	if n := w.n.counter("failed"); n != 0 {
		t.Errorf("%d count as failed", n)
	}
	if place.decided < 0 {
		return
	}
	if n := w.n.counter("attempts"); n != int64(place.attempts*leavingClients) ||
		w.n.counter("left") != leavingClients {
		t.Errorf("%d attempts, %d have left", n, w.n.counter("left"))
	}
	if decided := w.n.logs.FilterMessage("request").Len(); decided != place.decided*leavingClients {
		t.Errorf("decided on %d times", decided)
	}
}

// Who ends its sending and waits for no server's answer has not left.
func TestAnEndOfSendingIsNoLeaveAtTheDoor(t *testing.T) {
	n := startNode(t, nil)
	for first, answer := range map[string]string{"PING\r\n": "PONG\r\n", "BOO\r\n": "ERR unknown request\r\n"} {
		c := n.dial()
		c.send(first)
		c.CloseWrite()
		c.expect(answer)
		c.expectEnd(io.EOF)
	}
}

// pendingClients is requests that wait somewhere, with what is around them.
type pendingClients struct {
	t           *testing.T
	n           *testNode
	h, other    *testServer
	gate        *dialGate
	timeoutMS   int // for their answers, in milliseconds
	clients     []*testConn
	leavingSeen func() bool // their leaving has been seen
}

func (w *pendingClients) open(more string) {
	for i := range leavingClients {
		c := w.n.dial()
		c.send(fmt.Sprintf("OPEN id-%d k c=chat,d=%d%s\r\n", i, w.timeoutMS, more))
		w.clients = append(w.clients, c)
	}
}

// acceptAttempt waits for an attempt at either server.
func (w *pendingClients) acceptAttempt() (s *testConn, first string) {
	w.t.Helper()
	select {
	case s = <-w.h.conns:
		return s, <-w.h.firstLines
	case s = <-w.other.conns:
		return s, <-w.other.firstLines
	case <-time.After(testTimeout):
		w.t.Fatal("no attempt has come")
		return nil, ""
	}
}

// awaitConnections waits until all have a connection that has come up and is held.
func (w *pendingClients) awaitConnections() (pass func()) {
	w.t.Helper()
	for range leavingClients {
		w.gate.awaitConnection(w.t)
	}
	return func() {
		for range leavingClients {
			w.gate.release <- struct{}{}
		}
	}
}

func TestAClientThatLeavesCallsItsAttemptOff(t *testing.T) {
	h := newTestServer(t, "s-1")
	n := startNode(t, nil, h)
	client := n.open("k", "")
	server, _ := h.accept(t)
	client.Close()
	server.expectEnd(io.EOF)
	n.expectCode("client_left")
	n.waitFor("it to be forgotten", func() bool { return n.openRequests() == 0 })
	if n.counter("left") != 1 || n.counter("attempts") != 1 {
		t.Error("the client's leaving is not counted, or it was tried again")
	}
}

// No attempt is out then, whose end would have it forgotten.
func TestAClientThatLeavesWhileItsServerIsAskedIsForgotten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes the probe and answers nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := startNode(t, func(c *Config) {
		c.Timeouts.HealthCheckMS = 60_000
	}, &testServer{id: "s-1", addr: l.Addr().String()})
	client := n.open("k", "")
	n.waitFor("the probe", func() bool { return n.counter("probes") == 1 })
	client.Close()
	n.waitFor("the client's leaving", func() bool { return n.counter("left") == 1 })
	if held := n.openRequests(); held != 0 {
		t.Errorf("%d held", held)
	}
}
