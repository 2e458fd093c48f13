package node

import (
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
	cfg := u.config
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
