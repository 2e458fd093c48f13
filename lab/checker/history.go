package checker

import (
	"maps"
	"time"
)

// NodeDisturbed records the period of a fault that was injected at a node. Unanswered requests that overlap with the
// period are excused.
func (c *Checker) NodeDisturbed(node int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed[node] = append(c.disturbed[node], interval{from, to})
}

// NodeResumed records that a node's suspended process continues. It receives notifications sent since the suspension
// only now.
func (c *Checker) NodeResumed(node int, suspended, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, notifiedAt := range c.leavingSince {
		if key.node == node && notifiedAt.After(suspended) {
			c.leavingSince[key] = now
		}
	}
}

// NodeRestarted records that a node restarted without state. Its notifications before the restart no longer count.
func (c *Checker) NodeRestarted(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isOfNode := func(key nodeServer, _ time.Time) bool { return key.node == node }
	maps.DeleteFunc(c.leavingSince, isOfNode)
	maps.DeleteFunc(c.knownStarts, isOfNode)
}

// ServerLinksImpaired records a period in which messages from a node to servers, including the ends of attempts, were
// delayed or lost.
func (c *Checker) ServerLinksImpaired(node int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.impaired[node] = append(c.impaired[node], interval{from, to})
}

// ProcessStarted records the start of a process by an event. duration is the time until the process was ready, or for
// which it was observed if it did not become ready.
func (c *Checker) ProcessStarted(event int, duration time.Duration, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startsByEvent[event] = append(c.startsByEvent[event], processStart{duration, ready})
}

// EndpointReported records that the list service notified a node of a server's state: the server is leaving, because it
// drains or is removed, or it is up since started.
func (c *Checker) EndpointReported(node int, server string, leaving bool, started, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := nodeServer{node, server}
	if !leaving {
		delete(c.leavingSince, key)
		c.knownStarts[key] = started
	} else if c.leavingSince[key].IsZero() {
		c.leavingSince[key] = at
	}
}

// RequestSent records a client's request, whose first line its node has accepted.
func (c *Checker) RequestSent(
	requestID string, node int, customer string, idempotency Idempotency, at, deadline time.Time,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[requestID] = &request{
		node: node, customer: customer, idempotency: idempotency, sentAt: at, deadline: deadline,
	}
}

// ClientLeft records that a client closed its connection, or the sending half, before an answer. From then on no answer
// is required and no attempt may start.
func (c *Checker) ClientLeft(requestID string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request := c.requests[requestID]; request != nil {
		request.leftAt = at
	}
}

// ClientNotClosed records a client without a request whose node did not disconnect it in time.
func (c *Checker) ClientNotClosed(description string, node int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleClients = append(c.idleClients, idleClient{description, node, at})
}

// AnswerReceived records that a client received a final answer.
func (c *Checker) AnswerReceived(requestID string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[requestID]
	switch {
	case request == nil:
		c.recordViolation(&c.violations.AfterFinalAnswer, at, "%s: an answer to what nobody asked", requestID)
	case !request.answeredAt.IsZero():
		c.recordViolation(&c.violations.AfterFinalAnswer, at, "%s, node %d: a second answer", requestID, request.node)
	default:
		request.answeredAt = at
	}
}

// ConnectionClosed records that a node closed the connection of a request, after which no answer can arrive.
func (c *Checker) ConnectionClosed(requestID string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request := c.requests[requestID]; request != nil && request.answeredAt.IsZero() && at.Before(request.deadline) {
		request.deadline = at
	}
}

// RateLimitedEvent records an event of a rate-limited kind that was decided at some time between from and to.
func (c *Checker) RateLimitedEvent(kind, owner string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRateEvent(kind, owner, from, to)
}

// addRateEvent stores an event if its kind has a limit. c.mu must be held.
func (c *Checker) addRateEvent(kind, owner string, from, to time.Time) {
	if c.config.RateLimits[kind] > 0 {
		key := rateKey{kind, owner}
		c.rateEvents[key] = append(c.rateEvents[key], interval{from, to})
	}
}

// LastServer returns the server of a request's latest attempt, or "" if there is none.
func (c *Checker) LastServer(requestID string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt := c.attempts[requestID]; attempt != nil {
		return attempt.server
	}
	return ""
}
