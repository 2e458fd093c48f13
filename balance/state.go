package balance

import "time"

// Avoided counts the servers in the list that get no new connection now: they drain, or are set aside.
func (b *Balancer) Avoided(now time.Duration) (n int) {
	for _, s := range b.servers {
		if s.State == Draining || s.State == Ready && now < s.aside {
			n++
		}
	}
	return n
}
