package frontend

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// idHoldTime is the time for which the ID of a request is remembered after its end, unless more requests end within it
// than there is memory for.
const idHoldTime = 60 * time.Second

// RequestIDs remembers the IDs of requests that are open or have ended within idHoldTime, as hashes. Clients use a new
// ID for each connection, so a request with a known ID does not come from the client that used it first, and may have
// run. The two processes of an upgrade share their IDs. Its methods may be called from any goroutine.
type RequestIDs struct {
	maxPerGeneration int // IDs; two generations are kept

	mu        sync.Mutex
	seed      uint64 // of the hashes, the same in all processes of a node
	open      map[uint64]bool
	current   idGeneration
	previous  idGeneration
	observers []*idObserver
}

// idGeneration holds the IDs that were remembered in a period.
type idGeneration struct {
	startedAt time.Time
	ids       map[uint64]bool
}

// idObserver is notified of IDs that are remembered.
type idObserver struct{ notify func(uint64) }

// defaultMaxRememberedIDs is the default of Config.MaxRememberedIDs.
const defaultMaxRememberedIDs = 1 << 17

// newRequestIDs returns an empty set that remembers at least maxPerGeneration IDs of ended requests, 0 for the default.
func newRequestIDs(maxPerGeneration int) *RequestIDs {
	maxPerGeneration = cmp.Or(maxPerGeneration, defaultMaxRememberedIDs)
	return &RequestIDs{maxPerGeneration: maxPerGeneration, seed: rand.Uint64(), open: map[uint64]bool{},
		current:  idGeneration{startedAt: time.Now(), ids: map[uint64]bool{}},
		previous: idGeneration{startedAt: time.Now()}}
}

// hash returns the hash of an ID. r.mu must be held.
func (r *RequestIDs) hash(id []byte) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(r.seed)
	digest.Write(id)
	return digest.Sum64()
}

// begin adds the ID of a request. It returns false if the ID is known.
func (r *RequestIDs) begin(id []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := r.hash(id)
	if r.open[hash] || r.current.ids[hash] || r.previous.ids[hash] {
		return false
	}
	r.open[hash] = true
	r.remember(hash)
	return true
}

// beginInherited adds the ID of a request that another process has handed over, which may have shared the ID before. It
// returns false if a request with that ID is open in this process.
func (r *RequestIDs) beginInherited(id []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := r.hash(id)
	if r.open[hash] {
		return false
	}
	r.open[hash] = true
	r.remember(hash)
	return true
}

// end records the end of a request, from which on its ID is held.
func (r *RequestIDs) end(id []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := r.hash(id)
	delete(r.open, hash)
	r.remember(hash)
}

// remember adds an ID to the current generation. r.mu must be held.
func (r *RequestIDs) remember(hash uint64) {
	if r.current.ids[hash] {
		return
	}
	now := time.Now()
	if len(r.current.ids) >= r.maxPerGeneration || now.Sub(r.current.startedAt) >= idHoldTime {
		r.previous, r.current = r.current, idGeneration{startedAt: now, ids: map[uint64]bool{}}
	}
	r.current.ids[hash] = true
	for _, observer := range r.observers {
		observer.notify(hash)
	}
}

// HeldSince returns the time such that the IDs of all requests that have ended after it are remembered.
func (r *RequestIDs) HeldSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previous.startedAt
}

// Observe returns the seed of the hashes and all IDs that are remembered, and calls notify for each one that is
// remembered from then on, until the returned function is called. notify must not block.
func (r *RequestIDs) Observe(notify func(uint64)) (seed uint64, remembered []uint64, stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	observer := &idObserver{notify}
	r.observers = append(r.observers, observer)
	for _, ids := range []map[uint64]bool{r.open, r.previous.ids, r.current.ids} {
		for hash := range ids {
			remembered = append(remembered, hash)
		}
	}
	return r.seed, remembered, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.observers = slices.DeleteFunc(r.observers, func(o *idObserver) bool { return o == observer })
	}
}

// Restore adopts the seed of the predecessor and remembers its IDs, which may be more than a generation has room for.
// It must be called before the first request.
func (r *RequestIDs) Restore(seed uint64, remembered []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seed = seed
	r.previous.ids = map[uint64]bool{}
	for _, hash := range remembered {
		r.previous.ids[hash] = true
	}
}

// Add remembers IDs of the other process of the node.
func (r *RequestIDs) Add(hashes []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, hash := range hashes {
		r.remember(hash)
	}
}
