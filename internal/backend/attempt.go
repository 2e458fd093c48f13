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

// StartAttempt starts an attempt on a new goroutine, which also relays the server's lines once the server has accepted
// the request. The attempt fails at the exchange's deadline, or after the timeout unless that is 0. The observer is
// notified of its end.
func (c *Client) StartAttempt(x *exchange.Exchange, attempt exchange.Attempt, timeout time.Duration) {
	deadline := x.Deadline
	if timeout > 0 && time.Until(deadline) > timeout {
		deadline = time.Now().Add(timeout)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	startedAt := time.Now()
	// An attempt without time left is abandoned here, because a timeout would count against the server.
	if !deadline.After(startedAt) || !x.StartAttempt(attempt, cancel) {
		cancel()
		go c.observer.AttemptEnded(x, attempt, balance.Abandoned, 0, nil)
		return
	}
	c.Counters.Attempts.Add(1)
	go func() {
		defer cancel()
		if result := c.runAttempt(ctx, x, attempt, deadline); !result.accepted {
			c.Counters.Outcomes[result.outcome].Add(1)
			x.EndAttempt()
			c.observer.AttemptEnded(x, attempt, result.outcome, time.Since(startedAt), result.report)
		}
	}()
}

// attemptResult is the result of an attempt. If accepted is true the exchange has already reported the outcome.
type attemptResult struct {
	accepted bool
	outcome  balance.Outcome
	report   *balance.LoadReport // nil for none
}

// runAttempt carries out an attempt. It returns when the attempt has failed, or, once the server has accepted the
// request, when the server's connection has ended.
func (c *Client) runAttempt(ctx context.Context, x *exchange.Exchange, attempt exchange.Attempt,
	deadline time.Time) attemptResult {
	conn, err := c.dial(ctx, attempt.Addr)
	if err != nil {
		return attemptResult{outcome: unsentOutcome(ctx)}
	}
	// Cancellation and timeout interrupt a read or write that is waiting on the connection.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if outcome, sent := c.sendFirstLine(ctx, conn, x, deadline); !sent {
		conn.Close()
		return attemptResult{outcome: outcome}
	}
	line, err := conn.ReadLine()
	if err != nil {
		conn.Close()
		return attemptResult{outcome: readErrorOutcome(ctx, err)}
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

// sendFirstLine sends the request's first line with the remaining time as its timeout. sent is false if the line was
// not sent completely, so that the server cannot have run the request; the outcome is then that of the attempt.
func (c *Client) sendFirstLine(ctx context.Context, conn *lines.Conn, x *exchange.Exchange, deadline time.Time) (
	outcome balance.Outcome, sent bool) {
	if !x.StartSending() {
		return balance.NotSent, false
	}
	firstLine := x.Head.WithTimeout(time.Until(deadline))
	// WriteTo removes the buffers that it has written from firstLine.
	if _, err := firstLine.WriteTo(conn.TCPConn); err != nil && len(firstLine) > 0 {
		return unsentOutcome(ctx), false
	}
	c.Counters.FirstLinesSent.Add(1)
	return balance.OK, true
}

// unsentOutcome returns the outcome of an attempt whose first line was not sent completely. A cancelled attempt does
// not count against the server, because the client has disconnected or the list of servers has changed.
func unsentOutcome(ctx context.Context) balance.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// readErrorOutcome returns the outcome of an attempt whose answer could not be read.
func readErrorOutcome(ctx context.Context, err error) balance.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.Reset
}

// answerOutcome returns the outcome of an attempt according to the server's answer: OK for UP with one receipt,
// AtCapacity for BUSY, and ServerError for any other line. A corrupted UP or BUSY line is a ServerError, because it
// does not show reliably whether the server has run the request.
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
