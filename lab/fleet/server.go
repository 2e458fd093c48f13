package fleet

import (
	"cmp"
	"slices"
	"time"

	"brassmux/balance"
)

// serverIDStep is the difference between consecutive server IDs. It keeps balancers from using an ID as the server's
// position in the list.
const serverIDStep = 7919

// server is a simulated server.
type server struct {
	endpoint            balance.Server
	unreachable         bool    // sends no responses
	overloaded          bool    // crashed because of too many attempts in slow start
	capacityFraction    float64 // remaining fraction of the capacity; 1 unless slowed by a fault
	connections         map[*request]bool
	groups              map[string]int // number of connections by group
	load                float64        // in mean connections
	reportedUtilization float64        // returned by health checks
	slowStartSends      []slowStartSend
}

// slowStartSend records an attempt at a server in slow start.
type slowStartSend struct {
	at       time.Duration
	notified bool // whether the sending node had been notified of the server's start
}

// newEndpoint returns the endpoint of the server at an index. startedAt is 0 for a server that started long ago.
func newEndpoint(index int, startedAt time.Duration) balance.Server {
	return balance.Server{ID: balance.ServerID(index+1) * serverIDStep, State: balance.Ready, Weight: 1,
		StartedAt: startedAt}
}

func (sim *simulation) addServer(startedAt time.Duration) *server {
	s := &server{endpoint: newEndpoint(len(sim.servers), startedAt), capacityFraction: 1,
		connections: map[*request]bool{}, groups: map[string]int{}}
	sim.servers = append(sim.servers, s)
	return s
}

// serverByID returns the server with an ID, which must be one of an endpoint list.
func (sim *simulation) serverByID(id balance.ServerID) *server { return sim.servers[id/serverIDStep-1] }

// isServing reports whether the server accepts and keeps connections.
func (s *server) isServing() bool {
	return s.endpoint.State != balance.Removed && !s.unreachable && !s.overloaded
}

// capacity returns a server's current capacity in mean connections.
func (sim *simulation) capacity(s *server) float64 {
	return sim.scenario.Server.Capacity * s.capacityFraction * sim.slowStartFraction(s)
}

// slowStartFraction returns the fraction of a server's capacity that is available at its current age.
func (sim *simulation) slowStartFraction(s *server) float64 {
	if s.endpoint.StartedAt == 0 {
		return 1
	}
	minFraction := sim.scenario.Server.SlowStartMinCapacity
	age := float64(sim.now-s.endpoint.StartedAt) / float64(sim.scenario.Server.SlowStartWindow)
	return minFraction + (1-minFraction)*min(max(age, 0), 1)
}

// utilization returns the ratio of a server's load to its capacity.
func (sim *simulation) utilization(s *server) float64 {
	return (s.load + sim.scenario.Server.GroupCost*float64(len(s.groups))) / sim.capacity(s)
}

// reportLoads measures each server's utilization, and makes it available to health checks after the report delay.
func (sim *simulation) reportLoads() {
	for _, s := range sim.servers {
		utilization := sim.utilization(s)
		sim.schedule(time.Duration(sim.scenario.Server.ReportDelay), func() { s.reportedUtilization = utilization })
	}
	if !sim.ended() {
		sim.schedule(time.Duration(sim.scenario.Server.ReportInterval), sim.reportLoads)
	}
}

// checkHealth performs a node's health check of a server and delivers the result.
func (sim *simulation) checkHealth(n *node, id balance.ServerID) {
	s := sim.serverByID(id)
	sim.countAtServer(counterHealthChecks, s)
	result := balance.HealthCheckResult{Server: id, Outcome: balance.OK, Elapsed: 4 * networkDelay}
	switch {
	case s.endpoint.State == balance.Removed || s.overloaded:
		result.Outcome = balance.ConnectFailed
	case s.unreachable:
		result.Outcome, result.Elapsed = balance.TimedOut, silenceTimeout
	case s.endpoint.State == balance.Draining:
		result.Outcome = balance.ServerError
	default:
		result.Report = &balance.LoadReport{Utilisation: s.reportedUtilization}
	}
	if result.Outcome != balance.OK {
		sim.count(counterFailedHealthChecks)
	}
	n.schedule(result.Elapsed, func() { n.handle(result) })
}

// resetConnections resets all connections of a server in a fixed order.
func (sim *simulation) resetConnections(s *server) {
	for _, r := range s.sortedConnections() {
		sim.endConnection(r, balance.Reset, false)
	}
}

// sortedConnections returns a server's connections, ordered by node, incarnation and request ID.
func (s *server) sortedConnections() (connections []*request) {
	for r := range s.connections {
		connections = append(connections, r)
	}
	slices.SortFunc(connections, func(x, y *request) int {
		return cmp.Or(cmp.Compare(x.node.index, y.node.index), cmp.Compare(x.incarnation, y.incarnation),
			cmp.Compare(x.id, y.id))
	})
	return connections
}
