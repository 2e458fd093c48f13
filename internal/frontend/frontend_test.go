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

// front is a server that refuses each request, and dials of clients that say something and hear all.
func front(t *testing.T, door int) (s *Server, l *net.TCPListener, dial func(first string) (hear func() string)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s = New(Config{FirstLine: time.Hour, Most: 100, Door: door, Welcome: func() bool { return true },
		Class: func([]byte) *exchange.Tally { return &exchange.Tally{} }, Exchange: exchange.Limits{Linger: time.Second}},
		zap.NewNop(), nil, func(x *exchange.Exchange) { x.Answer(exchange.Refused, "BUSY") })
	return s, listener.(*net.TCPListener), func(first string) func() string {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, first)
		return func() string {
			all, err := io.ReadAll(c)
			return fmt.Sprint(string(all), err)
		}
	}
}

// The machine has accepted them all, and the program none, when it is told to take no more. There are more than it has places at
// the door.
func TestTheLastConnectionsAreTaken(t *testing.T) {
	s, l, dial := front(t, 3)
	var clients []func() string
	for i := range 20 {
		clients = append(clients, dial(fmt.Sprintf("OPEN %d k c=x,d=1000\r\n", i)))
	}
	s.Last(l)
	s.Serve(context.Background(), l)
	for i, hear := range clients {
		if got := hear(); got != "BUSY\r\n<nil>" {
			t.Errorf("client %d got %q", i, got)
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}

// A connection comes to the door just after all there were hurried.
func TestWhoComesAfterTheHangUpIsHurriedToo(t *testing.T) {
	s, l, dial := front(t, 10)
	s.HangUp(20 * time.Millisecond)
	go s.Serve(context.Background(), l)
	for _, said := range []string{"", "OPEN half"} {
		if got := dial(said)(); got != "ERR no request in time\r\n<nil>" {
			t.Errorf("got %q", got)
		}
	}
}

// The process is short of descriptors just as it is told to take no more: those that the machine has accepted are taken
// once there are some again.
func TestTheLastConnectionsAreTakenWhereAcceptFailsForAWhile(t *testing.T) {
	s, l, dial := front(t, 30)
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
	s.Last(l)
	select {
	case <-served:
	case <-time.After(2 * lastMost):
	}
	restore()
	for i, hear := range clients {
		if got := hear(); got != "BUSY\r\n<nil>" {
			t.Errorf("client %d got %q", i, got)
		}
	}
	<-served
}
