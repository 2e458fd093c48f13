// Package exchange holds a request and the connection that it becomes. The client's side and the server's side meet
// here and nowhere else: the package settles who ends the request, why, and that this happens exactly once. It relays
// lines between the two connections, and closes them. Which server is tried, and what is answered where none accepts,
// is left to the caller.
//
// An exchange has two goroutines. That of the client, in RelayClient, reads from the client and writes to the server;
// it is the only reader of the client's connection. That of the attempt, in Accept or RelayServer, reads from the
// server and writes to the client. Other goroutines only change the state, and wake these two by deadlines.
package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// Observer is notified of the events of exchanges. Its methods are called from many goroutines.
type Observer interface {
	// ClientLeft is called when the client has disconnected before its final answer.
	ClientLeft(x *Exchange)
	// AttemptAccepted is called when a server has accepted the request. elapsed is the time since the start of the
	// attempt.
	AttemptAccepted(x *Exchange, a Attempt, elapsed time.Duration)
	// AttemptEnded is called when an attempt has ended, or the connection of an accepted attempt. report is nil for
	// none.
	AttemptEnded(x *Exchange, a Attempt, outcome balance.Outcome, elapsed time.Duration, report *balance.LoadReport)
	// ResponseTime is called with the time that a server took to respond to a message, and repeatedly with the age of a
	// message that is still without a response.
	ResponseTime(x *Exchange, server balance.ServerID, elapsed time.Duration)
}

// Reason tells why a connection ended; it is the code in its log line.
type Reason string

// Reasons that the exchange itself gives.
const (
	Rejected     Reason = "refused"       // answered BUSY
	Failed       Reason = "failed"        // answered ERR
	ClientLeft   Reason = "client_left"   // before its answer
	ClientEnded  Reason = "client_ended"  // closed by the client
	ClientReset  Reason = "client_reset"  // reset by the client
	ServerEnded  Reason = "server_ended"  // BYE by the server
	ServerMoved  Reason = "server_moved"  // MOVE by the server
	ServerReset  Reason = "server_broke"  // closed or reset by the server without a last word
	ServerSilent Reason = "server_silent" // no response for Limits.ResponseTimeout: the client was sent MOVE
	Moved        Reason = "moved"         // the client was sent MOVE by a decision of the caller
	WroteEarly   Reason = "wrote_ahead"   // the client sent more than maxEarlyBytes before its answer
	LineTooLong  Reason = "line_too_long" // a line on the open connection was over lines.MaxLength
	HandedOver   Reason = "handed_over"   // another process of this node continues the connection
)

// Limits holds the time limits of an exchange.
type Limits struct {
	ResponseTimeout    time.Duration // without a response to a message
	LateReportInterval time.Duration // between two reports of a message without a response
	CloseTimeout       time.Duration // for an ended connection to close, and for a line to a side that does not read
}

// ClassCounters count what became of the requests of one class.
type ClassCounters struct{ Served, Rejected, Failed atomic.Int64 }

const (
	maxEarlyBytes = 4 * lines.MaxLength // kept of what a client sends before its answer
	maxPending    = 64                  // messages without a response that are timed on one connection

	// MaxDrainBytes limits what is read from a client that has its answer. A close with unread bytes would reset the
	// connection before the client has read the answer.
	MaxDrainBytes = 64 << 10
)

// Exchange is one request. Its methods may be called from any goroutine. No lock is held over a read or a write.
type Exchange struct {
	ID       balance.RequestID
	Head     *Head
	Deadline time.Time // for the answer

	// The caller keeps these, on a goroutine of its own.
	AttemptCount     int       // started
	HasActiveAttempt bool      // one is out
	FirstRunAt       time.Time // start of the first attempt that may have run; the zero time for none

	client   *lines.Conn
	counters *ClassCounters
	observer Observer
	limits   Limits
	log      *zap.Logger
	begun    time.Time
	answered chan struct{} // closed when the client has an answer, and the server the client's early lines
	ended    chan struct{} // closed when both sides are done

	mu            sync.Mutex // guards what follows up to the counters
	state         state
	cancelAttempt func()      // of the attempt that is out
	early         []byte      // lines that the client sent before its answer
	server        *lines.Conn // nil until a server has accepted
	attempt       Attempt     // the last one
	attemptBegun  time.Time
	acceptedAt    time.Time
	lastWordAt    time.Time
	handOver      *handOver // while the sides are paused for it
	reason        Reason
	pending       []time.Time // when the messages without a response were sent, oldest first
	relayedAt     time.Time   // last line to the client: a slow client delays what is read from the server

	toServer  atomic.Int64 // lines
	toClient  atomic.Int64
	openSides atomic.Int32 // beside the client's goroutine
}

// New returns an exchange for a first line that has just been read, of a class with these counters.
func New(head *Head, client *lines.Conn, counters *ClassCounters, observer Observer, limits Limits,
	log *zap.Logger) *Exchange {
	now := time.Now()
	return &Exchange{Head: head, Deadline: now.Add(head.Timeout), client: client, counters: counters,
		observer: observer, limits: limits, log: log, begun: now, state: stateUnsent, answered: make(chan struct{}),
		ended: make(chan struct{})}
}

// settle ends an exchange whose client awaits its answer, once, and returns how to cancel the attempt that is out.
// Where an answer is to be written, the connection is kept open until endSide is called for it: the client's goroutine
// may end in this moment, as when the client ends its sending.
func (x *Exchange) settle(e event, reason Reason) (cancel func(), first bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.end(e, reason) {
		return nil, false
	}
	if e == eventAnswered {
		x.openSides.Add(1)
	}
	close(x.answered)
	return x.cancelAttempt, true
}

// Answer gives the final answer where it is not a server's, and returns false where another was given or the client has
// left. It does not wait for the client.
func (x *Exchange) Answer(reason Reason, line string) bool {
	cancel, first := x.settle(eventAnswered, reason)
	if !first {
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
	go func() { // a client that does not read must not hold up the caller
		x.client.WriteLine(line, x.limits.CloseTimeout)
		x.closeClientWrite()
		x.endSide()
	}()
	return true
}

// AwaitsAnswer reports whether the client still awaits its final answer.
func (x *Exchange) AwaitsAnswer() bool { return x.owes().answer }

// IsMovedByServer reports whether the server sent MOVE, and nothing else ended the connection first.
func (x *Exchange) IsMovedByServer() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reason == ServerMoved
}

// Server returns the server of an open connection.
func (x *Exchange) Server() balance.ServerID { return x.attempt.Server }

// Move ends an open connection with a MOVE to the client, between two lines; the client connects again. It returns
// false where the connection is not open, or is being handed over.
func (x *Exchange) Move() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.handOver != nil || !x.end(eventMoveRequested, Moved) {
		return false
	}
	now := time.Now()
	x.server.SetReadDeadline(now)                             // wakes the server's goroutine
	x.client.SetWriteDeadline(now.Add(x.limits.CloseTimeout)) // which may be writing to a slow client
	return true
}

// closeClientWrite ends what is sent to the client, and gives it time to close.
func (x *Exchange) closeClientWrite() {
	x.client.CloseWrite()
	x.client.SetReadDeadline(time.Now().Add(x.limits.CloseTimeout))
}

// endSide closes both connections and logs the end when the last side is done.
func (x *Exchange) endSide() {
	if x.openSides.Add(-1) >= 0 {
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
		zap.Int("attempt", x.attempt.Number), zap.Duration("age", time.Since(x.begun)),
		zap.Int64("to_server", x.toServer.Load()), zap.Int64("to_client", x.toClient.Load()))
}
