package node

import (
	"time"

	"brassmux/balance"
	"brassmux/internal/settings"
)

const (
	// reportDelay is the time after which a change of the endpoint list counts as received, even if it did not
	// arrive.
	reportDelay = 6 * time.Second
	// reloadReportDelay takes its place after a change of the discovery address.
	reloadReportDelay = 4 * time.Second
	// maxSuspension is the longest time for which the process is held up between a decision and its effect.
	maxSuspension = 150 * time.Millisecond
	// outageListAge is the age of the list at which the discovery service counts as unavailable. It takes a call of
	// every node within 9 s, and would have done so by then even after an outage of 8 s.
	outageListAge = 20 * time.Second
)

// limitListAge limits the age of the endpoint list so that no server gets requests once its drain counts as received
// and the grace period is over. There is no limit if only drains that this node has received count.
func limitListAge(config *balance.Config, site *settings.Site) {
	if site.Servers.KeepUnlistedServers {
		return
	}
	config.MaxListAge = reportDelay + settings.Microseconds(site.Servers.DrainGraceMicros) - maxSuspension
	config.OutageListAge = outageListAge
}
