package balance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxStartRecords is the number of recorded starts above which those of unlisted servers are deleted.
const maxStartRecords = 8192

// serverStart records one start of a server and the attempts that this node makes while the server is in slow
// start. It outlives the server's entry in the endpoint list, so that slow start continues for a server that
// is removed and listed again with the same start time.
type serverStart struct {
	listedStart     time.Duration // start time as listed, by another wall clock; identifies the start
	learnedAt       time.Duration // when this node learned of it; the server started no later
	inheritedLatest time.Duration // latestStart as estimated by the previous process; 0 if none
	likelyStart     time.Duration // start time if clockLead is exact, not later than learnedAt
	latestStart     time.Duration // latest possible start time
	inCachedList    bool          // whether the start was in the ListCached of this process

	roundingOffset float64         // added to this node's limit before it is rounded down, from 0 to 1
	attempts       []time.Duration // by this node in the last OverloadWindow
	blockedUntil   time.Duration   // no attempts before this time
}

// startTracker estimates when servers started. Listed start times come from the wall clocks of other
// machines, while the time of this process is based on the wall clock of its own machine. Among all clocks
// that were read, the tracker uses the one that gives the latest start, but no start is later than the time
// at which this node learned of it.
type startTracker struct {
	byServer             map[ServerID]*serverStart
	clockLead            time.Duration // lead of this process over the slowest clock that was read
	clockLeadUncertainty time.Duration // amount by which clockLead may be too small
	startTimeUncertainty time.Duration // of listed start times, in either direction
}

func newStartTracker(config Config) startTracker {
	t := startTracker{
		byServer:             map[ServerID]*serverStart{},
		startTimeUncertainty: config.StartTimeUncertainty,
	}
	if config.ClockUntrusted {
		t.clockLeadUncertainty = math.MaxInt64 / 4
	}
	return t
}

// observe returns the record of a listed start, adding it if it is new. inCachedList is set if the list is a
// ListCached.
func (t *startTracker) observe(endpoint Server, inCachedList bool, now time.Duration) *serverStart {
	s := t.byServer[endpoint.ID]
	if s == nil || s.listedStart != endpoint.StartedAt {
		s = &serverStart{listedStart: endpoint.StartedAt, learnedAt: now, inCachedList: inCachedList}
		t.byServer[endpoint.ID] = s
		t.boundUncertainty(s)
	}
	t.estimate(s)
	return s
}

// boundUncertainty uses a new start to narrow the uncertainty of clockLead. If the clock of this process is
// ahead, starts appear older than they are. Its lead is therefore at most the smallest age that a start had
// when this node learned of it.
func (t *startTracker) boundUncertainty(s *serverStart) {
	if s.listedStart == 0 {
		return
	}
	age := max(s.learnedAt-s.listedStart-t.clockLead-t.startTimeUncertainty, 0)
	if age < t.clockLeadUncertainty {
		t.clockLeadUncertainty = age
		t.estimateAll()
	}
}

func (t *startTracker) estimate(s *serverStart) {
	startByClocks := s.listedStart + t.clockLead + t.startTimeUncertainty
	s.likelyStart = min(max(startByClocks, s.inheritedLatest), s.learnedAt)
	s.latestStart = min(max(startByClocks+t.clockLeadUncertainty, s.inheritedLatest), s.learnedAt)
}

func (t *startTracker) estimateAll() {
	for _, s := range t.byServer {
		t.estimate(s)
	}
}

// observeClock applies the measured lead of this process over another clock. isReference is set if start
// times are listed by that clock.
func (t *startTracker) observeClock(ahead time.Duration, isReference bool) {
	t.clockLead = max(t.clockLead, ahead)
	if isReference {
		t.clockLeadUncertainty = 0
	}
	t.estimateAll()
}

// inherit applies the previous process's estimate of a start.
func (t *startTracker) inherit(s *serverStart, latest, learnedAt time.Duration) {
	if learnedAt > 0 {
		s.learnedAt = min(s.learnedAt, learnedAt)
		s.inheritedLatest = max(s.inheritedLatest, latest)
		t.estimate(s)
	}
}

// block prevents attempts on servers in slow start until a given time, because another process of this node
// may have made some.
func (t *startTracker) block(until time.Duration) {
	for _, s := range t.byServer {
		s.blockedUntil = until
	}
}

// prune deletes the starts of unlisted servers if there are more than maxStartRecords starts.
func (t *startTracker) prune(listed map[ServerID]*server) {
	if len(t.byServer) <= maxStartRecords {
		return
	}
	for id := range t.byServer {
		if listed[id] == nil {
			delete(t.byServer, id)
		}
	}
}

// LatestStart returns the latest time at which a server may have started; 0 means long ago or not listed.
func (b *Balancer) LatestStart(id ServerID) time.Duration {
	if s := b.servers[id]; s != nil && s.StartedAt > 0 {
		return s.start.latestStart
	}
	return 0
}

func (b *Balancer) inSlowStart(s *server) bool {
	return s.StartedAt > 0 && b.now < b.assumedStart(s.start)+b.config.SlowStartWindow
}

// assumedStart returns the start time by which slow start is decided. It is the latest possible one, or with
// trustListedTimes the likely one if the start was in the cached list.
func (b *Balancer) assumedStart(s *serverStart) time.Duration {
	if b.trustListedTimes && s.inCachedList {
		return s.likelyStart
	}
	return s.latestStart
}

// roundingOffset returns the offset that this node adds to its limit for a starting server before rounding it
// down. The offsets of the nodes are spread evenly from 0 to 1, shifted by a hash of the start, so that the
// nodes neither all round up nor all round down.
func (b *Balancer) roundingOffset(endpoint Server) float64 {
	key := uint64(endpoint.ID) ^ uint64(endpoint.StartedAt)
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, key))
	return math.Mod(float64(b.config.NodeIndex)/float64(b.config.NodeCount)+float64(hash>>11)/(1<<53), 1)
}

// slowStartAllows reports whether a server in slow start may get a request from this node. Without leased
// quotas all nodes together exceed the warm-up limit by at most one attempt in a window.
func (b *Balancer) slowStartAllows(r *request, s *server) bool {
	if b.config.SlowStartQuotas != nil {
		remaining := b.config.SlowStartQuotas.Remaining(s.ID)
		// After two waits a request goes to a warm server instead, while it still has a health check left to
		// learn that server's load.
		return remaining > 0 || remaining < 0 && r.healthCheckCount < maxHealthChecks-1
	}
	limit := b.warmUpLimit(s.start)
	windowStart := b.now - b.config.OverloadWindow
	s.start.attempts = slices.DeleteFunc(s.start.attempts, func(at time.Duration) bool {
		return at <= windowStart
	})
	return b.now >= s.start.blockedUntil &&
		float64(len(s.start.attempts)) < math.Floor(limit+s.start.roundingOffset)
}

// countSlowStartAttempt consumes an attempt of the leased quota, or of this node's fixed share.
func (b *Balancer) countSlowStartAttempt(s *server) {
	if b.config.SlowStartQuotas == nil || !b.config.SlowStartQuotas.Take(s.ID) {
		s.start.attempts = append(s.start.attempts, b.now)
	}
}

// warmUpLimit returns this node's share of the attempts that a server in slow start may get in a window.
func (b *Balancer) warmUpLimit(s *serverStart) float64 {
	b.updateConnectionRate(0)
	rate := b.connectionRate
	if b.config.ConnectionCapacity > 0 {
		capacityPerNode := b.config.ConnectionCapacity / float64(b.config.NodeCount)
		rate = capacityPerNode / max(b.config.SlowStartWindow.Seconds(), 1)
	}
	warmLimit := rate * b.config.OverloadFactor * b.config.OverloadWindow.Seconds() /
		float64(max(len(b.ready), 1))
	limit := warmLimit * b.capacityFraction(s.likelyStart)
	if b.assumedStart(s) > s.likelyStart {
		// If the clocks are wrong, the sampling margin covers the difference.
		nodeCount := float64(b.config.NodeCount)
		latestStartLimit := nodeCount * warmLimit * b.capacityFraction(s.latestStart)
		limit = min(limit, (latestStartLimit+samplingMargin(latestStartLimit)-1)/nodeCount)
	}
	return limit
}

// samplingMargin returns the number of attempts by which a server in slow start may exceed its limit in a
// window without overload, according to the rules of the deployment.
func samplingMargin(limit float64) float64 { return 2*math.Sqrt(limit) + 2 }

// capacityFraction returns the mean fraction of its full capacity that a server with a given start had in the
// last window.
func (b *Balancer) capacityFraction(start time.Duration) float64 {
	minCapacity := b.config.SlowStartMinCapacity
	age := float64(b.now-start-b.config.OverloadWindow/2) / float64(b.config.SlowStartWindow)
	return minCapacity + (1-minCapacity)*min(max(age, 0), 1)
}
