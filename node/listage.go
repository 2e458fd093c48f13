package node

import (
	"context"
	"time"

	"brassmux/balance"
	"brassmux/internal/settings"
)

const (
	// reportDelay is the time after which a change of the endpoint list counts as received, even if it did not
	// arrive. Where lists are pushed, it counts as received at once if the agent has it.
	reportDelay = 6 * time.Second
	// reloadReportDelay takes its place after a change of the discovery address, in either case.
	reloadReportDelay = 4 * time.Second
	// maxSuspension is the longest time for which the process is held up between a decision and its effect.
	maxSuspension = 150 * time.Millisecond
	// minListAge is the least limit of the list's age, because 0 means no limit.
	minListAge = time.Millisecond
	// outageListAge is the age of the list at which the discovery service counts as unavailable. It takes a call of
	// every node within 9 s, and would have done so by then even after an outage of 8 s.
	outageListAge = 20 * time.Second
	// maxReadyDelay bounds the time for which a new process is not ready because it has no usable list.
	maxReadyDelay = 5 * time.Second
)

// limitListAge limits the age of the endpoint list so that no server gets requests once its drain counts as received
// and the grace period is over. There is no limit if only drains that this node has received count.
func limitListAge(config *balance.Config, site *settings.Site) {
	if site.Servers.KeepUnlistedServers {
		return
	}
	grace := settings.Microseconds(site.Servers.DrainGraceMicros) - maxSuspension
	config.MaxListAge, config.PushedListAge = max(reportDelay+grace, minListAge), max(grace, minListAge)
	config.OutageListAge = outageListAge
}

// startList passes the initial list to the balancer. A list that the predecessor has handed over has the age that it
// had there. Where lists are pushed, any change that was made before the start of the process counts as received when
// it starts, so that an initial list of another origin has no known age.
func (l *loop) startList(state *inheritedState) {
	if state != nil {
		l.initialEndpoints.ConfirmedAt = l.now() - state.listAge()
	} else {
		l.initialEndpoints.AgeUnknown = l.endpointsPushed
	}
	l.handle(l.initialEndpoints)
}

// reloadUpdate returns the update that starts the age of the list after a change of the discovery address. What the new
// service has counts as received after reloadReportDelay.
func (l *loop) reloadUpdate() balance.EndpointUpdate {
	countsAt := l.now() + reloadReportDelay
	return balance.EndpointUpdate{Kind: balance.WatchBroken, ConfirmedAt: countsAt - reportDelay,
		WatchedUntil: countsAt}
}

// awaitUsableList waits until requests can be placed without a wait for the endpoint list, but not for long: other
// nodes may have a list, but if none has, clients had better wait here. It returns early if ctx ends.
func (n *Node) awaitUsableList(ctx context.Context) {
	select {
	case <-n.loop.listUsable:
	case <-ctx.Done():
	case <-time.After(maxReadyDelay):
	}
}

// noteUsableList closes listUsable once requests can be placed without a wait for the endpoint list.
func (l *loop) noteUsableList() {
	select {
	case <-l.listUsable:
	default:
		if !l.balancer.ListExpired(l.now()) {
			close(l.listUsable)
		}
	}
}
