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

// oddHeld is how long a node may hold a client that says no request: what it is owed, and the rig's slack.
const oddHeld = 3*time.Second + 300*time.Millisecond

// oddClients are clients that misbehave, each in a way of its own. They come once.
var oddClients = []struct {
	name string
	play func(c *oddClient)
}{
	{"leaves before its answer", (*oddClient).leaves},
	{"ends its sending before its answer", (*oddClient).endsSending},
	{"breaks before its answer", (*oddClient).breaks},
	{"says half a request", func(c *oddClient) { c.stays("OPEN half") }},
	{"says nothing", func(c *oddClient) { c.stays("") }},
	{"asks whether the node is there, and rests", func(c *oddClient) { c.stays("PING\r\n") }},
	{"asks after a rest", (*oddClient).asksAfterARest},
	{"writes ahead", (*oddClient).writesAhead},
	{"writes in pieces", (*oddClient).writesInPieces},
	{"floods and leaves", (*oddClient).floods},
}

// oddClient is one that misbehaves.
type oddClient struct {
	r    *rig
	n    *node
	conn net.Conn
	in   *bufio.Reader
	id   string

	asked, settled bool // its request is whole; it has heard its answer, or that there is none
}

// odd has one misbehave.
func (r *rig) odd(number int) {
	n, addr := r.front()
	if n == nil {
		return
	}
	dialled, err := (&net.Dialer{Timeout: 2 * time.Second}).Dial("tcp", addr)
	if err != nil {
		return
	}
	tcp := dialled.(*net.TCPConn)
	conn := emulator.Wrap(tcp, r.way("clients", n.index, false), r.way("clients", n.index, true))
	defer conn.Close()
	kind := oddClients[r.draw(len(oddClients))]
	r.count("odd clients: " + kind.name)
	c := &oddClient{r: r, n: n, conn: conn, in: bufio.NewReader(conn), id: fmt.Sprintf("o%d-%d", r.o.Seed, number)}
	kind.play(c)
	if c.asked && !c.settled { // the day's end cuts it short
		r.ref.ClientLeft(c.id, time.Now())
	}
}

func (c *oddClient) say(text string) bool {
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// line is its request, whose time is told in it.
func (c *oddClient) line(deadline time.Duration) string {
	return fmt.Sprintf("OPEN %s key-%s c=%s,d=%d\r\n", c.id, c.id, className(checker.Idempotent), deadline.Milliseconds())
}

// ask sends its request whole.
func (c *oddClient) ask() bool {
	deadline := time.Duration(c.r.s.Clients.Deadline)
	c.asks(deadline)
	return c.say(c.line(deadline))
}

// asks tells the checker that the last byte of its request goes out now.
func (c *oddClient) asks(deadline time.Duration) {
	now := time.Now()
	c.r.ref.RequestSent(c.id, c.n.index, c.id, checker.Idempotent, now, now.Add(deadline))
	c.asked = true
}

// answer waits for the final answer and tells the checker.
func (c *oddClient) answer() (word string) {
	c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.r.s.Clients.Deadline) + 2*time.Second))
	line, err := c.in.ReadString('\n')
	c.settled = true
	switch {
	case err == nil:
		c.r.ref.AnswerReceived(c.id, time.Now())
		word, _, _ = strings.Cut(strings.TrimSpace(line), " ")
	case errors.Is(err, net.ErrClosed):
		c.r.ref.ClientLeft(c.id, time.Now())
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.r.ref.ConnectionClosed(c.id, time.Now())
	}
	return word
}

// wait is a while within which an answer may come or not; the day's end cuts it short.
func (c *oddClient) wait() { c.r.sleep(c.r.between(0, c.r.s.Clients.Deadline/2)) }

// goes tells the checker that it leaves, unless its answer has come.
func (c *oddClient) goes() {
	c.settled = true
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.in.ReadByte(); err == nil {
		c.r.ref.AnswerReceived(c.id, time.Now())
		return
	}
	c.r.ref.ClientLeft(c.id, time.Now())
}

func (c *oddClient) leaves() {
	if c.ask() {
		c.wait()
		c.goes()
		c.conn.Close()
	}
}

func (c *oddClient) endsSending() {
	if c.ask() {
		c.wait()
		c.goes()
		c.conn.(interface{ CloseWrite() error }).CloseWrite()
		c.r.sleep(300 * time.Millisecond)
	}
}

func (c *oddClient) breaks() {
	if c.ask() {
		c.wait()
		c.goes()
		c.conn.(interface{ Abort() }).Abort()
	}
}

// stays says something that is no request, and waits to be sent away.
func (c *oddClient) stays(text string) {
	begun := time.Now()
	if !c.say(text) {
		return
	}
	c.conn.SetReadDeadline(begun.Add(oddHeld))
	for {
		_, err := c.in.ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.r.ref.ClientNotClosed(fmt.Sprintf("%q", text), c.n.index, time.Now())
		}
		if err != nil {
			return
		}
	}
}

// asksAfterARest sends its request about when the node ends a connection that rests.
func (c *oddClient) asksAfterARest() {
	if !c.say("PING\r\n") {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(time.Second))
	if line, err := c.in.ReadString('\n'); err != nil || line != "PONG\r\n" {
		return
	}
	if !c.r.sleep(c.r.between(Duration(1900*time.Millisecond), Duration(2100*time.Millisecond))) {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return // it has been sent away already
	}
	if c.ask() {
		c.answer()
	}
}

// writesAhead does not wait for its answer before it goes on.
func (c *oddClient) writesAhead() {
	if !c.ask() {
		return
	}
	for range 3 {
		c.r.sleep(5 * time.Millisecond)
		c.say("ahead\r\n")
	}
	if c.answer() == "UP" {
		c.conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		c.in.ReadString('\n')
	}
}

// writesInPieces takes a while for its request; its time counts from the last byte.
func (c *oddClient) writesInPieces() {
	deadline := time.Duration(c.r.s.Clients.Deadline)
	line := c.line(deadline)
	for i := 0; i < len(line); i += 7 {
		if i+7 >= len(line) {
			c.asks(deadline)
		}
		if !c.say(line[i:min(i+7, len(line))]) {
			return
		}
		if !c.r.sleep(30 * time.Millisecond) {
			return
		}
	}
	c.answer()
}

// floods sends much that nobody asked for, and goes.
func (c *oddClient) floods() {
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	for range 50 {
		if !c.say(strings.Repeat("flood\r\n", 600)) {
			return
		}
	}
}

// odds has clients come that misbehave.
func (r *rig) odds() {
	if r.s.Clients.MisbehavingPerSecond <= 0 {
		return
	}
	for number := 0; r.sleep(r.between(0, Duration(2/r.s.Clients.MisbehavingPerSecond*float64(time.Second)))); number++ {
		r.work.Go(func() { r.odd(number) })
	}
}

// className is that of the class of an effect in the nodes' settings.
func className(e checker.Idempotency) string { return [...]string{"c", "k", "u"}[e] }

// keyedWindow is how long servers drop repeats of a keyed request.
const keyedWindow = 800 * time.Millisecond

// effect draws that of a new client's requests.
func (r *rig) effect() checker.Idempotency {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch p := r.rng.Float64(); {
	case p < r.s.Clients.NotIdempotentFraction:
		return checker.NotIdempotent
	case p < r.s.Clients.NotIdempotentFraction+r.s.Clients.KeyedFraction:
		return checker.KeyedIdempotent
	}
	return checker.Idempotent
}
