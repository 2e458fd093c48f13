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

// clientCount is the number of clients that disconnect in each test case.
const clientCount = 50

// Guards against forwarding requests of clients that have disconnected while the request waited, at any stage. A client
// has also disconnected if it half-closes before its answer. Each stage resumes 0.1 s after the disconnect, and the
// servers count the requests that they receive.
func TestDisconnectedClientIsNotForwarded(t *testing.T) {
	for name, stage := range waitingStages {
		for method, disconnect := range disconnects {
			t.Run(name+", "+method, func(t *testing.T) {
				p := newPendingClients(t, stage)
				p.disconnectAt(stage, disconnect)
			})
		}
	}
}

// disconnects are ways in which a client disconnects.
var disconnects = map[string]func(client *testConn){
	"closes":                       func(client *testConn) { client.Close() },
	"resets":                       func(client *testConn) { client.reset() },
	"half-closes":                  func(client *testConn) { client.CloseWrite() },
	"sends lines early and closes": func(client *testConn) { client.send("a\r\nb\r\n"); client.Close() },
}

// waitingStage is a stage of processing at which requests wait.
type waitingStage struct {
	attempts         int  // of each client before it disconnects
	decisions        int  // of the balancer for each client; -1 if the node does not run yet
	holdsHealthCheck bool // the answer to the health check is held back

	// change alters the configuration; it may be nil.
	change func(p *pendingClients, c *Config)
	// wait makes the requests wait at the stage, and returns a function that resumes their processing.
	wait func(p *pendingClients) (resume func())
}

// checkHealthFirst enables health checks that do not time out.
func checkHealthFirst(_ *pendingClients, c *Config) {
	c.Timeouts.HealthCheckMS, c.Settings.Limits.HealthChecksAllowed = 60_000, true
}

// holdConnections installs the dial gate.
func holdConnections(p *pendingClients, c *Config) {
	c.dialServer, c.Settings.Limits.DialTimeoutMicros = p.gate.dial, 60_000_000
}

// waitingStages are all stages at which a request may wait.
var waitingStages = map[string]waitingStage{
	// The node starts only after the disconnects.
	"in the listener's queue":                    {-1, -1, false, nil, waitInListenerQueue},
	"in the event queue":                         {0, 0, false, nil, waitInQueue},
	"before the full event queue":                {0, 0, false, nil, waitBeforeQueue},
	"during the health check":                    {0, 1, true, checkHealthFirst, waitForHealthCheck},
	"during the connect":                         {1, 1, false, holdConnections, waitForConnection},
	"during the second connect, after an error":  {2, 1, false, holdConnections, waitForConnectionAfterError},
	"during the second connect, after a timeout": {2, 1, false, holdConnections, waitForConnectionAfterTimeout},
	"waiting for the quota of connects": {0, 1, false, func(_ *pendingClients, c *Config) {
		leaseQuotas(c)
		c.Budgets.ConnectsPerSecond = 4 * clientCount
	}, waitForConnectQuota},
	"waiting for the quota of the customer": {0, 0, false, func(_ *pendingClients, c *Config) {
		leaseQuotas(c)
		c.Budgets.OpensPerSecond = 4 * clientCount
	}, waitForOpenQuota},
	"before a retry of a reconnect":        {1, 0, false, nil, waitForReconnect},
	"while the server is not listed":       {0, 0, false, nil, waitForServerName},
	"waiting for the answer of the server": {1, 1, false, nil, waitAtServer},
}

func waitInListenerQueue(p *pendingClients) func() {
	p.open("")
	p.disconnectsSeen = func() bool { return true }
	return p.n.run
}

func waitInQueue(p *pendingClients) func() {
	unblock := p.n.blockLoop()
	p.open("")
	p.n.waitFor("the requests", func() bool { return len(p.n.loop.events) == clientCount })
	// The queue has the requests, followed by the disconnects.
	p.disconnectsSeen = func() bool { return len(p.n.loop.events) == 2*clientCount }
	return func() { close(unblock) }
}

func waitBeforeQueue(p *pendingClients) func() {
	unblock := p.n.blockLoop()
	for len(p.n.loop.events) < eventQueueSize {
		p.n.loop.post(func() {})
	}
	p.open("")
	p.n.waitFor("the requests", func() bool { return p.n.frontend.Counters.Requests.Load() == clientCount })
	p.disconnectsSeen = func() bool {
		return strings.Count(allStacks(), "exchange.(*Exchange).handleClientEnd(") == clientCount
	}
	return func() { close(unblock) }
}

func waitForHealthCheck(p *pendingClients) func() {
	p.open("")
	check, _ := p.srv.accept(p.t)
	p.n.waitFor("the requests", func() bool {
		return p.n.logs.FilterMessage("request").Len() == clientCount
	})
	return func() {
		check.send("PONG x0=0.1\r\n")
		p.n.waitFor("the health check result", func() bool {
			return p.n.logs.FilterMessage("health check result").Len() == 1
		})
	}
}

func waitForConnection(p *pendingClients) func() {
	p.open("")
	return p.awaitConnections()
}

func waitForConnectionAfterError(p *pendingClients) func() {
	p.open("")
	p.awaitConnections()()
	for range clientCount {
		serverConn, _ := p.acceptAttempt()
		serverConn.send("ERR\r\n")
	}
	return p.awaitConnections()
}

func waitForConnectionAfterTimeout(p *pendingClients) func() {
	p.t.Parallel() // takes half of the time of the whole test
	p.timeoutMS = 4000
	p.open("")
	p.awaitConnections()()
	for range clientCount {
		p.acceptAttempt() // without an answer
	}
	return p.awaitConnections()
}

func waitForConnectQuota(p *pendingClients) func() {
	grant := p.n.withholdQuotas(control.Connects, uint64(settings.HashServerID(p.srv.id)))
	p.open("")
	p.n.waitFor("the requests", func() bool { return p.n.waitingForQuotas() == clientCount })
	return grant
}

func waitForOpenQuota(p *pendingClients) func() {
	grant := p.n.withholdQuotas(control.Opens, customerHash(&exchange.Head{Key: []byte("k")}))
	p.open("")
	p.n.waitFor("the requests", func() bool { return p.n.waitingForQuotas() == clientCount })
	return grant
}

func waitForReconnect(p *pendingClients) func() {
	p.open(",at=s-1")
	for range clientCount {
		serverConn, _ := p.srv.accept(p.t)
		serverConn.send("BUSY\r\n")
	}
	p.n.waitFor("the rejections", func() bool { return p.n.counter("attempts_full") == clientCount })
	return func() {
		p.n.discovery.sendList(2, false, p.srv.endpointJSON("removed"))
		waitingCount := make(chan int)
		// Started after the reconnect timers, so it expires after them.
		time.AfterFunc(reconnectInterval, func() {
			p.n.loop.post(func() { waitingCount <- len(p.n.loop.awaitingServer) })
		})
		if waiting := <-waitingCount; waiting > 0 {
			p.t.Error("requests wait for their server")
		}
	}
}

func waitForServerName(p *pendingClients) func() {
	p.open(",at=s-9")
	p.n.waitFor("the requests", func() bool { return p.n.counter("standing_before") == clientCount })
	return func() {
		p.n.discovery.sendList(2, false, (&testServer{id: "s-9", addr: p.srv.addr}).endpointJSON("up"))
		p.n.waitFor("the server to be listed", func() bool {
			return p.n.counter("list_changes") == 1 && p.n.addressOf(&testServer{id: "s-9"}) != ""
		})
	}
}

func waitAtServer(p *pendingClients) func() {
	p.open("")
	var servers []*testConn
	for range clientCount {
		serverConn, _ := p.srv.accept(p.t)
		servers = append(servers, serverConn)
	}
	return func() {
		for _, serverConn := range servers {
			serverConn.expectEnd(io.EOF) // the attempt is cancelled
		}
	}
}

// newPendingClients sets up the node and the servers for clients that wait at a stage.
func newPendingClients(t *testing.T, stage waitingStage) *pendingClients {
	t.Helper()
	p := &pendingClients{t: t, srv: newTestServer(t, "s-1"), gate: newDialGate(), timeoutMS: 20_000}
	if stage.holdsHealthCheck {
		p.srv.addr = acceptConns(t, func(check *testConn) {
			p.srv.handlers.Go(func() {
				line, _ := check.reader.ReadString('\n')
				p.srv.firstLines <- line
				p.srv.conns <- check
			})
		})
	}
	servers := []*testServer{p.srv}
	if stage.attempts == 2 {
		p.other = newTestServer(t, "s-2")
		servers = append(servers, p.other)
	}
	discoveryServer := newFakeDiscovery(t, 0)
	cfg := testConfig(t, discoveryServer, servers...)
	cfg.Settings.Limits.HealthChecksAllowed = false
	if stage.change != nil {
		stage.change(p, &cfg)
	}
	p.n = newTestNode(t, cfg, discoveryServer)
	if stage.decisions >= 0 {
		p.n.run()
	}
	return p
}

// disconnectAt lets the clients wait at a stage and disconnect, and checks that nothing is sent after that.
func (p *pendingClients) disconnectAt(stage waitingStage, disconnect func(client *testConn)) {
	resume := stage.wait(p)
	for _, client := range p.clients {
		disconnect(client)
	}
	disconnectedAt := time.Now()
	if p.disconnectsSeen == nil {
		p.disconnectsSeen = func() bool { return p.n.counter("left") == clientCount }
	}
	p.n.waitFor("the disconnects to be detected", p.disconnectsSeen)
	time.Sleep(time.Until(disconnectedAt.Add(100 * time.Millisecond))) // the stage resumes after this time
	resume()
	p.n.waitFor("all requests to end", func() bool {
		return p.n.counter("connections") == clientCount && p.n.frontend.Handshakes() == 0 &&
			p.n.openRequests() == 0 && p.n.frontend.OpenRequests() == 0
	})
	p.checkNothingSent(stage)
}

// checkNothingSent checks that the servers got no request, and that all disconnects were counted.
func (p *pendingClients) checkNothingSent(stage waitingStage) {
	t := p.t
	t.Helper()
	if sent := p.srv.countUnaccepted(t); sent > 0 {
		t.Errorf("%d requests were forwarded", sent)
	}
	if p.other != nil && p.other.countUnaccepted(t) > 0 {
		t.Error("requests were forwarded to the other server")
	}
	if counted := p.n.counter("failed"); counted != 0 {
		t.Errorf("%d requests counted as failed, want 0", counted)
	}
	if stage.decisions < 0 {
		return
	}
	if counted := p.n.counter("attempts"); counted != int64(stage.attempts*clientCount) ||
		p.n.counter("left") != clientCount {
		t.Errorf("%d attempts and %d disconnects counted", counted, p.n.counter("left"))
	}
	if decided := p.n.logs.FilterMessage("request").Len(); decided != stage.decisions*clientCount {
		t.Errorf("the balancer got %d requests", decided)
	}
}

// Guards against treating a half-close as a disconnect when the node itself answers the first line.
func TestHalfClosedClientGetsFirstLineAnswer(t *testing.T) {
	n := startNode(t, nil)
	for first, answer := range map[string]string{"PING\r\n": "PONG\r\n", "BOO\r\n": "ERR unknown request\r\n"} {
		client := n.dial()
		client.send(first)
		client.CloseWrite()
		client.expect(answer)
		client.expectEnd(io.EOF)
	}
}

// pendingClients are clients whose requests wait at a stage, with the node and the servers.
type pendingClients struct {
	t               *testing.T
	n               *testNode
	srv, other      *testServer
	gate            *dialGate
	timeoutMS       int // the deadline of the requests
	clients         []*testConn
	disconnectsSeen func() bool // reports whether the node has detected the disconnects
}

// open sends the request of each client.
func (p *pendingClients) open(options string) {
	for i := range clientCount {
		client := p.n.dial()
		client.send(fmt.Sprintf("OPEN id-%d k c=chat,d=%d%s\r\n", i, p.timeoutMS, options))
		p.clients = append(p.clients, client)
	}
}

// acceptAttempt waits for an attempt at either server.
func (p *pendingClients) acceptAttempt() (serverConn *testConn, first string) {
	p.t.Helper()
	select {
	case serverConn = <-p.srv.conns:
		return serverConn, <-p.srv.firstLines
	case serverConn = <-p.other.conns:
		return serverConn, <-p.other.firstLines
	case <-time.After(testTimeout):
		p.t.Fatal("no attempt")
		return nil, ""
	}
}

// awaitConnections waits until the dial gate holds a connection for each client. The returned function releases them.
func (p *pendingClients) awaitConnections() (release func()) {
	p.t.Helper()
	for range clientCount {
		p.gate.awaitConnection(p.t)
	}
	return func() {
		for range clientCount {
			p.gate.release <- struct{}{}
		}
	}
}

// Guards against an attempt that continues, or is repeated, after its client has disconnected.
func TestDisconnectCancelsAttempt(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	client := n.open("k", "")
	server, _ := srv.accept(t)
	client.Close()
	server.expectEnd(io.EOF)
	n.expectCode("client_left")
	n.waitFor("the request to be removed", func() bool { return n.openRequests() == 0 })
	if n.counter("left") != 1 || n.counter("attempts") != 1 {
		t.Error("the disconnect is not counted, or the request was retried")
	}
}

// Guards against a request that is never removed because its client disconnects during a health check, when there is no
// attempt whose end would remove it.
func TestDisconnectDuringHealthCheck(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts the health check and does not answer
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	n := startNode(t, func(c *Config) {
		c.Timeouts.HealthCheckMS = 60_000
	}, &testServer{id: "s-1", addr: listener.Addr().String()})
	client := n.open("k", "")
	n.waitFor("the health check", func() bool { return n.counter("probes") == 1 })
	client.Close()
	n.waitFor("the disconnect to be counted", func() bool { return n.counter("left") == 1 })
	if open := n.openRequests(); open != 0 {
		t.Errorf("%d requests are still open, want 0", open)
	}
}
