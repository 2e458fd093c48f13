package checker

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against changes of the result format: the JSON form, the counters and the descriptions of a history with
// violations of most rules must match a recorded file.
func TestCheckMatchesGoldenFile(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c := New(Config{
		AnswerGrace: 70 * time.Millisecond, DrainGrace: 500 * time.Millisecond, Slack: 100 * time.Millisecond,
		DepartureGrace: 100 * time.Millisecond, IdempotencyWindow: 2 * time.Second, ReadyTimeout: 10 * time.Second,
		OverloadWindow: 2100 * time.Millisecond, SlowStartWindow: time.Minute,
		RateLimits:     map[string]int{"retries_per_s": 2, "opens_per_s": 1, "open_per_customer": 3},
		SlowStartLimit: func(time.Duration) float64 { return 1 },
	})
	c.RequestSent("unanswered", 0, "c", Idempotent, after(0), after(1000))
	c.AnswerReceived("unknown", after(1))
	c.RequestSent("twice", 1, "c", NotIdempotent, after(0), after(1000))
	for i, server := range []string{"s", "t", "u", "v"} {
		c.AttemptReceived(1, server, "twice", after(10+i), time.Time{})
	}
	c.AnswerReceived("twice", after(20))
	c.AnswerReceived("twice", after(30))
	c.RequestSent("excused", 2, "d", KeyedIdempotent, after(40), after(500))
	c.NodeDisturbed(2, after(100), after(200))
	c.RequestSent("left", 3, "d", Idempotent, after(40), after(500))
	c.ClientLeft("left", after(60))
	c.AttemptReceived(3, "s", "left", after(400), time.Time{})
	c.AttemptEnded("s", "left")
	c.ClientNotClosed("a client that says nothing", 4, after(9000))
	c.EndpointReported(5, "w", true, time.Time{}, after(0))
	c.AttemptReceived(5, "w", "late", after(900), time.Time{})
	c.EndpointReported(6, "x", false, start, after(0))
	for i := range 4 {
		id := string(rune('a' + i))
		c.RequestSent(id, 6, "e", Idempotent, after(1000), after(100000))
		c.AttemptReceived(6, "x", id, after(1000+i), start)
	}
	c.ProcessStarted(0, 11*time.Second, false)
	c.ProcessStarted(0, time.Second, true)
	var text strings.Builder
	violations, messages := c.Check(after(50000))
	data, err := json.Marshal(violations)
	fmt.Fprintln(&text, string(data), err, violations.Any(), c.LastServer("twice"), c.LastServer("none"))
	fmt.Fprintln(&text, c.Excused, c.Answered, c.SlowStartSends, c.Retries,
		c.MaxOpen, c.ForeignRequests, c.SlowStartUtilization)
	slices.Sort(messages) // the order of some depends on a map
	fmt.Fprintln(&text, strings.Join(messages, "\n"))
	want, err := os.ReadFile("testdata/golden.txt")
	if err != nil || text.String() != string(want) {
		t.Errorf("%v, got:\n%s", err, &text)
	}
}

// The commands print this form, which must match a recorded file.
func TestViolationsString(t *testing.T) {
	want, err := os.ReadFile("testdata/printed.txt")
	got := fmt.Sprintf("%+v\n", Violations{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
	if err != nil || got != string(want) {
		t.Errorf("%v, got %s", err, got)
	}
}
