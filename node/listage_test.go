package node

import (
	"fmt"
	"testing"
	"time"

	"brassmux/internal/upgrade"
)

// Guards against new clients for a server whose drain this node has missed on a silent watch. The drain counts as
// received 6 s after the silence. Until the next list arrives, clients have to wait.
func TestSilentWatchHoldsNewClients(t *testing.T) {
	srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, withoutHealthChecks, srv)
	n.loop.post(n.loop.subscribe) // at once, instead of after the first delay
	n.awaitFirstList()
	n.establish(srv)
	n.discovery.silence()
	time.Sleep(6*time.Second + 50*time.Millisecond)
	client := n.open("k", "")
	select {
	case <-srv.conns:
		t.Fatal("the server got a new client 6 s after the watch fell silent")
	case <-time.After(500 * time.Millisecond):
	}
	n.discovery.resume()
	n.discovery.sendList(3, false, srv.endpointJSON("draining"), other.endpointJSON("up"))
	server, _ := other.accept(t)
	server.send("UP r-1\r\n")
	client.expect("UP r-1\r\n")
}

// Guards against new clients for a server that drained before this process started, where lists are pushed: what the
// agent has counts as received from the start on. Until it has its list the node is not ready, and holds clients.
func TestRestartWithPushedListHoldsClients(t *testing.T) {
	srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	discoveryServer := newFakeDiscovery(t, 0)
	discoveryServer.silence()
	cfg := testConfig(t, discoveryServer, srv)
	cfg.Settings.MembershipMode = "pushed"
	n := runNode(t, cfg, discoveryServer)
	client := n.open("k", "")
	select {
	case <-srv.conns:
		t.Fatal("the server got a new client before the first list")
	case <-time.After(300 * time.Millisecond):
	}
	if n.lifecycle.isReady() {
		t.Error("the node is ready before its first list")
	}
	discoveryServer.resume()
	discoveryServer.sendList(2, true, srv.endpointJSON("draining"), other.endpointJSON("up"))
	server, _ := other.accept(t)
	server.send("UP r-1\r\n")
	client.expect("UP r-1\r\n")
	n.waitFor("the node to be ready", func() bool { return n.lifecycle.isReady() })
}

// Guards against new clients for a server that drained before this process started, where lists are pushed and the
// agent refuses calls: that shows nothing of the time before. Clients go to servers that pass a health check, also
// where health checks return no load.
func TestRestartInOutageChecksServers(t *testing.T) {
	srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	srv.isDraining.Store(true)
	discoveryServer := newFakeDiscovery(t, 1000)
	cfg := testConfig(t, discoveryServer, srv, other)
	cfg.Settings.MembershipMode, cfg.Settings.Report.Via = "pushed", "none"
	cfg.Settings.Servers.DrainGraceMicros = 500_000
	n := runNode(t, cfg, discoveryServer)
	n.waitFor("the node to be ready", func() bool { return n.lifecycle.isReady() })
	for i := range 40 {
		client := n.open(fmt.Sprint("k", i), "")
		server, _ := other.accept(t)
		server.send("UP r-1\r\n")
		client.expect("UP r-1\r\n")
		time.Sleep(50 * time.Millisecond)
	}
	if len(srv.conns) > 0 {
		t.Error("the draining server got a client")
	}
}

// Guards against new clients for a server while the change that it drains arrives in parts: the change counts as
// received some time after the service had it, or where lists are pushed at once, also if it is not complete.
func TestDelayedListHoldsNewClients(t *testing.T) {
	for mode, countsAfter := range map[string]time.Duration{"on_request": reportDelay, "pushed": 0} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
			discoveryServer := newFakeDiscovery(t, 0)
			cfg := testConfig(t, discoveryServer, srv)
			withoutHealthChecks(&cfg)
			cfg.Settings.MembershipMode, cfg.Settings.Servers.DrainGraceMicros = mode, 250_000
			n := runNode(t, cfg, discoveryServer)
			n.loop.post(n.loop.subscribe)
			n.awaitFirstList()
			n.establish(srv)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				discoveryServer.sendListInParts(countsAfter+1500*time.Millisecond, 3, false,
					srv.endpointJSON("draining"), other.endpointJSON("up"))
			}()
			time.Sleep(countsAfter + 300*time.Millisecond)
			client := n.open("k", "")
			select {
			case <-srv.conns:
				t.Error("the draining server got a client")
			case <-sent:
			}
			server, _ := other.accept(t)
			server.send("UP r-1\r\n")
			client.expect("UP r-1\r\n")
		})
	}
}

// Guards against a list that counts as up to date for longer than it may be after a reload, or in the process that an
// upgrade starts.
func TestListAgeAfterReloadAndUpgrade(t *testing.T) {
	n := startNode(t, withoutHealthChecks)
	n.loop.post(n.loop.subscribe)
	n.awaitFirstList()
	n.discovery.silence()
	n.inLoop(func() { n.loop.onDiscoveryChanged("127.0.0.1:1") })
	n.inLoop(func() {
		if age := n.loop.balancer.ListAge(n.loop.now()); age < reportDelay-reloadReportDelay || age > reportDelay {
			t.Errorf("after the reload the list counts as %v old", age)
		}
	})
	time.Sleep(50 * time.Millisecond)
	var successor inheritedState
	for _, message := range n.loop.exportState(upgrade.Orders{}) {
		if message.Kind == upgrade.KindStateEnd {
			successor.end = &message
		}
	}
	n.inLoop(func() {
		ageHere := n.loop.balancer.ListAge(n.loop.now())
		n.loop.startList(&successor)
		if age := n.loop.balancer.ListAge(n.loop.now()); age < 40*time.Millisecond || age > ageHere+time.Millisecond {
			t.Errorf("in the successor the list counts as %v old, here as %v", age, ageHere)
		}
	})
}
