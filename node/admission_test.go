package node

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that exceeds its connection limit, or that does not free the place of a client that has left.
func TestNodeAtCapacityAnswersBusy(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, func(c *Config) { c.Limits.FileDescriptors = reservedDescriptors + 3*minConnections + 1 }, srv)
	var clients []*testConn
	for range minConnections {
		client, _ := n.establish(srv)
		clients = append(clients, client)
	}
	excess := n.open("over", "")
	excess.expect("BUSY\r\n")
	excess.expectEnd(io.EOF)
	excess.Close()
	n.expectCode("no_room")
	clients[0].reset()
	n.expectCode("client_reset")
	n.waitFor("a free place", func() bool {
		client := n.open("k", "")
		select {
		case serverConn := <-srv.conns:
			<-srv.firstLines
			serverConn.send("UP r\r\n")
			client.expect("UP r\r\n")
			return true
		case <-time.After(100 * time.Millisecond):
			client.Close()
			return false
		}
	})
}

// Guards against wrong answers to connections that do not send a valid request in time.
func TestInvalidFirstLines(t *testing.T) {
	n := startNode(t, func(c *Config) { c.Timeouts.FirstLineMS = 200 })
	for name, test := range map[string]struct{ input, want, code string }{
		"too long":      {strings.Repeat("x", 5000), "ERR line too long\r\n", "first_line_long"},
		"unknown":       {"GET / HTTP/1.1\r\n", "ERR unknown request\r\n", "first_line_wrong"},
		"malformed":     {"OPEN me\r\n", "ERR malformed request\r\n", "first_line_wrong"},
		"incomplete":    {"OPEN id k c=chat", "ERR no request in time\r\n", "first_line_late"},
		"after a ping":  {"PING\r\nBOO\r\n", "PONG\r\nERR unknown request\r\n", "first_line_wrong"},
		"several pings": {"PING\r\nPING\r\n", "PONG\r\nPONG\r\nERR no request in time\r\n", "first_line_late"},
		"unknown class": {"OPEN a k c=chats,d=2000\r\n", "ERR unknown class\r\n", "first_line_wrong"},
		"two requests": {"OPEN b k c=chat,d=2000\r\nOPEN c k c=chat,d=2000\r\n", "ERR malformed request\r\n",
			"first_line_wrong"},
		"empty": {"", "ERR no request in time\r\n", "first_line_late"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := n.dial()
			conn.t = t
			conn.send(test.input)
			got, err := io.ReadAll(conn.reader)
			if string(got) != test.want || err != nil {
				t.Errorf("got %q, %v, want %q", got, err, test.want)
			}
			conn.Close()
			n.expectCode(test.code)
		})
	}
	halfClosed := n.dial()
	halfClosed.send("OPEN id")
	halfClosed.CloseWrite()
	halfClosed.expect("ERR malformed request\r\n")
	n.dial().Close()
	n.expectCode("no_first_line")
}

// Guards against clients that occupy a connection forever by sending PING again and again.
func TestPingDoesNotExtendFirstLineDeadline(t *testing.T) {
	n := startNode(t, func(c *Config) { c.Timeouts.FirstLineMS = 100 })
	conn := n.dial()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		io.WriteString(conn.TCPConn, "PING\r\n")
		if line, err := conn.reader.ReadString('\n'); err != nil || line != "PONG\r\n" {
			break
		} else if time.Now().After(end) {
			t.Fatal("the connection stays open")
		}
	}
	n.expectCode("first_line_late")
}

// Guards against two requests with one ID, also after the first one has ended.
func TestRequestIDMustBeUnique(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	client, _ := n.establish(srv)
	for _, state := range []string{"open", "ended"} {
		conn := n.dial()
		conn.send("OPEN " + n.requestID("k") + " other c=chat,d=2000\r\n")
		conn.expect("ERR id in use\r\n")
		if len(srv.firstLines) > 0 {
			t.Errorf("%s: a second request with the same ID was forwarded", state)
		}
		client.reset()
		n.expectCode("client_reset")
		n.waitFor("the request to be removed", func() bool { return n.openRequests() == 0 })
	}
	n.expectCode("id_in_use")
}

// Guards against connections without a request that use up the places of requests.
func TestIdleConnectionsDoNotBlockRequests(t *testing.T) {
	for name, input := range map[string]string{"silent": "", "rejected": "BOO\r\n", "after a ping": "PING\r\n"} {
		t.Run(name, func(t *testing.T) {
			srv := newTestServer(t, "s-1")
			n := startNode(t, func(c *Config) {
				c.Limits.FileDescriptors = reservedDescriptors + 3*minConnections + 1
				c.Timeouts.FirstLineMS, c.Timeouts.CloseMS = 60_000, 60_000
			}, srv)
			for range 5 * minConnections {
				n.dial().send(input)
			}
			n.establish(srv)
			if n.counter("no_room") > 0 {
				t.Error("idle connections take the places of requests")
			}
		})
	}
}

// Guards against reading an endless first line to its end, which would use up the core of a small machine.
func TestOverlongFirstLineIsNotReadToEnd(t *testing.T) {
	n := startNode(t, func(c *Config) { c.Timeouts.CloseMS = 60_000 })
	conn := n.dial()
	if sent, err := conn.Write(make([]byte, 64<<20)); err == nil {
		t.Errorf("the node read %d bytes", sent)
	}
	n.expectCode("first_line_long")
}

// Guards against a start that fails because the process is out of descriptors for a moment.
func TestStartRetriesWithoutDescriptors(t *testing.T) {
	discoveryServer := newFakeDiscovery(t, 0)
	cfg := testConfig(t, discoveryServer)
	cfg.Admin = "127.0.0.1:0"
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	few := limit
	few.Cur = 3 // only the standard streams, so no descriptor can be opened
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	restored := make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() {
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
		close(restored)
	})
	n, err := New(cfg, nil)
	<-restored
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := n.Run(ctx); err != nil {
		t.Error(err)
	}
}
