package checker

import "time"

// AttemptReceived records that a server received an attempt. arrivedAt is the time at which its last byte arrived,
// before any injected delay. serverStarted is the start of the server, or zero if the server started long ago.
func (c *Checker) AttemptReceived(node int, server, requestID string, arrivedAt, serverStarted time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkLeavingServer(node, server, requestID, arrivedAt)
	request, previous := c.requests[requestID], c.attempts[requestID]
	if previous != nil && !previous.ended {
		c.concurrent = append(c.concurrent, overlap{requestID, previous, arrivedAt, server})
	}
	if request != nil {
		c.checkRepetition(requestID, request, server, arrivedAt)
	}
	switch {
	case previous != nil:
		c.retries++
		c.addRateEvent(retriesPerSecond, "", arrivedAt, arrivedAt)
	case request != nil:
		c.addRateEvent(opensPerSecond, request.customer, request.sentAt, arrivedAt)
	}
	if request != nil {
		c.addOpen(node, request.customer, requestID, arrivedAt)
	}
	c.attempts[requestID] = &attempt{server: server, receivedAt: arrivedAt}
	if c.inKnownSlowStart(nodeServer{node, server}, arrivedAt, serverStarted) {
		c.slowStartSends = append(c.slowStartSends, slowStartSend{arrivedAt, node, server, requestID, serverStarted})
	}
}

// AttemptRejected records that a server answered a request's last attempt with BUSY and did not execute it.
func (c *Checker) AttemptRejected(server, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, attempt := c.requests[requestID], c.attempts[requestID]
	if request != nil && attempt != nil && attempt.server == server && request.executedAt.Equal(attempt.receivedAt) {
		request.executedAt = time.Time{}
	}
}

// AttemptEnded records that an attempt, or the connection that it became, has ended at its server.
func (c *Checker) AttemptEnded(server, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request := c.requests[requestID]; request != nil && c.openByCustomer[request.customer] != nil {
		openRequests := c.openByCustomer[request.customer]
		if openRequests[requestID]--; openRequests[requestID] <= 0 {
			delete(openRequests, requestID)
		}
	}
	if attempt := c.attempts[requestID]; attempt != nil && attempt.server == server {
		attempt.ended = true
	}
	for _, overlap := range c.concurrent {
		if overlap.request == requestID && overlap.first.server == server && time.Since(overlap.at) < c.config.Slack {
			overlap.first.ended = true
		}
	}
}

// checkLeavingServer checks that an attempt arrived before the end of its server's drain grace. c.mu must be held.
func (c *Checker) checkLeavingServer(node int, server, requestID string, arrivedAt time.Time) {
	notifiedAt := c.leavingSince[nodeServer{node, server}]
	if !notifiedAt.IsZero() && arrivedAt.After(notifiedAt.Add(c.config.DrainGrace+c.config.Slack)) {
		c.recordViolation(&c.violations.LateSends, arrivedAt, "%s, node %d: sent to %s, told %v ago",
			requestID, node, server, arrivedAt.Sub(notifiedAt).Round(time.Millisecond))
	}
}

// checkRepetition checks that an attempt did not start after the client's departure, and that it is allowed if an
// earlier attempt of the request may have been executed. c.mu must be held.
func (c *Checker) checkRepetition(requestID string, request *request, server string, arrivedAt time.Time) {
	if !request.leftAt.IsZero() && arrivedAt.After(request.leftAt.Add(c.config.DepartureGrace+c.config.Slack)) {
		c.recordViolation(&c.violations.AfterDeparture, arrivedAt, "%s, node %d: sent to %s %v after its client left",
			requestID, request.node, server, arrivedAt.Sub(request.leftAt).Round(time.Millisecond))
	}
	if request.executedAt.IsZero() {
		request.executedAt = arrivedAt
		return
	}
	windowEnd := request.executedAt.Add(c.config.IdempotencyWindow + c.config.Slack)
	if request.idempotency == NotIdempotent || request.idempotency == KeyedIdempotent && arrivedAt.After(windowEnd) {
		c.recordViolation(&c.violations.Repeated, arrivedAt,
			"%s, node %d: sent to %s %v after an attempt that may have run",
			requestID, request.node, server, arrivedAt.Sub(request.executedAt).Round(time.Millisecond))
	}
}

// addOpen counts an attempt against the limit of the customer's attempts and connections, if there is one. c.mu must be
// held.
func (c *Checker) addOpen(node int, customer, requestID string, arrivedAt time.Time) {
	limit := c.config.RateLimits[openPerCustomer]
	if limit <= 0 {
		return
	}
	openRequests := c.openByCustomer[customer]
	if openRequests == nil {
		openRequests = map[string]int{}
		c.openByCustomer[customer] = openRequests
	}
	openRequests[requestID]++
	if c.MaxOpen = max(c.MaxOpen, len(openRequests)); len(openRequests) > limit {
		c.recordViolation(&c.violations.RateLimits, arrivedAt, "%s, node %d: %d of customer %s at once",
			requestID, node, len(openRequests), customer)
	}
}

// inKnownSlowStart reports whether a server is in slow start and the node was notified of its start. c.mu must be held.
func (c *Checker) inKnownSlowStart(key nodeServer, arrivedAt, serverStarted time.Time) bool {
	return !serverStarted.IsZero() && arrivedAt.Before(serverStarted.Add(c.config.SlowStartWindow)) &&
		c.knownStarts[key].Equal(serverStarted.Truncate(time.Millisecond))
}
