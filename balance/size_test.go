package balance

import (
	"fmt"
	"testing"
)

// maxCostGrowth is the factor by which the cost of an event may grow from 200 servers to 3,200. It is the
// bound on processor time in STANDING.md.
const maxCostGrowth = 1.4

// The cost of a placement, a load report and a changed entry must hardly grow with the number of servers.
// Servers visited are counted in place of time, so that the result is the same on a busy machine.
func TestEventCostIsIndependentOfServerCount(t *testing.T) {
	const events = 200
	for name, handleEvent := range map[string]func(n *testNode, servers []Server, i int){
		"a placement": func(n *testNode, _ []Server, i int) { n.place("safe", fmt.Sprint("new-", i)) },
		"a report": func(n *testNode, servers []Server, i int) {
			n.handle(HealthCheckResult{Server: servers[i%len(servers)].ID, Outcome: OK,
				Report: &LoadReport{Utilisation: 0.3}})
		},
		"a changed entry": func(n *testNode, servers []Server, i int) {
			changed := servers[i%len(servers)]
			changed.State = []ServerState{Draining, Ready}[i%2]
			n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{changed}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			visitsPerEvent := func(servers int) float64 {
				var ids []ServerID
				for i := range servers {
					ids = append(ids, ServerID(i+1))
				}
				config := testConfig()
				config.NodeCount, config.HealthChecksAllowed, config.ConnectionCapacity = 300, true,
					20*float64(servers)
				endpoints := readyServers(ids...)
				n := newTestNode(config, endpoints...)
				before := n.serversVisited
				for i := range events {
					handleEvent(n, endpoints, i)
				}
				return float64(n.serversVisited-before) / events
			}
			with200, with3200 := visitsPerEvent(200), visitsPerEvent(3200)
			if with3200 > maxCostGrowth*with200+1 {
				t.Errorf("%.1f servers visited per event with 200 servers, %.1f with 3,200", with200,
					with3200)
			}
		})
	}
}
