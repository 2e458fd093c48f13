package fleet

import (
	"math"
	"testing"
	"time"

	"brassmux/balance"
)

// The slow-start limit is the stricter of n+1 and n + 2√n + 2, where n attempts are allowed. Guards against use of the
// looser bound: 20 or 30 notified nodes overload a server with one attempt more than n+1, and not with n+1.
func TestSlowStartOverloadUsesStricterBound(t *testing.T) {
	for _, nodes := range []int{20, 30} {
		scenario := load(t, "calm")
		sim := newSimulation(scenario, 1, NewBalancer)
		starting := sim.addServer(startTime)
		sim.endpointChanges = []balance.Server{starting.endpoint}
		allowed := scenario.Server.OverloadFactor * scenario.Server.SlowStartMinCapacity * scenario.Server.Capacity /
			time.Duration(scenario.Server.SlowStartWindow).Seconds() *
			time.Duration(scenario.Server.OverloadWindow).Seconds()
		if looserBound := allowed + 2*math.Sqrt(allowed) + 2; allowed+3 > looserBound {
			t.Fatalf("%.1f allowed attempts: the two bounds are too close to be distinguished", allowed)
		}
		for i := range int(allowed + 1) {
			sim.recordSlowStartSend(starting, &node{index: i % nodes, changesSeen: 1})
		}
		utilization := sim.result.SlowStartUtilization
		if starting.overloaded || sim.result.Violations.Any() || utilization < allowed/(allowed+1) || utilization > 1 {
			t.Errorf("%d nodes, at the limit: %+v, utilization %.2f", nodes, sim.result.Violations, utilization)
		}
		sim.recordSlowStartSend(starting, &node{changesSeen: 1})
		if !starting.overloaded || sim.result.Violations.Overloads != 1 {
			t.Errorf("%d nodes: not overloaded by %d attempts, %.1f allowed", nodes, int(allowed+1)+1, allowed)
		}
	}
}
