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

// onRequest handles a new request. Any goroutine except the loop's may call it.
func (l *loop) onRequest(request *exchange.Exchange) {
	l.post(func() {
		if !request.AwaitsAnswer() { // the client has left or was rejected
			return
		}
		l.register(request)
		switch {
		case l.failsNewRequests:
			l.failWhileStopping(request)
		case len(request.Head.PreviousServer) > 0:
			l.counters.reconnects.Add(1)
			l.control.HoldConnection(request.ID, customerHash(request.Head), false)
			l.reconnect(request)
		default:
			l.admit(request)
			l.control.SendRequests()
		}
	})
}

// admit passes a request to the balancer if the quotas of its customer allow it, and otherwise rejects it.
func (l *loop) admit(request *exchange.Exchange) {
	customer := customerHash(request.Head)
	reject := func() { l.reject(request.ID, l.control.RetryAfter()) }
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
			l.onAdmitted(request, customer)
		})
	})
}

// onAdmitted passes a request to the balancer after its customer's quotas have been acquired.
func (l *loop) onAdmitted(request *exchange.Exchange, customer uint64) {
	l.control.HoldConnection(request.ID, customer, true)
	if l.requests[request.ID] == nil { // the client has left while it waited for the quotas
		l.control.ReleaseConnection(request.ID)
		return
	}
	l.handle(l.balancerRequest(request))
}

// customerHash identifies the customer of a request for the quotas that apply per customer.
func customerHash(head *exchange.Head) uint64 {
	if len(head.Group) > 0 {
		return xxhash.Sum64(head.Group)
	}
	return xxhash.Sum64(head.Key)
}

// register assigns an ID to a request and stores it.
func (l *loop) register(request *exchange.Exchange) {
	l.lastRequestID++
	request.ID = l.lastRequestID
	l.requests[request.ID] = request
}

// unregister removes a request and releases its customer's quota. It returns nil if the request is not registered.
func (l *loop) unregister(id balance.RequestID) *exchange.Exchange {
	request := l.requests[id]
	delete(l.requests, id)
	l.control.ReleaseConnection(id)
	return request
}

// balancerRequest returns a request in the form that the balancer takes.
func (l *loop) balancerRequest(request *exchange.Exchange) balance.Request {
	head := request.Head
	return balance.Request{ID: request.ID, Class: string(head.Class), ClientKey: string(head.Key),
		Group: string(head.Group), Timeout: time.Until(request.Deadline), Reconnect: head.IsRepeat}
}

// reject answers a request with BUSY, and with the time after which to retry unless that is 0.
func (l *loop) reject(id balance.RequestID, retryAfter time.Duration) {
	request := l.unregister(id)
	if request == nil {
		return
	}
	response := "BUSY"
	if ms := retryAfter.Milliseconds(); ms > 0 {
		response += " " + strconv.FormatInt(ms, 10)
	}
	l.counters.rejected.Add(1)
	request.Answer(exchange.Rejected, response)
}

// fail answers a request with ERR, which implies that it may have been executed.
func (l *loop) fail(request *exchange.Exchange, reason string) {
	l.unregister(request.ID)
	l.counters.failed.Add(1)
	request.Answer(exchange.Failed, "ERR "+reason)
}

// failUnanswered fails all requests without an answer, and all later requests, because the process is about to end.
func (l *loop) failUnanswered() {
	l.failsNewRequests = true
	for _, request := range l.requests {
		if request.AwaitsAnswer() {
			l.failWhileStopping(request)
		}
	}
}

// failWhileStopping fails a request because the process is about to end.
func (l *loop) failWhileStopping(request *exchange.Exchange) {
	l.fail(request, "stopping")
	l.handle(balance.ClientDisconnected{ID: request.ID})
}

// ClientLeft is part of exchange.Observer.
func (l *loop) ClientLeft(request *exchange.Exchange) {
	l.post(func() {
		l.counters.disconnected.Add(1)
		if request.ID == 0 { // not registered
			return
		}
		l.unregister(request.ID) // AttemptEnded would do it only if an attempt is in flight
		if index := slices.Index(l.awaitingServer, request); index >= 0 {
			l.awaitingServer = slices.Delete(l.awaitingServer, index, index+1)
		}
		l.handle(balance.ClientDisconnected{ID: request.ID})
	})
}

// AttemptAccepted is part of exchange.Observer.
func (l *loop) AttemptAccepted(request *exchange.Exchange, attempt exchange.Attempt, elapsed time.Duration) {
	l.post(func() {
		l.counters.served.Add(1)
		if len(request.Head.PreviousServer) > 0 {
			l.handle(balance.ExistingConnection{Request: l.balancerRequest(request), Server: attempt.Server})
		} else {
			l.handle(balance.AttemptAccepted{ID: request.ID, Attempt: attempt.Number, Server: attempt.Server,
				Elapsed: elapsed})
		}
		if l.drainingServers[attempt.Server] { // it began to drain after the attempt was sent
			l.onServerDraining(attempt.Server)
		}
	})
}

// AttemptEnded is part of exchange.Observer.
func (l *loop) AttemptEnded(request *exchange.Exchange, attempt exchange.Attempt, outcome balance.Outcome,
	elapsed time.Duration, report *balance.LoadReport) {
	l.post(func() {
		l.invariants.attemptEnded(request, outcome, elapsed)
		isUnanswered := request.AwaitsAnswer()
		if isUnanswered && len(request.Head.PreviousServer) > 0 {
			l.onReconnectFailed(request, outcome)
			return
		} else if !isUnanswered {
			l.unregister(request.ID)
		}
		l.handle(balance.AttemptEnded{ID: request.ID, Attempt: attempt.Number, Server: attempt.Server, Outcome: outcome,
			Elapsed: elapsed, Final: !isUnanswered, Report: report, GoAway: request.IsMovedByServer()})
	})
}

// ResponseTime is part of exchange.Observer. It drops the measurement if the event queue is full.
func (l *loop) ResponseTime(request *exchange.Exchange, server balance.ServerID, elapsed time.Duration) {
	select {
	case l.events <- func() { l.onMessageTime(request.ID, server, elapsed) }:
	default:
		l.counters.droppedMessageTimes.Add(1)
	}
}
