package checker

import "time"

// AttemptReceived reports that a server received an attempt. Entered is when its last byte left the node, started when
// the server did.
func (c *Checker) AttemptReceived(node int, server, id string, entered, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkLeavingServer(node, server, id, entered)
	q, previous := c.requests[id], c.attempts[id]
	if previous != nil && !previous.ended {
		c.concurrent = append(c.concurrent, overlap{id, previous, entered, server})
	}
	if q != nil {
		c.checkRepetition(id, q, server, entered)
	}
	switch {
	case previous != nil:
		c.retries++
		c.addRateEvent(retriesPerSecond, "", entered, entered)
	case q != nil:
		c.addRateEvent(opensPerSecond, q.customer, q.sentAt, entered)
	}
	if q != nil {
		c.addOpen(node, q.customer, id, entered)
	}
	c.attempts[id] = &attempt{server: server, receivedAt: entered}
	if c.inKnownSlowStart(nodeServer{node, server}, entered, started) {
		c.slowStartSends = append(c.slowStartSends, send{entered, node, server, id, started})
	}
}

// AttemptRejected reports that a server answered a request's last attempt BUSY: it was not executed.
func (c *Checker) AttemptRejected(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, a := c.requests[id], c.attempts[id]
	if q != nil && a != nil && a.server == server && q.executedAt.Equal(a.receivedAt) {
		q.executedAt = time.Time{}
	}
}

// AttemptEnded reports that an attempt, or the connection that it became, has ended at its server.
func (c *Checker) AttemptEnded(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; q != nil && c.openByCustomer[q.customer] != nil {
		open := c.openByCustomer[q.customer]
		if open[id]--; open[id] <= 0 {
			delete(open, id)
		}
	}
	if a := c.attempts[id]; a != nil && a.server == server {
		a.ended = true
	}
	for _, o := range c.concurrent {
		if o.request == id && o.first.server == server && time.Since(o.at) < c.config.Slack {
			o.first.ended = true
		}
	}
}

// checkLeavingServer checks an attempt against the end of its server's drain grace. c.mu is held.
func (c *Checker) checkLeavingServer(node int, server, id string, entered time.Time) {
	notified := c.leavingSince[nodeServer{node, server}]
	if !notified.IsZero() && entered.After(notified.Add(c.config.DrainGrace+c.config.Slack)) {
		c.violate(&c.violations.LateSends, entered, "%s, node %d: sent to %s, told %v ago",
			id, node, server, entered.Sub(notified).Round(time.Millisecond))
	}
}

// checkRepetition checks an attempt of a request whose client may have left, and of which another attempt may have been
// executed. c.mu is held.
func (c *Checker) checkRepetition(id string, q *request, server string, entered time.Time) {
	if !q.leftAt.IsZero() && entered.After(q.leftAt.Add(c.config.DepartureGrace+c.config.Slack)) {
		c.violate(&c.violations.AfterDeparture, entered, "%s, node %d: sent to %s %v after its client left",
			id, q.node, server, entered.Sub(q.leftAt).Round(time.Millisecond))
	}
	if q.executedAt.IsZero() {
		q.executedAt = entered
		return
	}
	windowEnd := q.executedAt.Add(c.config.IdempotencyWindow + c.config.Slack)
	if q.idempotency == NotIdempotent || q.idempotency == KeyedIdempotent && entered.After(windowEnd) {
		c.violate(&c.violations.Repeated, entered, "%s, node %d: sent to %s %v after an attempt that may have run",
			id, q.node, server, entered.Sub(q.executedAt).Round(time.Millisecond))
	}
}

// addOpen counts a customer's attempts and connections against their limit, where there is one. c.mu is held.
func (c *Checker) addOpen(node int, customer, id string, entered time.Time) {
	limit := c.config.RateLimits[openPerCustomer]
	if limit <= 0 {
		return
	}
	open := c.openByCustomer[customer]
	if open == nil {
		open = map[string]int{}
		c.openByCustomer[customer] = open
	}
	open[id]++
	if c.MaxOpen = max(c.MaxOpen, len(open)); len(open) > limit {
		c.violate(&c.violations.RateLimits, entered, "%s, node %d: %d of customer %s at once",
			id, node, len(open), customer)
	}
}

// inKnownSlowStart tells whether a server is in a slow start of which the node was notified. c.mu is held.
func (c *Checker) inKnownSlowStart(key nodeServer, entered, started time.Time) bool {
	return !started.IsZero() && entered.Before(started.Add(c.config.SlowStartWindow)) &&
		c.knownStarts[key].Equal(started.Truncate(time.Millisecond))
}
