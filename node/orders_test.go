package node

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"brassmux/internal/upgrade"
)

// upgradedNode is a node whose processes share a listening socket and a hand-over directory.
type upgradedNode struct {
	t         *testing.T
	path      string // of the hand-over socket
	config    Config
	discovery *fakeDiscovery
}

// newUpgradedNode returns a node without processes.
func newUpgradedNode(t *testing.T, servers ...*testServer) *upgradedNode {
	t.Helper()
	change, path := withInheritedSocket(t)
	u := &upgradedNode{t: t, path: path, discovery: newFakeDiscovery(t, 0)}
	u.config = testConfig(t, u.discovery, servers...)
	u.config.Settings.NodeCount = 2
	change(&u.config)
	return u
}

// start starts the next process and waits until it is ready.
func (u *upgradedNode) start() *testNode {
	u.t.Helper()
	return u.startWith(u.config)
}

// startWith starts the next process with its own configuration and waits until it is ready.
func (u *upgradedNode) startWith(cfg Config) *testNode {
	u.t.Helper()
	fd, err := syscall.Dup(u.config.ListenFD) // the process closes it
	if err != nil {
		u.t.Fatal(err)
	}
	cfg.ListenFD = fd
	n := runNode(u.t, cfg, u.discovery)
	n.waitFor("the process to be ready", func() bool { return n.lifecycle.isReady() })
	return n
}

// expectOutOfService waits until a process follows an order.
func (n *testNode) expectOutOfService(want bool) {
	n.t.Helper()
	n.waitFor("the process to follow the order", func() bool {
		phase, _ := n.lifecycle.currentPhase()
		return phase == outOfService == want
	})
}

// Guards against an order to empty the node that is lost because it comes between the start of the next process of an
// upgrade and the end of the previous one, at either of them; and against an order back into service that is lost in
// the same way.
func TestOrderDuringUpgradeBindsBothProcesses(t *testing.T) {
	srv := newTestServer(t, "s-1")
	u := newUpgradedNode(t, srv)
	old := u.start()
	next := u.start()
	old.expectOK("POST", "/control/out-of-service")
	next.expectOutOfService(true)
	old.expectOK("POST", "/control/in-service")
	next.expectOutOfService(false)
	next.expectOK("POST", "/control/out-of-service")
	old.expectOutOfService(true)
	next.expectOK("POST", "/control/in-service")
	next.expectOK("POST", "/control/out-of-service")
	old.stop()
	old.wait()
	next.expectOutOfService(true)
	if got := next.ping(); got != "ERR out of service\r\n" {
		t.Errorf("after the upgrade: %q", got)
	}
	last := u.start()
	last.expectOutOfService(true)
	last.expectOK("POST", "/control/in-service")
	next.expectOutOfService(false)
}

// Guards against an order that is lost because it comes just before SIGTERM, when the process ends before it has
// informed its successor.
func TestOrderJustBeforeStopReachesSuccessor(t *testing.T) {
	for range 20 {
		u := newUpgradedNode(t, newTestServer(t, "s-1"))
		old, next := u.start(), u.start()
		if !old.orders.setOutOfService(true) {
			t.Fatal("the order is rejected")
		}
		old.stop()
		old.wait()
		next.expectOutOfService(true)
	}
}

// Guards against an order that is lost because the next process, which was informed of it, dies before it serves; and
// against one that only that process received.
func TestOrderSurvivesSuccessorCrash(t *testing.T) {
	u := newUpgradedNode(t, newTestServer(t, "s-1"))
	old := u.start()
	link := dialAsSuccessor(t, u.path)
	receiveOrders := func() upgrade.Orders {
		t.Helper()
		message, _ := receiveMessage(t, link)
		if message.Kind != upgrade.KindOrders {
			t.Fatalf("got a message of kind %v", message.Kind)
		}
		return *message.Orders
	}
	if err := link.Send(upgrade.Message{Kind: upgrade.KindHello, Orders: &upgrade.Orders{}}, testTimeout); err != nil {
		t.Fatal(err)
	}
	for message, _ := receiveMessage(t, link); message.Kind != upgrade.KindStateEnd; {
		message, _ = receiveMessage(t, link)
	}
	old.expectOK("POST", "/control/out-of-service")
	if got := receiveOrders().Service; got != (upgrade.ServiceOrder{Revision: 1, OutOfService: true}) {
		t.Errorf("the successor is informed of %+v", got)
	}
	inService := upgrade.Orders{Service: upgrade.ServiceOrder{Revision: 2}}
	if err := link.Send(upgrade.Message{Kind: upgrade.KindOrders, Orders: &inService}, testTimeout); err != nil {
		t.Fatal(err)
	}
	old.expectOutOfService(false)
	old.expectOK("POST", "/control/out-of-service")
	for receiveOrders().Service.Revision != 3 {
	}
	link.Close()
	old.waitFor("the failed upgrade", func() bool { return old.counter("handover_faults") == 1 })
	old.expectOutOfService(true)
	u.start().expectOutOfService(true)
}

// Guards against messages that a process of an earlier build does not understand, and against ignoring that the
// predecessor of an earlier build is out of service.
func TestOrdersAreNotSentToEarlierBuild(t *testing.T) {
	u := newUpgradedNode(t, newTestServer(t, "s-1"))
	old := u.start()
	link := dialAsSuccessor(t, u.path)
	serveAsSuccessor(t, link) // says hello without orders
	old.expectOK("POST", "/control/out-of-service")
	if message, _, err := link.Receive(time.Now().Add(100 * time.Millisecond)); err == nil {
		t.Errorf("the successor got a message of kind %v", message.Kind)
	}
	state := inheritedState{end: &upgrade.Message{OutOfService: true}}
	if got := state.orders().Service; !got.OutOfService || got.Revision == 0 {
		t.Errorf("orders of an earlier build: %+v", got)
	}
}

// followedDiscovery returns the address of the discovery service that the node follows.
func (n *testNode) followedDiscovery() (addr string) {
	n.inLoop(func() { addr = n.loop.discoveryAddr })
	return addr
}

// rereads returns a function that reads a configuration with another discovery address, or fails if that is empty.
func rereads(cfg Config, discovery string) func() (Config, error) {
	return func() (Config, error) {
		if discovery == "" {
			return Config{}, errors.New("faulty")
		}
		cfg.Discovery = discovery
		return cfg, nil
	}
}

// Guards against a new process that goes back to the discovery service that a reload had left, because the environment,
// which is still the same, names it. After a reload the file counts, as it is now if it is valid.
func TestUpgradeKeepsReloadedDiscovery(t *testing.T) {
	left, reloaded, later := newFakeDiscovery(t, 0), newFakeDiscovery(t, 0), newFakeDiscovery(t, 0)
	for name, test := range map[string]struct{ inFile, want string }{
		"same file":    {reloaded.addr, reloaded.addr},
		"later file":   {later.addr, later.addr},
		"faulty file":  {"", reloaded.addr},
		"invalid file": {"no port", reloaded.addr},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpgradedNode(t, newTestServer(t, "s-1"))
			u.config.Discovery = left.addr
			old := u.start()
			if err := old.Reload(old.withDiscovery(reloaded)); err != nil {
				t.Fatal(err)
			}
			cfg := u.config
			cfg.reread = rereads(cfg, test.inFile)
			next := u.startWith(cfg)
			if got := next.followedDiscovery(); got != test.want {
				t.Errorf("the next process follows %s, want %s", got, test.want)
			}
			old.waitFor("the old process to follow the same", func() bool {
				return old.followedDiscovery() == test.want
			})
		})
	}
}

// next process follows its own configuration.
func TestReloadDuringUpgradeBindsBothProcesses(t *testing.T) {
	u := newUpgradedNode(t, newTestServer(t, "s-1"))
	old := u.start()
	cfg := u.config
	cfg.Discovery = newFakeDiscovery(t, 0).addr
	cfg.reread = rereads(cfg, "") // not called without a reload
	next := u.startWith(cfg)
	if got := next.followedDiscovery(); got != cfg.Discovery {
		t.Errorf("without a reload the next process follows %s, want %s", got, cfg.Discovery)
	}
	for _, reloaded := range []*testNode{old, next, old} {
		discoveryServer := newFakeDiscovery(t, 0)
		if err := reloaded.Reload(reloaded.withDiscovery(discoveryServer)); err != nil {
			t.Fatal(err)
		}
		for _, n := range []*testNode{old, next} {
			n.waitFor("the process to follow the reload", func() bool {
				return n.followedDiscovery() == discoveryServer.addr
			})
		}
	}
}

// Guards against a request that runs again, under the ID of one that has run, at the next process of an upgrade or at
// the process before it: after its end, after its client has left, and while both processes serve.
func TestIDRunsOnceInUpgrade(t *testing.T) {
	srv := newTestServer(t, "s-1")
	u := newUpgradedNode(t, srv)
	old := u.start()
	runs := acceptAll(t, srv)
	run := func(id string) (answer string) {
		client := old.dial()
		defer client.Close()
		client.send("OPEN " + id + " k c=chat,d=2000\r\n")
		return client.readLine()
	}
	for i := range 20 {
		if answer := run(fmt.Sprint("before-", i)); answer != "UP r\r\n" {
			t.Fatal(answer)
		}
	}
	next := u.start()
	for i := range 20 {
		if answer := run(fmt.Sprint("between-", i)); answer != "UP r\r\n" { // by either process
			t.Fatal(answer)
		}
	}
	time.Sleep(50 * time.Millisecond) // until both processes know the last ID
	for i := range 20 {
		run(fmt.Sprint("between-", i))
	}
	old.stop()
	old.wait()
	for i := range 20 {
		run(fmt.Sprint("before-", i))
		run(fmt.Sprint("between-", i))
	}
	if got := runs.Load(); got != 40 {
		t.Errorf("%d runs of 40 requests", got)
	}
	if answer := run("after"); answer != "UP r\r\n" || next.counter("requests") == 0 {
		t.Errorf("a new request is answered with %q", answer)
	}
}
