package balance

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Feeds random lists, requests and outcomes to a Balancer. An invariantChecker, which keeps separate records,
// checks every action against the rules.
func TestInvariantsHoldOnRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.EndpointsPushed = rapid.Bool().Draw(t, "pushed")
		config.HealthChecksAllowed = rapid.Bool().Draw(t, "health checks")
		classes := []string{"safe", "unsafe", "zone", "cell", "all", "unknown"}
		servers := map[ServerID]Server{}
		for _, s := range readyServers(1, 2, 3, 4) {
			servers[s.ID] = s
		}
		balancer, duplicate := New(config, 5), New(config, 5)
		checker := newInvariantChecker(t, config, servers)
		checker.observe(balancer, duplicate, 0,
			EndpointUpdate{Kind: ListCached, Servers: readyServers(1, 2, 3, 4)})
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1, 2:
				checker.observe(balancer, duplicate, now, Request{
					ID: checker.nextID(), Timeout: 2 * time.Second,
					Class:     rapid.SampledFrom(classes).Draw(t, "class"),
					ClientKey: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "key"),
					Group:     rapid.SampledFrom([]string{"", "g", "h"}).Draw(t, "group")})
			case 3:
				id := ServerID(rapid.IntRange(1, 6).Draw(t, "server"))
				s := readyServers(id)[0]
				s.State = rapid.SampledFrom([]ServerState{Removed, Draining, Ready}).Draw(t, "state")
				if rapid.Bool().Draw(t, "restart") {
					s.StartedAt = now
				}
				checker.observe(balancer, duplicate, now,
					EndpointUpdate{Kind: ListDelta, Servers: []Server{s}})
			case 4:
				checker.observe(balancer, duplicate, now, HealthCheckResult{
					Server: ServerID(rapid.IntRange(1, 7).Draw(t, "checked server")),
					Report: &LoadReport{Utilisation: rapid.Float64Range(0, 1.5).Draw(t, "load")}})
			default:
				checker.endRandomAttempt(balancer, duplicate, now)
			}
		}
		for checker.endRandomAttempt(balancer, duplicate, now+time.Minute) || len(checker.timers) > 0 {
			now += time.Minute
			checker.observe(balancer, duplicate, now, EndpointUpdate{Kind: ListDelta})
		}
		checker.checkAllAnswered()
	})
}

// invariantChecker records the observable behaviour of a Balancer: every attempt, outcome and answer.
type invariantChecker struct {
	t        *rapid.T
	config   Config
	servers  map[ServerID]Server
	requests map[RequestID]*observedRequest
	order    []RequestID
	timers   []pendingTimer
}

type pendingTimer struct {
	firesAt time.Duration
	token   uint64
}

type observedRequest struct {
	class        Class
	deadline     time.Duration
	attempts     []observedAttempt
	established  bool
	finalAnswers int
}

type observedAttempt struct {
	server   Server
	sentAt   time.Duration
	inFlight bool
	outcome  Outcome
}

func newInvariantChecker(t *rapid.T, config Config, servers map[ServerID]Server) *invariantChecker {
	return &invariantChecker{
		t: t, config: config, servers: servers, requests: map[RequestID]*observedRequest{},
	}
}

func (c *invariantChecker) nextID() RequestID { return RequestID(len(c.order) + 1) }

// observe passes the timers that are due and then one event to two equal instances, and checks their actions.
func (c *invariantChecker) observe(balancer, duplicate *Balancer, now time.Duration, ev Event) {
	for {
		slices.SortStableFunc(c.timers, func(x, y pendingTimer) int {
			return cmp.Compare(x.firesAt, y.firesAt)
		})
		if len(c.timers) == 0 || c.timers[0].firesAt > now {
			break
		}
		timer := c.timers[0]
		c.timers = c.timers[1:]
		c.handle(balancer, duplicate, timer.firesAt, TimerFired{Token: timer.token})
	}
	for id, request := range c.requests {
		inFlight := len(request.attempts) > 0 && request.attempts[len(request.attempts)-1].inFlight
		if request.finalAnswers == 0 && !inFlight && now > request.deadline {
			c.t.Fatalf("request %d is unanswered after its deadline without an attempt in flight", id)
		}
	}
	c.handle(balancer, duplicate, now, ev)
}

func (c *invariantChecker) handle(balancer, duplicate *Balancer, now time.Duration, ev Event) {
	c.recordEvent(now, ev)
	actions := slices.Clone(balancer.Handle(now, ev))
	if repeated := duplicate.Handle(now, ev); !slices.Equal(actions, repeated) {
		c.t.Fatalf("equal events resulted in %v and %v", actions, repeated)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case Attempt:
			c.checkAttempt(action, now)
		case Reject:
			c.checkReject(action)
		case Fail:
			c.requests[action.ID].finalAnswers++
		case SetTimer:
			c.timers = append(c.timers, pendingTimer{now + action.After, action.Token})
		}
	}
}

func (c *invariantChecker) recordEvent(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case Request:
		c.requests[ev.ID] = &observedRequest{class: c.config.Classes[ev.Class], deadline: now + ev.Timeout}
		c.order = append(c.order, ev.ID)
	case EndpointUpdate:
		for _, s := range ev.Servers {
			c.servers[s.ID] = s
		}
	case AttemptEnded:
		a := &c.requests[ev.ID].attempts[ev.Attempt]
		a.inFlight, a.outcome = false, ev.Outcome
	}
}

func (c *invariantChecker) checkReject(action Reject) {
	request := c.requests[action.ID]
	request.finalAnswers++
	repeatable := request.class.Idempotency == Idempotent ||
		request.class.Idempotency == IdempotentByKey && request.class.KeyScope == KeyScopeAll
	for _, a := range request.attempts {
		if !a.outcome.NotExecuted() && !repeatable {
			c.t.Fatalf("request %d was rejected although it may have been executed", action.ID)
		}
	}
}

func (c *invariantChecker) checkAttempt(action Attempt, now time.Duration) {
	request, target := c.requests[action.ID], c.servers[action.Server]
	if request.finalAnswers > 0 || request.established {
		c.t.Fatalf("request %d was sent after its final answer", action.ID)
	}
	if target.State != Ready {
		c.t.Fatalf("request %d was sent to server %d, which is not ready", action.ID, action.Server)
	}
	if len(request.attempts) >= c.config.MaxAttempts {
		c.t.Fatalf("request %d has too many attempts", action.ID)
	}
	for _, attempt := range request.attempts {
		if attempt.inFlight {
			c.t.Fatalf("request %d has two attempts in flight", action.ID)
		}
		if !attempt.permitsRepeat(request.class, target, now) {
			c.t.Fatalf("request %d was repeated although it may have been executed", action.ID)
		}
	}
	request.attempts = append(request.attempts, observedAttempt{server: target, sentAt: now, inFlight: true})
}

// permitsRepeat reports whether a request of the class may be sent to the target after the attempt.
func (a *observedAttempt) permitsRepeat(class Class, target Server, now time.Duration) bool {
	if a.outcome.NotExecuted() || class.Idempotency == Idempotent {
		return true
	}
	inScope := class.KeyScope == KeyScopeAll ||
		class.KeyScope == KeyScopeZone && a.server.Zone == target.Zone ||
		class.KeyScope == KeyScopeCell && a.server.Cell == target.Cell
	return class.Idempotency != NonIdempotent && inScope && now-a.sentAt < class.KeyWindow
}

// endRandomAttempt accepts or ends a random attempt in flight, and reports whether there was one.
func (c *invariantChecker) endRandomAttempt(balancer, duplicate *Balancer, now time.Duration) bool {
	var inFlight []RequestID
	for _, id := range c.order {
		if n := len(c.requests[id].attempts); n > 0 && c.requests[id].attempts[n-1].inFlight {
			inFlight = append(inFlight, id)
		}
	}
	if len(inFlight) == 0 {
		return false
	}
	id := rapid.SampledFrom(inFlight).Draw(c.t, "request")
	request := c.requests[id]
	number := len(request.attempts) - 1
	attempt := &request.attempts[number]
	if !request.established && rapid.Bool().Draw(c.t, "accept") {
		request.established, request.finalAnswers = true, request.finalAnswers+1
		c.observe(balancer, duplicate, now,
			AttemptAccepted{ID: id, Attempt: number, Server: attempt.server.ID})
		return true
	}
	outcome := rapid.SampledFrom([]Outcome{ServerError, AtCapacity, TimedOut, ConnectFailed, Reset,
		Cancelled}).Draw(c.t, "outcome")
	c.observe(balancer, duplicate, now, AttemptEnded{ID: id, Attempt: number, Server: attempt.server.ID,
		Outcome: outcome, Final: request.established})
	return true
}

func (c *invariantChecker) checkAllAnswered() {
	for _, id := range c.order {
		if n := c.requests[id].finalAnswers; n != 1 {
			c.t.Fatalf("request %d got %d final answers", id, n)
		}
	}
}
