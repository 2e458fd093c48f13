// Package checker checks a history of what many processes of the program did together: the clients report what they
// sent and received, the servers what they received, the list service what it reported, all by one clock. It shares no
// code with the program's decisions, and its verdict does not depend on the order in which reports arrive within its
// slack. Which faults are injected is left to the callers, who report them too, as a faulty node owes less.
package checker

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// maxMessages bounds the violations that are described in words.
const maxMessages = 40

// messageTime is the form of the time before a message.
const messageTime = "15:04:05.000 "

// Kinds of rate limits that the checker counts itself.
const (
	opensPerSecond   = "opens_per_s"
	retriesPerSecond = "retries_per_s"
	openPerCustomer  = "open_per_customer"
)

// Config has the bounds that are checked.
type Config struct {
	AnswerGrace time.Duration // from a request's deadline to its final answer, at most
	DrainGrace  time.Duration // from the report that a server drains to the last attempt there, at most
	Slack       time.Duration // error of times at two places, the caller's own lateness included

	// RateLimits are the limits of events in any second, by kind; 0 means no limit. "retries_per_s" counts attempts
	// of a request after its first; "open_per_customer" counts connections at the same time.
	RateLimits map[string]int

	// SlowStartLimit returns the attempts that a server in slow start may get within OverloadWindow, by its age at the
	// end of the window, from all nodes that know of its start. MaxSlowStartSends adds a margin.
	OverloadWindow  time.Duration
	SlowStartLimit  func(age time.Duration) float64
	SlowStartWindow time.Duration

	DepartureGrace time.Duration // from a client's departure to the last start of an attempt for it, at most

	// IdempotencyWindow is the time from the first attempt that may have been executed in which a server drops
	// repetitions of a keyed request.
	IdempotencyWindow time.Duration

	ReadyTimeout time.Duration // in which nine of ten processes that an event started are ready; 0 means no bound
}

// MaxSlowStartSends returns the limit of attempts in a window for which n are allowed, n being 0 or more: the stricter
// one of n + 1 and the operators' bound, n + 2√n + 2.
func MaxSlowStartSends(n float64) float64 { return min(n+1, n+2*math.Sqrt(n)+2) }

// Idempotency tells what the repetition of a request does.
type Idempotency int

// The kinds of requests.
const (
	Idempotent      Idempotency = iota // a repetition does no harm
	KeyedIdempotent                    // a repetition does no harm within Config.IdempotencyWindow
	NotIdempotent                      // a repetition does the work again
)

// Checker collects a history and counts the violations in it. Its methods may be called from any goroutine; its figures
// are read after Check, by one.
type Checker struct {
	config Config

	mu             sync.Mutex
	violations     Violations
	messages       []string
	disturbed      map[int][]span // by node: when the caller injected a fault
	impaired       map[int][]span // by node: when its messages to servers were delayed or lost
	requests       map[string]*request
	attempts       map[string]*attempt // by request: the last one
	concurrent     []overlap
	leavingSince   map[nodeServer]time.Time // when the node was notified that the server drains or is removed
	knownStarts    map[nodeServer]time.Time // the server's start, of which the node was notified
	slowStartSends []send
	rateEvents     map[rateKey][]span
	openByCustomer map[string]map[string]int // by customer and request: attempts and connections at servers
	retries        int
	startsByEvent  map[int][]processStart
	notClosed      []idleClient

	Excused              int     // requests without an answer that a fault at their node excuses
	Answered             int     // requests that were answered in time
	SlowStartSends       int     // attempts at servers in slow start by nodes that knew of it
	Retries              int     // attempts after the first of their request
	MaxOpen              int     // connections of one customer at the same time, at most; 0 without a limit of them
	ForeignRequests      int     // requests that servers got but no client reported: another run uses the same ports
	SlowStartUtilization float64 // of the fullest window of a server in slow start; 1 is the limit
}

type nodeServer struct {
	node   int
	server string
}

// rateKey names what a rate limit applies to.
type rateKey struct{ kind, owner string }

// processStart is a process that was ready after the duration, or was watched for so long without being so.
type processStart struct {
	duration time.Duration
	ready    bool
}

// span is an interval of time; a zero end means that it goes on.
type span struct{ from, to time.Time }

type request struct {
	node             int
	idempotency      Idempotency
	leftAt           time.Time // when its client left unanswered; zero if it did not
	executedAt       time.Time // when the first attempt that may have been executed arrived
	customer         string
	sentAt, deadline time.Time
	answeredAt       time.Time
}

type attempt struct {
	server     string
	receivedAt time.Time
	ended      bool
}

// idleClient is a client that sent no request and was not disconnected in time.
type idleClient struct {
	description string
	node        int
	at          time.Time
}

// overlap is an attempt that arrived while another of its request seemed to be in progress.
type overlap struct {
	request string
	first   *attempt
	at      time.Time
	second  string
}

// send is an attempt at a server in slow start.
type send struct {
	at      time.Time
	node    int
	server  string
	id      string
	started time.Time
}

// New returns a Checker with an empty history.
func New(config Config) *Checker {
	return &Checker{
		config:         config,
		disturbed:      map[int][]span{},
		impaired:       map[int][]span{},
		requests:       map[string]*request{},
		attempts:       map[string]*attempt{},
		leavingSince:   map[nodeServer]time.Time{},
		knownStarts:    map[nodeServer]time.Time{},
		rateEvents:     map[rateKey][]span{},
		openByCustomer: map[string]map[string]int{},
		startsByEvent:  map[int][]processStart{},
	}
}

// violate counts a violation and describes it. c.mu is held.
func (c *Checker) violate(count *int, at time.Time, format string, args ...any) {
	*count++
	if len(c.messages) < maxMessages {
		c.messages = append(c.messages, at.Format(messageTime)+fmt.Sprintf(format, args...))
	}
}
