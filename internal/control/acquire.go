package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/budget"
)

// maxWaiters bounds those that wait for units of one quota.
const maxWaiters = 256

// waiter waits for one unit, until the other nodes have answered.
type waiter struct {
	until time.Duration // of Loop.Uptime
	done  func(ok bool)
}

// Acquire takes one unit of a quota. The subject is the server or customer where each has its own quota, else 0. Done
// is called once, on the loop's goroutine, with whether there was a unit: before Acquire returns, or where none is at
// hand once the other nodes have answered, within wait. With a wait of 0 it is called at once, and units are requested
// for later calls. While the decisions handle an event, done must not call them again.
func (m *Manager) Acquire(kind Kind, subject uint64, wait time.Duration, done func(ok bool)) {
	if !m.HasLimit(kind) {
		done(true)
		return
	}
	id, now := quotaID(kind, subject), m.loop.Uptime()
	if m.quotas.Acquire(now, id) {
		done(true)
		return
	}
	requested := len(m.waiters[id]) < maxWaiters && m.quotas.Request(now, id)
	m.requested = m.requested || requested
	if !requested || wait <= 0 {
		m.counters.rejected[kind].Add(1)
		done(false)
		return
	}
	m.waiters[id] = append(m.waiters[id], waiter{now + wait, done})
	m.loop.WakeAt(m.loop.Now() + wait)
}

// TryAcquire takes one unit of a quota and reports whether there was one, as Acquire with a wait of 0.
func (m *Manager) TryAcquire(kind Kind, subject uint64) (ok bool) {
	m.Acquire(kind, subject, 0, func(acquired bool) { ok = acquired })
	return ok
}

// HasLimit reports whether a kind has a limit.
func (m *Manager) HasLimit(kind Kind) bool { return m != nil && m.limited[kind] }

func quotaID(kind Kind, subject uint64) budget.ID {
	return budget.ID{Kind: uint8(kind), Subject: subject}
}

// Available returns how many units of a quota this node may use now; -1 where it has none, but others may have some.
func (m *Manager) Available(kind Kind, subject uint64) int {
	return m.quotas.Available(m.loop.Uptime(), quotaID(kind, subject))
}

// WaitingQuotas returns the quota of each waiter, in no order.
func (m *Manager) WaitingQuotas() (quotas []budget.ID) {
	for id, waiters := range m.waiters {
		for range waiters {
			quotas = append(quotas, id)
		}
	}
	return quotas
}

// SendRequests sends the requests for units that have come up since the last exchange. The loop calls it after each
// event, so that one message holds all of them.
func (m *Manager) SendRequests() {
	if m != nil && m.requested {
		m.exchange()
	}
}

// SendDeadline returns when something that is sent now for a unit has to reach its receiver; the zero time where the
// kind has no limit.
func (m *Manager) SendDeadline(kind Kind) time.Time {
	switch {
	case !m.HasLimit(kind):
		return time.Time{}
	case kind == ListCalls:
		return time.Now().Add(m.cfg.listCallWithin())
	}
	return time.Now().Add(m.cfg.sendWithin())
}

// AttemptDeadline returns when an attempt that starts now, and was decided earlier, has to reach its server; the zero
// time where no limit covers it.
func (m *Manager) AttemptDeadline(server balance.ServerID, isRetry bool, decided time.Time) time.Time {
	if m == nil {
		return time.Time{}
	}
	if isRetry && m.limited[Retries] || m.InSlowStart(server) { // its unit was acquired at the decision
		return decided.Add(m.cfg.sendWithin())
	}
	return m.SendDeadline(Connects)
}

// RetryAfter returns the pause for a rejected client of a customer that opens too many connections; 0 where clients
// follow no such advice. It is random, so that not all come back at once.
func (m *Manager) RetryAfter() time.Duration {
	return min(rateWindow/2+rand.N(rateWindow), m.cfg.Settings.MaxRetryAfter)
}

// serveWaiters answers all waiters for quotas whose requests were answered, and of others those for whom there is a
// unit or whose time is over.
func (m *Manager) serveWaiters(answered []budget.ID) {
	for _, id := range answered {
		waiters := m.waiters[id]
		delete(m.waiters, id)
		for _, w := range waiters {
			m.serve(id, w)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.waiters), budget.ID.Compare) {
		m.serveDue(id)
	}
}

func (m *Manager) serveDue(id budget.ID) {
	for len(m.waiters[id]) > 0 {
		first := m.waiters[id][0]
		if m.quotas.Available(m.loop.Uptime(), id) <= 0 && m.loop.Uptime() < first.until {
			return
		}
		if m.waiters[id] = m.waiters[id][1:]; len(m.waiters[id]) == 0 {
			delete(m.waiters, id)
		}
		m.serve(id, first)
	}
}

// serve answers one waiter, whose done may call Acquire again.
func (m *Manager) serve(id budget.ID, w waiter) {
	ok := m.quotas.Acquire(m.loop.Uptime(), id)
	if !ok {
		m.counters.rejected[id.Kind].Add(1)
	}
	w.done(ok)
}
