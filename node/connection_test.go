package node

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against losing or reordering the lines that a client sends before its request is accepted.
func TestEarlyClientLinesReachServerInOrder(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	client := n.open("k", "")
	server, _ := srv.accept(t)
	for i := range 3 {
		client.send(fmt.Sprintf("ahead %d\r\n", i))
	}
	client.send("ahead 3")
	server.send("UP r\r\n")
	client.expect("UP r\r\n")
	client.send(" in two\r\nlater\r\n")
	for i := range 3 {
		server.expect(fmt.Sprintf("ahead %d\r\n", i))
	}
	server.expect("ahead 3 in two\r\n")
	server.expect("later\r\n")
	server.send("one\r\n")
	client.expect("one\r\n")
}

// Guards against a first line that is forwarded with other changes than a shorter deadline, and against lines that are
// split or merged incorrectly after it.
func TestForwardedFirstLineChangesOnlyDeadline(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	client := n.dial()
	client.send("OPEN 9b1f 7f3a c=chat,t=acme,d=1900,g=5c0f,x=new\r\n")
	serverConn, firstLine := srv.accept(t)
	before, rest, _ := strings.Cut(firstLine, "d=")
	timeout, after, _ := strings.Cut(rest, ",")
	if ms, err := strconv.Atoi(timeout); before != "OPEN 9b1f 7f3a c=chat,t=acme," || after != "g=5c0f,x=new\r\n" ||
		err != nil || ms < 1 || ms > 1900/2 { // the first of several attempts gets half of the time
		t.Errorf("got %q", firstLine)
	}
	serverConn.send("UP r-1\r\n")
	client.expect("UP r-1\r\n")
	client.send("whole\r\nha") // one and a half lines at once
	serverConn.expect("whole\r\n")
	client.send("lf\r\n")
	serverConn.expect("half\r\n")
	serverConn.send("one\r\ntwo\r\nLOAD 3\r\n")
	client.expect("one\r\n")
	client.expect("two\r\n")
	client.expect("LOAD 3\r\n")
}

// Guards against an end of a connection that the other side does not see as it happened, or that is logged with a wrong
// code or more than once.
func TestConnectionEndsAreForwarded(t *testing.T) {
	for name, test := range connectionEnds {
		t.Run(name, func(t *testing.T) {
			srv := newTestServer(t, "s-1")
			n := startNode(t, nil, srv)
			client, server := n.establish(srv)
			client.t, server.t = t, t
			test.end(client, server)
			n.expectCode(test.code)
			if count := n.logs.FilterMessage("connection ended").Len(); count != 1 {
				t.Errorf("%d log lines for one connection, want 1", count)
			}
			n.waitFor("the request to be removed", func() bool { return n.openRequests() == 0 })
		})
	}
}

// connectionEnds are ways in which established connections end, with the codes of their log lines.
var connectionEnds = map[string]struct {
	end  func(client, server *testConn)
	code string
}{
	"client half-closes": {func(client, server *testConn) {
		client.send("last\r\nhalf")
		client.CloseWrite()
		server.expect("last\r\n")
		if half, err := server.reader.ReadString('\n'); half != "half" || err != io.EOF {
			client.t.Errorf("got %q, %v", half, err)
		}
		server.send("BYE\r\n")
		server.Close()
		client.expect("BYE\r\n")
		client.expectEnd(io.EOF)
	}, "client_ended"},
	"server closes after BYE": {func(client, server *testConn) {
		server.send("BYE\r\n")
		server.Close()
		client.expect("BYE\r\n")
		client.expectEnd(io.EOF)
	}, "server_ended"},
	"server closes within a line": {func(client, server *testConn) {
		server.send("half")
		server.Close()
		if half, err := client.reader.ReadString('\n'); half != "half" || err != io.EOF {
			client.t.Errorf("got %q, %v", half, err)
		}
	}, "server_broke"},
	"server closes after MOVE": {func(client, server *testConn) {
		server.send("MOVE\r\n")
		server.Close()
		client.expect("MOVE\r\n")
		client.expectEnd(io.EOF)
	}, "server_moved"},
	"client resets": {func(client, server *testConn) {
		client.reset()
		server.expectEnd(syscall.ECONNRESET)
	}, "client_reset"},
	"server resets": {func(client, server *testConn) {
		server.reset()
		client.expectEnd(syscall.ECONNRESET)
	}, "server_broke"},
	// Closing a socket with unread data from the client sends a reset.
	"server resets after BYE": {func(client, server *testConn) {
		server.send("BYE\r\n")
		server.reset()
		client.expect("BYE\r\n")
		client.expectEnd(io.EOF)
	}, "server_ended"},
	"server resets after MOVE": {func(client, server *testConn) {
		server.send("MOVE\r\n")
		server.reset()
		client.expect("MOVE\r\n")
		client.expectEnd(io.EOF)
	}, "server_moved"},
	"overlong line from the client": {func(client, server *testConn) {
		go io.WriteString(client.TCPConn, strings.Repeat("x", 5000))
		server.expectEnd(syscall.ECONNRESET)
	}, "line_too_long"},
	"overlong line from the server": {func(client, server *testConn) {
		go io.WriteString(server.TCPConn, strings.Repeat("x", 5000))
		client.expectEnd(syscall.ECONNRESET)
	}, "line_too_long"},
}

// Guards against a node that buffers without limit for a client that does not read, and against taking the server for
// silent because its answer is queued behind the unread data.
func TestSlowClientCausesBackpressure(t *testing.T) {
	srv := newTestServer(t, "s-1")
	const silence = time.Second // longer than a busy machine takes for a line
	n := startNode(t, func(c *Config) {
		c.Timeouts.ResponseSilenceMS, c.Timeouts.LateNoticeMS = silence.Milliseconds(), 500
	}, srv)
	client, server := n.establish(srv)
	client.send("hello\r\n") // its answer is queued behind the data that the client does not read
	server.expect("hello\r\n")
	const lines = 20000 // of 1 KiB, much more than the socket buffers hold
	body := strings.Repeat("y", 1000)
	sent := make(chan int, lines)
	go func() {
		defer close(sent)
		for i := range lines {
			if _, err := fmt.Fprintf(server, "LOAD %d %s\r\n", i, body); err != nil {
				return
			}
			sent <- i
		}
	}()
	lastCount, lastProgress := 0, time.Now()
	n.waitFor("the server to be blocked for longer than the silence limit", func() bool {
		if count := len(sent); count != lastCount {
			lastCount, lastProgress = count, time.Now()
		}
		return lastCount > 0 && time.Since(lastProgress) > silence+silence/10
	})
	if len(sent) == lines {
		t.Fatal("the node read all lines while the client read nothing")
	}
	for i := range lines {
		client.expect(fmt.Sprintf("LOAD %d %s\r\n", i, body))
	}
}

// Guards against the write deadline of PONG staying in effect for the request that follows on the same connection.
func TestRequestAfterPing(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Timeouts.CloseMS = 1 }, srv)
	client := n.dial()
	client.send("PING\r\n")
	client.expect("PONG\r\n")
	client.send("OPEN id k c=chat,d=2000\r\n")
	serverConn, _ := srv.accept(t)
	time.Sleep(5 * time.Millisecond) // until the write deadline of PONG has passed
	serverConn.send("UP r-1\r\n")
	client.expect("UP r-1\r\n")
}

// Guards against clients that stay with a server whose machine has vanished, which only missing answers reveal.
func TestSilentServerMigratesClient(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Timeouts.ResponseSilenceMS, c.Timeouts.LateNoticeMS = 60, 20 }, srv)
	client, server := n.establish(srv)
	client.send("hello\r\n")
	server.expect("hello\r\n")
	client.expect("MOVE\r\n")
	client.expectEnd(io.EOF)
	server.expectEnd(io.EOF)
	n.expectCode("server_silent")
}

// Guards against taking a server for silent while no message is unanswered.
func TestIdleConnectionStaysOpen(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Timeouts.ResponseSilenceMS, c.Timeouts.LateNoticeMS = 60, 20 }, srv)
	client, server := n.establish(srv)
	for range 3 {
		client.send("ping\r\n")
		server.expect("ping\r\n")
		server.send("pong\r\n")
		client.expect("pong\r\n")
		client.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // longer than the silence limit
		if line, err := client.reader.ReadString('\n'); err == nil || line != "" {
			t.Fatalf("got %q", line)
		}
		client.SetReadDeadline(time.Now().Add(testTimeout))
	}
}
