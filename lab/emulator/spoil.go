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

// Spoil has the server spoil a part of its answers from now on: 0 for none, 1 for all.
func (s *Server) Spoil(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoilt = part
}

func (s *Server) spoils() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoilt > 0 && rand.Float64() < s.spoilt
}

// spoiltAnswers are answers to a first line that are none, or come too late. Each ends with the connection.
var spoiltAnswers = []func(c *spoilt, request string){
	func(c *spoilt, _ string) {}, // closed without a word
	func(c *spoilt, _ string) { c.Conn.(*conn).Abort() },
	func(c *spoilt, _ string) { io.WriteString(c, "UP\r\n") }, // no receipt
	func(c *spoilt, request string) { fmt.Fprintf(c, "UP %s", request) },
	func(c *spoilt, request string) { fmt.Fprintf(c, "UP %s\n", request) },
	func(c *spoilt, request string) { fmt.Fprintf(c, "UP %s extra\r\n", request) },
	func(c *spoilt, _ string) { io.WriteString(c, "BUS") },
	func(c *spoilt, _ string) { io.WriteString(c, "BUSY\x00\r\n") },
	func(c *spoilt, _ string) { io.WriteString(c, strings.Repeat("x", 16<<10)) }, // a line without an end
	func(c *spoilt, _ string) { io.WriteString(c, "ERR\r\nERR\r\n") },
	func(c *spoilt, request string) { // in two pieces, of which the second comes late
		io.WriteString(c, "UP ")
		if c.stays(300 * time.Millisecond) {
			io.WriteString(c, request)
		}
	},
	func(c *spoilt, request string) { // answered long after anybody waits
		if c.stays(2 * time.Second) {
			fmt.Fprintf(c, "UP %s\r\n", request)
		}
	},
}

func spoilAnswer(c net.Conn, in *bufio.Reader, request string) {
	spoiltAnswers[rand.IntN(len(spoiltAnswers))](&spoilt{c, in}, request)
}

// spoilt is a connection whose answer is spoilt.
type spoilt struct {
	net.Conn
	in *bufio.Reader
}

// stays waits, and tells whether the other side is there all the time.
func (c *spoilt) stays(d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	_, err := c.in.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// spoiltReports are answers to a question for the load that are none.
var spoiltReports = []string{"", "PONG x0=", "PONG x0=inf\r\n", "PONG x0=-3\r\n", "NO\r\n", "ERR\r\n", "PONG x0=0.1\r\nPONG x0=0.1\r\n"}

func spoilReport(c net.Conn) {
	io.WriteString(c, spoiltReports[rand.IntN(len(spoiltReports))])
}
