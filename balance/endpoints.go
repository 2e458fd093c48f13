package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// The pause before a watch request grows from watchBackoffBase to maxWatchBackoff, and further if the
	// discovery service is overloaded.
	watchBackoffBase = 200 * time.Millisecond
	maxWatchBackoff  = 2300 * time.Millisecond
	// maxUrgentSpread bounds the time over which the first calls of all nodes are spread if requests wait
	// for the list.
	maxUrgentSpread = 2 * time.Second
	// watchRequestInterval is the minimum mean time between two watch requests by all nodes together.
	watchRequestInterval = 50 * time.Millisecond
	// overloadedServiceWait is the ServiceWait above which the discovery service counts as overloaded.
	overloadedServiceWait = 500 * time.Millisecond
)

// server is an entry of the endpoint list, with the state that this node keeps for the server.
type server struct {
	Server
	unlisted     bool                   // kept in use; missing from the list without having drained
	requests     map[RequestID]*request // with connections or attempts in flight on the server
	rankingScore float64                // used while a ranking is computed
	start        *serverStart           // latest start; nil until the server is listed

	consecutiveFailures int
	ejectedUntil        time.Duration // 0 before the first ejection
	lateMessageAt       time.Duration // time of the last LateMessage
	latenessRatio       float64       // latency of that message divided by its objective

	utilisation            float64       // from the last load report
	reportedAt             time.Duration // time of that report; 0 means never
	connectionsSinceReport int           // connections that the report does not include
	inheritedSinceReport   int           // the same for connections of the previous process
	waitingRequests        []*request    // waiting for a load report
	acceptedAt             time.Duration // it has accepted clients after that time; 0 if it has not
	loadRequestedAt        time.Duration // time of the last request to the owner of the ledger
	rebalanceSampled       bool          // sampled to rebalance on the result of the health check
	othersCheckedForReport time.Duration // reportedAt of the report for which others were checked

	ledgerOwner   int                 // index of the node that keeps the load ledger
	ledger        map[int]ledgerEntry // by node index; kept by the owner
	gossipedLoad  float64             // load as last sent to the owner
	presentGroups []uint16            // hash of the requested group, if the server has it
}

// hasFreshReport reports whether the last load report is recent enough to use.
func (s *server) hasFreshReport(now time.Duration) bool {
	return s.reportedAt > 0 && now < s.reportedAt+freshnessWindow
}

// ensureServer returns the state of a server, adding it if it is unknown.
func (b *Balancer) ensureServer(id ServerID) *server {
	if b.servers[id] == nil {
		hash := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(id)))
		b.servers[id] = &server{Server: Server{ID: id}, requests: map[RequestID]*request{},
			ledger: map[int]ledgerEntry{}, ledgerOwner: int(hash % uint64(b.config.NodeCount))}
	}
	return b.servers[id]
}

func (b *Balancer) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == ListSnapshot || ev.Kind == ListCached {
		for _, s := range b.servers {
			b.markRemoved(s)
		}
	}
	for _, endpoint := range ev.Servers {
		b.mergeEndpoint(endpoint, ev.Kind == ListCached)
	}
	b.refreshReady()
	if b.config.GossipEnabled && ev.Kind == ListCached {
		b.emit(SetTimer{time.Duration(b.rng.Float64() * float64(gossipInterval)), timerGossip})
	}
	if ev.FormerService {
		return
	}
	b.listAge.observe(b.now, ev)
	if ev.Kind == ListDelayed { // the watch is open
		return
	}
	b.scheduleWatch(ev)
	b.resumeListWaits()
}

// mergeEndpoint applies an entry of an endpoint list. inCachedList is set if the list is a ListCached.
func (b *Balancer) mergeEndpoint(endpoint Server, inCachedList bool) {
	s := b.ensureServer(endpoint.ID)
	if endpoint.State == Removed {
		b.markRemoved(s)
		return
	}
	if endpoint.StartedAt != s.StartedAt {
		s.ejectedUntil, s.consecutiveFailures = 0, 0
		s.start = b.startTimes.observe(endpoint, inCachedList, b.now)
		s.start.roundingOffset = b.roundingOffset(endpoint)
		// The previous process may have made attempts that this one has no record of.
		s.start.blockedUntil = max(s.start.blockedUntil, b.startedAt+b.config.OverloadWindow)
	}
	s.Server, s.Weight, s.unlisted = endpoint, cmp.Or(max(endpoint.Weight, 0), 1), false
}

// markRemoved handles a list that does not contain the server. With KeepUnlistedServers a healthy server
// stays in use until it fails.
func (b *Balancer) markRemoved(s *server) {
	healthy := s.State == Ready && s.consecutiveFailures <= maxEjectionDoublings
	s.unlisted = b.config.KeepUnlistedServers && healthy
	if !s.unlisted {
		s.State = Removed
	}
}

// refreshReady recomputes the ready servers, discards the rankings and deletes removed servers without
// requests.
func (b *Balancer) refreshReady() {
	clear(b.rankings)
	b.serversVisited += len(b.servers)
	b.ready = b.ready[:0]
	for id, s := range b.servers {
		if s.State == Ready {
			b.ready = append(b.ready, s)
		} else if s.State == Removed && len(s.requests) == 0 {
			delete(b.servers, id)
		}
	}
	b.startTimes.prune(b.servers)
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
}

// scheduleWatch sets the timer of the next watch request, if the update makes one necessary.
func (b *Balancer) scheduleWatch(ev EndpointUpdate) {
	b.listStaleAt = min(b.listStaleAt, b.now+freshnessWindow)
	roundDuration := time.Duration(b.config.NodeCount) * watchRequestInterval // one call by each node
	switch {
	case ev.Kind == ListDelta || ev.Kind == ListSnapshot:
		b.watchBackoff, b.listStaleAt = 0, math.MaxInt64
	case ev.Kind == ListCached && !b.config.EndpointsPushed:
		spread := (roundDuration - watchRequestInterval) / 2
		if b.listAge.isUrgent(b.now) {
			spread = min(spread, maxUrgentSpread)
		}
		delay := time.Duration(b.rng.Float64() * float64(spread))
		b.emit(SetTimer{delay, timerWatchEndpoints})
	case ev.Kind == WatchFailed && !b.config.EndpointsPushed:
		b.emit(SetTimer{b.nextWatchBackoff(ev.ServiceWait, roundDuration), timerWatchEndpoints})
	case ev.Kind != ListCached:
		b.watchBackoff = 0
		b.emit(SetTimer{b.jitter(watchBackoffBase), timerWatchEndpoints})
	}
}

// nextWatchBackoff returns the pause after a failed call. If there are many nodes, they back off further
// from an overloaded service, so that it can work through its queue. Nodes whose requests would wait for
// the list do not: the service can take a call of every node in less time than such a backoff.
func (b *Balancer) nextWatchBackoff(serviceWait, roundDuration time.Duration) time.Duration {
	maxBackoff, extraDelay := maxWatchBackoff, -serviceWait
	mayBackOff := roundDuration > maxBackoff && !b.listAge.isUrgent(b.now)
	if mayBackOff && (serviceWait > overloadedServiceWait || b.watchBackoff > maxBackoff) {
		maxBackoff, extraDelay = 4*roundDuration, b.jitter(roundDuration)
	}
	b.watchBackoff = min(max(2*b.watchBackoff, watchBackoffBase, roundDuration), maxBackoff)
	return max(b.jitter(b.watchBackoff)+extraDelay, b.jitter(watchBackoffBase))
}
