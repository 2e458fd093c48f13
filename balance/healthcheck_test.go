package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// One node of many cannot infer the load of a server from its own connections. It sends a health check before
// it places requests, and only one for all requests that wait.
func TestHealthCheckPrecedesPlacement(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2, 3)
	if actions := n.requestInGroup(1); !slices.Contains(actions, Action(HealthCheck{first.ID})) ||
		sentTo(actions) != 0 {
		t.Fatalf("first request, want only a health check: %v", actions)
	}
	if actions := n.requestInGroup(2); slices.Contains(actions, Action(HealthCheck{first.ID})) ||
		sentTo(actions) != 0 {
		t.Fatalf("second request, want no health check and no attempt: %v", actions)
	}
	if actions := n.handle(loadReport(first, targetUtilisation+0.1)); !slices.Contains(actions,
		Action(HealthCheck{second.ID})) ||
		sentTo(actions) != 0 {
		t.Fatalf("first server over its target, want a health check of the second: %v", actions)
	}
	if actions := n.handle(loadReport(second, 0.1)); sentTo(actions) != second.ID {
		t.Errorf("second server has headroom, want an attempt on it: %v", actions)
	}
	if actions := n.requestInGroup(3); slices.Contains(actions, Action(HealthCheck{second.ID})) ||
		sentTo(actions) != second.ID {
		t.Errorf("fresh reports, want an attempt without a health check: %v", actions)
	}
}

// Without a report the request is sent after a quarter of its timeout, and only once.
func TestUnansweredHealthCheckDelaysPlacementOnce(t *testing.T) {
	n, first, _ := newHealthCheckingNode(1, 2)
	timer := n.requestInGroup(1)[1].(SetTimer)
	if timer.After > time.Second/4 {
		t.Fatalf("request waits %v of its 1 s", timer.After)
	}
	n.now += timer.After
	if s := sentTo(n.handle(TimerFired{Token: timer.Token})); s != first.ID {
		t.Fatalf("sent to server %d, want %d, which ranks first", s, first.ID)
	}
	if actions := append(n.handle(loadReport(first, 0.1)),
		n.handle(TimerFired{Token: timer.Token})...); len(actions) != 0 {
		t.Errorf("late report, want no actions: %v", actions)
	}
}

func TestTimedOutHealthCheckEjectsServer(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2)
	n.requestInGroup(1)
	n.handle(HealthCheckResult{Server: first.ID, Outcome: TimedOut})
	if s := sentTo(n.handle(loadReport(second, 0.1))); s != second.ID {
		t.Errorf("sent to server %d, want %d, which responds", s, second.ID)
	}
}

func TestDisconnectedClientIsNotPlaced(t *testing.T) {
	n, first, _ := newHealthCheckingNode(1, 2)
	n.requestInGroup(1)
	n.handle(ClientDisconnected{ID: 1})
	if actions := n.handle(loadReport(first, 0.1)); len(actions) != 0 || len(n.requests) != 0 {
		t.Errorf("client disconnected: actions %v, %d open requests", actions, len(n.requests))
	}
}

// Rule 1: a health check after a first attempt must leave time for the final answer.
func TestLateHealthCheckLeavesTimeForAnswer(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2)
	n.handle(loadReport(first, 0.1))
	n.requestInGroup(1)
	n.now += 900 * ms
	actions := n.handle(AttemptEnded{ID: 1, Server: first.ID, Outcome: AtCapacity})
	if len(actions) != 2 || actions[0] != Action(HealthCheck{second.ID}) ||
		actions[1].(SetTimer).After > 50*ms {
		t.Errorf("100 ms before the deadline: %v", actions)
	}
}

// A reconnect surge is placed by reports of idle servers. Without late messages only another report reveals
// that it overloads a server, so the node has to request one.
func TestUtilisationCheckFindsServersOverTarget(t *testing.T) {
	n, first, second := newHealthCheckingNode(1, 2, 3)
	n.requestInGroup(1)
	if timers := utilisationTimers(n.handle(loadReport(first, 0))); len(timers) != 1 ||
		timers[0].After != time.Second {
		t.Fatalf("first connection on an idle server, want one timer: %v", timers)
	}
	n.now += time.Second
	if actions := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(actions),
		[]ServerID{first.ID}) ||
		len(utilisationTimers(actions)) != 1 {
		t.Errorf("connections doubled since the report: %v", actions)
	}
	n.handle(loadReport(first, 1.1))
	n.now += time.Second
	if actions := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(actions),
		[]ServerID{first.ID}) ||
		len(utilisationTimers(actions)) != 1 {
		t.Errorf("server over its capacity: %v", actions)
	}
	n.handle(loadReport(second, 0.7)) // has no connections of this node
	n.handle(loadReport(first, 0.7))
	n.now += time.Second
	if actions := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(actions),
		[]ServerID{first.ID}) {
		t.Errorf("server over its target: %v", actions)
	}
	n.handle(loadReport(first, 0.5))
	n.now += time.Second
	if actions := n.handle(TimerFired{timerUtilisation}); len(actions) != 0 {
		t.Errorf("servers under their target by fresh reports: %v", actions)
	}
	for id := RequestID(21); id <= 31; id++ {
		n.handle(ExistingConnection{Request: Request{ID: id, Class: "safe", ClientKey: fmt.Sprint(id)},
			Server: first.ID})
	}
	// The report omits 2 of 12 connections, so that 0.55 may be 0.66 by now.
	for 2*first.connectionsSinceReport >= len(first.requests) {
		n.handle(loadReport(first, 0.55))
	}
	n.now += time.Second
	if actions := n.handle(TimerFired{timerUtilisation}); !slices.Equal(checkedServers(actions),
		[]ServerID{first.ID}) {
		t.Errorf("server under its target by a report that omits connections: %v", actions)
	}
	n.config.LateMessagesReported = true
	n.now += freshnessWindow
	n.requestInGroup(2)
	if timers := utilisationTimers(n.handle(loadReport(first, 0))); len(timers) != 0 {
		t.Errorf("late messages are reported, want no timer: %v", timers)
	}
}

// The wait for a load report must leave time to meet the connection objective if timeouts are uncertain.
func TestWaitForReportKeepsConnectObjective(t *testing.T) {
	config := testConfig()
	config.HealthChecksAllowed, config.TimeoutUncertainty = true, 4800*ms
	config.Classes["timed"] = Class{Idempotency: Idempotent, ConnectObjective: 300 * ms,
		MaxTimeout: 4800 * ms}
	n := newTestNode(config, readyServers(1, 2)...)
	for _, a := range n.handle(Request{ID: 9, Class: "timed", ClientKey: "client", Timeout: 4800 * ms}) {
		if a, ok := a.(SetTimer); ok && a.Token == timerRequest+9 && a.After != 150*ms {
			t.Errorf("request waits %v, want 150 ms", a.After)
		}
	}
}
