package balance

import (
	"testing"
	"time"
)

// Rule 1: every request gets a final answer in time.
func TestEmptyListRejectsAtOnce(t *testing.T) {
	n := newTestNode(testConfig())
	for _, class := range []string{"safe", "unsafe", "unknown"} {
		if _, actions := n.request(class, "client"); finalAnswer(actions) != "reject" {
			t.Errorf("class %s, want a rejection: %v", class, actions)
		}
	}
}

func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	id, s := n.place("safe", "client")
	n.now += 2 * time.Second
	actions := n.handle(AttemptEnded{ID: id, Server: s, Outcome: TimedOut})
	if finalAnswer(actions) != "reject" || sentTo(actions) != 0 {
		t.Errorf("timeout at the deadline, want only a rejection: %v", actions)
	}
}

func TestAttemptTimeoutLeavesTimeForRetry(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	id, actions := n.request("safe", "client")
	timeout := actions[0].(Attempt).Timeout
	if timeout <= 0 || timeout > time.Second {
		t.Fatalf("timeout of the first attempt is %v of 2 s", timeout)
	}
	first := sentTo(actions)
	n.now += timeout
	if s := sentTo(n.handle(AttemptEnded{ID: id, Server: first, Outcome: TimedOut})); s == 0 || s == first {
		t.Errorf("after a timeout of server %d: sent to server %d", first, s)
	}
}

func TestNoAttemptAfterClientDisconnected(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	id, s := n.place("safe", "client")
	n.handle(ClientDisconnected{ID: id})
	if actions := n.handle(AttemptEnded{ID: id, Server: s, Outcome: AtCapacity}); len(actions) != 0 {
		t.Errorf("client disconnected, want no actions: %v", actions)
	}
}

func TestRetriesStopAtMaxAttempts(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3, 4, 5)...)
	id, s := n.place("safe", "client")
	for attempt := range 3 {
		actions := n.handle(AttemptEnded{ID: id, Attempt: attempt, Server: s, Outcome: AtCapacity})
		if s = sentTo(actions); (s == 0) != (attempt == 2) ||
			(finalAnswer(actions) == "reject") != (attempt == 2) {
			t.Errorf("after attempt %d of 3: %v", attempt+1, actions)
		}
	}
}

// Rule 2: no request is executed more often than its class permits.
func TestRetriesObeyIdempotency(t *testing.T) {
	for _, test := range []struct {
		class   string
		outcome Outcome
		delay   time.Duration
		servers []Server
		want    string // "again", "reject" or "fail"
	}{
		{"unsafe", ConnectFailed, 0, readyServers(1, 2), "again"},
		{"unsafe", AtCapacity, 0, readyServers(1), "reject"},
		{"unsafe", ServerError, 0, readyServers(1, 2), "fail"},
		{"unsafe", TimedOut, 0, readyServers(1, 2), "fail"},
		{"unknown", Reset, 0, readyServers(1, 2), "fail"},
		{"zone", ServerError, 0, readyServers(2, 4), "again"},
		{"zone", ServerError, 0, readyServers(1, 2), "fail"},
		{"zone", ServerError, time.Second, readyServers(2, 4), "fail"},
		{"cell", ServerError, 0, readyServers(1, 4), "again"},
		{"cell", ServerError, 0, readyServers(1, 2), "fail"},
		{"all", ServerError, 0, readyServers(1, 2), "again"},
		{"all", ServerError, time.Second, readyServers(1, 2), "reject"},
		{"safe", ServerError, 0, readyServers(1, 2), "again"},
	} {
		n := newTestNode(testConfig(), test.servers...)
		id, s := n.place(test.class, "client")
		n.now += test.delay
		actions := n.handle(AttemptEnded{ID: id, Server: s, Outcome: test.outcome})
		got := finalAnswer(actions)
		if sentTo(actions) != 0 {
			got = "again"
		}
		if got != test.want {
			t.Errorf("class %s, outcome %v after %v: %s, want %s", test.class, test.outcome, test.delay, got,
				test.want)
		}
	}
}

// Rule 3: draining and removed servers get no attempts.
func TestRetryAvoidsDrainingServer(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	id, s := n.place("safe", "client")
	other := Server{ID: 3 - s, State: Draining}
	n.handle(EndpointUpdate{Kind: ListDelta, Servers: []Server{other}})
	if actions := n.handle(AttemptEnded{ID: id, Server: s,
		Outcome: AtCapacity}); finalAnswer(actions) != "reject" {
		t.Errorf("only a draining server is left, want a rejection: %v", actions)
	}
}

func TestUnknownAndFinishedIDsAreIgnored(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1)...)
	id, s := n.establish("safe", "client")
	n.end(id, s)
	for _, ev := range []Event{
		AttemptEnded{ID: id, Server: s, Outcome: OK, Final: true}, AttemptEnded{ID: 77, Attempt: -1},
		AttemptAccepted{ID: 77},
		AttemptAccepted{ID: id, Attempt: 9}, ClientDisconnected{ID: 77}, LateMessage{ID: 77, Server: 5},
		HealthCheckResult{Server: 9},
		TimerFired{Token: 99999},
	} {
		for _, a := range n.handle(ev) {
			if _, ok := a.(WatchEndpoints); !ok {
				t.Errorf("event %#v caused action %#v", ev, a)
			}
		}
	}
	if len(n.ready[0].requests) != 0 {
		t.Errorf("%d connections counted, want 0", len(n.ready[0].requests))
	}
}

// An attempt that was cancelled before its first byte must not eject a server and does not count towards
// MaxAttempts.
func TestNotSentAttemptDoesNotCount(t *testing.T) {
	for _, class := range []string{"safe", "unsafe", "cell"} {
		config := testConfig()
		config.MaxAttempts = 1
		n := newTestNode(config, readyServers(1, 2)...)
		id, first := n.place(class, "k")
		second := sentTo(n.handle(AttemptEnded{ID: id, Server: first, Outcome: NotSent}))
		if second == 0 || second == first {
			t.Errorf("class %s: sent to server %d after %d", class, second, first)
		}
		actions := n.handle(AttemptEnded{ID: id, Attempt: 1, Server: second, Outcome: NotSent})
		if finalAnswer(actions) != "reject" { // the request was not executed
			t.Errorf("class %s, want a rejection: %v", class, actions)
		}
		if n.servers[first].ejectedUntil > 0 || n.servers[second].ejectedUntil > 0 {
			t.Errorf("class %s: a server was ejected", class)
		}
	}
}

// The retry of a request with an idempotency key has to be sent within KeyWindow of its first attempt.
func TestKeyedRetryIsSentWithinKeyWindow(t *testing.T) {
	for class, want := range map[string]time.Duration{"safe": 0, "all": 700 * ms} {
		n := newTestNode(testConfig(), readyServers(1, 2)...)
		id, actions := n.request(class, "k")
		if first := actions[len(actions)-1].(Attempt); first.SendWithin != 0 {
			t.Errorf("class %s: SendWithin of the first attempt is %v, want 0", class, first.SendWithin)
		}
		n.now += 300 * ms
		actions = n.handle(AttemptEnded{ID: id, Server: sentTo(actions), Outcome: Reset})
		if retry := actions[len(actions)-1].(Attempt); retry.SendWithin != want {
			t.Errorf("class %s: SendWithin of the retry is %v", class, retry.SendWithin)
		}
	}
}

// A node whose clock may shorten timeouts must still make an attempt. It must answer as soon as the timeout
// has certainly expired.
func TestTimeoutUncertaintyExtendsDeadline(t *testing.T) {
	class := Class{Idempotency: Idempotent, ConnectObjective: 300 * ms, MaxTimeout: 1800 * ms}
	for _, test := range []struct{ uncertainty, timeout, want time.Duration }{
		{0, 20 * ms, 20 * ms}, {4800 * ms, 20 * ms, 1800 * ms}, {100 * ms, 20 * ms, 120 * ms},
		{4800 * ms, 1800 * ms, 1800 * ms},
		{4800 * ms, 2500 * ms, 2500 * ms},
	} {
		config := testConfig()
		config.TimeoutUncertainty, config.Classes["timed"] = test.uncertainty, class
		n := newTestNode(config, readyServers(1, 2, 3)...)
		actions := n.handle(Request{ID: 9, Class: "timed", ClientKey: "client", Timeout: test.timeout})
		if got := n.requests[9].deadline - n.now; got != test.want {
			t.Errorf("%+v: timeout is %v", test, got)
		}
		if sentTo(actions) == 0 {
			t.Errorf("%+v: no attempt", test)
		}
		if actions = n.handle(AttemptEnded{ID: 9, Server: sentTo(actions),
			Outcome: Abandoned}); finalAnswer(actions) != "reject" || sentTo(actions) != 0 {
			t.Errorf("%+v: timeout expired, want only a rejection: %v", test, actions)
		}
	}
}
