package fleet

import (
	"slices"
	"time"

	"brassmux/balance"
)

// maxUpdateDelay bounds the time from discovery's knowledge of a change to a watching node.
const maxUpdateDelay = 100 * time.Millisecond

// watchEndpoints calls discovery for a node. Calls are served one after another; one that waits beyond the timeout
// fails but still takes its service time, and one beyond the queue limit fails at once.
func (sim *simulation) watchEndpoints(n *node) {
	sim.count(counterWatchCalls)
	settings := sim.scenario.Discovery
	serviceTime := time.Duration(float64(time.Second) / settings.CallsPerSecond)
	timeout := time.Duration(settings.CallTimeout)
	calledAt := sim.now
	fail := func(delay time.Duration) { n.schedule(delay, func() { n.failWatch(calledAt) }) }
	wait := max(sim.discoveryBusyUntil, sim.now) + serviceTime - sim.now
	switch {
	case sim.now < sim.discoveryDownUntil:
		fail(timeout)
		return
	case wait > time.Duration(settings.QueueLimit)*serviceTime:
		fail(2 * networkDelay)
		return
	}
	sim.discoveryBusyUntil = sim.now + wait
	if wait > timeout {
		fail(timeout)
		return
	}
	n.schedule(wait, func() {
		if sim.now < sim.discoveryDownUntil {
			n.failWatch(calledAt)
			return
		}
		n.watching = true
		n.deliverChanges()
	})
}

// breakWatch notifies a node that its watch has ended.
func (n *node) breakWatch() {
	n.sim.count(counterBrokenWatches)
	n.handle(balance.EndpointUpdate{Kind: balance.WatchBroken})
}

// failWatch notifies a node that its call has failed.
func (n *node) failWatch(calledAt time.Duration) {
	n.sim.count(counterFailedWatchCalls)
	n.handle(balance.EndpointUpdate{Kind: balance.WatchFailed, ServiceWait: n.sim.now - calledAt})
}

// deliverChanges brings a node the endpoint changes that it has not seen.
func (n *node) deliverChanges() {
	changes := n.sim.endpointChanges[n.changesSeen:]
	n.changesSeen = len(n.sim.endpointChanges)
	for _, s := range changes {
		if _, seen := n.removalSeenAt[s.ID]; s.State == balance.Ready {
			delete(n.removalSeenAt, s.ID)
		} else if !seen {
			n.removalSeenAt[s.ID] = n.sim.now
		}
	}
	n.handle(balance.EndpointUpdate{Kind: balance.ListDelta, Servers: slices.Clone(changes)})
}

// publish makes a server's endpoint known to discovery after the propagation delay, and to the nodes that watch.
func (sim *simulation) publish(s *server) {
	endpoint := s.endpoint
	sim.schedule(time.Duration(sim.scenario.Discovery.PropagationDelay), func() {
		sim.endpointChanges = append(sim.endpointChanges, endpoint)
		for _, n := range sim.nodes {
			n.schedule(sim.uniform(networkDelay, maxUpdateDelay), func() {
				if n.watching && n.changesSeen < len(sim.endpointChanges) {
					n.deliverChanges()
				}
			})
		}
	})
}
