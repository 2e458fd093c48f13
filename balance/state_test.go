package balance

import (
	"fmt"
	"testing"
	"time"
)

// handOver returns a successor process of n, started as a node does it.
func (n *testNode) handOver(config Config, servers ...Server) *testNode {
	state := n.HandoverState(n.now)
	n.handle(HandedOver{ToSuccessor: true})
	successor := &testNode{Balancer: New(config, 8), now: n.now, nextID: 1}
	successor.handle(EndpointUpdate{Kind: ListCached, Servers: servers})
	successor.Restore(successor.now, state)
	return successor
}

// All processes of one node together must not make more attempts on a server in slow start than a single one
// would.
func TestHandoverKeepsWarmUpLimit(t *testing.T) {
	config := testConfig()
	config.ConnectionCapacity = 400
	now := time.Minute
	servers := append(readyServers(1, 2, 3), Server{ID: 4, State: Ready, Weight: 1,
		StartedAt: now - time.Second})
	attemptsInSlowStart := func(upgrades bool) (attempts int) {
		n := newTestNode(config, servers...)
		processes := []*testNode{n}
		for i := range 600 { // 3 s
			if upgrades && i%100 == 50 {
				processes = append(processes, processes[len(processes)-1].handOver(config, servers...))
			}
			for j, n := range processes { // in the worst case old processes still accept clients
				n.now += 5 * ms
				if _, s := n.establish("safe", fmt.Sprint(i, "-", j)); s == 4 {
					attempts++
				}
			}
		}
		return attempts
	}
	if withoutUpgrades, withUpgrades := attemptsInSlowStart(false),
		attemptsInSlowStart(true); withoutUpgrades == 0 || withUpgrades > withoutUpgrades+1 {
		t.Errorf("%d attempts in slow start without upgrades, %d with them", withoutUpgrades, withUpgrades)
	}
}

// If the successor fails, this process has to resume its attempts on servers in slow start after an
// OverloadWindow.
func TestFailedHandoverResumesSlowStart(t *testing.T) {
	config := testConfig()
	config.ConnectionCapacity = 400
	n := newTestNode(config, Server{ID: 4, State: Ready, Weight: 1, StartedAt: time.Minute - time.Second})
	n.now += config.OverloadWindow
	if _, s := n.establish("safe", "a"); s != 4 {
		t.Fatal("no attempt on the server in slow start before the handover")
	}
	n.handOver(config)
	n.now += time.Second
	if _, s := n.establish("safe", "b"); s != 0 {
		t.Error("attempt on a server in slow start after the handover")
	}
	n.handle(HandedOver{ToSuccessor: false})
	if _, s := n.establish("safe", "c"); s != 0 {
		t.Error("attempt within an OverloadWindow of the failed handover")
	}
	n.now += config.OverloadWindow
	if _, s := n.establish("safe", "d"); s != 4 {
		t.Error("attempts do not resume after a failed handover")
	}
}

func TestHandoverKeepsAffinityAndEjections(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	id, server := n.establish("safe", "client")
	n.end(id, server)
	// Server 9 now ranks first for the client.
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{{ID: 9, State: Ready, Weight: 1e9}}})
	var failing ServerID
	for i := 0; failing == 0; i++ {
		id, s := n.place("safe", fmt.Sprint("f", i))
		if s != server {
			failing = s
			n.handle(AttemptEnded{ID: id, Server: s, Outcome: ConnectFailed})
		}
	}
	successor := n.handOver(testConfig(), append(readyServers(1, 2, 3), Server{ID: 9, State: Ready,
		Weight: 1e9})...)
	if _, s := successor.establish("safe", "client"); s != server {
		t.Errorf("client was placed on server %d, want %d", s, server)
	}
	if got := successor.ExcludedServerCount(successor.now); got != 1 {
		t.Errorf("%d servers ejected, want 1", got)
	}
	for i := range 50 {
		if _, s := successor.establish("safe", fmt.Sprint("g", i)); s == failing {
			t.Fatal("placed on an ejected server")
		}
	}
	successor.now += affinityTTL + time.Second // so that idle entries expire
	if len(successor.affinity.entries) == 0 {
		t.Error("affinities of established connections were lost")
	}
	successor.handle(ClientDisconnected{})
	if e := successor.affinity.entries["f0"]; e != nil && e.connections == 0 {
		t.Error("an idle affinity has not expired")
	}
}

// Connections that a process inherits are included in the last load report of their server, except those that
// were established after it.
func TestInheritedConnectionsDoNotCountAsNew(t *testing.T) {
	config := testConfig()
	config.HealthChecksAllowed = true
	n := newTestNode(config, readyServers(1, 2)...)
	n.handle(HealthCheckResult{Server: 1, Outcome: OK, Report: &LoadReport{Utilisation: 0.4}})
	for range 5 {
		n.handle(ExistingConnection{Request: Request{ID: n.nextID, Class: "safe"}, Server: 1})
		n.nextID++
	}
	successor := n.handOver(config, readyServers(1, 2)...)
	for i := range 20 {
		successor.handle(ExistingConnection{Request: Request{ID: successor.nextID, Class: "safe",
			ClientKey: fmt.Sprint(i)},
			Server: 1, Inherited: true})
		successor.nextID++
	}
	s := successor.servers[1]
	// Five connections were established after the report.
	if len(s.requests) != 20 || s.connectionsSinceReport != 5 || successor.openConnections != 20 {
		t.Errorf("%d connections, %d of them since the report", len(s.requests), s.connectionsSinceReport)
	}
	successor.handle(AttemptEnded{ID: 1, Server: 1, Outcome: OK, Final: true})
	if len(s.requests) != 19 {
		t.Errorf("%d connections after one ended, want 19", len(s.requests))
	}
}

// Records with invalid values, and those of unknown servers, must be ignored.
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
		t.Errorf("invalid records were applied: %+v", n.servers[1])
	}
	n.now += freshnessWindow << maxEjectionDoublings
	if _, s := n.establish("safe", "k"); s != 1 {
		t.Error("ejected for longer than the longest ejection")
	}
}

// The two processes of a node may have started under different wall clocks. Restored times must keep their
// distance from the current time.
func TestHandoverBetweenDifferentClocks(t *testing.T) {
	for _, clockOffset := range []time.Duration{0, 2 * time.Second, 30 * time.Second, time.Hour,
		-2 * time.Second, -30 * time.Second, -time.Hour} {
		t.Run(clockOffset.String(), func(t *testing.T) { testHandoverWithOffset(t, clockOffset) })
	}
}

func testHandoverWithOffset(t *testing.T, clockOffset time.Duration) {
	config := testConfig()
	config.ConnectionCapacity = 400
	n := newTestNode(config, readyServers(1, 2, 3)...)
	n.now += 2 * time.Hour
	starting := Server{ID: 4, State: Ready, Weight: 1, StartedAt: n.now - time.Second}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{starting}})
	id, server := n.establish("safe", "client")
	n.end(id, server)
	n.eject(n.servers[1])
	state := n.HandoverState(n.now)
	successor := &testNode{Balancer: New(config, 8), now: n.now + clockOffset, nextID: 1}
	successor.handle(EndpointUpdate{Kind: ListCached, Servers: append(readyServers(1, 2, 3), starting)})
	successor.Restore(successor.now, state)
	if _, s := successor.establish("safe", "client"); s != server {
		t.Errorf("client was placed on server %d, want %d", s, server)
	}
	if got := successor.ExcludedServerCount(successor.now); got != 1 {
		t.Errorf("%d servers ejected, want 1", got)
	}
	if successor.now += freshnessWindow + time.Millisecond; successor.ExcludedServerCount(
		successor.now) != 0 {
		t.Error("ejection lasts longer than in the previous process")
	}
	if !successor.inSlowStart(successor.servers[4]) {
		t.Error("server in slow start counts as warm")
	}
	successor.now += config.SlowStartWindow
	// The event updates the time of the Balancer.
	if successor.handle(TimerFired{Token: 99999}); successor.inSlowStart(successor.servers[4]) {
		t.Error("slow start lasts longer than in the previous process")
	}
}
