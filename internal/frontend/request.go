package frontend

import (
	"errors"
	"io"
	"os"

	"brassmux/internal/exchange"
	"brassmux/internal/lines"
)

// errUnknownClass is the error for a request of a class that is not configured. Its text is sent to the client.
var errUnknownClass = errors.New("unknown class")

// readRequest reads a client's request and reserves a slot for it. If there is no valid request, or it is rejected, the
// code for the log line is not empty.
func (s *Server) readRequest(conn *lines.Conn) (
	head *exchange.Head, counters *exchange.ClassCounters, code exchange.Reason) {
	line, code := s.readFirstLine(conn)
	if code != "" {
		return nil, nil, code
	}
	head, counters, err := s.parseRequest(conn, line)
	if err != nil {
		return nil, nil, s.reject(conn, Malformed, err.Error())
	}
	switch code := s.reserveRequest(head, s.IDs.begin); code {
	case AtCapacity:
		s.Counters.AtCapacity.Add(1)
		counters.Rejected.Add(1)
		s.writeFinalLine(conn, "BUSY")
		return nil, nil, code
	case IDInUse:
		return nil, nil, s.reject(conn, code, "id in use")
	}
	return head, counters, ""
}

// parseRequest parses a first line. A second line that was received together with it is an error, because a client must
// wait for its answer and no server expects such a line.
func (s *Server) parseRequest(conn *lines.Conn, line []byte) (*exchange.Head, *exchange.ClassCounters, error) {
	head, err := exchange.ParseHead(append([]byte(nil), line...)) // a copy, since the read buffer is reused
	if err != nil {
		return nil, nil, err
	}
	if conn.HasBuffered() {
		return nil, nil, exchange.ErrMalformed
	}
	counters := s.cfg.ClassCounters(head.Class)
	if counters == nil {
		return nil, nil, errUnknownClass
	}
	return head, counters, nil
}

// readFirstLine answers PING lines and returns the first other line. PING lines do not extend the handshake: a client
// that sends nothing else is rejected in the same way as one that sends nothing.
func (s *Server) readFirstLine(conn *lines.Conn) (line []byte, code exchange.Reason) {
	flow := s.cfg.ExchangeLimits.Pacer.NewFlow()
	for code = NoFirstLine; ; code = PingOnly {
		flow.Await()
		line, err := conn.ReadLine()
		switch {
		case errors.Is(err, lines.ErrTooLong):
			return nil, s.reject(conn, FirstLineTooLong, err.Error())
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, s.reject(conn, FirstLineTimedOut, "no request in time")
		case err == io.EOF && len(conn.TakeBuffered()) > 0:
			return nil, s.reject(conn, Malformed, exchange.ErrMalformed.Error())
		case err != nil:
			return nil, code
		}
		if text, ok := lines.TrimCRLF(line); !ok || string(text) != "PING" {
			return line, ""
		}
		if err := s.answerPing(conn); err != nil {
			return nil, PingOnly
		}
	}
}

// answerPing answers a PING according to whether the node is in service.
func (s *Server) answerPing(conn *lines.Conn) error {
	s.Counters.Pings.Add(1)
	answer := "PONG"
	if !s.cfg.IsInService() {
		answer = "ERR out of service"
	}
	return conn.WriteLine(answer, s.cfg.ExchangeLimits.CloseTimeout)
}

// reject answers a client that has sent no valid request, and returns the code.
func (s *Server) reject(conn *lines.Conn, code exchange.Reason, text string) exchange.Reason {
	s.Counters.Malformed.Add(1)
	s.writeFinalLine(conn, "ERR "+text)
	return code
}

// writeFinalLine writes a final line and waits for the client to close. Closing with unread bytes would reset the
// connection before the client has read the line.
func (s *Server) writeFinalLine(conn *lines.Conn, line string) {
	conn.WriteLine(line, s.cfg.ExchangeLimits.CloseTimeout)
	conn.CloseWrite()
	s.setHandshakeTimeout(conn, s.cfg.ExchangeLimits.CloseTimeout)
	io.Copy(io.Discard, io.LimitReader(conn.TCPConn, exchange.MaxDrainBytes))
}

// reserveRequest reserves a slot and the ID of a request, the latter by begin. If it cannot it returns the code of the
// rejection.
func (s *Server) reserveRequest(head *exchange.Head, begin func(id []byte) bool) exchange.Reason {
	select {
	case s.requestSlots <- struct{}{}:
	default:
		return AtCapacity
	}
	if !begin(head.ID) {
		<-s.requestSlots
		return IDInUse
	}
	return ""
}

// releaseRequest releases the slot and the ID that reserveRequest reserved.
func (s *Server) releaseRequest(head *exchange.Head) {
	s.IDs.end(head.ID)
	<-s.requestSlots
}
