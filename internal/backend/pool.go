package backend

import (
	"context"
	"slices"
	"sync"

	"brassmux/internal/lines"
)

// connPool limits the number of connections of all health checks, so that the descriptors reserved for them suffice for
// a list of servers of any length. Connections that are being opened, in use or idle count towards the limit. The pool
// owns the idle ones.
type connPool struct {
	mu        sync.Mutex      // guards the fields below; not held during I/O
	available int             // connections that may still be opened
	idle      []*lines.Conn   // the connection that has been idle longest is first
	waiters   []chan struct{} // closed when a connection is granted; in order of arrival
}

// acquire reserves a connection, which the caller must release. If the limit is reached it evicts the connection that
// has been idle longest. If all are in use it waits for one, and returns false if ctx ends first.
func (p *connPool) acquire(ctx context.Context) bool {
	p.mu.Lock()
	if p.available > 0 {
		p.available--
		p.mu.Unlock()
		return true
	} else if len(p.idle) > 0 {
		longestIdle := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		p.mu.Unlock()
		longestIdle.Close()
		return true
	}
	granted := make(chan struct{})
	p.waiters = append(p.waiters, granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	if !p.removeWaiter(granted) { // a connection was granted at the same time
		p.release(nil)
	}
	return false
}

// removeWaiter removes a waiter. It returns false if the waiter has been granted a connection.
func (p *connPool) removeWaiter(granted chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := slices.Index(p.waiters, granted)
	if index >= 0 {
		p.waiters = slices.Delete(p.waiters, index, index+1)
	}
	return index >= 0
}

// release closes a connection, or nil if none was opened, and passes its reservation to the first waiter.
func (p *connPool) release(conn *lines.Conn) {
	if conn != nil {
		conn.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = slices.Delete(p.waiters, 0, 1)
	} else {
		p.available++
	}
}

// putIdle keeps a connection for the next check, or closes it if there is a waiter. A connection that is kept may be
// evicted before takeIdle is called.
func (p *connPool) putIdle(conn *lines.Conn) (kept bool) {
	p.mu.Lock()
	if kept = len(p.waiters) == 0; kept {
		p.idle = append(p.idle, conn)
	}
	p.mu.Unlock()
	if !kept {
		p.release(conn)
	}
	return kept
}

// takeIdle takes an idle connection into use. It returns false if the connection was evicted.
func (p *connPool) takeIdle(conn *lines.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := slices.Index(p.idle, conn)
	if index >= 0 {
		p.idle = slices.Delete(p.idle, index, index+1)
	}
	return index >= 0
}
