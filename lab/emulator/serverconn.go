package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// firstLineTimeout is the maximum time from the start of a connection to the first line of an attempt.
const firstLineTimeout = time.Minute

// openFields is the number of fields of an OPEN line that the server reads: verb, request ID and client key.
const openFields = 3

// maxUtilization is the utilization at which the server starts to reject attempts.
const maxUtilization = 2

// serve answers the lines received on a connection until the connection is closed.
func (s *Server) serve(c *conn) {
	defer c.Close()
	if !s.addConn(c) {
		return
	}
	defer s.removeConn(c)
	firstLineTimer := time.AfterFunc(firstLineTimeout, func() { c.Close() })
	defer firstLineTimer.Stop()
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadString('\n')
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
		s.handleEvent(event)
		if hanging != nil && !s.hang(c, reader, hanging, event) {
			return
		}
		if event.Kind == AttemptReceived {
			firstLineTimer.Stop()
			s.serveAttempt(c, reader, event, draining)
			return
		}
		if !s.answerHealthCheck(c, fields[0], draining) {
			return
		}
	}
}

// addConn registers a connection. It reports false if the server has stopped.
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

// answerHealthCheck answers PING, STATS or an unknown verb, and reports whether the connection remains open.
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

// hang waits while the server hangs, and reports whether the peer is still connected afterwards.
func (s *Server) hang(c *conn, reader *bufio.Reader, hanging <-chan struct{}, event Event) bool {
	s.HangingLines.Add(1)
	if waitWhileHanging(c, reader, hanging) {
		return true
	}
	if event.Kind == AttemptReceived {
		event.At, event.Kind = time.Now(), AttemptEnded
		s.handleEvent(event)
	}
	return false
}

// waitWhileHanging waits until the hanging channel is closed, and reports whether the peer is still connected.
func waitWhileHanging(c net.Conn, reader *bufio.Reader, hanging <-chan struct{}) bool {
	peeked := make(chan error, 1)
	go func() {
		_, err := reader.Peek(1)
		peeked <- err
	}()
	select {
	case err := <-peeked:
		if err != nil {
			return false
		}
		<-hanging // the peer sent more data without waiting for an answer
	case <-hanging:
		c.SetReadDeadline(time.Unix(1, 0)) // interrupts Peek
		<-peeked
		c.SetReadDeadline(time.Time{})
	}
	return true
}

// serveAttempt answers an attempt. If the attempt is accepted, it echoes the lines received on the connection.
func (s *Server) serveAttempt(c net.Conn, reader *bufio.Reader, event Event, draining bool) {
	defer func() {
		s.mu.Lock()
		delete(s.openConns, c)
		s.mu.Unlock()
		event.At, event.Kind = time.Now(), AttemptEnded
		s.handleEvent(event)
	}()
	if draining {
		s.reject(c, event)
		return
	}
	if s.isNextMalformed() {
		s.MalformedAnswers.Add(1)
		writeMalformedAnswer(c, reader, event.Request)
		return
	}
	s.mu.Lock()
	stopped := s.stopped
	limit := maxUtilization * float64(s.Config.Capacity) * s.CapacityFraction(time.Now())
	atLimit := float64(len(s.openConns)) >= limit
	if !stopped && !atLimit {
		s.openConns[c] = true
	}
	s.mu.Unlock()
	switch {
	case stopped:
		return
	case atLimit:
		s.reject(c, event)
		return
	}
	if _, err := fmt.Fprintf(c, "UP %s\r\n", event.Request); err != nil {
		return
	}
	echo(c, reader)
}

func (s *Server) reject(c net.Conn, event Event) {
	event.At, event.Kind = time.Now(), AttemptRejected
	s.handleEvent(event)
	io.WriteString(c, "BUSY\r\n")
}

// echo writes each line back until the connection is closed.
func echo(c net.Conn, reader *bufio.Reader) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}
