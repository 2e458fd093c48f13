// Package exchange implements the life cycle of a request and of the connection that it becomes once a server accepts
// it. It relays lines between the client's connection and the server's, closes both, and ensures that an exchange ends
// exactly once and for one reason. The caller chooses the servers to try and the answer if none accepts.
//
// An exchange has two goroutines. The client's goroutine runs RelayClient: it reads from the client, whose connection
// has no other reader, and writes to the server. The attempt's goroutine runs Accept or RelayServer: it reads from the
// server and writes to the client. Other goroutines only change the state, and wake these two by setting deadlines.
package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// Observer is notified of the events of exchanges. Its methods may be called concurrently.
type Observer interface {
	// ClientLeft is called when the client has disconnected before its final answer.
	ClientLeft(x *Exchange)
	// AttemptAccepted is called when a server has accepted the request. elapsed is the time since the start of the
	// attempt.
	AttemptAccepted(x *Exchange, attempt Attempt, elapsed time.Duration)
	// AttemptEnded is called when an attempt has ended, or the connection of an accepted attempt. report is nil for
	// none.
	AttemptEnded(x *Exchange, attempt Attempt, outcome balance.Outcome, elapsed time.Duration,
		report *balance.LoadReport)
	// ResponseTime is called with the time that a server took to respond to a message, and repeatedly with the age of a
	// message that is still without a response.
	ResponseTime(x *Exchange, server balance.ServerID, elapsed time.Duration)
}

// Reason is why a connection ended. It is the code in the connection's log line.
type Reason string

// Reasons for the end of an exchange.
const (
	Rejected     Reason = "refused"       // answered with BUSY
	Failed       Reason = "failed"        // answered with ERR
	ClientLeft   Reason = "client_left"   // disconnected by the client before its answer
	ClientEnded  Reason = "client_ended"  // closed by the client
	ClientReset  Reason = "client_reset"  // reset by the client
	ServerEnded  Reason = "server_ended"  // ended by the server with BYE
	ServerMoved  Reason = "server_moved"  // ended by the server with MOVE
	ServerReset  Reason = "server_broke"  // closed or reset by the server without BYE or MOVE
	ServerSilent Reason = "server_silent" // no response within Limits.ResponseTimeout: the client was sent MOVE
	Moved        Reason = "moved"         // the caller called Move: the client was sent MOVE
	WroteEarly   Reason = "wrote_ahead"   // the client sent more than maxEarlyBytes before its answer
	LineTooLong  Reason = "line_too_long" // a line on the open connection exceeded lines.MaxLength
	HandedOver   Reason = "handed_over"   // another process of this node continues the connection
)

// Limits holds the limits of an exchange.
type Limits struct {
	Pacer              *lines.Pacer  // of the lines in both directions; nil for no limit
	ResponseTimeout    time.Duration // for a response to a message
	LateReportInterval time.Duration // between two reports of a message without a response
	CloseTimeout       time.Duration // for an ended connection to close, and for a write to a peer that does not read
}

// ClassCounters counts the results of the requests of one class.
type ClassCounters struct{ Served, Rejected, Failed atomic.Int64 }

const (
	maxEarlyBytes      = 4 * lines.MaxLength // buffered from a client before its answer
	maxPendingMessages = 64                  // messages without a response whose age is tracked on one connection

	// MaxDrainBytes limits the bytes that are read and discarded from a client after its final answer. Closing with
	// unread bytes would reset the connection before the client has read the answer.
	MaxDrainBytes = 64 << 10
)

// Exchange is one request and its connection. Its methods may be called from any goroutine. No lock is held during I/O.
type Exchange struct {
	ID       balance.RequestID
	Head     *Head
	Deadline time.Time // for the answer

	// The caller maintains these fields and must synchronize access to them.
	AttemptCount     int       // attempts started
	HasActiveAttempt bool      // an attempt has started and has not ended
	FirstRunAt       time.Time // start of the first attempt that may have run; the zero time for none

	client    *lines.Conn
	counters  *ClassCounters
	observer  Observer
	limits    Limits
	log       *zap.Logger
	startedAt time.Time
	answered  chan struct{} // closed when the client has its answer and the server has the client's early lines
	ended     chan struct{} // closed when both connections are closed

	mu               sync.Mutex // guards the fields from state to lastRelayedAt
	state            state
	cancelAttempt    func()      // cancels the active attempt; nil for none
	earlyLines       []byte      // lines that the client sent before its answer
	server           *lines.Conn // nil until a server has accepted
	attempt          Attempt     // the latest attempt
	attemptStartedAt time.Time
	acceptedAt       time.Time
	finalLineAt      time.Time // when the server's BYE or MOVE was received
	handover         *handover // nil unless a handover is in progress
	reason           Reason
	pendingSentAt    []time.Time // when the messages without a response were sent, oldest first
	lastRelayedAt    time.Time   // last line sent to the client: a slow client delays reads from the server

	linesToServer atomic.Int64
	linesToClient atomic.Int64
	otherUsers    atomic.Int32 // users of the connections in addition to the client's goroutine
}

// New returns an exchange for a request whose first line has just been read. counters are those of its class.
func New(head *Head, client *lines.Conn, counters *ClassCounters, observer Observer, limits Limits,
	log *zap.Logger) *Exchange {
	now := time.Now()
	return &Exchange{Head: head, Deadline: now.Add(head.Timeout), client: client, counters: counters,
		observer: observer, limits: limits, log: log, startedAt: now, state: stateAwaitingAttempt,
		answered: make(chan struct{}), ended: make(chan struct{})}
}

// endUnanswered ends an exchange whose client awaits its answer, and returns the function that cancels the active
// attempt, nil for none. ended is false if the client no longer awaits an answer. After eventAnswered the caller must
// write the answer and then call release. Until then the connection stays open even if the client's goroutine returns,
// as it does when the client closes its sending side.
func (x *Exchange) endUnanswered(e event, reason Reason) (cancel func(), ended bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.end(e, reason) {
		return nil, false
	}
	if e == eventAnswered {
		x.otherUsers.Add(1)
	}
	close(x.answered)
	return x.cancelAttempt, true
}

// Answer sends a final answer from the node rather than from a server. It returns false if the client already has a
// final answer or has disconnected. It does not wait for the write to complete.
func (x *Exchange) Answer(reason Reason, line string) bool {
	cancel, ended := x.endUnanswered(eventAnswered, reason)
	if !ended {
		return false
	}
	if reason == Rejected {
		x.counters.Rejected.Add(1)
	} else {
		x.counters.Failed.Add(1)
	}
	if cancel != nil {
		cancel()
	}
	go func() { // a client that does not read must not block the caller
		x.client.WriteLine(line, x.limits.CloseTimeout)
		x.closeClientWrite()
		x.release()
	}()
	return true
}

// AwaitsAnswer reports whether the client awaits its final answer.
func (x *Exchange) AwaitsAnswer() bool { return x.properties().awaitsAnswer }

// IsMovedByServer reports whether the connection ended because the server sent MOVE.
func (x *Exchange) IsMovedByServer() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reason == ServerMoved
}

// Server returns the server that accepted the request. The connection must be open.
func (x *Exchange) Server() balance.ServerID { return x.attempt.Server }

// Move ends an open connection by sending MOVE to the client between two lines, whereupon the client reconnects. It
// returns false if the connection is not open or is being handed over.
func (x *Exchange) Move() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.handover != nil || !x.end(eventMoveRequested, Moved) {
		return false
	}
	now := time.Now()
	x.server.SetReadDeadline(now)                             // wakes the attempt's goroutine
	x.client.SetWriteDeadline(now.Add(x.limits.CloseTimeout)) // that goroutine may be writing to a slow client
	return true
}

// closeClientWrite closes the sending side of the client's connection, and limits the time for the client to close it.
func (x *Exchange) closeClientWrite() {
	x.client.CloseWrite()
	x.client.SetReadDeadline(time.Now().Add(x.limits.CloseTimeout))
}

// release is called by each user of the connections when it is done. The last call closes both connections and logs the
// end of the exchange.
func (x *Exchange) release() {
	if x.otherUsers.Add(-1) >= 0 {
		return
	}
	x.client.Close()
	defer close(x.ended)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.server != nil {
		x.server.Close()
	}
	x.log.Info("connection ended", zap.String("code", string(x.reason)), zap.ByteString("id", x.Head.ID),
		zap.ByteString("class", x.Head.Class), zap.String("server", x.attempt.Addr),
		zap.Int("attempt", x.attempt.Number), zap.Duration("age", time.Since(x.startedAt)),
		zap.Int64("to_server", x.linesToServer.Load()), zap.Int64("to_client", x.linesToClient.Load()))
}
