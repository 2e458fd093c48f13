package frontend

import (
	"fmt"
	"testing"
	"time"
)

// id returns a request ID.
func id(prefix string, i int) []byte { return fmt.Appendf(nil, "%s-%d", prefix, i) }

// Guards against a request that runs again because the IDs of many other requests have displaced its own, and against
// memory that grows with the number of requests.
func TestRequestIDsHoldAsManyAsConfigured(t *testing.T) {
	const limit = 5000
	r := newRequestIDs(limit)
	first := id("first", 0)
	if !r.begin(first) || r.begin(first) {
		t.Fatal("the first request is rejected, or accepted twice while it is open")
	}
	r.end(first)
	for i := range limit - 1 {
		r.begin(id("other", i))
		r.end(id("other", i))
	}
	if r.begin(first) {
		t.Errorf("the first request is accepted again after %d others", limit-1)
	}
	heldSince := r.HeldSince()
	for i := range 10 * limit {
		r.begin(id("later", i))
		r.end(id("later", i))
	}
	if count := len(r.current.ids) + len(r.previous.ids); count > 2*limit || len(r.open) > 0 {
		t.Errorf("%d IDs are remembered, and %d open ones", count, len(r.open))
	}
	if !r.HeldSince().After(heldSince) {
		t.Error("the hold time is not adjusted to the number of requests")
	}
}

// Guards against an ID that is forgotten before idHoldTime, or never.
func TestRequestIDsExpire(t *testing.T) {
	r := newRequestIDs(100)
	endedAt := func(age time.Duration) { r.current.startedAt = r.current.startedAt.Add(-age) }
	r.begin(id("x", 0))
	r.end(id("x", 0))
	endedAt(idHoldTime) // the next ID begins a new generation
	r.begin(id("y", 0))
	if r.begin(id("x", 0)) {
		t.Error("an ID is forgotten after the hold time of its generation")
	}
	endedAt(idHoldTime)
	r.begin(id("z", 0))
	if !r.begin(id("x", 0)) {
		t.Error("an ID is held for over twice the hold time")
	}
	if r.begin(id("y", 0)) {
		t.Error("the ID of an open request is forgotten")
	}
}

// Guards against a request that runs in both processes of an upgrade: one that has ended, one that is open, and one
// that begins after the state was taken. A connection that is handed over must be accepted once.
func TestRequestIDsAreShared(t *testing.T) {
	predecessor, successor := newRequestIDs(100), newRequestIDs(100)
	predecessor.begin(id("ended", 0))
	predecessor.end(id("ended", 0))
	predecessor.begin(id("open", 0))
	var fromPredecessor, fromSuccessor []uint64
	seed, remembered, stop := predecessor.Observe(func(hash uint64) {
		fromPredecessor = append(fromPredecessor, hash)
	})
	successor.Restore(seed, remembered)
	_, _, stopOther := successor.Observe(func(hash uint64) { fromSuccessor = append(fromSuccessor, hash) })
	defer stopOther()
	predecessor.begin(id("later", 0))
	successor.begin(id("next", 0))
	successor.Add(fromPredecessor)
	predecessor.Add(fromSuccessor)
	for _, prefix := range []string{"ended", "open", "later", "next"} {
		if successor.begin(id(prefix, 0)) || predecessor.begin(id(prefix, 0)) {
			t.Errorf("a request with the ID %s is accepted again", prefix)
		}
	}
	if !successor.beginInherited(id("open", 0)) || successor.beginInherited(id("open", 0)) {
		t.Error("a connection that is handed over is rejected, or accepted twice")
	}
	stop()
	predecessor.begin(id("after", 0))
	if len(fromPredecessor) != 2 || !successor.begin(id("after", 0)) {
		t.Error("an ID is shared after the end of the upgrade")
	}
}

// Guards against a successor that forgets IDs of its predecessor because they are more than a generation has room for.
func TestRestoreKeepsAllIDs(t *testing.T) {
	const limit = 100
	predecessor, successor := newRequestIDs(limit), newRequestIDs(limit)
	for i := range 2 * limit {
		predecessor.begin(id("x", i))
		predecessor.end(id("x", i))
	}
	seed, remembered, stop := predecessor.Observe(func(uint64) {})
	stop()
	successor.Restore(seed, remembered)
	for i := range 2 * limit {
		if successor.begin(id("x", i)) {
			t.Fatalf("ID %d of %d is forgotten", i, 2*limit)
		}
	}
}
