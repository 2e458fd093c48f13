package fleet

import (
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/budget"
)

// budgetKind is the only kind of budget that is leased: the attempts at a server in slow start.
const budgetKind = 1

// leases divides the limits of servers in slow start among the nodes, as the node on sockets does. It implements
// balance.SlowStartQuotas.
type leases struct {
	node             *node
	config           balance.Config
	member           *budget.Member
	readySince       map[balance.ServerID]time.Duration // starts of the ready servers; 0 is long ago
	firstStart       map[balance.ServerID]time.Duration // the start with which each was first listed
	isRequestPending bool                               // a request waits for the end of the event
	wakeAt           time.Duration                      // of the next tick
}

func newLeases(n *node, config balance.Config, incarnation uint64) *leases {
	quotas := n.sim.scenario.Quotas
	l := &leases{
		node:       n,
		config:     config,
		readySince: map[balance.ServerID]time.Duration{},
		firstStart: map[balance.ServerID]time.Duration{},
		member: budget.New(budget.Settings{
			Nodes:              config.NodeCount,
			Index:              config.NodeIndex,
			GuaranteedFraction: quotas.GuaranteedFraction,
			MaxWindow:          config.OverloadWindow,
			LeaseTerm:          time.Duration(quotas.LeaseTerm),
			HeartbeatInterval:  time.Duration(quotas.HeartbeatInterval),
		}, incarnation, n.sim.now),
	}
	n.schedule(0, l.tick)
	return l
}

func (l *leases) budgetID(server balance.ServerID) budget.ID {
	return budget.ID{Kind: budgetKind, Subject: uint64(server), Since: int64(l.readySince[server])}
}

// addTotals adds the counters of the node's incarnation to the result.
func (l *leases) addTotals() {
	counters, totals := l.member.Counters, l.node.sim.result.Totals
	totals[counterGuaranteedAttempts] += int(counters.Reserved)
	totals[counterLeasedAttempts] += int(counters.Leased)
	totals[counterDeniedAttempts] += int(counters.Denied)
	totals[counterExpiredLeases] += int(counters.Expired)
	totals[counterLeaderChanges] += int(counters.LeaderChanges)
}

// Remaining returns how many attempts at a server the node may start now.
func (l *leases) Remaining(server balance.ServerID) int {
	return l.member.Available(l.node.sim.now, l.budgetID(server))
}

// RequestMore asks for a larger quota at the end of the event, and reports whether one can be had.
func (l *leases) RequestMore(server balance.ServerID) bool {
	requested := l.member.Request(l.node.sim.now, l.budgetID(server))
	l.isRequestPending = l.isRequestPending || requested
	return requested
}

// Take takes one attempt from the quota, and reports whether there was one left.
func (l *leases) Take(server balance.ServerID) bool {
	return l.member.Acquire(l.node.sim.now, l.budgetID(server))
}

// afterEvent applies an endpoint list and sends the requests that the event gave rise to.
func (l *leases) afterEvent(ev balance.Event) {
	update, ok := ev.(balance.EndpointUpdate)
	if ok && update.Kind != balance.WatchFailed && update.Kind != balance.WatchBroken {
		for _, endpoint := range update.Servers {
			l.updateEndpoint(endpoint)
		}
		for id := range l.readySince {
			l.defineBudget(id)
		}
	}
	if l.isRequestPending {
		l.tick()
	}
}

// updateEndpoint notes a server's state, and drops its budget when the start it is for has ended.
func (l *leases) updateEndpoint(endpoint balance.Server) {
	isReady := endpoint.State == balance.Ready
	if startedAt, known := l.readySince[endpoint.ID]; known && (startedAt != endpoint.StartedAt || !isReady) {
		l.member.Drop(l.budgetID(endpoint.ID))
		delete(l.readySince, endpoint.ID)
	}
	if _, known := l.firstStart[endpoint.ID]; !known {
		l.firstStart[endpoint.ID] = endpoint.StartedAt
	}
	if isReady {
		l.readySince[endpoint.ID] = endpoint.StartedAt
	}
}

// defineBudget defines the budget of a ready server while it is in slow start, and drops it afterwards.
func (l *leases) defineBudget(id balance.ServerID) {
	now, startedAt := l.node.sim.now, l.readySince[id]
	if startedAt == 0 || now >= startedAt+l.config.SlowStartWindow {
		l.member.Drop(l.budgetID(id))
		return
	}
	limit, baseLimit := l.config.WarmServerAttemptLimit(len(l.readySince)), 1
	if l.firstStart[id] != startedAt { // it restarted under its ID, and nodes that know only its old start send too
		limit, baseLimit = limit*balance.NotifiedNodesFraction, 0
	}
	l.member.Define(now, budget.Spec{
		ID:           l.budgetID(id),
		BaseLimit:    baseLimit,
		RampFrom:     l.config.SlowStartMinCapacity,
		RampStart:    startedAt + l.config.OverloadWindow/2,
		RampDuration: l.config.SlowStartWindow,
		RampLimit:    limit,
		Window:       l.config.OverloadWindow,
	})
}

func (l *leases) tick() {
	l.isRequestPending = false
	l.perform(l.member.Tick(l.node.sim.now))
}

// send sends a message to the node with an index; it is lost if that node is down.
func (l *leases) send(index int, message budget.Message) {
	sim, sender := l.node.sim, l.node
	sim.count(counterMessages)
	sender.messagesSent++
	receiver := sim.nodes[index]
	sim.schedule(networkDelay, func() {
		if receiver.alive && receiver.leases != nil {
			receiver.leases.perform(receiver.leases.member.HandleMessage(sim.now, sender.index, message))
		}
	})
}

// perform performs the member's actions. The balancer hears of answered requests after the others, because its actions
// may call the member again.
func (l *leases) perform(actions []budget.Action) {
	sim, n := l.node.sim, l.node
	var answered []balance.ServerID
	for _, a := range slices.Clone(actions) {
		switch a := a.(type) {
		case budget.ScheduleTick:
			if at := sim.now + a.After; l.wakeAt <= sim.now || at < l.wakeAt {
				l.wakeAt = at
				n.schedule(a.After, l.tick)
			}
		case budget.SendRequest:
			l.send(a.To, a.Request)
		case budget.SendResponse:
			l.send(a.To, a.Response)
		case budget.RequestAnswered:
			answered = append(answered, balance.ServerID(a.ID.Subject))
		}
	}
	for _, id := range answered {
		n.handle(balance.HealthCheckResult{Server: id, Outcome: balance.OK})
	}
}
