package node

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/exchange"
)

// invariant is a condition that no attempt may violate. Package balance ensures all of them; they are checked again
// before an attempt is sent.
type invariant int

const (
	noConcurrentAttempt invariant = iota // no attempt while another attempt of the request is in flight
	noUnsafeRetry                        // no retry of a non-idempotent request that may have been executed
	noLateRetry                          // no retry after the servers may have forgotten the idempotency key
	noAttemptAtDraining                  // no attempt at a server that is draining according to the endpoint list
	invariantCount
)

// invariantNames are the names of the invariants in counters and log lines.
var invariantNames = [invariantCount]string{"second_copy", "unsafe_repeat", "late_repeat", "to_draining"}

// invariants blocks and counts attempts that would violate an invariant; each is a defect of the program. Only the
// goroutine of the event loop may use it, except for the counts.
type invariants struct {
	classes    map[string]balance.Class
	log        *zap.Logger
	violations [invariantCount]atomic.Int64
}

// allowAttempt reports whether an attempt may start at a server with this state in the endpoint list, and records its
// start.
func (v *invariants) allowAttempt(request *exchange.Exchange, attempt exchange.Attempt, state string) bool {
	if violated, ok := v.violated(request, state); ok {
		v.violations[violated].Add(1)
		v.log.Error("attempt blocked: it would violate an invariant",
			zap.String("invariant", invariantNames[violated]), zap.ByteString("id", request.Head.ID),
			zap.ByteString("class", request.Head.Class), zap.Int("attempt", attempt.Number),
			zap.String("server", attempt.Addr), zap.String("state", state))
		return false
	}
	request.HasActiveAttempt = true
	return true
}

// violated returns the first invariant that an attempt at a server with this state would violate.
func (v *invariants) violated(request *exchange.Exchange, state string) (violated invariant, ok bool) {
	class := v.classes[string(request.Head.Class)]
	mayHaveRun := !request.FirstRunAt.IsZero()
	switch {
	case request.HasActiveAttempt:
		return noConcurrentAttempt, true
	case mayHaveRun && class.Idempotency == balance.NonIdempotent:
		return noUnsafeRetry, true
	case mayHaveRun && class.Idempotency == balance.IdempotentByKey && time.Since(request.FirstRunAt) > class.KeyWindow:
		return noLateRetry, true
	case state == "draining":
		return noAttemptAtDraining, true
	}
	return 0, false
}

// attemptEnded records the outcome of an attempt, elapsed after it began.
func (v *invariants) attemptEnded(request *exchange.Exchange, outcome balance.Outcome, elapsed time.Duration) {
	request.HasActiveAttempt = false
	if request.FirstRunAt.IsZero() && !outcome.NotExecuted() {
		request.FirstRunAt = time.Now().Add(-elapsed)
	}
}

// counters calls add for each counter.
func (v *invariants) counters(add func(name string, value int64)) {
	for i, name := range invariantNames {
		add("rule_"+name, v.violations[i].Load())
	}
}
