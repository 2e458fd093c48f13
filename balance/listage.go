package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// listAge tracks how old the endpoint list may be, and the requests that wait for a list because it is too
// old. A server in an old list may have begun to drain, and counts as reported to this node some time later
// even if the report did not arrive.
type listAge struct {
	maxAge    time.Duration // 0 if the age of the list is not limited
	outageAge time.Duration // from which the list is used all the same; 0 if never

	isCurrent   bool          // a watch delivers all changes
	confirmedAt time.Duration // when the list was last confirmed, unless isCurrent
	pushed      bool          // Config.EndpointsPushed
	agentSilent bool          // where lists are pushed: the agent sends nothing, so it learns nothing either
	waiting     map[RequestID]*request
}

func newListAge(config Config) listAge {
	l := listAge{
		maxAge: config.MaxListAge, outageAge: config.OutageListAge, waiting: map[RequestID]*request{},
	}
	if l.pushed = config.EndpointsPushed; config.HealthChecksAllowed && !l.pushed {
		l.maxAge = 0 // a health check shows whether a server accepts clients
	}
	return l
}

// observe applies an endpoint update. A call that failed at once shows that the service cannot be reached,
// so that no change counts as reported yet. Where lists are pushed, an agent that sends nothing shows the
// same.
func (l *listAge) observe(now time.Duration, ev EndpointUpdate) {
	l.agentSilent = l.pushed && ev.Silent
	switch ev.Kind {
	case ListDelta, ListSnapshot:
		l.isCurrent = true
	case ListCached:
		l.isCurrent, l.confirmedAt = false, cmp.Or(ev.ConfirmedAt, now)
	case WatchBroken:
		if l.isCurrent {
			l.confirmedAt = cmp.Or(ev.ConfirmedAt, now)
		}
		l.isCurrent, l.confirmedAt = false, max(l.confirmedAt, ev.ConfirmedAt)
	case WatchFailed:
		unreachable := !ev.DataReceived && !ev.Silent && ev.ServiceWait <= overloadedServiceWait
		if l.isCurrent || unreachable {
			l.isCurrent, l.confirmedAt = false, max(l.confirmedAt, now)
		}
	}
}

// age returns the time since the list was last confirmed; 0 if a watch delivers all changes.
func (l *listAge) age(now time.Duration) time.Duration {
	if l.isCurrent {
		return 0
	}
	return max(now-l.confirmedAt, 0)
}

// isExpired reports whether the list is too old to place requests by it.
func (l *listAge) isExpired(now time.Duration) bool {
	return l.isUrgent(now) && now >= l.confirmedAt+l.maxAge
}

// isUrgent reports whether requests have to wait, now or soon, unless a list arrives.
func (l *listAge) isUrgent(now time.Duration) bool {
	isOutage := l.outageAge > 0 && now >= l.confirmedAt+l.outageAge
	return !l.isCurrent && !l.agentSilent && l.maxAge > 0 && !isOutage
}

// limitSending returns the time within which an attempt has to be sent: sendWithin, or the time until the
// list expires if that is shorter. 0 means no limit.
func (l *listAge) limitSending(now, sendWithin time.Duration) time.Duration {
	if !l.isUrgent(now) {
		return sendWithin
	}
	untilExpiry := l.confirmedAt + l.maxAge - now
	return min(cmp.Or(sendWithin, untilExpiry), untilExpiry)
}

// ListAge returns the time since the endpoint list was last confirmed; 0 if a watch delivers all changes.
func (b *Balancer) ListAge(now time.Duration) time.Duration { return b.listAge.age(now) }

// ListExpired reports whether requests have to wait for a list.
func (b *Balancer) ListExpired(now time.Duration) bool { return b.listAge.isExpired(now) }

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
