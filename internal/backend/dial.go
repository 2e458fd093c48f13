package backend

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"brassmux/internal/lines"
	"brassmux/internal/transient"
)

// dialRetryInterval is the time between two dials while this machine lacks a resource.
const dialRetryInterval = 10 * time.Millisecond

// dial connects to a server. If this machine temporarily lacks sockets, ports or routes, which is not a fault of the
// server, it retries until DialTimeout has passed.
func (c *Client) dial(ctx context.Context, addr string) (*lines.Conn, error) {
	for deadline := time.Now().Add(c.cfg.DialTimeout); ; {
		conn, err := c.cfg.Connect(ctx, addr)
		if err == nil {
			return lines.New(conn.(*net.TCPConn)), nil
		} else if !isLocalShortage(err) || time.Now().After(deadline) {
			return nil, err
		}
		select {
		case <-time.After(dialRetryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// isLocalShortage reports whether a dial failed because this machine temporarily lacks a resource, before anything was
// sent to the server.
func isLocalShortage(err error) bool { return transient.Is(err) || errors.Is(err, syscall.ENETUNREACH) }
