package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brassmux/internal/admin"
)

// callAdmin makes one call to the admin address.
func (n *testNode) callAdmin(method, path string) (status int, body string) {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.adminListener.Addr().String())
	if err != nil {
		n.t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	req := httptest.NewRequest(method, "http://node"+path, nil)
	req.Write(conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		n.t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// expectOK checks that a call to the admin address succeeds.
func (n *testNode) expectOK(method, path string) {
	n.t.Helper()
	if status, body := n.callAdmin(method, path); status != 200 {
		n.t.Errorf("%s %s: %d %s", method, path, status, body)
	}
}

// metrics returns the metrics that the admin address reports.
func (n *testNode) metrics() (metrics admin.Metrics) {
	n.t.Helper()
	_, body := n.callAdmin("GET", "/control/counters")
	if err := json.Unmarshal([]byte(body), &metrics); err != nil {
		n.t.Fatal(err)
	}
	return metrics
}

// ping returns the node's answer to PING on a new connection.
func (n *testNode) ping() string {
	n.t.Helper()
	client := n.dial()
	defer client.Close()
	client.send("PING\r\n")
	return client.readLine()
}

// withAdmin configures an admin address and a second node.
func withAdmin(c *Config) { c.Admin, c.Settings.NodeCount = "127.0.0.1:0", 2 }

// Guards against an out-of-service node that keeps clients or rejects new ones: the load balancer in front still sends
// some until it has noticed that PING is rejected. Back in service, it must not migrate any more clients.
func TestOutOfServiceMigratesAndStillServes(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, withAdmin, srv)
	client, server := n.establish(srv)
	if got := n.ping(); got != "PONG\r\n" {
		t.Errorf("in service: %q", got)
	}
	n.expectOK("POST", "/control/out-of-service")
	n.expectOK("POST", "/control/out-of-service") // idempotent
	if got := n.ping(); got != "ERR out of service\r\n" {
		t.Errorf("out of service: %q", got)
	}
	n.expectOK("GET", "/control/ready") // out of service, but able to serve
	client.expect("MOVE\r\n")
	client.expectEnd(io.EOF)
	server.expectEnd(io.EOF)
	lateClient := n.open("late", "") // sent by a load balancer that has not noticed yet
	serverConn, _ := srv.accept(t)
	serverConn.send("UP r-2\r\n")
	lateClient.expect("UP r-2\r\n")
	lateClient.expect("MOVE\r\n")
	n.expectOK("POST", "/control/in-service")
	n.expectOK("POST", "/control/in-service")
	if got := n.ping(); got != "PONG\r\n" {
		t.Errorf("in service again: %q", got)
	}
	returningClient := n.open("back", "")
	serverConn, _ = srv.accept(t)
	serverConn.send("UP r-3\r\n")
	returningClient.expect("UP r-3\r\n")
	n.waitFor("the node to be in service", func() bool { return n.logs.FilterMessage("in service").Len() == 1 })
	migrated := n.counter("moved")
	// A MOVE would arrive before the lines below.
	n.waitFor("the loop to handle earlier events", func() bool { return n.openRequests() == 1 })
	returningClient.send("still\r\n")
	serverConn.expect("still\r\n")
	serverConn.send("here\r\n")
	returningClient.expect("here\r\n")
	if got := n.counter("moved"); migrated != 2 || got != 2 {
		t.Errorf("%d, then %d clients migrated, want 2 and 2", migrated, got)
	}
	if got := n.logs.FilterMessage("out of service").Len(); got != 1 {
		t.Errorf("%d log lines of going out of service, want 1", got)
	}
}

// Guards against early migration of the clients of the only node: no other node takes them, so they are served until
// shortly before the time limit.
func TestOutOfServiceOfOnlyNodeMigratesLate(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) {
		c.Admin, c.Timeouts.CloseMS, c.Timeouts.OutOfServiceMS = "127.0.0.1:0", 100, 900
	}, srv)
	client, _ := n.establish(srv)
	startedAt := time.Now()
	n.expectOK("POST", "/control/out-of-service")
	client.expect("MOVE\r\n")
	if elapsed := time.Since(startedAt); elapsed < 700*time.Millisecond {
		t.Errorf("client migrated after %v, want at least 700ms", elapsed)
	}
}

// Guards against admin calls that put a stopping node back in service or take it out of service.
func TestShutdownOverridesOutOfService(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) {
		withAdmin(c)
		c.Timeouts.AcceptAfterStopMS, c.Timeouts.StopMS = 300, 60_000
	}, srv)
	client, _ := n.establish(srv)
	n.expectOK("POST", "/control/out-of-service")
	n.stop()
	n.waitFor("the shutdown to begin", func() bool { return n.logs.FilterMessage("stopping").Len() == 1 })
	for _, c := range []struct{ method, path string }{{"GET", "/control/ready"}, {"POST", "/control/in-service"},
		{"POST", "/control/out-of-service"}} {
		if status, _ := n.callAdmin(c.method, c.path); status != 503 {
			t.Errorf("%s during shutdown: status %d, want 503", c.path, status)
		}
	}
	if got := n.ping(); got == "PONG\r\n" {
		t.Error("a stopping node answers PING with PONG")
	}
	client.expect("MOVE\r\n")
	client.Close()
	n.wait()
	if _, err := net.Dial("tcp", n.adminListener.Addr().String()); err == nil {
		t.Error("the admin address is still open")
	}
}

// acceptFromEither waits for the next attempt at either server.
func acceptFromEither(t *testing.T, first, second *testServer) *testConn {
	t.Helper()
	select {
	case conn := <-first.conns:
		<-first.firstLines
		return conn
	case conn := <-second.conns:
		<-second.firstLines
		return conn
	case <-time.After(testTimeout):
		t.Fatal("no attempt")
		return nil
	}
}

// countAnswer adds an answer to the counts by its first word.
func countAnswer(counts admin.RequestCounts, answer string) admin.RequestCounts {
	switch word, _, _ := strings.Cut(strings.TrimSpace(answer), " "); word {
	case "UP":
		counts.Served++
	case "BUSY":
		counts.Rejected++
	default:
		counts.Failed++
	}
	return counts
}

// Guards against wrong metrics: per class they must match the answers that clients and servers have observed.
func TestAdminMetricsMatchTraffic(t *testing.T) {
	first, second := newTestServer(t, "s-a"), newTestServer(t, "s-b")
	n := startNode(t, withAdmin, first, second)
	want := map[string]admin.RequestCounts{}
	attempts := int64(0)
	acceptAttempt := func() *testConn {
		attempts++
		return acceptFromEither(t, first, second)
	}
	count := func(class, answer string) { want[class] = countAnswer(want[class], answer) }
	var clients []*testConn
	for i := range 12 {
		class := [...]string{"chat", "pay"}[i%2]
		client := n.dial()
		clients = append(clients, client)
		client.send(fmt.Sprintf("OPEN id-%d key-%d c=%s,d=2000\r\n", i, i, class))
		serverConn := acceptAttempt()
		switch {
		case i < 6:
			serverConn.send("UP r\r\n")
		case class == "pay":
			serverConn.send("ERR\r\n") // may have been executed, so the request fails
		default:
			serverConn.send("BUSY\r\n")
			acceptAttempt().send("BUSY\r\n") // no server is left, so the request is rejected
		}
		count(class, client.readLine())
	}
	n.waitFor("the answered requests to end", func() bool {
		for _, client := range clients[6:] {
			client.Close()
		}
		return n.metrics().InFlight == 6
	})
	got := n.metrics()
	if got.Requests["chat"] != want["chat"] || got.Requests["pay"] != want["pay"] || got.Attempts != attempts {
		t.Errorf("got %+v, want %v and %d attempts", got, want, attempts)
	}
	if want["chat"] != (admin.RequestCounts{Served: 3, Rejected: 3}) ||
		want["pay"] != (admin.RequestCounts{Served: 3, Failed: 3}) {
		t.Errorf("clients observed %v", want)
	}
	n.discovery.sendList(2, false, first.endpointJSON("draining"))
	n.waitFor("the draining server to be counted", func() bool {
		metrics := n.metrics()
		return metrics.KnownServers == 2 && metrics.ExcludedServers >= 1
	})
	n.discovery.sendList(3, false, first.endpointJSON("removed"))
	n.waitFor("the removed server to be uncounted", func() bool { return n.metrics().KnownServers == 1 })
}

// Guards against attempts that are counted when they begin: the metrics count those whose first line was sent.
func TestAdminMetricsIgnoreFailedConnects(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, withAdmin, &testServer{id: "s-gone", addr: refusingAddr(t)}, srv)
	for i := range 8 {
		client := n.open(fmt.Sprint("k", i), "")
		serverConn, _ := srv.accept(t)
		serverConn.send("UP r\r\n")
		client.expect("UP r\r\n")
	}
	if metrics := n.metrics(); metrics.Attempts != 8 {
		t.Errorf("%d attempts in the metrics, want the 8 that were sent; %d begun", metrics.Attempts,
			n.counter("attempts"))
	}
}

// Guards against an admin address that hangs while the event loop is blocked or many idle callers are connected.
func TestAdminAnswersWhileLoopIsBlocked(t *testing.T) {
	n := startNode(t, withAdmin)
	release := make(chan struct{})
	defer close(release)
	n.loop.post(func() { <-release })
	for range 3 * eventQueueSize { // fill the loop's queue too
		select {
		case n.loop.events <- func() {}:
		default:
		}
	}
	for range 200 {
		conn, err := net.Dial("tcp", n.adminListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	n.expectOK("GET", "/control/ready")
	n.expectOK("GET", "/control/counters")
	n.expectOK("POST", "/control/out-of-service")
	n.expectOK("POST", "/control/in-service")
}
