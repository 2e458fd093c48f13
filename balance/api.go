// Package balance decides which server each connection goes to, and when connections are retried, rejected or
// migrated. It owns the state that these decisions need: the endpoint list as last received, the load and the
// health of each server, the affinity of clients to servers, and the requests that are still owed an answer.
//
// The package does no I/O, starts no goroutines and reads no clock. A node translates what happens to it into
// events, passes them to Balancer.Handle and carries out the actions that this returns. Connections, timers,
// the encoding of gossip, the source of the endpoint list and the leasing of quotas belong to the node.
//
// Times are durations since one fixed moment that the caller chooses; the same moment for every node of a
// deployment whose servers' start times are compared.
package balance

import "time"

// ServerID names a server. It is the same on every node and after a restart of the server.
type ServerID uint64

// RequestID names one request of a client. It is never reused.
type RequestID uint64

// Idempotency tells what a second execution of a request does.
type Idempotency int

const (
	// NonIdempotent requests repeat their effect. It is also assumed for unknown classes.
	NonIdempotent Idempotency = iota
	// IdempotentByKey requests are deduplicated by their key, within Class.KeyScope and Class.KeyWindow.
	IdempotentByKey
	// Idempotent requests may be repeated anywhere and at any time.
	Idempotent
)

// KeyScope is the group of servers that share the idempotency keys they have seen.
type KeyScope int

const (
	// KeyScopeCell is shared by the servers of one cell.
	KeyScopeCell KeyScope = iota
	// KeyScopeZone is shared by the servers of one zone.
	KeyScopeZone
	// KeyScopeAll is shared by all servers.
	KeyScopeAll
)

// Class describes a kind of request.
type Class struct {
	Idempotency Idempotency
	KeyScope    KeyScope
	// KeyWindow is how long after the first attempt duplicates of an IdempotentByKey request are dropped.
	KeyWindow time.Duration
	// MessageObjective is the latency objective of a message on an established connection.
	MessageObjective time.Duration
	// ConnectObjective is the latency objective of connection establishment; 0 means none.
	ConnectObjective time.Duration
	// MaxTimeout is the longest that any client waits for a request with all its attempts; 0 means unknown.
	MaxTimeout time.Duration
}

// Config is fixed for the lifetime of a Balancer. The zero value of a field has the meaning given with it.
type Config struct {
	// NodeCount is the number of nodes that share the servers, this one included; 0 means 1.
	NodeCount int
	// NodeIndex is this node's index among them, from 0.
	NodeIndex int
	// Classes by name. A request of an unknown class is NonIdempotent.
	Classes map[string]Class
	// EndpointsPushed tells that changes of the endpoint list arrive without a watch request.
	EndpointsPushed bool

	// Zone is this node's zone; "" means that zones are not taken into account.
	Zone string
	// CrossZoneCost is the cost of a connection to another zone; only whether it is over 0 matters.
	CrossZoneCost float64
	// GossipEnabled tells that nodes may exchange GossipMessages, by which they keep a load ledger of each
	// server.
	GossipEnabled bool
	// CoresPerWeight is the capacity, in cores, of a server of Weight 1. It scales the load ledger.
	CoresPerWeight float64

	// LateMessagesReported tells that LateMessage events occur; otherwise overload shows in load reports
	// only.
	LateMessagesReported bool

	// MaxAttempts is the number of attempts for one request; 0 means 1.
	MaxAttempts int
	// HealthChecksAllowed permits HealthCheck actions.
	HealthChecksAllowed bool
	// MaxRetryAfter is the longest RetryAfter that clients obey; 0 means that they are given none.
	MaxRetryAfter time.Duration
	// MaxOpenRequests bounds the requests held at once and the affinity table; 0 means the package's own
	// bound.
	MaxOpenRequests int
	// TickInterval is the shortest time between two events; what is left of a request's time has to exceed it
	// for a retry.
	TickInterval time.Duration

	// SlowStartQuotas leases this node's part of the attempts on servers in slow start; nil means a fixed
	// part.
	SlowStartQuotas SlowStartQuotas

	// SlowStartMinCapacity is the fraction of its capacity that a server has right after its start, from 0 to
	// 1.
	SlowStartMinCapacity float64
	// SlowStartWindow is the time from a server's start until it has its whole capacity.
	SlowStartWindow time.Duration
	// OverloadFactor is the multiple of its present capacity at which a server in slow start is overloaded,
	// if that much work comes for an OverloadWindow.
	OverloadFactor float64
	// OverloadWindow is the time over which work is counted against OverloadFactor.
	OverloadWindow time.Duration
	// ConnectionCapacity is the number of connections that all servers together hold; 0 means unknown.
	ConnectionCapacity float64

	// TimeoutUncertainty is the largest error of Request.Timeout in either direction.
	TimeoutUncertainty time.Duration
	// ClockUntrusted tells that nothing is known of the offset between this node's clock and the one by which
	// start times are listed, until a ClockOffset arrives. Otherwise they are the same clock.
	ClockUntrusted bool
	// StartTimeUncertainty is the largest error of Server.StartedAt in either direction, clock offsets aside.
	StartTimeUncertainty time.Duration
	// KeepUnlistedServers tells that a server which disappears from the list without a Draining entry may
	// still be used.
	KeepUnlistedServers bool
}

// SlowStartQuotas is this node's share of the attempts that servers in slow start may get from all nodes. It
// is called by Handle and must not call back.
type SlowStartQuotas interface {
	// Remaining returns the number of attempts left for a server; -1 means none, but more can be requested.
	Remaining(ServerID) int
	// RequestMore asks the other nodes for attempts and reports whether an answer is on its way. The answer
	// is delivered as a HealthCheckResult without a report, which resumes the requests that wait for the
	// server.
	RequestMore(ServerID) bool
	// Take uses up one attempt and reports whether there was one.
	Take(ServerID) bool
}

// NotifiedNodesFraction is the part of WarmServerAttemptLimit that the nodes notified of a server's start may
// use where others may not have been notified: those treat it as warm, and the limit has to hold for the sum
// of both.
const NotifiedNodesFraction = 2.0 / 3

// WarmServerAttemptLimit returns the number of attempts from all nodes together in one OverloadWindow that a
// warm server is sure to bear, when readyServers servers share the connections.
func (c Config) WarmServerAttemptLimit(readyServers int) float64 {
	return c.ConnectionCapacity / c.SlowStartWindow.Seconds() * c.OverloadFactor *
		c.OverloadWindow.Seconds() /
		float64(max(readyServers, 1))
}

// ServerState is a server's state in the endpoint list.
type ServerState int

const (
	// Removed servers are not in the list any more.
	Removed ServerState = iota
	// Draining servers keep their connections and get no new ones.
	Draining
	// Ready servers get new connections.
	Ready
)

// Server is an entry of the endpoint list.
type Server struct {
	ID    ServerID
	State ServerState
	Zone  string
	Cell  int
	// Weight is the capacity relative to other servers; values up to 0 mean 1.
	Weight float64
	// StartedAt is the time of the last start; 0 means long ago.
	StartedAt time.Duration
}

// Outcome is the result of an attempt or of a health check.
type Outcome int

const (
	// ServerError means that the server answered with an error; the request may have been executed.
	ServerError Outcome = iota
	// OK means that the request was served.
	OK
	// AtCapacity means that the server rejected the request without executing it.
	AtCapacity
	// TimedOut means that no answer came in time; the request may have been executed.
	TimedOut
	// ConnectFailed means that no connection to the server came up; the request was not executed.
	ConnectFailed
	// Reset means that the connection broke; the request may have been executed.
	Reset
	// Cancelled means that the node or the client cancelled the attempt; the request may have been executed.
	Cancelled
	// Abandoned means that the attempt was not started and that the request gets no further one.
	Abandoned
	// NotSent means that the attempt was cancelled before its first byte was sent, through no fault of the
	// server. It does not count as an attempt.
	NotSent
)

// NotExecuted reports whether the outcome proves that the server did not execute the request.
func (o Outcome) NotExecuted() bool {
	return o == AtCapacity || o == ConnectFailed || o == Abandoned || o == NotSent
}

// LoadReport is a server's report of its own load.
type LoadReport struct {
	// Utilisation is the work asked of the server over its capacity. A negative value means that the server
	// did not tell, and counts as 0.
	Utilisation float64
}
