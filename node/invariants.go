package node

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/exchange"
)

// invariant is a condition that no attempt may violate. Package balance keeps all of them; they are checked once more
// before anything is sent.
type invariant int

const (
	noConcurrentAttempt invariant = iota // no attempt while another of the same request is in flight
	noUnsafeRetry                        // no retry of a request that may have run, unless it is idempotent
	noLateRetry                          // no retry after the window in which its idempotency key is known
	noAttemptAtDraining                  // no attempt at a server that the endpoint list has as draining
	invariantCount
)

// invariantNames are the names in counters and log lines.
var invariantNames = [invariantCount]string{"second_copy", "unsafe_repeat", "late_repeat", "to_draining"}

// invariants blocks attempts that would violate one, and counts them: each is a defect of the program. It belongs to
// the loop's goroutine, except for the counts.
type invariants struct {
	classes    map[string]balance.Class
	log        *zap.Logger
	violations [invariantCount]atomic.Int64
}

// allowAttempt reports whether an attempt may start at a server that the endpoint list has in this state, and records
// its start.
func (v *invariants) allowAttempt(x *exchange.Exchange, a exchange.Attempt, state string) bool {
	if violated, ok := v.violated(x, state); ok {
		v.violations[violated].Add(1)
		v.log.Error("attempt blocked: it would violate an invariant",
			zap.String("invariant", invariantNames[violated]), zap.ByteString("id", x.Head.ID),
			zap.ByteString("class", x.Head.Class), zap.Int("attempt", a.Number), zap.String("server", a.Addr),
			zap.String("state", state))
		return false
	}
	x.HasActiveAttempt = true
	return true
}

func (v *invariants) violated(x *exchange.Exchange, state string) (violated invariant, ok bool) {
	class := v.classes[string(x.Head.Class)]
	mayHaveRun := !x.FirstRunAt.IsZero()
	switch {
	case x.HasActiveAttempt:
		return noConcurrentAttempt, true
	case mayHaveRun && class.Idempotency == balance.NonIdempotent:
		return noUnsafeRetry, true
	case mayHaveRun && class.Idempotency == balance.IdempotentByKey && time.Since(x.FirstRunAt) > class.KeyWindow:
		return noLateRetry, true
	case state == "draining":
		return noAttemptAtDraining, true
	}
	return 0, false
}

// attemptEnded records the end of an attempt that took some time.
func (v *invariants) attemptEnded(x *exchange.Exchange, outcome balance.Outcome, took time.Duration) {
	x.HasActiveAttempt = false
	if x.FirstRunAt.IsZero() && !outcome.NotExecuted() {
		x.FirstRunAt = time.Now().Add(-took)
	}
}

// counters passes each counter to add.
func (v *invariants) counters(add func(name string, value int64)) {
	for i, name := range invariantNames {
		add("rule_"+name, v.violations[i].Load())
	}
}
