package exchange

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
)

const patience = 10 * time.Second

// duplicate returns a socket of its own for the same connection, as another process gets.
func duplicate(t *testing.T, c *net.TCPConn) *net.TCPConn {
	t.Helper()
	f, err := c.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	again, err := net.FileConn(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { again.Close() })
	return again.(*net.TCPConn)
}

func noReport([]byte) *balance.LoadReport { return nil }

var someLimits = Limits{ResponseTimeout: time.Minute, LateReportInterval: time.Minute, CloseTimeout: time.Second}

// newOpenExchange returns an open one, with the far ends of both connections; done is closed when it has ended.
func newOpenExchange(t *testing.T, sink Observer) (x *Exchange, client, server *net.TCPConn, done chan struct{}) {
	t.Helper()
	head, err := ParseHead([]byte("OPEN id key c=chat,d=2000\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	nearClient, farClient := pair(t)
	nearServer, farServer := pair(t)
	client, server = farClient.(*net.TCPConn), farServer.(*net.TCPConn)
	client.SetDeadline(time.Now().Add(patience))
	server.SetDeadline(time.Now().Add(patience))
	x = New(head, nearClient, &ClassCounters{}, sink, someLimits, zap.NewNop())
	if !x.StartAttempt(Attempt{Server: 7, Addr: "there"}, func() {}) {
		t.Fatal("not waiting")
	}
	go x.Accept(nearServer, []byte("UP r\r\n"), noReport)
	hear(t, client, "UP r\r\n")
	done = make(chan struct{})
	go func() {
		x.RelayClient()
		close(done)
	}()
	return x, client, server, done
}

func hear(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
}

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// recordingSink records the responses to messages and the ends.
type recordingSink struct {
	discardSink
	message chan struct{}
	closed  chan balance.Outcome
}

func (s recordingSink) ResponseTime(*Exchange, balance.ServerID, time.Duration) {
	s.message <- struct{}{}
}
func (s recordingSink) AttemptEnded(_ *Exchange, _ Attempt, o balance.Outcome, _ time.Duration, _ *balance.LoadReport) {
	s.closed <- o
}

func newRecordingSink() recordingSink {
	return recordingSink{message: make(chan struct{}, 100), closed: make(chan balance.Outcome, 100)}
}

// A connection is handed over at every byte of a line, both ways: nothing is lost, doubled or cut.
func TestHandOverAtEveryByte(t *testing.T) {
	for cut := range len(question) + 1 {
		checkHandOverAt(t, cut)
	}
}

const question, answer = "a question\r\n", "its answer\r\n"

// checkHandOverAt hands a connection over when both sides have sent cut bytes of a line.
func checkHandOverAt(t *testing.T, cut int) {
	t.Helper()
	sink := newRecordingSink()
	x, client, server, done := newOpenExchange(t, sink)
	say(t, client, question[:cut])
	say(t, server, answer[:cut])
	if cut == len(question) { // whole lines are relayed here
		hear(t, server, question)
		hear(t, client, answer)
	}
	var s *OpenConnection
	var nearClient, nearServer *net.TCPConn
	for !x.HandOver(patience, func(st *OpenConnection, c, s2 *net.TCPConn) bool {
		s, nearClient, nearServer = st, duplicate(t, c), duplicate(t, s2)
		return true
	}) {
	}
	<-done // the old process has released it
	if got := <-sink.closed; got != balance.Cancelled {
		t.Errorf("cut at %d: the old process says %v", cut, got)
	}
	head, err := ParseHead(s.FirstLine)
	if err != nil || s.Server != 7 || s.Addr != "there" {
		t.Fatalf("cut at %d: %+v, %v", cut, s, err)
	}
	after := newRecordingSink()
	y := NewInherited(s, head, nearClient, nearServer, &ClassCounters{}, after, someLimits, zap.NewNop())
	ended := make(chan struct{})
	go y.RelayServer(noReport)
	go func() {
		y.RelayClient()
		close(ended)
	}()
	say(t, client, question[cut:]+"next\r\n")
	say(t, server, answer[cut:]+"last\r\n")
	if cut < len(question) {
		hear(t, server, question)
		hear(t, client, answer)
	}
	hear(t, server, "next\r\n")
	hear(t, client, "last\r\n")
	say(t, server, "BYE\r\n")
	server.Close()
	hear(t, client, "BYE\r\n")
	client.Close()
	<-ended
	if got := <-after.closed; got != balance.OK {
		t.Errorf("cut at %d: the new process says %v", cut, got)
	}
}

// What the other process does not take continues here, at once.
func TestFailedHandOverChangesNothing(t *testing.T) {
	sink := newRecordingSink()
	x, client, server, done := newOpenExchange(t, sink)
	say(t, client, "hal")
	sendCalls := 0
	for range 3 {
		if x.HandOver(patience, func(*OpenConnection, *net.TCPConn, *net.TCPConn) bool { sendCalls++; return false }) {
			t.Error("it is said to be taken")
		}
	}
	if sendCalls != 3 {
		t.Errorf("sendCalls %d times", sendCalls)
	}
	say(t, client, "f\r\n")
	hear(t, server, "half\r\n")
	say(t, server, "whole\r\n")
	hear(t, client, "whole\r\n")
	<-sink.message
	if !x.Move() {
		t.Error("it can't be moved any more")
	}
	hear(t, client, "MOVE\r\n")
	client.Close()
	<-done
}

// While a write waits for a slow reader a line is half out, and can't be cut there.
func TestHandOverFailsWithSlowReader(t *testing.T) {
	x, client, server, _ := newOpenExchange(t, newRecordingSink())
	server.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	line := strings.Repeat("x", 4000) + "\r\n"
	sent := 0
	for { // until all buffers are full
		if _, err := io.WriteString(server, line); err != nil {
			break
		}
		sent++
	}
	if x.HandOver(50*time.Millisecond, func(*OpenConnection, *net.TCPConn, *net.TCPConn) bool {
		t.Error("it was cut in the middle")
		return false
	}) {
		t.Error("handed over")
	}
	in := bufio.NewReaderSize(client, 8192)
	for range sent {
		if got, err := in.ReadString('\n'); got != line {
			t.Fatalf("got %d bytes, %v", len(got), err)
		}
	}
}

// Pending messages are timed on: a server that is silent across an upgrade is still noticed.
func TestSilenceIsCountedAcrossHandOver(t *testing.T) {
	x, client, server, _ := newOpenExchange(t, newRecordingSink())
	say(t, client, "anyone?\r\n")
	hear(t, server, "anyone?\r\n")
	var s *OpenConnection
	var a, b *net.TCPConn
	for !x.HandOver(patience, func(st *OpenConnection, c, s2 *net.TCPConn) bool {
		s, a, b = st, duplicate(t, c), duplicate(t, s2)
		return len(st.PendingAges) == 1
	}) {
	}
	head, err := ParseHead(s.FirstLine)
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{
		ResponseTimeout:    60 * time.Millisecond,
		LateReportInterval: 20 * time.Millisecond,
		CloseTimeout:       200 * time.Millisecond,
	}
	y := NewInherited(s, head, a, b, &ClassCounters{}, newRecordingSink(), limits, zap.NewNop())
	go y.RelayServer(noReport)
	go y.RelayClient()
	hear(t, client, "MOVE\r\n")
}

// Sockets are handed over only while the connection is open and nothing ends it.
func TestOnlyOpenConnectionIsHandedOver(t *testing.T) {
	never := func(*OpenConnection, *net.TCPConn, *net.TCPConn) bool {
		t.Error("handed over")
		return false
	}
	near, far := pair(t)
	head, _ := ParseHead([]byte("OPEN id key c=chat,d=2000\r\n"))
	x := New(head, near, &ClassCounters{}, discardSink{}, someLimits, zap.NewNop())
	if x.HandOver(patience, never) {
		t.Error("one that waits for its answer")
	}
	x.Answer(Rejected, "BUSY")
	hear(t, far, "BUSY\r\n")
	if x.HandOver(patience, never) {
		t.Error("one that is answered")
	}
	y, client, _, _ := newOpenExchange(t, newRecordingSink())
	y.Move()
	if y.HandOver(patience, never) {
		t.Error("one that is moved")
	}
	hear(t, client, "MOVE\r\n")
}
