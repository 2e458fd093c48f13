package referee

import (
	"math"
	"testing"
	"time"
)

// A request that nobody here asked is another rig's.
func TestForeignRequestsAreNoticed(t *testing.T) {
	r := New(Rules{})
	r.Asked("a", 0, "c", Safe, time.Now(), time.Now())
	r.Sent(0, "s", "a", time.Now(), time.Time{})
	r.Sent(0, "s", "b", time.Now(), time.Time{})
	if r.Verdict(time.Now()); r.Foreign != 1 {
		t.Errorf("%d foreign", r.Foreign)
	}
}

// What may come to a cold server is never laxer than what the operators let come, nor than one more than is allowed; and it is one
// of the two, so that neither is made up for the other.
func TestWhatMayComeToAColdServerIsTheStricterOfBothBounds(t *testing.T) {
	for n := 0.0; n < 1000; n += 0.01 {
		own, operators := n+1, n+2*math.Sqrt(n)+2
		if most := ColdMost(n); most > own || most > operators || most != own && most != operators {
			t.Fatalf("of %.2f allowed %.2f may come; %.2f and %.2f are the bounds", n, most, own, operators)
		}
	}
}

// For each thing that is counted a faulty node is caught, and a sound one is not.
func TestEachFaultIsCaught(t *testing.T) {
	start := time.Now().Add(-time.Hour).Truncate(time.Millisecond)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		play func(r *Referee)
		want Broken
	}{
		"sound": {func(r *Referee) {
			r.Asked("a", 0, "c", Safe, at(0), at(1000))
			r.Sent(0, "s", "a", at(1), time.Time{})
			r.Ended("s", "a")
			r.Sent(0, "t", "a", at(20), time.Time{})
			r.Answer("a", at(30))
			r.Told(0, "s", true, time.Time{}, at(40))
			r.Sent(0, "s", "b", at(500), time.Time{})
			for i := range 3 { // the first may have been let in long before; the others surely within the second
				r.Rated("opens_per_s", "a", at(400*i), at(500+200*i))
				r.Rated("opens_per_s", "b", at(1000*i), at(1000*i))
			}
		}, Broken{}},
		"no answer":       {func(r *Referee) { r.Asked("a", 0, "c", Safe, at(0), at(1000)) }, Broken{Unanswered: 1}},
		"a late answer":   {func(r *Referee) { r.Asked("a", 0, "c", Safe, at(0), at(1000)); r.Answer("a", at(1500)) }, Broken{Unanswered: 1}},
		"closed":          {func(r *Referee) { r.Asked("a", 0, "c", Safe, at(0), at(1000)); r.Closed("a", at(10)) }, Broken{Unanswered: 1}},
		"its node killed": {func(r *Referee) { r.Asked("a", 0, "c", Safe, at(0), at(1000)); r.Excuse(0, at(5), at(6)) }, Broken{}},
		"another killed":  {func(r *Referee) { r.Asked("a", 0, "c", Safe, at(0), at(1000)); r.Excuse(1, at(5), at(6)) }, Broken{Unanswered: 1}},
		"killed before":   {func(r *Referee) { r.Asked("a", 0, "c", Safe, at(10), at(1000)); r.Excuse(0, at(5), at(6)) }, Broken{Unanswered: 1}},
		"a second answer": {func(r *Referee) {
			r.Asked("a", 0, "c", Safe, at(0), at(1000))
			r.Answer("a", at(1))
			r.Answer("a", at(2))
		}, Broken{After: 1}},
		"one made up": {func(r *Referee) { r.Answer("a", at(1)) }, Broken{After: 1}},
		"two at once": {func(r *Referee) {
			r.Sent(0, "s", "a", at(1), time.Time{})
			r.Sent(0, "t", "a", at(20), time.Time{})
			r.Ended("s", "a") // long after
		}, Broken{Twice: 1}},
		"two at once, as the end of one was held back": {func(r *Referee) {
			r.Asked("a", 0, "c", Safe, at(0), at(1000))
			r.Sent(0, "s", "a", at(1), time.Time{})
			r.Sent(0, "t", "a", at(200), time.Time{})
			r.Muffled(0, at(100), at(300))
			r.Answer("a", at(250))
		}, Broken{}},
		"two at once, beside another node's link": {func(r *Referee) {
			r.Asked("a", 0, "c", Safe, at(0), at(1000))
			r.Sent(0, "s", "a", at(1), time.Time{})
			r.Sent(0, "t", "a", at(200), time.Time{})
			r.Muffled(1, at(100), at(300))
			r.Answer("a", at(250))
		}, Broken{Twice: 1}},
		"retries over the whole": {func(r *Referee) {
			for i := range 5 { // two are the whole; each request is tried twice
				id := string(rune('a' + i))
				r.Sent(0, "s", id, at(400*i), time.Time{})
				r.Ended("s", id)
				r.Sent(0, "t", id, at(400*i+10), time.Time{})
			}
		}, Broken{Rates: 3}},
		"opens over the whole": {func(r *Referee) {
			for i := range 4 {
				r.Rated("opens_per_s", "a", at(100*i), at(100*i+50))
			}
		}, Broken{Rates: 2}},
		"too many open": {func(r *Referee) { // the first has ended, six are left
			for i := range 7 {
				id := string(rune('a' + i))
				r.Asked(id, 0, "c", Safe, at(0), at(1000))
				r.Answer(id, at(500))
				r.Sent(0, "s", id, at(1000*i), time.Time{})
				r.Ended("s", "a")
			}
		}, Broken{Rates: 1}},
		"an unsafe request repeated": {func(r *Referee) {
			r.Asked("a", 0, "c", Unsafe, at(0), at(1000))
			r.Sent(0, "s", "a", at(1), time.Time{})
			r.TurnedAway("s", "a") // it has not run, so the next one is the first
			r.Ended("s", "a")
			r.Sent(0, "t", "a", at(20), time.Time{})
			r.Ended("t", "a")
			r.Sent(0, "u", "a", at(40), time.Time{})
			r.Answer("a", at(50))
		}, Broken{Repeated: 1}},
		"a keyed request repeated after its window": {func(r *Referee) {
			r.Asked("a", 0, "c", Keyed, at(0), at(9000))
			for i, s := range []string{"s", "t", "u"} { // the window is 2 s
				r.Sent(0, s, "a", at(1+1500*i), time.Time{})
				r.Ended(s, "a")
			}
			r.Answer("a", at(4000))
		}, Broken{Repeated: 1}},
		"for a client that has left": {func(r *Referee) {
			r.Asked("a", 0, "c", Safe, at(0), at(1000))
			r.Left("a", at(10))
			r.Sent(0, "s", "a", at(150), time.Time{})
			r.Ended("s", "a")
			r.Sent(0, "t", "a", at(250), time.Time{})
		}, Broken{Gone: 1}},
		"a client that says nothing": {func(r *Referee) {
			r.Held("a client that says nothing", 0, at(9000))
			r.Held("a client that says nothing", 1, at(9000))
			r.Excuse(1, at(8000), at(8500))
		}, Broken{Held: 1}},
		"to one that drains": {func(r *Referee) {
			r.Told(0, "s", true, time.Time{}, at(0))
			r.Sent(0, "s", "a", at(700), time.Time{})
			r.Sent(1, "s", "b", at(700), time.Time{}) // was not told
		}, Broken{Late: 1}},
		"to one that drains, after a stop": {func(r *Referee) {
			r.Told(0, "s", true, time.Time{}, at(100))
			r.Resumed(0, at(50), at(500))
			r.Sent(0, "s", "a", at(1050), time.Time{})
			r.Sent(0, "s", "b", at(1150), time.Time{})
		}, Broken{Late: 1}},
		"one in ten ready late": {func(r *Referee) {
			for i := range 10 {
				r.Started(0, time.Duration(i+1)*1001*time.Millisecond, true)
				r.Started(1, 9*time.Second, false) // the day was over
			}
		}, Broken{}},
		"two in ten ready late": {func(r *Referee) {
			for i := range 10 {
				r.Started(0, time.Duration(i+2)*1001*time.Millisecond, true)
				r.Started(1, 9*time.Second, true)
			}
		}, Broken{Unready: 1}},
		"never ready": {func(r *Referee) {
			r.Started(0, 11*time.Second, false)
			r.Started(0, time.Second, false) // of which nothing is known
		}, Broken{Unready: 1}},
		"over the whole": {func(r *Referee) {
			// Four are allowed, five may come; guards against the operators' bound in place of the stricter one, by which ten may.
			for i := range 6 { // the one that came first is out of the last one's window
				r.Told(i, "s", false, start, start)
				r.Sent(i, "s", string(rune('a'+i)), at(500*i), start)
			}
			r.Sent(0, "s", "x", at(2600), start)
			r.Sent(0, "s", "y", at(2700), start) // the sixth in its window
			r.Sent(9, "s", "z", at(2700), start) // of a node that knows of no start
		}, Broken{Over: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Rules{Answer: 70 * time.Millisecond, Grace: 500 * time.Millisecond, Slack: 100 * time.Millisecond, Gone: 100 * time.Millisecond, Keyed: 2 * time.Second, Ready: 10 * time.Second,
				Window: 2100 * time.Millisecond, Cold: time.Minute, Rates: map[string]int{"retries_per_s": 2, "opens_per_s": 2, "open_per_customer": 5}, Allowed: func(time.Duration) float64 { return 4 }})
			c.play(r)
			if got, history := r.Verdict(time.Now()); got != c.want {
				t.Errorf("%+v, want %+v: %q", got, c.want, history)
			}
		})
	}
}
