package fleet

import (
	"cmp"
	"slices"
	"time"

	"brassmux/balance"
)

// className is the class of all requests.
const className = "c"

// node is a simulated node: a balancer with the requests, the endpoint watch and the leases that it acts on.
type node struct {
	sim           *simulation
	index         int
	balancer      Balancer
	incarnation   int // number of starts so far
	alive         bool
	leaving       bool // shutting down, and accepting no new clients
	watching      bool
	changesSeen   int                                // number of simulation.endpointChanges delivered to the node
	leases        *leases                            // nil with fixed quotas
	messagesSent  int                                // lease messages to other nodes
	leavingSince  map[balance.ServerID]time.Duration // when the node was notified of the drain or removal
	requests      map[balance.RequestID]*request
	lastRequestID balance.RequestID
}

// start begins a new incarnation, which loads the initial endpoint list as its cached list.
func (n *node) start() {
	sim := n.sim
	n.incarnation++
	n.alive, n.leaving, n.watching, n.changesSeen, n.lastRequestID = true, false, false, 0, 0
	n.leavingSince = map[balance.ServerID]time.Duration{}
	n.requests = map[balance.RequestID]*request{}
	config := n.config()
	seed := sim.random.Uint64()
	if n.leases != nil {
		n.leases.addTotals()
	}
	if sim.scenario.Quotas.Leased {
		n.leases = newLeases(n, config, seed)
		config.SlowStartQuotas = n.leases
	}
	n.balancer = sim.newBalancer(config, seed)
	var endpoints []balance.Server
	for i := range sim.scenario.Servers {
		endpoints = append(endpoints, newEndpoint(i, 0))
	}
	n.handle(balance.EndpointUpdate{Kind: balance.ListCached, Servers: endpoints})
}

// config returns the configuration of the node's balancer.
func (n *node) config() balance.Config {
	const targetUtilization = 0.85
	scenario := n.sim.scenario
	server := scenario.Server
	return balance.Config{
		NodeCount:           scenario.Nodes,
		NodeIndex:           n.index,
		MaxAttempts:         3,
		HealthChecksAllowed: true,
		Classes: map[string]balance.Class{
			className: {Idempotency: balance.Idempotent, MessageObjective: 100 * time.Millisecond},
		},
		MaxRetryAfter:        time.Second,
		TickInterval:         5 * time.Millisecond,
		SlowStartMinCapacity: server.SlowStartMinCapacity,
		SlowStartWindow:      time.Duration(server.SlowStartWindow),
		OverloadFactor:       server.OverloadFactor,
		OverloadWindow:       time.Duration(server.OverloadWindow),
		ConnectionCapacity:   targetUtilization * server.Capacity * float64(scenario.Servers),
	}
}

// handle passes an event to the balancer and executes the resulting actions.
func (n *node) handle(event balance.Event) {
	for _, a := range slices.Clone(n.balancer.Handle(n.sim.now, event)) {
		n.perform(a)
	}
	if n.leases != nil {
		n.leases.afterEvent(event)
	}
}

// schedule runs a function after a delay, unless the node's incarnation has ended by then.
func (n *node) schedule(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.sim.schedule(delay, func() {
		if n.alive && n.incarnation == incarnation {
			run()
		}
	})
}

// perform executes an action of the balancer.
func (n *node) perform(a balance.Action) {
	sim := n.sim
	switch a := a.(type) {
	case balance.SetTimer:
		n.schedule(max(a.After, 0), func() { n.handle(balance.TimerFired{Token: a.Token}) })
	case balance.WatchEndpoints:
		sim.watchEndpoints(n)
	case balance.HealthCheck:
		sim.checkHealth(n, a.Server)
	case balance.Attempt:
		if r := n.requests[a.ID]; r != nil {
			sim.startAttempt(r, a)
		}
	case balance.Reject:
		sim.count(counterRejectedPrefix + cmp.Or(a.Reason, "no reason"))
		n.finishRequest(a.ID)
	case balance.Fail:
		sim.count(counterFailed)
		n.finishRequest(a.ID)
	case balance.Migrate:
		if r := n.requests[a.ID]; r != nil && r.accepted {
			sim.count(counterMigrated)
			sim.endConnection(r, balance.Cancelled, false)
		}
	}
}

// finishRequest records that a request was rejected or failed, which is its final answer.
func (n *node) finishRequest(id balance.RequestID) {
	r := n.requests[id]
	if r == nil || r.answered {
		n.sim.recordViolation(&n.sim.result.Violations.Unanswered, "node %d request %d: a second answer", n.index, id)
		return
	}
	r.answered = true
	delete(n.requests, id)
	n.sim.scheduleReconnect(r.client)
}
