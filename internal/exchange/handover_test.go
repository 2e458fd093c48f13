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

const testTimeout = 10 * time.Second

// duplicate returns a duplicate of a connection's descriptor, as another process receives in a handover.
func duplicate(t *testing.T, conn *net.TCPConn) *net.TCPConn {
	t.Helper()
	file, err := conn.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	duplicated, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { duplicated.Close() })
	return duplicated.(*net.TCPConn)
}

// parseNoReport parses lines that have no load report.
func parseNoReport([]byte) *balance.LoadReport { return nil }

var testLimits = Limits{ResponseTimeout: time.Minute, LateReportInterval: time.Minute, CloseTimeout: time.Second}

// newOpenExchange returns an exchange with an open connection, and the remote ends of its client's and server's
// connections. ended is closed when RelayClient has returned.
func newOpenExchange(t *testing.T, observer Observer) (x *Exchange, client, server *net.TCPConn, ended chan struct{}) {
	t.Helper()
	head, err := ParseHead([]byte("OPEN id key c=chat,d=2000\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	localClient, remoteClient := connPair(t)
	localServer, remoteServer := connPair(t)
	client, server = remoteClient.(*net.TCPConn), remoteServer.(*net.TCPConn)
	client.SetDeadline(time.Now().Add(testTimeout))
	server.SetDeadline(time.Now().Add(testTimeout))
	x = New(head, localClient, &ClassCounters{}, observer, testLimits, zap.NewNop())
	if !x.StartAttempt(Attempt{Server: 7, Addr: "there"}, func() {}) {
		t.Fatal("StartAttempt returned false for a new exchange")
	}
	go x.Accept(localServer, []byte("UP r\r\n"), parseNoReport)
	mustRead(t, client, "UP r\r\n")
	ended = make(chan struct{})
	go func() {
		x.RelayClient()
		close(ended)
	}()
	return x, client, server, ended
}

// mustRead reads len(want) bytes and fails the test if they differ from want.
func mustRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
}

func mustWrite(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// recordingObserver records the responses to messages, and the outcomes of attempts.
type recordingObserver struct {
	noopObserver
	responses chan struct{}
	outcomes  chan balance.Outcome
}

func (o recordingObserver) ResponseTime(*Exchange, balance.ServerID, time.Duration) {
	o.responses <- struct{}{}
}

func (o recordingObserver) AttemptEnded(_ *Exchange, _ Attempt, outcome balance.Outcome, _ time.Duration,
	_ *balance.LoadReport) {
	o.outcomes <- outcome
}

func newRecordingObserver() recordingObserver {
	return recordingObserver{responses: make(chan struct{}, 100), outcomes: make(chan balance.Outcome, 100)}
}

// A handover in the middle of a line must not lose, duplicate or split the line. It is tested at each byte of a line in
// both directions.
func TestHandOverAtEveryByte(t *testing.T) {
	for split := range len(question) + 1 {
		checkHandOverAt(t, split)
	}
}

const question, answer = "a question\r\n", "its answer\r\n"

// checkHandOverAt hands a connection over after client and server have each sent the first split bytes of a line.
func checkHandOverAt(t *testing.T, split int) {
	t.Helper()
	observer := newRecordingObserver()
	x, client, server, ended := newOpenExchange(t, observer)
	mustWrite(t, client, question[:split])
	mustWrite(t, server, answer[:split])
	if split == len(question) { // complete lines are relayed before the handover
		mustRead(t, server, question)
		mustRead(t, client, answer)
	}
	var conn *OpenConnection
	var successorClient, successorServer *net.TCPConn
	for !x.HandOver(testTimeout, func(handedOver *OpenConnection, client, server *net.TCPConn) bool {
		conn, successorClient, successorServer = handedOver, duplicate(t, client), duplicate(t, server)
		return true
	}) {
	}
	<-ended
	if got := <-observer.outcomes; got != balance.Cancelled {
		t.Errorf("split at %d: outcome in the predecessor is %v, want Cancelled", split, got)
	}
	head, err := ParseHead(conn.FirstLine)
	if err != nil || conn.Server != 7 || conn.Addr != "there" {
		t.Fatalf("split at %d: handed over %+v, %v", split, conn, err)
	}
	successorObserver := newRecordingObserver()
	successor := NewInherited(conn, head, successorClient, successorServer, &ClassCounters{}, successorObserver,
		testLimits, zap.NewNop())
	successorEnded := make(chan struct{})
	go successor.RelayServer(parseNoReport)
	go func() {
		successor.RelayClient()
		close(successorEnded)
	}()
	mustWrite(t, client, question[split:]+"next\r\n")
	mustWrite(t, server, answer[split:]+"last\r\n")
	if split < len(question) {
		mustRead(t, server, question)
		mustRead(t, client, answer)
	}
	mustRead(t, server, "next\r\n")
	mustRead(t, client, "last\r\n")
	mustWrite(t, server, "BYE\r\n")
	server.Close()
	mustRead(t, client, "BYE\r\n")
	client.Close()
	<-successorEnded
	if got := <-successorObserver.outcomes; got != balance.OK {
		t.Errorf("split at %d: outcome in the successor is %v, want OK", split, got)
	}
}

// A connection that the other process does not accept must continue in this process without a delay.
func TestFailedHandOverContinuesConnection(t *testing.T) {
	observer := newRecordingObserver()
	x, client, server, ended := newOpenExchange(t, observer)
	mustWrite(t, client, "hal")
	sendCalls := 0
	for range 3 {
		if x.HandOver(testTimeout,
			func(*OpenConnection, *net.TCPConn, *net.TCPConn) bool { sendCalls++; return false }) {
			t.Error("HandOver returned true although send returned false")
		}
	}
	if sendCalls != 3 {
		t.Errorf("send was called %d times, want 3", sendCalls)
	}
	mustWrite(t, client, "f\r\n")
	mustRead(t, server, "half\r\n")
	mustWrite(t, server, "whole\r\n")
	mustRead(t, client, "whole\r\n")
	<-observer.responses
	if !x.Move() {
		t.Error("Move returned false after failed handovers")
	}
	mustRead(t, client, "MOVE\r\n")
	client.Close()
	<-ended
}

// While a write waits for a slow reader only part of a line may have been sent, so that the connection cannot be handed
// over. HandOver must fail after its timeout, and the connection must continue.
func TestHandOverTimesOutOnSlowReader(t *testing.T) {
	x, client, server, _ := newOpenExchange(t, newRecordingObserver())
	server.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	line := strings.Repeat("x", 4000) + "\r\n"
	sentLines := 0
	for { // until all buffers are full
		if _, err := io.WriteString(server, line); err != nil {
			break
		}
		sentLines++
	}
	if x.HandOver(50*time.Millisecond, func(*OpenConnection, *net.TCPConn, *net.TCPConn) bool {
		t.Error("send was called while a line was partly sent")
		return false
	}) {
		t.Error("HandOver returned true while a line was partly sent")
	}
	reader := bufio.NewReaderSize(client, 8192)
	for range sentLines {
		if got, err := reader.ReadString('\n'); got != line {
			t.Fatalf("client received a line of %d bytes, %v", len(got), err)
		}
	}
}

// The ages of pending messages must survive a handover, so that the response timeout detects a server that stops
// responding during an upgrade.
func TestHandOverKeepsAgesOfPendingMessages(t *testing.T) {
	x, client, server, _ := newOpenExchange(t, newRecordingObserver())
	mustWrite(t, client, "anyone?\r\n")
	mustRead(t, server, "anyone?\r\n")
	var conn *OpenConnection
	var successorClient, successorServer *net.TCPConn
	for !x.HandOver(testTimeout, func(handedOver *OpenConnection, client, server *net.TCPConn) bool {
		conn, successorClient, successorServer = handedOver, duplicate(t, client), duplicate(t, server)
		return len(handedOver.PendingAges) == 1
	}) {
	}
	head, err := ParseHead(conn.FirstLine)
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{
		ResponseTimeout:    60 * time.Millisecond,
		LateReportInterval: 20 * time.Millisecond,
		CloseTimeout:       200 * time.Millisecond,
	}
	successor := NewInherited(conn, head, successorClient, successorServer, &ClassCounters{}, newRecordingObserver(),
		limits, zap.NewNop())
	go successor.RelayServer(parseNoReport)
	go successor.RelayClient()
	mustRead(t, client, "MOVE\r\n")
}

// HandOver must not pass on the sockets of an exchange that has no server yet, or that is ending.
func TestHandOverRequiresOpenConnection(t *testing.T) {
	failOnSend := func(*OpenConnection, *net.TCPConn, *net.TCPConn) bool {
		t.Error("send was called")
		return false
	}
	local, remote := connPair(t)
	head, _ := ParseHead([]byte("OPEN id key c=chat,d=2000\r\n"))
	unanswered := New(head, local, &ClassCounters{}, noopObserver{}, testLimits, zap.NewNop())
	if unanswered.HandOver(testTimeout, failOnSend) {
		t.Error("handed over before the answer")
	}
	unanswered.Answer(Rejected, "BUSY")
	mustRead(t, remote, "BUSY\r\n")
	if unanswered.HandOver(testTimeout, failOnSend) {
		t.Error("handed over after the final answer")
	}
	moved, client, _, _ := newOpenExchange(t, newRecordingObserver())
	moved.Move()
	if moved.HandOver(testTimeout, failOnSend) {
		t.Error("handed over after Move")
	}
	mustRead(t, client, "MOVE\r\n")
}
