package node

import (
	"time"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/exchange"
)

// startAttempt sends a request to a server once the quotas allow it.
func (l *loop) startAttempt(action balance.Attempt) {
	request := l.requests[action.ID]
	if request == nil {
		return
	}
	server := l.servers[action.Server]
	attempt := exchange.Attempt{
		Number:                request.AttemptCount,
		Server:                action.Server,
		Addr:                  server.Addr,
		ServerStartedAtMillis: server.StartedAtMillis,
	}
	request.AttemptCount++
	// AttemptEnded runs in its own goroutine: it posts to the loop, which would wait for itself while its queue is full.
	endAttempt := func(outcome balance.Outcome) { go l.AttemptEnded(request, attempt, outcome, 0, nil) }
	if !l.invariants.allowAttempt(request, attempt, server.State) {
		endAttempt(balance.Abandoned)
		return
	}
	// A retry does not wait for its quota, because the request has already spent time on an earlier attempt.
	isRetry := attempt.Number > 0
	if isRetry && !l.control.TryAcquire(control.Retries, 0) {
		endAttempt(balance.Abandoned)
		return
	}
	decidedAt := time.Now()
	if action.SendWithin > 0 {
		attempt.LimitSendDeadline(decidedAt.Add(action.SendWithin))
	}
	l.control.Acquire(control.Connects, uint64(action.Server), quotaWait, func(ok bool) {
		if !ok {
			endAttempt(balance.Abandoned)
			return
		} else if l.isStale(attempt) { // the endpoint list has changed while the attempt waited for its quota
			endAttempt(balance.NotSent)
			return
		}
		if deadline := l.control.AttemptDeadline(action.Server, isRetry, decidedAt); !deadline.IsZero() {
			attempt.LimitSendDeadline(deadline)
		}
		l.backend.StartAttempt(request, attempt, action.Timeout)
	})
}

// isStale reports whether the server of an attempt has changed since the attempt was decided: it is draining, has
// restarted, has left the endpoint list, or has another address, so that another server may use the old one. With
// keepsUnlistedServers, leaving the list does not make an attempt stale.
func (l *loop) isStale(attempt exchange.Attempt) bool {
	server, ok := l.servers[attempt.Server]
	if !ok {
		return !l.keepsUnlistedServers
	}
	return server.State != serverUp || server.Addr != attempt.Addr ||
		server.StartedAtMillis != attempt.ServerStartedAtMillis
}

// cancelStaleAttempts cancels attempts that are not sent yet and have become stale with the current endpoint list, for
// example because the server began to drain while the connection was being established. A client that reconnects to
// its former server is still sent there while the server drains, because it is not a new client.
func (l *loop) cancelStaleAttempts() {
	for _, request := range l.requests {
		request.CancelUnsent(func(attempt exchange.Attempt) bool {
			if len(request.Head.PreviousServer) > 0 && l.servers[attempt.Server].State == serverDraining {
				return false
			}
			return l.isStale(attempt)
		})
	}
}
