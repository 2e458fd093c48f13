package fleet

import (
	"slices"
	"time"

	"brassmux/balance"
	"brassmux/lab/checker"
)

// recordSlowStartSend counts an attempt at a server in slow start. The server crashes if more attempts than its limit
// arrive within the overload window. The crash is a violation only if at least two thirds of the attempts came from
// nodes that had been notified of the server's start, because other nodes cannot take the slow start into account.
func (sim *simulation) recordSlowStartSend(s *server, n *node) {
	if s.endpoint.StartedAt == 0 || sim.slowStartFraction(s) >= 1 {
		return
	}
	sim.count(counterSlowStartSends)
	window := time.Duration(sim.scenario.Server.OverloadWindow)
	s.slowStartSends = append(s.slowStartSends, slowStartSend{sim.now, sim.isNotifiedOfStart(n, s)})
	s.slowStartSends = slices.DeleteFunc(s.slowStartSends, func(x slowStartSend) bool { return x.at < sim.now-window })
	if s.overloaded {
		return
	}
	limit := sim.slowStartLimit(s)
	sendCount, notifiedCount := len(s.slowStartSends), 0
	for _, send := range s.slowStartSends {
		if send.notified {
			notifiedCount++
		}
	}
	mostlyNotified := 3*notifiedCount >= 2*sendCount
	if mostlyNotified {
		sim.result.SlowStartUtilization = max(sim.result.SlowStartUtilization, float64(sendCount)/limit)
	}
	if float64(sendCount) <= limit {
		return
	}
	if mostlyNotified {
		sim.recordViolation(&sim.result.Violations.Overloads,
			"server %d: %d attempts in the overload window, %d by nodes notified of its start, limit %.1f",
			s.endpoint.ID, sendCount, notifiedCount, limit)
	} else {
		sim.count(counterUnannouncedOverloads)
	}
	sim.resetConnections(s)
	s.overloaded = true
}

// slowStartLimit returns the maximum number of attempts that a server in slow start survives within the overload
// window.
func (sim *simulation) slowStartLimit(s *server) float64 {
	settings := sim.scenario.Server
	perSecond := settings.OverloadFactor * sim.slowStartFraction(s) * settings.Capacity /
		time.Duration(settings.SlowStartWindow).Seconds()
	return checker.MaxSlowStartSends(perSecond * time.Duration(settings.OverloadWindow).Seconds())
}

// isNotifiedOfStart reports whether a node has received the endpoint change with a server's latest start.
func (sim *simulation) isNotifiedOfStart(n *node, s *server) bool {
	return slices.ContainsFunc(sim.endpointChanges[:n.changesSeen], func(endpoint balance.Server) bool {
		return endpoint.ID == s.endpoint.ID && endpoint.StartedAt == s.endpoint.StartedAt
	})
}
