package budget

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parent is a control machine's side toward the nodes that follow it, on top of its own part of the upper group, which the control
// machines form among one another. What a node wants it gives out of the floors that its own followers lend it, and out of the
// units that it has itself above: such a unit is spent above at the moment at which it is granted below, in a window that is longer
// by the lower term. So no majority is needed below; docs/budgets.md has the proof. It is not safe for concurrent use.
type Parent struct {
	low, up *Budgets
	out     []Action
	held    []*heldAnswer // by when they are to go
	waits   map[int]int   // answers held back, by node
	pace    time.Duration // no want goes up before
	came    bool          // something wanted above is settled
	Count   ParentCounts

	wrong flaw
	again map[ID]int // of the wrong variant that grants again what came back
}

// heldAnswer is an answer to a node that waits for the upper group's.
type heldAnswer struct {
	to    int
	boot  uint64
	word  Word
	wants []Amount // what is still wanted
	until time.Duration
}

// ParentCounts counts what a control machine does for the nodes below it.
type ParentCounts struct {
	Asks, Held    int64 // words of nodes; answers that were held back
	Lent, Passed  int64 // units granted below out of floors that are lent, out of what was spent above
	Unknown, Full int64 // words from numbers that no node has; answers that went at once as too many were held back
}

// ParentState tells what the people on call want to know.
type ParentState struct {
	Children int   // nodes that follow this control machine
	Held     int   // answers held back
	Above    State // in the upper group
}

const (
	heldMost      = 1024 // answers held back, of all nodes
	heldMostEach  = 4    // of one
	heldFor       = 8    // a beat over it is how long an answer is held back at the most
	askedAboveFor = 16   // a beat over it is the least time between two asks above for wants
	wantsAbove    = 1024 // units of one budget in one ask of a control machine
)

// NewParent makes it at its start. The settings are those of the nodes: Nodes says how many numbers they have, Term how long after its ask a node may
// use a unit. Up must be new, and be told of budgets by this Parent alone, which lengthens its windows and sets the part that is owned below.
func NewParent(below Settings, up *Budgets, boot uint64, now time.Duration) *Parent {
	below.Keepers, below.Below, below.Index = 0, 0, 0
	p := &Parent{low: New(below, boot, now), up: up, waits: map[int]int{}}
	up.set.Below = below.Floor
	up.set.Window = max(up.set.Window, p.above(below.Window))
	up.wants, up.brief = wantsAbove, true
	up.rest = up.born + up.set.Bound()
	up.until = up.rest
	return p
}

// above is the window above in which what is used below in a window was spent.
func (p *Parent) above(window time.Duration) time.Duration {
	if p.wrong == windowAboveShort {
		return window
	}
	return p.low.set.felt(window)
}

// Define takes in a budget, or another whole for one that is known, for the nodes below and for the upper group.
func (p *Parent) Define(now time.Duration, s Spec) {
	s.Window = min(s.Window, p.low.set.Window)
	p.low.Define(now, s)
	s.Window = p.above(s.Window)
	p.up.Define(now, s)
}

// Rules takes in what goes for all budgets of a kind, but for levels, which control machines do not carry: nodes have their floors of them.
func (p *Parent) Rules(kind uint8, r Rule) {
	if r.Lease > 0 {
		return
	}
	r.Window = min(r.Window, p.low.set.Window)
	p.low.Rules(kind, r)
	r.Window, r.Keeps = p.above(r.Window), false // else nobody but its own nodes could use a control machine's floor
	p.up.Rules(kind, r)
}

// Drop forgets a budget, as Budgets.Drop.
func (p *Parent) Drop(id ID) {
	p.low.Drop(id)
	p.up.Drop(id)
}

// Window is the longest of any budget, above.
func (p *Parent) Window() time.Duration { return p.up.Window() }

func (p *Parent) begin(now time.Duration) {
	p.low.begin(now)
	p.out = p.out[:0]
}

// HeardBelow takes in a word from the node with a number.
func (p *Parent) HeardBelow(now time.Duration, from int, w Word) []Action {
	p.begin(now)
	if from < 0 || from >= p.low.set.Nodes || w.Boot == 0 || w.Answer {
		p.Count.Unknown++
		return p.out
	} else if p.low.leaving {
		return p.out
	}
	p.Count.Asks++
	answer, _, ok := p.low.taken(from, w)
	if !ok {
		return p.out
	}
	answer.Most = p.up.heard[p.up.follows].most
	h := &heldAnswer{to: from, boot: w.Boot, word: answer, until: p.low.now + p.low.set.Beat/heldFor}
	for _, want := range w.Wants[:min(len(w.Wants), EntriesMost)] {
		if want.N = min(want.N, wantsMost); want.N > 0 {
			h.wants = append(h.wants, want)
		}
	}
	open := !w.Leaves && p.fill(h, true)
	switch {
	case !open && (p.waits[from] == 0 || w.Leaves): // else answers come in their order, as the latest settles what is wanted
		p.answer(h)
	case len(p.held) >= heldMost || p.waits[from] >= heldMostEach:
		p.Count.Full++
		p.answer(h)
	default:
		p.Count.Held++
		p.waits[from]++
		p.held = append(p.held, h)
	}
	p.next()
	p.settle() // it may be the keeper above itself
	return p.out
}

// HeardAbove takes in a word from another control machine.
func (p *Parent) HeardAbove(now time.Duration, from int, w Word) []Action {
	p.begin(now)
	p.passed(p.up.Heard(now, from, w))
	p.settle()
	p.next()
	p.settle()
	return p.out
}

// Tick does what is due, and says when there is more. To call it again early does no harm.
func (p *Parent) Tick(now time.Duration) []Action {
	p.begin(now)
	if now >= p.up.beat {
		p.passed(p.up.Tick(now))
	}
	p.next()
	p.settle()
	p.low.forget()
	p.low.expire()
	p.out = append(p.out, Wake{After: max(p.due()-p.low.now, time.Millisecond)})
	return p.out
}

// due is when Tick has something to do.
func (p *Parent) due() time.Duration {
	due := p.up.beat
	if len(p.held) > 0 {
		due = min(due, p.held[0].until)
	}
	if p.up.asking() {
		due = min(due, p.pace)
	}
	return due
}

// Leave tells nodes and control machines that this one stops. It grants nothing after it.
func (p *Parent) Leave(now time.Duration) []Action {
	p.begin(now)
	for _, h := range p.held {
		p.answer(h)
	}
	p.held = nil
	clear(p.waits)
	p.low.leaving = true
	last := p.low.now
	for _, g := range p.low.grants {
		last = max(last, g.until)
	}
	for _, i := range slices.Sorted(maps.Keys(p.low.followers)) {
		if f := p.low.followers[i]; p.low.now < f.until {
			p.tell(i, Word{Answer: true, To: f.boot, Stamp: int64(last - p.low.now), Leaves: true})
		}
	}
	p.passed(p.up.Leave(now))
	return p.out
}

// State gives it.
func (p *Parent) State(now time.Duration) ParentState {
	return ParentState{Children: p.low.State(now).Followers, Held: len(p.held), Above: p.up.State(now)}
}

// fill adds to an answer what there is, and tells whether more may come from above. Ask has it wanted there.
func (p *Parent) fill(h *heldAnswer, ask bool) (open bool) {
	now := p.low.now
	for i := range h.wants {
		want := &h.wants[i]
		if want.N == 0 || p.low.account(want.ID) == nil {
			continue
		}
		lent := max(min(want.N, p.low.free(want.ID, false)), 0)
		passed := 0
		for lent+passed < want.N && p.spend(now, want.ID) {
			passed++
		}
		if lent+passed > 0 {
			no := p.low.grant(h.to, h.boot, want.ID, lent) // of those used the first were lent
			h.word.Grants = append(h.word.Grants, Grant{ID: want.ID, N: lent + passed, No: no})
		}
		p.Count.Lent += int64(lent)
		p.Count.Passed += int64(passed)
		if want.N -= lent + passed; want.N == 0 {
			continue
		}
		if ask {
			p.up.want(now, want.ID, want.N)
		}
		a := p.up.specs[want.ID]
		open = open || a != nil && a.waits
	}
	return open
}

// spend takes a unit above.
func (p *Parent) spend(now time.Duration, id ID) bool {
	switch {
	case p.wrong == unspentAbove && p.up.Left(now, id) > 0:
		return true
	case p.wrong == grantedAgain && p.again[id] > 0:
		p.again[id]--
		return true
	}
	return p.up.Spend(now, id)
}

// settle answers what need not or cannot wait longer.
func (p *Parent) settle() {
	if len(p.held) == 0 || !p.came && p.low.now < p.held[0].until {
		return
	}
	p.came = false
	p.held = slices.DeleteFunc(p.held, func(h *heldAnswer) bool {
		if p.fill(h, false) && p.low.now < h.until {
			return false
		}
		p.waits[h.to]--
		if p.waits[h.to] == 0 {
			delete(p.waits, h.to)
		}
		p.answer(h)
		return true
	})
}

func (p *Parent) answer(h *heldAnswer) { p.tell(h.to, h.word) }

func (p *Parent) tell(to int, w Word) {
	w.Boot = p.low.boot
	p.low.Count.Words++
	p.out = append(p.out, Tell{To: to, Word: w, Below: true})
}

// next asks above for what is wanted, not too often.
func (p *Parent) next() {
	if now := p.low.now; p.up.asking() && now >= p.pace && now != math.MaxInt64 {
		p.pace = now + p.low.set.Beat/askedAboveFor
		p.passed(p.up.Tick(now))
	}
}

// passed hands on what the upper side is to do.
func (p *Parent) passed(actions []Action) {
	for _, a := range actions {
		if _, ok := a.(Settled); ok {
			p.came = true
		}
		if _, ok := a.(Wake); !ok {
			p.out = append(p.out, a)
		}
	}
}

// Next gives how soon Tick is to be called after a word was taken in: sooner than said before where an answer is held back.
func (p *Parent) Next() time.Duration { return max(p.due()-p.low.now, time.Millisecond) }
