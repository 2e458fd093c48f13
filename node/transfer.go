package node

import (
	"net"
	"sync"
	"time"

	"brassmux/internal/exchange"
	"brassmux/internal/upgrade"
)

// maxConcurrentTransfers limits the connections that are paused for their transfer at the same time. Under load the
// pause takes most of the time of a transfer, and many connections can be paused in the time of one.
const maxConcurrentTransfers = 64

// successor is the next process of this node, from when it serves until its link ends.
type successor struct {
	link *upgrade.Link

	mu      sync.Mutex
	pending []chan bool // channels for the answers to sent connections, in the order of sending
	closed  bool        // no more connections are sent
}

// resolve delivers an answer for the oldest connection without one.
func (s *successor) resolve(accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		s.pending[0] <- accepted
		s.pending = s.pending[1:]
	}
}

// close resolves all pending connections as not accepted, so that this process keeps them.
func (s *successor) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, pending := range s.pending {
		pending <- false
	}
	s.pending = nil
}

// send sends a connection and returns the channel for its answer, or nil if the connection was not sent.
func (s *successor) send(connection *exchange.OpenConnection, client, server *net.TCPConn) <-chan bool {
	answer := make(chan bool, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	message := upgrade.Message{Kind: upgrade.KindConnection, Connection: connection}
	if s.link.Send(message, messageTimeout, client, server) != nil {
		s.closed = true // the other connections should not wait for the same timeout
		return nil
	}
	s.pending = append(s.pending, answer)
	return answer
}

// transfer hands over one connection, and reports whether this process must give it up.
func (s *successor) transfer(connection *exchange.OpenConnection, client, server *net.TCPConn) bool {
	answer := s.send(connection, client, server)
	if answer == nil {
		return false
	}
	select {
	case accepted := <-answer:
		return accepted
	case <-time.After(2 * messageTimeout):
		s.mu.Lock()
		s.closed = true // send no more connections to a successor that does not respond
		s.mu.Unlock()
		return true // the successor may have accepted, and two processes must never read from one connection
	}
}

// transferConnections hands over established connections until a deadline.
func (n *Node) transferConnections(s *successor, deadline time.Time) {
	var transfers sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentTransfers)
	for _, request := range n.loop.allRequests() {
		slots <- struct{}{}
		transfers.Go(func() {
			defer func() { <-slots }()
			if time.Now().Before(deadline) && request.HandOver(pauseTimeout, s.transfer) {
				n.handover.counters.handedOver.Add(1)
			}
		})
	}
	transfers.Wait()
}
