package node

import (
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/exchange"
	"brassmux/internal/settings"
)

// reconnectInterval is the pause between two attempts to connect a client to its former server.
const reconnectInterval = 200 * time.Millisecond

// reconnect connects a client to the server that it names, without a decision of the balancer, which learns of the
// established connection. While no list has named the server, the client waits.
func (l *loop) reconnect(x *exchange.Exchange) {
	if !x.AwaitsAnswer() { // the client has left meanwhile
		return
	}
	id := balance.ServerID(settings.HashServerID(string(x.Head.PreviousServer)))
	addr := l.servers[id].Addr
	if addr == "" {
		l.awaitingServer = append(l.awaitingServer, x)
		time.AfterFunc(time.Until(x.Deadline), func() { l.post(func() { l.failAwaitingServer(x) }) })
		return
	}
	l.control.Acquire(control.Connects, uint64(id), quotaWait, func(ok bool) {
		if !ok {
			l.onReconnectFailed(x, balance.Abandoned)
			return
		}
		attempt := exchange.Attempt{Server: id, Addr: addr, ServerStartedAtMillis: l.servers[id].StartedAtMillis,
			SendDeadline: l.control.SendDeadline(control.Connects)}
		l.backend.StartAttempt(x, attempt, 0)
	})
	l.control.SendRequests()
}

// failAwaitingServer fails a client whose server no list has named in time.
func (l *loop) failAwaitingServer(x *exchange.Exchange) {
	if i := slices.Index(l.awaitingServer, x); i >= 0 {
		l.awaitingServer = slices.Delete(l.awaitingServer, i, i+1)
		l.fail(x, "no such server")
	}
}

// onReconnectFailed retries while there is time and the server has not seen the client, and else fails it.
func (l *loop) onReconnectFailed(x *exchange.Exchange, outcome balance.Outcome) {
	if outcome.NotExecuted() && time.Until(x.Deadline) > reconnectInterval {
		time.AfterFunc(reconnectInterval, func() { l.post(func() { l.reconnect(x) }) })
		return
	}
	l.fail(x, "not up again")
}
