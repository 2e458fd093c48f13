package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// freshnessWindow is how long a report, a late message or a failure counts.
	freshnessWindow = 1500 * time.Millisecond

	// targetUtilisation is the utilisation up to which a server gets any connection.
	targetUtilisation = 0.6
	// maxGroupUtilisation is the utilisation up to which a server gets connections of a group that it holds.
	maxGroupUtilisation = 0.85
	// maxUtilisation is the utilisation over which a server gets no connection, where late messages are
	// reported. It is below 1 as load reports are old and load varies.
	maxUtilisation = 0.9

	// defaultMaxOpenRequests bounds the requests where the configuration does not.
	defaultMaxOpenRequests = 1 << 20

	// maxIncarnations is the number of different incarnations; one digit of the encoded gossip holds them.
	maxIncarnations = 64
)

// Balancer holds one node's state and makes its decisions. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration // of the event at hand
	actions   []Action      // returned by Handle, and reused
	started   bool          // an event was handled, the first one at startedAt
	startedAt time.Duration

	servers  map[ServerID]*server
	ready    []*server            // by ID, so that no decision depends on the order of a map
	rankings map[string][]*server // by ranking key, valid until ready changes
	requests map[RequestID]*request
	affinity affinityTable

	listStaleAt  time.Duration // from then on the endpoint list counts as stale
	watchBackoff time.Duration // pause before the last watch request

	utilisationLimit    float64 // over which a server gets no connection
	groupUtilisation    float64 // up to which a server gets connections of a group that it holds
	rebalanceSource     *server // is rebalanced once the load of others is known; nil for none
	utilisationTimerSet bool
	openCount           int // connections on all servers, attempts in flight included

	startTimes      startTracker
	connectionRate  float64 // new connections a second
	rateUpdatedAt   time.Duration
	trustClocks     bool // start times are taken as listed
	handedOver      bool // a successor process makes the attempts on servers in slow start
	reconnects      int  // clients that came back since reconnectsSince
	reconnectsSince time.Duration

	incarnation  uint8
	incarnations map[int]uint8 // of the other nodes, as last received
	meanLoad     float64       // of a connection, in units of work a second

	serversVisited int // by all events so far; a measure of their cost
}

// New returns a Balancer without servers. The seed feeds its random draws; nodes need different ones.
func New(config Config, seed uint64) *Balancer {
	config.NodeCount = max(config.NodeCount, 1)
	config.MaxAttempts = max(config.MaxAttempts, 1)
	config.MaxOpenRequests = cmp.Or(max(config.MaxOpenRequests, 0), defaultMaxOpenRequests)
	b := &Balancer{
		config:           config,
		rng:              rand.New(rand.NewPCG(seed, 0)),
		servers:          map[ServerID]*server{},
		rankings:         map[string][]*server{},
		requests:         map[RequestID]*request{},
		affinity:         newAffinityTable(config.MaxOpenRequests),
		listStaleAt:      math.MaxInt64,
		utilisationLimit: 1,
		groupUtilisation: targetUtilisation,
		startTimes:       newStartTracker(config),
		incarnation:      uint8(1 + seed%maxIncarnations),
		incarnations:     map[int]uint8{},
	}
	if config.LateMessagesReported {
		b.utilisationLimit, b.groupUtilisation = maxUtilisation, maxGroupUtilisation
	}
	return b
}

// Handle takes one event and returns the actions that follow from it. The slice is valid until the next call.
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

// Tokens of timers. Those from timerRequest up belong to the request whose ID is added.
const (
	timerWatchEndpoints = 1
	timerUtilisation    = 2
	timerGossip         = 3
	timerRequest        = 4
)

func (b *Balancer) handleTimer(token uint64) {
	switch token {
	case timerWatchEndpoints:
		b.emit(WatchEndpoints{})
	case timerUtilisation:
		b.checkUtilisation()
	case timerGossip:
		b.gossipAllLoads()
	default:
		b.endWait(RequestID(token - timerRequest))
	}
}

// emit adds an action to those of the event at hand.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter returns a duration between a half and one and a half of d, so that nodes and clients do not act in
// step.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + b.rng.Float64()))
}
