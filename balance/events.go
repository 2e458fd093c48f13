package balance

import "time"

// Event is something that happened at this node: one of the types of this file.
type Event interface{ event() }

// EndpointUpdate is news of the endpoint list, or of the attempt to get some.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// ServiceWait is how long a call that ended in WatchFailed waited for the discovery service; 0 when no
	// connection came up or a list was received.
	ServiceWait time.Duration
}

// UpdateKind tells how the servers of an EndpointUpdate are to be read.
type UpdateKind int

const (
	// WatchFailed means that a call to the discovery service failed or the watch broke; the last list stays.
	WatchFailed UpdateKind = iota
	// ListDelta has only the entries that changed.
	ListDelta
	// ListSnapshot has the whole list; servers that are not in it are removed.
	ListSnapshot
	// ListCached has the whole list as last known, which may be out of date.
	ListCached
	// WatchBroken means that a watch which had delivered something broke or fell silent, or that another
	// discovery service is called next; the last list stays.
	WatchBroken
)

// Request is a client's request for a connection. It is owed exactly one final answer.
type Request struct {
	ID    RequestID
	Class string
	// ClientKey identifies the client for affinity; it may be empty.
	ClientKey string
	// Group names connections that share work and are cheaper on one server; it may be empty.
	Group string
	// Timeout is the time until the client gives up.
	Timeout time.Duration
	// Reconnect tells that the client was here before: it repeats a request, or comes back after a broken
	// connection.
	Reconnect bool
}

// ClockOffset tells how far this node's clock may be ahead of the clock by which start times are listed. The
// largest offset counts.
type ClockOffset struct {
	Ahead time.Duration
	// ReferenceRead tells that the other clock was read; otherwise it is only known that this node's was
	// wrong.
	ReferenceRead bool
}

// ExistingConnection is a connection that was established before this process started; its attempt has number
// 0.
type ExistingConnection struct {
	Request
	Server ServerID
	// Inherited tells that the process before this one held it: the server's last report may include it.
	Inherited bool
}

// ClientDisconnected tells that the client of a request is gone: nothing more is owed to it.
type ClientDisconnected struct{ ID RequestID }

// AttemptAccepted tells that the connection of a request is established.
type AttemptAccepted struct {
	ID      RequestID
	Attempt int // number of the attempt
	Server  ServerID
	Elapsed time.Duration
}

// AttemptEnded tells how an attempt, or the connection that it established, ended.
type AttemptEnded struct {
	ID      RequestID
	Attempt int // number of the attempt
	Server  ServerID
	Outcome Outcome
	Elapsed time.Duration
	// Final tells that nothing more is owed for the request.
	Final  bool
	Report *LoadReport
	// GoAway tells that the server sent the client away, as a draining server does.
	GoAway bool
}

// LateMessage gives the present latency of messages on an established connection. It is sent about once a
// second while this is over a third of the shortest MessageObjective of any class.
type LateMessage struct {
	ID      RequestID
	Server  ServerID
	Latency time.Duration
}

// GossipReceived is a message from another node.
type GossipReceived struct {
	FromNode int // index of the sender
	Message  GossipMessage
}

// GossipMessage is what one node sends another about a server.
type GossipMessage struct {
	Kind GossipKind
	// Incarnation is the same for all messages of a node from its start to its end.
	Incarnation uint8
	Server      ServerID
	// Load is, in a GossipHeldLoad, the work of the sender's connections in microseconds of processor time a
	// second; in a GossipLoadResponse, the utilisation by all nodes in millionths.
	Load float64
	// Groups has hashes of group names: those held by the sender, the one of the request, or in the response
	// the one of the request if it is at the server.
	Groups []uint16
}

// GossipKind is the kind of a GossipMessage.
type GossipKind int

const (
	// GossipHeldLoad tells the owner of a server's load ledger what the sender holds there.
	GossipHeldLoad GossipKind = iota
	// GossipLoadRequest asks the owner for the load of all nodes.
	GossipLoadRequest
	// GossipLoadResponse answers a GossipLoadRequest.
	GossipLoadResponse
)

// ConnectionLoad tells the load of an established connection, in microseconds of processor time a second.
type ConnectionLoad struct {
	ID   RequestID
	Load float64
}

// HealthCheckResult is the result of a HealthCheck.
type HealthCheckResult struct {
	Server  ServerID
	Outcome Outcome
	Elapsed time.Duration
	Report  *LoadReport // nil when the server sent none
}

// TimerFired is the end of a SetTimer.
type TimerFired struct{ Token uint64 }

// ShutdownAnnounced tells that a server, or with Server 0 this node, is about to shut down and that its
// connections are to be migrated. It is repeated while there are some.
type ShutdownAnnounced struct{ Server ServerID }

// HandedOver tells whether another process of this node has taken over the attempts on servers in slow start.
// From then on this process makes none, so that no limit is used twice. ToSuccessor is false when that
// process failed and this one goes on.
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
