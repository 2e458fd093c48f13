package node

import (
	"slices"
	"sync/atomic"
	"time"

	"brassmux/balance"
)

// shadow runs a second balancer with other settings on the events of the node, and counts how its first decision for
// each request compares with the node's. Its decisions are not executed: once the node has established a connection,
// the shadow adopts it. Only the goroutine of the event loop may use it, except for the counts.
type shadow struct {
	balancer *balance.Balancer
	requests map[balance.RequestID]*comparison
	setTimer func(after time.Duration, token uint64)
	now      time.Duration
	tally    struct {
		sameServer  atomic.Int64
		otherServer atomic.Int64 // the decisions differ in the server
		wouldReject atomic.Int64 // rejected only by the shadow
		wouldPlace  atomic.Int64 // placed only by the shadow
		undecided   atomic.Int64 // the request ended before the shadow decided
		migrations  atomic.Int64 // migrations that the shadow decided
	}
}

// noServer represents the decision to reject or fail a request.
const noServer balance.ServerID = 0

// comparison is a request whose decisions are compared, or an established connection.
type comparison struct {
	balance.Request
	actual, alternative *balance.ServerID // the first decisions of the node and of the shadow, nil until known
	attempts            int               // number of attempts that the shadow has decided
	isEstablished       bool
}

// handle passes an event to the shadow's balancer.
func (s *shadow) handle(event balance.Event) {
	for _, action := range slices.Clone(s.balancer.Handle(s.now, event)) {
		switch action := action.(type) {
		case balance.Attempt:
			if c := s.requests[action.ID]; c != nil {
				c.attempts++
			}
			s.recordDecision(action.ID, action.Server, false)
		case balance.Reject:
			s.recordDecision(action.ID, noServer, false)
		case balance.Fail:
			s.recordDecision(action.ID, noServer, false)
		case balance.Migrate:
			s.tally.migrations.Add(1)
		case balance.SetTimer:
			s.setTimer(action.After, action.Token)
		}
	}
}

// observeEvent processes an event of the node. It must be called before observeAction for the resulting actions.
func (s *shadow) observeEvent(now time.Duration, event balance.Event) {
	s.now = now
	switch event := event.(type) {
	case balance.EndpointUpdate, balance.HealthCheckResult:
		s.handle(event)
	case balance.Request:
		s.requests[event.ID] = &comparison{Request: event}
		s.handle(event)
	case balance.ExistingConnection:
		s.requests[event.ID] = &comparison{Request: event.Request, isEstablished: true}
		s.handle(event)
	case balance.AttemptAccepted:
		s.observeAccepted(event)
	case balance.LateMessage:
		if c := s.requests[event.ID]; c != nil && c.isEstablished {
			s.handle(event)
		}
	case balance.AttemptEnded:
		s.observeClosed(event)
	case balance.ClientDisconnected:
		if c := s.requests[event.ID]; c != nil && !c.isEstablished {
			s.forget(c)
		}
	}
}

// observeAccepted replaces the shadow's decision by the connection that the node has established.
func (s *shadow) observeAccepted(event balance.AttemptAccepted) {
	c := s.requests[event.ID]
	if c == nil || c.isEstablished {
		return
	}
	s.forget(c)
	s.requests[event.ID] = c
	c.isEstablished = true
	s.handle(balance.ExistingConnection{Request: c.Request, Server: event.Server})
}

// observeClosed processes the end of an attempt or of an established connection.
func (s *shadow) observeClosed(event balance.AttemptEnded) {
	c := s.requests[event.ID]
	if c == nil || !event.Final {
		return
	}
	if !c.isEstablished {
		s.forget(c)
		return
	}
	event.Attempt = 0 // the shadow's balancer has an established connection without attempts
	s.handle(event)
	delete(s.requests, event.ID)
}

// observeAction processes an action of the node.
func (s *shadow) observeAction(action balance.Action) {
	switch action := action.(type) {
	case balance.Attempt:
		s.recordDecision(action.ID, action.Server, true)
	case balance.Reject:
		s.observeRejection(action.ID)
	case balance.Fail:
		s.observeRejection(action.ID)
	}
}

// observeRejection records that the node has rejected or failed a request.
func (s *shadow) observeRejection(id balance.RequestID) {
	s.recordDecision(id, noServer, true)
	if c := s.requests[id]; c != nil {
		s.forget(c)
	}
}

// recordDecision stores a first decision, the node's if isActual is true and otherwise the shadow's. It counts the
// result once both are known.
func (s *shadow) recordDecision(id balance.RequestID, server balance.ServerID, isActual bool) {
	c := s.requests[id]
	if c == nil {
		return
	}
	decision := &c.alternative
	if isActual {
		decision = &c.actual
	}
	if *decision != nil {
		return
	}
	if *decision = &server; c.actual == nil || c.alternative == nil {
		return
	}
	switch {
	case *c.actual == *c.alternative:
		s.tally.sameServer.Add(1)
	case *c.alternative == noServer:
		s.tally.wouldReject.Add(1)
	case *c.actual == noServer:
		s.tally.wouldPlace.Add(1)
	default:
		s.tally.otherServer.Add(1)
	}
}

// forget removes a request that is no longer pending at the node.
func (s *shadow) forget(c *comparison) {
	if delete(s.requests, c.ID); c.actual != nil && c.alternative == nil {
		s.tally.undecided.Add(1)
	}
	if c.attempts > 0 {
		s.handle(balance.AttemptEnded{ID: c.ID, Attempt: c.attempts - 1, Outcome: balance.Cancelled, Final: true})
	}
	s.handle(balance.ClientDisconnected{ID: c.ID})
}

// counters calls add for each counter.
func (s *shadow) counters(add func(name string, value int64)) {
	add("watched_moves", s.tally.migrations.Load())
	add("watched_other_server", s.tally.otherServer.Load())
	add("watched_same", s.tally.sameServer.Load())
	add("watched_undecided", s.tally.undecided.Load())
	add("watched_would_place", s.tally.wouldPlace.Load())
	add("watched_would_refuse", s.tally.wouldReject.Load())
}
