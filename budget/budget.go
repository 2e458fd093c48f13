// Package budget divides what all nodes together may do among them, and never hands out more than the whole. It does no
// I/O and keeps no clock: times are durations on the caller's own steady clock. docs/budgets.md has the ways that were weighed
// and the proof.
//
// Of each whole every node owns a fixed part, the floor. What it does not need it lends to one keeper, the same for all its
// budgets, and says so in each word; the rest of the whole, which is no node's floor, belongs to the keeper that more than half of
// all nodes follow. A keeper gives out of both, for one use each and for a short term. Nothing rests on who is believed alive:
// a promise counts at the keeper for less time than it binds its giver.
package budget

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID names a budget: a kind, what it is about, and since when, so that what starts anew has a new one.
type ID struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	Of    uint64
	Since int64
}

// Compare orders them.
func (x ID) Compare(y ID) int {
	return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Of, y.Of), cmp.Compare(x.Since, y.Since))
}

// Spec says how much all nodes together may spend of a budget in any window: Least, and the whole units of Full times the
// share; one at the least. The share rises evenly from From to 1 within For of Start; a Spec that replaces another of its ID counts at once where
// its whole is less, and after Settings.Bound where it is more.
type Spec struct {
	ID         ID
	Full       float64
	Least      int
	From       float64
	Start, For time.Duration
	Window     time.Duration // at most Settings.Window
}

// Rule says the same of every budget of a kind: each comes to be when it is first asked for, and is forgotten when nothing of
// it is felt any more. So there may be one for each server or customer, of which a node has to do with a few.
type Rule struct {
	Whole  int
	Window time.Duration // at most Settings.Window
	Keeps  bool          // floors are not lent, so a node that starts has its own after one window
	Lease  time.Duration // over 0: a level (level.go), with leases of so much; Window is how long an end may take to be felt
}

func (s Spec) whole(now time.Duration) int {
	share := 1.0
	if s.For > 0 {
		share = s.From + (1-s.From)*min(max(float64(now-s.Start)/float64(s.For), 0), 1)
	}
	return max(s.Least+int(min(max(s.Full*share, 0), 1e6)), 1)
}

// Settings are the same at all nodes, but for Index.
type Settings struct {
	Nodes, Index int
	Floor        float64       // part of each whole that is the nodes' own, 0 to 1
	Window       time.Duration // the longest of any budget
	Term         time.Duration // a grant must be used within it
	Beat         time.Duration // between a node's words to its keeper
	Drift        float64       // by which any two clocks run apart at most; 0 means 0.001
	Keepers      int           // over 0: this node keeps for nobody and follows one of so many control machines, numbered from 0 in its order of preference (Parent); 0: flat
	Below        float64       // part of each whole, 0 to 1, that is owned below this group, by the nodes of its control machines, and is not this group's to divide
}

// horizon is how long any grant may still be felt: its term and the window after its last use.
func (s Settings) horizon() time.Duration { return s.felt(s.Window) }

// felt is the same of one budget, with its own window.
func (s Settings) felt(window time.Duration) time.Duration { return s.stretch(s.Term + window) }

// Bound is how long a promise binds who gave it: the horizon and three beats. A node that loses its keeper has back what it
// lent after it, and so has one that has started.
func (s Settings) Bound() time.Duration { return s.stretch(s.counts()) }

// counts is how long a promise counts at the keeper, from when the keeper said the word that it answers.
func (s Settings) counts() time.Duration { return s.horizon() + 3*s.Beat }

func (s Settings) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 4*s.Drift))
}

// silent is how long a node does without a word before another is asked.
func (s Settings) silent() time.Duration { return 5 * s.Beat / 2 }

// Word is what one node tells another. Ask goes to a keeper, Answer comes back.
type Word struct {
	_      struct{} `cbor:",toarray"`
	Answer bool
	Boot   uint64 // the sender's start
	Seq    uint64 // of the ask
	Stamp  int64  // Answer: the keeper's clock. Ask: the latest of the keeper's that came, 0 for none
	To     uint64 // Answer: the start that asked. Ask: the keeper's start that is followed, 0 for none
	Lends  []Amount
	All    bool     // Ask: of what goes by rules the asker lends all its floors but those in Lends
	Holds  []Amount // Ask: of levels, on leases
	Got    uint64   // Ask: the latest answer that came
	Renews bool     // Answer: to what was held
	Wants  []Amount
	Done   []Done // grants of To, or else of By, that are used up or given back
	By     uint64 // Ask: the keeper's start that Done is for, where To is none
	Grants []Grant
	Most   bool // Answer: more than half of the nodes follow
	Twin   bool // Answer: another start has the asker's number
	Leaves bool // the sender stops
}

// Amount is a number of units of a budget.
type Amount struct {
	_  struct{} `cbor:",toarray"`
	ID ID
	N  int
}

// Grant is a number of units, each for one use.
type Grant struct {
	_  struct{} `cbor:",toarray"`
	ID ID
	N  int
	No uint64
}

// Done tells how many units of a grant were used, the last of them so long before it was sent at the least; the others come back.
type Done struct {
	_    struct{} `cbor:",toarray"`
	No   uint64
	Used int
	Ago  int64
}

const (
	EntriesMost = 20 // of each kind in a word, so that it fits a datagram
	wantsMost   = 16 // units of one budget in one ask
	hellosMost  = 8  // nodes that are asked at once whether they are there; beats between two words to an earlier control machine
	hellosBelow = 4  // control machines that a node asks at once whether they are there
	backAfter   = 3  // answers one after another of an earlier control machine that have a node go back to it
	askedFor    = 20 // a beat over it is the least time between two asks of a node to its control machine
	asksKept    = 64 // asks that an answer may still come to

	accountsMost = 1 << 16 // that go by rules
)

// Budgets is one node's part of all this. It is not safe for concurrent use.
type Budgets struct {
	set  Settings
	boot uint64
	now  time.Duration
	out  []Action
	rest time.Duration // an earlier start of this node may still be felt until then
	born time.Duration

	forgot time.Duration // when accounts were last looked through

	specs  map[ID]*account
	rules  map[uint8]Rule
	levels bool  // some are of levels
	order  []int // nodes, by who is to keep

	// As one who asks.
	heard     map[int]keeper // what keepers said last
	follows   int            // the node that is asked, -1 for none
	bound     uint64         // the start that promises go to, until
	until     time.Duration
	all       time.Duration // all floors that go by rules are lent until then
	beat      time.Duration // the next
	hello     int
	seq       uint64
	asks      map[uint64]ask
	done      []told
	wanting   map[ID]bool   // those that wait
	missed    int           // beats without a control machine
	whole     uint64        // the keeper's start that the last whole ask went to
	pace      time.Duration // no ask for wants alone before
	brief     bool          // asks between two beats are for wants alone
	alone     time.Duration // another start has this node's number: it lends and spends nothing of its own until then
	leaving   bool
	wrong     flaw
	wants     int               // units of one budget in one ask at the most
	followers map[int]*follower // as keeper
	promises  []end             // when those not past count no more, in order
	lapsed    int               // so many of them count no more
	lenders   tally             // nodes whose promise counts and lends all
	grants    ended             // by when they are felt no more
	numbered  map[uint64]*granted
	pools     map[ID]*pool
	number    uint64
	got       uint64 // the latest answer that came
	loans     map[loanKey]*loan
	mostSince time.Duration // more than half have followed without a break until
	mostUntil time.Duration

	Count Counts
}

// Counts counts what was granted and spent, and words that were not heeded.
type Counts struct {
	Own, Leased, Short    int64 // spends of the node's own part, of grants; refused for want of either
	Given, Lapsed, Words  int64 // units granted as keeper; granted here and not used in their term; words sent
	Stale, Unknown, Twins int64 // answers to no ask of ours; words from numbers that no node has; another start with this number
	Keepers               int64 // changes of the node that is asked
}

// flaw has tests play wrong variants.
type flaw int

const (
	noRestAfterStart flaw = 1 + iota
	termFromReceipt
	termByWallClock
	windowGivenAway
	detectorTrusted
	repeatsCounted
	promisesToTwo
	allForgotten
	noRestOfKept
	lateLoans
	loansAtOnce
	doneToAny
	termFromSending
	windowAboveShort
	unspentAbove
	grantedAgain
	belowForgotten
)

type account struct {
	Spec
	rule    *Rule // that it goes by; nil for none
	level   level
	next    *Spec // a greater whole, from then on
	from    time.Duration
	spent   []time.Duration // of the own part, in the window
	lent    []lent
	grants  []held
	wanted  []time.Duration // tries lately, whatever came of them
	short   int             // tries in vain since the last ask
	refused time.Duration   // when the keeper had none
	waits   bool            // an ask is to go out, or is out, that wants some:
	asked   uint64          // this one
}

type lent struct {
	n     int
	until time.Duration
}

// end is when a follower's promise counts no more.
type end struct {
	until time.Duration
	node  int
}

// pool is what a keeper has of a budget, but for what is lent with one bit.
type pool struct {
	reserved int // granted, or ended, and may still be felt
	named    int // lent by name
	floors   int // of nodes that lend all, but named this
}

// told is what is to be told of a grant to the start that gave it.
type told struct {
	Done
	by uint64
}

type held struct {
	by    uint64
	no    uint64
	n     int
	used  int
	last  time.Duration // when one was used
	until time.Duration
}

type keeper struct {
	boot  uint64
	stamp int64
	at    time.Duration
	most  bool
	run   int // answers one after another
}

type ask struct {
	at    time.Duration
	to    int
	holds []Amount
}

type follower struct {
	boot  uint64
	rival uint64 // another start with its number
	twin  bool   // both were heard since
	seq   uint64
	until time.Duration
	lends map[ID]int
	all   bool

	counts bool // lends and all are among the keeper's sums
}

type granted struct {
	no    uint64
	id    ID
	node  int
	boot  uint64
	n     int
	until time.Duration // reserved until then
	at    int           // among ended
}

// Action is something to do now.
type Action interface{ action() }

// Tell sends a word to another node. It may be late or lost.
type Tell struct {
	To    int
	Word  Word
	Below bool // To is the number of a node below, that follows this control machine
}

// Wake asks for a call of Tick after a while.
type Wake struct{ After time.Duration }

// Settled tells that the keeper has answered a want, with or without a grant.
type Settled struct{ ID ID }

func (Tell) action()    {}
func (Wake) action()    {}
func (Settled) action() {}

// New makes a node's part at its start. The boot tells this start from all others of the same node.
func New(set Settings, boot uint64, now time.Duration) *Budgets {
	set.Drift = cmp.Or(set.Drift, 0.001)
	b := &Budgets{set: set, boot: max(boot, 1), now: now, born: now, specs: map[ID]*account{}, rules: map[uint8]Rule{}, heard: map[int]keeper{}, follows: -1,
		asks: map[uint64]ask{}, followers: map[int]*follower{}, loans: map[loanKey]*loan{}, wanting: map[ID]bool{},
		numbered: map[uint64]*granted{}, pools: map[ID]*pool{}, brief: set.Keepers > 0}
	b.wants = wantsMost
	b.rest = now + set.Bound()
	b.until = b.rest
	for i := range cmp.Or(set.Keepers, set.Nodes) {
		b.order = append(b.order, i)
	}
	if set.Keepers > 0 {
		return b
	}
	rank := func(i int) uint64 { return xxhash.Sum64([]byte{'k', byte(i >> 8), byte(i)}) }
	slices.SortFunc(b.order, func(x, y int) int { return cmp.Or(cmp.Compare(rank(y), rank(x)), cmp.Compare(x, y)) })
	return b
}

// Define takes in a budget, or another whole for one that is known.
func (b *Budgets) Define(now time.Duration, s Spec) {
	b.now = max(b.now, now)
	s.Window = min(s.Window, b.set.Window)
	a := b.specs[s.ID]
	switch {
	case a == nil:
		b.specs[s.ID] = &account{Spec: s}
	case a.Spec == s:
		a.next = nil
	case s.Full > a.Full || s.Least > a.Least || s.From > a.From || s.Start < a.Start || s.For < a.For:
		if a.next == nil || *a.next != s {
			a.next, a.from = &s, b.now+b.set.Bound()
		}
	default:
		a.Spec, a.next = s, nil
	}
}

// Rules takes in what goes for all budgets of a kind. It is told once, before any of them is asked for.
func (b *Budgets) Rules(kind uint8, r Rule) {
	for i, f := range b.followers { // their floors may be others by this rule
		if f.counts {
			b.count(i, f, -1)
			defer b.count(i, f, 1)
		}
	}
	b.rules[kind] = r
	b.levels = b.levels || r.Lease > 0
}

// ruled makes a budget that goes by a rule, where there is one and room.
func (b *Budgets) ruled(id ID) *account {
	r, ok := b.rules[id.Kind]
	if ok && len(b.specs) >= accountsMost {
		b.forget() // guards against customers beyond number: those that nothing is felt of make way, the others' requests are refused
	}
	if !ok || len(b.specs) >= accountsMost {
		return nil
	}
	a := &account{Spec: Spec{ID: id, Least: r.Whole, Window: min(r.Window, b.set.Window)}, rule: &r}
	if b.now < b.all && !a.keeps() && b.wrong != allForgotten {
		_, own, _ := b.floors(a)
		a.lent = []lent{{own, b.all}}
	}
	b.specs[id] = a
	return a
}

// forget drops those that go by rules and of which nothing is felt: ruled would make them as they are.
func (b *Budgets) forget() {
	if b.now < b.forgot+b.set.Beat/2 {
		return
	}
	b.forgot = b.now
	for id, a := range b.specs {
		if a.rule != nil && b.account(id).idle() {
			delete(b.specs, id)
		}
	}
}

// keeps tells that floors are not lent, stands that it is a level.
func (a *account) keeps() bool  { return a.rule != nil && (a.rule.Keeps || a.rule.Lease > 0) }
func (a *account) stands() bool { return a.rule != nil && a.rule.Lease > 0 }

// lend notes a promise.
func (a *account) lend(n int, until time.Duration) {
	a.lent = append(a.lent, lent{n, until})
	if last := len(a.lent) - 1; last > 0 && a.lent[last-1].n == n { // the longer one holds
		a.lent[last-1].until = max(a.lent[last-1].until, until)
		a.lent = a.lent[:last]
	}
}

// idle tells that nothing was spent or wanted of late, and nothing is granted.
func (a *account) idle() bool {
	l := &a.level
	return len(a.spent)+len(a.wanted)+len(a.grants)+l.held+l.leased+l.late+l.spare+l.named == 0 && !a.waits
}

// Drop forgets a budget. What was spent of it is forgotten too, so it must not come again under its ID within its window.
func (b *Budgets) Drop(id ID) {
	delete(b.specs, id)
	delete(b.wanting, id)
}

// Window is the longest of any budget.
func (b *Budgets) Window() time.Duration { return b.set.Window }

// Known lists the budgets.
func (b *Budgets) Known() []ID {
	var ids []ID
	for id := range b.specs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, ID.Compare)
	return ids
}

// account brings a budget up to date.
func (b *Budgets) account(id ID) *account {
	a := b.specs[id]
	if a == nil {
		if a = b.ruled(id); a == nil {
			return nil
		}
	}
	if a.next != nil && b.now >= a.from {
		a.Spec, a.next = *a.next, nil
	}
	b.lapse(a)
	a.spent = after(a.spent, b.now-b.set.stretch(a.Window))
	a.wanted = after(a.wanted, b.now-2*a.Window)
	a.lent = slices.DeleteFunc(a.lent, func(l lent) bool { return l.until <= b.now })
	a.grants = slices.DeleteFunc(a.grants, func(h held) bool {
		if h.until > b.now && h.used < h.n {
			return false
		}
		b.Count.Lapsed += int64(h.n - h.used)
		b.done = append(b.done, h.done())
		return true
	})
	return a
}

// after gives the moments that are later than one, of a list in their order.
func after(list []time.Duration, past time.Duration) []time.Duration {
	for len(list) > 0 && list[0] <= past {
		list = list[1:]
	}
	return list
}

// floors gives the whole, this node's own part of it, and all nodes' own parts together. Parts are whole units: which nodes
// have one more is by a hash of the budget, so that small ones are not all at the same nodes.
func (b *Budgets) floors(a *account) (whole, own, all int) { return b.floorsOf(b.set.Index, a) }

// floorsOf gives them for any node.
func (b *Budgets) floorsOf(node int, a *account) (whole, own, all int) {
	whole = a.whole(b.now)
	if b.wrong != belowForgotten {
		whole -= int(math.Ceil(b.set.Below * float64(whole)))
	}
	all = int(math.Ceil(b.set.Floor * float64(whole)))
	own = all / b.set.Nodes
	if (node+b.turn(a.ID))%b.set.Nodes < all%b.set.Nodes {
		own++
	}
	return whole, own, all
}

// turn says where the nodes begin that have one more.
func (b *Budgets) turn(id ID) int {
	turn := xxhash.Sum64([]byte{id.Kind, byte(id.Of), byte(id.Of >> 8), byte(id.Of >> 16), byte(id.Since), byte(id.Since >> 8), byte(id.Since >> 16)})
	return int(turn % uint64(b.set.Nodes))
}

// own is what this node may spend of its own part now.
func (b *Budgets) own(a *account) int {
	rest := b.rest
	if a.keeps() {
		rest = b.born + b.set.stretch(a.Window)
	}
	if b.now < rest && b.wrong != noRestAfterStart && !(a.keeps() && b.wrong == noRestOfKept) || b.now < b.alone {
		return 0
	}
	_, own, _ := b.floors(a)
	most := 0
	for _, l := range a.lent {
		most = max(most, l.n)
	}
	return own - most - len(a.spent) - a.level.held - a.level.late
}

func (a *account) granted() (n int) {
	for _, h := range a.grants {
		n += h.n - h.used
	}
	return n
}

// Left gives how many units of a budget may be spent now. -1 means that there is none, but some may be had: Want asks.
func (b *Budgets) Left(now time.Duration, id ID) int {
	b.now = max(b.now, now)
	a := b.account(id)
	if a == nil {
		return 0
	}
	if n := max(b.own(a), 0) + a.granted() + a.level.spare; n > 0 {
		return n
	}
	if k, ok := b.heard[b.follows]; !ok || b.now >= k.at+b.set.silent() || b.leaving || a.refused > 0 && b.now < a.refused+b.set.Beat/5 {
		return 0
	}
	return -1
}

// Want asks for a unit where there is none to spend. It tells whether an answer is on its way, of which Settled will tell.
// Tick sends the ask.
func (b *Budgets) Want(now time.Duration, id ID) bool {
	return b.want(now, id, 1)
}

// want is Want for so many units.
func (b *Budgets) want(now time.Duration, id ID, n int) bool {
	left := b.Left(now, id)
	if a := b.specs[id]; a != nil && left <= 0 {
		for range n {
			a.note(b.now, b.wants)
		}
		b.Count.Short += int64(n)
		if left < 0 {
			a.short += n
			a.waits = true
			b.wanting[id] = true
		}
	}
	return left < 0
}

// asking tells whether an ask is to go out for what is wanted.
func (b *Budgets) asking() bool {
	if b.follows >= 0 {
		for id := range b.wanting {
			if b.specs[id].short > 0 {
				return true
			}
		}
	}
	return false
}

// note remembers that the node has use for a unit.
func (a *account) note(now time.Duration, most int) {
	if a.wanted = append(a.wanted, now); len(a.wanted) > 4*most {
		a.wanted = a.wanted[1:]
	}
}

// Spend takes one unit, and tells whether there was one: it looks again at its own clock.
func (b *Budgets) Spend(now time.Duration, id ID) bool {
	b.now = max(b.now, now)
	a := b.account(id)
	switch {
	case a == nil:
		return false
	case a.stands():
		return b.take(a)
	case b.own(a) > 0:
		a.spent = append(a.spent, b.now)
		a.note(b.now, b.wants)
		b.Count.Own++
		return true
	}
	for i := range a.grants {
		if h := &a.grants[i]; h.used < h.n {
			h.used, h.last = h.used+1, b.now
			b.Count.Leased++
			return true
		}
	}
	return false
}

// Tick does what is due, and says when there is more. To call it again early does no harm.
func (b *Budgets) Tick(now time.Duration) []Action {
	b.begin(now)
	if b.now >= b.beat || b.asking() && b.now >= b.pace {
		b.ask()
	}
	b.over()
	due := b.beat
	if b.asking() {
		due = min(due, b.pace)
	}
	b.out = append(b.out, Wake{After: max(due-b.now, time.Millisecond)})
	return b.out
}

// Leave tells the keeper that this node stops: all that it owns and holds may be used by others. It spends nothing after it.
func (b *Budgets) Leave(now time.Duration) []Action {
	b.begin(now)
	b.leaving = true
	b.ask()
	b.alone = math.MaxInt64
	last := b.now
	for _, g := range b.grants {
		last = max(last, g.until)
	}
	for _, i := range slices.Sorted(maps.Keys(b.followers)) {
		if f := b.followers[i]; i != b.set.Index && b.now < f.until {
			b.tell(i, Word{Answer: true, To: f.boot, Stamp: int64(last - b.now), Leaves: true})
		}
	}
	return b.out
}

func (b *Budgets) begin(now time.Duration) { b.now, b.out = max(b.now, now), b.out[:0] }

// Heard takes in a word from the node with a number.
func (b *Budgets) Heard(now time.Duration, from int, w Word) []Action {
	b.begin(now)
	b.hear(from, w)
	return b.out
}

func (b *Budgets) hear(from int, w Word) {
	switch {
	case from < 0 || from >= cmp.Or(b.set.Keepers, b.set.Nodes) || w.Boot == 0 || b.set.Keepers > 0 && !w.Answer:
		b.Count.Unknown++
	case w.Answer:
		b.answer(from, w)
	case !b.leaving:
		b.keep(from, w)
	}
}

func (b *Budgets) tell(to int, w Word) {
	w.Boot = b.boot
	if to == b.set.Index && b.set.Keepers == 0 {
		b.hear(to, w)
		return
	}
	b.Count.Words++
	b.out = append(b.out, Tell{To: to, Word: w})
}

// The side that asks.

// choose picks the node to ask. One that answers stays, as each change costs the time that promises bind; but for one that
// more than half follow, where this one is followed by fewer, or then for one that ranks before it.
func (b *Budgets) choose() {
	there := func(i int) bool { k, ok := b.heard[i]; return ok && b.now < k.at+b.set.silent() }
	best := b.follows
	if best >= 0 && !there(best) {
		best = -1
	}
	if b.set.Keepers > 0 { // the first that is there, but before the one at hand only one that goes on answering
		if first := slices.IndexFunc(b.order, func(i int) bool { return there(i) && (best < 0 || i >= best || b.heard[i].run >= backAfter) }); first >= 0 {
			best = first
		}
	} else if best < 0 || !b.heard[best].most {
		for _, i := range b.order {
			if !there(i) {
				continue
			}
			if best < 0 || b.heard[i].most && !b.heard[best].most {
				best = i
			} else if !b.heard[best].most && slices.Index(b.order, i) < slices.Index(b.order, best) {
				best = i
			}
		}
	}
	if best != b.follows {
		b.follows = best
		b.Count.Keepers++
		if b.missed, b.hello = 0, 0; best >= 0 && b.set.Keepers > 0 { // not all probe at once
			b.hello = b.set.Index % hellosMost
		}
	}
}

func (b *Budgets) ask() {
	beat := b.now >= b.beat
	if beat {
		b.beat = b.now + b.set.Beat
		b.choose()
		if b.set.Keepers > 0 {
			b.greetAbove()
		} else {
			b.greet()
		}
	}
	if b.follows < 0 {
		return
	}
	if k := b.heard[b.follows]; b.brief && !beat && !b.leaving && b.whole == k.boot {
		w := Word{Stamp: k.stamp, Got: b.got, By: k.boot}
		if b.set.Keepers > 0 { // a Parent has its own
			b.pace = b.now + b.set.Beat/askedFor
		}
		b.wantIn(&w)
		b.doneIn(&w, k.boot)
		b.send(b.follows, w)
		return
	}
	k := b.heard[b.follows]
	w := Word{Stamp: k.stamp, Leaves: b.leaving, Got: b.got}
	if !b.leaving { // else what stands ends in the next seconds, and its leases run out
		w.Holds = b.holds()
	}
	end := k.at + b.set.Bound() // whatever the keeper counts, it counts from when it said the stamp, which is before
	free := b.now >= b.until || b.bound == k.boot || b.wrong == promisesToTwo
	if free && b.now >= b.rest && b.now >= b.alone && end > b.now {
		w.To = k.boot
		b.bound, b.until = k.boot, max(b.until, end)
	}
	b.forget()
	busy, most := 0, EntriesMost
	for _, a := range b.specs {
		if a.rule != nil && !a.keeps() && !b.account(a.ID).idle() {
			busy++
		}
	}
	if w.All = w.To != 0 && busy <= EntriesMost/2; w.All {
		most -= busy // they are to be named too
	}
	b.wantIn(&w)
	for _, id := range b.Known() {
		a := b.account(id)
		if w.To == 0 || a.keeps() || a.rule != nil && !w.All || a.rule == nil && len(w.Lends) >= most {
			continue
		}
		_, own, _ := b.floors(a)
		spent := len(a.spent)
		if b.wrong == windowGivenAway {
			spent = 0
		}
		lend := own - spent
		if !b.leaving && b.wrong != windowGivenAway {
			lend = min(lend, own-len(a.wanted))
		}
		if a.rule != nil && a.idle() { // goes with all
			a.lend(own, end)
		} else if lend > 0 || a.rule != nil {
			w.Lends = append(w.Lends, Amount{ID: id, N: max(lend, 0)})
			a.lend(max(lend, 0), end)
		}
	}
	if w.All {
		b.all = max(b.all, end)
	}
	if b.leaving {
		for _, id := range b.Known() {
			a := b.specs[id]
			for _, h := range a.grants {
				b.done = append(b.done, h.done())
			}
			a.grants = nil
		}
	}
	b.whole = k.boot
	if b.doneIn(&w, k.boot); w.To == 0 && len(w.Done) > 0 {
		w.By = k.boot
	}
	b.send(b.follows, w)
}

// greet asks others whether they are there.
func (b *Budgets) greet() {
	hellos := 1 // guards against nodes that follow two keepers for ever after a split has healed
	if b.follows < 0 {
		hellos = hellosMost
	}
	if k := b.heard[b.follows]; b.follows >= 0 && k.most {
		hellos = 0
	}
	for range min(hellos, b.set.Nodes) {
		// The first few in the ranking are asked more often: all nodes are to meet there.
		to := b.order[b.hello%min(b.set.Nodes, hellosMost)]
		if b.hello++; hellos == 1 && b.hello%3 == 0 {
			to = b.order[b.hello/3%b.set.Nodes]
		}
		if to != b.follows {
			b.send(to, Word{})
		}
	}
}

// greetAbove asks control machines whether they are there: without one the first, and with each beat more of the next; else now
// and then one of those before the one at hand, and each beat one of them that has answered.
func (b *Budgets) greetAbove() {
	if b.follows < 0 {
		for range min(1<<min(b.missed, 2), hellosBelow, b.set.Keepers) {
			if k, ok := b.heard[b.hello%b.set.Keepers]; ok && b.missed == 0 && b.now < k.at+2*b.set.silent() {
				b.hello++ // the one that was lost
			}
			b.send(b.hello%b.set.Keepers, Word{})
			b.hello++
		}
		b.missed++
		return
	}
	b.missed = 0
	if b.hello++; b.follows == 0 {
		return
	}
	probe := b.order[b.hello/hellosMost%b.follows]
	if k, ok := b.heard[probe]; b.hello%hellosMost == 0 || ok && b.now < k.at+b.set.silent() {
		b.send(probe, Word{})
	}
}

// wantIn adds to an ask what is wanted, as far as it has room.
func (b *Budgets) wantIn(w *Word) {
	for _, id := range slices.SortedFunc(maps.Keys(b.wanting), ID.Compare) {
		if a := b.account(id); a.short > 0 && len(w.Wants) < EntriesMost {
			w.Wants = append(w.Wants, Amount{ID: id, N: min(a.short, b.wants)})
			a.short, a.asked = 0, b.seq+1
		}
	}
}

// doneIn adds what became of the grants of the start that is asked. Guards against numbers of grants that two keepers gave: what is told of
// the one's would have the other forget what it granted.
func (b *Budgets) doneIn(w *Word, to uint64) {
	if b.wrong != doneToAny {
		b.done = slices.DeleteFunc(b.done, func(d told) bool { return d.by != to })
	}
	n := min(len(b.done), EntriesMost)
	for _, d := range b.done[:n] {
		d.Ago = int64(b.now) - d.Ago // a moment until here
		w.Done = append(w.Done, d.Done)
	}
	b.done = b.done[n:]
}

// done is told of a grant, with the moment of its last use.
func (h held) done() told { return told{Done{No: h.no, Used: h.used, Ago: int64(h.last)}, h.by} }

func (b *Budgets) send(to int, w Word) {
	b.seq++
	w.Seq = b.seq
	b.asks[b.seq] = ask{b.now, to, w.Holds}
	delete(b.asks, b.seq-asksKept)
	b.tell(to, w)
}

func (b *Budgets) answer(from int, w Word) {
	if w.Leaves && w.To == b.boot {
		b.left(from, w)
		return
	}
	q, ok := b.asks[w.Seq]
	if !ok || q.to != from || w.To != b.boot {
		b.Count.Stale++ // also an answer that comes twice: a grant counts once
		return
	}
	if b.wrong != repeatsCounted {
		delete(b.asks, w.Seq)
	}
	before := b.heard[from]
	if k := before; k.boot != w.Boot || w.Stamp >= k.stamp {
		run := 1
		if k.boot == w.Boot && b.now < k.at+b.set.silent() {
			run += k.run
		}
		b.heard[from] = keeper{w.Boot, w.Stamp, b.now, w.Most, run}
	}
	if w.Twin {
		b.Count.Twins++
		b.alone = max(b.alone, b.now+b.set.Bound())
	}
	if b.follows < 0 {
		b.choose()
		if b.set.Keepers > 0 && b.follows >= 0 {
			b.beat = b.now // what is wanted need not wait for the next beat
			defer b.ask()
		}
	}
	b.renewed(q, w)
	end := q.at + b.set.Term // since the ask, which was before the grant
	if b.wrong == termFromReceipt {
		end = b.now + b.set.Term
	} else if b.wrong == termFromSending && before.boot == w.Boot {
		end = before.at + time.Duration(w.Stamp-before.stamp) + b.set.Term
	} else if b.wrong == termByWallClock {
		end = time.Duration(w.Stamp) + b.set.Term
	}
	for _, g := range w.Grants {
		a := b.specs[g.ID]
		if a != nil && a.stands() {
			continue
		}
		if a == nil || g.N <= 0 || end <= b.now {
			b.done = append(b.done, told{Done{No: g.No}, w.Boot})
			continue
		}
		a.refused = 0
		a.grants = append(a.grants, held{by: w.Boot, no: g.No, n: g.N, until: end})
	}
	if from != b.follows {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(b.wanting), ID.Compare) {
		if a := b.specs[id]; a.short == 0 && w.Seq >= a.asked {
			delete(b.wanting, id)
			if a.waits = false; a.granted()+a.level.spare == 0 {
				a.refused = b.now
			}
			b.out = append(b.out, Settled{id})
		}
	}
}

// left takes in that a keeper grants no more, and that what it has granted is past within the stamp.
func (b *Budgets) left(from int, w Word) {
	if b.heard[from].boot != w.Boot {
		return
	}
	delete(b.heard, from)
	past := b.now + b.set.stretch(time.Duration(max(w.Stamp, 0)))
	if b.bound == w.Boot {
		b.until = min(b.until, past)
		for _, a := range b.specs {
			for i := range a.lent {
				a.lent[i].until = min(a.lent[i].until, past)
			}
		}
	}
	if b.beat = b.now; b.set.Keepers > 0 { // not all that followed it at once
		b.beat += b.set.Beat / 2 * time.Duration(b.set.Index%16) / 16
	}
}

// The side that keeps.

func (b *Budgets) keep(from int, w Word) {
	a, own, ok := b.taken(from, w)
	if !ok {
		return
	} else if w.Leaves {
		b.tell(from, a)
		return
	}
	most := b.majority()
	if own {
		b.reported(from, w)
		a.Renews = most
	}
	for _, want := range w.Wants {
		if l := b.account(want.ID); l != nil && l.stands() {
			if n := b.loan(from, w, want, l, most && own); n > 0 {
				a.Grants = append(a.Grants, Grant{ID: want.ID, N: n})
			}
			continue
		}
		if n := min(want.N, b.wants, b.free(want.ID, most)); n > 0 {
			a.Grants = append(a.Grants, Grant{ID: want.ID, N: n, No: b.grant(from, w.Boot, want.ID, n)})
		}
	}
	a.Most = most
	b.tell(from, a)
}

// grant reserves units for a node's start, and gives the grant's number.
func (b *Budgets) grant(to int, boot uint64, id ID, n int) uint64 {
	b.number++
	b.Count.Given += int64(n)
	if n > 0 {
		b.reserve(&granted{no: b.number, id: id, node: to, boot: boot, n: n, until: b.now + b.set.felt(b.specs[id].Window)})
	}
	return b.number
}

// taken takes in what an ask says of its sender, and gives the answer to which grants are to be added; own tells that it is of
// the start that counts as the node. There is no answer to an ask that is late or repeated.
func (b *Budgets) taken(from int, w Word) (answer Word, own, ok bool) {
	b.expire()
	f := b.followers[from]
	if f == nil || f.boot != w.Boot && b.now >= f.until {
		f = &follower{boot: w.Boot}
		b.followers[from] = f
	}
	// Guards against two processes with one number, each of which would spend what is the node's own. A start that follows
	// has waited until all of the one before it is past, so it finds no other that does.
	if f.boot != w.Boot {
		f.rival, f.twin = w.Boot, f.twin && f.rival == w.Boot
	} else if f.rival != 0 {
		f.twin = true
	}
	twin := f.boot != w.Boot && (f.twin || w.To != 0)
	if f.boot == w.Boot && w.Seq <= f.seq {
		return answer, true, false // late or repeated: what it says has been said anew
	} else if f.boot == w.Boot {
		f.seq = w.Seq
	}
	if counts := time.Duration(w.Stamp) + b.set.counts(); w.To == b.boot && !twin && f.boot == w.Boot && counts > b.now {
		b.leaveOut(from, f)
		f.until, f.lends, f.all = counts, map[ID]int{}, w.All
		for _, l := range w.Lends {
			f.lends[l.ID] = max(l.N, 0)
		}
		b.takeIn(from, f)
	}
	if by := cmp.Or(w.To, w.By); by == b.boot || b.wrong == doneToAny {
		for _, d := range w.Done {
			b.back(from, w.Boot, d)
		}
	}
	return Word{Answer: true, Seq: w.Seq, Stamp: int64(b.now), To: w.Boot, Twin: twin}, f.boot == w.Boot, true
}

// State tells what the people on call want to know.
type State struct {
	Keeper    int  // the node that is asked, -1 for none
	Followed  bool // it keeps for more than half
	Followers int  // of this node
	Waits     bool // an earlier start of this node may still be felt
}

// State gives it.
func (b *Budgets) State(now time.Duration) State {
	b.now = max(b.now, now)
	s := State{Keeper: b.follows, Followed: b.heard[b.follows].most, Waits: b.now < b.rest}
	b.expire()
	s.Followers = len(b.promises)
	return s
}
