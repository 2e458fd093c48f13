package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/exchange"
)

// onRequest takes a new request. Any goroutine but the loop's may call it.
func (l *loop) onRequest(x *exchange.Exchange) {
	l.post(func() {
		if !x.AwaitsAnswer() { // the client has left, or was rejected
			return
		}
		l.register(x)
		switch {
		case l.rejectsRequests:
			l.rejectWhileStopping(x)
		case len(x.Head.PreviousServer) > 0:
			l.counters.opened.Add(1)
			l.control.HoldConnection(x.ID, customerHash(x.Head), false)
			l.reconnect(x)
		default:
			l.admit(x)
			l.control.SendRequests()
		}
	})
}

// admit passes a request on once its customer's quotas allow it, and else rejects it.
func (l *loop) admit(x *exchange.Exchange) {
	customer := customerHash(x.Head)
	reject := func() { l.reject(x.ID, l.control.RetryAfter()) }
	l.control.Acquire(control.Opens, customer, quotaWait, func(ok bool) {
		if !ok {
			reject()
			return
		}
		l.control.Acquire(control.OpenConnections, customer, quotaWait, func(ok bool) {
			if !ok {
				reject()
				return
			}
			l.onAdmitted(x, customer)
		})
	})
}

func (l *loop) onAdmitted(x *exchange.Exchange, customer uint64) {
	l.control.HoldConnection(x.ID, customer, true)
	if l.open[x.ID] == nil { // the client has left meanwhile
		l.control.ReleaseConnection(x.ID)
		return
	}
	l.handle(l.balancerRequest(x))
}

// customerHash identifies the customer of a request for the quotas of each customer.
func customerHash(h *exchange.Head) uint64 {
	if len(h.Group) > 0 {
		return xxhash.Sum64(h.Group)
	}
	return xxhash.Sum64(h.Key)
}

// register assigns a request its ID.
func (l *loop) register(x *exchange.Exchange) {
	l.lastID++
	x.ID = l.lastID
	l.open[x.ID] = x
}

func (l *loop) forget(id balance.RequestID) *exchange.Exchange {
	x := l.open[id]
	delete(l.open, id)
	l.control.ReleaseConnection(id)
	return x
}

func (l *loop) balancerRequest(x *exchange.Exchange) balance.Request {
	h := x.Head
	return balance.Request{ID: x.ID, Class: string(h.Class), ClientKey: string(h.Key), Group: string(h.Group),
		Timeout: time.Until(x.Deadline), Reconnect: h.IsRepeat}
}

// reject answers BUSY, with the time after which to retry unless that is 0.
func (l *loop) reject(id balance.RequestID, retryAfter time.Duration) {
	x := l.forget(id)
	if x == nil {
		return
	}
	line := "BUSY"
	if ms := retryAfter.Milliseconds(); ms > 0 {
		line += " " + strconv.FormatInt(ms, 10)
	}
	l.counters.refused.Add(1)
	x.Answer(exchange.Rejected, line)
}

// fail answers ERR: the request may have run.
func (l *loop) fail(x *exchange.Exchange, reason string) {
	l.forget(x.ID)
	l.counters.failed.Add(1)
	x.Answer(exchange.Failed, "ERR "+reason)
}

// rejectAll fails every request without an answer, now and from now on, as the process is about to end.
func (l *loop) rejectAll() {
	l.rejectsRequests = true
	for _, x := range l.open {
		if x.AwaitsAnswer() {
			l.rejectWhileStopping(x)
		}
	}
}

func (l *loop) rejectWhileStopping(x *exchange.Exchange) {
	l.fail(x, "stopping")
	l.handle(balance.ClientDisconnected{ID: x.ID})
}

// ClientLeft implements exchange.Observer.
func (l *loop) ClientLeft(x *exchange.Exchange) {
	l.post(func() {
		l.counters.left.Add(1)
		if x.ID == 0 { // not registered
			return
		}
		l.forget(x.ID) // without an active attempt no AttemptEnded follows
		if i := slices.Index(l.awaitingServer, x); i >= 0 {
			l.awaitingServer = slices.Delete(l.awaitingServer, i, i+1)
		}
		l.handle(balance.ClientDisconnected{ID: x.ID})
	})
}

// AttemptAccepted implements exchange.Observer.
func (l *loop) AttemptAccepted(x *exchange.Exchange, a exchange.Attempt, elapsed time.Duration) {
	l.post(func() {
		l.counters.served.Add(1)
		if len(x.Head.PreviousServer) > 0 {
			l.handle(balance.ExistingConnection{Request: l.balancerRequest(x), Server: a.Server})
		} else {
			l.handle(balance.AttemptAccepted{ID: x.ID, Attempt: a.Number, Server: a.Server, Elapsed: elapsed})
		}
		if l.draining[a.Server] { // since the attempt was sent
			l.onServerDraining(a.Server)
		}
	})
}

// AttemptEnded implements exchange.Observer.
func (l *loop) AttemptEnded(x *exchange.Exchange, a exchange.Attempt, outcome balance.Outcome, elapsed time.Duration,
	report *balance.LoadReport) {
	l.post(func() {
		l.invariants.attemptEnded(x, outcome, elapsed)
		unanswered := x.AwaitsAnswer()
		if unanswered && len(x.Head.PreviousServer) > 0 {
			l.onReconnectFailed(x, outcome)
			return
		} else if !unanswered {
			l.forget(x.ID)
		}
		l.handle(balance.AttemptEnded{ID: x.ID, Attempt: a.Number, Server: a.Server, Outcome: outcome,
			Elapsed: elapsed, Final: !unanswered, Report: report, GoAway: x.IsMovedByServer()})
	})
}

// ResponseTime implements exchange.Observer. A measurement is dropped while the event queue is full.
func (l *loop) ResponseTime(x *exchange.Exchange, server balance.ServerID, elapsed time.Duration) {
	select {
	case l.events <- func() { l.onMessageTime(x.ID, server, elapsed) }:
	default:
		l.counters.dropped.Add(1)
	}
}
