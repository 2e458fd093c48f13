package node

import "sync"

// phase is where the node stands in its life.
type phase int

const (
	starting     phase = iota // not yet: the list and the loop are being brought up
	serving                   // clients come and are served
	outOfService              // drained: PING says no and clients are moved, but whoever comes is still served
	stopping                  // for good
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "out of service", "stopping"}[p]
}

// life is the one account of that phase, for PING, the second address and the hand-over alike. A node that is
// starting can be put out of service too; it then becomes that, not serving.
type life struct {
	mu       sync.Mutex
	up       bool // Run has brought all up
	out      bool
	ending   bool
	relieved bool          // another process of this node serves in its place
	changed  chan struct{} // closed at the next change
}

func newLife() *life { return &life{changed: make(chan struct{})} }

// now gives the phase, and a channel that is closed when it may have changed.
func (l *life) now() (phase, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase(), l.changed
}

func (l *life) phase() phase {
	switch {
	case l.ending:
		return stopping
	case !l.up:
		return starting
	case l.out:
		return outOfService
	}
	return serving
}

func (l *life) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
	l.tell()
}

// tell has who waits for a change look again. l.mu is held.
func (l *life) tell() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) begin() { l.change(func() { l.up = true }) }
func (l *life) end()   { l.change(func() { l.ending = true }) }

// relieve notes whether another process of this node serves.
func (l *life) relieve(by bool) { l.change(func() { l.relieved = by }) }

// put takes the node out of service, or back in; false where it stops. To do it again changes nothing.
func (l *life) put(out bool) (done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending {
		return false
	}
	if l.out != out {
		l.out = out
		l.tell()
	}
	return true
}

// ready tells whether this process can serve: also while it is out of service, as that is about who sends clients
// here, and a node that is out of service can be upgraded too.
func (l *life) ready() bool {
	now, _ := l.now()
	return now == serving || now == outOfService
}

// welcome tells whether clients should be sent here: what PING asks. While this process stops and another serves in
// its place, the node as a whole is there.
func (l *life) welcome() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase() == serving || l.phase() == stopping && l.relieved && !l.out
}
