package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// firstLineTimeout bounds the lines before an attempt.
const firstLineTimeout = time.Minute

// openFields is the number of fields of an OPEN line that the server reads: verb, request ID and client's key.
const openFields = 3

// maxUtilization is the utilization from which attempts are rejected.
const maxUtilization = 2

// serve answers the lines of a connection until it is closed.
func (s *Server) serve(c *conn) {
	defer c.Close()
	if !s.addConn(c) {
		return
	}
	defer s.removeConn(c)
	timeout := time.AfterFunc(firstLineTimeout, func() { c.Close() })
	defer timeout.Stop()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		hanging, draining, stopped := s.hanging, s.draining, s.stopped
		s.mu.Unlock()
		fields := strings.Fields(line)
		if stopped || len(fields) == 0 {
			return
		}
		event := s.newEvent(c, fields)
		s.handle(event)
		if hanging != nil && !s.hang(c, in, hanging, event) {
			return
		}
		if event.Kind == AttemptReceived {
			timeout.Stop()
			s.serveAttempt(c, in, event, draining)
			return
		}
		if !s.answerHealthCheck(c, fields[0], draining) {
			return
		}
	}
}

// addConn tells whether the server takes a connection: not once it has stopped.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) newEvent(c *conn, fields []string) Event {
	event := Event{At: time.Now(), ArrivedAt: c.ArrivedAt(), Kind: HealthChecked, Server: s, Node: c.node}
	if fields[0] == "OPEN" && len(fields) >= openFields {
		event.Kind, event.Request, event.Client = AttemptReceived, fields[1], fields[2]
	}
	return event
}

// answerHealthCheck answers a line other than OPEN, and tells whether the connection goes on.
func (s *Server) answerHealthCheck(c *conn, verb string, draining bool) bool {
	switch {
	case s.isNextMalformed():
		s.MalformedAnswers.Add(1)
		writeMalformedReport(c)
		return false
	case verb == "STATS" && !draining:
		fmt.Fprintf(c, "PONG x0=%.3f\r\n", s.Utilization())
	case verb == "PING" && !draining:
		io.WriteString(c, "PONG\r\n")
	default:
		io.WriteString(c, "ERR\r\n")
	}
	return true
}

// hang waits while the server hangs, and tells whether the peer is still connected then.
func (s *Server) hang(c *conn, in *bufio.Reader, hanging <-chan struct{}, event Event) bool {
	s.HangingLines.Add(1)
	if waitWhileHanging(c, in, hanging) {
		return true
	}
	if event.Kind == AttemptReceived {
		event.At, event.Kind = time.Now(), AttemptEnded
		s.handle(event)
	}
	return false
}

// waitWhileHanging tells whether the peer is still connected when the server answers again.
func waitWhileHanging(c net.Conn, in *bufio.Reader, hanging <-chan struct{}) bool {
	peeked := make(chan error, 1)
	go func() {
		_, err := in.Peek(1)
		peeked <- err
	}()
	select {
	case err := <-peeked:
		if err != nil {
			return false
		}
		<-hanging // the peer sent more without an answer
	case <-hanging:
		c.SetReadDeadline(time.Unix(1, 0)) // interrupts Peek
		<-peeked
		c.SetReadDeadline(time.Time{})
	}
	return true
}

// serveAttempt answers an attempt, and serves the connection that it becomes: an echo.
func (s *Server) serveAttempt(c net.Conn, in *bufio.Reader, event Event, draining bool) {
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
		event.At, event.Kind = time.Now(), AttemptEnded
		s.handle(event)
	}()
	if draining {
		s.reject(c, event)
		return
	}
	if s.isNextMalformed() {
		s.MalformedAnswers.Add(1)
		writeMalformedAnswer(c, in, event.Request)
		return
	}
	s.mu.Lock()
	stopped := s.stopped
	limit := maxUtilization * float64(s.Config.Capacity) * s.CapacityFraction(time.Now())
	full := float64(len(s.open)) >= limit
	if !stopped && !full {
		s.open[c] = true
	}
	s.mu.Unlock()
	switch {
	case stopped:
		return
	case full:
		s.reject(c, event)
		return
	}
	if _, err := fmt.Fprintf(c, "UP %s\r\n", event.Request); err != nil {
		return
	}
	echo(c, in)
}

func (s *Server) reject(c net.Conn, event Event) {
	event.At, event.Kind = time.Now(), AttemptRejected
	s.handle(event)
	io.WriteString(c, "BUSY\r\n")
}

// echo writes each line back until the connection is closed.
func echo(c net.Conn, in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}
