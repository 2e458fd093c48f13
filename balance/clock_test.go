package balance

import (
	"fmt"
	"testing"
	"time"
)

// Late news of a start mean either that they were delayed or that the clock is ahead. What all nodes send the
// server stays within the sampling margin of one that has just started.
func TestLateNewsOfStartKeepsWarmUpLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		quota float64
		late  time.Duration // news after the start, by the clock
	}{
		{"a second late", 4, 400, time.Second},
		{"three seconds late", 4, 400, 3 * time.Second},
		{"or the clock is an hour ahead", 4, 400, time.Hour},
		{"or the clock is an hour ahead, one node", 1, 4000, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := testConfig()
			config.ClockUntrusted, config.NodeCount, config.ConnectionCapacity = true, c.nodes, c.quota
			servers := readyServers(1, 2, 3, 4)
			total := sentAfterLateNews(config, servers, c.late)
			whole := config.WarmServerAttemptLimit(len(servers))
			minimum, age := config.SlowStartMinCapacity,
				min(c.late.Seconds()/config.SlowStartWindow.Seconds(), 1)
			young, old := whole*minimum, whole*(minimum+(1-minimum)*age)
			if limit := min(old+1, young+samplingMargin(young)); float64(total) > limit {
				t.Errorf("%d sent, %.1f is the most", total, limit)
			}
			if minimum := min(old, young+samplingMargin(young)-1) * 0.6; float64(total) < minimum {
				t.Errorf("%d sent, %.1f would do no harm", total, minimum)
			}
		})
	}
}

// sentAfterLateNews tells all nodes of a start of server 4 that much after it, and counts what they send it
// at once.
func sentAfterLateNews(config Config, servers []Server, late time.Duration) (total int) {
	for i := range config.NodeCount {
		config.NodeIndex = i
		n := newTestNode(config, servers...)
		n.now += 2 * time.Hour
		started := servers[3]
		started.StartedAt = n.now - late
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{started}})
		for client := range 2000 {
			if _, s := n.place("safe", fmt.Sprint(i, "-", client)); s == 4 {
				total++
			}
		}
	}
	return total
}

// A clock is ahead by no more than the least age at which any start was heard of.
func TestYoungestStartBoundsClockUncertainty(t *testing.T) {
	config := testConfig()
	config.ClockUntrusted = true
	servers := readyServers(1, 2, 3)
	n := newTestNode(config, servers...)
	n.now += 2 * time.Hour
	one, two := servers[0], servers[1]
	one.StartedAt = n.now - 10*time.Minute
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{one}})
	if got := n.LatestStart(1); got != n.now {
		t.Errorf("heard of now, it may have started %v ago at the latest", n.now-got)
	}
	n.now += time.Minute
	two.StartedAt = n.now - 3*time.Second
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{two}})
	if got := n.LatestStart(1); got != one.StartedAt+3*time.Second {
		t.Errorf("after a start that was heard of within 3 s: %v ago, not 3 s less than by the clock",
			n.now-got)
	}
	n.handle(ClockOffset{ReferenceRead: true})
	if got := n.LatestStart(2); got != two.StartedAt {
		t.Errorf("with a clock seen: %v ago, not by the clock", n.now-got)
	}
}

// A process that has read no clock but its own is uncertain of all starts in its first list. It prefers
// servers that surely are warm, and rejects no request for this uncertainty alone.
func TestClockUncertaintyRejectsNobody(t *testing.T) {
	for _, c := range []struct {
		doubted int // of four servers, those with a start long ago by the clock
		sure    bool
		limit   float64 // of 400 clients, those that the fourth may get
	}{{1, false, 6}, {4, false, 400}, {1, true, 400}} {
		config := testConfig()
		config.ClockUntrusted, config.NodeCount, config.ConnectionCapacity = true, 1, 40
		servers := readyServers(1, 2, 3, 4)
		for i := range c.doubted {
			servers[3-i].StartedAt = time.Hour
		}
		n := &testNode{Balancer: New(config, 7), now: 2 * time.Hour, next: 1}
		n.handle(EndpointUpdate{Kind: ListCached, Servers: servers})
		n.now += config.OverloadWindow
		if c.sure {
			n.handle(ClockOffset{ReferenceRead: true})
		}
		refused, fourth := 0, 0
		for i := range 400 {
			switch _, s := n.place("safe", fmt.Sprint(i)); s {
			case 0:
				refused++
			case 4:
				fourth++
			}
		}
		if refused > 0 || float64(fourth) > c.limit || c.limit > 100 && fourth < 50 {
			t.Errorf("%+v: %d refused, %d at the fourth server", c, refused, fourth)
		}
	}
}
