package fleet

import (
	"slices"
	"time"

	"brassmux/balance"
)

// maxUpdateDelay is the maximum time from the publication of a change to its delivery to a watching node.
const maxUpdateDelay = 100 * time.Millisecond

// watchEndpoints makes a node's call of discovery. Calls are processed one at a time. A call that waits longer than the
// timeout fails but still takes its processing time; a call beyond the queue limit fails immediately.
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

// breakWatch notifies the node that its watch has ended.
func (n *node) breakWatch() {
	n.sim.count(counterBrokenWatches)
	n.handle(balance.EndpointUpdate{Kind: balance.WatchBroken})
}

// failWatch notifies the node that its call of discovery has failed.
func (n *node) failWatch(calledAt time.Duration) {
	n.sim.count(counterFailedWatchCalls)
	n.handle(balance.EndpointUpdate{Kind: balance.WatchFailed, ServiceWait: n.sim.now - calledAt})
}

// deliverChanges delivers the endpoint changes that the node has not received yet.
func (n *node) deliverChanges() {
	changes := n.sim.endpointChanges[n.changesSeen:]
	n.changesSeen = len(n.sim.endpointChanges)
	for _, endpoint := range changes {
		if _, notified := n.leavingSince[endpoint.ID]; endpoint.State == balance.Ready {
			delete(n.leavingSince, endpoint.ID)
		} else if !notified {
			n.leavingSince[endpoint.ID] = n.sim.now
		}
	}
	n.handle(balance.EndpointUpdate{Kind: balance.ListDelta, Servers: slices.Clone(changes)})
}

// publish adds a server's endpoint to discovery after the propagation delay, and delivers it to the watching nodes.
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
