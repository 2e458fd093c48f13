package checker

import (
	"slices"
	"time"
)

// checkRate checks each second that ends with an event: those that certainly happened within it keep the limit. c.mu is
// held.
func (c *Checker) checkRate(key rateKey, events []span) {
	limit, window := c.config.RateLimits[key.kind], time.Second-c.config.Slack
	slices.SortFunc(events, func(x, y span) int { return x.to.Compare(y.to) })
	for i, last := range events {
		count := 0
		for j := i; j >= 0 && last.to.Sub(events[j].to) < window; j-- {
			if last.to.Sub(events[j].from) < window {
				count++
			}
		}
		if count > limit {
			c.violate(&c.violations.RateLimits, last.to, "%d in a second of %s %s, %d are the whole",
				count, key.kind, key.owner, limit)
		}
	}
}

// checkSlowStart checks each server's slow starts. c.mu is held.
func (c *Checker) checkSlowStart() {
	byStart := map[string][]send{}
	for _, s := range c.slowStartSends {
		name := s.server + s.started.String()
		byStart[name] = append(byStart[name], s)
	}
	for _, sends := range byStart {
		slices.SortFunc(sends, func(x, y send) int { return x.at.Compare(y.at) })
		c.checkSlowStartWindows(sends)
	}
}

// checkSlowStartWindows checks each window that ends with an attempt at one server. c.mu is held.
func (c *Checker) checkSlowStartWindows(sends []send) {
	window := c.config.OverloadWindow - c.config.Slack
	first := 0
	for i, s := range sends {
		for s.at.Sub(sends[first].at) >= window {
			first++
		}
		age := s.at.Sub(s.started)
		limit := MaxSlowStartSends(c.config.SlowStartLimit(age + c.config.Slack))
		count := i + 1 - first
		c.SlowStartUtilization = max(c.SlowStartUtilization, float64(count)/limit)
		if float64(count) > limit {
			nodes := []int{}
			for _, other := range sends[first : i+1] {
				nodes = append(nodes, other.node)
			}
			c.violate(&c.violations.SlowStart, s.at,
				"%s, node %d, to %s, %v after its start: %d sent in a window, %.2f are the whole; by nodes %v",
				s.id, s.node, s.server, age.Round(time.Millisecond), count, limit, nodes)
		}
	}
}
