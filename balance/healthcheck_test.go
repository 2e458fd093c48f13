package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// One node of many sees too little of a server to know its load: it sends a health check before it places
// requests, one for all that wait.
func TestHealthCheckPrecedesPlacement(t *testing.T) {
	n, first, second := newCheckingNode(1, 2, 3)
	if acts := n.requestInGroup(1); !slices.Contains(acts, Action(HealthCheck{first.ID})) ||
		sentTo(acts) != 0 {
		t.Fatalf("not asked first: %v", acts)
	}
	if acts := n.requestInGroup(2); slices.Contains(acts, Action(HealthCheck{first.ID})) ||
		sentTo(acts) != 0 {
		t.Fatalf("the second waiting request: %v", acts)
	}
	if acts := n.handle(loadReport(first, targetUtilisation+0.1)); !slices.Contains(acts,
		Action(HealthCheck{second.ID})) ||
		sentTo(acts) != 0 {
		t.Fatalf("the top is crowded, the next was not asked: %v", acts)
	}
	if acts := n.handle(loadReport(second, 0.1)); sentTo(acts) != second.ID {
		t.Errorf("the next has room, but: %v", acts)
	}
	if acts := n.requestInGroup(3); slices.Contains(acts, Action(HealthCheck{second.ID})) ||
		sentTo(acts) != second.ID {
		t.Errorf("with fresh reports: %v", acts)
	}
}

// Without a report the request is sent after a quarter of its time, and only once.
func TestUnansweredHealthCheckDelaysPlacementOnce(t *testing.T) {
	n, first, _ := newCheckingNode(1, 2)
	timer := n.requestInGroup(1)[1].(SetTimer)
	if timer.After > time.Second/4 {
		t.Fatalf("waits %v of 1 s", timer.After)
	}
	n.now += timer.After
	if s := sentTo(n.handle(TimerFired{Token: timer.Token})); s != first.ID {
		t.Fatalf("sent to %d, not to the top %d", s, first.ID)
	}
	if acts := append(n.handle(loadReport(first, 0.1)),
		n.handle(TimerFired{Token: timer.Token})...); len(acts) != 0 {
		t.Errorf("a late report led to %v", acts)
	}
}

func TestTimedOutHealthCheckEjectsServer(t *testing.T) {
	n, first, second := newCheckingNode(1, 2)
	n.requestInGroup(1)
	n.handle(HealthCheckResult{Server: first.ID, Outcome: TimedOut})
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Errorf("sent to %d, not to %d, which answers", s, second.ID)
	}
}

func TestClientDisconnectsWhileWaiting(t *testing.T) {
	n, first, _ := newCheckingNode(1, 2)
	n.requestInGroup(1)
	n.handle(ClientDisconnected{ID: 1})
	if acts := n.handle(loadReport(first, 0.1)); len(acts) != 0 || len(n.requests) != 0 {
		t.Errorf("for a client that left: %v, %d held", acts, len(n.requests))
	}
}

// Rule 1: a health check after a first attempt leaves time for the final answer.
func TestLateHealthCheckLeavesTimeForAnswer(t *testing.T) {
	n, first, second := newCheckingNode(1, 2)
	n.handle(loadReport(first, 0.1))
	n.requestInGroup(1)
	n.now += 900 * ms
	acts := n.handle(AttemptEnded{ID: 1, Server: first.ID, Outcome: AtCapacity})
	if len(acts) != 2 || acts[0] != Action(HealthCheck{second.ID}) || acts[1].(SetTimer).After > 50*ms {
		t.Errorf("with 100 ms left: %v", acts)
	}
}

// A reconnect surge is placed by reports of idle servers, and without late messages nothing shows its effect
// but another report.
func TestServersPossiblyOverTargetAreChecked(t *testing.T) {
	n, first, second := newCheckingNode(1, 2, 3)
	n.requestInGroup(1)
	if found := watchTimers(n.handle(loadReport(first, 0))); len(found) != 1 ||
		found[0].After != time.Second {
		t.Fatalf("no timer after the first came to an idle server: %v", found)
	}
	n.now += time.Second
	if acts := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(acts),
		[]ServerID{first.ID}) ||
		len(watchTimers(acts)) != 1 {
		t.Errorf("the server that has doubled since its report: %v", acts)
	}
	n.handle(loadReport(first, 1.1))
	n.now += time.Second
	if acts := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(acts),
		[]ServerID{first.ID}) ||
		len(watchTimers(acts)) != 1 {
		t.Errorf("over its capacity: %v", acts)
	}
	n.handle(loadReport(second, 0.7)) // holds nothing from here
	n.handle(loadReport(first, 0.7))
	n.now += time.Second
	if acts := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(acts),
		[]ServerID{first.ID}) {
		t.Errorf("crowded: %v", acts)
	}
	n.handle(loadReport(first, 0.5))
	n.now += time.Second
	if acts := n.handle(TimerFired{timerUtilisation}); len(acts) != 0 {
		t.Errorf("known and at ease: %v", acts)
	}
	for id := RequestID(21); id <= 31; id++ {
		n.handle(ExistingConnection{Request: Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(id)},
			Server: first.ID})
	}
	// two of twelve are not in its report: 0.55 may be 0.66 by now
	for 2*first.connectionsSinceReport >= len(first.requests) {
		n.handle(loadReport(first, 0.55))
	}
	n.now += time.Second
	if acts := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(acts),
		[]ServerID{first.ID}) {
		t.Errorf("at ease by a report that lacks some: %v", acts)
	}
	n.config.LateMessagesReported = true
	n.now += freshnessWindow
	n.requestInGroup(2)
	if found := watchTimers(n.handle(loadReport(first, 0))); len(found) != 0 {
		t.Errorf("a timer where late messages are told: %v", found)
	}
}

// The wait for a load report leaves time to meet the connection objective where timeouts are uncertain.
func TestWaitForReportKeepsConnectObjective(t *testing.T) {
	config := testConfig()
	config.HealthChecksAllowed, config.TimeoutUncertainty = true, 4800*ms
	config.Classes["timed"] = Class{Idempotency: Idempotent, ConnectObjective: 300 * ms,
		MaxTimeout: 4800 * ms}
	n := newTestNode(config, readyServers(1, 2)...)
	for _, a := range n.handle(Request{ID: 9, Class: "timed", ClientKey: "client", Timeout: 4800 * ms}) {
		if a, ok := a.(SetTimer); ok && a.Token == timerRequest+9 && a.After != 150*ms {
			t.Errorf("it waits for %v", a.After)
		}
	}
}
