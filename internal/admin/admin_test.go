package admin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// fakeNode is a Node whose state tests set and read.
type fakeNode struct{ ready, outOfService, stopping atomic.Bool }

func (n *fakeNode) Ready() bool { return n.ready.Load() }

func (n *fakeNode) SetOutOfService(outOfService bool) bool {
	if n.stopping.Load() {
		return false
	}
	n.outOfService.Store(outOfService)
	return true
}

func (n *fakeNode) Metrics() Metrics {
	return Metrics{Requests: map[string]RequestCounts{"chat": {Served: 3, Rejected: 2, Failed: 1}}, Attempts: 7,
		InFlight: 4, KnownServers: 6, ExcludedServers: 5}
}

// newTestServer starts a server for a fake node.
func newTestServer(t *testing.T, maxConnections int, callTimeout time.Duration) (
	node *fakeNode, server *Server, addr string,
) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node = &fakeNode{}
	server = New(node, Limits{MaxConnections: maxConnections, CallTimeout: callTimeout}, zap.NewNop())
	done := make(chan struct{})
	go func() {
		server.Serve(listener)
		close(done)
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	return node, server, listener.Addr().String()
}

// dial connects to addr and sets a deadline for the use of the connection.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// call makes one request and returns the status, body and Allow header of the response. It checks that the server
// closes the connection.
func call(t *testing.T, addr, method, path string) (status int, body, allow string) {
	t.Helper()
	conn := dial(t, addr)
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: node\r\n\r\n", method, path)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Errorf("%s %s: the connection stays open", method, path)
	}
	return resp.StatusCode, strings.TrimSpace(string(data)), resp.Header.Get("Allow")
}

// Guards against wrong states in responses, and against requests that do not change the node's state.
func TestControlRequests(t *testing.T) {
	node, server, addr := newTestServer(t, 8, time.Second)
	steps := []struct {
		before       func()
		method, path string
		status       int
		body         string
	}{
		{nil, "GET", "/control/ready", 503, `{"state":"not ready"}`},
		{func() { node.ready.Store(true) }, "GET", "/control/ready", 200, `{"state":"ready"}`},
		{nil, "POST", "/control/out-of-service", 200, `{"state":"out of service"}`},
		{nil, "POST", "/control/out-of-service", 200, `{"state":"out of service"}`},
		{nil, "POST", "/control/in-service", 200, `{"state":"in service"}`},
		{nil, "POST", "/control/in-service", 200, `{"state":"in service"}`},
		{func() { node.stopping.Store(true) }, "POST", "/control/out-of-service", 503, `{"state":"stopping"}`},
		{nil, "POST", "/control/in-service", 503, `{"state":"stopping"}`},
		{nil, "GET", "/control/other", 404, ""},
		{nil, "GET", "/", 404, ""},
	}
	for _, step := range steps {
		if step.before != nil {
			step.before()
		}
		status, body, _ := call(t, addr, step.method, step.path)
		if status != step.status || step.body != "" && body != step.body {
			t.Errorf("%s %s: got %d %s, want %d %s", step.method, step.path, status, body, step.status, step.body)
		}
		if wantOutOfService := step.path == "/control/out-of-service" && status == 200; wantOutOfService &&
			!node.outOfService.Load() {
			t.Error("the node is not out of service")
		}
	}
	if node.outOfService.Load() {
		t.Error("the node is still out of service")
	}
	if got := server.Counters.Calls.Load(); got != int64(len(steps)) {
		t.Errorf("counted %d calls", got)
	}
}

// Guards against changed keys in the JSON of the metrics.
func TestMetricsJSON(t *testing.T) {
	_, _, addr := newTestServer(t, 8, time.Second)
	_, body, _ := call(t, addr, "GET", "/control/counters")
	var got map[string]any
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"requests": map[string]any{"chat": map[string]any{"served": 3.0, "refused": 2.0,
		"failed": 1.0}},
		"attempts": 7.0, "in_flight": 4.0, "hosts_known": 6.0, "hosts_excluded": 5.0}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against requests with a wrong method that change the node's state, and against responses to them without the
// allowed method.
func TestWrongMethodReturnsAllowHeader(t *testing.T) {
	node, _, addr := newTestServer(t, 8, time.Second)
	for _, test := range []struct{ method, path, allow string }{
		{"GET", "/control/out-of-service", "POST"}, {"GET", "/control/in-service", "POST"},
		{"POST", "/control/ready", "GET, HEAD"}, {"DELETE", "/control/counters", "GET, HEAD"},
	} {
		if status, _, allow := call(t, addr, test.method, test.path); status != 405 || allow != test.allow {
			t.Errorf("%s %s: got %d, Allow %q, want 405, %q", test.method, test.path, status, allow, test.allow)
		}
	}
	if node.outOfService.Load() {
		t.Error("a wrong method took the node out of service")
	}
}

// Guards against malformed requests that take effect or keep their connection open. The server must close it, with or
// without a 4xx response.
func TestMalformedRequestIsRejected(t *testing.T) {
	node, _, addr := newTestServer(t, 64, 300*time.Millisecond)
	for name, text := range map[string]string{
		"not HTTP":           "OPEN 1 2 c=chat,d=3\r\n\r\n",
		"no request":         "",
		"incomplete headers": "POST /control/out-of-service HTTP/1.1\r\nHost",
		"oversized headers": "POST /control/out-of-service HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", 1<<20) +
			"\r\n\r\n",
		"oversized body":  "POST /control/out-of-service HTTP/1.1\r\nHost: n\r\nContent-Length: 99999999\r\n\r\n",
		"negative length": "POST /control/out-of-service HTTP/1.1\r\nHost: n\r\nContent-Length: -1\r\n\r\n",
		"binary data":     "\x00\xff\x16\x03\x01\r\n\r\n",
		"two lengths": "POST /control/out-of-service HTTP/1.1\r\nHost: n\r\nContent-Length: 1\r\n" +
			"Content-Length: 2\r\n\r\n",
		"no host header": "POST /control/out-of-service HTTP/1.1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, addr)
			go io.WriteString(conn, text)
			response, _ := io.ReadAll(conn) // until the server closes the connection, or until the deadline
			if len(response) > 0 && !strings.HasPrefix(string(response), "HTTP/1.1 4") {
				t.Errorf("got %.60q", response)
			}
			// A write fails with a timeout if the deadline has passed.
			if _, err := conn.Write(nil); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Error("the connection was not closed")
			}
		})
	}
	if node.outOfService.Load() {
		t.Error("the node was taken out of service")
	}
}

// Guards against callers without a complete request that block others until their timeout, here an hour.
func TestIncompleteRequestsAreEvicted(t *testing.T) {
	node, server, addr := newTestServer(t, 8, time.Hour)
	node.ready.Store(true)
	for i := range 200 {
		conn := dial(t, addr)
		if i%2 == 0 {
			io.WriteString(conn, "GET /control/ready HTT") // incomplete request
		}
	}
	if status, _, _ := call(t, addr, "GET", "/control/ready"); status != 200 {
		t.Errorf("got %d", status)
	}
	if got := server.Counters.Evictions.Load(); got < 200-8 || got > 200 {
		t.Errorf("%d connections were evicted", got)
	}
}

// Guards against a caller that does not read its response and so occupies the only connection for good.
func TestUnreadResponseTimesOut(t *testing.T) {
	_, server, addr := newTestServer(t, 1, 100*time.Millisecond)
	conn := dial(t, addr)
	io.WriteString(conn, "GET /control/counters HTTP/1.1\r\nHost: n\r\n\r\n")
	if status, _, _ := call(t, addr, "GET", "/control/counters"); status != 200 {
		t.Errorf("got %d", status)
	}
	if server.Counters.Connections.Load() != 2 {
		t.Errorf("accepted %d connections", server.Counters.Connections.Load())
	}
}

// failingListener is a listener whose first calls of Accept fail with the given errors.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Guards against a server that stops after a transient error of accept(2).
func TestServeRetriesAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &fakeNode{}
	node.ready.Store(true)
	server := New(node, Limits{MaxConnections: 4, CallTimeout: time.Second}, zap.NewNop())
	done := make(chan struct{})
	go func() {
		server.Serve(&failingListener{listener, []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
			syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH,
			syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EINTR}})
		close(done)
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	if status, body, _ := call(t, listener.Addr().String(), "GET", "/control/ready"); status != http.StatusOK {
		t.Errorf("got %d, %q", status, body)
	}
}
