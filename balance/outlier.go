package balance

import "time"

// maxEjectionDoublings bounds the backoff of ejections: the time doubles with each failure in a row.
const maxEjectionDoublings = 3

// eject excludes a server from new connections for a while. One that is not listed any more is removed when
// it fails too often.
func (b *Balancer) eject(s *server) {
	s.ejectedUntil = b.now + freshnessWindow<<min(s.consecutiveFailures, maxEjectionDoublings)
	s.consecutiveFailures++
	if s.unlisted && s.consecutiveFailures > maxEjectionDoublings {
		b.markRemoved(s)
		b.refreshReady()
	}
}

// ExcludedServerCount returns the number of listed servers that get no new connections now: draining and
// ejected ones.
func (b *Balancer) ExcludedServerCount(now time.Duration) (n int) {
	for _, s := range b.servers {
		if s.State == Draining || s.State == Ready && now < s.ejectedUntil {
			n++
		}
	}
	return n
}

// ejectsServer tells whether the end of an attempt shows that its server takes no connections.
func (b *Balancer) ejectsServer(r *request, ev AttemptEnded) bool {
	if ev.GoAway || ev.Outcome == Reset && b.config.GossipEnabled {
		return true
	}
	silent := ev.Outcome == ConnectFailed || ev.Outcome == TimedOut
	// A later error may be due to the request itself.
	return !r.established && (silent || ev.Outcome == ServerError && ev.Attempt == 0)
}
