package backend

import (
	"cmp"
	"context"
	"errors"
	"io"
	"os"
	"time"

	"brassmux/balance"
	"brassmux/internal/lines"
)

// CheckHealth requests a health check of a server and returns without waiting for it. If the check cannot be sent by
// sendDeadline, or no connection becomes available within HealthCheckTimeout, its result is OK without a load report. A
// zero sendDeadline means no limit. A request that arrives while another one waits for the same server shares its
// result.
func (c *Client) CheckHealth(id balance.ServerID, addr string, sendDeadline time.Time) {
	c.Counters.HealthChecks.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	checker := c.checkers[id]
	if checker == nil || checker.addr != addr {
		checker = &healthChecker{client: c, server: id, addr: addr, requests: make(chan time.Time, 1)}
		c.checkers[id] = checker
		go checker.run()
	}
	select {
	case checker.requests <- sendDeadline:
	default: // a request is waiting, and its result serves both
	}
}

// healthChecker sends health checks to one server, one at a time. Because a new connection costs the server work, it
// keeps its connection between checks if the pool permits. Only the goroutine of run accesses conn and idleConn.
type healthChecker struct {
	client   *Client
	server   balance.ServerID
	addr     string
	requests chan time.Time // send deadlines of requested checks; Client.mu must be held to send
	conn     *lines.Conn    // in use; nil for none
	idleConn *lines.Conn    // in the pool since the last check, unless the pool has evicted it; nil for none
}

// run carries out the requested health checks until none has been requested for IdleTimeout.
func (h *healthChecker) run() {
	idleTimer := time.NewTimer(h.client.cfg.IdleTimeout)
	for {
		idleTimer.Reset(h.client.cfg.IdleTimeout)
		select {
		case <-idleTimer.C:
			if !h.client.removeChecker(h) {
				continue
			}
			if h.reuseIdleConn(); h.conn != nil {
				h.closeConn()
			}
			return
		case sendDeadline := <-h.requests:
			h.client.onHealthCheck(h.check(sendDeadline))
		}
	}
}

// removeChecker removes a checker. It returns false if the checker has a request.
func (c *Client) removeChecker(checker *healthChecker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(checker.requests) > 0 {
		return false
	}
	if c.checkers[checker.server] == checker {
		delete(c.checkers, checker.server)
	}
	return true
}

// reuseIdleConn takes the idle connection into use if the pool has not evicted it.
func (h *healthChecker) reuseIdleConn() {
	if h.idleConn != nil && h.client.pool.takeIdle(h.idleConn) {
		h.conn = h.idleConn
	}
	h.idleConn = nil
}

// closeConn closes the connection in use.
func (h *healthChecker) closeConn() {
	h.client.pool.release(h.conn)
	h.conn = nil
}

// check carries out one health check.
func (h *healthChecker) check(sendDeadline time.Time) balance.HealthCheckResult {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(h.client.cfg.HealthCheckTimeout))
	result := balance.HealthCheckResult{Server: h.server}
	// The server may have closed an idle connection, or sent a line that would be taken as the answer to this check.
	if h.reuseIdleConn(); h.conn != nil && !h.conn.IsIdle() {
		h.closeConn()
	}
	result.Outcome, result.Report = h.sendOrRetry(ctx, sendDeadline)
	cancel()
	if h.conn != nil && h.client.pool.putIdle(h.conn) {
		h.idleConn = h.conn
	}
	h.conn = nil
	result.Elapsed = time.Since(startedAt)
	return result
}

// sendOrRetry sends a health check. If it fails on a connection that was idle, for a reason other than its timeout, it
// is sent once more on a new connection, because the server may have closed the idle one.
func (h *healthChecker) sendOrRetry(ctx context.Context, sendDeadline time.Time) (
	balance.Outcome, *balance.LoadReport) {
	for wasIdle := h.conn != nil; ; wasIdle = false {
		if outcome, connected := h.connect(ctx); !connected {
			return outcome, nil
		}
		if !sendDeadline.IsZero() && time.Now().After(sendDeadline) { // the process may have been suspended
			return balance.OK, nil
		}
		outcome, report, err := h.send(ctx)
		if err == nil {
			return outcome, report
		}
		h.closeConn()
		if !wasIdle || errors.Is(err, os.ErrDeadlineExceeded) {
			return outcome, report
		}
	}
}

// connect opens a connection if there is none. If that fails it returns the outcome of the health check.
func (h *healthChecker) connect(ctx context.Context) (outcome balance.Outcome, connected bool) {
	if h.conn != nil {
		return balance.OK, true
	}
	pool := &h.client.pool
	if !pool.acquire(ctx) {
		return balance.OK, false
	}
	conn, err := h.client.dial(ctx, h.addr)
	if err != nil {
		pool.release(nil)
		return balance.ConnectFailed, false
	}
	h.conn = conn
	return balance.OK, true
}

// send sends one health check and reads its answer. After an error the connection must be closed.
func (h *healthChecker) send(ctx context.Context) (balance.Outcome, *balance.LoadReport, error) {
	deadline, _ := ctx.Deadline()
	h.conn.SetDeadline(deadline)
	if _, err := io.WriteString(h.conn.TCPConn, "STATS\r\n"); err != nil {
		return balance.ConnectFailed, nil, err
	}
	line, err := h.conn.ReadLine()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut, nil, err
	case err != nil:
		return balance.Reset, nil, err
	case string(lines.FirstWord(line)) != "PONG":
		return balance.ServerError, h.client.ParseLoadReport(line), nil
	}
	return balance.OK, cmp.Or(h.client.ParseLoadReport(line), &balance.LoadReport{Utilisation: -1}), nil
}
