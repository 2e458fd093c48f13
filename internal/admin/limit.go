package admin

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRequestTime is the minimum time that a connection has to send its request before it can be evicted: with one
	// processor, several connections may be accepted before the first of them is read.
	minRequestTime = 10 * time.Millisecond

	// acceptBackoff is the wait after a failed accept, for example for lack of descriptors.
	acceptBackoff = 10 * time.Millisecond
)

// connectionLimit bounds the number of open connections. Callers that send no request or an incomplete one must not
// block others, so at the limit the oldest connection without a complete request is evicted.
type connectionLimit struct {
	max int

	mu    sync.Mutex
	open  []*limitedConnection // oldest first
	freed chan struct{}        // signals that a connection was closed
}

// newConnectionLimit returns a limit of maxConnections open connections.
func newConnectionLimit(maxConnections int) *connectionLimit {
	return &connectionLimit{max: maxConnections, freed: make(chan struct{}, 1)}
}

// limitedConnection is a connection that counts against a connectionLimit until it is closed.
type limitedConnection struct {
	net.Conn
	limit           *connectionLimit
	acceptedAt      time.Time
	requestComplete atomic.Bool // the complete request has arrived
	removeOnce      sync.Once
}

// Close closes the connection and removes it from its limit.
func (c *limitedConnection) Close() error {
	c.removeOnce.Do(func() { c.limit.remove(c) })
	return c.Conn.Close()
}

// remove removes a closed connection and signals freed.
func (l *connectionLimit) remove(c *limitedConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.open, c); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
	}
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// tryAdd adds a connection if the limit allows one more. Otherwise, it returns nil and the oldest connection without a
// complete request, which is nil if all requests are complete.
func (l *connectionLimit) tryAdd(conn net.Conn) (added, oldestIncomplete *limitedConnection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < l.max {
		added = &limitedConnection{Conn: conn, limit: l, acceptedAt: time.Now()}
		l.open = append(l.open, added)
		return added, nil
	}
	if i := slices.IndexFunc(l.open, func(c *limitedConnection) bool { return !c.requestComplete.Load() }); i >= 0 {
		oldestIncomplete = l.open[i]
	}
	return nil, oldestIncomplete
}

// limitedListener is a listener that enforces a connectionLimit.
type limitedListener struct {
	net.Listener
	limit    *connectionLimit
	counters *Counters
}

// Accept waits for a connection, and then until the limit has room for it. It evicts another connection if necessary.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.acceptWithRetry()
	if err != nil {
		return nil, err
	}
	l.counters.Connections.Add(1)
	for {
		added, oldestIncomplete := l.limit.tryAdd(conn)
		if added != nil {
			return added, nil
		}
		wait := minRequestTime
		if oldestIncomplete != nil {
			wait -= time.Since(oldestIncomplete.acceptedAt)
		}
		if oldestIncomplete != nil && wait <= 0 {
			l.counters.Evictions.Add(1)
			oldestIncomplete.Close()
			continue
		}
		select {
		case <-l.limit.freed:
		case <-time.After(wait):
		}
	}
}

// acceptWithRetry accepts a connection and retries after all errors other than net.ErrClosed. They may be transient,
// and the HTTP server would stop at those that are not marked as temporary.
func (l *limitedListener) acceptWithRetry() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.counters.AcceptErrors.Add(1)
		time.Sleep(acceptBackoff)
	}
}
