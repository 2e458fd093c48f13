package budget

import (
	"fmt"
	"testing"
	"time"
)

// asker plays the nodes of a keeper by their words alone: each asks once a beat, lends of ten budgets, wants one unit and tells what
// became of the one before.
type asker struct {
	set   Settings
	now   time.Duration
	next  int
	nodes []struct {
		seq   uint64
		stamp int64
		boot  uint64
		done  []Done
	}
}

const askedBudgets = 20

func newAsker(set Settings) *asker {
	a := &asker{set: set, now: time.Minute}
	a.nodes = make([]struct {
		seq   uint64
		stamp int64
		boot  uint64
		done  []Done
	}, set.Nodes)
	return a
}

// ask gives the next word, and who says it.
func (a *asker) ask() (from int, w Word) {
	from = a.next % len(a.nodes)
	a.next++
	a.now += a.set.Beat / time.Duration(len(a.nodes))
	n := &a.nodes[from]
	n.seq++
	w = Word{Boot: uint64(1000 + from), Seq: n.seq, Stamp: n.stamp, To: n.boot, All: true, Done: n.done, Wants: []Amount{{ID: ID{Kind: 1, Of: uint64(a.next % askedBudgets)}, N: 1}}}
	for i := range 10 {
		w.Lends = append(w.Lends, Amount{ID: ID{Kind: 1, Of: uint64((from + i) % askedBudgets)}, N: 1})
	}
	return from, w
}

func (a *asker) heard(out []Action) {
	for _, x := range out {
		if t, ok := x.(Tell); ok && t.Word.Answer {
			n := &a.nodes[t.To]
			n.stamp, n.boot, n.done = t.Word.Stamp, t.Word.Boot, nil
			for _, g := range t.Word.Grants {
				n.done = append(n.done, Done{No: g.No, Used: g.N})
			}
		}
	}
}

func benchSettings(n int) Settings {
	return Settings{Nodes: n, Floor: 0.5, Window: 1250 * time.Millisecond, Term: time.Second, Beat: 400 * time.Millisecond}
}

// BenchmarkAsk is what an ask costs at the keeper of a flat group, by its nodes.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{32, 100, 300, 1000, 3000, 5700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := newAsker(benchSettings(n))
			a.set.Index = 0
			k := New(a.set, 1, 0)
			k.Rules(1, Rule{Whole: 4 * n, Window: time.Second})
			a.nodes[0].seq = 1 << 40
			one := func() {
				if from, w := a.ask(); from != 0 {
					a.heard(k.Heard(a.now, from, w))
				}
			}
			for range 4 * n {
				one()
			}
			given := k.Count.Given
			b.ResetTimer()
			for range b.N {
				one()
			}
			b.ReportMetric(float64(k.Count.Given-given)/float64(b.N), "granted/op")
		})
	}
}

// BenchmarkAskParent is what an ask costs at a control machine, by the nodes that follow it, of 5,700: each ask's unit is spent above.
func BenchmarkAskParent(b *testing.B) {
	for _, n := range []int{20, 100, 178, 335} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := newAsker(benchSettings(n))
			below := a.set
			below.Nodes, below.Term, below.Floor = 5700, 250*time.Millisecond, 0.1
			above := below
			above.Nodes, above.Floor, above.Term = 32, 0.5, time.Second
			p := NewParent(below, New(above, 1, 0), 2, 0)
			p.Rules(1, Rule{Whole: 50 * 5700, Window: time.Second})
			wake := time.Duration(0)
			do := func(out []Action) {
				for _, x := range out {
					if x, ok := x.(Wake); ok {
						wake = a.now + x.After
					}
				}
				a.heard(out)
			}
			one := func() {
				from, w := a.ask()
				if a.now >= wake {
					do(p.Tick(a.now))
				}
				do(p.HeardBelow(a.now, from, w))
			}
			for range 16 * n {
				one()
			}
			given := p.Count.Lent + p.Count.Passed
			b.ResetTimer()
			for range b.N {
				one()
			}
			b.ReportMetric(float64(p.Count.Lent+p.Count.Passed-given)/float64(b.N), "granted/op")
			b.ReportMetric(float64(p.Count.Held)/float64(p.Count.Asks), "held/op")
		})
	}
}
