package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"
)

// SetMalformedFraction sets the fraction of answers that are malformed, from 0 to 1.
func (s *Server) SetMalformedFraction(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.malformedFraction = fraction
}

func (s *Server) isNextMalformed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.malformedFraction > 0 && rand.Float64() < s.malformedFraction
}

// malformedAnswers are functions that write a malformed or late answer to the first line of an attempt. The connection
// is closed afterwards.
var malformedAnswers = []func(c *malformedConn, requestID string){
	func(_ *malformedConn, _ string) {}, // no answer
	func(c *malformedConn, _ string) { c.Conn.(*conn).Abort() },
	func(c *malformedConn, _ string) { io.WriteString(c, "UP\r\n") }, // no request ID
	func(c *malformedConn, requestID string) { fmt.Fprintf(c, "UP %s", requestID) },
	func(c *malformedConn, requestID string) { fmt.Fprintf(c, "UP %s\n", requestID) },
	func(c *malformedConn, requestID string) { fmt.Fprintf(c, "UP %s extra\r\n", requestID) },
	func(c *malformedConn, _ string) { io.WriteString(c, "BUS") },
	func(c *malformedConn, _ string) { io.WriteString(c, "BUSY\x00\r\n") },
	func(c *malformedConn, _ string) { io.WriteString(c, strings.Repeat("x", 16<<10)) }, // unterminated line
	func(c *malformedConn, _ string) { io.WriteString(c, "ERR\r\nERR\r\n") },
	func(c *malformedConn, requestID string) { // two parts, the second of them late
		io.WriteString(c, "UP ")
		if c.remainsOpen(300 * time.Millisecond) {
			io.WriteString(c, requestID)
		}
	},
	func(c *malformedConn, requestID string) { // after any deadline
		if c.remainsOpen(2 * time.Second) {
			fmt.Fprintf(c, "UP %s\r\n", requestID)
		}
	},
}

func writeMalformedAnswer(c net.Conn, reader *bufio.Reader, requestID string) {
	malformedAnswers[rand.IntN(len(malformedAnswers))](&malformedConn{c, reader}, requestID)
}

// malformedConn is a connection on which a malformed answer is written.
type malformedConn struct {
	net.Conn
	reader *bufio.Reader
}

// remainsOpen waits for at most a duration, and reports whether the peer is still connected.
func (c *malformedConn) remainsOpen(duration time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(duration))
	_, err := c.reader.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// malformedReports are malformed answers to PING and STATS.
var malformedReports = []string{
	"", "PONG x0=", "PONG x0=inf\r\n", "PONG x0=-3\r\n", "NO\r\n", "ERR\r\n", "PONG x0=0.1\r\nPONG x0=0.1\r\n",
}

func writeMalformedReport(c net.Conn) {
	io.WriteString(c, malformedReports[rand.IntN(len(malformedReports))])
}
