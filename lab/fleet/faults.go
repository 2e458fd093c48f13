package fleet

import (
	"time"

	"brassmux/balance"
)

// injectors maps each kind of fault to the function that injects it.
var injectors = map[string]func(*simulation, Fault){
	"discovery_down":  (*simulation).stopDiscovery,
	"kill_nodes":      (*simulation).killNodes,
	"lose_servers":    (*simulation).disconnectServers,
	"reconnect":       (*simulation).reconnectClients,
	"replace_servers": (*simulation).replaceServers,
	"restart_nodes":   (*simulation).restartNodes,
	"slow_servers":    (*simulation).slowServers,
}

// delay returns the delay after which the fault affects the target at an index, out of count targets.
func (f Fault) delay(index, count int) time.Duration {
	return time.Duration(float64(f.Stagger) * float64(index) / float64(max(count, 1)))
}

// injectStaggered injects a fault into a random sample of count targets, one after another.
func (sim *simulation) injectStaggered(f Fault, count int, inject func(target int)) {
	targets := sim.sample(count, f.Fraction)
	for i, target := range targets {
		sim.schedule(f.delay(i, len(targets)), func() { inject(target) })
	}
}

func (sim *simulation) stopDiscovery(f Fault) {
	sim.discoveryDownUntil = sim.now + time.Duration(f.Duration)
	for _, n := range sim.nodes {
		if n.alive && n.watching {
			n.watching = false
			n.schedule(networkDelay, n.breakWatch)
		}
	}
}

func (sim *simulation) killNodes(f Fault) {
	sim.injectStaggered(f, len(sim.nodes), func(i int) { sim.nodes[i].kill(time.Duration(f.Duration)) })
}

func (sim *simulation) restartNodes(f Fault) {
	sim.injectStaggered(f, len(sim.nodes), func(i int) { sim.nodes[i].restart(time.Duration(f.Duration)) })
}

func (sim *simulation) replaceServers(f Fault) {
	sim.injectStaggered(f, len(sim.servers), func(i int) {
		sim.replaceServer(sim.servers[i], time.Duration(f.Duration))
	})
}

func (sim *simulation) reconnectClients(f Fault) {
	for _, i := range sim.sample(len(sim.clients), f.Fraction) {
		if r := sim.clients[i].connection; r != nil {
			sim.schedule(f.delay(i, len(sim.clients)), func() { sim.endConnection(r, balance.Cancelled, false) })
		}
	}
}

// disconnectServers makes servers unreachable for the fault's duration, after which they restart in slow start.
func (sim *simulation) disconnectServers(f Fault) {
	for _, i := range sim.sample(len(sim.servers), f.Fraction) {
		s := sim.servers[i]
		s.unreachable = true
		sim.resetConnections(s)
		sim.schedule(time.Duration(f.Duration), func() {
			s.unreachable, s.endpoint.StartedAt, s.slowStartSends = false, sim.now, nil
			sim.publish(s)
		})
	}
}

func (sim *simulation) slowServers(f Fault) {
	for _, i := range sim.sample(len(sim.servers), f.Fraction) {
		s := sim.servers[i]
		s.capacityFraction = f.CapacityFraction
		sim.schedule(time.Duration(f.Duration), func() { s.capacityFraction = 1 })
	}
}

// kill stops a node, resets its connections and starts the node again after the downtime.
func (n *node) kill(downtime time.Duration) {
	if !n.alive {
		return
	}
	sim := n.sim
	sim.count(counterNodesKilled)
	n.alive, n.watching = false, false
	for _, s := range sim.servers {
		for _, r := range s.sortedConnections() {
			if r.node == n {
				sim.endConnection(r, balance.Reset, false)
			}
		}
	}
	for requestID := balance.RequestID(1); requestID <= n.lastRequestID; requestID++ { // in order, for reproducibility
		if r := n.requests[requestID]; r != nil && !r.answered {
			r.answered, r.ended = true, true
			sim.scheduleReconnect(r.client)
		}
	}
	sim.schedule(downtime, n.start)
}

// restart shuts a node down gracefully. The node accepts no new clients and migrates its connections for the shutdown
// time; then the remaining connections are reset and the node starts again.
func (n *node) restart(shutdown time.Duration) {
	if !n.alive || n.leaving {
		return
	}
	n.leaving = true
	if n.leases != nil {
		n.leases.perform(n.leases.member.Leave(n.sim.now))
	}
	const announceInterval, downtime = 50 * time.Millisecond, 50 * time.Millisecond
	deadline := n.sim.now + shutdown
	var announce func()
	announce = func() {
		if n.sim.now >= deadline {
			n.kill(downtime)
			return
		}
		n.handle(balance.ShutdownAnnounced{})
		n.schedule(announceInterval, announce)
	}
	announce()
}

// replaceServer starts a new server. Once discovery has published it, the old server drains and is then removed.
func (sim *simulation) replaceServer(old *server, drain time.Duration) {
	if old.endpoint.State != balance.Ready {
		return
	}
	sim.publish(sim.addServer(sim.now))
	sim.schedule(time.Duration(sim.scenario.Discovery.PropagationDelay), func() {
		old.endpoint.State = balance.Draining
		sim.publish(old)
		for _, r := range old.sortedConnections() {
			sim.endConnection(r, balance.Cancelled, true)
		}
		sim.schedule(drain, func() {
			sim.resetConnections(old)
			old.endpoint.State = balance.Removed
			sim.publish(old)
		})
	})
}
