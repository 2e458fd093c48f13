package exchange

import (
	"errors"
	"io"
	"os"
	"time"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// serverResult is the result of the server's connection, as determined by its BYE or MOVE.
type serverResult struct {
	outcome balance.Outcome
	reason  Reason
	report  *balance.LoadReport // nil for none
}

// RelayServer relays the lines that the server of an open connection sends, until the connection ends. parseReport
// returns the load report of the server's BYE line, or nil for none.
func (x *Exchange) RelayServer(parseReport func([]byte) *balance.LoadReport) {
	outcome, report := x.relayServerLines(parseReport)
	x.mu.Lock()
	x.apply(eventRelayEnded)
	x.mu.Unlock()
	x.observer.AttemptEnded(x, x.attempt, outcome, time.Since(x.attemptStartedAt), report)
	x.release()
}

// relayServerLines reads from the server until the exchange ends or another process continues it.
func (x *Exchange) relayServerLines(parseReport func([]byte) *balance.LoadReport) (
	balance.Outcome, *balance.LoadReport) {
	result := serverResult{outcome: balance.Reset, reason: ServerReset} // without BYE or MOVE
	flow := x.limits.Pacer.NewFlow()
	for {
		flow.Await()
		line, err := x.server.ReadLine()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if done, outcome, report := x.handleServerTimeout(result); done {
				return outcome, report
			}
			continue
		} else if err != nil {
			return x.handleServerEnd(err, result), result.report
		}
		switch string(lines.FirstWord(line)) {
		case "BYE":
			result = serverResult{balance.OK, ServerEnded, parseReport(line)}
			x.recordFinalLine()
		case "MOVE":
			result.outcome, result.reason = balance.Cancelled, ServerMoved
			x.recordFinalLine()
		case "LOAD": // not a response to a message
		default:
			x.recordResponse(time.Now())
		}
		if !x.sendToClient(line) {
			return balance.Cancelled, nil
		}
	}
}

// sendToClient sends a server line to the client. If that fails it resets the server's connection and returns false.
func (x *Exchange) sendToClient(line []byte) bool {
	if _, err := x.client.Write(line); err != nil {
		x.mu.Lock()
		isMoving := propertiesOf[x.state].moveRequested
		x.end(eventEnded, ClientReset)
		x.mu.Unlock()
		if isMoving {
			x.client.Close()
		}
		x.server.Reset()
		return false
	}
	x.linesToClient.Add(1)
	x.mu.Lock()
	x.lastRelayedAt = time.Now()
	x.mu.Unlock()
	return true
}

// recordFinalLine is called when the server has sent BYE or MOVE. The node sends the client no MOVE after it, and the
// server must close within Limits.CloseTimeout.
func (x *Exchange) recordFinalLine() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.apply(eventFinalLine)
	x.finalLineAt = time.Now()
	if x.handover == nil {
		x.setServerDeadline()
	}
}

// recordResponse is called when the server has responded to the oldest pending message.
func (x *Exchange) recordResponse(receivedAt time.Time) {
	x.mu.Lock()
	if len(x.pendingSentAt) == 0 {
		x.mu.Unlock()
		return
	}
	sentAt := x.pendingSentAt[0]
	x.pendingSentAt = x.pendingSentAt[:copy(x.pendingSentAt, x.pendingSentAt[1:])]
	if x.handover == nil && propertiesOf[x.state].timesResponses {
		x.setServerDeadline()
	}
	x.mu.Unlock()
	x.observer.ResponseTime(x, x.attempt.Server, receivedAt.Sub(sentAt))
}

// setServerDeadline sets the read deadline of the server's connection to the time at which the oldest pending message
// is late, or the server's close is overdue. x.mu must be held.
func (x *Exchange) setServerDeadline() {
	var deadline time.Time
	if propertiesOf[x.state].awaitsServerClose {
		deadline = x.finalLineAt.Add(x.limits.CloseTimeout)
	} else if len(x.pendingSentAt) > 0 {
		deadline = x.pendingSentAt[0].Add(x.limits.LateReportInterval)
	}
	x.server.SetReadDeadline(deadline)
}

// handleServerTimeout is called when the read deadline of the server's connection has passed. done is true if the
// server's lines are no longer to be relayed.
func (x *Exchange) handleServerTimeout(result serverResult) (
	done bool, outcome balance.Outcome, report *balance.LoadReport) {
	transferred, paused := x.pauseForHandover()
	switch {
	case transferred:
		return true, balance.Cancelled, nil
	case paused:
		return false, balance.Cancelled, nil
	case x.properties().awaitsServerClose: // the server has not closed after BYE or MOVE
		return true, x.handleServerEnd(io.EOF, result), result.report
	}
	done, outcome = x.handleRelayTimeout()
	return done, outcome, nil
}

// handleRelayTimeout handles a timeout that was caused neither by a handover nor by an overdue close after BYE or MOVE:
// the client is to be moved, a message has been pending for a long time, or the server has not closed after the client.
func (x *Exchange) handleRelayTimeout() (done bool, outcome balance.Outcome) {
	x.mu.Lock()
	if x.handover != nil { // a handover has just begun and relies on the expired deadline
		x.mu.Unlock()
		return false, balance.Cancelled
	}
	var age time.Duration
	if len(x.pendingSentAt) > 0 {
		age = min(time.Since(x.pendingSentAt[0]), time.Since(x.lastRelayedAt))
	}
	switch {
	case age >= x.limits.ResponseTimeout && x.end(eventServerSilent, ServerSilent):
		x.mu.Unlock()
		x.sendMoveAndClose()
		return true, balance.TimedOut
	case x.apply(eventMoveSent): // no client line is sent to the server after this
		x.mu.Unlock()
		x.sendMoveAndClose()
		return true, balance.Cancelled
	case !propertiesOf[x.state].timesResponses: // the client has ended, and the server has not closed in time
		x.mu.Unlock()
		x.server.Reset()
		return true, balance.Cancelled
	}
	if len(x.pendingSentAt) == 0 { // the deadline was left by a failed handover
		x.setServerDeadline()
	} else {
		x.server.SetReadDeadline(time.Now().Add(min(x.limits.LateReportInterval, x.limits.ResponseTimeout-age)))
	}
	x.mu.Unlock()
	if age > 0 {
		x.observer.ResponseTime(x, x.attempt.Server, age)
	}
	return false, balance.Cancelled
}

// sendMoveAndClose sends MOVE to the client, and closes the sending side of its connection and the server's connection.
func (x *Exchange) sendMoveAndClose() {
	x.client.WriteLine("MOVE", x.limits.CloseTimeout)
	x.closeClientWrite()
	x.server.Close()
}

// handleServerEnd ends the client's connection in the same way as the server's has ended: with a close after EOF, BYE
// or MOVE, and otherwise with a reset. It returns the outcome of the attempt.
func (x *Exchange) handleServerEnd(err error, result serverResult) balance.Outcome {
	outcome, reason := result.outcome, result.reason
	x.mu.Lock()
	if x.reason == ClientEnded && outcome != balance.OK || x.reason == ClientReset || x.reason == LineTooLong {
		outcome = balance.Cancelled // not caused by the server
	}
	if errors.Is(err, lines.ErrTooLong) {
		reason = LineTooLong
	}
	x.end(eventEnded, reason)
	// A server that closes with unread bytes resets its connection. After BYE or MOVE the client must not be reset, as
	// it would lose that line.
	hasFinalLine := propertiesOf[x.state].awaitsServerClose
	x.mu.Unlock()
	if err == io.EOF || hasFinalLine {
		if partialLine := x.server.TakeBuffered(); len(partialLine) > 0 {
			x.client.Write(partialLine)
		}
		x.closeClientWrite()
		x.server.Close()
	} else {
		x.client.Reset()
		x.server.Reset()
	}
	return outcome
}
