package balance

import (
	"cmp"
	"time"
)

// listAge tracks how old the endpoint list may be, and the requests that wait for a list because it is too
// old. A server in an old list may have begun to drain, and counts as reported to this node some time later
// even if the report did not arrive.
//
// Only a list or a heartbeat confirms the list. A call that fails at once does not: it shows that the service
// cannot be reached, so that no further change counts as reported, but changes from before may be missing. A
// server that has accepted a client did not drain at that time, whatever is missing from the list.
type listAge struct {
	maxAge        time.Duration // Config.MaxListAge
	pushedAge     time.Duration // Config.PushedListAge
	outageAge     time.Duration // Config.OutageListAge
	pushed        bool          // Config.EndpointsPushed
	checksAllowed bool          // Config.ReadinessChecksAllowed

	isCurrent   bool          // a watch delivers all changes
	isDelayed   bool          // a watch that had delivered all changes delivers the next ones slowly
	isUnknown   bool          // nothing is known of the age of the list
	confirmedAt time.Duration // all changes that were made until then are in the list
	watchedAt   time.Duration // where lists are pushed: until then a watch was open or calls were refused
	distrustEnd time.Duration // from then on, missing changes from before an outage no longer count

	// The last outage, in which calls failed at once or, where lists are pushed, the agent sent nothing.
	inOutage    bool
	agentSilent bool
	outageStart time.Duration // its first call
	outageEnd   time.Duration // its last call so far; 0 before the first outage
	acceptedAt  time.Duration // the last time that any server accepted a client

	waiting map[RequestID]*request
}

// outageRecoveryTime is the time after an outage within which every node gets a list: the discovery service
// takes a call of each within 9 s, the first of them up to 3 s later.
const outageRecoveryTime = 12 * time.Second

func newListAge(config Config) listAge {
	l := listAge{
		maxAge: config.MaxListAge, pushedAge: config.PushedListAge, outageAge: config.OutageListAge,
		pushed: config.EndpointsPushed, checksAllowed: config.ReadinessChecksAllowed,
		waiting: map[RequestID]*request{},
	}
	if config.HealthChecksAllowed && !l.pushed {
		l.maxAge = 0 // a health check precedes each request if the list is stale
	}
	return l
}

// observe applies an endpoint update.
func (l *listAge) observe(now time.Duration, ev EndpointUpdate) {
	l.isDelayed = l.isCurrent && ev.Kind == ListDelayed
	switch ev.Kind {
	case ListDelta, ListSnapshot:
		l.isCurrent, l.isUnknown, l.inOutage, l.agentSilent, l.outageEnd = true, false, false, false, 0
		return
	case ListCached:
		l.endWatch(now, ev)
		l.isUnknown = ev.AgeUnknown
	case ListDelayed, WatchBroken, WatchFailed:
		if l.isCurrent {
			l.endWatch(now, ev)
		}
	}
	l.observeOutage(now, ev)
}

// endWatch records that changes may be missing from now on.
func (l *listAge) endWatch(now time.Duration, ev EndpointUpdate) {
	l.isCurrent, l.confirmedAt = false, cmp.Or(ev.ConfirmedAt, now)
	if l.watchedAt = cmp.Or(ev.WatchedUntil, now); ev.Silent {
		l.watchedAt = l.confirmedAt
	}
	l.distrustEnd = l.confirmedAt + l.outageAge
}

// observeOutage records whether a call shows that the discovery service cannot be reached.
func (l *listAge) observeOutage(now time.Duration, ev EndpointUpdate) {
	wasInOutage := l.inOutage
	failedAtOnce := ev.Kind == WatchFailed && !ev.DataReceived && !ev.Silent &&
		ev.ServiceWait <= overloadedServiceWait
	l.agentSilent = l.pushed && ev.Silent
	if l.inOutage = failedAtOnce || l.agentSilent; !l.inOutage {
		return
	}
	if !wasInOutage {
		l.outageStart = now
	}
	l.outageEnd = now
	if failedAtOnce {
		l.watchedAt = now
	}
	if l.outageAge > 0 && now >= l.distrustEnd {
		l.confirmedAt, l.isUnknown = now, false
	}
}

// recordAccepted returns the time after which a server has accepted clients, 0 if that is of no use.
func (l *listAge) recordAccepted(now time.Duration, s *server) time.Duration {
	if l.maxAge == 0 || now >= l.acceptingUntil(s.acceptedAt) {
		return 0
	}
	return s.acceptedAt
}

// record returns the last outage since the list was up to date, nil if there was none or the age of the list
// is not limited.
func (l *listAge) record() *OutageRecord {
	if l.isCurrent || l.outageEnd == 0 || l.maxAge == 0 {
		return nil
	}
	return &OutageRecord{StartedAt: l.outageStart, LastCallAt: l.outageEnd, Ongoing: l.inOutage}
}

// restore continues with the outage that the previous process was in. Its times by the clock of this process
// must not be in the future.
func (l *listAge) restore(outage OutageRecord) {
	l.inOutage, l.outageStart, l.outageEnd = outage.Ongoing, outage.StartedAt, outage.LastCallAt
}

// observeAccepted records that a server accepts clients, as it has shown after a time.
func (l *listAge) observeAccepted(s *server, after time.Duration) {
	s.acceptedAt = max(s.acceptedAt, after)
	l.acceptedAt = max(l.acceptedAt, after)
}

// age returns the time for which changes may be missing from the list; 0 if a watch delivers all changes.
func (l *listAge) age(now time.Duration) time.Duration {
	switch {
	case l.isCurrent:
		return 0
	case l.isUnknown:
		return max(now-l.confirmedAt, l.maxAge)
	}
	return max(now-l.confirmedAt, 0)
}

// listUse is the way in which requests are placed by a list of a certain age.
type listUse int

const (
	useList        listUse = iota // on any server
	useAccepting                  // only on servers that have shown that they accept clients
	waitForNewList                // not before the next list
)

// use returns how requests are placed now.
func (l *listAge) use(now time.Duration) listUse {
	switch {
	case l.isCurrent || l.maxAge == 0 || l.isLongOutage(now) || now < l.confirmedUntil():
		return useList
	case l.pushed && now >= l.pushedUntil():
		return waitForNewList
	case now < l.acceptingUntil(l.acceptedAt), l.checksAllowed && (l.inOutage || l.isDelayed):
		return useAccepting
	}
	return waitForNewList
}

// noEnd is later than any time.
const noEnd time.Duration = 1<<63 - 1

// pushedUntil returns the time until which, where lists are pushed, the agent cannot have a change that is
// missing from the list, apart from those that a silent watch has missed. An agent may have changes as soon
// as it can be reached again.
func (l *listAge) pushedUntil() time.Duration {
	if !l.pushed || l.agentSilent {
		return noEnd
	}
	return l.watchedAt + l.pushedAge
}

// confirmedUntil returns the time until which the list that a watch last confirmed may be used.
func (l *listAge) confirmedUntil() time.Duration {
	if l.isUnknown {
		return 0
	}
	return min(l.confirmedAt+l.maxAge, l.pushedUntil())
}

// acceptingUntil returns the time until which a server may be used, whatever the age of the list, that has
// accepted clients after acceptedAt, and so did not drain then. While a list arrives, a drain counts as
// reported some time after it began; in an outage it does not. All that a silent watch misses counts as
// reported at the same time, so there this is of no use.
func (l *listAge) acceptingUntil(acceptedAt time.Duration) time.Duration {
	var until time.Duration
	if l.isDelayed && acceptedAt > 0 {
		until = acceptedAt + l.maxAge
	}
	if l.outageEnd > 0 && acceptedAt >= l.outageStart {
		until = max(until, l.outageEnd+l.maxAge)
	}
	return min(until, l.pushedUntil())
}

// isExpired reports whether requests have to wait for a list.
func (l *listAge) isExpired(now time.Duration) bool { return l.use(now) == waitForNewList }

// isRestricted reports whether only servers that have shown that they accept clients may get requests.
func (l *listAge) isRestricted(now time.Duration) bool { return l.use(now) == useAccepting }

// excludes reports whether a server may not get requests because it may have begun to drain.
func (l *listAge) excludes(s *server, now time.Duration) bool {
	return l.isRestricted(now) && now >= l.acceptingUntil(s.acceptedAt)
}

// isUrgent reports whether requests have to wait, now or soon, unless a list arrives.
func (l *listAge) isUrgent(now time.Duration) bool {
	return !l.isCurrent && l.maxAge > 0 && !l.isLongOutage(now)
}

// isLongOutage reports whether the list is used whatever its age, because no other is to be expected.
func (l *listAge) isLongOutage(now time.Duration) bool {
	isRecovering := l.outageEnd > 0 && now < l.outageEnd+outageRecoveryTime
	return l.outageAge > 0 && now >= l.confirmedAt+l.outageAge && !isRecovering
}

// limitSending returns the time within which an attempt on a server has to be sent: sendWithin, or the time
// until the server may no longer be used if that is shorter. 0 means no limit.
func (l *listAge) limitSending(now time.Duration, s *server, sendWithin time.Duration) time.Duration {
	if !l.isUrgent(now) {
		return sendWithin
	}
	timeLeft := max(l.confirmedUntil(), l.acceptingUntil(s.acceptedAt)) - now
	return min(cmp.Or(sendWithin, timeLeft), timeLeft)
}

// ListAge returns the time since the endpoint list was last confirmed; 0 if a watch delivers all changes.
func (b *Balancer) ListAge(now time.Duration) time.Duration { return b.listAge.age(now) }

// ListExpired reports whether requests have to wait for a list.
func (b *Balancer) ListExpired(now time.Duration) bool { return b.listAge.isExpired(now) }
