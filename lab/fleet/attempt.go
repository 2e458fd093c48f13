package fleet

import (
	"time"

	"brassmux/balance"
)

// attempt is one attempt to connect a request to a server.
type attempt struct {
	request *request
	server  *server
	number  int // index among the request's attempts, from 0
}

// isPending reports whether the attempt is in flight.
func (a attempt) isPending() bool {
	return a.request.server == a.server && !a.request.accepted && !a.request.ended
}

// startAttempt sends a request to the server that its node has selected.
func (sim *simulation) startAttempt(r *request, action balance.Attempt) {
	a := attempt{request: r, server: sim.serverByID(action.Server), number: r.attempts}
	sim.countAtServer(counterAttempts, a.server)
	r.attempts++
	if r.server != nil {
		sim.recordViolation(&sim.result.Violations.Duplicates,
			"node %d request %d: attempt %d while another is in flight", r.node.index, r.id, a.number)
		return
	}
	sim.checkDrainGrace(a)
	r.server = a.server
	timeout := r.deadline - sim.now
	if action.Timeout > 0 {
		timeout = min(timeout, action.Timeout)
	}
	switch {
	case a.server.endpoint.State == balance.Removed || a.server.overloaded:
		sim.failAttempt(a, 2*networkDelay)
	case a.server.unreachable:
		sim.failAttempt(a, min(silenceTimeout, timeout))
	default:
		sim.recordSlowStartSend(a.server, r.node)
		delay := 2*networkDelay + time.Duration(sim.scenario.Server.AcceptDelay)
		r.node.schedule(delay, func() { sim.accept(a) })
	}
}

// checkDrainGrace records a violation if the grace period has passed since the node was notified that the server is
// draining or removed.
func (sim *simulation) checkDrainGrace(a attempt) {
	n, serverID := a.request.node, a.server.endpoint.ID
	notifiedAt, notified := n.leavingSince[serverID]
	if notified && sim.now > notifiedAt+time.Duration(sim.scenario.Server.DrainGrace) {
		sim.recordViolation(&sim.result.Violations.LateSends,
			"node %d request %d: sent to server %d, notified of its drain %v ago",
			n.index, a.request.id, serverID, (sim.now - notifiedAt).Round(time.Millisecond))
	}
}

// failAttempt reports after a delay that an attempt failed to connect.
func (sim *simulation) failAttempt(a attempt, delay time.Duration) {
	r := a.request
	r.node.schedule(delay, func() {
		if a.isPending() {
			r.server = nil
			sim.count(counterFailedAttempts)
			r.node.handle(balance.AttemptEnded{ID: r.id, Attempt: a.number, Server: a.server.endpoint.ID,
				Outcome: balance.ConnectFailed, Elapsed: delay})
		}
	})
}

// accept turns an attempt into a connection, or ends it if its server has failed since the attempt was sent.
func (sim *simulation) accept(a attempt) {
	r, s := a.request, a.server
	if !a.isPending() {
		return
	}
	if !s.isServing() {
		r.server = nil
		r.node.handle(balance.AttemptEnded{ID: r.id, Attempt: a.number, Server: s.endpoint.ID, Outcome: balance.Reset})
		return
	}
	r.accepted, r.answered, r.client.connection = true, true, r
	s.connections[r] = true
	s.load += r.client.load
	if r.client.group != "" {
		s.groups[r.client.group]++
	}
	sim.count(counterAccepted)
	r.node.handle(balance.AttemptAccepted{ID: r.id, Attempt: a.number, Server: s.endpoint.ID,
		Elapsed: time.Duration(sim.scenario.Server.AcceptDelay)})
	if s.endpoint.State == balance.Draining {
		sim.schedule(networkDelay, func() { sim.endConnection(r, balance.Cancelled, true) })
	}
	sim.schedule(max(r.client.wantedUntil-sim.now, 0), func() { sim.endConnection(r, balance.OK, false) })
}

// endConnection ends an accepted connection. goAway indicates that the server requested the end. It does nothing if the
// connection has already ended.
func (sim *simulation) endConnection(r *request, outcome balance.Outcome, goAway bool) {
	if !r.accepted || r.ended {
		return
	}
	r.ended = true
	r.server.remove(r)
	if goAway {
		sim.count(counterGoAway)
	} else if outcome == balance.Reset {
		sim.count(counterReset)
	}
	if outcome != balance.OK {
		sim.scheduleReconnect(r.client)
	}
	delete(r.node.requests, r.id)
	if r.isCurrent() {
		r.node.handle(balance.AttemptEnded{ID: r.id, Attempt: r.attempts - 1, Server: r.server.endpoint.ID,
			Outcome: outcome, Final: true, GoAway: goAway})
	}
}

// remove deletes a connection and subtracts its load from the server.
func (s *server) remove(r *request) {
	delete(s.connections, r)
	s.load -= r.client.load
	if group := r.client.group; group != "" {
		if s.groups[group]--; s.groups[group] == 0 {
			delete(s.groups, group)
		}
	}
}
