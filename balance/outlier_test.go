package balance

import (
	"fmt"
	"testing"
	"time"
)

// An unreachable server is skipped until its ejection ends, and then used again.
func TestUnreachableServerIsEjectedTemporarily(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2)...)
	id, s := n.place("safe", "client")
	n.handle(AttemptEnded{ID: id, Server: s, Outcome: ConnectFailed})
	ejectedUntil, placedBefore := n.servers[s].ejectedUntil, 0
	for i := range 40 {
		n.now = ejectedUntil - ms
		if _, target := n.place("safe", fmt.Sprint("before-", i)); target == s {
			placedBefore++
		}
	}
	n.now = ejectedUntil
	if _, target := n.place("safe", "after"); placedBefore > 0 || target != s {
		t.Errorf("%d placed during the ejection, and the first one afterwards on server %d", placedBefore,
			target)
	}
}

// With an outdated list most servers are gone or draining and refuse health checks at once. However many they
// are, the request has to reach a healthy server, and later requests have to skip the others.
func TestRefusedHealthChecksDoNotCount(t *testing.T) {
	n, first, _ := newHealthCheckingNode(1, 2, 3, 4, 5, 6, 7, 8)
	healthy := n.rank(&request{Request: Request{Group: "group"}})[7]
	actions := n.requestInGroup(1)
	for i, outcome := range []Outcome{ServerError, ConnectFailed, ServerError, ServerError, ConnectFailed,
		ServerError, ConnectFailed} {
		checked := checkedServers(actions)
		if len(checked) != 1 {
			t.Fatalf("after %d refusals, want one health check: %v", i, actions)
		}
		actions = n.handle(HealthCheckResult{Server: checked[0], Outcome: outcome})
	}
	if s := sentTo(n.handle(loadReport(healthy, 0.1))); s != healthy.ID {
		t.Fatalf("sent to server %d, want %d, which is healthy", s, healthy.ID)
	}
	n.handle(AttemptAccepted{ID: 1, Server: healthy.ID})
	if actions := n.requestInGroup(2); sentTo(actions) != healthy.ID {
		t.Errorf("second request was not sent to the healthy server: %v", actions)
	}
	// Each further refusal doubles the ejection time up to a limit, and a load report resets it.
	for _, pause := range []time.Duration{2 * freshnessWindow, 4 * freshnessWindow, 8 * freshnessWindow,
		8 * freshnessWindow} {
		n.now = first.ejectedUntil
		n.handle(HealthCheckResult{Server: first.ID, Outcome: ServerError})
		if first.ejectedUntil-n.now != pause {
			t.Errorf("ejected for %v, want %v", first.ejectedUntil-n.now, pause)
		}
	}
	n.handle(loadReport(first, 0.1))
	n.handle(HealthCheckResult{Server: first.ID, Outcome: ServerError})
	if first.ejectedUntil-n.now != freshnessWindow {
		t.Errorf("after a load report: ejected for %v, want %v", first.ejectedUntil-n.now, freshnessWindow)
	}
}

// If all servers refuse health checks, the request is placed without further ones.
func TestHealthChecksEndWhenAllServersRefuse(t *testing.T) {
	n, _, _ := newHealthCheckingNode(1, 2, 3)
	actions, checked := n.requestInGroup(1), 0
	for ; len(checkedServers(actions)) > 0; checked++ {
		actions = n.handle(HealthCheckResult{Server: checkedServers(actions)[0], Outcome: ServerError})
	}
	if checked != 3 || sentTo(actions) == 0 {
		t.Errorf("%d servers checked, want 3 and then an attempt: %v", checked, actions)
	}
}

// A draining server accepts a client and redirects it at once. The client must not be placed there again when
// it reconnects.
func TestGoAwayEjectsServer(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3)...)
	id, s := n.establish("safe", "a")
	n.handle(AttemptEnded{ID: id, Server: s, Outcome: Cancelled, Final: true, GoAway: true})
	if _, next := n.place("safe", "a"); next == s || next == 0 {
		t.Errorf("placed on server %d after a redirect by %d", next, s)
	}
	id, s = n.establish("safe", "b")
	n.handle(AttemptEnded{ID: id, Server: s, Outcome: Cancelled, Final: true}) // closed by the client
	if _, next := n.place("safe", "b"); next != s {
		t.Errorf("server %d was skipped after a client closed its connection", s)
	}
}

// After a mass restart with an outdated list many servers are gone. Attempts have to move on to the others
// without delay.
func TestRetrySkipsUnreachableServers(t *testing.T) {
	n := newTestNode(testConfig(), readyServers(1, 2, 3, 4)...)
	id, s := n.place("safe", "a")
	for i := range 2 {
		s = sentTo(n.handle(AttemptEnded{ID: id, Attempt: i, Server: s, Outcome: ConnectFailed}))
	}
	if s == 0 {
		t.Error("no further attempt after two unreachable servers")
	}
}

// A server that disappeared from the list must stay in use only until attempts show that it is unreachable.
func TestUnlistedServerIsRemovedWhenUnreachable(t *testing.T) {
	config := testConfig()
	config.KeepUnlistedServers, config.MaxAttempts = true, 1
	n := newTestNode(config, readyServers(1)...)
	n.handle(EndpointUpdate{Kind: ListSnapshot})
	attempts := 0
	for range 20 {
		if id, s := n.place("safe", "client"); s == 1 {
			attempts++
			n.handle(AttemptEnded{ID: id, Server: 1, Outcome: ConnectFailed})
		}
		n.now += time.Minute
	}
	if attempts != maxEjectionDoublings+1 {
		t.Errorf("%d attempts, want %d", attempts, maxEjectionDoublings+1)
	}
	n.handle(EndpointUpdate{Kind: ListSnapshot, Servers: readyServers(1)})
	if _, s := n.place("safe", "client"); s != 1 {
		t.Error("relisted server was not used")
	}
}
