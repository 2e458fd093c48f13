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

// newTestServer returns a server that rejects each request, and a dialer of clients that send text and read all.
func newTestServer(t *testing.T, maxHandshakes int) (
	s *Server, l *net.TCPListener, dial func(text string) (readAll func() string)) {
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
	s = New(cfg, zap.NewNop(), nil, func(x *exchange.Exchange) { x.Answer(exchange.Rejected, "BUSY") })
	return s, listener.(*net.TCPListener), func(text string) func() string {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, text)
		return func() string {
			all, err := io.ReadAll(c)
			return fmt.Sprint(string(all), err)
		}
	}
}

// The kernel has accepted all connections, and the program none, when it is to accept no more. There are more of them
// than handshake slots.
func TestAcceptRemaining(t *testing.T) {
	s, l, dial := newTestServer(t, 3)
	var clients []func() string
	for i := range 20 {
		clients = append(clients, dial(fmt.Sprintf("OPEN %d k c=x,d=1000\r\n", i)))
	}
	s.AcceptRemaining(l)
	s.Serve(context.Background(), l)
	for i, readAll := range clients {
		if got := readAll(); got != "BUSY\r\n<nil>" {
			t.Errorf("client %d got %q", i, got)
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}

// A connection is accepted just after the handshakes were limited.
func TestLimitHandshakesBindsLaterConnections(t *testing.T) {
	s, l, dial := newTestServer(t, 10)
	s.LimitHandshakeTime(20 * time.Millisecond)
	go s.Serve(context.Background(), l)
	for _, text := range []string{"", "OPEN half"} {
		if got := dial(text)(); got != "ERR no request in time\r\n<nil>" {
			t.Errorf("got %q", got)
		}
	}
}

// The process lacks descriptors when it is to accept no more: the connections in the kernel's queue are accepted once
// there are descriptors again.
func TestAcceptRemainingAfterAcceptErrors(t *testing.T) {
	s, l, dial := newTestServer(t, 30)
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
	few := limit
	few.Cur = 3 // no further one can be opened
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		s.Serve(context.Background(), l)
		close(served)
	}()
	s.AcceptRemaining(l)
	select {
	case <-served:
	case <-time.After(2 * acceptRemainingTimeout):
	}
	restore()
	for i, readAll := range clients {
		if got := readAll(); got != "BUSY\r\n<nil>" {
			t.Errorf("client %d got %q", i, got)
		}
	}
	<-served
}
