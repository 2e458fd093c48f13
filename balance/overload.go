package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// isLagging reports whether messages at a server recently missed their latency objective. Such a server would
// drop new connections, whatever utilisation it reports, and recovers if it gets none.
func (b *Balancer) isLagging(s *server) bool {
	return s.latenessRatio > 1 && b.now < s.lateMessageAt+freshnessWindow
}

// isAtCapacity reports whether a server is known to have no headroom.
func (b *Balancer) isAtCapacity(r *request, s *server, surge float64) bool {
	return !b.loadUnknown(r, s) && s.hasFreshReport(b.now) && s.utilisation+surge > b.utilisationLimit
}

// projectedUtilisation returns the reported utilisation plus an estimate of what has been added since, by
// this node's new connections or by a reconnect surge, whichever is more.
func (s *server) projectedUtilisation(surge float64) float64 {
	connectionsInReport := max(len(s.requests)-s.connectionsSinceReport, 1)
	return s.utilisation +
		max(s.utilisation*float64(s.connectionsSinceReport)/float64(connectionsInReport), surge)
}

// isOverloaded reports whether another server is preferable for a request. This is the case if the server has
// more than twice the mean number of this node's connections per server and at least three more than that
// mean, if it exceeds its target utilisation, or if it has late messages and no fresh report.
func (b *Balancer) isOverloaded(r *request, s *server, surge float64) bool {
	readyCount, connections := len(b.ready), len(s.requests)
	if readyCount*connections > 2*b.openConnections &&
		readyCount*connections >= b.openConnections+3*readyCount {
		return true
	}
	if s.hasFreshReport(b.now) {
		return s.projectedUtilisation(surge) > b.utilisationTarget(r, s)
	}
	return s.lateMessageAt > 0 && b.now < s.lateMessageAt+freshnessWindow
}

// utilisationTarget returns the utilisation up to which a server gets a request. It is higher if the server
// already has the request's group, because every server that has a part of a group incurs the cost of the
// full group.
func (b *Balancer) utilisationTarget(r *request, s *server) float64 {
	for _, other := range s.requests {
		if other != r && other.rankingKey() == r.rankingKey() {
			return b.groupUtilisationLimit
		}
	}
	return targetUtilisation
}

// surgeUtilisation estimates the utilisation that reconnecting clients add to a server before its next
// report, if all nodes place them by the same report. The estimate differs by client, so that the clients do
// not all move on to the next server at once. position is the index of the server in the candidates.
func (b *Balancer) surgeUtilisation(r *request, s *server, position int) float64 {
	if !r.Reconnect || b.config.ConnectionCapacity == 0 {
		return 0
	}
	// The inverted ID makes this hash independent of the one in rank.
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(r.rankingKey()), ^uint64(s.ID)))
	fraction := float64(hash>>11) / (1 << 53)
	otherNodesSurge := float64((b.config.NodeCount-1)*b.recentReconnects*(position+1)) /
		b.config.ConnectionCapacity
	// The estimate shrinks with the node's connections on the server, by which it observes the surge itself.
	return fraction * otherNodesSurge / float64(1+len(s.requests)-s.connectionsSinceReport)
}
