package balance

import (
	"maps"
	"slices"
)

// listWaitReserve is the part of its time, as a divisor, that a request keeps after a wait for a list, to
// be sent or rejected in time.
const listWaitReserve = 10

// awaitList makes a request wait for a list. It rejects the request if that has already waited for as long
// as it may.
func (b *Balancer) awaitList(r *request) {
	if r.listWaitEnd == 0 {
		timeLeft := r.deadline - b.now
		r.listWaitEnd = b.now + timeLeft - timeLeft/listWaitReserve
		b.emit(SetTimer{r.listWaitEnd - b.now, timerListWait + uint64(r.ID)})
		b.emit(ListAwaited{ID: r.ID})
	}
	if b.now >= r.listWaitEnd {
		b.rejectOrFail(r, reasonListExpired)
		return
	}
	b.listAge.waiting[r.ID] = r
}

// endListWait answers a request that has waited for a list as long as it may. It places the request if the
// discovery service counts as unavailable by now.
func (b *Balancer) endListWait(id RequestID) {
	if r := b.listAge.waiting[id]; r != nil {
		delete(b.listAge.waiting, id)
		b.place(r)
	}
}

// resumeListWaits places the requests that wait for a list, in the order of their arrival, unless the list
// is still too old.
func (b *Balancer) resumeListWaits() {
	if len(b.listAge.waiting) == 0 || b.listAge.isExpired(b.now) {
		return
	}
	waiting := b.listAge.waiting
	b.listAge.waiting = map[RequestID]*request{}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		b.place(waiting[id])
	}
}
