package node

import (
	"time"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/exchange"
)

// startAttempt sends a request to a server, once the quotas allow it.
func (l *loop) startAttempt(a balance.Attempt) {
	x := l.open[a.ID]
	if x == nil {
		return
	}
	server := l.servers[a.Server]
	attempt := exchange.Attempt{
		Number:                x.AttemptCount,
		Server:                a.Server,
		Addr:                  server.Addr,
		ServerStartedAtMillis: server.StartedAtMillis,
	}
	x.AttemptCount++
	end := func(o balance.Outcome) { go l.AttemptEnded(x, attempt, o, 0, nil) } // Closed blocks where the loop calls it
	if !l.invariants.allowAttempt(x, attempt, server.State) {
		end(balance.Abandoned)
		return
	}
	// A retry does not wait for a unit of its quota: that would add to the time that the request has waited.
	isRetry := attempt.Number > 0
	if isRetry && !l.control.TryAcquire(control.Retries, 0) {
		end(balance.Abandoned)
		return
	}
	decided := time.Now()
	if a.SendWithin > 0 {
		attempt.LimitSendDeadline(decided.Add(a.SendWithin))
	}
	l.control.Acquire(control.Connects, uint64(a.Server), quotaWait, func(ok bool) {
		if !ok {
			end(balance.Abandoned)
			return
		} else if l.isStale(attempt) { // the list has changed while it waited
			end(balance.NotSent)
			return
		}
		if deadline := l.control.AttemptDeadline(a.Server, isRetry, decided); !deadline.IsZero() {
			attempt.LimitSendDeadline(deadline)
		}
		l.backend.StartAttempt(x, attempt, a.Timeout)
	})
}

// isStale reports whether a server is no longer what it was when an attempt was decided: it is draining or gone, has
// another address, where another server may be, or has restarted. Where only draining binds, a list without the server
// does not mean that it accepts nobody.
func (l *loop) isStale(a exchange.Attempt) bool {
	s, ok := l.servers[a.Server]
	if !ok {
		return !l.keepsUnlisted
	}
	return s.State != serverUp || s.Addr != a.Addr || s.StartedAtMillis != a.ServerStartedAtMillis
}

// cancelStaleAttempts cancels attempts that were decided by an older list and are not sent yet: a server may begin to
// drain while a connection to it comes up. A reconnect is no new client for a draining server.
func (l *loop) cancelStaleAttempts() {
	for _, x := range l.open {
		x.CancelUnsent(func(a exchange.Attempt) bool {
			if len(x.Head.PreviousServer) > 0 && l.servers[a.Server].State == serverDraining {
				return false
			}
			return l.isStale(a)
		})
	}
}
