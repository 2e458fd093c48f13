package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// A discovery service works through 15 calls a second in turn, those too that have timed out, when 80 nodes
// lose their watch at once. All have their list soon. Without a bound on the calls of all nodes the queue
// would stay longer than a call waits.
func TestNodesDoNotOverloadDiscovery(t *testing.T) {
	const nodes = 80
	for kind, within := range map[UpdateKind]time.Duration{WatchFailed: 15 * time.Second,
		ListCached: 10 * time.Second} {
		config := testConfig()
		config.EndpointsPushed = false
		begin := time.Minute
		q := &callQueue{nodes: fleet(config, nodes), free: begin}
		for i, n := range q.nodes {
			q.schedule(i, n.handle(EndpointUpdate{Kind: kind}))
		}
		for q.served < nodes && len(q.calls) > 0 {
			if q.next().at-begin > within {
				t.Errorf("kind %v: %d of %d nodes have the list after %v", kind, q.served, nodes, within)
				break
			}
			q.serve()
		}
	}
}

// callQueue is a discovery service in virtual time whose queue has a bound, and the calls that come to it.
type callQueue struct {
	nodes  []*testNode
	calls  []watchCall // to come
	served int
	free   time.Duration // when the service has done its work
}

type watchCall struct {
	node int
	at   time.Duration
}

// schedule adds the calls that follow from a node's actions.
func (q *callQueue) schedule(node int, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case WatchEndpoints:
			q.calls = append(q.calls, watchCall{node: node, at: q.nodes[node].now})
		case SetTimer:
			q.calls = append(q.calls, watchCall{node: node, at: q.nodes[node].now + a.After})
		}
	}
}

// next returns the call that comes next.
func (q *callQueue) next() watchCall {
	slices.SortFunc(q.calls, func(x, y watchCall) int { return cmp.Compare(x.at, y.at) })
	return q.calls[0]
}

// serve takes the next call.
func (q *callQueue) serve() {
	const work, patience, places = time.Second / 15, 2 * time.Second, 50
	c := q.calls[0]
	q.calls = q.calls[1:]
	n := q.nodes[c.node]
	n.now = c.at
	if q.free > c.at+places*work { // no room to wait
		q.schedule(c.node, n.handle(EndpointUpdate{Kind: WatchFailed}))
		return
	}
	if q.free = max(q.free, c.at) + work; q.free <= c.at+patience {
		q.served++
		return
	}
	n.now = c.at + patience // its time is up, its work still to do
	q.schedule(c.node, n.handle(EndpointUpdate{Kind: WatchFailed}))
}

// discoveryService is a service in virtual time for all nodes. It works through its calls in turn, those too
// that have timed out.
type discoveryService struct {
	work     time.Duration // for a call
	patience time.Duration // a call that waits longer fails, and is worked on all the same
	down     time.Duration // until then it refuses each call at once,
	silent   bool          // or says nothing, so that each is given up after a while

	free          time.Duration // when it has done its work
	calls, failed int           // since it is back
}

// answer tells how long a call takes, and whether it is answered with the list.
func (s *discoveryService) answer(now time.Duration) (took time.Duration, ok bool) {
	if now < s.down && s.silent {
		return 3600 * ms, false
	} else if now < s.down {
		return ms, false
	}
	s.calls++
	s.free = max(s.free, now) + s.work
	if took = s.free - now; took > s.patience {
		s.failed++
		return s.patience, false
	}
	return took, true
}

// watchers has nodes call the service until all have the list, and returns when each had it, in order. All
// begin at 0 with an update of a kind.
func (s *discoveryService) watchers(fleet, nodes int, begin UpdateKind, seed uint64,
	until time.Duration) (had []time.Duration) {
	type event struct {
		at   time.Duration
		node int
		ev   Event
		call bool
	}
	var next []event
	var all []*Balancer
	do := func(at time.Duration, n int, ev Event) {
		for _, a := range all[n].Handle(at, ev) {
			switch a := a.(type) {
			case WatchEndpoints:
				next = append(next, event{at: at, node: n, call: true})
			case SetTimer:
				next = append(next, event{at: at + a.After, node: n, ev: TimerFired{a.Token}})
			}
		}
	}
	for i := range nodes {
		config := testConfig()
		config.EndpointsPushed, config.NodeCount, config.NodeIndex = false, fleet, i
		all = append(all, New(config, seed*1000+uint64(i)))
		do(0, i, EndpointUpdate{Kind: begin})
	}
	for len(next) > 0 {
		first := slices.MinFunc(next, func(x, y event) int { return cmp.Compare(x.at, y.at) })
		e, at := first, slices.IndexFunc(next, func(x event) bool { return x.at == first.at })
		if next = slices.Delete(next, at, at+1); e.at > until {
			break
		} else if !e.call {
			do(e.at, e.node, e.ev)
		} else if took, ok := s.answer(e.at); ok {
			had = append(had, e.at+took)
		} else {
			next = append(next, event{at: e.at + took, node: e.node, ev: EndpointUpdate{Kind: WatchFailed,
				ServiceWait: took}})
		}
	}
	slices.Sort(had)
	return had
}

// Nodes have the list within 6 s of the recovery of the discovery service, whatever calls failed before: the
// next call begins within 3.45 s of one that failed at once, and within 3.9 s of the beginning of one that
// timed out, which leaves a second for a slow connection and half of one for the answer. A service with more
// calls than it can answer in that time is spared: few calls fail, and all nodes have the list in the end.
func TestNodesGetListSoonAfterServiceRecovers(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		fleet, nodes int
		begin        UpdateKind
		service      discoveryService
		within       time.Duration // of its return
		failed       int           // after that, at most
	}{
		{300, 24, WatchBroken, discoveryService{down: 6 * time.Second}, 3500 * ms, 0},
		{30, 30, WatchBroken, discoveryService{down: 3 * time.Second}, 3500 * ms, 0},
		{5700, 24, WatchBroken, discoveryService{down: time.Minute}, 3500 * ms, 0},
		{30, 30, WatchBroken, discoveryService{down: 8 * time.Second, silent: true}, 3900 * ms, 0},
		{300, 300, WatchBroken, discoveryService{down: 6 * time.Second, work: time.Second / 100}, 4500 * ms,
			0},
		{300, 300, ListCached, discoveryService{work: time.Second / 100}, 8 * time.Second, 0},
		{300, 300, ListCached, discoveryService{work: time.Second / 20}, time.Minute, 300},
		{300, 300, ListCached, discoveryService{work: time.Second / 15}, time.Minute, 300},
		{300, 300, WatchBroken, discoveryService{work: time.Second / 20}, time.Minute, 300},
		{300, 300, WatchBroken, discoveryService{work: time.Second / 15}, 2 * time.Minute, 350},
		{300, 300, WatchBroken, discoveryService{down: 6 * time.Second, work: time.Second / 20}, time.Minute,
			300},
		{300, 300, WatchBroken, discoveryService{down: 6 * time.Second, work: time.Second / 15},
			2 * time.Minute, 350},
	} {
		name := fmt.Sprintf("%d of %d, kind %v, down %v, work %v, silent %v", c.nodes, c.fleet, c.begin,
			c.service.down, c.service.work, c.service.silent)
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := c.service
				s.patience = 2 * time.Second
				had := s.watchers(c.fleet, c.nodes, c.begin, seed, never)
				if len(had) < c.nodes {
					t.Fatalf("%d of %d have it", len(had), c.nodes)
				}
				s.checkRecovery(t, had[len(had)-1], c.within, c.failed)
			}
		})
	}
}

// checkRecovery holds a service to the time after its return in which the last node has the list, and to the
// calls that fail in that time.
func (s *discoveryService) checkRecovery(t *testing.T, last, within time.Duration, failed int) {
	t.Helper()
	if after := last - s.down; after > within {
		t.Errorf("the last has it after %v", after)
	}
	if s.failed > failed {
		t.Errorf("%d calls of %d failed since", s.failed, s.calls)
	}
}

// From the moment that the service can be reached a node calls early enough to have the list within 6 s. The
// worst case is a call that began just before: a connection that did not come up took 1 s, a refusal came at
// once or late, and a timeout took 3.6 s. The next connection takes 1 s at most.
func TestNextWatchComesInTime(t *testing.T) {
	const dial, answer, bound = time.Second, 500 * ms, 6 * time.Second
	for _, c := range []struct {
		nodes        int
		took, waited time.Duration // until it failed; what it waited at the service
	}{
		{1, 0, 0}, {300, 0, 0}, {5700, 0, 0}, {300, dial, 0}, {5700, dial, 0}, {5700, 400 * ms, 400 * ms},
		{30, dial, 0}, {30, 2 * time.Second, 2 * time.Second}, {46, 3600 * ms, 3600 * ms},
	} {
		config := testConfig()
		config.NodeCount, config.EndpointsPushed = c.nodes, false
		n := newTestNode(config, readyServers(1)...)
		for range 50 {
			next := n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: c.waited})[0].(SetTimer)
			if all := c.took + next.After + dial + answer; all > bound || next.After < watchBackoffBase/2 ||
				next.Token != timerWatchEndpoints {
				t.Errorf("%+v: %v in all, %v of it until the next call", c, all, next.After)
			}
			if since := c.waited + next.After; c.nodes >= 300 && since < maxWatchBackoff/2 {
				t.Errorf("%+v: that many nodes call again within %v", c, since)
			}
		}
	}
}

// Many nodes back off from a service that let calls wait, also when it then refuses some at once, until it
// delivers a list; otherwise it would only work on calls that have timed out.
func TestWatchesBackOffFromBusyService(t *testing.T) {
	config := testConfig()
	config.NodeCount, config.EndpointsPushed = 300, false
	n := newTestNode(config, readyServers(1)...)
	next := func(took time.Duration) time.Duration {
		return n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: took})[0].(SetTimer).After
	}
	all := time.Duration(config.NodeCount) * watchRequestInterval
	for i, longest := range []time.Duration{all, 2 * all, 4 * all, 4 * all} {
		took := 2 * time.Second
		if i == 2 {
			took = ms
		}
		if after := next(took); after < (all+longest)/2 || after > (all+longest)*3/2 {
			t.Errorf("call %d: the next one %v later", i, after)
		}
	}
	n.handle(EndpointUpdate{Kind: ListDelta})
	if after := next(ms); after > maxWatchBackoff*3/2 {
		t.Errorf("it has told a list, and is called %v later", after)
	}
}
