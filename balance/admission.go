package balance

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// rateWindow is the time over which the rate of new connections is averaged.
const rateWindow = 20 * time.Second

// request is a Request with its state. It is kept until it is answered and its attempts and connection have
// ended.
type request struct {
	Request
	deadline time.Duration
	attempts []attempt
	affinity *affinityEntry // entry of the client; nil without a client key
	load     float64        // units of work per second; 0 until reported

	healthCheckCount int // servers checked for it, or noMoreHealthChecks
	notSentCount     int // attempts that ended with NotSent

	listWaitEnd  time.Duration // end of the wait for a list; 0 if the request has not waited for one
	established  bool          // a connection was accepted
	answered     bool          // no further answer is needed
	awaitingLoad bool          // waiting for a load report
	waitTimerSet bool          // the timer that limits this wait was set
}

// rankingKey returns the key that ranks the servers. All connections of a group share one key.
func (r *request) rankingKey() string { return cmp.Or(r.Group, r.ClientKey) }

// admit adds a request and sets its deadline.
func (b *Balancer) admit(ev Request) *request {
	timeoutLimit := ev.Timeout + b.config.TimeoutUncertainty
	timeout := max(ev.Timeout, min(timeoutLimit, cmp.Or(b.config.Classes[ev.Class].MaxTimeout, timeoutLimit)))
	r := &request{Request: ev, deadline: b.now + timeout}
	if r.rankingKey() == "" {
		// A random group, so that all attempts of the request use the same ranking.
		r.Group = string(binary.LittleEndian.AppendUint64(nil, b.rng.Uint64()))
	}
	b.requests[ev.ID] = r
	if !ev.Reconnect {
		b.updateConnectionRate(1) // reconnect surges do not count
	} else if b.recentReconnects++; b.now >= b.reconnectsCountedSince+freshnessWindow {
		b.recentReconnects, b.reconnectsCountedSince = 1, b.now
	}
	return r
}

// updateConnectionRate adds n new connections to the average rate.
func (b *Balancer) updateConnectionRate(n float64) {
	elapsed := min(b.now-b.connectionRateUpdatedAt, rateWindow).Seconds()
	b.connectionRate += (n - b.connectionRate*elapsed) / rateWindow.Seconds()
	b.connectionRateUpdatedAt = b.now
}

// place sends a request to a server, lets it wait for a list or for the load of that server, or answers it
// with a rejection or failure.
func (b *Balancer) place(r *request) {
	if b.listAge.isExpired(b.now) {
		b.awaitList(r)
		return
	}
	s, reason := b.selectServer(r)
	if s == nil && reason == reasonNoServerReady && b.listAge.isRestricted(b.now) {
		b.awaitList(r)
		return
	}
	if s == nil {
		b.rejectOrFail(r, reason)
		return
	}
	if b.awaitLoad(r, s) {
		return
	}
	timeout, sendWithin := b.attemptLimits(r)
	sendWithin = b.listAge.limitSending(b.now, s, sendWithin)
	if b.inSlowStart(s) {
		b.countSlowStartAttempt(s)
	}
	b.recordAttempt(r, s)
	b.emit(Attempt{ID: r.ID, Server: s.ID, Timeout: timeout, SendWithin: sendWithin})
}

// recordAttempt adds an attempt in flight on a server.
func (b *Balancer) recordAttempt(r *request, s *server) {
	s.requests[r.ID] = r
	s.connectionsSinceReport++
	b.openConnections++
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, inFlight: true, mayHaveExecuted: true})
	b.affinity.release(r.affinity, b.now)
	r.affinity = b.affinity.bind(r.ClientKey, s)
	b.gossipHeldLoad(s, 1)
	b.scheduleUtilisationCheck()
}

// rejectOrFail gives the final answer to a request that is not served.
func (b *Balancer) rejectOrFail(r *request, reason string) {
	class := b.config.Classes[r.Class]
	repeatableAnywhere := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.KeyScope == KeyScopeAll
	if r.firstPossiblyExecuted() != nil && !repeatableAnywhere {
		b.emit(Fail{ID: r.ID})
	} else {
		retryAfter := b.jitter(b.config.MaxRetryAfter * 2 / 3)
		b.emit(Reject{ID: r.ID, RetryAfter: retryAfter, Reason: reason})
	}
	b.markAnswered(r)
}

// markAnswered records that a request needs no further answer. A request without an attempt in flight is
// deleted.
func (b *Balancer) markAnswered(r *request) {
	r.answered = true
	delete(b.listAge.waiting, r.ID)
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight }) {
		b.affinity.release(r.affinity, b.now)
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) handleAttemptAccepted(ev AttemptAccepted) {
	r := b.requests[ev.ID]
	if r == nil {
		return
	}
	r.established, r.answered = true, true
	if ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		b.listAge.observeAccepted(r.attempts[ev.Attempt].server, r.attempts[ev.Attempt].sentAt)
	}
}

func (b *Balancer) handleClientDisconnected(ev ClientDisconnected) {
	if r := b.requests[ev.ID]; r != nil {
		b.markAnswered(r)
	}
}

// handleShutdown migrates the clients that would be disconnected when their server or this node stops.
func (b *Balancer) handleShutdown(serverID ServerID) {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if b.requests[id].established && (serverID == 0 || b.ensureServer(serverID).requests[id] != nil) {
			b.emit(Migrate{ID: id})
		}
	}
}
