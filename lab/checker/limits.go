package checker

import (
	"slices"
	"time"
)

// checkRate checks that the limit is kept in each second that ends with an event. It counts only events that were
// certainly decided within that second. c.mu must be held.
func (c *Checker) checkRate(key rateKey, events []interval) {
	limit, window := c.config.RateLimits[key.kind], time.Second-c.config.Slack
	slices.SortFunc(events, func(x, y interval) int { return x.to.Compare(y.to) })
	for i, last := range events {
		count := 0
		for j := i; j >= 0 && last.to.Sub(events[j].to) < window; j-- {
			if last.to.Sub(events[j].from) < window {
				count++
			}
		}
		if count > limit {
			c.recordViolation(&c.violations.RateLimits, last.to, "%d in a second of %s %s, %d are the whole",
				count, key.kind, key.owner, limit)
		}
	}
}

// checkSlowStart checks the attempts in each slow start of each server. c.mu must be held.
func (c *Checker) checkSlowStart() {
	byStart := map[string][]slowStartSend{}
	for _, send := range c.slowStartSends {
		startKey := send.server + send.started.String()
		byStart[startKey] = append(byStart[startKey], send)
	}
	for _, sends := range byStart {
		slices.SortFunc(sends, func(x, y slowStartSend) int { return x.at.Compare(y.at) })
		c.checkSlowStartWindows(sends)
	}
}

// checkSlowStartWindows checks each window that ends with one of the attempts in a server's slow start. c.mu must be
// held.
func (c *Checker) checkSlowStartWindows(sends []slowStartSend) {
	window := c.config.OverloadWindow - c.config.Slack
	first := 0
	for i, send := range sends {
		for send.at.Sub(sends[first].at) >= window {
			first++
		}
		age := send.at.Sub(send.started)
		limit := MaxSlowStartSends(c.config.SlowStartLimit(age + c.config.Slack))
		count := i + 1 - first
		c.SlowStartUtilization = max(c.SlowStartUtilization, float64(count)/limit)
		if float64(count) > limit {
			nodes := []int{}
			for _, other := range sends[first : i+1] {
				nodes = append(nodes, other.node)
			}
			c.recordViolation(&c.violations.SlowStart, send.at,
				"%s, node %d, to %s, %v after its start: %d sent in a window, %.2f are the whole; by nodes %v",
				send.requestID, send.node, send.server, age.Round(time.Millisecond), count, limit, nodes)
		}
	}
}
