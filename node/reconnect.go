package node

import (
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/exchange"
	"brassmux/internal/settings"
)

// reconnectInterval is the delay between two attempts to connect a client to its former server.
const reconnectInterval = 200 * time.Millisecond

// reconnect connects a client to its former server, which the request names. The balancer makes no decision, but is
// informed of the established connection. While the server is not in the endpoint list, the client waits.
func (l *loop) reconnect(request *exchange.Exchange) {
	if !request.AwaitsAnswer() { // the client has left in the meantime
		return
	}
	id := balance.ServerID(settings.HashServerID(string(request.Head.PreviousServer)))
	addr := l.servers[id].Addr
	if addr == "" {
		l.awaitingServer = append(l.awaitingServer, request)
		time.AfterFunc(time.Until(request.Deadline), func() { l.post(func() { l.failAwaitingServer(request) }) })
		return
	}
	l.control.Acquire(control.Connects, uint64(id), quotaWait, func(ok bool) {
		if !ok {
			l.onReconnectFailed(request, balance.Abandoned)
			return
		}
		attempt := exchange.Attempt{Server: id, Addr: addr, ServerStartedAtMillis: l.servers[id].StartedAtMillis,
			SendDeadline: l.control.SendDeadline(control.Connects)}
		l.backend.StartAttempt(request, attempt, 0)
	})
	l.control.SendRequests()
}

// failAwaitingServer fails a request whose server has not appeared in the endpoint list in time.
func (l *loop) failAwaitingServer(request *exchange.Exchange) {
	if index := slices.Index(l.awaitingServer, request); index >= 0 {
		l.awaitingServer = slices.Delete(l.awaitingServer, index, index+1)
		l.fail(request, "no such server")
	}
}

// onReconnectFailed retries a request if the server has not seen it and the deadline allows it, and otherwise fails it.
func (l *loop) onReconnectFailed(request *exchange.Exchange, outcome balance.Outcome) {
	if outcome.NotExecuted() && time.Until(request.Deadline) > reconnectInterval {
		time.AfterFunc(reconnectInterval, func() { l.post(func() { l.reconnect(request) }) })
		return
	}
	l.fail(request, "not up again")
}
