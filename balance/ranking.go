package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRankings bounds the number of cached rankings.
const maxRankings = 1024

// rank orders the ready servers for a request by weighted rendezvous hashing of its ranking key. All nodes
// compute the same order, and the removal of a server moves only the keys that ranked it first.
func (b *Balancer) rank(r *request) []*server {
	key := r.rankingKey()
	if ranking := b.rankings[key]; ranking != nil {
		return ranking
	}
	hashInput, ranking := append(make([]byte, 0, 64), key...), slices.Clone(b.ready)
	b.serversVisited += len(ranking)
	for _, s := range ranking {
		hash := xxhash.Sum64(binary.LittleEndian.AppendUint64(hashInput, uint64(s.ID)))
		s.rankingScore = -s.Weight / math.Log((float64(hash>>11)+0.5)/(1<<53))
		if b.config.CrossZoneCost > 0 && b.config.Zone != "" && s.Zone != b.config.Zone {
			s.rankingScore = -1 / s.rankingScore // below all servers of this node's zone, in the same order
		}
	}
	slices.SortFunc(ranking, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.rankingScore, x.rankingScore), cmp.Compare(x.ID, y.ID))
	})
	if len(b.rankings) >= maxRankings {
		clear(b.rankings)
	}
	b.rankings[key] = ranking
	return ranking
}

// candidates returns the servers in the order in which they are considered for a request. This is the
// ranking. If groups are kept together, the servers that already have the request's group follow directly
// after the first one.
func (b *Balancer) candidates(r *request) []*server {
	ranking := b.rank(r)
	if b.config.GossipEnabled || b.groupUtilisationLimit == targetUtilisation || len(ranking) == 0 {
		return ranking
	}
	withoutGroup := func(s *server) bool {
		return s != ranking[0] && b.utilisationTarget(r, s) == targetUtilisation
	}
	withGroup := func(s *server) bool { return !withoutGroup(s) }
	b.serversVisited += 2 * len(ranking)
	ordered := slices.DeleteFunc(slices.Clone(ranking), withoutGroup)
	return append(ordered, slices.DeleteFunc(slices.Clone(ranking), withGroup)...)
}

// Reasons for a rejection, as written to the log.
const (
	reasonNoServerReady            = "none ready"
	reasonAttemptsExhausted        = "tries spent"
	reasonAffinityServerAtCapacity = "own full"
	reasonAtCapacity               = "full"
	reasonLagging                  = "late"
	reasonListExpired              = "list expired"
)

// selectServer returns the server for the next attempt of a request, or nil and the reason for a rejection.
func (b *Balancer) selectServer(r *request) (s *server, reason string) {
	if s, reason = b.trySelect(r); s == nil && reason == reasonNoServerReady {
		// Uncertain clocks alone must not cause a rejection.
		b.trustListedTimes = true
		s, reason = b.trySelect(r)
		b.trustListedTimes = false
	}
	return s, reason
}

// trySelect selects a server under the current value of trustListedTimes.
func (b *Balancer) trySelect(r *request) (s *server, reason string) {
	attemptsMade := len(r.attempts)
	noTimeLeft := attemptsMade > 0 && r.deadline-b.now <= b.config.TickInterval
	if noTimeLeft || attemptsMade-r.notSentCount >= b.config.MaxAttempts {
		return nil, reasonAttemptsExhausted
	}
	affinityServer := b.affinity.lookup(r.ClientKey)
	usable := affinityServer != nil && b.isEligible(r, affinityServer) && b.now >= affinityServer.ejectedUntil
	switch {
	case b.config.GossipEnabled:
		return b.selectByLedger(r)
	case !usable:
		return b.selectByReports(r)
	case b.isLagging(affinityServer) ||
		b.isAtCapacity(r, affinityServer, b.surgeUtilisation(r, affinityServer, 0)):
		// The server would drop the connection, and the client would reconnect at once and be dropped again.
		return nil, reasonAffinityServerAtCapacity
	case !b.config.LateMessagesReported || !affinityServer.hasFreshReport(b.now) ||
		affinityServer.projectedUtilisation(0) <= b.groupUtilisationLimit:
		return affinityServer, ""
	}
	return b.selectByReports(r) // all clients with affinity for the server rely on the same load report
}

// selectByReports returns the first candidate that is not overloaded, else the first one that may take the
// request despite its load, else nil and the reason.
func (b *Balancer) selectByReports(r *request) (*server, string) {
	var fallback *server
	anyAtCapacity, anyLagging := false, false
	for position, s := range b.candidates(r) {
		b.serversVisited++
		// After a server at capacity only servers in slow start qualify, because these have separate limits.
		if anyAtCapacity && !b.inSlowStart(s) || !b.isEligible(r, s) {
			continue
		}
		surge := b.surgeUtilisation(r, s, position)
		switch {
		case b.isLagging(s):
			anyLagging = true
		case b.isAtCapacity(r, s, surge) ||
			fallback != nil && r.healthCheckCount >= maxHealthChecks && !s.hasFreshReport(b.now):
			anyAtCapacity = true // do not spread a group over servers of unknown load
		case b.now >= s.ejectedUntil && !b.isOverloaded(r, s, surge):
			return s, ""
		case fallback == nil || b.now < fallback.ejectedUntil && b.now >= s.ejectedUntil:
			fallback = s
		}
	}
	switch {
	case anyLagging:
		return nil, reasonLagging
	case anyAtCapacity:
		return fallback, reasonAtCapacity
	}
	return fallback, reasonNoServerReady
}

// selectByLedger returns the first candidate with headroom according to its load ledger, else the least
// utilised one. It returns nil and the reason if that is at capacity too.
func (b *Balancer) selectByLedger(r *request) (*server, string) {
	var fallback *server
	for _, s := range b.candidates(r) {
		b.serversVisited++
		if !b.isEligible(r, s) {
			continue
		}
		loadUnknown, limit := b.loadUnknown(r, s), ledgerLimit(r, s)
		reported := s.hasFreshReport(b.now)
		healthy := b.now >= s.ejectedUntil
		if healthy && !b.isLagging(s) && (loadUnknown || reported && s.utilisation <= limit) {
			return s, ""
		}
		if fallback == nil || healthy && reported && s.utilisation < fallback.utilisation {
			fallback = s
		}
	}
	if fallback != nil && fallback.hasFreshReport(b.now) && fallback.utilisation > maxLedgerGroupUtilisation {
		return nil, reasonAtCapacity
	}
	return fallback, reasonNoServerReady
}

// ledgerLimit returns the utilisation, according to the load ledger, up to which a server gets a request.
func ledgerLimit(r *request, s *server) float64 {
	if slices.Contains(s.presentGroups, groupHash(r)) {
		return maxLedgerGroupUtilisation
	}
	return maxLedgerUtilisation
}

// isEligible reports whether a request may be sent to a server, regardless of its load.
func (b *Balancer) isEligible(r *request, s *server) bool {
	alreadyTried := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
	// If the list is stale the server may be draining, which a health check would reveal.
	unconfirmed := b.now >= b.listStaleAt && b.config.HealthChecksAllowed && !b.config.EndpointsPushed &&
		!b.loadUnknown(r, s) && !s.hasFreshReport(b.now)
	if b.listAge.excludes(s, b.now) && !b.mayCheckReadiness(r, s) {
		return false
	}
	if b.inSlowStart(s) && (!b.slowStartAllows(r, s) || b.handedOver) || alreadyTried || unconfirmed {
		return false
	}
	return b.mayRetryOn(r, s)
}
