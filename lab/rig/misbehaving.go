package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"brassmux/lab/checker"
	"brassmux/lab/emulator"
)

// maxIdleHold is how long a node may keep a client without a request: the 3 s after which it must disconnect the
// client, and the slack of the harness.
const maxIdleHold = 3*time.Second + 300*time.Millisecond

// misbehaviors are the kinds of misbehaving clients, which connect once. The names are part of the keys of
// Result.Totals.
var misbehaviors = []struct {
	name string
	run  func(c *misbehavingClient)
}{
	{"leaves before its answer", (*misbehavingClient).closeBeforeAnswer},
	{"ends its sending before its answer", (*misbehavingClient).closeWriteBeforeAnswer},
	{"breaks before its answer", (*misbehavingClient).resetBeforeAnswer},
	{"says half a request", func(c *misbehavingClient) { c.awaitDisconnect("OPEN half") }},
	{"says nothing", func(c *misbehavingClient) { c.awaitDisconnect("") }},
	{"asks whether the node is there, and rests", func(c *misbehavingClient) { c.awaitDisconnect("PING\r\n") }},
	{"asks after a rest", (*misbehavingClient).requestAfterIdle},
	{"writes ahead", (*misbehavingClient).writeBeforeAnswer},
	{"writes in pieces", (*misbehavingClient).requestInPieces},
	{"floods and leaves", (*misbehavingClient).flood},
}

// misbehavingClient is a client that does not follow the protocol, or ends its connection early.
type misbehavingClient struct {
	run       *run
	node      *node
	conn      net.Conn
	reader    *bufio.Reader
	requestID string

	// requestSent is set when the complete request was reported to the checker, outcomeReported when its answer was, or
	// that there is none.
	requestSent, outcomeReported bool
}

// runMisbehavingClient plays one client with a random misbehavior.
func (r *run) runMisbehavingClient(number int) {
	n, addr := r.pickNode()
	if n == nil {
		return
	}
	netConn, err := (&net.Dialer{Timeout: 2 * time.Second}).Dial("tcp", addr)
	if err != nil {
		return
	}
	tcpConn := netConn.(*net.TCPConn)
	conn := emulator.Wrap(tcpConn, r.direction("clients", n.index, false), r.direction("clients", n.index, true))
	defer conn.Close()
	misbehavior := misbehaviors[r.randomIndex(len(misbehaviors))]
	r.count("odd clients: " + misbehavior.name)
	c := &misbehavingClient{run: r, node: n, conn: conn, reader: bufio.NewReader(conn),
		requestID: fmt.Sprintf("o%d-%d", r.options.Seed, number)}
	misbehavior.run(c)
	if c.requestSent && !c.outcomeReported { // interrupted by the end of the run
		r.checker.ClientLeft(c.requestID, time.Now())
	}
}

// send writes text and reports whether it could.
func (c *misbehavingClient) send(text string) bool {
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// requestLine returns the request line, which has the deadline.
func (c *misbehavingClient) requestLine(deadline time.Duration) string {
	return fmt.Sprintf("OPEN %s key-%s c=%s,d=%d\r\n", c.requestID, c.requestID, className(checker.Idempotent),
		deadline.Milliseconds())
}

// sendRequest sends the complete request and reports whether it could.
func (c *misbehavingClient) sendRequest() bool {
	deadline := time.Duration(c.run.scenario.Clients.Deadline)
	c.reportRequest(deadline)
	return c.send(c.requestLine(deadline))
}

// reportRequest reports to the checker that the last byte of the request is sent now.
func (c *misbehavingClient) reportRequest(deadline time.Duration) {
	now := time.Now()
	c.run.checker.RequestSent(c.requestID, c.node.index, c.requestID, checker.Idempotent, now, now.Add(deadline))
	c.requestSent = true
}

// awaitAnswer waits for the final answer, reports the outcome to the checker and returns the status of the answer, ""
// without one.
func (c *misbehavingClient) awaitAnswer() (status string) {
	c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.run.scenario.Clients.Deadline) + 2*time.Second))
	line, err := c.reader.ReadString('\n')
	c.outcomeReported = true
	switch {
	case err == nil:
		c.run.checker.AnswerReceived(c.requestID, time.Now())
		status, _, _ = strings.Cut(strings.TrimSpace(line), " ")
	case errors.Is(err, net.ErrClosed):
		c.run.checker.ClientLeft(c.requestID, time.Now())
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.run.checker.ConnectionClosed(c.requestID, time.Now())
	}
	return status
}

// pause waits for a random time, within which an answer may or may not arrive, or until the run ends.
func (c *misbehavingClient) pause() {
	c.run.sleep(c.run.randomDuration(0, c.run.scenario.Clients.Deadline/2))
}

// reportDeparture reports to the checker that the client leaves, or its answer if that has arrived.
func (c *misbehavingClient) reportDeparture() {
	c.outcomeReported = true
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.reader.ReadByte(); err == nil {
		c.run.checker.AnswerReceived(c.requestID, time.Now())
		return
	}
	c.run.checker.ClientLeft(c.requestID, time.Now())
}

func (c *misbehavingClient) closeBeforeAnswer() {
	if c.sendRequest() {
		c.pause()
		c.reportDeparture()
		c.conn.Close()
	}
}

func (c *misbehavingClient) closeWriteBeforeAnswer() {
	if c.sendRequest() {
		c.pause()
		c.reportDeparture()
		c.conn.(interface{ CloseWrite() error }).CloseWrite()
		c.run.sleep(300 * time.Millisecond)
	}
}

func (c *misbehavingClient) resetBeforeAnswer() {
	if c.sendRequest() {
		c.pause()
		c.reportDeparture()
		c.conn.(interface{ Abort() }).Abort()
	}
}

// awaitDisconnect sends a text that is not a complete request and waits for the node to disconnect. A node that does
// not within maxIdleHold is reported to the checker.
func (c *misbehavingClient) awaitDisconnect(text string) {
	startedAt := time.Now()
	if !c.send(text) {
		return
	}
	c.conn.SetReadDeadline(startedAt.Add(maxIdleHold))
	for {
		_, err := c.reader.ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.run.checker.ClientNotClosed(fmt.Sprintf("%q", text), c.node.index, time.Now())
		}
		if err != nil {
			return
		}
	}
}

// requestAfterIdle sends the request at about the time at which the node closes an idle connection.
func (c *misbehavingClient) requestAfterIdle() {
	if !c.send("PING\r\n") {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(time.Second))
	if line, err := c.reader.ReadString('\n'); err != nil || line != "PONG\r\n" {
		return
	}
	if !c.run.sleep(c.run.randomDuration(Duration(1900*time.Millisecond), Duration(2100*time.Millisecond))) {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return // already disconnected
	}
	if c.sendRequest() {
		c.awaitAnswer()
	}
}

// writeBeforeAnswer sends more lines before the answer has arrived.
func (c *misbehavingClient) writeBeforeAnswer() {
	if !c.sendRequest() {
		return
	}
	for range 3 {
		c.run.sleep(5 * time.Millisecond)
		c.send("ahead\r\n")
	}
	if c.awaitAnswer() == "UP" {
		c.conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		c.reader.ReadString('\n')
	}
}

// requestInPieces sends the request slowly, a few bytes at a time. Its deadline counts from the last byte.
func (c *misbehavingClient) requestInPieces() {
	deadline := time.Duration(c.run.scenario.Clients.Deadline)
	line := c.requestLine(deadline)
	for i := 0; i < len(line); i += 7 {
		if i+7 >= len(line) {
			c.reportRequest(deadline)
		}
		if !c.send(line[i:min(i+7, len(line))]) {
			return
		}
		if !c.run.sleep(30 * time.Millisecond) {
			return
		}
	}
	c.awaitAnswer()
}

// flood sends many lines that are not requests and leaves.
func (c *misbehavingClient) flood() {
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	for range 50 {
		if !c.send(strings.Repeat("flood\r\n", 600)) {
			return
		}
	}
}

// startMisbehavingClients starts misbehaving clients at random intervals until the run ends.
func (r *run) startMisbehavingClients() {
	if r.scenario.Clients.MisbehavingPerSecond <= 0 {
		return
	}
	for number := 0; r.sleep(r.randomDuration(0,
		Duration(2/r.scenario.Clients.MisbehavingPerSecond*float64(time.Second)))); number++ {
		r.tasks.Go(func() { r.runMisbehavingClient(number) })
	}
}

// className returns the name, in the nodes' settings, of the class of requests with an idempotency.
func className(idempotency checker.Idempotency) string {
	return [...]string{"c", "k", "u"}[idempotency]
}

// idempotencyWindow is how long servers drop repetitions of a keyed request.
const idempotencyWindow = 800 * time.Millisecond

// drawIdempotency returns a random idempotency for the requests of a new client.
func (r *run) drawIdempotency() checker.Idempotency {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch draw := r.rng.Float64(); {
	case draw < r.scenario.Clients.NotIdempotentFraction:
		return checker.NotIdempotent
	case draw < r.scenario.Clients.NotIdempotentFraction+r.scenario.Clients.KeyedFraction:
		return checker.KeyedIdempotent
	}
	return checker.Idempotent
}
