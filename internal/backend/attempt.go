package backend

import (
	"bytes"
	"context"
	"errors"
	"os"
	"time"

	"brassmux/balance"
	"brassmux/internal/exchange"
	"brassmux/internal/lines"
)

// StartAttempt starts an attempt and returns at once. The attempt has a goroutine of its own, which relays the server's
// lines once it has accepted the request; its end is reported to the observer. It ends with the exchange's deadline, or
// after a timeout that is not 0.
func (c *Client) StartAttempt(x *exchange.Exchange, a exchange.Attempt, timeout time.Duration) {
	deadline := x.Deadline
	if timeout > 0 && time.Until(deadline) > timeout {
		deadline = time.Now().Add(timeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	begun := time.Now()
	// An attempt without time left is abandoned here: a timeout would count against the server.
	if !deadline.After(begun) || !x.StartAttempt(a, cancel) {
		cancel()
		go c.observer.AttemptEnded(x, a, balance.Abandoned, 0, nil)
		return
	}
	c.Counters.Attempts.Add(1)
	go func() {
		defer cancel()
		if result := c.attempt(ctx, x, a, deadline); !result.accepted {
			c.Counters.Outcomes[result.outcome].Add(1)
			x.EndAttempt()
			c.observer.AttemptEnded(x, a, result.outcome, time.Since(begun), result.report)
		}
	}()
}

// attemptResult is the result of an attempt. Where the server accepted the request, the exchange has reported the rest.
type attemptResult struct {
	accepted bool
	outcome  balance.Outcome
	report   *balance.LoadReport // nil for none
}

// attempt returns when the attempt has failed, or when the connection that it became has ended.
func (c *Client) attempt(ctx context.Context, x *exchange.Exchange, a exchange.Attempt,
	deadline time.Time) attemptResult {
	conn, err := c.dial(ctx, a.Addr)
	if err != nil {
		return attemptResult{outcome: unsentOutcome(ctx)}
	}
	// A cancelled or late attempt fails the read or write that is waiting on the connection.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if outcome, sent := c.sendFirstLine(ctx, conn, x, deadline); !sent {
		conn.Close()
		return attemptResult{outcome: outcome}
	}
	line, err := conn.ReadLine()
	if err != nil {
		conn.Close()
		return attemptResult{outcome: readFailure(ctx, err)}
	}
	outcome := answerOutcome(line)
	if outcome != balance.OK {
		report := c.ParseLoadReport(line)
		conn.Close()
		return attemptResult{outcome: outcome, report: report}
	}
	if stop() && x.Accept(conn, line, c.ParseLoadReport) {
		return attemptResult{accepted: true, outcome: balance.OK}
	}
	conn.Reset()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attemptResult{outcome: balance.TimedOut}
	}
	return attemptResult{outcome: balance.Cancelled}
}

// sendFirstLine sends the request's first line with the time that is left. Where it was not sent whole the server has
// not run the request, and the outcome says why.
func (c *Client) sendFirstLine(ctx context.Context, conn *lines.Conn, x *exchange.Exchange, deadline time.Time) (
	outcome balance.Outcome, sent bool) {
	if !x.StartSending() {
		return balance.NotSent, false
	}
	head := x.Head.WithTimeout(time.Until(deadline))
	if _, err := head.WriteTo(conn.TCPConn); err != nil && len(head) > 0 { // WriteTo removes what it has written
		return unsentOutcome(ctx), false
	}
	c.Counters.FirstLinesSent.Add(1)
	return balance.OK, true
}

// unsentOutcome is the outcome of an attempt whose first line was not sent whole. A cancelled one does not count
// against the server: the client has left, or the list of servers has changed.
func unsentOutcome(ctx context.Context) balance.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// readFailure is the outcome of an attempt whose answer could not be read.
func readFailure(ctx context.Context, err error) balance.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.Reset
}

// answerOutcome is the outcome of an attempt by the server's answer: OK for an UP with one receipt, AtCapacity for a
// BUSY. Any other line is a ServerError, also where it was damaged: it must not be taken for the server's word that the
// request has run, or has not.
func answerOutcome(line []byte) balance.Outcome {
	text, printable := lines.TrimPrintable(line)
	receipt, isUp := bytes.CutPrefix(text, []byte("UP "))
	switch {
	case printable && isUp && len(receipt) > 0 && !bytes.Contains(receipt, []byte(" ")):
		return balance.OK
	case printable && string(lines.FirstWord(line)) == "BUSY":
		return balance.AtCapacity
	}
	return balance.ServerError
}
