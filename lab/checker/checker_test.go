package checker

import (
	"math"
	"testing"
	"time"
)

// A request that no client here sent belongs to another run on the same ports.
func TestForeignRequestsAreCounted(t *testing.T) {
	c := New(Config{})
	c.RequestSent("a", 0, "c", Idempotent, time.Now(), time.Now())
	c.AttemptReceived(0, "s", "a", time.Now(), time.Time{})
	c.AttemptReceived(0, "s", "b", time.Now(), time.Time{})
	if c.Check(time.Now()); c.ForeignRequests != 1 {
		t.Errorf("%d foreign", c.ForeignRequests)
	}
}

// The limit of attempts at a server in slow start is the stricter one of the operators' bound and one more than
// allowed: it exceeds neither, and is one of the two.
func TestMaxSlowStartSendsIsTheStricterBound(t *testing.T) {
	for n := 0.0; n < 1000; n += 0.01 {
		allowance, operators := n+1, n+2*math.Sqrt(n)+2
		limit := MaxSlowStartSends(n)
		if limit > allowance || limit > operators || limit != allowance && limit != operators {
			t.Fatalf("of %.2f allowed %.2f may come; %.2f and %.2f are the bounds", n, limit, allowance, operators)
		}
	}
}

// testCase is a history and the violations in it.
type testCase struct {
	play func(c *Checker)
	want Violations
}

var historyStart = time.Now().Add(-time.Hour).Truncate(time.Millisecond)

// at returns a time in milliseconds from the start of the history.
func at(ms int) time.Time { return historyStart.Add(time.Duration(ms) * time.Millisecond) }

// Each kind of violation is found, and a sound history has none.
func TestEachViolationIsFound(t *testing.T) {
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
				test.play(c)
				if got, messages := c.Check(time.Now()); got != test.want {
					t.Errorf("%+v, want %+v: %q", got, test.want, messages)
				}
			})
		}
	}
}

// answerCases are histories of answers, and a sound one.
var answerCases = map[string]testCase{
	"sound": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptEnded("s", "a")
		c.AttemptReceived(0, "t", "a", at(20), time.Time{})
		c.AnswerReceived("a", at(30))
		c.EndpointReported(0, "s", true, time.Time{}, at(40))
		c.AttemptReceived(0, "s", "b", at(500), time.Time{})
		for i := range 3 { // the first may have been let in long before; the others surely within the second
			c.RateLimitedEvent("opens_per_s", "a", at(400*i), at(500+200*i))
			c.RateLimitedEvent("opens_per_s", "b", at(1000*i), at(1000*i))
		}
	}, Violations{}},
	"no answer": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
	}, Violations{Unanswered: 1}},
	"a late answer": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AnswerReceived("a", at(1500))
	}, Violations{Unanswered: 1}},
	"closed": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.ConnectionClosed("a", at(10))
	}, Violations{Unanswered: 1}},
	"its node killed": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.NodeDisturbed(0, at(5), at(6))
	}, Violations{}},
	"another killed": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.NodeDisturbed(1, at(5), at(6))
	}, Violations{Unanswered: 1}},
	"killed before": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(10), at(1000))
		c.NodeDisturbed(0, at(5), at(6))
	}, Violations{Unanswered: 1}},
	"a second answer": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AnswerReceived("a", at(1))
		c.AnswerReceived("a", at(2))
	}, Violations{AfterFinalAnswer: 1}},
	"one made up": {func(c *Checker) { c.AnswerReceived("a", at(1)) }, Violations{AfterFinalAnswer: 1}},
}

// attemptCases are histories of attempts at the same time.
var attemptCases = map[string]testCase{
	"two at once": {func(c *Checker) {
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptReceived(0, "t", "a", at(20), time.Time{})
		c.AttemptEnded("s", "a") // long after
	}, Violations{Concurrent: 1}},
	"two at once, as the end of one was held back": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptReceived(0, "t", "a", at(200), time.Time{})
		c.ServerLinksImpaired(0, at(100), at(300))
		c.AnswerReceived("a", at(250))
	}, Violations{}},
	"two at once, beside another node's link": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptReceived(0, "t", "a", at(200), time.Time{})
		c.ServerLinksImpaired(1, at(100), at(300))
		c.AnswerReceived("a", at(250))
	}, Violations{Concurrent: 1}},
}

// repetitionCases are histories of repetitions, and of clients that left or did not.
var repetitionCases = map[string]testCase{
	"an unsafe request repeated": {func(c *Checker) {
		c.RequestSent("a", 0, "c", NotIdempotent, at(0), at(1000))
		c.AttemptReceived(0, "s", "a", at(1), time.Time{})
		c.AttemptRejected("s", "a") // it has not run, so the next one is the first
		c.AttemptEnded("s", "a")
		c.AttemptReceived(0, "t", "a", at(20), time.Time{})
		c.AttemptEnded("t", "a")
		c.AttemptReceived(0, "u", "a", at(40), time.Time{})
		c.AnswerReceived("a", at(50))
	}, Violations{Repeated: 1}},
	"a keyed request repeated after its window": {func(c *Checker) {
		c.RequestSent("a", 0, "c", KeyedIdempotent, at(0), at(9000))
		for i, s := range []string{"s", "t", "u"} { // the window is 2 s
			c.AttemptReceived(0, s, "a", at(1+1500*i), time.Time{})
			c.AttemptEnded(s, "a")
		}
		c.AnswerReceived("a", at(4000))
	}, Violations{Repeated: 1}},
	"for a client that has left": {func(c *Checker) {
		c.RequestSent("a", 0, "c", Idempotent, at(0), at(1000))
		c.ClientLeft("a", at(10))
		c.AttemptReceived(0, "s", "a", at(150), time.Time{})
		c.AttemptEnded("s", "a")
		c.AttemptReceived(0, "t", "a", at(250), time.Time{})
	}, Violations{AfterDeparture: 1}},
	"a client that says nothing": {func(c *Checker) {
		c.ClientNotClosed("a client that says nothing", 0, at(9000))
		c.ClientNotClosed("a client that says nothing", 1, at(9000))
		c.NodeDisturbed(1, at(8000), at(8500))
	}, Violations{NotClosed: 1}},
}

// limitCases are histories of rate limits and slow starts.
var limitCases = map[string]testCase{
	"retries over the whole": {func(c *Checker) {
		for i := range 5 { // two are the whole; each request is tried twice
			id := string(rune('a' + i))
			c.AttemptReceived(0, "s", id, at(400*i), time.Time{})
			c.AttemptEnded("s", id)
			c.AttemptReceived(0, "t", id, at(400*i+10), time.Time{})
		}
	}, Violations{RateLimits: 3}},
	"opens over the whole": {func(c *Checker) {
		for i := range 4 {
			c.RateLimitedEvent("opens_per_s", "a", at(100*i), at(100*i+50))
		}
	}, Violations{RateLimits: 2}},
	"too many open": {func(c *Checker) { // the first has ended, six are left
		for i := range 7 {
			id := string(rune('a' + i))
			c.RequestSent(id, 0, "c", Idempotent, at(0), at(1000))
			c.AnswerReceived(id, at(500))
			c.AttemptReceived(0, "s", id, at(1000*i), time.Time{})
			c.AttemptEnded("s", "a")
		}
	}, Violations{RateLimits: 1}},
	"over the whole": {func(c *Checker) {
		// Four are allowed, so five are within the stricter bound; ten would be within the operators'.
		for i := range 6 { // the one that came first is out of the last one's window
			c.EndpointReported(i, "s", false, historyStart, historyStart)
			c.AttemptReceived(i, "s", string(rune('a'+i)), at(500*i), historyStart)
		}
		c.AttemptReceived(0, "s", "x", at(2600), historyStart)
		c.AttemptReceived(0, "s", "y", at(2700), historyStart) // the sixth in its window
		c.AttemptReceived(9, "s", "z", at(2700), historyStart) // of a node that knows of no start
	}, Violations{SlowStart: 1}},
}

// notificationCases are histories of attempts at draining servers.
var notificationCases = map[string]testCase{
	"to one that drains": {func(c *Checker) {
		c.EndpointReported(0, "s", true, time.Time{}, at(0))
		c.AttemptReceived(0, "s", "a", at(700), time.Time{})
		c.AttemptReceived(1, "s", "b", at(700), time.Time{}) // was not told
	}, Violations{LateSends: 1}},
	"to one that drains, after a stop": {func(c *Checker) {
		c.EndpointReported(0, "s", true, time.Time{}, at(100))
		c.NodeResumed(0, at(50), at(500))
		c.AttemptReceived(0, "s", "a", at(1050), time.Time{})
		c.AttemptReceived(0, "s", "b", at(1150), time.Time{})
	}, Violations{LateSends: 1}},
}

// readinessCases are histories of process starts.
var readinessCases = map[string]testCase{
	"one in ten ready late": {func(c *Checker) {
		for i := range 10 {
			c.ProcessStarted(0, time.Duration(i+1)*1001*time.Millisecond, true)
			c.ProcessStarted(1, 9*time.Second, false) // the day was over
		}
	}, Violations{}},
	"two in ten ready late": {func(c *Checker) {
		for i := range 10 {
			c.ProcessStarted(0, time.Duration(i+2)*1001*time.Millisecond, true)
			c.ProcessStarted(1, 9*time.Second, true)
		}
	}, Violations{Unready: 1}},
	"never ready": {func(c *Checker) {
		c.ProcessStarted(0, 11*time.Second, false)
		c.ProcessStarted(0, time.Second, false) // of which nothing is known
	}, Violations{Unready: 1}},
}
