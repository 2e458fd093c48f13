package balance

import "time"

// Event is an occurrence at this node: one of the types in this file.
type Event interface{ event() }

// EndpointUpdate is a change of the endpoint list or the failure of a call that requested it.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// FormerService is set if the servers come from a discovery service that is no longer used. They do not
	// show whether the list is up to date.
	FormerService bool
	// ServiceWait is the time that a call which ended in WatchFailed waited for a response of the discovery
	// service; 0 if no connection was established or a list was received.
	ServiceWait time.Duration
	// DataReceived is set if a call that ended in WatchFailed returned data.
	DataReceived bool
	// Silent is set if the call or watch did not end, but no data arrived for too long.
	Silent bool
	// ConfirmedAt is the time of the last list or heartbeat, up to which no change is missing from the list.
	// It applies to a ListCached, and to the first event after which the list is no longer up to date; 0
	// means the time of the event.
	ConfirmedAt time.Duration
	// WatchedUntil is the time until which, where lists are pushed, no missing change counts as reported. It
	// applies to the same events; 0 means the time of the event.
	WatchedUntil time.Duration
	// AgeUnknown is set if any change may be missing from a ListCached.
	AgeUnknown bool
}

// UpdateKind defines how to apply the servers of an EndpointUpdate.
type UpdateKind int

const (
	// WatchFailed means that a call to the discovery service failed or the watch broke; the last list stays
	// in force.
	WatchFailed UpdateKind = iota
	// ListDelta contains only the entries that changed.
	ListDelta
	// ListSnapshot contains all entries; servers that are missing from it are removed.
	ListSnapshot
	// ListCached contains all entries as last known; they may be out of date.
	ListCached
	// WatchBroken means that a watch which had delivered data broke or timed out, or that the next call goes
	// to a different discovery service; the last list stays in force.
	WatchBroken
	// ListDelayed means that a list or a set of changes has begun to arrive and is not complete for a while.
	// The watch stays open; the last list stays in force.
	ListDelayed
)

// Request is a client's request for a connection. It gets exactly one final answer.
type Request struct {
	ID    RequestID
	Class string
	// ClientKey identifies the client for affinity; it may be empty.
	ClientKey string
	// Group identifies connections that share work and cost less if they are on the same server; it may be
	// empty.
	Group string
	// Timeout is the time for which the client waits.
	Timeout time.Duration
	// Reconnect is set if the client repeats a request or connects again after a broken connection.
	Reconnect bool
}

// ClockOffset reports how far this node's clock may be ahead of the reference clock of the listed start
// times. The largest offset received is used.
type ClockOffset struct {
	Ahead time.Duration
	// ReferenceRead is set if the reference clock was read. Otherwise this node's clock is only known to have
	// been wrong.
	ReferenceRead bool
}

// ExistingConnection is a connection that was established before this process started. Its attempt has the
// number 0.
type ExistingConnection struct {
	Request
	Server ServerID
	// Inherited is set if the previous process of this node had the connection, so that the last load report
	// of the server may include it.
	Inherited bool
}

// ClientDisconnected reports that the client of a request has disconnected, so that the request needs no
// answer.
type ClientDisconnected struct{ ID RequestID }

// AttemptAccepted reports that an attempt established the connection of a request.
type AttemptAccepted struct {
	ID      RequestID
	Attempt int // number of the attempt
	Server  ServerID
	Elapsed time.Duration
}

// AttemptEnded reports the end of an attempt or of the connection that it established.
type AttemptEnded struct {
	ID      RequestID
	Attempt int // number of the attempt
	Server  ServerID
	Outcome Outcome
	Elapsed time.Duration
	// Final is set if the request needs no further answer.
	Final  bool
	Report *LoadReport
	// GoAway is set if the server instructed the client to connect elsewhere, as a draining server does.
	GoAway bool
}

// LateMessage reports the current latency of messages on an established connection. It occurs about once a
// second while the latency exceeds a third of the shortest MessageObjective of any class.
type LateMessage struct {
	ID      RequestID
	Server  ServerID
	Latency time.Duration
}

// GossipReceived is a message from another node.
type GossipReceived struct {
	FromNode int // index of the sending node
	Message  GossipMessage
}

// GossipMessage is a message between nodes about the load of a server.
type GossipMessage struct {
	Kind GossipKind
	// Incarnation identifies one run of the sending node. It is the same in all messages of that run.
	Incarnation uint8
	Server      ServerID
	// Load is the load that the sender's connections put on the server, in microseconds of processor time per
	// second, in a GossipHeldLoad. In a GossipLoadResponse it is the utilisation of the server by all nodes,
	// in millionths.
	Load float64
	// Groups contains hashes of group names: of all groups that the sender has on the server in a
	// GossipHeldLoad, of the group of the waiting request in a GossipLoadRequest, and of the same group in a
	// GossipLoadResponse if it is on the server.
	Groups []uint16
}

// GossipKind is the kind of a GossipMessage.
type GossipKind int

const (
	// GossipHeldLoad informs the owner of a server's load ledger of the load that the sender puts on the
	// server.
	GossipHeldLoad GossipKind = iota
	// GossipLoadRequest requests the load by all nodes from the owner of the ledger.
	GossipLoadRequest
	// GossipLoadResponse answers a GossipLoadRequest.
	GossipLoadResponse
)

// ConnectionLoad reports the load of an established connection, in microseconds of processor time per second.
type ConnectionLoad struct {
	ID   RequestID
	Load float64
}

// HealthCheckResult is the result of a HealthCheck.
type HealthCheckResult struct {
	Server  ServerID
	Outcome Outcome
	Elapsed time.Duration
	Report  *LoadReport // nil if the server sent none
}

// TimerFired reports that the timer of a SetTimer has expired.
type TimerFired struct{ Token uint64 }

// ShutdownAnnounced reports that a server, or this node if Server is 0, is about to shut down and that its
// connections have to be migrated. It is repeated while there are any.
type ShutdownAnnounced struct{ Server ServerID }

// HandedOver reports whether a successor process of this node has taken over the attempts on servers in slow
// start. This process then makes no such attempts, so that no limit is used twice. ToSuccessor is false if
// the successor failed and this process continues.
type HandedOver struct{ ToSuccessor bool }

func (EndpointUpdate) event()     {}
func (ClockOffset) event()        {}
func (Request) event()            {}
func (ExistingConnection) event() {}
func (ClientDisconnected) event() {}
func (AttemptAccepted) event()    {}
func (AttemptEnded) event()       {}
func (LateMessage) event()        {}
func (HealthCheckResult) event()  {}
func (GossipReceived) event()     {}
func (ConnectionLoad) event()     {}
func (TimerFired) event()         {}
func (ShutdownAnnounced) event()  {}
func (HandedOver) event()         {}
