package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"brassmux/internal/exchange"
)

// newTestServer returns a server that rejects each request with BUSY. dial connects a client that sends text; readAll
// returns all that the client receives, followed by the read error.
func newTestServer(t *testing.T, maxHandshakes int) (
	server *Server, tcpListener *net.TCPListener, dial func(text string) (readAll func() string)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	cfg := Config{
		FirstLineTimeout: time.Hour,
		MaxRequests:      100,
		MaxHandshakes:    maxHandshakes,
		IsInService:      func() bool { return true },
		ClassCounters:    func([]byte) *exchange.ClassCounters { return &exchange.ClassCounters{} },
		ExchangeLimits:   exchange.Limits{CloseTimeout: time.Second},
	}
	server = New(cfg, zap.NewNop(), nil, func(x *exchange.Exchange) { x.Answer(exchange.Rejected, "BUSY") })
	return server, listener.(*net.TCPListener), func(text string) func() string {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(conn, text)
		return func() string {
			received, err := io.ReadAll(conn)
			return fmt.Sprint(string(received), err)
		}
	}
}

// A shutdown begins while the kernel's queue contains more connections than there are handshake slots. All of them must
// be accepted and answered before the listener is closed.
func TestAcceptRemaining(t *testing.T) {
	server, listener, dial := newTestServer(t, 3)
	var clients []func() string
	for i := range 20 {
		clients = append(clients, dial(fmt.Sprintf("OPEN %d k c=x,d=1000\r\n", i)))
	}
	server.AcceptRemaining(listener)
	server.Serve(context.Background(), listener)
	for i, readAll := range clients {
		if got := readAll(); got != "BUSY\r\n<nil>" {
			t.Errorf("client %d received %q", i, got)
		}
	}
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// A connection that is accepted after LimitHandshakeTime must have the limit too.
func TestLimitHandshakeTimeAppliesToLaterConnections(t *testing.T) {
	server, listener, dial := newTestServer(t, 10)
	server.LimitHandshakeTime(20 * time.Millisecond)
	go server.Serve(context.Background(), listener)
	for _, text := range []string{"", "OPEN half"} {
		if got := dial(text)(); got != "ERR no request in time\r\n<nil>" {
			t.Errorf("client received %q", got)
		}
	}
}

// A shutdown begins while the process has no free descriptors. The connections in the kernel's queue must be accepted
// once descriptors are available again.
func TestAcceptRemainingAfterAcceptErrors(t *testing.T) {
	server, listener, dial := newTestServer(t, 30)
	var clients []func() string
	for i := range 20 {
		clients = append(clients, dial(fmt.Sprintf("OPEN %d k c=x,d=5000\r\n", i)))
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	restore := sync.OnceFunc(func() { syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) })
	t.Cleanup(restore)
	reducedLimit := limit
	reducedLimit.Cur = 3 // no more descriptors can be opened
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &reducedLimit); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		server.Serve(context.Background(), listener)
		close(served)
	}()
	server.AcceptRemaining(listener)
	select {
	case <-served:
	case <-time.After(2 * acceptRemainingTimeout):
	}
	restore()
	for i, readAll := range clients {
		if got := readAll(); got != "BUSY\r\n<nil>" {
			t.Errorf("client %d received %q", i, got)
		}
	}
	<-served
}
