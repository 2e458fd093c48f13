package checker

import (
	"slices"
	"time"
)

// idleDisturbanceWindow is the time before the report of an idle client in which a fault at its node excuses the node.
const idleDisturbanceWindow = 5 * time.Second

// Check checks the history up to now, and returns the counts of violations and up to maxMessages descriptions. It must
// be called only once, at the end of the history.
func (c *Checker) Check(now time.Time) (Violations, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ForeignRequests, c.Excused, c.Answered, c.SlowStartSends, c.Retries = 0, 0, 0, len(c.slowStartSends), c.retries
	for requestID := range c.attempts {
		if c.requests[requestID] == nil {
			c.ForeignRequests++
		}
	}
	c.checkAnswers(now)
	for _, overlap := range c.concurrent {
		if !overlap.first.ended && !c.isEndHidden(overlap) {
			c.recordViolation(&c.violations.Concurrent, overlap.at, "%s: sent to %s while out at %s",
				overlap.request, overlap.second, overlap.first.server)
		}
	}
	for _, idle := range c.idleClients {
		if !c.wasDisturbed(idle.node, idle.at.Add(-idleDisturbanceWindow), idle.at) {
			c.recordViolation(&c.violations.NotClosed, idle.at,
				"node %d: %s is held for too long", idle.node, idle.description)
		}
	}
	c.checkSlowStart()
	c.checkReadiness(now)
	for key, events := range c.rateEvents {
		c.checkRate(key, events)
	}
	return c.violations, c.messages
}

// checkAnswers checks that each request received its final answer in time. c.mu must be held.
func (c *Checker) checkAnswers(now time.Time) {
	for requestID, request := range c.requests {
		latest := request.deadline.Add(c.config.AnswerGrace + c.config.Slack)
		switch {
		case !request.leftAt.IsZero():
		case !request.answeredAt.IsZero() && !request.answeredAt.After(latest):
			c.Answered++
		case request.answeredAt.IsZero() && now.Before(latest):
		case c.wasDisturbed(request.node, request.sentAt, latest):
			c.Excused++
		default:
			c.recordViolation(&c.violations.Unanswered, latest,
				"%s, node %d: no answer in its time", requestID, request.node)
		}
	}
}

// isEndHidden reports whether an impaired link may have delayed the end of the first attempt. c.mu must be held.
func (c *Checker) isEndHidden(o overlap) bool {
	request := c.requests[o.request]
	return request != nil && overlaps(c.impaired[request.node], o.first.receivedAt, o.at)
}

// wasDisturbed reports whether a fault was injected at a node between two times. c.mu must be held.
func (c *Checker) wasDisturbed(node int, from, to time.Time) bool {
	return overlaps(c.disturbed[node], from, to)
}

// overlaps reports whether one of the intervals has a time in common with the one between from and to.
func overlaps(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(candidate interval) bool {
		return candidate.from.Before(to) && (candidate.to.IsZero() || candidate.to.After(from))
	})
}

// checkReadiness checks that 90% of the processes started by each event were ready in time. It ignores processes that
// were observed for a shorter time without becoming ready. c.mu must be held.
func (c *Checker) checkReadiness(now time.Time) {
	for event, starts := range c.startsByEvent {
		lateCount, knownCount := 0, 0
		for _, start := range starts {
			if start.duration > c.config.ReadyTimeout {
				lateCount++
			}
			if start.ready || start.duration > c.config.ReadyTimeout {
				knownCount++
			}
		}
		if c.config.ReadyTimeout > 0 && 10*lateCount > knownCount {
			c.recordViolation(&c.violations.Unready, now,
				"%d of %d processes that event %d had start anew were not ready within %v",
				lateCount, knownCount, event, c.config.ReadyTimeout)
		}
	}
}
