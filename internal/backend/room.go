package backend

import (
	"context"
	"slices"
	"sync"

	"brassmux/internal/lines"
)

// room bounds the connections of all probes together, so that descriptors are set apart for them whatever list of servers
// comes: those that come up, those in use, and those that are idle until the next question.
type room struct {
	mu      sync.Mutex
	left    int             // places that nobody has
	idle    []*lines.Conn   // the longest idle one first
	waiting []chan struct{} // who waits for a place, first come first
}

// enter takes a place for a connection; the longest idle one makes way where there is no other. Where all are in use it waits
// until ctx ends; false means that none came free.
func (r *room) enter(ctx context.Context) bool {
	r.mu.Lock()
	if r.left > 0 {
		r.left--
		r.mu.Unlock()
		return true
	} else if len(r.idle) > 0 {
		longest := r.idle[0]
		r.idle = slices.Delete(r.idle, 0, 1)
		r.mu.Unlock()
		longest.Close()
		return true
	}
	turn := make(chan struct{})
	r.waiting = append(r.waiting, turn)
	r.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	r.mu.Lock()
	i := slices.Index(r.waiting, turn)
	if i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	r.mu.Unlock()
	if i < 0 { // it was given one in this moment
		r.leave(nil)
	}
	return false
}

// leave closes a connection, nil where none has come up, and gives its place on.
func (r *room) leave(c *lines.Conn) {
	if c != nil {
		c.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) > 0 {
		close(r.waiting[0])
		r.waiting = slices.Delete(r.waiting, 0, 1)
	} else {
		r.left++
	}
}

// rest keeps a connection for its next question, unless another waits for its place. It may make way until it is woken.
func (r *room) rest(c *lines.Conn) (kept bool) {
	r.mu.Lock()
	if kept = len(r.waiting) == 0; kept {
		r.idle = append(r.idle, c)
	}
	r.mu.Unlock()
	if !kept {
		r.leave(c)
	}
	return kept
}

// wake takes a connection into use again; false means that it has made way.
func (r *room) wake(c *lines.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.idle, c)
	if i >= 0 {
		r.idle = slices.Delete(r.idle, i, i+1)
	}
	return i >= 0
}
