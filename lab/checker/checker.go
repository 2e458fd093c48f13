// Package checker checks the history of a run of many nodes against the program's guarantees. Callers record the
// requests and answers of the clients, the attempts at the servers and the notifications by the list service, with
// times of a single clock. They also inject the faults and record them, because the guarantees are weaker at a node
// with a fault. The package shares no code with the program's decisions. Its results do not depend on the order in
// which events are recorded within the configured slack.
package checker

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// maxMessages is the maximum number of violations that are described.
const maxMessages = 40

// messageTime is the layout of the time at the start of a description.
const messageTime = "15:04:05.000 "

// Kinds of rate limits whose events the checker derives from attempts.
const (
	opensPerSecond   = "opens_per_s"
	retriesPerSecond = "retries_per_s"
	openPerCustomer  = "open_per_customer"
)

// Config holds the bounds that are checked.
type Config struct {
	AnswerGrace time.Duration // maximum time from a request's deadline to its final answer
	DrainGrace  time.Duration // maximum time from the notification of a server's drain to an attempt at it
	Slack       time.Duration // maximum difference between times at two places, including delays of the caller

	// RateLimits holds the maximum number of events in any second, by kind; 0 means no limit. "retries_per_s" counts
	// attempts of a request after its first. "open_per_customer" limits concurrent connections instead.
	RateLimits map[string]int

	// SlowStartLimit returns the number of attempts allowed within OverloadWindow at a server in slow start, from all
	// nodes that were notified of its start. age is the server's age at the end of the window. MaxSlowStartSends adds a
	// margin. SlowStartWindow is the length of the slow start.
	OverloadWindow  time.Duration
	SlowStartLimit  func(age time.Duration) float64
	SlowStartWindow time.Duration

	DepartureGrace time.Duration // maximum time from a client's departure to the start of an attempt for it

	// IdempotencyWindow is the time for which a server drops repetitions of a keyed request, counted from the first
	// attempt that may have been executed.
	IdempotencyWindow time.Duration

	ReadyTimeout time.Duration // within which 90% of the processes started by an event are ready; 0 means no bound
}

// MaxSlowStartSends returns the limit of attempts in a window for n allowed attempts, where n is 0 or more. It is the
// stricter one of n + 1 and the operators' bound, n + 2√n + 2.
func MaxSlowStartSends(n float64) float64 {
	return min(n+1, n+2*math.Sqrt(n)+2)
}

// Idempotency states whether a request may be executed repeatedly.
type Idempotency int

// Kinds of requests by idempotency.
const (
	Idempotent      Idempotency = iota // repetitions are harmless
	KeyedIdempotent                    // repetitions are harmless within Config.IdempotencyWindow
	NotIdempotent                      // repetitions execute the request again
)

// Checker collects a history and counts the violations in it. Its methods are safe for concurrent use. Its fields are
// valid after Check has returned.
type Checker struct {
	config Config

	mu             sync.Mutex
	violations     Violations
	messages       []string
	disturbed      map[int][]interval // by node: periods of injected faults
	impaired       map[int][]interval // by node: periods in which its messages to servers were delayed or lost
	requests       map[string]*request
	attempts       map[string]*attempt // by request ID: the latest attempt
	concurrent     []overlap
	leavingSince   map[nodeServer]time.Time // time of the notification that the server drains or is removed
	knownStarts    map[nodeServer]time.Time // start of the server of which the node was notified last
	slowStartSends []slowStartSend
	rateEvents     map[rateKey][]interval
	openByCustomer map[string]map[string]int // by customer and request ID: number of open attempts and connections
	retries        int
	startsByEvent  map[int][]processStart
	idleClients    []idleClient

	Excused              int     // unanswered requests that are excused by a fault at their node
	Answered             int     // requests that were answered in time
	SlowStartSends       int     // attempts at servers in slow start by nodes notified of their start
	Retries              int     // attempts after the first one of their request
	MaxOpen              int     // maximum number of concurrent connections of one customer; 0 if they are not limited
	ForeignRequests      int     // requests received by servers that no client sent, as another run uses the same ports
	SlowStartUtilization float64 // maximum ratio of attempts in a slow-start window to their limit
}

// nodeServer identifies a server as seen by a node.
type nodeServer struct {
	node   int
	server string
}

// rateKey identifies the subject of a rate limit.
type rateKey struct{ kind, owner string }

// processStart is the start of a process. The process became ready after the duration, or was observed for the duration
// without becoming ready.
type processStart struct {
	duration time.Duration
	ready    bool
}

// interval is a time interval. If to is zero, the interval has not ended.
type interval struct{ from, to time.Time }

// request is a request that a client sent.
type request struct {
	node             int
	idempotency      Idempotency
	leftAt           time.Time // departure of the client before an answer; zero if it did not leave
	executedAt       time.Time // arrival of the first attempt that may have been executed; zero if there is none
	customer         string
	sentAt, deadline time.Time
	answeredAt       time.Time // zero without a final answer
}

// attempt is an attempt of a request that a server received.
type attempt struct {
	server     string
	receivedAt time.Time
	ended      bool
}

// idleClient is a client without a request whose node did not disconnect it in time.
type idleClient struct {
	description string
	node        int
	at          time.Time
}

// overlap is a pair of attempts of a request. The second arrived before the end of the first was recorded.
type overlap struct {
	request string
	first   *attempt
	at      time.Time // arrival of the second attempt
	second  string    // server of the second attempt
}

// slowStartSend is an attempt at a server in slow start by a node notified of the start.
type slowStartSend struct {
	at        time.Time
	node      int
	server    string
	requestID string
	started   time.Time
}

// New returns a Checker with an empty history.
func New(config Config) *Checker {
	return &Checker{
		config:         config,
		disturbed:      map[int][]interval{},
		impaired:       map[int][]interval{},
		requests:       map[string]*request{},
		attempts:       map[string]*attempt{},
		leavingSince:   map[nodeServer]time.Time{},
		knownStarts:    map[nodeServer]time.Time{},
		rateEvents:     map[rateKey][]interval{},
		openByCustomer: map[string]map[string]int{},
		startsByEvent:  map[int][]processStart{},
	}
}

// recordViolation increments the count of a rule and describes the violation, for up to maxMessages violations. c.mu
// must be held.
func (c *Checker) recordViolation(count *int, at time.Time, format string, args ...any) {
	*count++
	if len(c.messages) < maxMessages {
		c.messages = append(c.messages, at.Format(messageTime)+fmt.Sprintf(format, args...))
	}
}
