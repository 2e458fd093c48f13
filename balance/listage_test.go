package balance

import (
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
// agent is down it receives nothing, so the list stays in use.
func TestPushedListIsUsedOnlyWhileCurrentOrAgentDown(t *testing.T) {
	keptWaiting := EndpointUpdate{Kind: WatchFailed, ServiceWait: 2 * time.Second}
	refused := EndpointUpdate{Kind: WatchFailed, ServiceWait: ms}
	list := EndpointUpdate{Kind: ListDelta}
	ended := EndpointUpdate{Kind: WatchBroken}
	silent := EndpointUpdate{Kind: WatchBroken, Silent: true, ConfirmedAt: time.Minute}
	unanswered := EndpointUpdate{Kind: WatchFailed, Silent: true, ServiceWait: 3 * time.Second}
	for name, test := range map[string]struct {
		updates  []EndpointUpdate
		mayPlace bool
	}{
		"started":                       {nil, false},
		"first call kept waiting":       {[]EndpointUpdate{keptWaiting}, false},
		"first call refused":            {[]EndpointUpdate{refused}, true},
		"first call unanswered":         {[]EndpointUpdate{unanswered}, true},
		"list":                          {[]EndpointUpdate{list}, true},
		"watch ended":                   {[]EndpointUpdate{list, ended}, true},
		"agent down, then kept waiting": {[]EndpointUpdate{list, ended, keptWaiting}, true},
		"watch silent":                  {[]EndpointUpdate{list, silent}, true},
		"watch silent, kept waiting":    {[]EndpointUpdate{list, silent, keptWaiting}, false},
	} {
		config := testConfig()
		config.MaxListAge, config.HealthChecksAllowed = 200*ms, true
		n := &testNode{Balancer: New(config, 7), now: 2 * time.Minute, nextID: 1}
		startedWith := EndpointUpdate{Kind: ListCached, Servers: readyServers(1),
			ConfirmedAt: n.now - config.MaxListAge}
		n.handle(startedWith)
		for _, update := range test.updates {
			n.handle(update)
		}
		check := func(when string, want bool) {
			if _, actions := n.request("safe", when); slices.ContainsFunc(actions, isListAwaited) == want {
				t.Errorf("%s, %s: %v", name, when, actions)
			}
		}
		check("at once", test.mayPlace)
		n.now += config.MaxListAge
		endsWithAgeLimit := name == "first call refused" || name == "watch ended" ||
			name == "agent down, then kept waiting"
		check("later", test.mayPlace && !endsWithAgeLimit)
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
