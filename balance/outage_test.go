package balance

import (
	"fmt"
	"testing"
	"time"
)

// outageStart is the time at which the discovery service goes down in newOutageFleet: after servers have
// begun to drain, and before any watch counts as silent.
const outageStart = drainStart + 300*ms

// newOutageFleet returns a fleet whose watches fall silent at time 0 and end at outageStart. From then on
// calls are refused until the outage is over.
func newOutageFleet(nodes int, outage time.Duration) *silentFleet {
	f := newSilentFleet(nodes, 2*time.Second, false)
	f.drainingReject = true
	f.service.downUntil = outageStart + outage
	for i := range f.events {
		if update, ok := f.events[i].event.(EndpointUpdate); ok && update.Kind == WatchBroken {
			f.events[i].at = outageStart
		}
	}
	f.events.restore()
	return f
}

// Guards against attempts on servers whose drain was missed on a watch that fell silent just before an
// outage: calls that are refused do not make the list newer. Requests go to servers that have accepted
// clients in the outage meanwhile.
func TestOutageAfterSilentWatches(t *testing.T) {
	for _, nodes := range []int{1, 2, 14, 100, 900} {
		for _, outage := range []time.Duration{2 * time.Second, 8 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, %v", nodes, outage), func(t *testing.T) {
				f := newOutageFleet(nodes, outage)
				f.run(outage + 12*time.Second)
				if f.lateAttempts > 0 {
					t.Errorf("%d attempts on draining servers after the grace period", f.lateAttempts)
				}
				if f.listed < nodes {
					t.Errorf("%d of %d nodes have the list", f.listed, nodes)
				}
				t.Logf("%d of %d requests rejected", f.rejected, f.requests)
			})
		}
	}
}
