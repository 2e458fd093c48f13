package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/budget"
)

// maxWaiters is the maximum number of waiters for units of one quota.
const maxWaiters = 256

// waiter is a pending call of Acquire. It waits for one unit until the other nodes have answered the request for units.
type waiter struct {
	deadline time.Duration // on the clock of Loop.Uptime
	done     func(ok bool)
}

// Acquire acquires one unit of a quota. The subject is the server or customer if each has its own quota, else 0.
//
// Acquire calls done once, on the loop's goroutine, and reports to it whether a unit was acquired. If this node has a
// unit available, or units cannot be requested, it does so before it returns. Otherwise it requests units from the
// other nodes, and calls done when they have answered or after maxWait. If maxWait is 0, it calls done before it
// returns, and the requested units serve later calls. If Acquire is called while the balancer handles an event, done
// must not call the balancer.
func (m *Manager) Acquire(kind Kind, subject uint64, maxWait time.Duration, done func(ok bool)) {
	if !m.HasLimit(kind) {
		done(true)
		return
	}
	id, now := quotaID(kind, subject), m.loop.Uptime()
	if m.member.Acquire(now, id) {
		done(true)
		return
	}
	requested := len(m.waiters[id]) < maxWaiters && m.member.Request(now, id)
	m.hasUnsentRequest = m.hasUnsentRequest || requested
	if !requested || maxWait <= 0 {
		m.counters.rejected[kind].Add(1)
		done(false)
		return
	}
	m.waiters[id] = append(m.waiters[id], waiter{now + maxWait, done})
	m.loop.WakeAt(m.loop.Now() + maxWait)
}

// TryAcquire acquires one unit of a quota without waiting, like Acquire with a maxWait of 0, and reports whether it
// succeeded.
func (m *Manager) TryAcquire(kind Kind, subject uint64) (ok bool) {
	m.Acquire(kind, subject, 0, func(acquired bool) { ok = acquired })
	return ok
}

// HasLimit reports whether a limit is configured for a kind.
func (m *Manager) HasLimit(kind Kind) bool { return m != nil && m.hasLimit[kind] }

func quotaID(kind Kind, subject uint64) budget.ID {
	return budget.ID{Kind: uint8(kind), Subject: subject}
}

// Available returns the number of units of a quota that this node may use now, or -1 if it has none but other nodes may
// have some.
func (m *Manager) Available(kind Kind, subject uint64) int {
	return m.member.Available(m.loop.Uptime(), quotaID(kind, subject))
}

// WaitingQuotas returns the quota of each waiter, in no particular order.
func (m *Manager) WaitingQuotas() (quotas []budget.ID) {
	for id, waiters := range m.waiters {
		for range waiters {
			quotas = append(quotas, id)
		}
	}
	return quotas
}

// SendRequests sends the requests for units that were made since messages were last sent. The loop calls it after each
// event, so that one message contains all requests of the event.
func (m *Manager) SendRequests() {
	if m != nil && m.hasUnsentRequest {
		m.sendDueMessages()
	}
}

// SendDeadline returns the time by which an operation for which a unit was acquired now has to reach its receiver, or
// the zero time if the kind has no limit.
func (m *Manager) SendDeadline(kind Kind) time.Time {
	switch {
	case !m.HasLimit(kind):
		return time.Time{}
	case kind == ListCalls:
		return time.Now().Add(m.cfg.maxListCallDelay())
	}
	return time.Now().Add(m.cfg.maxSendDelay())
}

// AttemptDeadline returns the time by which an attempt that starts now and was decided at decidedAt has to reach its
// server, or the zero time if no limit applies to it.
func (m *Manager) AttemptDeadline(server balance.ServerID, isRetry bool, decidedAt time.Time) time.Time {
	if m == nil {
		return time.Time{}
	}
	if isRetry && m.hasLimit[Retries] || m.InSlowStart(server) { // its unit was acquired at decidedAt
		return decidedAt.Add(m.cfg.maxSendDelay())
	}
	return m.SendDeadline(Connects)
}

// RetryAfter returns the time after which a client should retry if it was rejected because its customer opens too many
// connections, or 0 if Config.Settings.MaxRetryAfter is 0, as clients then do not support it. The time is random, so
// that the clients do not all retry at once.
func (m *Manager) RetryAfter() time.Duration {
	return min(rateWindow/2+rand.N(rateWindow), m.cfg.Settings.MaxRetryAfter)
}

// completeWaiters completes all waiters for quotas whose requests were answered. It completes the waiters for other
// quotas if a unit is available for them or their deadline has passed.
func (m *Manager) completeWaiters(answered []budget.ID) {
	for _, id := range answered {
		waiters := m.waiters[id]
		delete(m.waiters, id)
		for _, w := range waiters {
			m.complete(id, w)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.waiters), budget.ID.Compare) {
		m.completeDueWaiters(id)
	}
}

// completeDueWaiters completes the waiters for one quota, in order, as long as a unit is available or the deadline of
// the next waiter has passed.
func (m *Manager) completeDueWaiters(id budget.ID) {
	for len(m.waiters[id]) > 0 {
		first := m.waiters[id][0]
		if m.member.Available(m.loop.Uptime(), id) <= 0 && m.loop.Uptime() < first.deadline {
			return
		}
		if m.waiters[id] = m.waiters[id][1:]; len(m.waiters[id]) == 0 {
			delete(m.waiters, id)
		}
		m.complete(id, first)
	}
}

// complete acquires a unit for a waiter if one is available, and calls its done function, which may call Acquire again.
func (m *Manager) complete(id budget.ID, w waiter) {
	ok := m.member.Acquire(m.loop.Uptime(), id)
	if !ok {
		m.counters.rejected[id.Kind].Add(1)
	}
	w.done(ok)
}
