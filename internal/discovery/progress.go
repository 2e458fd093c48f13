package discovery

import (
	"sync"
	"time"
)

const (
	// listDelay is the time after which a list that has begun to arrive counts as delayed.
	listDelay = 100 * time.Millisecond
	// maxListTime limits the time from the first to the last byte of a list. A service that needs longer for a list may
	// do better on a new connection.
	maxListTime = 15 * time.Second
)

// listProgress reports a list that takes long to arrive. Its methods may be called by any goroutine.
type listProgress struct {
	onDelay   func(begunAt time.Time) // called once for a list, after listDelay
	onTimeout func()                  // called once, after maxListTime

	mu      sync.Mutex
	begunAt time.Time   // when the first byte of the list arrived; zero between two lists
	timer   *time.Timer // nil before the first list
	delayed bool        // onDelay has been called for the list
}

// begin records that the first byte of a list has arrived. It has no effect until end is called.
func (p *listProgress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.begunAt.IsZero() {
		return
	}
	p.begunAt, p.delayed = time.Now(), false
	if p.timer == nil {
		p.timer = time.AfterFunc(listDelay, p.expire)
		return
	}
	p.timer.Reset(listDelay)
}

// end records that the list is complete, or that the watch has ended. After it onDelay is not called for that list.
func (p *listProgress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begunAt = time.Time{}
	if p.timer != nil {
		p.timer.Stop()
	}
}

// hasBegun reports whether a part of a list has arrived.
func (p *listProgress) hasBegun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.begunAt.IsZero()
}

// expire handles the timer. It holds the mutex while it calls onDelay, so that the delay is reported before the list.
func (p *listProgress) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := time.Since(p.begunAt)
	switch {
	case p.begunAt.IsZero() || elapsed < listDelay: // the timer was for an earlier list
	case elapsed >= maxListTime:
		p.onTimeout()
	case !p.delayed:
		p.delayed = true
		p.onDelay(p.begunAt)
		p.timer.Reset(maxListTime - elapsed)
	}
}
