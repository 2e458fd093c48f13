package node

import (
	"testing"
)

// Guards against a process that reports itself as ready before it serves, or that accepts clients while it should not.
func TestLifecyclePhases(t *testing.T) {
	l := newLifecycle()
	expect := func(ready, accepts bool, want phase) {
		t.Helper()
		got, _ := l.currentPhase()
		if l.isReady() != ready || l.acceptsClients() != accepts || got != want {
			t.Errorf("%v: ready %v, accepts %v; want %v, %v, %v", got, l.isReady(), l.acceptsClients(), want, ready,
				accepts)
		}
	}
	expect(false, false, starting)
	l.setOutOfService(true)
	expect(false, false, starting)
	l.setStarted()
	expect(true, false, outOfService)
	l.setOutOfService(false)
	expect(true, true, serving)
	_, changed := l.currentPhase()
	l.setOutOfService(false)
	select {
	case <-changed:
		t.Error("a call that changes nothing notifies waiters")
	default:
	}
	l.setStopping()
	expect(false, false, stopping)
	if l.setOutOfService(true) || l.setOutOfService(false) {
		t.Error("setOutOfService succeeds while the node is stopping")
	}
	l.setSuccessorServing(true) // another process of the node accepts clients
	expect(false, true, stopping)
}
