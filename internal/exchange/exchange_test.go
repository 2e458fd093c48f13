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

// noopObserver ignores all events.
type noopObserver struct{}

func (noopObserver) ClientLeft(*Exchange)                              {}
func (noopObserver) AttemptAccepted(*Exchange, Attempt, time.Duration) {}
func (noopObserver) AttemptEnded(*Exchange, Attempt, balance.Outcome, time.Duration, *balance.LoadReport) {
}
func (noopObserver) ResponseTime(*Exchange, balance.ServerID, time.Duration) {}

// connPair returns both ends of a new TCP connection.
func connPair(t *testing.T) (local *lines.Conn, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if remote, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); remote.Close() })
	return lines.New(conn.(*net.TCPConn)), remote
}

// The node calls AwaitsAnswer and Move in its event loop, which must not wait for a client that does not read. Here
// Accept is blocked in its write to such a client.
func TestStalledClientDoesNotBlockCaller(t *testing.T) {
	client, _ := connPair(t)
	server, _ := connPair(t)
	for size := 1 << 16; size > 0; size /= 2 { // until the send buffer is full to the last byte
		for err := error(nil); err == nil; {
			client.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			_, err = client.Write(make([]byte, size))
		}
	}
	client.SetWriteDeadline(time.Time{})
	x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, noopObserver{}, Limits{CloseTimeout: time.Minute},
		zap.NewNop())
	x.StartAttempt(Attempt{}, func() {})
	go x.Accept(server, []byte("UP r\r\n"), func([]byte) *balance.LoadReport { return nil })
	done := make(chan bool)
	go func() {
		for x.AwaitsAnswer() {
			time.Sleep(time.Millisecond)
		}
		x.Move()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("AwaitsAnswer or Move is blocked")
	}
}

// acceptObserver calls a function when a server has accepted, before the server's further lines are read.
type acceptObserver struct {
	noopObserver
	onAccepted func()
}

func (o acceptObserver) AttemptAccepted(*Exchange, Attempt, time.Duration) { o.onAccepted() }

// The node decides to move a client around the time that the server sends BYE or MOVE. The client must receive only the
// server's line, and not the node's MOVE after it.
func TestNothingFollowsFinalLine(t *testing.T) {
	for _, finalLine := range []string{"BYE\r\n", "MOVE\r\n"} {
		for name, moveFirst := range map[string]bool{"move before it": true, "move after it": false} {
			t.Run(finalLine[:len(finalLine)-2]+", "+name, func(t *testing.T) {
				checkNothingFollowsFinalLine(t, finalLine, moveFirst)
			})
		}
	}
}

// checkNothingFollowsFinalLine calls Move before or after the server's BYE or MOVE is relayed to the client.
func checkNothingFollowsFinalLine(t *testing.T, finalLine string, moveFirst bool) {
	t.Helper()
	client, remoteClient := connPair(t)
	server, remoteServer := connPair(t)
	io.WriteString(remoteServer, "UP r\r\n"+finalLine) // the server does not close afterwards
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
	x = New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, acceptObserver{onAccepted: func() {
		if moveFirst {
			x.Move()
		}
	}}, limits, zap.NewNop())
	x.StartAttempt(Attempt{}, func() {})
	go x.RelayClient()
	go x.Accept(server, line, parseNoReport)
	remoteClient.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(remoteClient)
	for _, want := range []string{"UP r\r\n", finalLine} {
		if got, err := reader.ReadString('\n'); got != want {
			t.Fatalf("client received %q, %v", got, err)
		}
	}
	if !moveFirst && x.Move() {
		t.Error("Move returned true after the server's final line")
	}
	if extra, err := io.ReadAll(reader); len(extra) > 0 || err != nil {
		t.Errorf("client received %q, %v after the final line", extra, err)
	}
}

// departureObserver counts the clients that disconnected before their answer.
type departureObserver struct {
	noopObserver
	count *atomic.Int64
}

func (c departureObserver) ClientLeft(*Exchange) { c.count.Add(1) }

// A client disconnects just before an attempt sends its first line, and the client's goroutine has not read the end of
// the connection yet. The attempt must detect it and send nothing, without consuming lines of a connected client.
func TestAttemptSendsNothingAfterClientLeft(t *testing.T) {
	for name, test := range map[string]struct {
		act      func(remoteClient *net.TCPConn)
		wantSent bool
	}{
		"close":             {func(c *net.TCPConn) { c.Close() }, false},
		"half-close":        {func(c *net.TCPConn) { c.CloseWrite() }, false},
		"reset":             {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		"early line, close": {func(c *net.TCPConn) { io.WriteString(c, "a\r\n"); c.Close() }, false},
		"early line, half-close": {func(c *net.TCPConn) {
			io.WriteString(c, "a\r\n")
			c.CloseWrite()
		}, false},
		"connected":  {func(*net.TCPConn) {}, true},
		"early line": {func(c *net.TCPConn) { io.WriteString(c, "a\r\n") }, true},
	} {
		t.Run(name, func(t *testing.T) { checkStartSending(t, test.act, test.wantSent, name == "early line") })
	}
}

// checkStartSending calls act for the client and then checks whether StartSending permits an attempt to send. wantLine
// is true if act sends a line that the client's goroutine must still be able to read.
func checkStartSending(t *testing.T, act func(remoteClient *net.TCPConn), wantSent, wantLine bool) {
	t.Helper()
	client, remote := connPair(t)
	remoteClient := remote.(*net.TCPConn)
	var departures atomic.Int64
	x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, departureObserver{count: &departures},
		Limits{CloseTimeout: time.Minute}, zap.NewNop())
	cancellations := 0
	x.StartAttempt(Attempt{}, func() { cancellations++ })
	act(remoteClient)
	wantDepartures := int64(0)
	if !wantSent {
		waitForPeerClosed(t, client)
		wantDepartures = 1
	}
	if x.StartSending() != wantSent || departures.Load() != wantDepartures || int64(cancellations) != wantDepartures ||
		x.AwaitsAnswer() != wantSent {
		t.Errorf("wrong result of StartSending or AwaitsAnswer, or of %d calls to ClientLeft and %d to cancel",
			departures.Load(), cancellations)
	}
	if wantLine {
		if line, err := client.ReadLine(); string(line) != "a\r\n" {
			t.Errorf("client's goroutine read %q, %v", line, err)
		}
	}
	remoteClient.Close()
	x.EndAttempt()
	x.RelayClient()
	if departures.Load() != 1 {
		t.Errorf("ClientLeft was called %d times, want 1", departures.Load())
	}
}

// waitForPeerClosed waits until the kernel has received the end of a connection.
func waitForPeerClosed(t *testing.T, conn *lines.Conn) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !conn.IsPeerClosed(); {
		if time.Now().After(deadline) {
			t.Fatal("IsPeerClosed remains false")
		}
	}
}

// A client that closes its sending side still reads. It must receive its answer even if it does so at the moment that
// the answer is given, when its goroutine returns before the answer is written.
func TestAnswerArrivesDespiteHalfClose(t *testing.T) {
	answerCount := 0
	for range 2000 {
		client, remote := connPair(t)
		x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{}, noopObserver{},
			Limits{CloseTimeout: time.Minute}, zap.NewNop())
		ended := make(chan struct{})
		go func() {
			x.RelayClient()
			close(ended)
		}()
		go remote.(*net.TCPConn).CloseWrite()
		answered := x.Answer(Rejected, "BUSY")
		remote.SetReadDeadline(time.Now().Add(10 * time.Second))
		got, err := io.ReadAll(remote)
		if answered && (string(got) != "BUSY\r\n" || err != nil) {
			t.Fatalf("after %d received answers: client received %q, %v", answerCount, got, err)
		} else if answered {
			answerCount++
		}
		<-ended
	}
	if answerCount == 0 {
		t.Error("each client left before its answer: nothing was tested")
	}
}

// A client's line that is relayed after the client was sent MOVE would be lost, since the connection to the server is
// closed.
func TestNoClientLineIsRelayedAfterMove(t *testing.T) {
	for range 300 {
		client, remoteClient := connPair(t)
		server, remoteServer := connPair(t)
		io.WriteString(remoteServer, "UP r\r\n")
		line, err := server.ReadLine()
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan struct{})
		x := New(&Head{Timeout: time.Minute}, client, &ClassCounters{},
			acceptObserver{onAccepted: func() { close(accepted) }},
			Limits{CloseTimeout: time.Second, ResponseTimeout: time.Minute, LateReportInterval: time.Minute},
			zap.NewNop())
		x.StartAttempt(Attempt{}, func() {})
		ended := make(chan struct{})
		go func() {
			x.RelayClient()
			close(ended)
		}()
		go x.Accept(server, line, parseNoReport)
		<-accepted
		x.Move()
		reader := bufio.NewReader(remoteClient)
		remoteClient.SetDeadline(time.Now().Add(10 * time.Second))
		for _, want := range []string{"UP r\r\n", "MOVE\r\n"} {
			if got, err := reader.ReadString('\n'); got != want {
				t.Fatalf("client received %q, %v", got, err)
			}
		}
		x.mu.Lock()
		relays := propertiesOf[x.state].relaysClientLines
		x.mu.Unlock()
		if relays {
			t.Fatal("client lines are relayed after MOVE")
		}
		remoteClient.Close()
		<-ended
	}
}
