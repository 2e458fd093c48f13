package balance

import "time"

// Action is an instruction to the node: one of the types in this file. The node carries out actions
// immediately, in the order in which Handle returns them.
type Action interface{ action() }

// Attempt sends a request to a server. The attempts of a request are numbered from 0.
type Attempt struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration // 0 means as long as the client waits
	// SendWithin is the time after which the request must no longer be sent; 0 means no limit.
	SendWithin time.Duration
}

// Reject is a final answer. The request was not executed, or can safely be repeated.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 means none
	Reason     string        // for the log
}

// Fail is a final answer. The request may have been executed and must not be repeated.
type Fail struct{ ID RequestID }

// Migrate closes an established connection gracefully, so that its client reconnects.
type Migrate struct{ ID RequestID }

// HealthCheck requests a load report from a server.
type HealthCheck struct{ Server ServerID }

// SendGossip sends a message to another node. The message may be delayed or lost.
type SendGossip struct {
	ToNode  int // index of the receiving node
	Message GossipMessage
}

// SetTimer requests a TimerFired event with the same Token.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// ListAwaited reports that a request waits for a list, because the current one is older than
// Config.MaxListAge. The node has nothing to do.
type ListAwaited struct{ ID RequestID }

// WatchEndpoints opens a watch of the endpoint list.
type WatchEndpoints struct{}

// Log writes a line to the operators' log.
type Log struct{ Text string }

func (Attempt) action()        {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Migrate) action()        {}
func (HealthCheck) action()    {}
func (SendGossip) action()     {}
func (SetTimer) action()       {}
func (ListAwaited) action()    {}
func (WatchEndpoints) action() {}
func (Log) action()            {}
