package exchange

import (
	"net"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// OpenConnection describes a connection between two lines to another process of the node.
type OpenConnection struct {
	FirstLine          []byte           `json:"head"` // the client's first line
	Server             balance.ServerID `json:"server"`
	Addr               string           `json:"addr"`
	Age                time.Duration    `json:"age"`
	PendingAges        []time.Duration  `json:"out"`         // ages of the messages without a response, oldest first
	BufferedFromClient []byte           `json:"from_client"` // read and not sent on: less than a line
	BufferedFromServer []byte           `json:"from_server"`
}

// handOver pauses both goroutines of an exchange between two lines until it is known who continues it.
type handOver struct {
	paused  chan struct{} // receives one of each goroutine
	settled chan struct{} // closed when taken is set
	taken   bool
}

// HandOver pauses both goroutines between two lines and passes the connection to send, which returns whether another
// process has taken it. It returns false where the connection continues here; so does one whose goroutines do not pause
// within the time, as when a write waits for a slow reader. send is called without a lock.
func (x *Exchange) HandOver(within time.Duration, send func(s *OpenConnection, client, server *net.TCPConn) bool) bool {
	x.mu.Lock()
	if x.state != stateOpen || x.handOver != nil {
		x.mu.Unlock()
		return false
	}
	h := &handOver{paused: make(chan struct{}, 2), settled: make(chan struct{})}
	x.handOver = h
	past := time.Unix(1, 0)
	x.client.SetReadDeadline(past)
	x.server.SetReadDeadline(past)
	x.mu.Unlock()
	taken := x.waitPaused(h, within) && x.isOpen() && send(x.describe(), x.client.TCPConn, x.server.TCPConn)
	x.mu.Lock()
	defer x.mu.Unlock()
	h.taken, x.handOver = taken, nil
	if taken {
		x.end(eventEnded, HandedOver)
	} else if owed[x.state].timing { // also after a last word, whose close is awaited
		x.client.SetReadDeadline(time.Time{})
		x.setServerDeadline()
	}
	close(h.settled)
	return taken
}

// waitPaused waits until both goroutines have paused; false where they do not within the time, or the exchange ends.
func (x *Exchange) waitPaused(h *handOver, within time.Duration) bool {
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	for range 2 {
		select {
		case <-h.paused:
		case <-x.ended:
			return false
		case <-timeout.C:
			return false
		}
	}
	return true
}

// pauseForHandOver is called by a goroutine whose read deadline has passed. While the exchange is being handed over it
// waits, and paused is true: the deadline was not the connection's own. taken means that another process has the
// connection.
func (x *Exchange) pauseForHandOver() (taken, paused bool) {
	x.mu.Lock()
	h := x.handOver
	x.mu.Unlock()
	if h == nil {
		return false, false
	}
	h.paused <- struct{}{}
	<-h.settled
	return h.taken, true
}

// describe describes the exchange while both goroutines are paused, so that nobody else reads.
func (x *Exchange) describe() *OpenConnection {
	now := time.Now()
	s := &OpenConnection{FirstLine: x.Head.line, Server: x.attempt.Server, Addr: x.attempt.Addr, Age: now.Sub(x.begun),
		BufferedFromClient: x.client.Buffered(), BufferedFromServer: x.server.Buffered()}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, sent := range x.pending {
		s.PendingAges = append(s.PendingAges, now.Sub(sent))
	}
	return s
}

// NewInherited returns the exchange of a connection that another process has handed over. The caller runs RelayClient
// and RelayServer.
func NewInherited(s *OpenConnection, head *Head, client, server *net.TCPConn, counters *ClassCounters,
	observer Observer, limits Limits, log *zap.Logger) *Exchange {
	x := New(head, lines.NewWithBuffered(client, s.BufferedFromClient), counters, observer, limits, log)
	now := time.Now()
	x.begun, x.attemptBegun, x.acceptedAt = now.Add(-s.Age), now.Add(-s.Age), now
	x.state, x.server, x.AttemptCount = stateOpen, lines.NewWithBuffered(server, s.BufferedFromServer), 1
	x.attempt = Attempt{Server: s.Server, Addr: s.Addr}
	for _, age := range s.PendingAges[:min(len(s.PendingAges), maxPending)] {
		x.pending = append(x.pending, now.Add(-age))
	}
	x.relayedAt = now // nothing was read during the hand-over
	x.openSides.Add(1)
	close(x.answered)
	x.setServerDeadline()
	return x
}
