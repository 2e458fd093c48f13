package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// freshnessWindow is the time for which a load report, a late message or a failure is taken into account.
	freshnessWindow = 1500 * time.Millisecond

	// targetUtilisation is the utilisation up to which a server gets connections of any group.
	targetUtilisation = 0.6
	// maxGroupUtilisation is the utilisation up to which a server gets connections of a group that it already
	// has.
	maxGroupUtilisation = 0.85
	// maxUtilisation is the utilisation above which a server gets no connections if late messages are
	// reported. It is below 1 because load reports are old and load varies.
	maxUtilisation = 0.9

	// defaultMaxOpenRequests is used if Config.MaxOpenRequests is not set.
	defaultMaxOpenRequests = 1 << 20

	// maxIncarnations is the number of distinct incarnations. They fit in one digit of the encoded gossip.
	maxIncarnations = 64
)

// Balancer holds the state of one node and makes its decisions. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration // time of the current event
	actions   []Action      // result of Handle; the slice is reused
	started   bool          // whether an event was handled, the first one at startedAt
	startedAt time.Duration

	servers  map[ServerID]*server
	ready    []*server            // sorted by ID, so that no decision depends on map order
	rankings map[string][]*server // by ranking key, valid until ready changes
	requests map[RequestID]*request
	affinity affinityTable

	listStaleAt  time.Duration // when the endpoint list becomes stale
	listAge      listAge
	watchBackoff time.Duration // pause before the last watch request

	utilisationLimit      float64 // above which a server gets no connections
	groupUtilisationLimit float64 // up to which a server gets connections of a group that it already has
	rebalanceSource       *server // to be rebalanced once the load of other servers is known; nil for none
	utilisationTimerSet   bool
	openConnections       int // on all servers, including attempts in flight

	startTimes              startTracker
	connectionRate          float64 // new connections per second, averaged over rateWindow
	connectionRateUpdatedAt time.Duration
	trustListedTimes        bool // use likelyStart in place of latestStart for servers in the cached list
	handedOver              bool // whether a successor process makes the attempts on servers in slow start
	recentReconnects        int  // since reconnectsCountedSince
	reconnectsCountedSince  time.Duration

	incarnation        uint8
	incarnations       map[int]uint8 // by index of the other nodes, as last received
	meanConnectionLoad float64       // in units of work per second

	serversVisited int // in all events so far; a measure of their cost
}

// New returns a Balancer without servers. The seed initialises its random number generator and has to differ
// between nodes.
func New(config Config, seed uint64) *Balancer {
	config.NodeCount = max(config.NodeCount, 1)
	config.MaxAttempts = max(config.MaxAttempts, 1)
	config.MaxOpenRequests = cmp.Or(max(config.MaxOpenRequests, 0), defaultMaxOpenRequests)
	b := &Balancer{
		config:                config,
		rng:                   rand.New(rand.NewPCG(seed, 0)),
		servers:               map[ServerID]*server{},
		rankings:              map[string][]*server{},
		requests:              map[RequestID]*request{},
		affinity:              newAffinityTable(cmp.Or(max(config.MaxAffinities, 0), config.MaxOpenRequests)),
		listStaleAt:           math.MaxInt64,
		listAge:               newListAge(config),
		utilisationLimit:      1,
		groupUtilisationLimit: targetUtilisation,
		startTimes:            newStartTracker(config),
		incarnation:           uint8(1 + seed%maxIncarnations),
		incarnations:          map[int]uint8{},
	}
	if config.LateMessagesReported {
		b.utilisationLimit, b.groupUtilisationLimit = maxUtilisation, maxGroupUtilisation
	}
	return b
}

// Handle processes one event and returns the resulting actions. The slice is valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.actions = max(b.now, now), b.actions[:0]
	if !b.started {
		b.started, b.startedAt = true, b.now
	}
	b.affinity.expire(b.now)
	switch ev := ev.(type) {
	case EndpointUpdate:
		b.handleEndpointUpdate(ev)
	case ClockOffset:
		b.startTimes.observeClock(ev.Ahead, ev.ReferenceRead)
	case Request:
		b.place(b.admit(ev))
	case ExistingConnection:
		b.handleExistingConnection(ev)
	case ClientDisconnected:
		b.handleClientDisconnected(ev)
	case AttemptAccepted:
		b.handleAttemptAccepted(ev)
	case AttemptEnded:
		b.handleAttemptEnded(ev)
	case LateMessage:
		b.handleLateMessage(ev)
	case HealthCheckResult:
		b.handleHealthCheckResult(ev)
	case GossipReceived:
		b.handleGossip(ev)
	case ConnectionLoad:
		b.handleConnectionLoad(ev)
	case TimerFired:
		b.handleTimer(ev.Token)
	case ShutdownAnnounced:
		b.handleShutdown(ev.Server)
	case HandedOver:
		b.handleHandedOver(ev)
	}
	return b.actions
}

// Timer tokens. A token from timerRequest up to timerListWait belongs to the request with the ID token -
// timerRequest.
const (
	timerWatchEndpoints = 1
	timerUtilisation    = 2
	timerGossip         = 3
	timerRequest        = 4
	// The end of a request's wait for a list has the token timerListWait + ID.
	timerListWait = 1 << 63
)

func (b *Balancer) handleTimer(token uint64) {
	switch {
	case token == timerWatchEndpoints:
		b.emit(WatchEndpoints{})
	case token == timerUtilisation:
		b.checkUtilisation()
	case token == timerGossip:
		b.gossipAllLoads()
	case token >= timerListWait:
		b.endListWait(RequestID(token - timerListWait))
	default:
		b.endLoadWait(RequestID(token - timerRequest))
	}
}

// emit adds an action to the result of the current event.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// jitter returns a random duration between 0.5 d and 1.5 d, so that nodes and clients do not act at the same
// time.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + b.rng.Float64()))
}
