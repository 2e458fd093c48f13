package exchange

import (
	"bytes"
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// Attempt is one attempt to have a server accept the request.
type Attempt struct {
	Number                int // from 0
	Server                balance.ServerID
	Addr                  string    // of the server
	ServerStartedAtMillis int64     // start time of the server from the list of servers
	SendDeadline          time.Time // after it the first line must not be sent; the zero time for no limit
}

// LimitSendDeadline sets SendDeadline, unless it is earlier already.
func (a *Attempt) LimitSendDeadline(deadline time.Time) {
	if a.SendDeadline.IsZero() || deadline.Before(a.SendDeadline) {
		a.SendDeadline = deadline
	}
}

// StartAttempt registers a new attempt, which must end with EndAttempt or Accept. It returns false if the client no
// longer awaits an answer. cancel is called to cancel the attempt.
func (x *Exchange) StartAttempt(attempt Attempt, cancel func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.apply(eventAttemptStarted) {
		return false
	}
	x.attempt, x.cancelAttempt, x.attemptStartedAt = attempt, cancel, time.Now()
	x.otherUsers.Add(1)
	return true
}

// EndAttempt must be called when an attempt that the server did not accept has ended and its connection is closed.
// Until then the request keeps its slot.
func (x *Exchange) EndAttempt() { x.release() }

// StartSending must be called before the active attempt sends its first line, after which the server may run the
// request. It returns false if nothing may be sent: the client has disconnected, the attempt was cancelled, or its
// SendDeadline has passed. The decision is made under x.mu: the exchange ends either before it, and nothing is sent, or
// after it, and the server may have run the request. The client's TCP connection is checked first, because the client's
// goroutine may not have read its end yet.
func (x *Exchange) StartSending() bool {
	if x.client.IsPeerClosed() {
		x.handleClientLeft()
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if deadline := x.attempt.SendDeadline; !deadline.IsZero() && time.Now().After(deadline) {
		return false
	}
	return x.apply(eventSendingStarted)
}

// CancelUnsent cancels the active attempt if it has not sent anything and isStale returns true for it. The observer is
// notified of its end as of any other.
func (x *Exchange) CancelUnsent(isStale func(Attempt) bool) {
	x.mu.Lock()
	cancelled := x.state == stateConnecting && isStale(x.attempt) && x.apply(eventAttemptCancelled)
	cancel := x.cancelAttempt
	x.mu.Unlock()
	if cancelled {
		cancel()
	}
}

// Accept sends the client the line by which the server accepted the request, and then relays the server's lines until
// the server's connection ends. It is called on the attempt's goroutine. It returns false if the client no longer
// awaits an answer; the caller then keeps ownership of the server's connection. parseReport returns the load report of
// the server's BYE line, or nil for none.
func (x *Exchange) Accept(server *lines.Conn, line []byte, parseReport func([]byte) *balance.LoadReport) bool {
	x.mu.Lock()
	if !x.apply(eventAccepted) {
		x.mu.Unlock()
		return false
	}
	x.server, x.acceptedAt, x.cancelAttempt = server, time.Now(), nil
	server.SetDeadline(time.Time{})
	x.counters.Served.Add(1)
	x.client.SetWriteDeadline(x.acceptedAt.Add(x.limits.CloseTimeout))
	x.mu.Unlock()
	_, err := x.client.Write(line) // must precede all other lines of this server
	x.mu.Lock()
	if !propertiesOf[x.state].moveRequested { // otherwise Move has set the deadline
		x.client.SetWriteDeadline(time.Time{})
	}
	x.mu.Unlock()
	x.observer.AttemptAccepted(x, x.attempt, x.acceptedAt.Sub(x.attemptStartedAt))
	x.sendEarlyLines(server)
	close(x.answered)
	if err == nil {
		x.linesToClient.Add(1)
	} else { // part of the line may have been sent: no other line can follow
		x.client.Reset()
	}
	x.RelayServer(parseReport)
	return true
}

// sendEarlyLines sends the server the lines that the client sent before its answer. Lines that the client sends later
// follow once x.answered is closed.
func (x *Exchange) sendEarlyLines(server *lines.Conn) {
	x.mu.Lock()
	earlyLines := x.earlyLines
	x.earlyLines = nil
	if len(earlyLines) == 0 {
		x.mu.Unlock()
		return
	}
	lineCount := bytes.Count(earlyLines, []byte("\n"))
	x.pendingSentAt = slices.Repeat([]time.Time{time.Now()}, min(lineCount, maxPendingMessages))
	if !propertiesOf[x.state].moveRequested && x.handover == nil {
		x.setServerDeadline()
	}
	x.mu.Unlock()
	// Limited because this goroutine also relays the server's lines: a server that does not read would delay them.
	server.SetWriteDeadline(time.Now().Add(x.limits.CloseTimeout))
	defer server.SetWriteDeadline(time.Time{})
	if _, err := server.Write(earlyLines); err != nil {
		server.Reset() // part of a line may have been sent
		return
	}
	x.linesToServer.Add(int64(lineCount))
}
