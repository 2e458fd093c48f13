// Package referee counts what many processes of the program did together, at those who received it, from one clock. It
// shares no code with the program's decisions. It is told what clients asked and heard, what servers received and what
// the list service told; what it says does not depend on the order in which those tell it within its slack.
package referee

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// Rules are the figures behind what is counted.
type Rules struct {
	Answer time.Duration // a final answer may come so much after the client's time
	Grace  time.Duration // sends to a server that drains may go on so long after the node was told
	Slack  time.Duration // by which what happens at two places may seem in another order; the rig's own lateness is in it

	// Most in any second by kind; "retries_per_s" are further attempts of requests, "open_per_customer" is at once; 0 means no bound.
	Rates map[string]int

	// What a cold server is allowed in a window, by its age at the window's end, from all nodes that were told of its start;
	// ColdMost tells what may come by chance beyond that.
	Window  time.Duration
	Allowed func(age time.Duration) float64
	Cold    time.Duration // a server is cold for so long

	Gone time.Duration // an attempt may begin so long after its client has left, no later

	// Keyed is for how long repeats of a keyed request are dropped, counted from its first attempt that may have run; those of an
	// unsafe one never are.
	Keyed time.Duration

	Ready time.Duration // nine in ten processes that one event starts anew are ready within it; 0 means no bound
}

// ColdMost is the most that may come to a cold server in a window in which n are allowed, n being 0 or more, from all nodes
// together, however many there are. The operators let n + 2√n + 2 come, as chance; the laboratory lets one more than n come,
// which is never more than that. Of both the stricter holds.
func ColdMost(n float64) float64 { return min(n+1, n+2*math.Sqrt(n)+2) }

// Broken counts broken rules.
type Broken struct {
	Unanswered int `json:"unanswered"` // no final answer in time
	After      int `json:"after"`      // something after the final answer
	Twice      int `json:"twice"`      // an attempt while one was out
	Repeated   int `json:"repeated"`   // an attempt after one that may have run, where that does its work again
	Gone       int `json:"for_nobody"` // an attempt that began too long after its client had left
	Held       int `json:"held"`       // a client that says no request, and was not sent away in its time
	Late       int `json:"late_sends"` // to a server that drains or is gone, after the grace
	Over       int `json:"over_whole"` // windows in which a cold server was sent more than the whole
	Rates      int `json:"over_rates"` // windows in which there was more of something bounded than the whole
	Asserted   int `json:"asserted"`   // by the program's own count: held back just before it would have happened
	Crashed    int `json:"crashed"`    // processes that crashed, or in which the race detector saw a data race
	Unready    int `json:"unready"`    // events of which more than a tenth of the processes that they started anew were not ready in time
}

// Any tells whether a rule was broken.
func (b Broken) Any() bool { return b != Broken{} }

// Referee counts. It may be told from many goroutines.
type Referee struct {
	rules Rules

	mu       sync.Mutex
	broken   Broken
	history  []string
	excused  map[int][]span
	muffled  map[int][]span
	asked    map[string]*request
	attempts map[string]*attempt
	twice    []suspect
	told     map[key]time.Time // a node was told that this server drains or is gone
	knows    map[key]time.Time // a node was told of this server's start
	sends    []send
	rated    map[rated][]span
	open     map[string]map[string]int // by customer and request: attempts and connections at servers
	further  int
	starts   map[int][]start // by event
	held     []heldClient

	// Requests whose node was disturbed, answered in time; attempts at cold servers by nodes that knew; further attempts of requests.
	// The most connections of one customer at once, where that is bounded.
	// Requests that came to servers and that nobody here asked: another rig runs beside this one, and has got its ports.
	Excused, Answered, Cold, Further, MostOpen, Foreign int

	// The fullest window of a cold server: what came over what may come; 1 is all of it.
	ColdUsed float64
}

type key struct {
	node   int
	server string
}

// rated names something of which there is to be no more than so much in any second.
type rated struct{ kind, of string }

// start is that of a process which had so long, and was ready by then or not.
type start struct {
	took  time.Duration
	ready bool
}

type span struct{ from, to time.Time }

// Effect tells what a repeated request does.
type Effect int

// Effects.
const (
	Safe   Effect = iota // no harm
	Keyed                // none within a window
	Unsafe               // its work, again
)

type request struct {
	node     int
	effect   Effect
	left     time.Time // when its client left unanswered; the zero time where it did not
	ran      time.Time // when its first attempt came that may have run
	customer string
	at, due  time.Time
	answered time.Time
}

type attempt struct {
	server string
	at     time.Time
	ended  bool
}

// heldClient is a client that says no request, and was still there after its time.
type heldClient struct {
	what string
	node int
	at   time.Time
}

// suspect is an attempt that came while another of its request seemed to be out.
type suspect struct {
	request string
	first   *attempt
	at      time.Time
	second  string
}

type send struct {
	at      time.Time
	node    int
	server  string
	id      string
	started time.Time
}

// New makes a referee.
func New(rules Rules) *Referee {
	return &Referee{rules: rules, excused: map[int][]span{}, muffled: map[int][]span{}, asked: map[string]*request{}, attempts: map[string]*attempt{},
		told: map[key]time.Time{}, knows: map[key]time.Time{}, rated: map[rated][]span{}, open: map[string]map[string]int{}, starts: map[int][]start{}}
}

const histories = 40

func (r *Referee) broke(rule *int, at time.Time, format string, args ...any) {
	*rule++
	if len(r.history) < histories {
		r.history = append(r.history, at.Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// Excuse tells that a node was disturbed by the rig meanwhile, so that it owes clients no answer for what overlaps.
func (r *Referee) Excuse(node int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excused[node] = append(r.excused[node], span{from, to})
}

// Resumed tells that a node's process goes on after it was stopped by the rig: what it was written meanwhile it is told now.
func (r *Referee) Resumed(node int, stopped, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, at := range r.told {
		if k.node == node && at.After(stopped) {
			r.told[k] = now
		}
	}
}

// Muffled tells that what a node said to servers meanwhile reached them late or never: the end of an attempt, too.
func (r *Referee) Muffled(node int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muffled[node] = append(r.muffled[node], span{from, to})
}

// Asked tells that a client's first line was taken by a node.
func (r *Referee) Asked(id string, node int, customer string, effect Effect, at, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[id] = &request{node: node, customer: customer, effect: effect, at: at, due: due}
}

// Left tells that a client ends its sending or its connection now, without an answer: nothing is owed, and nothing may begin.
func (r *Referee) Left(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.asked[id]; q != nil {
		q.left = at
	}
}

// Held tells that a node did not send away in its time a client that says no request.
func (r *Referee) Held(what string, node int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = append(r.held, heldClient{what, node, at})
}

// TurnedAway tells that a server answered the last attempt of a request BUSY: it has not run.
func (r *Referee) TurnedAway(server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, a := r.asked[id], r.attempts[id]
	if q != nil && a != nil && a.server == server && q.ran.Equal(a.at) {
		q.ran = time.Time{}
	}
}

// effects looks at an attempt of a request whose client may have left, and of which another may have run.
func (r *Referee) effects(id string, q *request, server string, entered time.Time) {
	if !q.left.IsZero() && entered.After(q.left.Add(r.rules.Gone+r.rules.Slack)) {
		r.broke(&r.broken.Gone, entered, "%s, node %d: sent to %s %v after its client left", id, q.node, server, entered.Sub(q.left).Round(time.Millisecond))
	}
	again := !q.ran.IsZero()
	switch {
	case again && q.effect == Unsafe, again && q.effect == Keyed && entered.After(q.ran.Add(r.rules.Keyed+r.rules.Slack)):
		r.broke(&r.broken.Repeated, entered, "%s, node %d: sent to %s %v after an attempt that may have run", id, q.node, server, entered.Sub(q.ran).Round(time.Millisecond))
	case !again:
		q.ran = entered
	}
}

// Answer tells that a client heard a final answer.
func (r *Referee) Answer(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.asked[id]
	if q == nil {
		r.broke(&r.broken.After, at, "%s: an answer to what nobody asked", id)
	} else if !q.answered.IsZero() {
		r.broke(&r.broken.After, at, "%s, node %d: a second answer", id, q.node)
	} else {
		q.answered = at
	}
}

// Started tells how long a process that an event had start anew took until it was ready, or was watched without being so.
func (r *Referee) Started(event int, took time.Duration, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[event] = append(r.starts[event], start{took, ready})
}

// unready settles the starts of each event. Of who was not watched for as long as it had, nothing is known.
func (r *Referee) unready(now time.Time) {
	for event, all := range r.starts {
		late, known := 0, 0
		for _, s := range all {
			if s.took > r.rules.Ready {
				late++
			}
			if s.ready || s.took > r.rules.Ready {
				known++
			}
		}
		if r.rules.Ready > 0 && 10*late > known {
			r.broke(&r.broken.Unready, now, "%d of %d processes that event %d had start anew were not ready within %v", late, known, event, r.rules.Ready)
		}
	}
}

// Closed tells that the node ended the connection of a request; without an answer it is lost.
func (r *Referee) Closed(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.asked[id]; q != nil && q.answered.IsZero() && at.Before(q.due) {
		q.due = at // nothing can come any more
	}
}

// Told tells that the list service wrote to a node that a server drains or is gone (out), or that it is up since started.
func (r *Referee) Told(node int, server string, out bool, started, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{node, server}
	if !out {
		delete(r.told, k)
		r.knows[k] = started
	} else if r.told[k].IsZero() {
		r.told[k] = at
	}
}

// Forget tells that a node starts anew and remembers nothing.
func (r *Referee) Forget(node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.told {
		if k.node == node {
			delete(r.told, k)
		}
	}
	for k := range r.knows {
		if k.node == node {
			delete(r.knows, k)
		}
	}
}

// Sent tells that a server received an attempt; entered is when its last byte left the node, started when the server did.
func (r *Referee) Sent(node int, server, id string, entered, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told := r.told[key{node, server}]; !told.IsZero() && entered.After(told.Add(r.rules.Grace+r.rules.Slack)) {
		r.broke(&r.broken.Late, entered, "%s, node %d: sent to %s, told %v ago", id, node, server, entered.Sub(told).Round(time.Millisecond))
	}
	if a := r.attempts[id]; a != nil && !a.ended {
		r.twice = append(r.twice, suspect{id, a, entered, server})
	}
	if q := r.asked[id]; q != nil {
		r.effects(id, q, server, entered)
	}
	if q := r.asked[id]; r.attempts[id] == nil && q != nil {
		r.rate("opens_per_s", q.customer, q.at, entered)
	} else if r.attempts[id] != nil {
		r.further++
		r.rate("retries_per_s", "", entered, entered)
	}
	if q := r.asked[id]; q != nil && r.rules.Rates["open_per_customer"] > 0 {
		if r.open[q.customer] == nil {
			r.open[q.customer] = map[string]int{}
		}
		r.open[q.customer][id]++
		n := len(r.open[q.customer])
		if r.MostOpen = max(r.MostOpen, n); n > r.rules.Rates["open_per_customer"] {
			r.broke(&r.broken.Rates, entered, "%s, node %d: %d of customer %s at once", id, node, n, q.customer)
		}
	}
	r.attempts[id] = &attempt{server: server, at: entered}
	if !started.IsZero() && entered.Before(started.Add(r.rules.Cold)) && r.knows[key{node, server}].Equal(started.Truncate(time.Millisecond)) {
		r.sends = append(r.sends, send{entered, node, server, id, started})
	}
}

// Ended tells that an attempt, or the connection that it became, has ended at its server.
func (r *Referee) Ended(server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.asked[id]; q != nil && r.open[q.customer] != nil {
		if r.open[q.customer][id]--; r.open[q.customer][id] <= 0 {
			delete(r.open[q.customer], id)
		}
	}
	if a := r.attempts[id]; a != nil && a.server == server {
		a.ended = true
	}
	for i := range r.twice {
		if s := &r.twice[i]; s.request == id && s.first.server == server && time.Since(s.at) < r.rules.Slack {
			s.first.ended = true
		}
	}
}

// Verdict settles what is due by now.
func (r *Referee) Verdict(now time.Time) (Broken, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Foreign, r.Excused, r.Answered, r.Cold, r.Further = 0, 0, 0, len(r.sends), r.further
	for id := range r.attempts {
		if r.asked[id] == nil {
			r.Foreign++
		}
	}
	for id, q := range r.asked {
		late := q.due.Add(r.rules.Answer + r.rules.Slack)
		switch {
		case !q.left.IsZero():
		case !q.answered.IsZero() && !q.answered.After(late):
			r.Answered++
		case q.answered.IsZero() && now.Before(late):
		case r.excuses(q.node, q.at, late):
			r.Excused++
		default:
			r.broke(&r.broken.Unanswered, late, "%s, node %d: no answer in its time", id, q.node)
		}
	}
	for _, s := range r.twice {
		if !s.first.ended && !r.hidden(s) {
			r.broke(&r.broken.Twice, s.at, "%s: sent to %s while out at %s", s.request, s.second, s.first.server)
		}
	}
	for _, h := range r.held {
		if !r.excuses(h.node, h.at.Add(-heldLook), h.at) {
			r.broke(&r.broken.Held, h.at, "node %d: %s is held for too long", h.node, h.what)
		}
	}
	r.windows()
	r.unready(now)
	for what, spans := range r.rated {
		r.seconds(what, spans)
	}
	return r.broken, r.history
}

// heldLook is how long before its end a client that was held may have been disturbed by what the rig did to its node.
const heldLook = 5 * time.Second

// hidden tells whether the end of the first of two attempts may have been under way, over a link that held it back.
func (r *Referee) hidden(s suspect) bool {
	q := r.asked[s.request]
	return q != nil && overlaps(r.muffled[q.node], s.first.at, s.at)
}

// excuses tells whether the rig did something to a node between two moments.
func (r *Referee) excuses(node int, from, to time.Time) bool {
	return overlaps(r.excused[node], from, to)
}

func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) })
}

// Rated tells of something that was let happen between two moments, by a decision of which only that is known.
func (r *Referee) Rated(kind, of string, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate(kind, of, from, to)
}

func (r *Referee) rate(kind, of string, from, to time.Time) {
	if r.rules.Rates[kind] > 0 {
		r.rated[rated{kind, of}] = append(r.rated[rated{kind, of}], span{from, to})
	}
}

// seconds looks at every second that ends with something: what surely happened within it is no more than the whole.
func (r *Referee) seconds(what rated, spans []span) {
	whole := r.rules.Rates[what.kind]
	slices.SortFunc(spans, func(x, y span) int { return x.to.Compare(y.to) })
	for i, last := range spans {
		n := 0
		for j := i; j >= 0 && last.to.Sub(spans[j].to) < time.Second-r.rules.Slack; j-- {
			if last.to.Sub(spans[j].from) < time.Second-r.rules.Slack {
				n++
			}
		}
		if n > whole {
			r.broke(&r.broken.Rates, last.to, "%d in a second of %s %s, %d are the whole", n, what.kind, what.of, whole)
		}
	}
}

// windows looks at every window that ends with a send.
func (r *Referee) windows() {
	by := map[string][]send{}
	for _, s := range r.sends {
		name := s.server + s.started.String()
		by[name] = append(by[name], s)
	}
	window := r.rules.Window - r.rules.Slack
	for _, sends := range by {
		slices.SortFunc(sends, func(x, y send) int { return x.at.Compare(y.at) })
		first := 0
		for i, s := range sends {
			for s.at.Sub(sends[first].at) >= window {
				first++
			}
			most := ColdMost(r.rules.Allowed(s.at.Sub(s.started) + r.rules.Slack))
			n := i + 1 - first
			if r.ColdUsed = max(r.ColdUsed, float64(n)/most); float64(n) > most {
				nodes := []int{}
				for _, x := range sends[first : i+1] {
					nodes = append(nodes, x.node)
				}
				r.broke(&r.broken.Over, s.at, "%s, node %d, to %s, %v after its start: %d sent in a window, %.2f are the whole; by nodes %v",
					s.id, s.node, s.server, s.at.Sub(s.started).Round(time.Millisecond), n, most, nodes)
			}
		}
	}
}

// At names the server at which a request's last attempt was; "" where there was none.
func (r *Referee) At(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[id]; a != nil {
		return a.server
	}
	return ""
}
