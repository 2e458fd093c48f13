package fleet

import (
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/budget"
)

// budgetKind identifies the only kind of budget that is leased: attempts at a server in slow start.
const budgetKind = 1

// leases is a node's part in dividing the attempt limits of servers in slow start among the nodes. It uses package
// budget like a node on sockets, and implements balance.SlowStartQuotas.
type leases struct {
	node           *node
	config         balance.Config
	member         *budget.Member
	currentStart   map[balance.ServerID]time.Duration // start times of the ready servers; 0 means long ago
	firstStart     map[balance.ServerID]time.Duration // start time with which each server was first listed
	requestPending bool                               // a request is to be sent at the end of the event
	nextTickAt     time.Duration                      // time of the next scheduled tick
}

func newLeases(n *node, config balance.Config, incarnation uint64) *leases {
	quotas := n.sim.scenario.Quotas
	l := &leases{
		node:         n,
		config:       config,
		currentStart: map[balance.ServerID]time.Duration{},
		firstStart:   map[balance.ServerID]time.Duration{},
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
	return budget.ID{Kind: budgetKind, Subject: uint64(server), Since: int64(l.currentStart[server])}
}

// addTotals adds the member's counters, which cover one incarnation of the node, to the result.
func (l *leases) addTotals() {
	counters, totals := l.member.Counters, l.node.sim.result.Totals
	totals[counterGuaranteedAttempts] += int(counters.Reserved)
	totals[counterLeasedAttempts] += int(counters.Leased)
	totals[counterDeniedAttempts] += int(counters.Denied)
	totals[counterExpiredLeases] += int(counters.Expired)
	totals[counterLeaderChanges] += int(counters.LeaderChanges)
}

// Remaining returns the number of attempts at a server that the node may start now.
func (l *leases) Remaining(server balance.ServerID) int {
	return l.member.Available(l.node.sim.now, l.budgetID(server))
}

// RequestMore schedules a request for a larger quota at the end of the event, and reports whether an answer will
// follow.
func (l *leases) RequestMore(server balance.ServerID) bool {
	requested := l.member.Request(l.node.sim.now, l.budgetID(server))
	l.requestPending = l.requestPending || requested
	return requested
}

// Take uses one attempt of the quota, and reports whether one was left.
func (l *leases) Take(server balance.ServerID) bool {
	return l.member.Acquire(l.node.sim.now, l.budgetID(server))
}

// afterEvent applies the endpoint list of an event, if it has one, and sends the requests made during the event.
func (l *leases) afterEvent(event balance.Event) {
	update, isUpdate := event.(balance.EndpointUpdate)
	if isUpdate && update.Kind != balance.WatchFailed && update.Kind != balance.WatchBroken {
		for _, endpoint := range update.Servers {
			l.updateEndpoint(endpoint)
		}
		for id := range l.currentStart {
			l.defineBudget(id)
		}
	}
	if l.requestPending {
		l.tick()
	}
}

// updateEndpoint records a server's state. It drops the server's budget if the server restarted or is no longer ready.
func (l *leases) updateEndpoint(endpoint balance.Server) {
	isReady := endpoint.State == balance.Ready
	if startedAt, known := l.currentStart[endpoint.ID]; known && (startedAt != endpoint.StartedAt || !isReady) {
		l.member.Drop(l.budgetID(endpoint.ID))
		delete(l.currentStart, endpoint.ID)
	}
	if _, known := l.firstStart[endpoint.ID]; !known {
		l.firstStart[endpoint.ID] = endpoint.StartedAt
	}
	if isReady {
		l.currentStart[endpoint.ID] = endpoint.StartedAt
	}
}

// defineBudget defines the budget of a ready server while it is in slow start, and drops it afterwards.
func (l *leases) defineBudget(id balance.ServerID) {
	now, startedAt := l.node.sim.now, l.currentStart[id]
	if startedAt == 0 || now >= startedAt+l.config.SlowStartWindow {
		l.member.Drop(l.budgetID(id))
		return
	}
	limit, baseLimit := l.config.WarmServerAttemptLimit(len(l.currentStart)), 1
	if l.firstStart[id] != startedAt { // restarted under the same ID: nodes not yet notified also send to it
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
	l.requestPending = false
	l.perform(l.member.Tick(l.node.sim.now))
}

// send delivers a message to the node at an index after the network delay. It is lost if that node is down by then.
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

// perform executes the member's actions. Answered requests are passed to the balancer last, because the balancer's
// actions may call the member again.
func (l *leases) perform(actions []budget.Action) {
	sim, n := l.node.sim, l.node
	var answered []balance.ServerID
	for _, a := range slices.Clone(actions) {
		switch a := a.(type) {
		case budget.ScheduleTick:
			if at := sim.now + a.After; l.nextTickAt <= sim.now || at < l.nextTickAt {
				l.nextTickAt = at
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
