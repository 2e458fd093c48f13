package exchange

import (
	"net"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// OpenConnection is the state of an open connection, captured between two lines, that is handed over to another process
// of the node.
type OpenConnection struct {
	FirstLine          []byte           `json:"head"` // the client's first line
	Server             balance.ServerID `json:"server"`
	Addr               string           `json:"addr"`
	Age                time.Duration    `json:"age"`
	PendingAges        []time.Duration  `json:"out"`         // ages of the messages without a response, oldest first
	BufferedFromClient []byte           `json:"from_client"` // read but not relayed: less than a line
	BufferedFromServer []byte           `json:"from_server"` // read but not relayed: less than a line
}

// handover pauses both goroutines of an exchange between two lines until it is decided which process continues it.
type handover struct {
	paused      chan struct{} // receives an element from each paused goroutine
	decided     chan struct{} // closed after transferred is set
	transferred bool          // another process continues the connection
}

// HandOver pauses both goroutines between two lines and passes the connection to send, which reports whether another
// process continues it. HandOver returns false if the connection continues in this process, as it also does if the
// goroutines do not pause before the timeout, for example because a write waits for a slow reader. send is called
// without a lock.
func (x *Exchange) HandOver(timeout time.Duration,
	send func(conn *OpenConnection, client, server *net.TCPConn) bool) bool {
	x.mu.Lock()
	if x.state != stateOpen || x.handover != nil {
		x.mu.Unlock()
		return false
	}
	h := &handover{paused: make(chan struct{}, 2), decided: make(chan struct{})}
	x.handover = h
	past := time.Unix(1, 0)
	x.client.SetReadDeadline(past)
	x.server.SetReadDeadline(past)
	x.mu.Unlock()
	transferred := x.waitUntilPaused(h, timeout) && x.isOpen() && send(x.snapshot(), x.client.TCPConn, x.server.TCPConn)
	x.mu.Lock()
	defer x.mu.Unlock()
	h.transferred, x.handover = transferred, nil
	if transferred {
		x.end(eventEnded, HandedOver)
	} else if propertiesOf[x.state].timesResponses { // includes a server that has sent BYE or MOVE and must close
		x.client.SetReadDeadline(time.Time{})
		x.setServerDeadline()
	}
	close(h.decided)
	return transferred
}

// waitUntilPaused waits until both goroutines have paused. It returns false after the timeout, or if the exchange ends.
func (x *Exchange) waitUntilPaused(h *handover, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for range 2 {
		select {
		case <-h.paused:
		case <-x.ended:
			return false
		case <-timer.C:
			return false
		}
	}
	return true
}

// pauseForHandover is called by a goroutine whose read deadline has passed. If a handover is in progress it waits for
// the decision and returns paused true, because the handover may have set the deadline. transferred is true if another
// process continues the connection.
func (x *Exchange) pauseForHandover() (transferred, paused bool) {
	x.mu.Lock()
	h := x.handover
	x.mu.Unlock()
	if h == nil {
		return false, false
	}
	h.paused <- struct{}{}
	<-h.decided
	return h.transferred, true
}

// snapshot captures the state of the connection. Both goroutines must be paused, so that no other goroutine reads.
func (x *Exchange) snapshot() *OpenConnection {
	now := time.Now()
	conn := &OpenConnection{FirstLine: x.Head.line, Server: x.attempt.Server, Addr: x.attempt.Addr,
		Age: now.Sub(x.startedAt), BufferedFromClient: x.client.Buffered(), BufferedFromServer: x.server.Buffered()}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, sentAt := range x.pendingSentAt {
		conn.PendingAges = append(conn.PendingAges, now.Sub(sentAt))
	}
	return conn
}

// NewInherited returns the exchange of a connection that another process has handed over. The caller must run
// RelayClient and RelayServer, each on its own goroutine.
func NewInherited(conn *OpenConnection, head *Head, client, server *net.TCPConn, counters *ClassCounters,
	observer Observer, limits Limits, log *zap.Logger) *Exchange {
	x := New(head, lines.NewWithBuffered(client, conn.BufferedFromClient), counters, observer, limits, log)
	now := time.Now()
	x.startedAt, x.attemptStartedAt, x.acceptedAt = now.Add(-conn.Age), now.Add(-conn.Age), now
	x.state, x.server, x.AttemptCount = stateOpen, lines.NewWithBuffered(server, conn.BufferedFromServer), 1
	x.attempt = Attempt{Server: conn.Server, Addr: conn.Addr}
	for _, age := range conn.PendingAges[:min(len(conn.PendingAges), maxPendingMessages)] {
		x.pendingSentAt = append(x.pendingSentAt, now.Add(-age))
	}
	x.lastRelayedAt = now // the server could not be read from during the handover
	x.otherUsers.Add(1)
	close(x.answered)
	x.setServerDeadline()
	return x
}
