package exchange

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/lines"
)

type discardSink struct{}

func (discardSink) ClientLeft(*Exchange)                              {}
func (discardSink) AttemptAccepted(*Exchange, Attempt, time.Duration) {}
func (discardSink) AttemptEnded(*Exchange, Attempt, balance.Outcome, time.Duration, *balance.LoadReport) {
}
func (discardSink) ResponseTime(*Exchange, balance.ServerID, time.Duration) {}

// pair returns both ends of a connection.
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

// The node's loop calls exchanges, and must not wait for a client that does not read.
func TestClientThatDoesNotReadBlocksNoCaller(t *testing.T) {
	client, _ := pair(t)
	server, _ := pair(t)
	for size := 1 << 16; size > 0; size /= 2 { // until not a byte more goes out
		for err := error(nil); err == nil; {
			client.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			_, err = client.Write(make([]byte, size))
		}
	}
	client.SetWriteDeadline(time.Time{})
	x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, discardSink{}, Limits{CloseTimeout: time.Minute},
		zap.NewNop())
	x.StartAttempt(Attempt{}, func() {})
	go x.Accept(server, []byte("UP r\r\n"), func([]byte) *balance.LoadReport { return nil })
	answered := make(chan bool)
	go func() {
		for x.AwaitsAnswer() {
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

// acceptedSink calls a function when a server has accepted, before what that sends is read.
type acceptedSink struct {
	discardSink
	accepted func()
}

func (s acceptedSink) AttemptAccepted(*Exchange, Attempt, time.Duration) { s.accepted() }

// The server's last word has come and waits to be relayed as the client is to be moved.
func TestNothingFollowsLastWord(t *testing.T) {
	for _, word := range []string{"BYE\r\n", "MOVE\r\n"} {
		for name, before := range map[string]bool{"the move first": true, "the word first": false} {
			t.Run(word[:len(word)-2]+", "+name, func(t *testing.T) { checkNothingFollowsLastWord(t, word, before) })
		}
	}
}

// checkNothingFollowsLastWord moves the client before or after the server's last word is relayed.
func checkNothingFollowsLastWord(t *testing.T, word string, before bool) {
	t.Helper()
	client, farClient := pair(t)
	server, farServer := pair(t)
	io.WriteString(farServer, "UP r\r\n"+word) // and does not close
	line, err := server.ReadLine()
	if err != nil {
		t.Fatal(err)
	}
	var x *Exchange
	limits := Limits{
		CloseTimeout:       100 * time.Millisecond,
		ResponseTimeout:    time.Minute,
		LateReportInterval: time.Minute,
	}
	x = New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, acceptedSink{accepted: func() {
		if before {
			x.Move()
		}
	}}, limits, zap.NewNop())
	x.StartAttempt(Attempt{}, func() {})
	go x.RelayClient()
	go x.Accept(server, line, noReport)
	farClient.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(farClient)
	for _, want := range []string{"UP r\r\n", word} {
		if got, err := in.ReadString('\n'); got != want {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if !before && x.Move() {
		t.Error("it was moved after its end")
	}
	if more, err := io.ReadAll(in); len(more) > 0 || err != nil {
		t.Errorf("%q, %v followed", more, err)
	}
}

// leftSink counts the clients that left.
type leftSink struct {
	discardSink
	count *atomic.Int64
}

func (l leftSink) ClientLeft(*Exchange) { l.count.Add(1) }

// The client's goroutine has not read yet how its client left; nothing is sent all the same. What a client that is
// there writes is not taken from that goroutine.
func TestNothingIsSentForClientThatHasLeft(t *testing.T) {
	for name, c := range map[string]struct {
		act   func(farClient *net.TCPConn)
		sends bool
	}{
		"closes":                  {func(c *net.TCPConn) { c.Close() }, false},
		"ends its sending":        {func(c *net.TCPConn) { c.CloseWrite() }, false},
		"breaks":                  {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		"writes early and closes": {func(c *net.TCPConn) { io.WriteString(c, "a\r\n"); c.Close() }, false},
		"writes early and ends its sending": {func(c *net.TCPConn) {
			io.WriteString(c, "a\r\n")
			c.CloseWrite()
		}, false},
		"is there":     {func(*net.TCPConn) {}, true},
		"writes early": {func(c *net.TCPConn) { io.WriteString(c, "a\r\n") }, true},
	} {
		t.Run(name, func(t *testing.T) { checkSendsOnlyForPresentClient(t, c.act, c.sends, name == "writes early") })
	}
}

// checkSendsOnlyForPresentClient has a client act before an attempt is to send its first line.
func checkSendsOnlyForPresentClient(t *testing.T, act func(farClient *net.TCPConn), sends, hasLine bool) {
	t.Helper()
	client, far := pair(t)
	farClient := far.(*net.TCPConn)
	var leftCount atomic.Int64
	x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, leftSink{count: &leftCount},
		Limits{CloseTimeout: time.Minute}, zap.NewNop())
	cancelled := 0
	x.StartAttempt(Attempt{}, func() { cancelled++ })
	act(farClient)
	wantLeft := int64(0)
	if !sends {
		awaitPeerClosed(t, client)
		wantLeft = 1
	}
	if x.StartSending() != sends || leftCount.Load() != wantLeft || int64(cancelled) != wantLeft ||
		x.AwaitsAnswer() != sends {
		t.Errorf("it is sent; %d have left, %d attempts are cancelled", leftCount.Load(), cancelled)
	}
	if hasLine {
		if line, err := client.ReadLine(); string(line) != "a\r\n" {
			t.Errorf("got %q, %v", line, err)
		}
	}
	farClient.Close()
	x.EndAttempt()
	x.RelayClient()
	if leftCount.Load() != 1 {
		t.Errorf("it has left %d times", leftCount.Load())
	}
}

// awaitPeerClosed waits until the end of a connection has reached the kernel.
func awaitPeerClosed(t *testing.T, c *lines.Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !c.IsPeerClosed(); {
		if time.Now().After(end) {
			t.Fatal("its leaving is not seen")
		}
	}
}

// An answer that was given arrives, also where the client ends its sending in the same moment: it still reads.
func TestGivenAnswerArrives(t *testing.T) {
	given := 0
	for range 2000 {
		client, far := pair(t)
		x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, discardSink{},
			Limits{CloseTimeout: time.Minute}, zap.NewNop())
		ended := make(chan struct{})
		go func() {
			x.RelayClient()
			close(ended)
		}()
		go far.(*net.TCPConn).CloseWrite()
		answered := x.Answer(Rejected, "BUSY")
		far.SetReadDeadline(time.Now().Add(10 * time.Second))
		got, err := io.ReadAll(far)
		if answered && (string(got) != "BUSY\r\n" || err != nil) {
			t.Fatalf("after %d answers that arrived: got %q, %v", given, got, err)
		} else if answered {
			given++
		}
		<-ended
	}
	if given == 0 {
		t.Error("no answer was given")
	}
}

// Once a client is sent MOVE, nothing of it goes to its server any more: it would be lost there.
func TestNothingIsRelayedAfterMove(t *testing.T) {
	for range 300 {
		client, farClient := pair(t)
		server, far := pair(t)
		io.WriteString(far, "UP r\r\n")
		line, err := server.ReadLine()
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan struct{})
		x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{},
			acceptedSink{accepted: func() { close(accepted) }},
			Limits{CloseTimeout: time.Second, ResponseTimeout: time.Minute, LateReportInterval: time.Minute},
			zap.NewNop())
		x.StartAttempt(Attempt{}, func() {})
		ended := make(chan struct{})
		go func() {
			x.RelayClient()
			close(ended)
		}()
		go x.Accept(server, line, noReport)
		<-accepted
		x.Move()
		in := bufio.NewReader(farClient)
		farClient.SetDeadline(time.Now().Add(10 * time.Second))
		for _, want := range []string{"UP r\r\n", "MOVE\r\n"} {
			if got, err := in.ReadString('\n'); got != want {
				t.Fatalf("got %q, %v", got, err)
			}
		}
		x.mu.Lock()
		passes := propertiesOf[x.state].relaysClientLines
		x.mu.Unlock()
		if passes {
			t.Fatal("a line of the client's would be relayed after its MOVE")
		}
		farClient.Close()
		<-ended
	}
}
