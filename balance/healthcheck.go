package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	// maxHealthChecks bounds the number of servers that are checked for one request.
	maxHealthChecks = 3
	// loadRequestInterval is the minimum time between two GossipLoadRequests for the same server.
	loadRequestInterval = watchBackoffBase
	// utilisationCheckInterval is the time between two checks of servers that may exceed targetUtilisation.
	utilisationCheckInterval = time.Second
	// noMoreHealthChecks is the healthCheckCount of a request that is placed without further waiting.
	noMoreHealthChecks = math.MaxInt
)

// loadUnknown reports whether the load of a server should be requested before the server gets the request.
func (b *Balancer) loadUnknown(r *request, s *server) bool {
	if b.config.GossipEnabled && s.ledgerOwner == b.config.NodeIndex {
		b.applyLedgerLoad(s, b.aggregateLoad(s, []uint16{groupHash(r)}))
	}
	mayRequestLoad := b.config.GossipEnabled && r.healthCheckCount < noMoreHealthChecks ||
		b.config.HealthChecksAllowed && r.healthCheckCount < maxHealthChecks
	return mayRequestLoad && b.now >= s.ejectedUntil && !s.hasFreshReport(b.now)
}

// mayCheckReadiness reports whether a health check may show that a server accepts clients.
func (b *Balancer) mayCheckReadiness(r *request, s *server) bool {
	return b.config.ReadinessChecksAllowed && r.healthCheckCount < maxHealthChecks && b.now >= s.ejectedUntil
}

// checksReadinessOnly reports whether the reports of health checks contain no load.
func (b *Balancer) checksReadinessOnly() bool {
	return b.config.ReadinessChecksAllowed && !b.config.HealthChecksAllowed
}

// awaitLoad makes a request wait for the load of its selected server, for evidence that the server accepts
// clients, or for a larger slow-start quota. It returns false if no wait is needed.
func (b *Balancer) awaitLoad(r *request, s *server) bool {
	quotaRequested := b.config.SlowStartQuotas != nil && b.inSlowStart(s) &&
		b.config.SlowStartQuotas.RequestMore(s.ID)
	checksReadiness := b.listAge.excludes(s, b.now) && b.mayCheckReadiness(r, s)
	switch {
	case checksReadiness:
		b.requestHealthCheck(s)
	case quotaRequested || b.loadUnknown(r, s):
		b.requestLoad(r, s)
	default:
		return false
	}
	r.healthCheckCount++
	if !r.waitTimerSet {
		r.waitTimerSet = true
		timeLeft := r.deadline - b.now
		wait := min(timeLeft/4, cmp.Or(b.config.Classes[r.Class].ConnectObjective/2, timeLeft))
		b.emit(SetTimer{wait, timerRequest + uint64(r.ID)})
	}
	r.awaitingLoad, s.waitingRequests = true, append(s.waitingRequests, r)
	return true
}

// requestLoad requests the load of a server, unless another request recently did.
func (b *Balancer) requestLoad(r *request, s *server) {
	switch {
	case b.config.GossipEnabled:
		if s.loadRequestedAt == 0 || b.now >= s.loadRequestedAt+loadRequestInterval {
			s.loadRequestedAt = b.now
			groups := []uint16{groupHash(r)}
			b.emit(SendGossip{s.ledgerOwner, GossipMessage{
				Kind: GossipLoadRequest, Incarnation: b.incarnation, Server: s.ID, Groups: groups,
			}})
		}
	case b.config.HealthChecksAllowed:
		b.requestHealthCheck(s)
	}
}

// requestHealthCheck requests a health check of a server, unless a request waits for one already.
func (b *Balancer) requestHealthCheck(s *server) {
	if len(s.waitingRequests) == 0 {
		b.emit(HealthCheck{s.ID})
	}
}

// endLoadWait places a request whose wait for a load report has timed out.
func (b *Balancer) endLoadWait(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.healthCheckCount = noMoreHealthChecks
		b.resume(r)
	}
}

func (b *Balancer) resume(r *request) {
	if r.awaitingLoad && !r.answered {
		r.awaitingLoad = false
		b.place(r)
	}
}

func (b *Balancer) handleHealthCheckResult(ev HealthCheckResult) {
	if s := b.servers[ev.Server]; s != nil {
		b.applyHealthCheck(s, ev)
	}
}

// applyHealthCheck applies the result of a health check and places the requests that wait for it.
func (b *Balancer) applyHealthCheck(s *server, ev HealthCheckResult) {
	switch {
	case ev.Outcome != OK:
		b.eject(s)
	case ev.Report != nil:
		b.listAge.observeAccepted(s, b.now-ev.Elapsed)
		if !b.checksReadinessOnly() {
			b.applyReport(s, ev.Report)
		}
	}
	waiting := s.waitingRequests
	s.waitingRequests = nil
	for _, r := range waiting {
		// A refusal arrives at once and does not count as one of the request's health checks, because with an
		// outdated list most servers may be gone.
		refused := ev.Outcome == ServerError || ev.Outcome == ConnectFailed
		if refused && r.healthCheckCount < noMoreHealthChecks {
			r.healthCheckCount--
		}
		b.resume(r)
	}
}

func (b *Balancer) applyReport(s *server, report *LoadReport) {
	s.utilisation, s.reportedAt, s.consecutiveFailures = max(report.Utilisation, 0), b.now, 0
	s.connectionsSinceReport /= 2 // the report is itself some time old and may omit recent connections
	overloaded := s.utilisation > 1 && !b.config.LateMessagesReported
	if overloaded && (s.rebalanceSampled || b.sampled(s, maxRebalancedGroups)) {
		b.rebalanceSource = s
	}
	s.rebalanceSampled = false
	if b.rebalanceSource != nil {
		b.rebalance(b.rebalanceSource)
	}
}

// scheduleUtilisationCheck sets the timer of the next utilisation check if only load reports reveal an
// overload.
func (b *Balancer) scheduleUtilisationCheck() {
	if !b.utilisationTimerSet && b.config.HealthChecksAllowed && !b.config.LateMessagesReported {
		b.utilisationTimerSet = true
		b.emit(SetTimer{utilisationCheckInterval, timerUtilisation})
	}
}

// checkUtilisation sends health checks to servers that may exceed targetUtilisation by now, as after a
// reconnect surge that was placed while their last reports showed them idle.
func (b *Balancer) checkUtilisation() {
	b.utilisationTimerSet = false
	b.serversVisited += len(b.ready)
	for _, s := range b.ready {
		connections, sinceReport := len(s.requests), s.connectionsSinceReport
		mayExceedTarget := s.utilisation*float64(connections) >
			targetUtilisation*float64(connections-sinceReport)
		if connections == 0 || !mayExceedTarget && 2*sinceReport < connections {
			continue
		}
		if s.rebalanceSampled = b.sampled(s, maxRebalancedGroups); s.rebalanceSampled {
			b.emit(HealthCheck{s.ID})
		}
		b.scheduleUtilisationCheck()
	}
}
