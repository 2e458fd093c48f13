package node

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against an attempt that is sent although its client has disconnected after the connection to the server was
// established and before the first byte was written.
func TestAttemptIsCancelledBeforeFirstByte(t *testing.T) {
	for name, disconnect := range earlyDisconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			disconnectBeforeFirstByte(t, disconnect, strings.HasSuffix(name, "stays connected"))
		})
	}
}

// earlyDisconnects are ways in which a client cancels its request before it is sent.
var earlyDisconnects = map[string]func(client *testConn){
	"half-closes":                       func(client *testConn) { client.CloseWrite() },
	"closes":                            func(client *testConn) { client.Close() },
	"resets":                            func(client *testConn) { client.reset() },
	"sends lines early and half-closes": func(client *testConn) { client.send("a\r\nb\r\n"); client.CloseWrite() },
	"sends lines early and resets":      func(client *testConn) { client.send("a\r\nb\r\n"); client.reset() },
	"sends half a line early and half-closes": func(client *testConn) { client.send("a\r\nb"); client.CloseWrite() },
	"sends many lines early and half-closes": func(client *testConn) {
		client.send(strings.Repeat("much ahead\r\n", 1000))
		client.CloseWrite()
	},
	"sends without end": func(client *testConn) {
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(client.TCPConn, strings.Repeat("again and again\r\n", 100))
			}
		}()
	},
	"overlong line, stays connected": func(client *testConn) { client.send(strings.Repeat("x", 5000)) },
	"too many early lines, stays connected": func(client *testConn) {
		client.send(strings.Repeat("too much\r\n", 3000))
	},
}

// disconnectBeforeFirstByte makes a client cancel its request while the connection to the server is held back. A client
// that stays connected must get an answer.
func disconnectBeforeFirstByte(t *testing.T, disconnect func(client *testConn), staysConnected bool) {
	n, gate, client, first, other := startWithDialGate(t, func(c *Config) { c.Settings.Limits.MaxOpenRequests = 1 },
		"OPEN id k c=chat,d=2000\r\n")
	disconnect(client)
	n.waitFor("the disconnect to be counted", func() bool { return n.counter("left") == 1 })
	if n.frontend.OpenRequests() != 1 {
		t.Error("the place of the request is free while its server connection is open")
	}
	gate.release <- struct{}{}
	first.expectNothing(t)
	n.waitFor("the end of the attempt", func() bool { return n.counter("attempts_unsent") == 1 })
	if n.openRequests() != 0 || len(other.received) > 0 {
		t.Error("the request is still open or was retried")
	}
	if staysConnected {
		if line := client.readLine(); !strings.HasPrefix(line, "ERR ") {
			t.Errorf("got %q", line)
		}
		client.expectEnd(io.EOF)
	}
	n.waitFor("the place to be free", func() bool { return n.frontend.OpenRequests() == 0 })
	n.open("k", "") // the same key must still be assigned to the same server, which has not failed
	if addr := gate.awaitConnection(t); addr != first.addr {
		t.Error("the client was assigned to another server")
	}
	gate.release <- struct{}{}
}

// Guards against an attempt that is sent to a server that has changed in the endpoint list while the connection was
// being established.
func TestAttemptIsNotSentAfterServerChange(t *testing.T) {
	for name, change := range map[string]listChange{
		"draining":   func(srv *testServer) (bool, string) { return false, srv.endpointJSON("draining") + "," },
		"removed":    func(srv *testServer) (bool, string) { return false, srv.endpointJSON("removed") + "," },
		"not listed": func(*testServer) (bool, string) { return true, "" },
		"another address": func(srv *testServer) (bool, string) {
			srv.addr = "127.0.0.1:1"
			return false, srv.endpointJSON("up") + ","
		},
		"address of another server": func(srv *testServer) (bool, string) {
			another := &testServer{id: "s-9", addr: srv.addr}
			return false, srv.endpointJSON("removed") + "," + another.endpointJSON("draining") + ","
		},
		"restarted": func(srv *testServer) (bool, string) {
			return false, strings.Replace(srv.endpointJSON("up"), `"started_ms":0`, `"started_ms":1700000000000`,
				1) + ","
		},
	} {
		for _, class := range []string{"chat", "pay"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				changeListBeforeFirstByte(t, class, change)
			})
		}
	}
}

// listChange returns a change of the endpoint list that concerns a server: entries to send, each followed by a comma.
type listChange func(srv *testServer) (full bool, entry string)

// changeListBeforeFirstByte changes a server in the endpoint list while a connection to it is held back.
func changeListBeforeFirstByte(t *testing.T, class string, change listChange) {
	t.Helper()
	gate, srv, other := newDialGate(), newRecordingServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, func(c *Config) {
		withoutHealthChecks(c)
		c.dialServer, c.Settings.Limits.MaxAttempts = gate.dial, 1 // an attempt that was never sent must not count
	}, srv.testServer)
	client := n.dial()
	client.send("OPEN id k c=" + class + ",d=20000\r\n")
	gate.awaitConnection(t)
	full, entry := change(srv.testServer)
	n.discovery.sendList(2, full, entry+other.endpointJSON("up"))
	n.waitFor("the list", func() bool { return n.counter("list_changes") == 1 && n.addressOf(other) != "" })
	gate.release <- struct{}{}
	gate.release <- struct{}{}
	srv.expectNothing(t)
	server, firstLine := other.accept(t)
	if !strings.HasPrefix(firstLine, "OPEN id k c="+class) {
		t.Errorf("got %q", firstLine)
	}
	server.send("UP r\r\n")
	client.expect("UP r\r\n")
	if n.counter("attempts_unsent") != 1 {
		t.Error("the attempt is not counted as unsent")
	}
}

// Guards against a reconnect to a removed server. It must wait for the server's name to reappear, at whatever address,
// and must reach the server even if that is draining, because the client is not a new one.
func TestReconnectFollowsServerName(t *testing.T) {
	gate, srv, successor := newDialGate(), newRecordingServer(t, "s-1"), newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { withoutHealthChecks(c); c.dialServer = gate.dial }, srv.testServer)
	client := n.dial()
	client.send("OPEN id k c=chat,d=20000,at=s-1\r\n")
	gate.awaitConnection(t)
	n.discovery.sendList(2, false, srv.endpointJSON("removed"))
	n.waitFor("the removal", func() bool { return n.addressOf(srv.testServer) == "" })
	gate.release <- struct{}{}
	srv.expectNothing(t)
	n.discovery.sendList(3, false, successor.endpointJSON("up"))
	if addr := gate.awaitConnection(t); addr != successor.addr {
		t.Errorf("the client reconnects to %s", addr)
	}
	n.discovery.sendList(4, false, successor.endpointJSON("draining"))
	n.waitFor("the drain", func() bool { return n.isDraining(successor) })
	gate.release <- struct{}{}
	server, _ := successor.accept(t)
	server.send("UP r\r\n")
	client.expect("UP r\r\n")
}

// Guards against a retry after the window in which servers recognize the idempotency key, here because the connection
// for the retry is established too late.
func TestRetryIsNotSentAfterKeyWindow(t *testing.T) {
	startedAt := time.Now()
	_, gate, client, first, second := startWithDialGate(t, func(c *Config) {
		c.Settings.Classes = nil
		const classes = `{"classes":[{"name":"order","effect":"idempotency_key","key_scope":"all","window_us":400000}]}`
		if err := json.Unmarshal([]byte(classes), &c.Settings); err != nil {
			t.Fatal(err)
		}
	}, "OPEN id k c=order,d=20000\r\n")
	first.resetsAfterFirstLine.Store(true) // the request may have been executed
	gate.release <- struct{}{}
	if line := <-first.received; !strings.HasPrefix(line, "OPEN id k") {
		t.Errorf("got %q", line)
	}
	gate.awaitConnection(t)
	time.Sleep(time.Until(startedAt.Add(450 * time.Millisecond)))
	gate.release <- struct{}{}
	second.expectNothing(t)
	if line := client.readLine(); !strings.HasPrefix(line, "BUSY") { // no server may have executed it twice
		t.Errorf("got %q", line)
	}
}

// Guards against an attempt for a request whose deadline passed in the event queue. It must be answered, and must not
// count as a failure of a server.
func TestExpiredRequestIsNotAttempted(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, withoutHealthChecks, srv)
	unblock := n.blockLoop()
	client := n.dial()
	client.send("OPEN id k c=pay,d=20\r\n")
	n.waitFor("the request", func() bool { return len(n.loop.events) == 1 })
	time.Sleep(25 * time.Millisecond)
	close(unblock)
	if line := client.readLine(); !strings.HasPrefix(line, "BUSY") { // it was not executed
		t.Errorf("got %q", line)
	}
	if n.counter("attempts") != 0 || len(srv.firstLines) > 0 {
		t.Error("the expired request was attempted")
	}
	n.establish(srv)
}

// Guards against clients that wait, or get no time to retry, while there are no servers.
func TestNoServersRejectsAtOnce(t *testing.T) {
	n := startNode(t, nil)
	client := n.open("k", "")
	ms, ok := strings.CutPrefix(strings.TrimSuffix(client.readLine(), "\r\n"), "BUSY ")
	if wait, err := strconv.Atoi(ms); !ok || err != nil || wait < 1 || wait > 1000 {
		t.Errorf("retry after %q ms, want 1 to 1000", ms)
	}
	client.expectEnd(io.EOF)
	client.Close()
	n.expectCode("refused")
}

// attemptOutcome is an action of a server on the first attempt of a request, with the expected answer to the client.
type attemptOutcome struct {
	class string
	act   func(*testConn)
	want  string // the beginning of the answer, from the second server or from the node
}

// attemptOutcomes use the class "chat", which is idempotent (safe), and "pay", which is not (unsafe).
var attemptOutcomes = map[string]attemptOutcome{
	"rejected":                   {"pay", func(conn *testConn) { conn.send("BUSY\r\n") }, "UP r-2"},
	"error, safe":                {"chat", func(conn *testConn) { conn.send("ERR\r\n") }, "UP r-2"},
	"error, unsafe":              {"pay", func(conn *testConn) { conn.send("ERR\r\n") }, "ERR"},
	"reset, safe":                {"chat", func(conn *testConn) { conn.reset() }, "UP r-2"},
	"reset, unsafe":              {"pay", func(conn *testConn) { conn.reset() }, "ERR"},
	"close, unsafe":              {"pay", func(conn *testConn) { conn.Close() }, "ERR"},
	"unknown answer, unsafe":     {"pay", func(conn *testConn) { conn.send("HELLO\r\n") }, "ERR"},
	"overlong answer, unsafe":    {"pay", func(conn *testConn) { conn.send(strings.Repeat("U", 5000)) }, "ERR"},
	"UP without receipt, unsafe": {"pay", func(conn *testConn) { conn.send("UP\r\n") }, "ERR"},
	"empty receipt, unsafe":      {"pay", func(conn *testConn) { conn.send("UP \r\n") }, "ERR"},
	"two receipts, unsafe":       {"pay", func(conn *testConn) { conn.send("UP r r\r\n") }, "ERR"},
	"UP without CR, unsafe":      {"pay", func(conn *testConn) { conn.send("UP r\n") }, "ERR"},
	"BUSY without CR, unsafe":    {"pay", func(conn *testConn) { conn.send("BUSY\n") }, "ERR"},
	"BUSY with a NUL, unsafe":    {"pay", func(conn *testConn) { conn.send("BUSY \x00\r\n") }, "ERR"},
	"BUSY cut off, unsafe":       {"pay", func(conn *testConn) { conn.send("BUSY"); conn.Close() }, "ERR"},
	"UP cut off, unsafe":         {"pay", func(conn *testConn) { conn.send("UP r"); conn.Close() }, "ERR"},
	"no answer, safe":            {"chat", func(*testConn) {}, "UP r-2"},
	"no answer, unsafe":          {"pay", func(*testConn) {}, "ERR"},
}

// Guards against retries of requests that may have been executed and are not idempotent, and against missing retries of
// all others.
func TestAttemptOutcomes(t *testing.T) {
	for name, outcome := range attemptOutcomes {
		t.Run(name, outcome.check)
	}
}

// check sends a request to a node with two servers, of which the first one tried acts as given.
func (o attemptOutcome) check(t *testing.T) {
	t.Parallel()
	serverA, serverB := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, nil, serverA, serverB)
	client := n.dial()
	lateness := measureLateness(t)
	startedAt := time.Now()
	client.send("OPEN id k c=" + o.class + ",d=600\r\n")
	var first, second *testServer
	var serverConn *testConn
	select {
	case serverConn = <-serverA.conns:
		first, second = serverA, serverB
	case serverConn = <-serverB.conns:
		first, second = serverB, serverA
	case <-time.After(testTimeout):
		t.Fatal("no attempt")
	}
	go func() {
		conn, open := <-second.conns
		if open {
			io.WriteString(conn.TCPConn, "UP r-2\r\n")
		}
	}()
	o.act(serverConn)
	if line := client.readLine(); !strings.HasPrefix(line, o.want) {
		t.Errorf("got %q, want %q", line, o.want)
	}
	// Four goroutines run one after the other between the deadline and the answer.
	if elapsed, lateness := time.Since(startedAt), lateness(); elapsed > 650*time.Millisecond+4*lateness {
		t.Errorf("answered after %v, with goroutines up to %v late", elapsed, lateness)
	}
	if len(first.conns) > 0 {
		t.Error("the same server was tried twice")
	}
	if o.want == "ERR" && len(second.firstLines) > 0 {
		t.Error("a request that may have been executed was retried")
	}
	client.Close()
}

// Guards against a failed connect that counts as a possible execution: such requests must be retried in every class.
func TestFailedConnectAllowsRetry(t *testing.T) {
	refusing, srv := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	refusing.addr = refusingAddr(t)
	n := startNode(t, func(c *Config) { c.Settings.Limits.HealthChecksAllowed = false }, refusing, srv)
	for key := range 8 { // some of the keys prefer the refusing server
		client := n.dial()
		client.send(fmt.Sprintf("OPEN id-%d %[1]d c=pay,d=2000\r\n", key))
		serverConn, _ := srv.accept(t)
		serverConn.send("UP r\r\n")
		client.expect("UP r\r\n")
	}
	if n.counter("attempts_connect_failed") == 0 {
		t.Error("no request was attempted at the refusing server")
	}
}

// Guards against reconnecting clients that do not reach the server they name: one in the endpoint list, one that is
// added later, and one that rejects the first attempt. An unknown server must end in an error at the deadline.
func TestReconnectToFormerServer(t *testing.T) {
	known, added := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, nil, known)
	reconnected := n.open("a", ",at=s-1")
	serverConn, _ := known.accept(t)
	serverConn.send("UP r-1\r\n")
	reconnected.expect("UP r-1\r\n")
	waiting := n.open("b", ",at=s-2") // not in the endpoint list yet
	n.waitFor("the client to wait", func() bool { return n.counter("standing_before") == 2 })
	n.discovery.sendList(2, false, added.endpointJSON("up"))
	serverConn, _ = added.accept(t)
	serverConn.send("BUSY\r\n") // not executed, so it is retried at the same server
	serverConn, _ = added.accept(t)
	serverConn.send("UP r-2\r\n")
	waiting.expect("UP r-2\r\n")
	unknown := n.dial()
	unknown.send("OPEN id c c=chat,d=50,at=s-3\r\n")
	if line := unknown.readLine(); !strings.HasPrefix(line, "ERR") {
		t.Errorf("got %q", line)
	}
}

// Guards against a client that returns to a server which has just sent it away: a server may begin to drain seconds
// before the endpoint list says so, and then accepts clients only to send MOVE.
func TestServerThatSendsMoveGetsNoNewClients(t *testing.T) {
	first, second := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, func(c *Config) { c.Settings.Limits.HealthChecksAllowed = false }, first, second)
	client := n.open("k", "")
	var server *testConn
	other := second
	select {
	case server = <-first.conns:
	case server = <-second.conns:
		other = first
	case <-time.After(testTimeout):
		t.Fatal("no attempt")
	}
	server.send("UP r\r\nMOVE\r\n")
	server.Close()
	client.expect("UP r\r\n")
	client.expect("MOVE\r\n")
	client.expectEnd(io.EOF)
	client.Close()
	n.expectCode("server_moved")
	client = n.open("k", ",again=1")
	server, _ = other.accept(t)
	server.send("UP r-2\r\n")
	client.expect("UP r-2\r\n")
	// Debug lines that are used to count requests across nodes.
	for _, message := range []string{"request", "attempt", "attempt accepted", "attempt ended"} {
		if n.logs.FilterMessage(message).Len() == 0 {
			t.Errorf("no log line %q", message)
		}
	}
}
