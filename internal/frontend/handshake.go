package frontend

import (
	"slices"
	"time"

	"brassmux/internal/lines"
)

// handshake is a connection without a request, and the deadline of its first line.
type handshake struct {
	conn     *lines.Conn
	deadline time.Time
}

// shortenedTimeout is the time that a handshake has left when others wait for its slot. A client sends its first line
// right after connecting.
const shortenedTimeout = 50 * time.Millisecond

// addHandshake adds a connection that has a handshake slot.
func (s *Server) addHandshake(c *lines.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := handshake{c, time.Now().Add(s.firstLineTimeout)}
	s.handshakes = append(s.handshakes, h)
	c.SetReadDeadline(h.deadline)
}

// shortenOldestHandshakes ends the older half of the handshakes soon.
func (s *Server) shortenOldestHandshakes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := (len(s.handshakes) + 1) / 2
	for _, h := range s.handshakes[:n] {
		h.conn.SetReadDeadline(time.Now().Add(shortenedTimeout))
	}
	s.handshakes = slices.Delete(s.handshakes, 0, n)
}

// LimitHandshakeTime sets an upper limit on the time that each handshake has left, and on that of future handshakes.
func (s *Server) LimitHandshakeTime(within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstLineTimeout = min(s.firstLineTimeout, within)
	deadline := time.Now().Add(within)
	for i := range s.handshakes {
		if h := &s.handshakes[i]; deadline.Before(h.deadline) {
			h.deadline = deadline
			h.conn.SetReadDeadline(deadline)
		}
	}
}

// extendHandshake sets the read deadline of a connection that is being rejected, unless others wait for its slot.
func (s *Server) extendHandshake(c *lines.Conn, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handshakeIndex(c) >= 0 {
		c.SetReadDeadline(time.Now().Add(within))
	}
}

// handshakeIndex returns the index of a connection's handshake, or -1 for one that was shortened. s.mu is held.
func (s *Server) handshakeIndex(c *lines.Conn) int {
	return slices.IndexFunc(s.handshakes, func(h handshake) bool { return h.conn == c })
}

// releaseHandshake gives the slot of a connection to the next.
func (s *Server) releaseHandshake(c *lines.Conn) {
	s.mu.Lock()
	if i := s.handshakeIndex(c); i >= 0 {
		s.handshakes = slices.Delete(s.handshakes, i, i+1)
	}
	s.mu.Unlock()
	<-s.handshakeSlots
}
