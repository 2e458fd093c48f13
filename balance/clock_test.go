package balance

import (
	"fmt"
	"testing"
	"time"
)

// If nodes learn of a start late, either the notice was delayed or their clocks are ahead. The attempts of
// all nodes together have to stay within the sampling margin of a server that has just started.
func TestDelayedStartNoticeKeepsWarmUpLimit(t *testing.T) {
	for _, test := range []struct {
		name     string
		nodes    int
		capacity float64
		delay    time.Duration // of the notice after the start, by the clock
	}{
		{"delayed by 1 s", 4, 400, time.Second},
		{"delayed by 3 s", 4, 400, 3 * time.Second},
		{"delayed or clock ahead by 1 h", 4, 400, time.Hour},
		{"delayed or clock ahead by 1 h, one node", 1, 4000, time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig()
			config.ClockUntrusted, config.NodeCount, config.ConnectionCapacity = true,
				test.nodes, test.capacity
			servers := readyServers(1, 2, 3, 4)
			attempts := attemptsAfterDelayedNotice(config, servers, test.delay)
			warmLimit := config.WarmServerAttemptLimit(len(servers))
			minCapacity, age := config.SlowStartMinCapacity,
				min(test.delay.Seconds()/config.SlowStartWindow.Seconds(), 1)
			youngLimit, oldLimit := warmLimit*minCapacity, warmLimit*(minCapacity+(1-minCapacity)*age)
			if maxAttempts := min(oldLimit+1,
				youngLimit+samplingMargin(youngLimit)); float64(attempts) > maxAttempts {
				t.Errorf("%d attempts, limit is %.1f", attempts, maxAttempts)
			}
			if minAttempts := min(oldLimit,
				youngLimit+samplingMargin(youngLimit)-1) * 0.6; float64(attempts) < minAttempts {
				t.Errorf("%d attempts, want at least %.1f", attempts, minAttempts)
			}
		})
	}
}

// attemptsAfterDelayedNotice notifies all nodes of a start of server 4 after a delay, and counts their
// immediate attempts on it.
func attemptsAfterDelayedNotice(config Config, servers []Server, delay time.Duration) (attempts int) {
	for i := range config.NodeCount {
		config.NodeIndex = i
		n := newTestNode(config, servers...)
		n.now += 2 * time.Hour
		starting := servers[3]
		starting.StartedAt = n.now - delay
		n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
		for client := range 2000 {
			if _, s := n.place("safe", fmt.Sprint(i, "-", client)); s == 4 {
				attempts++
			}
		}
	}
	return attempts
}

// The lead of a node's clock is at most the smallest age that any start had when the node learned of it.
func TestYoungestStartBoundsClockUncertainty(t *testing.T) {
	config := testConfig()
	config.ClockUntrusted = true
	servers := readyServers(1, 2, 3)
	n := newTestNode(config, servers...)
	n.now += 2 * time.Hour
	first, second := servers[0], servers[1]
	first.StartedAt = n.now - 10*time.Minute
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{first}})
	if got := n.LatestStart(1); got != n.now {
		t.Errorf("first start: latest start is %v ago, want 0", n.now-got)
	}
	n.now += time.Minute
	second.StartedAt = n.now - 3*time.Second
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{second}})
	if got := n.LatestStart(1); got != first.StartedAt+3*time.Second {
		t.Errorf("after a start that was 3 s old: latest start is %v ago, want 3 s less than by the clock",
			n.now-got)
	}
	n.handle(ClockOffset{ReferenceRead: true})
	if got := n.LatestStart(2); got != second.StartedAt {
		t.Errorf("after reading the reference clock: latest start is %v ago, want 3 s", n.now-got)
	}
}

// A process that has read only its own clock is uncertain of all starts in its first list. It prefers servers
// that are certainly warm, but must not reject a request only because of this uncertainty.
func TestClockUncertaintyRejectsNoRequest(t *testing.T) {
	for _, test := range []struct {
		uncertain     int // of four servers, the number with a listed start, which is long ago by the clock
		referenceRead bool
		maxOnFourth   float64 // limit of server 4, of 400 clients
	}{{1, false, 6}, {4, false, 400}, {1, true, 400}} {
		config := testConfig()
		config.ClockUntrusted, config.NodeCount, config.ConnectionCapacity = true, 1, 40
		servers := readyServers(1, 2, 3, 4)
		for i := range test.uncertain {
			servers[3-i].StartedAt = time.Hour
		}
		n := &testNode{Balancer: New(config, 7), now: 2 * time.Hour, nextID: 1}
		n.handle(EndpointUpdate{Kind: ListCached, Servers: servers})
		n.now += config.OverloadWindow
		if test.referenceRead {
			n.handle(ClockOffset{ReferenceRead: true})
		}
		rejected, onFourth := 0, 0
		for i := range 400 {
			switch _, s := n.place("safe", fmt.Sprint(i)); s {
			case 0:
				rejected++
			case 4:
				onFourth++
			}
		}
		if rejected > 0 || float64(onFourth) > test.maxOnFourth || test.maxOnFourth > 100 && onFourth < 50 {
			t.Errorf("%+v: %d rejected, %d on server 4", test, rejected, onFourth)
		}
	}
}
