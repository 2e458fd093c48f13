package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// 80 nodes lose their watch at once, and a discovery service handles 15 calls per second in order of arrival,
// including those that have timed out. All nodes must get the list soon. Without a bound on the rate of calls
// by all nodes, the wait in the queue would remain longer than the timeout of a call.
func TestNodesDoNotOverloadDiscovery(t *testing.T) {
	const nodes = 80
	for kind, limit := range map[UpdateKind]time.Duration{WatchFailed: 15 * time.Second,
		ListCached: 10 * time.Second} {
		config := testConfig()
		config.EndpointsPushed = false
		startedAt := time.Minute
		service := &queueingService{nodes: newTestNodes(config, nodes), busyUntil: startedAt}
		for i, n := range service.nodes {
			service.schedule(i, n.handle(EndpointUpdate{Kind: kind}))
		}
		for service.served < nodes && len(service.pending) > 0 {
			if service.next().at-startedAt > limit {
				t.Errorf("kind %v: only %d of %d nodes have the list after %v", kind, service.served, nodes,
					limit)
				break
			}
			service.serve()
		}
	}
}

// queueingService simulates a discovery service with a bounded queue, and the calls of the nodes to it, in
// virtual time.
type queueingService struct {
	nodes     []*testNode
	pending   []watchCall // future calls
	served    int
	busyUntil time.Duration // when the service has worked through its queue
}

type watchCall struct {
	node int
	at   time.Duration
}

// schedule adds the calls that result from a node's actions.
func (q *queueingService) schedule(node int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case WatchEndpoints:
			q.pending = append(q.pending, watchCall{node: node, at: q.nodes[node].now})
		case SetTimer:
			q.pending = append(q.pending, watchCall{node: node, at: q.nodes[node].now + a.After})
		}
	}
}

// next returns the earliest pending call.
func (q *queueingService) next() watchCall {
	slices.SortFunc(q.pending, func(x, y watchCall) int { return cmp.Compare(x.at, y.at) })
	return q.pending[0]
}

// serve handles the earliest pending call. next has to be called first.
func (q *queueingService) serve() {
	const callDuration, callTimeout, queueLength = time.Second / 15, 2 * time.Second, 50
	call := q.pending[0]
	q.pending = q.pending[1:]
	node := q.nodes[call.node]
	node.now = call.at
	if q.busyUntil > call.at+queueLength*callDuration { // the queue is full
		q.schedule(call.node, node.handle(EndpointUpdate{Kind: WatchFailed}))
		return
	}
	if q.busyUntil = max(q.busyUntil, call.at) + callDuration; q.busyUntil <= call.at+callTimeout {
		q.served++
		return
	}
	node.now = call.at + callTimeout // the call has timed out but stays in the queue
	q.schedule(call.node, node.handle(EndpointUpdate{Kind: WatchFailed}))
}

// discoveryService simulates a discovery service in virtual time. It handles calls in order of arrival,
// including those that have timed out.
type discoveryService struct {
	callDuration time.Duration // work for one call
	callTimeout  time.Duration // a call that takes longer fails, but stays in the queue
	downUntil    time.Duration // until then every call fails
	unresponsive bool          // calls during the outage time out; otherwise they are refused at once
	skipsLate    bool          // a call that takes longer than callTimeout does not stay in the queue

	busyUntil              time.Duration // when it has worked through its queue
	callCount, failedCount int           // since the end of the outage
}

// handleCall returns the duration of a call, and whether it succeeds and returns the list.
func (s *discoveryService) handleCall(now time.Duration) (duration time.Duration, ok bool) {
	if now < s.downUntil && s.unresponsive {
		return 3600 * ms, false
	} else if now < s.downUntil {
		return ms, false
	}
	s.callCount++
	doneAt := max(s.busyUntil, now) + s.callDuration
	isLate := doneAt-now > s.callTimeout
	if !isLate || !s.skipsLate {
		s.busyUntil = doneAt
	}
	if isLate {
		s.failedCount++
		return s.callTimeout, false
	}
	return doneAt - now, true
}

// simulateNodes lets nodes call the service until all have the list, and returns the sorted times at which
// they received it. Each node starts at time 0 with an update of the initial kind. The nodes are configured
// for a deployment of nodeCount nodes, of which only the given number is simulated.
func (s *discoveryService) simulateNodes(nodeCount, simulated int, initial UpdateKind, seed uint64,
	until time.Duration) (receivedAt []time.Duration) {
	type event struct {
		at     time.Duration
		node   int
		event  Event
		isCall bool
	}
	var pending []event
	var balancers []*Balancer
	handle := func(at time.Duration, node int, ev Event) {
		for _, a := range balancers[node].Handle(at, ev) {
			switch a := a.(type) {
			case WatchEndpoints:
				pending = append(pending, event{at: at, node: node, isCall: true})
			case SetTimer:
				pending = append(pending, event{at: at + a.After, node: node, event: TimerFired{a.Token}})
			}
		}
	}
	for i := range simulated {
		config := testConfig()
		config.EndpointsPushed, config.NodeCount, config.NodeIndex = false, nodeCount, i
		balancers = append(balancers, New(config, seed*1000+uint64(i)))
		handle(0, i, EndpointUpdate{Kind: initial})
	}
	for len(pending) > 0 {
		earliest := slices.MinFunc(pending, func(x, y event) int { return cmp.Compare(x.at, y.at) })
		next, index := earliest, slices.IndexFunc(pending, func(x event) bool { return x.at == earliest.at })
		if pending = slices.Delete(pending, index, index+1); next.at > until {
			break
		} else if !next.isCall {
			handle(next.at, next.node, next.event)
		} else if duration, ok := s.handleCall(next.at); ok {
			receivedAt = append(receivedAt, next.at+duration)
		} else {
			pending = append(pending, event{at: next.at + duration, node: next.node,
				event: EndpointUpdate{Kind: WatchFailed, ServiceWait: duration}})
		}
	}
	slices.Sort(receivedAt)
	return receivedAt
}

// Nodes must have the list within 6 s of the recovery of the discovery service, whatever calls failed before.
// The next call starts within 3.45 s of one that failed at once, and within 3.9 s of the start of one that
// timed out, which leaves 1 s for a slow connection and 0.5 s for the response. A service that gets more
// calls than it can answer in that time must not be overloaded: few calls may fail, and all nodes must get
// the list eventually.
func TestNodesGetListSoonAfterServiceRecovers(t *testing.T) {
	const noLimit = time.Hour
	for _, test := range []struct {
		nodeCount, simulated int
		initial              UpdateKind
		service              discoveryService
		maxRecovery          time.Duration // limit on the time from the end of the outage to the last list
		maxFailed            int           // limit on the failed calls after the outage
	}{
		{300, 24, WatchBroken, discoveryService{downUntil: 6 * time.Second}, 3500 * ms, 0},
		{30, 30, WatchBroken, discoveryService{downUntil: 3 * time.Second}, 3500 * ms, 0},
		{5700, 24, WatchBroken, discoveryService{downUntil: time.Minute}, 3500 * ms, 0},
		{30, 30, WatchBroken, discoveryService{downUntil: 8 * time.Second, unresponsive: true}, 3900 * ms, 0},
		{300, 300, WatchBroken, discoveryService{downUntil: 6 * time.Second, callDuration: time.Second / 100},
			4500 * ms, 0},
		{300, 300, ListCached, discoveryService{callDuration: time.Second / 100}, 8 * time.Second, 0},
		{300, 300, ListCached, discoveryService{callDuration: time.Second / 20}, time.Minute, 300},
		{300, 300, ListCached, discoveryService{callDuration: time.Second / 15}, time.Minute, 300},
		{300, 300, WatchBroken, discoveryService{callDuration: time.Second / 20}, time.Minute, 300},
		{300, 300, WatchBroken, discoveryService{callDuration: time.Second / 15}, 2 * time.Minute, 350},
		{300, 300, WatchBroken, discoveryService{downUntil: 6 * time.Second, callDuration: time.Second / 20},
			time.Minute, 300},
		{300, 300, WatchBroken, discoveryService{downUntil: 6 * time.Second, callDuration: time.Second / 15},
			2 * time.Minute, 350},
	} {
		name := fmt.Sprintf("%d of %d nodes, kind %v, down until %v, call duration %v, unresponsive %v",
			test.simulated, test.nodeCount, test.initial,
			test.service.downUntil, test.service.callDuration, test.service.unresponsive)
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				service := test.service
				service.callTimeout = 2 * time.Second
				receivedAt := service.simulateNodes(test.nodeCount, test.simulated, test.initial, seed,
					noLimit)
				if len(receivedAt) < test.simulated {
					t.Fatalf("%d of %d nodes have the list", len(receivedAt), test.simulated)
				}
				service.checkRecovery(t, receivedAt[len(receivedAt)-1], test.maxRecovery, test.maxFailed)
			}
		})
	}
}

// checkRecovery checks the time from the end of the outage until the last node has the list, and the number
// of calls that fail in that time.
func (s *discoveryService) checkRecovery(t *testing.T, lastReceived, limit time.Duration, maxFailed int) {
	t.Helper()
	if recovery := lastReceived - s.downUntil; recovery > limit {
		t.Errorf("the last node has the list after %v", recovery)
	}
	if s.failedCount > maxFailed {
		t.Errorf("%d of %d calls failed after the outage", s.failedCount, s.callCount)
	}
}

// Once the discovery service can be reached, a node must call early enough to have the list within 6 s. The
// worst case is a failing call that started just before: a failed connection takes 1 s, a refusal arrives at
// once or late, and a timeout takes 3.6 s. The next connection takes at most 1 s.
func TestWatchIntervalMeetsRecoveryTime(t *testing.T) {
	const dialTimeout, responseTime, maxRecovery = time.Second, 500 * ms, 6 * time.Second
	for _, test := range []struct {
		nodes                     int
		callDuration, serviceWait time.Duration // until the failure; of these, the wait at the service
	}{
		{1, 0, 0}, {300, 0, 0}, {5700, 0, 0}, {300, dialTimeout, 0}, {5700, dialTimeout, 0},
		{5700, 400 * ms, 400 * ms}, {30, dialTimeout, 0}, {30, 2 * time.Second, 2 * time.Second},
		{46, 3600 * ms, 3600 * ms},
	} {
		config := testConfig()
		config.NodeCount, config.EndpointsPushed = test.nodes, false
		n := newTestNode(config, readyServers(1)...)
		for range 50 {
			timer := n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: test.serviceWait})[0].(SetTimer)
			if recovery := test.callDuration + timer.After + dialTimeout +
				responseTime; recovery > maxRecovery || timer.After < watchBackoffBase/2 ||
				timer.Token != timerWatchEndpoints {
				t.Errorf("%+v: recovery takes %v, including a pause of %v", test, recovery, timer.After)
			}
			if sinceArrival := test.serviceWait + timer.After; test.nodes >= 300 &&
				sinceArrival < maxWatchBackoff/2 {
				t.Errorf("%+v: a node of many calls again after only %v", test, sinceArrival)
			}
		}
	}
}

// If there are many nodes they must back off from a service that lets calls wait, even if it then refuses
// some at once, until it delivers a list. Otherwise the service would only handle calls that have already
// timed out.
func TestWatchesBackOffFromOverloadedService(t *testing.T) {
	config := testConfig()
	config.NodeCount, config.EndpointsPushed = 300, false
	n := newTestNode(config, readyServers(1)...)
	pauseAfterFailure := func(serviceWait time.Duration) time.Duration {
		return n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: serviceWait})[0].(SetTimer).After
	}
	roundDuration := time.Duration(config.NodeCount) * watchRequestInterval
	for i, maxPause := range []time.Duration{roundDuration, 2 * roundDuration, 4 * roundDuration,
		4 * roundDuration} {
		serviceWait := 2 * time.Second
		if i == 2 {
			serviceWait = ms
		}
		if pause := pauseAfterFailure(serviceWait); pause < (roundDuration+maxPause)/2 ||
			pause > (roundDuration+maxPause)*3/2 {
			t.Errorf("pause after failure %d is %v", i, pause)
		}
	}
	n.handle(EndpointUpdate{Kind: ListDelta})
	if pause := pauseAfterFailure(ms); pause > maxWatchBackoff*3/2 {
		t.Errorf("pause after a list was received is %v", pause)
	}
}
