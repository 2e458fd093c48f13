package checker

import (
	"math"
	"testing"
	"time"
)

// Guards against results that are distorted by another run on the same ports: requests that no client sent must be
// counted.
func TestForeignRequestsAreCounted(t *testing.T) {
	c := New(Config{})
	c.RequestSent("a", 0, "c", Idempotent, time.Now(), time.Now())
	c.AttemptReceived(0, "s", "a", time.Now(), time.Time{})
	c.AttemptReceived(0, "s", "b", time.Now(), time.Time{})
	if c.Check(time.Now()); c.ForeignRequests != 1 {
		t.Errorf("got %d foreign requests, want 1", c.ForeignRequests)
	}
}

// The limit of attempts at a server in slow start must equal one of the two bounds, the operators' bound and one more
// than allowed, and exceed neither.
func TestMaxSlowStartSendsUsesStricterBound(t *testing.T) {
	for allowed := 0.0; allowed < 1000; allowed += 0.01 {
		strictBound, operatorBound := allowed+1, allowed+2*math.Sqrt(allowed)+2
		limit := MaxSlowStartSends(allowed)
		if limit > strictBound || limit > operatorBound || limit != strictBound && limit != operatorBound {
			t.Fatalf("%.2f allowed: limit %.2f, bounds %.2f and %.2f", allowed, limit, strictBound, operatorBound)
		}
	}
}

// testCase is a history and the violations expected in it.
type testCase struct {
	record func(c *Checker)
	want   Violations
}

var historyStart = time.Now().Add(-time.Hour).Truncate(time.Millisecond)

// at returns the time at a number of milliseconds after the start of the history.
func at(ms int) time.Time { return historyStart.Add(time.Duration(ms) * time.Millisecond) }

// Guards against missed and false violations: histories with one violated rule, and similar ones without a violation.
func TestViolationsAreDetected(t *testing.T) {
	config := Config{
		AnswerGrace: 70 * time.Millisecond, DrainGrace: 500 * time.Millisecond, Slack: 100 * time.Millisecond,
		DepartureGrace: 100 * time.Millisecond, IdempotencyWindow: 2 * time.Second, ReadyTimeout: 10 * time.Second,
		OverloadWindow: 2100 * time.Millisecond, SlowStartWindow: time.Minute,
		RateLimits:     map[string]int{"retries_per_s": 2, "opens_per_s": 2, "open_per_customer": 5},
		SlowStartLimit: func(time.Duration) float64 { return 4 },
	}
	for _, cases := range []map[string]testCase{
		answerCases, attemptCases, repetitionCases, limitCases, notificationCases, readinessCases,
	} {
		for name, test := range cases {
			t.Run(name, func(t *testing.T) {
				c := New(config)
				test.record(c)
				if got, messages := c.Check(time.Now()); got != test.want {
					t.Errorf("%+v, want %+v: %q", got, test.want, messages)
				}
			})
		}
	}
}

// answerCases are histories of answers, and one of a correct run.
var answerCases = map[string]testCase{
	"correct run": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptEnded("s", "a")
		c.AttemptReceived(0, "t", "a", at(20), time.Time{})
		c.AnswerReceived("a", at(30))
		c.EndpointReported(0, "s", true, time.Time{}, at(40))
		c.AttemptReceived(0, "s", "b", at(500), time.Time{})
		for i := range 3 { // the first may be earlier; only two are certainly within one second
			c.RateLimitedEvent("opens_per_s", "a", at(400*i), at(500+200*i))
			c.RateLimitedEvent("opens_per_s", "b", at(1000*i), at(1000*i))
		}
	}, Violations{}},
	"no answer": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
	}, Violations{Unanswered: 1}},
	"late answer": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AnswerReceived("a", at(1500))
	}, Violations{Unanswered: 1}},
	"connection closed": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.ConnectionClosed("a", at(10))
	}, Violations{Unanswered: 1}},
	"node disturbed": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.NodeDisturbed(0, at(5), at(6))
	}, Violations{}},
	"another node disturbed": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.NodeDisturbed(1, at(5), at(6))
	}, Violations{Unanswered: 1}},
	"node disturbed before the request": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(10), at(1000))
		c.NodeDisturbed(0, at(5), at(6))
	}, Violations{Unanswered: 1}},
	"second answer": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AnswerReceived("a", at(1))
		c.AnswerReceived("a", at(2))
	}, Violations{AfterFinalAnswer: 1}},
	"answer without a request": {func(c *Checker) { c.AnswerReceived("a", at(1)) }, Violations{AfterFinalAnswer: 1}},
}

// attemptCases are histories of concurrent attempts.
var attemptCases = map[string]testCase{
	"concurrent attempts": {func(c *Checker) {
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptReceived(0, "t", "a", at(20), time.Time{})
		c.AttemptEnded("s", "a") // recorded too late
	}, Violations{Concurrent: 1}},
	"overlap due to an impaired link": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptReceived(0, "t", "a", at(200), time.Time{})
		c.ServerLinksImpaired(0, at(100), at(300))
		c.AnswerReceived("a", at(250))
	}, Violations{}},
	"overlap with an impaired link of another node": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptReceived(0, "t", "a", at(200), time.Time{})
		c.ServerLinksImpaired(1, at(100), at(300))
		c.AnswerReceived("a", at(250))
	}, Violations{Concurrent: 1}},
}

// repetitionCases are histories of repeated attempts, of clients that left and of clients that were not disconnected.
var repetitionCases = map[string]testCase{
	"not idempotent": {func(c *Checker) {
		c.RequestSent("a", 0, "c", NotIdempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptRejected("s", "a") // not executed, so the next attempt counts as the first
		c.AttemptEnded("s", "a")
		c.AttemptReceived(0, "t", "a", at(20), time.Time{})
		c.AttemptEnded("t", "a")
		c.AttemptReceived(0, "u", "a", at(40), time.Time{})
		c.AnswerReceived("a", at(50))
	}, Violations{Repeated: 1}},
	"keyed, after the idempotency window": {func(c *Checker) {
		c.RequestSent("a", 0, "c", KeyedIdempotent, at(0), at(9000))
		for i, server := range []string{"s", "t", "u"} { // the window is 2 s
			c.AttemptReceived(0, server, "a", at(1+1500*i), time.Time{})
			c.AttemptEnded(server, "a")
		}
		c.AnswerReceived("a", at(4000))
	}, Violations{Repeated: 1}},
	"attempt after client departure": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.ClientLeft("a", at(10))
		c.AttemptReceived(0, "s", "a", at(150), time.Time{})
		c.AttemptEnded("s", "a")
		c.AttemptReceived(0, "t", "a", at(250), time.Time{})
	}, Violations{AfterDeparture: 1}},
	"idle client": {func(c *Checker) {
		c.ClientNotClosed("idle client", 0, at(9000))
		c.ClientNotClosed("idle client", 1, at(9000))
		c.NodeDisturbed(1, at(8000), at(8500))
	}, Violations{NotClosed: 1}},
}

// limitCases are histories of rate limits and slow starts.
var limitCases = map[string]testCase{
	"too many retries": {func(c *Checker) {
		for i := range 5 { // two retries per second are allowed; each request has one
			id := string(rune('a' + i))
			c.AttemptReceived(0, "s", id, at(400*i), time.Time{})
			c.AttemptEnded("s", id)
			c.AttemptReceived(0, "t", id, at(400*i+10), time.Time{})
		}
	}, Violations{RateLimits: 3}},
	"too many opens": {func(c *Checker) {
		for i := range 4 {
			c.RateLimitedEvent("opens_per_s", "a", at(100*i), at(100*i+50))
		}
	}, Violations{RateLimits: 2}},
	"too many open connections": {func(c *Checker) { // the first has ended, so six are open
		for i := range 7 {
			id := string(rune('a' + i))
			c.RequestSent(id, 0, "c", Idempotent, at(0), at(1000))
			c.AnswerReceived(id, at(500))
			c.AttemptReceived(0, "s", id, at(1000*i), time.Time{})
			c.AttemptEnded("s", "a")
		}
	}, Violations{RateLimits: 1}},
	"too many attempts in slow start": {func(c *Checker) {
		// Four are allowed, so the stricter bound is five. The operators' bound would be ten.
		for i := range 6 { // the first is not in the window of the last
			c.EndpointReported(i, "s", false, historyStart, historyStart)
			c.AttemptReceived(i, "s", string(rune('a'+i)), at(500*i), historyStart)
		}
		c.AttemptReceived(0, "s", "x", at(2600), historyStart)
		c.AttemptReceived(0, "s", "y", at(2700), historyStart) // sixth attempt in the window
		c.AttemptReceived(9, "s", "z", at(2700), historyStart) // from a node not notified of the start
	}, Violations{SlowStart: 1}},
}

// notificationCases are histories of attempts at draining servers.
var notificationCases = map[string]testCase{
	"attempt at a draining server": {func(c *Checker) {
		c.EndpointReported(0, "s", true, time.Time{}, at(0))
		c.AttemptReceived(0, "s", "a", at(700), time.Time{})
		c.AttemptReceived(1, "s", "b", at(700), time.Time{}) // not notified
	}, Violations{LateSends: 1}},
	"attempt at a draining server by a resumed node": {func(c *Checker) {
		c.EndpointReported(0, "s", true, time.Time{}, at(100))
		c.NodeResumed(0, at(50), at(500))
		c.AttemptReceived(0, "s", "a", at(1050), time.Time{})
		c.AttemptReceived(0, "s", "b", at(1150), time.Time{})
	}, Violations{LateSends: 1}},
}

// readinessCases are histories of process starts.
var readinessCases = map[string]testCase{
	"one of ten ready late": {func(c *Checker) {
		for i := range 10 {
			c.ProcessStarted(0, time.Duration(i+1)*1001*time.Millisecond, true)
			c.ProcessStarted(1, 9*time.Second, false) // observed for too short a time
		}
	}, Violations{}},
	"two of ten ready late": {func(c *Checker) {
		for i := range 10 {
			c.ProcessStarted(0, time.Duration(i+2)*1001*time.Millisecond, true)
			c.ProcessStarted(1, 9*time.Second, true)
		}
	}, Violations{Unready: 1}},
	"never ready": {func(c *Checker) {
		c.ProcessStarted(0, 11*time.Second, false)
		c.ProcessStarted(0, time.Second, false) // observed for too short a time to count
	}, Violations{Unready: 1}},
}
