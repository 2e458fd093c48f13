// Package backend connects to servers: it carries out attempts to have a server accept a request, and health checks. It
// owns the connections of health checks, and the connection of an attempt until the server accepts the request. The
// exchange owns it from then on. The caller decides which servers are tried or checked, and when.
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
	LocalAddr           net.Addr      // local address of connections; nil for any
	DialTimeout         time.Duration // limit on connecting
	HealthCheckTimeout  time.Duration // limit on a health check, including connecting
	IdleTimeout         time.Duration // time that a health check's connection is kept for the next check
	MaxHealthCheckConns int           // limit on connections of health checks, including idle ones; at least 1
	LoadField           string        // name of the utilisation field in a server's load report

	// Connect opens a TCP connection. If it is nil a net.Dialer is used.
	Connect func(ctx context.Context, addr string) (net.Conn, error)
}

// Client connects to servers. Its methods may be called from any goroutine.
type Client struct {
	cfg           Config
	observer      exchange.Observer
	onHealthCheck func(balance.HealthCheckResult)
	mu            sync.Mutex // guards checkers and sends to their requests channels; not held during I/O
	checkers      map[balance.ServerID]*healthChecker
	pool          connPool // connections of the health checks
	Counters      Counters
}

// Counters counts attempts and health checks.
type Counters struct {
	Attempts       atomic.Int64    // attempts started
	FirstLinesSent atomic.Int64    // attempts whose first line was written completely
	HealthChecks   atomic.Int64    // health checks requested
	Outcomes       [9]atomic.Int64 // attempts that the server did not accept, by balance.Outcome
}

// New returns a client. observer is notified of the ends of attempts, and onHealthCheck is called with the results of
// health checks; both are called from many goroutines.
func New(cfg Config, observer exchange.Observer, onHealthCheck func(balance.HealthCheckResult)) *Client {
	if cfg.Connect == nil {
		dialer := net.Dialer{Timeout: cfg.DialTimeout, LocalAddr: cfg.LocalAddr}
		cfg.Connect = func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		}
	}
	return &Client{cfg: cfg, observer: observer, onHealthCheck: onHealthCheck,
		checkers: map[balance.ServerID]*healthChecker{}, pool: connPool{available: max(cfg.MaxHealthCheckConns, 1)}}
}
