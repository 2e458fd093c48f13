package balance

import (
	"slices"
	"time"
)

// attempt records one Attempt of a request.
type attempt struct {
	server          *server
	sentAt          time.Duration
	inFlight        bool // until the attempt or the connection that it established ends
	mayHaveExecuted bool
}

// firstPossiblyExecuted returns the first attempt that the server may have executed, or nil.
func (r *request) firstPossiblyExecuted() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// mayRetryOn reports whether the class of a request permits an attempt on a server after the previous
// attempts.
func (b *Balancer) mayRetryOn(r *request, s *server) bool {
	class, first := b.config.Classes[r.Class], r.firstPossiblyExecuted()
	if first == nil || class.Idempotency == Idempotent {
		return true
	}
	inScope := false
	switch class.KeyScope {
	case KeyScopeAll:
		inScope = true
	case KeyScopeZone:
		inScope = s.Zone == first.server.Zone
	case KeyScopeCell:
		inScope = s.Cell == first.server.Cell
	}
	return class.Idempotency == IdempotentByKey && inScope && b.now < first.sentAt+class.KeyWindow
}

// attemptLimits returns the limits of the next attempt: its timeout, which leaves time for a retry, and the
// time within which it has to be sent so that the servers still recognise its idempotency key. 0 means no
// limit.
func (b *Balancer) attemptLimits(r *request) (timeout, sendWithin time.Duration) {
	class := b.config.Classes[r.Class]
	if first := r.firstPossiblyExecuted(); class.Idempotency == IdempotentByKey && first != nil {
		return 0, first.sentAt + class.KeyWindow - b.now
	}
	isLast := len(r.attempts)-r.notSentCount+1 >= b.config.MaxAttempts
	if isLast || class.Idempotency != Idempotent {
		return 0, 0
	}
	timeout = (r.deadline - b.now) / 2
	if b.config.GossipEnabled && class.ConnectObjective > 0 {
		timeout = min(timeout, class.ConnectObjective)
	}
	return timeout, 0
}

func (b *Balancer) handleAttemptEnded(ev AttemptEnded) {
	r := b.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight, a.mayHaveExecuted = false, !ev.Outcome.NotExecuted()
	delete(a.server.requests, r.ID)
	a.server.connectionsSinceReport--
	b.openConnections--
	if ev.Outcome == AtCapacity {
		a.server.acceptedAt = 0 // it may be draining
	}
	switch {
	case ev.Outcome == OK:
		a.server.consecutiveFailures = 0
	case ev.Outcome == NotSent:
		r.notSentCount++
	case ev.Outcome == Abandoned:
		r.deadline = b.now
	case b.ejectsServer(r, ev):
		b.eject(a.server)
	}
	b.gossipHeldLoad(a.server, 1)
	if r.answered || ev.Final {
		b.markAnswered(r)
	} else {
		b.place(r)
	}
}
