package node

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"brassmux/internal/discovery"
)

// Guards against losing a drain that arrives on a silent watch while the call that is to replace it gets no answer.
func TestSilentWatchStaysOpenUntilReplaced(t *testing.T) {
	srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	discoveryServer := newFakeDiscovery(t, 0)
	discoveryServer.answeredCalls = 1
	cfg := testConfig(t, discoveryServer, srv, other)
	withoutHealthChecks(&cfg)
	// With pushed changes, everything that is written to the watch counts as received.
	cfg.Timeouts.WatchSilenceMS, cfg.Settings.MembershipMode = 50, "pushed"
	n := runNode(t, cfg, discoveryServer)
	n.waitFor("further calls", func() bool { return n.counter("list_calls") >= 3 })
	discoveryServer.sendList(2, false, srv.endpointJSON("draining"))
	n.waitFor("the drain", func() bool { return n.isDraining(srv) })
}

// Guards against wrong delays between calls to the discovery service. After a watch that has received data breaks or
// falls silent, the next call must follow at once, however many nodes there are, because its changes count as received
// soon. After a failed call the next one must follow 1.15 to 3.45 s later: at once would mean five calls per second
// from every node to a service that ends each watch soon, and later would miss the 6 s in which a change must arrive.
// Only if a call was kept waiting before it failed are the next calls spread over all nodes, since more calls do not
// help then.
func TestWatchRetryDelay(t *testing.T) {
	resetWatch := func(n *testNode) { n.discovery.breakWatches() }
	silenceWatch := func(n *testNode) {
		n.loop.post(func() { n.loop.onWatchBroken(n.loop.currentWatch, errDiscoverySilent) })
	}
	failDial := func(n *testNode) {
		n.loop.post(func() {
			n.loop.currentWatch.hasData = false
			n.loop.onWatchBroken(n.loop.currentWatch, &net.OpError{Op: "dial", Err: errors.New("i/o timeout")})
		})
	}
	for name, test := range map[string]brokenWatchCase{
		"reset":                  {resetWatch, time.Hour, true, 0, minRetryDelay},
		"silent":                 {silenceWatch, time.Hour, true, 0, minRetryDelay},
		"reset soon, every time": {resetWatch, 0, false, 0, minRetryDelay},
		"not reached":            {failDial, time.Second, false, 0, minRetryDelay},
		"busy":                   {resetWatch, time.Hour, true, time.Second, time.Minute},
	} {
		t.Run(name, test.check)
	}
}

// minRetryDelay is the shortest delay after a failed call.
const minRetryDelay = 1150 * time.Millisecond

// brokenWatchCase is a way in which a watch breaks, with the expected calls after it.
type brokenWatchCase struct {
	breakWatch    func(n *testNode)
	age           time.Duration // of the watch when it breaks
	retriesAtOnce bool          // expects a call without delay
	callDelay     time.Duration // of the answers to the following calls, which all fail
	minPause      time.Duration // expected before the call that follows the first failure
}

// check breaks the watch of one of many nodes and checks when the next calls follow.
func (b brokenWatchCase) check(t *testing.T) {
	n := startNode(t, func(c *Config) { c.Settings.NodeCount, c.Settings.NodeIndex = 10_000, 0 })
	n.loop.post(n.loop.subscribe) // at once, instead of after the first delay
	n.awaitFirstList()
	n.discovery.mu.Lock()
	n.discovery.failingCalls, n.discovery.failureDelay = 1000, b.callDelay
	n.discovery.mu.Unlock()
	startedAt := time.Now()
	n.loop.post(func() { n.loop.currentWatch.openedAt = startedAt.Add(-b.age) })
	b.breakWatch(n)
	if b.retriesAtOnce {
		n.waitFor("another call", func() bool { return n.counter("list_calls") == 2 })
		if elapsed := time.Since(startedAt); elapsed > testTimeout/2 {
			t.Errorf("the next call came after %v, want at once", elapsed)
		}
	}
	calls := 1
	if b.retriesAtOnce {
		calls = 2
	}
	pause := n.awaitPause(calls)
	if listCalls := n.counter("list_calls"); listCalls != int64(calls) {
		t.Errorf("%d calls before the delay", listCalls)
	}
	if pause < b.minPause-time.Since(startedAt) || b.minPause == minRetryDelay && pause > 3*minRetryDelay {
		t.Errorf("the next call is due in %v", pause)
	}
}

// awaitPause waits until the loop has handled the end of the given number of calls, and returns the delay before the
// next one.
func (n *testNode) awaitPause(calls int) (pause time.Duration) {
	n.t.Helper()
	n.waitFor("a delay before the next call", func() bool {
		pauses := make(chan time.Duration)
		n.loop.post(func() {
			if len(n.loop.timers) == 0 || !n.loop.currentWatch.isBroken || n.loop.watchAttempts != calls {
				pauses <- 0
				return
			}
			pauses <- n.loop.timers[0].at - n.loop.now()
		})
		pause = <-pauses
		return pause > 0
	})
	return pause
}

// Guards against a late call to a discovery service that has recovered: its changes must arrive within 6 s for any
// number of nodes. One of 5,700 nodes once called it only after minutes.
func TestWatchRecoversSoonWithManyNodes(t *testing.T) {
	lateness := measureLateness(t)
	discoveryServer := newFakeDiscovery(t, 1000)
	cfg := testConfig(t, discoveryServer)
	cfg.Settings.NodeCount = 5700
	n := runNode(t, cfg, discoveryServer)
	n.loop.post(n.loop.subscribe) // at once, instead of after the first delay
	n.waitFor("a failed call", func() bool { return n.counter("list_failed") > 0 })
	discoveryServer.sendList(2, true)
	discoveryServer.mu.Lock()
	discoveryServer.failingCalls = 0
	discoveryServer.mu.Unlock()
	restoredAt := time.Now()
	n.waitFor("the list", func() bool { return n.counter("list_changes") == 1 })
	if elapsed := time.Since(restoredAt); elapsed > 6*time.Second+lateness() {
		t.Errorf("the list arrived after %v, want at most 6s", elapsed)
	}
}

// Guards against treating the endpoint list as out of date while a watch sends only empty lines, which confirm that
// nothing has changed. With a list that is out of date, servers that do not report their load get no clients.
func TestEmptyLinesConfirmList(t *testing.T) {
	for name, test := range map[string]struct {
		failures int
		want     string
	}{"failed calls": {1000, "BUSY"}, "empty lines": {0, "UP"}} {
		t.Run(name, func(t *testing.T) {
			srv := &testServer{id: "s-1", conns: make(chan *testConn, 100), firstLines: make(chan string, 100)}
			srv.addr = serveConns(t, acceptWithoutReports)
			discoveryServer := newFakeDiscovery(t, test.failures)
			startedAt := time.Now()
			n := runNode(t, testConfig(t, discoveryServer, srv), discoveryServer)
			n.waitFor("the list to be confirmed or out of date", func() bool {
				isAlive := make(chan bool)
				n.loop.post(func() { isAlive <- n.loop.currentWatch != nil && n.loop.currentWatch.hasData })
				return (<-isAlive || test.failures > 0) && time.Since(startedAt) > 2*time.Second
			})
			if got := n.open("k", "").readLine(); !strings.HasPrefix(got, test.want) {
				t.Errorf("got %q", got)
			}
		})
	}
}

// acceptWithoutReports accepts clients and does not answer health checks.
func acceptWithoutReports(conn *testConn) {
	for {
		line, err := conn.reader.ReadString('\n')
		if err != nil {
			return
		}
		if line != "STATS\r\n" {
			conn.send("UP r-1\r\n")
		}
	}
}

// Guards against undoing a drain by an older event of a newer watch, and against closing the wrong one of two watches.
// The second watch is opened before the first one receives a drain, and gets its data after that. The first one must be
// closed then, and the second one must stay open until a third one receives data.
func TestOverlappingWatchesKeepOrder(t *testing.T) {
	srv := newTestServer(t, "s-1")
	n := startNode(t, nil, srv)
	n.waitFor("the first watch", func() bool { return n.counter("list_calls") == 1 })
	isStopped := map[*watch]bool{}
	second := &watch{addr: n.loop.discoveryAddr, sinceVersion: 1}
	second.cancel = func() { isStopped[second] = true }
	sendEvent := func(w *watch, version int64, state string) {
		n.loop.onWatchEvent(w, &discovery.EndpointList{Version: version,
			Servers: []discovery.Endpoint{srv.endpoint(state)}}, time.Now())
	}
	isExpected := make(chan bool, 3)
	n.loop.post(func() {
		first := n.loop.currentWatch
		n.loop.currentWatch, n.loop.previousWatch = second, first
		sendEvent(first, 43, "draining")
		n.loop.onWatchAlive(second) // data without a list
		isExpected <- n.loop.previousWatch == nil
		sendEvent(second, 42, "up")
		n.loop.openWatch()
		isExpected <- n.loop.previousWatch == second && !isStopped[second]
		n.loop.openWatch() // the third watch has received no data
		isExpected <- n.loop.previousWatch == second && !isStopped[second]
	})
	for range 3 {
		if !<-isExpected {
			t.Error("the watch that received data last is not the previous watch")
		}
	}
	if !n.isDraining(srv) {
		t.Error("an older event has undone the drain")
	}
	n.loop.post(func() { sendEvent(second, 44, "up") })
	if n.isDraining(srv) {
		t.Error("a newer event is not applied")
	}
}

// Guards against clients that stay at a draining server, including one whose attempt was in flight, and against
// repeating that attempt elsewhere.
func TestDrainingServerMigratesClients(t *testing.T) {
	srv, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, nil, srv)
	client, _ := n.establish(srv)
	waiting := n.open("w", "") // its attempt is in flight when the drain arrives
	serverConn, _ := srv.accept(t)
	n.discovery.sendList(2, false, srv.endpointJSON("draining"), other.endpointJSON("up"))
	client.expect("MOVE\r\n")
	client.expectEnd(io.EOF)
	serverConn.send("UP r-2\r\n")
	waiting.expect("UP r-2\r\n")
	waiting.expect("MOVE\r\n")
	if len(other.conns) > 0 {
		t.Error("the attempt in flight was repeated")
	}
	n.open("k", ",again=1")
	other.accept(t) // the draining server gets no new clients
}

// Guards against a node that stops serving, or misses the next list, after failed calls and an invalid list.
func TestInvalidListKeepsOldList(t *testing.T) {
	srv, newServer := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	discoveryServer := newFakeDiscovery(t, 2)
	n := runNode(t, testConfig(t, discoveryServer, srv), discoveryServer)
	n.establish(srv)
	// The address is missing.
	discoveryServer.lines <- `{"version":2,"full":true,"servers":[{"id":"s-9","addr":"","state":"up"}]}`
	n.waitFor("the invalid list", func() bool { return n.counter("list_failed") == 3 })
	n.establish(srv)
	discoveryServer.sendList(3, true, newServer.endpointJSON("up"))
	n.waitFor("the new list", func() bool { return n.counter("list_changes") == 1 })
	n.establish(newServer)
}
