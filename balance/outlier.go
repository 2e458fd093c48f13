package balance

import "time"

// maxEjectionDoublings bounds the number of times that the ejection time doubles on consecutive failures.
const maxEjectionDoublings = 3

// eject excludes a server from new connections for freshnessWindow, doubled for each previous consecutive
// failure. An unlisted server is removed after more than maxEjectionDoublings failures.
func (b *Balancer) eject(s *server) {
	s.ejectedUntil = b.now + freshnessWindow<<min(s.consecutiveFailures, maxEjectionDoublings)
	s.consecutiveFailures++
	if s.unlisted && s.consecutiveFailures > maxEjectionDoublings {
		b.markRemoved(s)
		b.refreshReady()
	}
}

// ExcludedServerCount returns the number of listed servers that are draining or ejected and therefore get no
// new connections.
func (b *Balancer) ExcludedServerCount(now time.Duration) (n int) {
	for _, s := range b.servers {
		if s.State == Draining || s.State == Ready && now < s.ejectedUntil {
			n++
		}
	}
	return n
}

// ejectsServer reports whether the end of an attempt shows that its server accepts no connections.
func (b *Balancer) ejectsServer(r *request, ev AttemptEnded) bool {
	if ev.GoAway || ev.Outcome == Reset && b.config.GossipEnabled {
		return true
	}
	noAnswer := ev.Outcome == ConnectFailed || ev.Outcome == TimedOut
	// An error of a later attempt may be due to the request itself.
	return !r.established && (noAnswer || ev.Outcome == ServerError && ev.Attempt == 0)
}
