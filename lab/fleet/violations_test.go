package fleet

import (
	"fmt"
	"testing"
	"time"

	"brassmux/balance"
)

// actionFault modifies a balancer's actions in response to an event.
type actionFault func(event balance.Event, actions []balance.Action) []balance.Action

// faultyBalancer is a Balancer whose actions are modified by a fault.
type faultyBalancer struct {
	Balancer
	fault actionFault
}

func (f faultyBalancer) Handle(now time.Duration, event balance.Event) []balance.Action {
	return f.fault(event, f.Balancer.Handle(now, event))
}

// replaceEach returns a fault that replaces each action.
func replaceEach(replace func(balance.Action) []balance.Action) actionFault {
	return func(_ balance.Event, actions []balance.Action) (replaced []balance.Action) {
		for _, action := range actions {
			replaced = append(replaced, replace(action)...)
		}
		return replaced
	}
}

// redirectTo returns a fault that sends all attempts to one server. chooseTarget is called for each entry of each
// endpoint update, and returns the server to use from then on; attempts are unchanged until it has returned a server.
func redirectTo(chooseTarget func(current, entry balance.Server) balance.Server) actionFault {
	var target balance.Server
	redirect := replaceEach(func(action balance.Action) []balance.Action {
		if attempt, ok := action.(balance.Attempt); ok && target.ID != 0 {
			attempt.Server = target.ID
			return []balance.Action{attempt}
		}
		return []balance.Action{action}
	})
	return func(event balance.Event, actions []balance.Action) []balance.Action {
		if update, ok := event.(balance.EndpointUpdate); ok {
			for _, entry := range update.Servers {
				target = chooseTarget(target, entry)
			}
		}
		return redirect(event, actions)
	}
}

// violationCases holds faults that violate each invariant.
var violationCases = map[string]struct {
	scenario   string
	newFault   func() actionFault
	violations func(Violations) int
}{
	"omits rejections": {"many-replaced", func() actionFault {
		return replaceEach(func(action balance.Action) []balance.Action {
			if _, isReject := action.(balance.Reject); isReject {
				return nil
			}
			return []balance.Action{action}
		})
	}, func(v Violations) int { return v.Unanswered }},
	"answers twice": {"many-replaced", func() actionFault {
		return replaceEach(func(action balance.Action) []balance.Action {
			if reject, ok := action.(balance.Reject); ok {
				return []balance.Action{action, balance.Fail{ID: reject.ID}}
			}
			return []balance.Action{action}
		})
	}, func(v Violations) int { return v.Unanswered }},
	"sends twice": {"calm", func() actionFault {
		return replaceEach(func(action balance.Action) []balance.Action {
			if _, ok := action.(balance.Attempt); ok {
				return []balance.Action{action, action}
			}
			return []balance.Action{action}
		})
	}, func(v Violations) int { return v.Duplicates }},
	"sends to a draining server": {"rolling-deploy", func() actionFault {
		return redirectTo(func(current, entry balance.Server) balance.Server {
			if entry.State != balance.Ready {
				return entry
			}
			return current
		})
	}, func(v Violations) int { return v.LateSends }},
	"sends all attempts to the newest server": {"many-replaced", func() actionFault {
		return redirectTo(func(current, entry balance.Server) balance.Server {
			if entry.State == balance.Ready && entry.StartedAt > current.StartedAt {
				return entry
			}
			return current
		})
	}, func(v Violations) int { return v.Overloads }},
}

// Guards against a simulation that misses violations: each fault must be counted, and the same run without it must have
// no such violation.
func TestViolationsAreDetected(t *testing.T) {
	for name, testCase := range violationCases {
		t.Run(name, func(t *testing.T) {
			scenario := load(t, testCase.scenario)
			result := Run(scenario, 1, func(config balance.Config, seed uint64) Balancer {
				return faultyBalancer{NewBalancer(config, seed), testCase.newFault()}
			})
			if testCase.violations(result.Violations) == 0 || len(result.History) == 0 {
				t.Errorf("no violation detected: %+v, %q", result.Violations, result.History)
			}
			if result := Run(scenario, 1, NewBalancer); testCase.violations(result.Violations) != 0 {
				t.Errorf("without the fault: %+v", result.Violations)
			}
		})
	}
}

// The commands print this form, which must not depend on the names of the fields.
func TestViolationsString(t *testing.T) {
	violations := Violations{Unanswered: 1, Duplicates: 2, LateSends: 3, Overloads: 4}
	if got, want := fmt.Sprintf("%+v", violations), "{Unanswered:1 Twice:2 Late:3 Fallen:4}"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
