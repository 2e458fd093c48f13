package exchange

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/lines"
)

type deaf struct{}

func (deaf) Left(*Exchange)                                                             {}
func (deaf) Accepted(*Exchange, Attempt, time.Duration)                                 {}
func (deaf) Closed(*Exchange, Attempt, balance.Outcome, time.Duration, *balance.Report) {}
func (deaf) Message(*Exchange, balance.ServerID, time.Duration)                         {}

// pair gives both ends of a connection.
func pair(t *testing.T) (near *lines.Conn, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if far, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); far.Close() })
	return lines.New(c.(*net.TCPConn)), far
}

// The loop asks exchanges, and must not wait for a client that does not read.
func TestAClientThatDoesNotReadHoldsUpNoQuestion(t *testing.T) {
	client, _ := pair(t)
	server, _ := pair(t)
	for size := 1 << 16; size > 0; size /= 2 { // until not a byte more goes out
		for err := error(nil); err == nil; {
			client.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			_, err = client.Write(make([]byte, size))
		}
	}
	client.SetWriteDeadline(time.Time{})
	x := New(&Head{Wait: time.Minute}, client, &Tally{}, deaf{}, Limits{Linger: time.Minute}, zap.NewNop())
	x.Attempting(Attempt{}, func() {})
	go x.Stand(server, []byte("UP r\r\n"), func([]byte) *balance.Report { return nil })
	answered := make(chan bool)
	go func() {
		for x.Owed() {
			time.Sleep(time.Millisecond)
		}
		x.Move()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Error("it is held up")
	}
}

// sink does something when a connection stands: before what its server sends is looked at.
type sink struct {
	deaf
	accepted func()
}

func (s sink) Accepted(*Exchange, Attempt, time.Duration) { s.accepted() }

// The server's last word has come and waits to be passed on as the client is to be moved.
func TestNothingFollowsTheServersLastWord(t *testing.T) {
	for _, word := range []string{"BYE\r\n", "MOVE\r\n"} {
		for name, before := range map[string]bool{"the move first": true, "the word first": false} {
			t.Run(word[:len(word)-2]+", "+name, func(t *testing.T) {
				client, asker := pair(t)
				server, far := pair(t)
				io.WriteString(far, "UP r\r\n"+word) // and does not close
				line, err := server.ReadLine()
				if err != nil {
					t.Fatal(err)
				}
				var x *Exchange
				x = New(&Head{Wait: time.Minute}, client, &Tally{}, sink{accepted: func() {
					if before {
						x.Move()
					}
				}}, Limits{Linger: 100 * time.Millisecond, Silence: time.Minute, Notice: time.Minute}, zap.NewNop())
				x.Attempting(Attempt{}, func() {})
				go x.FromClient()
				go x.Stand(server, line, noReport)
				asker.SetDeadline(time.Now().Add(10 * time.Second))
				in := bufio.NewReader(asker)
				for _, want := range []string{"UP r\r\n", word} {
					if got, err := in.ReadString('\n'); got != want {
						t.Fatalf("got %q, %v", got, err)
					}
				}
				if !before && x.Move() {
					t.Error("it was moved after its end")
				}
				if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
					t.Errorf("%q, %v followed", rest, err)
				}
			})
		}
	}
}
