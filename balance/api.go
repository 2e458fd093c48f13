// Package balance selects a server for each connection and decides when connections are retried, rejected or
// migrated. It owns the state that these decisions need: the endpoint list as last received, the load and the
// health of each server, the affinity of clients to servers, and the open requests.
//
// The package does no I/O, starts no goroutines and reads no clock. A node passes events to Balancer.Handle
// and carries out the returned actions. Connections, timers, the encoding of gossip, the source of the
// endpoint list and the leasing of quotas are handled by the node.
//
// Times are durations since a fixed moment that the caller chooses. All nodes of a deployment have to use the
// same moment if they compare the start times of servers.
package balance

import "time"

// ServerID identifies a server. It is the same on every node and survives a restart of the server.
type ServerID uint64

// RequestID identifies one request of a client. It is never reused.
type RequestID uint64

// Idempotency states whether a request may be executed more than once.
type Idempotency int

const (
	// NonIdempotent requests must be executed at most once. Requests of unknown classes count as such.
	NonIdempotent Idempotency = iota
	// IdempotentByKey requests are deduplicated by their idempotency key, within Class.KeyScope and
	// Class.KeyWindow.
	IdempotentByKey
	// Idempotent requests may be executed repeatedly, on any server and at any time.
	Idempotent
)

// KeyScope is the set of servers that share a record of idempotency keys.
type KeyScope int

const (
	// KeyScopeCell covers the servers of one cell.
	KeyScopeCell KeyScope = iota
	// KeyScopeZone covers the servers of one zone.
	KeyScopeZone
	// KeyScopeAll covers all servers.
	KeyScopeAll
)

// Class holds the properties that requests of one kind share.
type Class struct {
	Idempotency Idempotency
	KeyScope    KeyScope
	// KeyWindow is the time after the first attempt within which servers drop duplicates of an
	// IdempotentByKey request.
	KeyWindow time.Duration
	// MessageObjective is the latency objective of a message on an established connection.
	MessageObjective time.Duration
	// ConnectObjective is the latency objective of establishing a connection; 0 means none.
	ConnectObjective time.Duration
	// MaxTimeout is the longest time that any client waits for a request, including all attempts; 0 means
	// unknown.
	MaxTimeout time.Duration
}

// Config is the configuration of a Balancer, fixed for its lifetime.
type Config struct {
	// NodeCount is the number of nodes that share the servers, including this one; 0 means 1.
	NodeCount int
	// NodeIndex is the index of this node among them, from 0.
	NodeIndex int
	// Classes maps names to classes. A request of an unknown class is NonIdempotent.
	Classes map[string]Class
	// EndpointsPushed is set if changes of the endpoint list arrive without a watch request.
	EndpointsPushed bool
	// MaxListAge is the time for which the endpoint list may be used after its last confirmation. Requests
	// then wait for a list, unless lists are requested and health checks precede each request. While the
	// discovery service cannot be reached, servers that have shown since that they accept clients stay in
	// use. 0 means no limit.
	MaxListAge time.Duration
	// PushedListAge is the time for which the list may be used, where lists are pushed, after the end of a
	// watch while the agent may have changes.
	PushedListAge time.Duration
	// OutageListAge is the age of the list from which the discovery service counts as unavailable, so that
	// the list is used again; 0 means never.
	OutageListAge time.Duration
	// ReadinessChecksAllowed allows HealthCheck actions that show whether a server accepts clients while
	// changes may be missing from the list, also if HealthChecksAllowed is not set.
	ReadinessChecksAllowed bool

	// Zone is the zone of this node; if empty, zones are ignored.
	Zone string
	// CrossZoneCost is the cost of a connection to another zone. Any value above 0 ranks the servers of this
	// node's zone first.
	CrossZoneCost float64
	// GossipEnabled allows the nodes to exchange GossipMessages. From these, the owner of each server's load
	// ledger records the load that every node puts on the server.
	GossipEnabled bool
	// CoresPerWeight is the capacity, in cores, of a server of Weight 1. It converts the load in a ledger to
	// a utilisation.
	CoresPerWeight float64

	// LateMessagesReported is set if LateMessage events occur. Otherwise only load reports reveal an
	// overload.
	LateMessagesReported bool

	// MaxAttempts bounds the attempts of one request; 0 means 1.
	MaxAttempts int
	// HealthChecksAllowed allows HealthCheck actions.
	HealthChecksAllowed bool
	// MaxRetryAfter is the longest Reject.RetryAfter that clients honour; 0 means that none is sent.
	MaxRetryAfter time.Duration
	// MaxOpenRequests is the number of requests that may be open at once. 0 means defaultMaxOpenRequests.
	MaxOpenRequests int
	// MaxAffinities bounds the clients whose server is remembered. If more have come within affinityTTL,
	// those that have been idle longest are forgotten. 0 means MaxOpenRequests.
	MaxAffinities int
	// TickInterval is the shortest time between two events. A request is retried only if more than this is
	// left until its deadline.
	TickInterval time.Duration

	// SlowStartQuotas leases this node's share of the attempts on servers in slow start; nil means a fixed
	// share.
	SlowStartQuotas SlowStartQuotas

	// SlowStartMinCapacity is the fraction of its full capacity that a server has right after its start, from
	// 0 to 1.
	SlowStartMinCapacity float64
	// SlowStartWindow is the time from the start of a server until it has its full capacity.
	SlowStartWindow time.Duration
	// OverloadFactor is the multiple of its current capacity that overloads a server in slow start if it
	// lasts for an OverloadWindow.
	OverloadFactor float64
	// OverloadWindow is the time over which load is compared with OverloadFactor.
	OverloadWindow time.Duration
	// ConnectionCapacity is the number of connections that all servers together can hold; 0 means unknown.
	ConnectionCapacity float64

	// TimeoutUncertainty is the largest error of Request.Timeout in either direction.
	TimeoutUncertainty time.Duration
	// ClockUntrusted is set if the offset between this node's clock and the reference clock of the listed
	// start times is unknown until a ClockOffset arrives. Otherwise the two clocks are assumed to agree.
	ClockUntrusted bool
	// StartTimeUncertainty is the largest error of Server.StartedAt in either direction, in addition to clock
	// offsets.
	StartTimeUncertainty time.Duration
	// KeepUnlistedServers allows the use of a server that disappears from the endpoint list without a
	// Draining entry.
	KeepUnlistedServers bool
}

// SlowStartQuotas is this node's share of the attempts that all nodes may make on servers in slow start.
// Handle calls its methods, which must not call the Balancer.
type SlowStartQuotas interface {
	// Remaining returns the number of attempts left for a server. A negative value means that none are left
	// but that more can be requested.
	Remaining(ServerID) int
	// RequestMore requests more attempts from the other nodes and reports whether a response will follow. The
	// response arrives as a HealthCheckResult without a report, which resumes the requests that wait for the
	// server.
	RequestMore(ServerID) bool
	// Take consumes one attempt and reports whether one was left.
	Take(ServerID) bool
}

// NotifiedNodesFraction is the fraction of WarmServerAttemptLimit that the nodes notified of a server's start
// may use while other nodes may not have been notified. The latter treat the server as warm, and the attempts
// of both groups together have to stay within the limit.
const NotifiedNodesFraction = 2.0 / 3

// WarmServerAttemptLimit returns the number of attempts that a warm server can certainly take from all nodes
// in one OverloadWindow, if readyServers servers share the connections.
func (c Config) WarmServerAttemptLimit(readyServers int) float64 {
	return c.ConnectionCapacity / c.SlowStartWindow.Seconds() * c.OverloadFactor *
		c.OverloadWindow.Seconds() /
		float64(max(readyServers, 1))
}

// ServerState is the state of a server in the endpoint list.
type ServerState int

const (
	// Removed servers are no longer in the list.
	Removed ServerState = iota
	// Draining servers keep their connections but get no new ones.
	Draining
	// Ready servers accept new connections.
	Ready
)

// Server is an entry of the endpoint list.
type Server struct {
	ID    ServerID
	State ServerState
	Zone  string
	Cell  int
	// Weight is the capacity relative to other servers; 0 or less means 1.
	Weight float64
	// StartedAt is the time of the latest start; 0 means that it was long ago.
	StartedAt time.Duration
}

// Outcome is the result of an attempt or of a health check.
type Outcome int

const (
	// ServerError means that the server responded with an error; the request may have been executed.
	ServerError Outcome = iota
	// OK means that the request was served.
	OK
	// AtCapacity means that the server rejected the request without executing it.
	AtCapacity
	// TimedOut means that no response arrived in time; the request may have been executed.
	TimedOut
	// ConnectFailed means that no connection to the server was established; the request was not executed.
	ConnectFailed
	// Reset means that the connection broke; the request may have been executed.
	Reset
	// Cancelled means that the node or the client cancelled the attempt; the request may have been executed.
	Cancelled
	// Abandoned means that the attempt was not started and that the request gets no further attempt.
	Abandoned
	// NotSent means that the attempt was cancelled before its first byte was sent, for a reason unrelated to
	// the server. It does not count towards Config.MaxAttempts.
	NotSent
)

// NotExecuted reports whether the outcome proves that the server did not execute the request.
func (o Outcome) NotExecuted() bool {
	return o == AtCapacity || o == ConnectFailed || o == Abandoned || o == NotSent
}

// LoadReport is a server's report of its own load.
type LoadReport struct {
	// Utilisation is the demanded work divided by the capacity. A negative value means that the server did
	// not report it, and counts as 0.
	Utilisation float64
}
