package balance

import (
	"fmt"
	"testing"
	"time"
)

// handOver makes the process that comes after n, as a node does.
func (n *testNode) handOver(config Config, servers ...Server) *testNode {
	memory := n.HandoverState(n.now)
	n.handle(HandedOver{ToSuccessor: true})
	m := &testNode{Balancer: New(config, 8), now: n.now, next: 1}
	m.handle(EndpointUpdate{Kind: ListCached, Servers: servers})
	m.Restore(m.now, memory)
	return m
}

// Two processes of one node together make no more attempts on a server in slow start than one would.
func TestHandoverKeepsWarmUpLimit(t *testing.T) {
	config := testConfig()
	config.ConnectionCapacity = 400
	now := time.Minute
	servers := append(readyServers(1, 2, 3), Server{ID: 4, State: Ready, Weight: 1,
		StartedAt: now - time.Second})
	sentInSlowStart := func(upgrades bool) (sent int) {
		n := newTestNode(config, servers...)
		all := []*testNode{n}
		for i := range 600 { // three seconds
			if upgrades && i%100 == 50 {
				all = append(all, all[len(all)-1].handOver(config, servers...))
			}
			for j, n := range all { // in the worst case old processes go on accepting clients
				n.now += 5 * ms
				if _, s := n.establish("safe", fmt.Sprint(i, "-", j)); s == 4 {
					sent++
				}
			}
		}
		return sent
	}
	if one, more := sentInSlowStart(false), sentInSlowStart(true); one == 0 || more > one+1 {
		t.Errorf("%d to the cold server, with upgrades %d", one, more)
	}
}

// Where the next process fails, this one goes on, with a limit that begins anew.
func TestFailedHandoverResumesSlowStart(t *testing.T) {
	config := testConfig()
	config.ConnectionCapacity = 400
	n := newTestNode(config, Server{ID: 4, State: Ready, Weight: 1, StartedAt: time.Minute - time.Second})
	n.now += config.OverloadWindow
	if _, s := n.establish("safe", "a"); s != 4 {
		t.Fatal("no budget to begin with")
	}
	n.handOver(config)
	n.now += time.Second
	if _, s := n.establish("safe", "b"); s != 0 {
		t.Error("a server in slow start gets connections from a process that was handed over")
	}
	n.handle(HandedOver{ToSuccessor: false})
	if _, s := n.establish("safe", "c"); s != 0 {
		t.Error("attempts that the other process may have made are made twice")
	}
	n.now += config.OverloadWindow
	if _, s := n.establish("safe", "d"); s != 4 {
		t.Error("it gets nothing for good")
	}
}

func TestHandoverKeepsAffinityAndEjections(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	id, home := n.establish("safe", "client")
	n.end(id, home)
	// would now rank first
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{{ID: 9, State: Ready, Weight: 1e9}}})
	var failing ServerID
	for i := 0; failing == 0; i++ {
		id, s := n.place("safe", fmt.Sprint("f", i))
		if s != home {
			failing = s
			n.handle(AttemptEnded{ID: id, Server: s, Outcome: ConnectFailed})
		}
	}
	next := n.handOver(testConfig(), append(readyServers(1, 2, 3), Server{ID: 9, State: Ready,
		Weight: 1e9})...)
	if _, s := next.establish("safe", "client"); s != home {
		t.Errorf("the client goes to %d, not %d", s, home)
	}
	if got := next.ExcludedServerCount(next.now); got != 1 {
		t.Errorf("%d servers avoided", got)
	}
	for i := range 50 {
		if _, s := next.establish("safe", fmt.Sprint("g", i)); s == failing {
			t.Fatal("the ejected server gets connections")
		}
	}
	next.now += affinityTTL + time.Second // and expires entries
	if len(next.affinity.entries) == 0 {
		t.Error("nothing was held")
	}
	next.handle(ClientDisconnected{})
	if e := next.affinity.entries["f0"]; e != nil && e.holders == 0 {
		t.Error("an entry outlives its time")
	}
}

// Inherited connections are in their server's report already.
func TestInheritedConnectionsDoNotCountAsNew(t *testing.T) {
	config := testConfig()
	config.HealthChecksAllowed = true
	n := newTestNode(config, readyServers(1, 2)...)
	n.handle(HealthCheckResult{Server: 1, Outcome: OK, Report: &LoadReport{Utilisation: 0.4}})
	for range 5 {
		n.handle(ExistingConnection{Request: Request{ID: n.next, Class: "safe"}, Server: 1})
		n.next++
	}
	next := n.handOver(config, readyServers(1, 2)...)
	for i := range 20 {
		next.handle(ExistingConnection{Request: Request{ID: next.next, Class: "safe",
			ClientKey: fmt.Sprint(i)},
			Server: 1, Inherited: true})
		next.next++
	}
	s := next.servers[1]
	// five came after the report
	if len(s.requests) != 20 || s.openedSinceReport != 5 || next.openCount != 20 {
		t.Errorf("holds %d, %d of them new", len(s.requests), s.openedSinceReport)
	}
	next.handle(AttemptEnded{ID: 1, Server: 1, Outcome: OK, Final: true})
	if len(s.requests) != 19 {
		t.Errorf("%d held after one ended", len(s.requests))
	}
}

// Records that do not fit are left out.
func TestDamagedHandoverStateIsIgnored(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1)...)
	n.Restore(n.now, HandoverState{ConnectionRate: -1, RateUpdatedAt: n.now + time.Hour,
		Servers: []ServerRecord{{ID: 1, ConsecutiveFailures: -5, EjectedUntil: n.now + time.Hour,
			ReportedAt: n.now + time.Hour, Utilisation: -3},
			{ID: 77, EjectedUntil: n.now + time.Hour}},
		Affinities: []AffinityRecord{{ClientKey: "", Server: 1, ExpiresAt: n.now + time.Hour},
			{ClientKey: "k", Server: 77, ExpiresAt: n.now + time.Hour},
			{ClientKey: "old", Server: 1, ExpiresAt: n.now - 1}}})
	if n.connectionRate < 0 || n.servers[77] != nil || len(n.affinity.entries) != 0 ||
		n.servers[1].hasFreshReport(n.now) {
		t.Errorf("took over %+v", n.servers[1])
	}
	n.now += freshnessWindow << maxEjectionDoublings
	if _, s := n.establish("safe", "k"); s != 1 {
		t.Error("ejected for longer than any server is")
	}
}

// The two processes of a node may have begun under different wall clocks: times of the one keep their
// distance from now for the other.
func TestHandoverBetweenDifferentClocks(t *testing.T) {
	for _, off := range []time.Duration{0, 2 * time.Second, 30 * time.Second, time.Hour, -2 * time.Second,
		-30 * time.Second, -time.Hour} {
		t.Run(off.String(), func(t *testing.T) { testHandoverWithOffset(t, off) })
	}
}

func testHandoverWithOffset(t *testing.T, off time.Duration) {
	config := testConfig()
	config.ConnectionCapacity = 400
	n := newTestNode(config, readyServers(1, 2, 3)...)
	n.now += 2 * time.Hour
	starting := Server{ID: 4, State: Ready, Weight: 1, StartedAt: n.now - time.Second}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	id, home := n.establish("safe", "client")
	n.end(id, home)
	n.eject(n.servers[1])
	memory := n.HandoverState(n.now)
	next := &testNode{Balancer: New(config, 8), now: n.now + off, next: 1}
	next.handle(EndpointUpdate{Kind: ListCached, Servers: append(readyServers(1, 2, 3), starting)})
	next.Restore(next.now, memory)
	if _, s := next.establish("safe", "client"); s != home {
		t.Errorf("the client goes to %d, not %d", s, home)
	}
	if got := next.ExcludedServerCount(next.now); got != 1 {
		t.Errorf("%d servers ejected, not 1", got)
	}
	if next.now += freshnessWindow + time.Millisecond; next.ExcludedServerCount(next.now) != 0 {
		t.Error("a server is ejected for longer than by the process before")
	}
	if !next.inSlowStart(next.servers[4]) {
		t.Error("a server in slow start counts as warm")
	}
	next.now += config.SlowStartWindow
	// the event brings the new time
	if next.handle(TimerFired{Token: 99999}); next.inSlowStart(next.servers[4]) {
		t.Error("a server is in slow start for longer than by the process before")
	}
}
