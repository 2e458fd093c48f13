package frontend

import (
	"slices"
	"time"

	"brassmux/internal/lines"
)

// handshake is a connection without a request yet, and the deadline for its first line.
type handshake struct {
	conn     *lines.Conn
	deadline time.Time
}

// shortenedTimeout is the time left to a handshake when new connections wait for its slot. It is short because a client
// normally sends its first line immediately after connecting.
const shortenedTimeout = 50 * time.Millisecond

// addHandshake adds a connection that has a handshake slot, and sets its read deadline.
func (s *Server) addHandshake(conn *lines.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := handshake{conn, time.Now().Add(s.firstLineTimeout)}
	s.handshakes = append(s.handshakes, added)
	conn.SetReadDeadline(added.deadline)
}

// shortenOldestHandshakes limits the time of the older half of the handshakes to shortenedTimeout.
func (s *Server) shortenOldestHandshakes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := (len(s.handshakes) + 1) / 2
	for _, h := range s.handshakes[:count] {
		h.conn.SetReadDeadline(time.Now().Add(shortenedTimeout))
	}
	s.handshakes = slices.Delete(s.handshakes, 0, count)
}

// LimitHandshakeTime limits the remaining time of each handshake, and the time of each future one.
func (s *Server) LimitHandshakeTime(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstLineTimeout = min(s.firstLineTimeout, timeout)
	deadline := time.Now().Add(timeout)
	for i := range s.handshakes {
		if h := &s.handshakes[i]; deadline.Before(h.deadline) {
			h.deadline = deadline
			h.conn.SetReadDeadline(deadline)
		}
	}
}

// setHandshakeTimeout sets the read deadline of a connection that is being rejected, unless its handshake was shortened
// because new connections wait for its slot.
func (s *Server) setHandshakeTimeout(conn *lines.Conn, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handshakeIndex(conn) >= 0 {
		conn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// handshakeIndex returns the index of a connection's handshake, or -1 if it was shortened. s.mu must be held.
func (s *Server) handshakeIndex(conn *lines.Conn) int {
	return slices.IndexFunc(s.handshakes, func(h handshake) bool { return h.conn == conn })
}

// releaseHandshake releases the handshake slot of a connection.
func (s *Server) releaseHandshake(conn *lines.Conn) {
	s.mu.Lock()
	if i := s.handshakeIndex(conn); i >= 0 {
		s.handshakes = slices.Delete(s.handshakes, i, i+1)
	}
	s.mu.Unlock()
	<-s.handshakeSlots
}
