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
	ServerStartedAtMillis int64     // as the list of servers gave it
	SendDeadline          time.Time // the first line is sent by then or not at all; the zero time for no limit
}

// LimitSendDeadline sets SendDeadline, unless it is earlier already.
func (a *Attempt) LimitSendDeadline(by time.Time) {
	if a.SendDeadline.IsZero() || by.Before(a.SendDeadline) {
		a.SendDeadline = by
	}
}

// StartAttempt notes that an attempt starts, which is to call EndAttempt or Accept. It returns false where the client
// does not await an answer any more.
func (x *Exchange) StartAttempt(a Attempt, cancel func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.apply(eventAttemptStarted) {
		return false
	}
	x.attempt, x.cancelAttempt, x.attemptBegun = a, cancel, time.Now()
	x.openSides.Add(1)
	return true
}

// EndAttempt notes that an attempt has ended that the server did not accept, and that its connection is closed. Until
// then the request keeps its slot.
func (x *Exchange) EndAttempt() { x.endSide() }

// StartSending notes that the attempt that is out sends its first line now: from here on it may run. It returns false
// where it must send nothing, as the client has left, or the attempt was cancelled or is late. This is decided under
// x.mu, so that no end of the exchange falls between the decision and the line. The kernel is asked first whether the
// client has left: the client's goroutine may not have read its end yet.
func (x *Exchange) StartSending() bool {
	if x.client.IsPeerClosed() {
		x.leave()
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if by := x.attempt.SendDeadline; !by.IsZero() && time.Now().After(by) {
		return false
	}
	return x.apply(eventSendingStarted)
}

// CancelUnsent cancels the attempt that is out, if it has sent nothing yet and isStale returns true for it. Its end is
// reported like any other.
func (x *Exchange) CancelUnsent(isStale func(Attempt) bool) {
	x.mu.Lock()
	cancelled := x.state == stateConnecting && isStale(x.attempt) && x.apply(eventAttemptCancelled)
	cancel := x.cancelAttempt
	x.mu.Unlock()
	if cancelled {
		cancel()
	}
}

// Accept gives the client the line by which the server has accepted the request, and relays what the server sends until
// it ends. The attempt's goroutine calls it. It returns false where the client does not await an answer any more; the
// connection stays the caller's then. parse reads the load report of the server's last line.
func (x *Exchange) Accept(server *lines.Conn, line []byte, parse func([]byte) *balance.LoadReport) bool {
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
	_, err := x.client.Write(line) // before anything else that this server sends
	x.mu.Lock()
	if !owed[x.state].move { // else the deadline is Move's
		x.client.SetWriteDeadline(time.Time{})
	}
	x.mu.Unlock()
	x.observer.AttemptAccepted(x, x.attempt, x.acceptedAt.Sub(x.attemptBegun))
	x.sendEarlyLines(server)
	close(x.answered)
	if err == nil {
		x.toClient.Add(1)
	} else { // part of the line may have been sent: nothing more can follow it
		x.client.Reset()
	}
	x.RelayServer(parse)
	return true
}

// sendEarlyLines sends what the client sent before its answer to the server, before anything that it sends later.
func (x *Exchange) sendEarlyLines(server *lines.Conn) {
	x.mu.Lock()
	early := x.early
	x.early = nil
	if len(early) == 0 {
		x.mu.Unlock()
		return
	}
	count := bytes.Count(early, []byte("\n"))
	x.pending = slices.Repeat([]time.Time{time.Now()}, min(count, maxPending))
	if !owed[x.state].move && x.handOver == nil {
		x.setServerDeadline()
	}
	x.mu.Unlock()
	// A server that does not read must not delay what it sends.
	server.SetWriteDeadline(time.Now().Add(x.limits.CloseTimeout))
	defer server.SetWriteDeadline(time.Time{})
	if _, err := server.Write(early); err != nil {
		server.Reset() // part of a line may have been sent
		return
	}
	x.toServer.Add(int64(count))
}
