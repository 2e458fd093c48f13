package node

import (
	"strings"
	"testing"
	"time"
)

// Guards against losing a drain that the former discovery service has sent before a reload, and that the node reads
// after it.
func TestReloadKeepsEarlierDrain(t *testing.T) {
	srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, withoutHealthChecks, srv, other)
	n.awaitFirstList()
	silentDiscovery := newFakeDiscovery(t, 0)
	for range 2 { // also with a second reload, before any service after the first has sent data
		unblock := n.blockLoop()
		if err := n.Reload(n.withDiscovery(silentDiscovery)); err != nil {
			t.Fatal(err)
		}
		close(unblock)
		silentDiscovery = newFakeDiscovery(t, 0)
	}
	n.discovery.sendList(9, false, srv.endpointJSON("draining"), other.endpointJSON("up"))
	n.waitFor("the drain", func() bool { return n.isDraining(srv) })
	for range 5 {
		n.open("k", "")
		other.accept(t)
	}
	if len(srv.conns) > 0 {
		t.Error("a new client was sent to the draining server")
	}
}

// withDiscovery returns the node's configuration with another discovery service.
func (n *testNode) withDiscovery(discoveryServer *fakeDiscovery) Config {
	cfg := n.cfg
	cfg.Discovery = discoveryServer.addr
	return cfg
}

// Guards against a reload after which the node still applies the list of the former discovery service, requests only
// changes of the new one, or disturbs established connections.
func TestReloadSwitchesDiscovery(t *testing.T) {
	srv, newServer, stale := newTestServer(t, "s-1"), newTestServer(t, "s-2"), newTestServer(t, "s-3")
	n := startNode(t, nil, srv)
	client, server := n.establish(srv)
	n.waitFor("the first watch and the event that the client is served", func() bool {
		return n.counter("list_calls") == 1 && n.counter("served") == 1
	})
	n.discovery.sendList(8, false)
	n.waitFor("the first list", func() bool { return n.counter("list_changes") == 1 })
	newDiscovery, unblock := newFakeDiscovery(t, 0), n.blockLoop()
	if err := n.Reload(n.withDiscovery(newDiscovery)); err != nil {
		t.Fatal(err)
	}
	n.discovery.sendList(9, false, stale.endpointJSON("up")) // handled after the reload
	n.waitFor("the list to be queued", func() bool { return n.counter("list_changes") == 2 && len(n.loop.events) == 2 })
	close(unblock)
	if n.addressOf(stale) != "" {
		t.Error("the list of the former discovery service added a server")
	}
	newDiscovery.sendList(1, true, newServer.endpointJSON("up")) // a lower version, but of another service
	n.waitFor("the new list", func() bool { return n.counter("list_changes") == 3 })
	n.establish(newServer)
	client.send("still\r\n") // established connections continue
	server.expect("still\r\n")
	if since := newDiscovery.lastSinceVersion(); since != "0" {
		t.Errorf("changes requested after version %s, want 0", since)
	}
}

// Guards against a new discovery service that is called late because failures of the former one have delayed the next
// retry.
func TestReloadDoesNotWaitForRetry(t *testing.T) {
	srv := newTestServer(t, "s-1")
	failing := newFakeDiscovery(t, 1000)
	n := runNode(t, testConfig(t, failing, srv), failing)
	n.waitFor("the retry delay to grow", func() bool { return n.counter("list_failed") >= 5 })
	newDiscovery := newFakeDiscovery(t, 1) // its first call fails too
	startedAt := time.Now()
	if err := n.Reload(n.withDiscovery(newDiscovery)); err != nil {
		t.Fatal(err)
	}
	newDiscovery.sendList(1, true)
	n.waitFor("the new list", func() bool { return n.counter("list_changes") == 1 })
	// One delay of 0.1 to 0.3 s. The next one would be at least 1.5 s.
	if elapsed := time.Since(startedAt); elapsed > 1200*time.Millisecond {
		t.Errorf("the new list was applied after %v, want at most 1.2s", elapsed)
	}
}

// Guards against an invalid configuration that is applied in part.
func TestInvalidReloadChangesNothing(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	invalid := n.withDiscovery(newFakeDiscovery(t, 0))
	invalid.Limits.FileDescriptors = 3
	if err := n.Reload(invalid); err == nil || !strings.Contains(err.Error(), "limits.sockets") {
		t.Errorf("got %v", err)
	}
	n.establish(srv)
	if n.logs.FilterMessage("discovery address changed").Len() > 0 {
		t.Error("the new discovery address is used")
	}
}
