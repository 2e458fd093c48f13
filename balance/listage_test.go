package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	testReportDelay = 6 * time.Second
	testDrainGrace  = 250 * ms
)

// listAgeConfig returns the configuration of a deployment whose lists are requested and whose servers
// cannot be checked.
func listAgeConfig(nodes int) Config {
	config := testConfig()
	config.NodeCount, config.EndpointsPushed = nodes, false
	config.MaxListAge, config.OutageListAge = testReportDelay+testDrainGrace, 20*time.Second
	return config
}

// newNodeWithList returns a node that has just received its list.
func newNodeWithList(config Config) *testNode {
	n := newTestNode(config, readyServers(1, 2)...)
	n.handle(EndpointUpdate{Kind: ListDelta})
	return n
}

// Guards against attempts on servers that began to drain after the watch fell silent, and against a
// rejection where the list arrives in time: the request waits for it and goes to a server that is still
// ready.
func TestRequestWaitsWhileListIsTooOld(t *testing.T) {
	n := newNodeWithList(listAgeConfig(1))
	silentSince := n.now
	n.now += 3 * time.Second
	n.handle(EndpointUpdate{Kind: WatchBroken, ConfirmedAt: silentSince})
	n.now = silentSince + n.config.MaxListAge - ms
	_, actions := n.request("safe", "early")
	if i := slices.IndexFunc(actions, isAttempt); i < 0 || actions[i].(Attempt).SendWithin != ms {
		t.Errorf("just before the list is too old: %v", actions)
	}
	n.now += ms
	id, actions := n.request("safe", "late")
	if sentTo(actions) != 0 || finalAnswer(actions) != "" {
		t.Fatalf("with a list that is too old: %v", actions)
	}
	n.now += 100 * ms
	actions = n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{{ID: 1, State: Draining}}})
	i := slices.IndexFunc(actions, isAttempt)
	if i < 0 || actions[i].(Attempt).ID != id || actions[i].(Attempt).Server != 2 {
		t.Errorf("with the new list: %v", actions)
	}
}

func isAttempt(a Action) bool {
	_, ok := a.(Attempt)
	return ok
}

// Guards against a request without an answer where no list arrives, and against an answer after its
// deadline.
func TestListWaitEndsBeforeDeadline(t *testing.T) {
	n := newNodeWithList(listAgeConfig(1))
	n.handle(EndpointUpdate{Kind: WatchBroken})
	n.now += n.config.MaxListAge
	id, actions := n.request("safe", "key")
	i := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(SetTimer); return ok })
	if i < 0 {
		t.Fatalf("no timer: %v", actions)
	}
	timer := actions[i].(SetTimer)
	if timer.After >= 2*time.Second || timer.After < time.Second {
		t.Errorf("the wait of a request with 2 s ends after %v", timer.After)
	}
	n.now += timer.After
	if actions = n.handle(TimerFired{timer.Token}); finalAnswer(actions) != "reject" {
		t.Errorf("request %d: %v", id, actions)
	}
	if actions = n.handle(EndpointUpdate{Kind: ListDelta}); len(actions) > 0 {
		t.Errorf("after the answer: %v", actions)
	}
}

// Guards against rejected clients while the discovery service is down: calls that fail at once show that no
// change can have been reported, and so does an outage of any kind that lasts long.
func TestListIsUsedWhileDiscoveryIsDown(t *testing.T) {
	n := newNodeWithList(listAgeConfig(1))
	n.handle(EndpointUpdate{Kind: WatchBroken})
	n.now += time.Minute
	n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: ms})
	n.now += n.config.MaxListAge - ms
	if _, s := n.place("safe", "refused at once"); s == 0 {
		t.Error("the list is not used while calls are refused at once")
	}
	for range 4 {
		n.now += 2 * time.Second
		n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: 2 * time.Second})
	}
	if _, s := n.place("safe", "kept waiting"); s != 0 {
		t.Error("a list that is too old is used while the service keeps calls waiting")
	}
	n.now += n.config.OutageListAge
	if _, s := n.place("safe", "outage"); s == 0 {
		t.Error("the list is not used in an outage")
	}
}

// Guards against waits where the age of the list does not matter: no limit is configured, or health checks
// show which servers accept clients.
func TestListAgeMayBeUnlimited(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no limit":      func(c *Config) { c.MaxListAge = 0 },
		"health checks": func(c *Config) { c.HealthChecksAllowed = true },
	} {
		config := listAgeConfig(1)
		change(&config)
		n := newNodeWithList(config)
		n.handle(EndpointUpdate{Kind: WatchBroken})
		n.now += time.Minute
		if _, actions := n.request("safe", "key"); slices.ContainsFunc(actions, isListAwaited) {
			t.Errorf("%s: %v", name, actions)
		}
	}
}

func isListAwaited(a Action) bool {
	_, ok := a.(ListAwaited)
	return ok
}

// Guards against new clients for draining servers where lists are pushed: what the agent has received
// counts as received by the node, from the start of its process on and while it has no watch. While the
// agent is down it receives nothing, so a list that was up to date stays in use, but not one of unknown age,
// nor one that lacks what a silent watch has missed for longer than the report delay.
func TestPushedListIsUsedOnlyWhileCurrentOrAgentDown(t *testing.T) {
	const startedAt = 2 * time.Minute
	keptWaiting := EndpointUpdate{Kind: WatchFailed, ServiceWait: 2 * time.Second}
	refused := EndpointUpdate{Kind: WatchFailed, ServiceWait: ms}
	list := EndpointUpdate{Kind: ListDelta}
	ended := EndpointUpdate{Kind: WatchBroken, ConfirmedAt: startedAt - time.Second}
	silent := EndpointUpdate{Kind: WatchBroken, Silent: true, ConfirmedAt: startedAt - 2400*ms}
	unanswered := EndpointUpdate{Kind: WatchFailed, Silent: true, ServiceWait: 3 * time.Second}
	delayed := EndpointUpdate{Kind: ListDelayed, WatchedUntil: startedAt - 100*ms,
		ConfirmedAt: startedAt - time.Second}
	const never, atOnce, untilMaxAge, later = 0, 1, 3, 4 // the number of checks at which requests are placed
	for name, test := range map[string]struct {
		updates []EndpointUpdate
		placed  int
	}{
		"started":                       {nil, never},
		"first call kept waiting":       {[]EndpointUpdate{keptWaiting}, never},
		"first call refused":            {[]EndpointUpdate{refused}, never},
		"first call unanswered":         {[]EndpointUpdate{unanswered}, never},
		"watch ended":                   {[]EndpointUpdate{list, ended}, atOnce},
		"watch ended, refused":          {[]EndpointUpdate{list, ended, refused}, atOnce},
		"agent down, then kept waiting": {[]EndpointUpdate{list, ended, refused, keptWaiting}, atOnce},
		"watch silent":                  {[]EndpointUpdate{list, silent}, untilMaxAge},
		"watch silent, kept waiting":    {[]EndpointUpdate{list, silent, keptWaiting}, never},
		"list delayed":                  {[]EndpointUpdate{list, delayed}, atOnce},
		"list delayed and complete":     {[]EndpointUpdate{list, delayed, list}, later},
	} {
		config := testConfig()
		config.PushedListAge, config.MaxListAge = 200*ms, testReportDelay+200*ms
		config.HealthChecksAllowed = true
		n := &testNode{Balancer: New(config, 7), now: startedAt, nextID: 1}
		n.handle(EndpointUpdate{Kind: ListCached, Servers: readyServers(1), AgeUnknown: true})
		for _, update := range test.updates {
			n.handle(update)
		}
		for i, at := range []time.Duration{0, 200 * ms, testReportDelay - 2400*ms + 199*ms,
			testReportDelay + 200*ms} {
			n.now = startedAt + at
			_, actions := n.request("safe", fmt.Sprint("client-", i))
			if isPlaced := !slices.ContainsFunc(actions, isListAwaited); isPlaced != (i < test.placed) {
				t.Errorf("%s, after %v: %v", name, at, actions)
			}
		}
	}
}

// newNodeInOutage returns a node whose watch fell silent just before the discovery service went down, and
// which has two servers. Changes from the time between may be missing from its list.
func newNodeInOutage(config Config) (n *testNode, silentSince time.Duration) {
	n = newNodeWithList(config)
	silentSince = n.now
	n.now += 1300 * ms
	n.handle(EndpointUpdate{Kind: WatchBroken, ConfirmedAt: silentSince})
	n.now += 200 * ms
	n.refuseCall()
	return n, silentSince
}

// refuseCall passes a call to the node that failed at once.
func (n *testNode) refuseCall() { n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: ms}) }

// Guards against calls that fail at once, which renewed the age of a list that may lack a change from before
// the outage; and against rejected clients where a server has shown in the outage that it accepts them.
func TestRefusedCallsDoNotConfirmList(t *testing.T) {
	n, silentSince := newNodeInOutage(listAgeConfig(1))
	accepted, s := n.establish("safe", "early")
	rejected, other := RequestID(0), ServerID(0)
	for i := 0; other == 0 || other == s; i++ {
		rejected, other = n.place("safe", fmt.Sprint("other-", i))
	}
	n.handle(AttemptEnded{ID: rejected, Server: other, Outcome: AtCapacity})
	n.end(accepted, s)
	for n.now < silentSince+n.config.MaxListAge-200*ms {
		n.now += 200 * ms
		n.refuseCall()
	}
	n.now = silentSince + n.config.MaxListAge
	for i := range 50 {
		if _, got := n.place("safe", fmt.Sprint("late-", i)); got != s {
			t.Fatalf("placed on server %d, want %d, which has accepted a client", got, s)
		}
	}
	n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: 2 * time.Second})
	outageEnd := n.now - 200*ms
	n.now = outageEnd + n.config.MaxListAge - ms
	if _, actions := n.request("safe", "after the outage"); slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("within the limit after the outage: %v", actions)
	}
	n.now += 201 * ms
	if _, actions := n.request("safe", "last"); !slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("over the limit after the outage: %v", actions)
	}
}

// Guards against placing requests by an old list where no server has shown in the outage that it accepts
// clients, and against a wait of any length: from the age of an outage on the list is used, and its age
// counts from the last refused call.
func TestListIsUsedInLongOutage(t *testing.T) {
	n, silentSince := newNodeInOutage(listAgeConfig(1))
	n.now = silentSince + n.config.MaxListAge
	n.refuseCall()
	if _, actions := n.request("safe", "key"); !slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("without evidence: %v", actions)
	}
	n.now = silentSince + n.config.OutageListAge
	n.refuseCall()
	n.now += n.config.MaxListAge - ms
	n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: 2 * time.Second})
	if _, s := n.place("safe", "long outage"); s == 0 {
		t.Error("the list is not used in a long outage")
	}
	n.now += ms
	if _, actions := n.request("safe", "after it"); !slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("after the outage: %v", actions)
	}
}

// Guards against an upgrade in an outage after which requests wait because the new process does not know
// which servers have accepted clients meanwhile.
func TestHandoverKeepsServersThatAcceptInOutage(t *testing.T) {
	config := listAgeConfig(1)
	n, silentSince := newNodeInOutage(config)
	_, s := n.establish("safe", "early")
	n.now = silentSince + config.MaxListAge
	n.refuseCall()
	n.now += 100 * ms
	state := n.HandoverState(n.now)
	successor := &testNode{Balancer: New(config, 8), now: n.now + time.Hour, nextID: 1}
	successor.handle(EndpointUpdate{Kind: ListCached, Servers: readyServers(1, 2),
		ConfirmedAt: successor.now - n.ListAge(n.now)})
	successor.Restore(successor.now, state)
	for i := range 20 {
		if _, got := successor.place("safe", fmt.Sprint("late-", i)); got != s {
			t.Fatalf("placed on server %d, want %d, which has accepted a client", got, s)
		}
	}
	successor.refuseCall()
	if _, got := successor.place("safe", "refused"); got != s {
		t.Errorf("after another call: placed on server %d, want %d", got, s)
	}
}

// Guards against requests that wait or are rejected while a list arrives slowly though a server has shown
// that it does not drain, and against requests for a server whose drain may count as reported. A watch that
// falls silent with half a list is like any silent watch.
func TestDelayedList(t *testing.T) {
	n := newNodeWithList(listAgeConfig(1))
	confirmedAt := n.now
	n.now += time.Second
	n.handle(EndpointUpdate{Kind: ListDelayed, ConfirmedAt: confirmedAt, WatchedUntil: n.now - 100*ms})
	n.now = confirmedAt + n.config.MaxListAge - time.Second
	acceptedAt := n.now
	_, s := n.establish("safe", "early")
	n.now = confirmedAt + n.config.MaxListAge
	for i := range 50 {
		if _, got := n.place("safe", fmt.Sprint("late-", i)); got != s {
			t.Fatalf("placed on server %d, want %d, which has accepted a client", got, s)
		}
	}
	n.now = acceptedAt + n.config.MaxListAge
	if _, actions := n.request("safe", "too late"); !slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("when a drain of each server may count as reported: %v", actions)
	}
	if actions := n.handle(EndpointUpdate{Kind: ListDelta}); sentTo(actions) == 0 {
		t.Errorf("with the list: %v", actions)
	}
	confirmedAt = n.now
	n.handle(EndpointUpdate{Kind: ListDelayed, ConfirmedAt: confirmedAt})
	n.now += 4 * time.Second
	n.establish("safe", "before the silence")
	n.handle(EndpointUpdate{Kind: WatchBroken, ConfirmedAt: confirmedAt, Silent: true})
	n.handle(EndpointUpdate{Kind: ListDelayed})
	n.now = confirmedAt + n.config.MaxListAge
	if _, actions := n.request("safe", "silent"); !slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("after the silence: %v", actions)
	}
}

// Guards against requests that are rejected, or sent to a draining server, after a start in an outage where
// lists are pushed: each server has to pass a health check first, and one that passes gets no other.
func TestReadinessChecksInOutage(t *testing.T) {
	config := testConfig()
	config.PushedListAge, config.MaxListAge = 200*ms, testReportDelay+200*ms
	config.OutageListAge, config.ReadinessChecksAllowed = 20*time.Second, true
	n := &testNode{Balancer: New(config, 7), now: time.Minute, nextID: 1}
	n.handle(EndpointUpdate{Kind: ListCached, Servers: readyServers(1, 2), AgeUnknown: true})
	id, actions := n.request("safe", "key")
	if !slices.ContainsFunc(actions, isListAwaited) || len(checkedServers(actions)) > 0 {
		t.Fatalf("before the first call: %v", actions)
	}
	actions = n.handle(EndpointUpdate{Kind: WatchFailed, ServiceWait: ms})
	checked := checkedServers(actions)
	if len(checked) != 1 || sentTo(actions) != 0 {
		t.Fatalf("in the outage: %v", actions)
	}
	draining, accepting := checked[0], 3-checked[0]
	actions = n.handle(HealthCheckResult{Server: draining, Outcome: ServerError})
	if checked = checkedServers(actions); !slices.Equal(checked, []ServerID{accepting}) {
		t.Fatalf("with a draining server: %v", actions)
	}
	passed := HealthCheckResult{Server: accepting, Outcome: OK, Report: &LoadReport{Utilisation: -1}}
	if actions = n.handle(passed); sentTo(actions) != accepting {
		t.Errorf("request %d, with a server that accepts clients: %v", id, actions)
	}
	for i := range 50 {
		n.now += 100 * ms
		n.refuseCall()
		_, actions := n.request("safe", fmt.Sprint("client-", i))
		if s := sentTo(actions); s == draining {
			t.Fatal("placed on the draining server")
		} else if s == 0 {
			n.handle(HealthCheckResult{Server: draining, Outcome: ServerError})
		}
	}
	if n.servers[accepting].hasFreshReport(n.now) {
		t.Error("a health check without a load report counts as a report")
	}
}

// Guards against a health check that was not carried out, which counts as evidence that a server accepts
// clients.
func TestMissingHealthCheckIsNoEvidence(t *testing.T) {
	config := listAgeConfig(1)
	config.ReadinessChecksAllowed = true
	n, silentSince := newNodeInOutage(config)
	n.now = silentSince + n.config.MaxListAge
	n.refuseCall()
	_, actions := n.request("safe", "key")
	for range maxHealthChecks {
		checked := checkedServers(actions)
		if len(checked) != 1 {
			t.Fatalf("got %v", actions)
		}
		actions = n.handle(HealthCheckResult{Server: checked[0], Outcome: OK})
	}
	if sentTo(actions) != 0 || finalAnswer(actions) != "" || !slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("without evidence: %v", actions)
	}
}

// Guards against a list that counts as up to date because of a change that the former discovery service has
// sent.
func TestFormerServiceDoesNotConfirmList(t *testing.T) {
	n := newNodeWithList(listAgeConfig(1))
	n.handle(EndpointUpdate{Kind: WatchBroken})
	n.handle(EndpointUpdate{Kind: ListDelta, FormerService: true,
		Servers: []Server{{ID: 1, State: Draining}}})
	if _, s := n.place("safe", "drained"); s != 2 {
		t.Errorf("placed on server %d, want 2", s)
	}
	n.now += n.config.MaxListAge
	if _, actions := n.request("safe", "key"); !slices.ContainsFunc(actions, isListAwaited) {
		t.Errorf("with a list that is too old: %v", actions)
	}
}

// Guards against nodes that call so late after their start that requests wait for the list.
func TestFirstCallIsSoonIfRequestsNeedList(t *testing.T) {
	for seed := range uint64(50) {
		b := New(listAgeConfig(900), seed)
		for _, a := range b.Handle(time.Minute, EndpointUpdate{Kind: ListCached}) {
			timer, ok := a.(SetTimer)
			if ok && timer.Token == timerWatchEndpoints && timer.After > maxUrgentSpread {
				t.Errorf("seed %d: the first call comes after %v", seed, timer.After)
			}
		}
	}
}
