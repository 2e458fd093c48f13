package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestAffinityExpiresAfterTTL(t *testing.T) {
	for _, test := range []struct {
		elapsed time.Duration
		want    bool
	}{{affinityTTL - ms, true}, {affinityTTL, false}} {
		n := newTestNode(testConfig(), readyServers(1, 2)...)
		id, server := n.establish("safe", "client")
		n.end(id, server)
		n.now += test.elapsed
		n.handle(TimerFired{Token: 99999})
		if kept := n.affinity.lookup("client") != nil; kept != test.want {
			t.Errorf("%v after the connection ended: affinity kept is %v", test.elapsed, kept)
		}
	}
}

func TestAffinityPrecedesRankingUntilServerIsNotReady(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1)...)
	id, _ := n.establish("safe", "client")
	n.end(id, 1)
	servers := readyServers(1, 2, 3, 4, 5, 6, 7, 8)
	n.handle(EndpointUpdate{Kind: ListSnapshot, Servers: servers})
	if _, s := n.place("safe", "client"); s != 1 {
		t.Errorf("client was placed on server %d, want 1", s)
	}
	servers[0].State = Draining
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: servers[:1]})
	if _, s := n.place("safe", "client"); s == 1 {
		t.Error("client was placed on a draining server")
	}
}

func TestServerRestartRemovesAffinity(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	n.establish("safe", "client")
	restarted := n.affinity.lookup("client").Server
	restarted.StartedAt = n.now
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{restarted}})
	if n.affinity.lookup("client") != nil {
		t.Error("affinity remains after a restart of its server")
	}
}

func TestFullAffinityTableEvictsOldestIdleEntry(t *testing.T) {
	config := testConfig()
	config.MaxOpenRequests = 4
	n := newTestNode(config, readyServers(1, 2)...)
	n.establish("safe", "connected")
	for i := range 6 {
		id, s := n.establish("safe", fmt.Sprint("ended-", i))
		n.end(id, s)
		if len(n.affinity.entries) > 4 {
			t.Fatalf("affinity table has %d entries, limit is 4", len(n.affinity.entries))
		}
	}
	if n.affinity.lookup("connected") == nil || n.affinity.lookup("ended-0") != nil ||
		n.affinity.lookup("ended-5") == nil {
		t.Errorf("wrong entries were evicted: %d left", len(n.affinity.entries))
	}
}

// Guards against memory that grows with every connection of one client, and with every client beyond the
// limit of the table.
func TestAffinityTableIsBounded(t *testing.T) {
	config := testConfig()
	config.MaxAffinities = 100
	n := newTestNode(config, readyServers(1)...)
	for range 10_000 {
		id, s := n.establish("safe", "always the same")
		n.end(id, s)
		n.now += ms
	}
	if count := len(n.affinity.idle); count > 2*minIdleCompaction {
		t.Errorf("%d records of one client", count)
	}
	for i := range 10_000 {
		id, s := n.establish("safe", fmt.Sprint("client-", i))
		n.end(id, s)
	}
	entries, idle := len(n.affinity.entries), len(n.affinity.idle)
	if entries > config.MaxAffinities || idle > 4*entries+minIdleCompaction {
		t.Errorf("%d entries and %d records of idle clients, want at most %d entries", entries, idle,
			config.MaxAffinities)
	}
	if n.affinity.entries["client-9999"] == nil || n.affinity.entries["client-1"] != nil {
		t.Error("the clients that are remembered are not the last ones")
	}
}
