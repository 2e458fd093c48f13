package balance

import (
	"cmp"
	"maps"
	"slices"
)

// maxRebalancedGroups is the mean number of groups that all nodes together migrate off a server per second.
const maxRebalancedGroups = 4

// sampled reports whether this node is selected to act on a server. The selection is random: on average
// targetNodes of all nodes are selected, each with a probability proportional to its share of the
// connections.
func (b *Balancer) sampled(s *server, targetNodes float64) bool {
	connectionShare := float64(len(s.requests)*len(b.ready)) / float64(b.openConnections*b.config.NodeCount)
	return b.rng.Float64() <= targetNodes*connectionShare
}

// handleLateMessage records the lateness of a server's messages. The later they are, the more nodes rebalance
// the server, up to a mean of two groups at a time.
func (b *Balancer) handleLateMessage(ev LateMessage) {
	r, s := b.requests[ev.ID], b.servers[ev.Server]
	if r == nil || s == nil {
		return
	}
	ratio := float64(ev.Latency) / float64(max(b.config.Classes[r.Class].MessageObjective, 1))
	s.lateMessageAt, s.latenessRatio = b.now, ratio
	if ratio > 0.5 && b.sampled(s, min(max(ratio/2, 1), 2)) {
		b.rebalance(s)
	}
}

// rebalance migrates one group off a server: the group that ranks the server lowest, so that all nodes choose
// the same group. If no other server is known to have headroom, it sends health checks to other servers
// first.
func (b *Balancer) rebalance(s *server) {
	b.rebalanceSource = nil
	groups := map[string][]*request{}
	s.collectEstablished(groups)
	position := func(key string) int { return slices.Index(b.rank(groups[key][0]), s) }
	keys := slices.SortedFunc(maps.Keys(groups), func(x, y string) int {
		return cmp.Or(position(y)-position(x), len(groups[x])-len(groups[y]), cmp.Compare(x, y))
	})
	for _, key := range keys {
		if b.migrateGroup(groups[key], s) {
			return
		}
	}
	othersChecked := s.othersCheckedForReport == s.reportedAt // with the current report of s
	if len(keys) > 0 && s.lateMessageAt != b.now && s.hasFreshReport(b.now) && !othersChecked {
		b.rebalanceSource, s.othersCheckedForReport = s, s.reportedAt
		b.checkOthers(groups[keys[0]][0], s)
	}
}

// collectEstablished adds the established connections to groups by ranking key. The map is a parameter so
// that it stays on the caller's stack.
func (s *server) collectEstablished(groups map[string][]*request) {
	for _, r := range s.requests {
		if r.established {
			groups[r.rankingKey()] = append(groups[r.rankingKey()], r)
		}
	}
}

// migrateGroup migrates a group off a server if another server can take it, and reports whether one could.
func (b *Balancer) migrateGroup(group []*request, from *server) bool {
	slices.SortFunc(group, func(x, y *request) int { return cmp.Compare(x.ID, y.ID) })
	to, ranksHigher := b.migrationTarget(group[0], from)
	if to == nil {
		return false
	}
	for _, r := range group {
		b.emit(Migrate{ID: r.ID})
		if ranksHigher && r.affinity != nil {
			r.affinity.retarget(to)
		} else {
			b.affinity.remove(r.affinity)
		}
	}
	return true
}

// migrationTarget returns the first server in the ranking of a request that can take it over, or nil, and
// whether that server ranks higher than the current one.
func (b *Balancer) migrationTarget(r *request, from *server) (to *server, ranksHigher bool) {
	ranking := b.rank(r)
	fromPosition := slices.Index(ranking, from)
	for i, s := range ranking {
		reported := s.hasFreshReport(b.now)
		moreUtilised := reported && s.utilisation > from.utilisation
		hasHeadroom := (reported || from.lateMessageAt == b.now) && !b.isOverloaded(r, s, 0)
		if s != from && b.now >= s.ejectedUntil && !moreUtilised &&
			(hasHeadroom || i < fromPosition && b.config.LateMessagesReported) {
			return s, i < fromPosition
		}
	}
	return nil, false
}

// checkOthers sends up to maxHealthChecks health checks to the servers of unknown load that rank highest for
// a request.
func (b *Balancer) checkOthers(r *request, from *server) {
	sent := 0
	for _, s := range b.rank(r) {
		if s != from && sent < maxHealthChecks && b.now >= s.ejectedUntil && !s.hasFreshReport(b.now) {
			sent++
			b.emit(HealthCheck{s.ID})
		}
	}
}
