package node

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against dropping connections that the kernel has accepted, but the node has not, when the shutdown begins.
func TestShutdownServesQueuedConnections(t *testing.T) {
	srv := newTestServer(t, "s-1")
	discoveryServer := newFakeDiscovery(t, 0)
	cfg := testConfig(t, discoveryServer, srv)
	withoutHealthChecks(&cfg)
	cfg.Timeouts = Timeouts{AcceptAfterStopMS: 1, StopMS: 1000, CloseMS: 300}
	node, err := New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{Node: node, t: t, discovery: discoveryServer, openedByKey: map[string]int{}}
	var clients []*testConn
	for range 40 {
		clients = append(clients, n.open("k", ""))
	}
	ctx, stop := context.WithCancel(context.Background())
	stop() // the shutdown begins at once
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	for range clients {
		server, _ := srv.accept(t)
		server.send("UP r\r\n")
	}
	for _, client := range clients {
		client.expect("UP r\r\n")
		client.expect("MOVE\r\n")
		client.expectEnd(io.EOF)
		client.Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against requests that get no answer, or two, when the process ends while their servers do not respond.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, withoutHealthChecks, srv)
	var clients []*testConn
	for _, first := range []string{"OPEN a k c=pay,d=60000\r\n", "OPEN b k c=chat,d=60000\r\n",
		"OPEN c k c=chat,d=60000,at=s-1\r\n",
		"OPEN d k c=chat,d=60000,at=s-7\r\n"} {
		client := n.dial()
		client.send(first)
		clients = append(clients, client)
	}
	for range 3 {
		srv.accept(t) // without an answer
	}
	n.waitFor("the last request to wait", func() bool { return n.counter("standing_before") == 2 })
	n.stop()
	for _, client := range clients {
		if line := client.readLine(); !strings.HasPrefix(line, "ERR") {
			t.Errorf("got %q", line)
		}
		client.expectEnd(io.EOF)
	}
	n.wait()
	if n.counter("failed") != 4 {
		t.Errorf("%d requests counted as failed, want 4", n.counter("failed"))
	}
}

// Guards against resetting connections without a request when the shutdown ends before their first-line deadline. They
// must get an answer.
func TestShutdownAnswersHandshakes(t *testing.T) {
	for _, opensListener := range []bool{true, false} {
		change, _ := withInheritedSocket(t)
		n := startNode(t, func(c *Config) {
			if !opensListener {
				change(c)
			}
			c.Timeouts.AcceptAfterStopMS, c.Timeouts.StopMS, c.Timeouts.CloseMS = 100, 300, 1000
		}, newTestServer(t, "s-1"))
		client := n.dial()
		client.send("OPEN half")
		n.waitFor("the client", func() bool { return n.frontend.Handshakes() == 1 })
		n.stop()
		n.wait()
		client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		client.expect("ERR no request in time\r\n")
	}
}

// Guards against a shutdown that rejects clients too early, or that does not migrate clients between two lines.
func TestShutdownServesNewClientsAndMigratesAll(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Timeouts.AcceptAfterStopMS = 400 }, srv)
	client, server := n.establish(srv)
	n.stop()
	n.waitFor("the shutdown to begin", func() bool { return n.logs.FilterMessage("stopping").Len() > 0 })
	lateClient := n.open("late", "") // sent by a load balancer that has not noticed yet
	serverConn, _ := srv.accept(t)
	server.send("whole\r\nhal")
	serverConn.send("UP r-2\r\n")
	lateClient.expect("UP r-2\r\n")
	lateClient.expect("MOVE\r\n")
	lateClient.expectEnd(io.EOF)
	client.expect("whole\r\n")
	client.expect("MOVE\r\n") // between two lines
	client.expectEnd(io.EOF)
	client.Close()
	lateClient.Close()
	n.wait()
	if _, err := net.Dial("tcp", n.Addr().String()); err == nil {
		t.Error("a stopped node still listens")
	}
	if got := n.counter("moved"); got != 2 {
		t.Errorf("%d clients migrated, want 2", got)
	}
	if n.logs.FilterMessage("stopped").Len() != 1 {
		t.Error("no final log line with the counters")
	}
}

// Guards against a shutdown that delays migration although other nodes can take the clients.
func TestShutdownMigratesAtOnceWithOtherNodes(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Settings.NodeCount, c.Timeouts.StopMS = 2, 60_000 }, srv)
	client, _ := n.establish(srv)
	n.stop()
	client.expect("MOVE\r\n")
	client.Close()
	n.wait()
}

// Guards against early migration of the clients of the only node, which no other node takes.
func TestShutdownOfOnlyNodeMigratesLate(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Timeouts.StopMS, c.Timeouts.CloseMS = 1200, 200 }, srv)
	client, server := n.establish(srv)
	startedAt := time.Now()
	n.stop()
	n.waitFor("the listener to close", func() bool {
		conn, err := net.Dial("tcp", n.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	client.send("still\r\n")
	server.expect("still\r\n")
	server.send("there\r\n")
	client.expect("there\r\n")
	client.expect("MOVE\r\n")
	if elapsed := time.Since(startedAt); elapsed < 900*time.Millisecond {
		t.Errorf("client migrated after %v, want at least 900ms", elapsed)
	}
	client.Close()
	n.wait()
}

// Guards against dropping the answer to a request that was forwarded before the shutdown.
func TestShutdownAnswersRequestInFlight(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Timeouts.AcceptAfterStopMS = 1 }, srv)
	client := n.open("k", "")
	server, _ := srv.accept(t)
	n.stop()
	n.waitFor("the shutdown to begin", func() bool { return n.logs.FilterMessage("stopping").Len() > 0 })
	server.send("BUSY\r\n") // it is the only server
	if line := client.readLine(); !strings.HasPrefix(line, "BUSY ") {
		t.Errorf("got %q", line)
	}
	n.wait()
}
