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

// A watch falls silent, the call that is to replace it is not answered, and then the first one speaks.
func TestASilentWatchIsHeardUntilAnotherSpeaks(t *testing.T) {
	h, next := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	list := newFakeDiscovery(t, 0)
	list.answers = 1
	cfg := testConfig(t, list, h, next)
	withoutHealthChecks(&cfg)
	cfg.Timeouts.WatchSilenceMS, cfg.Settings.MembershipMode = 50, "pushed" // what its agent is to say counts as told
	n := runNode(t, cfg, list)
	n.waitFor("further calls", func() bool { return n.counter("list_calls") >= 3 })
	list.sendList(2, false, h.endpointJSON("draining"))
	n.waitFor("the drain", func() bool { return n.drains(h) })
}

// A watch that has told something breaks, or falls silent: all that is to be told counts as told soon, so it is asked
// for anew at once however many nodes there are. After a call that fails the next one comes 1.15 to 3.45 s later:
// never at once, else a discovery that ends each watch soon would be asked five times a second by every node, but
// soon enough for a change to be told in its 6 s. Only where a call has waited before it failed are the next ones
// spread over all nodes: there more calls do not help.
func TestABrokenWatchIsOpenedAtOnceAndAFailedCallIsNot(t *testing.T) {
	cut := func(n *testNode) { n.discovery.breakWatches() }
	silent := func(n *testNode) {
		n.loop.post(func() { n.loop.onWatchBroken(n.loop.currentWatch, errDiscoverySilent) })
	}
	unreached := func(n *testNode) {
		n.loop.post(func() {
			n.loop.currentWatch.hasData = false
			n.loop.onWatchBroken(n.loop.currentWatch, &net.OpError{Op: "dial", Err: errors.New("i/o timeout")})
		})
	}
	for name, b := range map[string]brokenWatch{
		"reset":                  {cut, time.Hour, true, 0, soonRetry},
		"silent":                 {silent, time.Hour, true, 0, soonRetry},
		"reset soon, every time": {cut, 0, false, 0, soonRetry},
		"not reached":            {unreached, time.Second, false, 0, soonRetry},
		"busy":                   {cut, time.Hour, true, time.Second, time.Minute},
	} {
		t.Run(name, b.check)
	}
}

// soonRetry is the shortest pause after a call that fails.
const soonRetry = 1150 * time.Millisecond

// brokenWatch is a way for a watch to break, with what has to follow.
type brokenWatch struct {
	breaks func(n *testNode)
	stood  time.Duration
	again  bool          // at once
	waits  time.Duration // of the calls that follow
	least  time.Duration // before the next call after that
}

func (b brokenWatch) check(t *testing.T) {
	n := startNode(t, func(c *Config) { c.Settings.NodeCount, c.Settings.NodeIndex = 10_000, 0 })
	n.loop.post(n.loop.subscribe) // else that, too, takes its time
	n.awaitFirstList()
	n.discovery.mu.Lock()
	n.discovery.failures, n.discovery.failureDelay = 1000, b.waits
	n.discovery.mu.Unlock()
	begun := time.Now()
	n.loop.post(func() { n.loop.currentWatch.openedAt = begun.Add(-b.stood) })
	b.breaks(n)
	if b.again {
		n.waitFor("another", func() bool { return n.counter("list_calls") == 2 })
		if took := time.Since(begun); took > testTimeout/2 {
			t.Errorf("asked after %v", took)
		}
	}
	calls := 1
	if b.again {
		calls = 2
	}
	pause := n.awaitPause(calls)
	if made := n.counter("list_calls"); made != int64(calls) {
		t.Errorf("%d calls before it", made)
	}
	if pause < b.least-time.Since(begun) || b.least == soonRetry && pause > 3*soonRetry {
		t.Errorf("the next call comes %v later", pause)
	}
}

// awaitPause waits until the loop has handled the end of the last of some calls, and returns the pause before the next.
func (r *testNode) awaitPause(calls int) (pause time.Duration) {
	r.t.Helper()
	r.waitFor("a pause before the next call", func() bool {
		pauses := make(chan time.Duration)
		r.loop.post(func() {
			if len(r.loop.timers) == 0 || !r.loop.currentWatch.isBroken || r.loop.watchAttempts != calls {
				pauses <- 0
				return
			}
			pauses <- r.loop.timers[0].at - r.loop.now()
		})
		pause = <-pauses
		return pause > 0
	})
	return pause
}

// However many nodes there are by the settings, a list service that is back is called so soon that its news are there
// in 6 s. One of 5,700 nodes called it minutes later.
func TestTheListComesSoonAfterItsServiceIsBack(t *testing.T) {
	late := measureLateness(t)
	list := newFakeDiscovery(t, 1000)
	cfg := testConfig(t, list)
	cfg.Settings.NodeCount = 5700
	n := runNode(t, cfg, list)
	n.loop.post(n.loop.subscribe) // else that, too, takes its time
	n.waitFor("a call that fails", func() bool { return n.counter("list_failed") > 0 })
	list.sendList(2, true)
	list.mu.Lock()
	list.failures = 0
	list.mu.Unlock()
	back := time.Now()
	n.waitFor("the list", func() bool { return n.counter("list_changes") == 1 })
	if took := time.Since(back); took > 6*time.Second+late() {
		t.Errorf("the list came after %v", took)
	}
}

// A list that nobody has told of for a while is old, and a server that does not say that it takes clients gets none
// by it. A watch that says no more than empty lines tells of it, as nothing has changed: else such a node would go on
// as by an old list.
func TestEmptyLinesTellOfTheList(t *testing.T) {
	for name, c := range map[string]struct {
		fails int
		want  string
	}{"refused": {1000, "BUSY"}, "empty lines": {0, "UP"}} {
		t.Run(name, func(t *testing.T) {
			h := &testServer{id: "s-1", conns: make(chan *testConn, 100), firstLines: make(chan string, 100)}
			h.addr = serveConns(t, acceptWithoutReports)
			list := newFakeDiscovery(t, c.fails)
			begun := time.Now()
			n := runNode(t, testConfig(t, list, h), list)
			n.waitFor("word of the list, or none for long enough", func() bool {
				lives := make(chan bool)
				n.loop.post(func() { lives <- n.loop.currentWatch != nil && n.loop.currentWatch.hasData })
				return (<-lives || c.fails > 0) && time.Since(begun) > 2*time.Second
			})
			if got := n.open("k", "").readLine(); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q", got)
			}
		})
	}
}

// acceptWithoutReports accepts clients and answers no health check.
func acceptWithoutReports(w *testConn) {
	for {
		line, err := w.in.ReadString('\n')
		if err != nil {
			return
		}
		if line != "STATS\r\n" {
			w.send("UP r-1\r\n")
		}
	}
}

// The newer of two watches was asked before the older one told of a drain, and its answer comes after that. Then it
// lives on, a third takes its place, and only the first has nothing more to say.
func TestTwoWatchesAreHeardInTheirOrder(t *testing.T) {
	h := newTestServer(t, "s-1")
	n := startNode(t, nil, h)
	n.waitFor("the first watch", func() bool { return n.counter("list_calls") == 1 })
	ended := map[*watch]bool{}
	second := &watch{addr: n.loop.discoveryAddr, sinceVersion: 1}
	second.cancel = func() { ended[second] = true }
	word := func(w *watch, version int64, state string) {
		n.loop.onWatchEvent(w, &discovery.EndpointList{Version: version,
			Servers: []discovery.Endpoint{h.endpoint(state)}})
	}
	seen := make(chan bool, 3)
	n.loop.post(func() {
		first := n.loop.currentWatch
		n.loop.currentWatch, n.loop.previousWatch = second, first
		word(first, 43, "draining")
		n.loop.onWatchAlive(second) // also without a list
		seen <- n.loop.previousWatch == nil
		word(second, 42, "up")
		n.loop.openWatch()
		seen <- n.loop.previousWatch == second && !ended[second]
		n.loop.openWatch() // the third has told nothing
		seen <- n.loop.previousWatch == second && !ended[second]
	})
	for range 3 {
		if !<-seen {
			t.Error("another watch is heard than the last that spoke")
		}
	}
	if !n.drains(h) {
		t.Error("it may get clients again")
	}
	n.loop.post(func() { word(second, 44, "up") })
	if n.drains(h) {
		t.Error("what is newer is not taken")
	}
}

func TestClientsHearMoveBeforeTheirServerLeaves(t *testing.T) {
	h, other := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	n := startNode(t, nil, h)
	client, _ := n.establish(h)
	waiting := n.open("w", "") // its attempt is out when the news comes
	s, _ := h.accept(t)
	n.discovery.sendList(2, false, h.endpointJSON("draining"), other.endpointJSON("up"))
	client.expect("MOVE\r\n")
	client.expectEnd(io.EOF)
	s.send("UP r-2\r\n")
	waiting.expect("UP r-2\r\n")
	waiting.expect("MOVE\r\n")
	if len(other.conns) > 0 {
		t.Error("what was out was sent twice")
	}
	n.open("k", ",again=1")
	other.accept(t) // nothing new goes to the one that drains
}

func TestAfterAFailureOfDiscoveryTheOldListServes(t *testing.T) {
	h, next := newTestServer(t, "s-1"), newTestServer(t, "s-2")
	list := newFakeDiscovery(t, 2)
	n := runNode(t, testConfig(t, list, h), list)
	n.establish(h)
	list.lines <- `{"version":2,"full":true,"servers":[{"id":"s-9","addr":"","state":"up"}]}` // a bad list
	n.waitFor("the bad list", func() bool { return n.counter("list_failed") == 3 })
	n.establish(h)
	list.sendList(3, true, next.endpointJSON("up"))
	n.waitFor("the new list", func() bool { return n.counter("list_changes") == 1 })
	n.establish(next)
}
