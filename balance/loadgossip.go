package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// gossipInterval is the time between two repetitions of the load that a node puts on a server. A
	// GossipHeldLoad is valid for twice this time.
	gossipInterval = 10 * time.Second
	// workPerCore is the work of one core per second. The unit of work is a microsecond of processor time.
	workPerCore = 1e6
	// gossipLoadStep is the change of a server's load that is sent immediately, in units of work per second.
	gossipLoadStep = 0.06 * workPerCore
	// initialConnectionLoad is the assumed load of a connection before any load is reported, in units of work
	// per second.
	initialConnectionLoad = workPerCore / 16
	// meanLoadSamples is the number of reported connection loads over which the mean is taken.
	meanLoadSamples = 16

	// maxLedgerUtilisation is the utilisation, according to its ledger, up to which a server gets connections
	// of any group.
	maxLedgerUtilisation = 0.3
	// maxLedgerGroupUtilisation is the utilisation up to which it gets connections of a group that it already
	// has.
	maxLedgerGroupUtilisation = 0.8

	// groupHashCount is the number of distinct group hashes. They fit in two digits of the encoded gossip.
	groupHashCount = 8000
)

// ledgerEntry is the load of one node on a server, as kept by the owner of the server's ledger.
type ledgerEntry struct {
	GossipMessage
	receivedAt time.Duration
}

func groupHash(r *request) uint16 { return uint16(xxhash.Sum64String(r.rankingKey()) % groupHashCount) }

func (b *Balancer) handleConnectionLoad(ev ConnectionLoad) {
	r := b.requests[ev.ID]
	if r == nil || ev.Load < 0 || len(r.attempts) == 0 {
		return
	}
	r.load = ev.Load
	// The first reported load becomes the mean.
	b.meanConnectionLoad += (ev.Load - cmp.Or(b.meanConnectionLoad, ev.Load*(1-meanLoadSamples))) /
		meanLoadSamples
	b.gossipHeldLoad(r.attempts[len(r.attempts)-1].server, gossipLoadStep)
}

// gossipAllLoads sends the load that this node puts on each server to the owner of the server's ledger, and
// repeats that after gossipInterval.
func (b *Balancer) gossipAllLoads() {
	for _, s := range b.ready {
		b.gossipHeldLoad(s, -1)
	}
	b.emit(SetTimer{gossipInterval, timerGossip})
}

// gossipHeldLoad sends the load that this node puts on a server to the owner of its ledger, if it changed by
// at least minChange units of work per second.
func (b *Balancer) gossipHeldLoad(s *server, minChange float64) {
	if !b.config.GossipEnabled {
		return
	}
	message := GossipMessage{Kind: GossipHeldLoad, Incarnation: b.incarnation, Server: s.ID}
	total := 0 // of integers, so that it does not depend on map order
	for _, r := range s.requests {
		total += int(cmp.Or(r.load, b.meanConnectionLoad, initialConnectionLoad))
		message.Groups = append(message.Groups, groupHash(r))
	}
	message.Load = float64(total)
	if message.Load+s.gossipedLoad == 0 || math.Abs(message.Load-s.gossipedLoad) < minChange {
		return
	}
	slices.Sort(message.Groups)
	message.Groups, s.gossipedLoad = slices.Compact(message.Groups), message.Load
	if s.ledgerOwner == b.config.NodeIndex {
		b.applyGossip(s.ledgerOwner, message)
	} else {
		b.emit(SendGossip{s.ledgerOwner, message})
	}
}

func (b *Balancer) handleGossip(ev GossipReceived) {
	fromOtherNode := ev.FromNode >= 0 && ev.FromNode < b.config.NodeCount && ev.FromNode != b.config.NodeIndex
	if b.config.GossipEnabled && fromOtherNode {
		b.applyGossip(ev.FromNode, ev.Message)
	}
}

func (b *Balancer) applyGossip(fromNode int, message GossipMessage) {
	s := b.servers[message.Server]
	if s == nil {
		return
	}
	switch message.Kind {
	case GossipHeldLoad:
		s.ledger[fromNode], b.incarnations[fromNode] = ledgerEntry{message, b.now}, message.Incarnation
	case GossipLoadRequest:
		b.emit(SendGossip{fromNode, b.aggregateLoad(s, message.Groups)})
	case GossipLoadResponse:
		b.applyLedgerLoad(s, message)
		b.applyHealthCheck(s, HealthCheckResult{Outcome: OK})
	}
}

// aggregateLoad returns the response to a request for a server's load, according to its ledger.
func (b *Balancer) aggregateLoad(s *server, requested []uint16) GossipMessage {
	response := GossipMessage{Kind: GossipLoadResponse, Incarnation: b.incarnation, Server: s.ID}
	total, groups := 0.0, slices.Clone(requested)
	for _, fromNode := range slices.Sorted(maps.Keys(s.ledger)) {
		nodeLoad := s.ledger[fromNode]
		restarted := nodeLoad.Incarnation != b.incarnations[fromNode] // and lost its connections
		if b.now < nodeLoad.receivedAt+2*gossipInterval && !restarted {
			total, groups = total+nodeLoad.Load, append(groups, nodeLoad.Groups...)
		}
	}
	if len(requested) > 0 && slices.Contains(groups[len(requested):], requested[0]) {
		response.Groups = requested[:1]
	}
	slices.Sort(groups)
	// The cost of a group to its server is not configurable; each group counts as two connections.
	response.Load = total + 2*b.meanConnectionLoad*float64(len(slices.Compact(groups)))
	response.Load *= 1e6 / (workPerCore * b.config.CoresPerWeight * s.Weight) // in millionths of the capacity
	return response
}

// applyLedgerLoad uses a load response as a load report of the server.
func (b *Balancer) applyLedgerLoad(s *server, response GossipMessage) {
	s.utilisation, s.reportedAt, s.presentGroups = response.Load/1e6, b.now, response.Groups
}
