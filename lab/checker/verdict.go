package checker

import (
	"slices"
	"time"
)

// idleDisturbanceWindow is how long before its report a client without a request may have been affected by a fault.
const idleDisturbanceWindow = 5 * time.Second

// Check decides what can be decided by now, and returns the counts and up to maxMessages descriptions of violations. It
// is called once, at the end of the history.
func (c *Checker) Check(now time.Time) (Violations, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ForeignRequests, c.Excused, c.Answered, c.SlowStartSends, c.Retries = 0, 0, 0, len(c.slowStartSends), c.retries
	for id := range c.attempts {
		if c.requests[id] == nil {
			c.ForeignRequests++
		}
	}
	c.checkAnswers(now)
	for _, o := range c.concurrent {
		if !o.first.ended && !c.isEndHidden(o) {
			c.violate(&c.violations.Concurrent, o.at, "%s: sent to %s while out at %s",
				o.request, o.second, o.first.server)
		}
	}
	for _, idle := range c.notClosed {
		if !c.wasDisturbed(idle.node, idle.at.Add(-idleDisturbanceWindow), idle.at) {
			c.violate(&c.violations.NotClosed, idle.at, "node %d: %s is held for too long", idle.node, idle.description)
		}
	}
	c.checkSlowStart()
	c.checkReadiness(now)
	for key, events := range c.rateEvents {
		c.checkRate(key, events)
	}
	return c.violations, c.messages
}

// checkAnswers checks that each request had its final answer in time. c.mu is held.
func (c *Checker) checkAnswers(now time.Time) {
	for id, q := range c.requests {
		latest := q.deadline.Add(c.config.AnswerGrace + c.config.Slack)
		switch {
		case !q.leftAt.IsZero():
		case !q.answeredAt.IsZero() && !q.answeredAt.After(latest):
			c.Answered++
		case q.answeredAt.IsZero() && now.Before(latest):
		case c.wasDisturbed(q.node, q.sentAt, latest):
			c.Excused++
		default:
			c.violate(&c.violations.Unanswered, latest, "%s, node %d: no answer in its time", id, q.node)
		}
	}
}

// isEndHidden tells whether the end of the first attempt may have been delayed by an impaired link. c.mu is held.
func (c *Checker) isEndHidden(o overlap) bool {
	q := c.requests[o.request]
	return q != nil && overlaps(c.impaired[q.node], o.first.receivedAt, o.at)
}

// wasDisturbed tells whether a fault was injected at a node between two times. c.mu is held.
func (c *Checker) wasDisturbed(node int, from, to time.Time) bool {
	return overlaps(c.disturbed[node], from, to)
}

func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// checkReadiness checks that nine of ten processes of each event were ready in time. Those that were not watched for
// so long do not count. c.mu is held.
func (c *Checker) checkReadiness(now time.Time) {
	for event, starts := range c.startsByEvent {
		late, known := 0, 0
		for _, s := range starts {
			if s.duration > c.config.ReadyTimeout {
				late++
			}
			if s.ready || s.duration > c.config.ReadyTimeout {
				known++
			}
		}
		if c.config.ReadyTimeout > 0 && 10*late > known {
			c.violate(&c.violations.Unready, now,
				"%d of %d processes that event %d had start anew were not ready within %v",
				late, known, event, c.config.ReadyTimeout)
		}
	}
}
