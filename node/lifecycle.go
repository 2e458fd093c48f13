package node

import "sync"

// phase is a phase of the node's lifecycle.
type phase int

const (
	starting     phase = iota // the event loop and the endpoint list are being set up
	serving                   // clients are accepted and served
	outOfService              // PING is rejected and clients are migrated, but new clients are still served
	stopping                  // graceful shutdown
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "out of service", "stopping"}[p]
}

// lifecycle is the state of the node that determines the responses to PING, on the admin address and in a hand-over. A
// node can be taken out of service while it starts. It is safe for concurrent use.
type lifecycle struct {
	mu                 sync.Mutex
	isStarted          bool
	isOutOfService     bool
	isStopping         bool
	isSuccessorServing bool          // the next process of this node serves
	changed            chan struct{} // closed at the next change and then replaced
}

func newLifecycle() *lifecycle { return &lifecycle{changed: make(chan struct{})} }

// currentPhase returns the phase, and a channel that is closed when the phase may have changed.
func (l *lifecycle) currentPhase() (phase, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase(), l.changed
}

// phase returns the current phase. The caller must hold l.mu.
func (l *lifecycle) phase() phase {
	switch {
	case l.isStopping:
		return stopping
	case !l.isStarted:
		return starting
	case l.isOutOfService:
		return outOfService
	}
	return serving
}

// update applies a change and notifies all waiters.
func (l *lifecycle) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.notify()
}

// notify wakes the goroutines that wait for a change. The caller must hold l.mu.
func (l *lifecycle) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *lifecycle) setStarted()  { l.update(func() { l.isStarted = true }) }
func (l *lifecycle) setStopping() { l.update(func() { l.isStopping = true }) }

// setSuccessorServing records whether the next process of this node serves.
func (l *lifecycle) setSuccessorServing(isServing bool) {
	l.update(func() { l.isSuccessorServing = isServing })
}

// setOutOfService takes the node out of service, or puts it back. It returns false if the node is stopping.
func (l *lifecycle) setOutOfService(out bool) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isStopping {
		return false
	}
	if l.isOutOfService != out {
		l.isOutOfService = out
		l.notify()
	}
	return true
}

// followOrder takes the node out of service, or puts it back, because another process of the node was told to. Unlike
// setOutOfService it also does so while this process is stopping.
func (l *lifecycle) followOrder(out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isOutOfService != out {
		l.isOutOfService = out
		l.notify()
	}
}

// isReady reports whether this process can serve clients. A process that is out of service is ready too, so that it can
// be upgraded.
func (l *lifecycle) isReady() bool {
	currentPhase, _ := l.currentPhase()
	return currentPhase == serving || currentPhase == outOfService
}

// acceptsClients reports whether PING is answered with PONG. That includes a process that is stopping while its
// successor serves, since the node then still accepts clients.
func (l *lifecycle) acceptsClients() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase() == serving || l.phase() == stopping && l.isSuccessorServing && !l.isOutOfService
}
