package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"brassmux/internal/exchange"
)

const patience = 10 * time.Second

// front is a server that answers each request by itself.
func front(t *testing.T, cfg Config) (s *Server, l *net.TCPListener, dial func(first string) net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	cfg.Class = func([]byte) *exchange.Tally { return &exchange.Tally{} }
	cfg.Welcome = func() bool { return true }
	cfg.Exchange = exchange.Limits{Linger: time.Second}
	s = New(cfg, zap.NewNop(), nil, func(x *exchange.Exchange) { x.Answer(exchange.Refused, "BUSY") })
	return s, listener.(*net.TCPListener), func(first string) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		if _, err := io.WriteString(c, first); err != nil {
			t.Fatal(err)
		}
		return c
	}
}

// The machine has accepted them all, and the program none, when it is told to take no more. There are more than it has places at
// the door.
func TestTheLastConnectionsAreTaken(t *testing.T) {
	s, l, dial := front(t, Config{FirstLine: time.Hour, Most: 100, Door: 3})
	var clients []net.Conn
	for i := range 20 {
		clients = append(clients, dial(fmt.Sprintf("OPEN %d k c=x,d=1000\r\n", i)))
	}
	s.Last(l)
	served := make(chan bool)
	go func() {
		s.Serve(context.Background(), l)
		close(served)
	}()
	for i, c := range clients {
		if all, err := io.ReadAll(c); string(all) != "BUSY\r\n" || err != nil {
			t.Errorf("client %d got %q, %v", i, all, err)
		}
	}
	<-served
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}

// A connection comes to the door just after all there were hurried.
func TestWhoComesAfterTheHangUpIsHurriedToo(t *testing.T) {
	s, l, dial := front(t, Config{FirstLine: time.Hour, Most: 10, Door: 10})
	s.HangUp(20 * time.Millisecond)
	go s.Serve(context.Background(), l)
	for _, said := range []string{"", "OPEN half"} {
		if all, err := io.ReadAll(dial(said)); string(all) != "ERR no request in time\r\n" || err != nil {
			t.Errorf("got %q, %v", all, err)
		}
	}
}
