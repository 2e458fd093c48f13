// Package backend holds the connections to servers: it carries out attempts to place a request, and health checks. It
// owns the connections of health checks, and that of an attempt until the server has accepted the request; then it
// belongs to the exchange. Which server is tried or checked, and when, is left to the caller.
package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"brassmux/balance"
	"brassmux/internal/exchange"
)

// Config is the configuration of a Client.
type Config struct {
	LocalAddr           net.Addr      // the local end of connections; nil for any
	DialTimeout         time.Duration // limit on connecting
	HealthCheckTimeout  time.Duration // limit on a health check, with its connecting
	IdleTimeout         time.Duration // how long a health check's connection is kept for the next check
	MaxHealthCheckConns int           // connections of health checks at once, with idle ones; at least 1
	LoadField           string        // name of the load in a server's load report

	// Connect opens a TCP connection; nil for net.Dialer.
	Connect func(ctx context.Context, addr string) (net.Conn, error)
}

// Client connects to servers. Its methods may be called from any goroutine.
type Client struct {
	cfg           Config
	observer      exchange.Observer
	onHealthCheck func(balance.HealthCheckResult)
	mu            sync.Mutex // guards checkers, and sending to them; not held over I/O
	checkers      map[balance.ServerID]*checker
	pool          pool // of the health checks' connections
	Counters      Counters
}

// Counters count what is sent to servers, by outcome.
type Counters struct {
	Attempts       atomic.Int64    // attempts begun
	FirstLinesSent atomic.Int64    // attempts whose first line was written whole
	HealthChecks   atomic.Int64    // health checks requested
	Outcomes       [9]atomic.Int64 // of attempts that the server did not accept, by balance.Outcome
}

// New returns a client. observer is notified of the ends of attempts, and onHealthCheck is called with the results of
// health checks; both are called from many goroutines.
func New(cfg Config, observer exchange.Observer, onHealthCheck func(balance.HealthCheckResult)) *Client {
	if cfg.Connect == nil {
		d := net.Dialer{Timeout: cfg.DialTimeout, LocalAddr: cfg.LocalAddr}
		cfg.Connect = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Client{cfg: cfg, observer: observer, onHealthCheck: onHealthCheck,
		checkers: map[balance.ServerID]*checker{}, pool: pool{free: max(cfg.MaxHealthCheckConns, 1)}}
}
