package exchange

import (
	"errors"
	"io"
	"os"
	"time"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// serverEnd is how the server's side ends when its connection closes, by its last word.
type serverEnd struct {
	outcome balance.Outcome
	reason  Reason
	report  *balance.LoadReport // nil for none
}

// RelayServer relays what the server of an open connection sends, until it ends. parse reads the load report of the
// server's last line.
func (x *Exchange) RelayServer(parse func([]byte) *balance.LoadReport) {
	outcome, report := x.readServer(parse)
	x.mu.Lock()
	x.apply(eventRelayEnded)
	x.mu.Unlock()
	x.observer.AttemptEnded(x, x.attempt, outcome, time.Since(x.attemptBegun), report)
	x.endSide()
}

func (x *Exchange) readServer(parse func([]byte) *balance.LoadReport) (balance.Outcome, *balance.LoadReport) {
	end := serverEnd{outcome: balance.Reset, reason: ServerReset} // unless a last word comes
	for {
		line, err := x.server.ReadLine()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if done, outcome, report := x.handleServerTimeout(end); done {
				return outcome, report
			}
			continue
		} else if err != nil {
			return x.endServer(err, end), end.report
		}
		switch string(lines.FirstWord(line)) {
		case "BYE":
			end = serverEnd{balance.OK, ServerEnded, parse(line)}
			x.noteLastWord()
		case "MOVE":
			end.outcome, end.reason = balance.Cancelled, ServerMoved
			x.noteLastWord()
		case "LOAD": // no response to a message
		default:
			x.noteResponse(time.Now())
		}
		if !x.sendToClient(line) {
			return balance.Cancelled, nil
		}
	}
}

// sendToClient sends a line of the server's to the client. Where that fails it ends the server's side.
func (x *Exchange) sendToClient(line []byte) bool {
	if _, err := x.client.Write(line); err != nil {
		x.mu.Lock()
		isMoving := owed[x.state].move
		x.end(eventEnded, ClientReset)
		x.mu.Unlock()
		if isMoving {
			x.client.Close()
		}
		x.server.Reset()
		return false
	}
	x.toClient.Add(1)
	x.mu.Lock()
	x.relayedAt = time.Now()
	x.mu.Unlock()
	return true
}

// noteLastWord notes the server's last word: no line of the node's own follows it, so that a MOVE comes too late. The
// server is to close soon.
func (x *Exchange) noteLastWord() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.apply(eventLastWord)
	x.lastWordAt = time.Now()
	if x.handOver == nil {
		x.setServerDeadline()
	}
}

// noteResponse notes that the oldest pending message has its response.
func (x *Exchange) noteResponse(now time.Time) {
	x.mu.Lock()
	if len(x.pending) == 0 {
		x.mu.Unlock()
		return
	}
	sent := x.pending[0]
	x.pending = x.pending[:copy(x.pending, x.pending[1:])]
	if x.handOver == nil && owed[x.state].timing {
		x.setServerDeadline()
	}
	x.mu.Unlock()
	x.observer.ResponseTime(x, x.attempt.Server, now.Sub(sent))
}

// setServerDeadline sets until when the server is read from before a pending message is reported as late, or its close
// is overdue. x.mu is held.
func (x *Exchange) setServerDeadline() {
	var next time.Time
	if owed[x.state].serverClose {
		next = x.lastWordAt.Add(x.limits.CloseTimeout)
	} else if len(x.pending) > 0 {
		next = x.pending[0].Add(x.limits.LateReportInterval)
	}
	x.server.SetReadDeadline(next)
}

// handleServerTimeout acts on a passed read deadline of the server's connection. done tells that the side has ended.
func (x *Exchange) handleServerTimeout(end serverEnd) (done bool, outcome balance.Outcome, report *balance.LoadReport) {
	taken, paused := x.pauseForHandOver()
	switch {
	case taken:
		return true, balance.Cancelled, nil
	case paused:
		return false, balance.Cancelled, nil
	case x.owes().serverClose: // it does not close after its last word
		return true, x.endServer(io.EOF, end), end.report
	}
	done, outcome = x.handleDeadline()
	return done, outcome, nil
}

// handleDeadline acts on a read deadline that is neither a hand-over's nor a last word's: the client is to be moved, a
// message has been pending for long, or the server does not close after the client has.
func (x *Exchange) handleDeadline() (done bool, outcome balance.Outcome) {
	x.mu.Lock()
	if x.handOver != nil { // it began just now: the passed deadline is to stay
		x.mu.Unlock()
		return false, balance.Cancelled
	}
	var age time.Duration
	if len(x.pending) > 0 {
		age = min(time.Since(x.pending[0]), time.Since(x.relayedAt))
	}
	switch {
	case age >= x.limits.ResponseTimeout && x.end(eventServerSilent, ServerSilent):
		x.mu.Unlock()
		x.sendMove()
		return true, balance.TimedOut
	case x.apply(eventMoveSent): // no line of the client's goes to the server after the MOVE
		x.mu.Unlock()
		x.sendMove()
		return true, balance.Cancelled
	case !owed[x.state].timing: // the client has ended, and its server has not
		x.mu.Unlock()
		x.server.Reset()
		return true, balance.Cancelled
	}
	if len(x.pending) == 0 { // the deadline was that of a hand-over that failed
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

// sendMove sends MOVE to the client and closes both connections.
func (x *Exchange) sendMove() {
	x.client.WriteLine("MOVE", x.limits.CloseTimeout)
	x.closeClientWrite()
	x.server.Close()
}

// endServer ends the client's side the way the server's has ended.
func (x *Exchange) endServer(err error, end serverEnd) balance.Outcome {
	outcome, reason := end.outcome, end.reason
	x.mu.Lock()
	if x.reason == ClientEnded && outcome != balance.OK || x.reason == ClientReset || x.reason == LineTooLong {
		outcome = balance.Cancelled // not the server's doing
	}
	if errors.Is(err, lines.ErrTooLong) {
		reason = LineTooLong
	}
	x.end(eventEnded, reason)
	hasLastWord := owed[x.state].serverClose // a reset after it, as of a close with unread bytes, must not take it back
	x.mu.Unlock()
	if err == io.EOF || hasLastWord {
		if partial := x.server.TakeBuffered(); len(partial) > 0 {
			x.client.Write(partial)
		}
		x.closeClientWrite()
		x.server.Close()
	} else {
		x.client.Reset()
		x.server.Reset()
	}
	return outcome
}
