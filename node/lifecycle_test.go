package node

import (
	"testing"
)

func TestTheNodeIsReadyOnlyWhenItServes(t *testing.T) {
	l := newLifecycle()
	said := func(ready, welcome bool, now phase) {
		t.Helper()
		p, _ := l.currentPhase()
		if l.isReady() != ready || l.acceptsClients() != welcome || p != now {
			t.Errorf("%v: ready %v, welcome %v; want %v, %v, %v", p, l.isReady(), l.acceptsClients(), now, ready,
				welcome)
		}
	}
	said(false, false, starting)
	l.setOutOfService(true)
	said(false, false, starting)
	l.setStarted()
	said(true, false, outOfService)
	l.setOutOfService(false)
	said(true, true, serving)
	_, changed := l.currentPhase()
	l.setOutOfService(false)
	select {
	case <-changed:
		t.Error("an order that changes nothing is reported as a change")
	default:
	}
	l.setStopping()
	said(false, false, stopping)
	if l.setOutOfService(true) || l.setOutOfService(false) {
		t.Error("orders are taken while it stops")
	}
	l.setSuccessorServing(true) // as a whole the node is there
	said(false, true, stopping)
}
