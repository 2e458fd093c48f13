package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// standing is what stands in a world of levels, as receivers feel it.
type standing struct {
	*world
	lease, pause time.Duration
	of           [][]stands // by node
	ending       []time.Duration
	ended        int // by the node's word, as leases were near their end
	most, taken  int
}

type stands struct{ until time.Duration }

func newStanding(seed uint64, n int, floor float64, whole int, lease time.Duration, wrong flaw) *standing {
	s := &standing{lease: lease, of: make([][]stands, n)}
	s.pause = s.lease / overPart * 9 / 10
	s.world = newWorld(seed, n, floor, whole, wrong, &Rule{Whole: whole, Window: 200 * time.Millisecond, Lease: s.lease})
	return s
}

// end has one connection of a node end; who receives feels it a little later.
func (s *standing) end(i, at int, told bool) {
	s.of[i] = append(s.of[i][:at], s.of[i][at+1:]...)
	s.ending = append(s.ending, s.now+time.Duration(s.rng.Float64()*float64(190*time.Millisecond)))
	if told {
		s.nodes[i].b.Release(s.clock(s.nodes[i]), s.spec.ID)
	}
}

// look goes on by a while: clients end, nodes end what they are told to, and all that stands is counted.
func (s *standing) look(d time.Duration) {
	for i, p := range s.nodes {
		if p.dead {
			for len(s.of[i]) > 0 {
				s.end(i, 0, false)
			}
			continue
		} else if s.now < p.paused {
			continue
		}
		for at := 0; at < len(s.of[i]); {
			if s.now >= s.of[i][at].until {
				s.end(i, at, true)
			} else {
				at++
			}
		}
		for _, a := range p.b.Tick(s.clock(p)) {
			if o, ok := a.(Over); ok {
				for n := min(o.N, len(s.of[i])); n > 0; n-- {
					s.end(i, 0, true)
					s.ended++
				}
			} else {
				s.do(i, []Action{a})
			}
		}
	}
	s.step(d)
	count := 0
	for i := range s.of {
		count += len(s.of[i])
	}
	for at := 0; at < len(s.ending); {
		if s.ending[at] <= s.now {
			s.ending = append(s.ending[:at], s.ending[at+1:]...)
		} else {
			at, count = at+1, count+1
		}
	}
	s.most = max(s.most, count)
}

func (s *standing) open(i int, life time.Duration) bool {
	p := s.nodes[i]
	if p.dead || s.now < p.paused {
		return false
	}
	now := s.clock(p)
	if p.b.Spend(now, s.spec.ID) {
		s.of[i] = append(s.of[i], stands{s.now + time.Duration(s.rng.ExpFloat64()*float64(life))})
		s.taken++
		return true
	}
	if p.b.Want(now, s.spec.ID) {
		s.do(i, p.b.Tick(now))
	}
	return false
}

// restart has a node's process die, with all that stands at it, and perhaps start anew.
func (s *standing) restart(i int, again bool) {
	for len(s.of[i]) > 0 {
		s.end(i, 0, false)
	}
	if s.nodes[i].dead = true; again {
		s.start(i)
	}
}

func (s *standing) play(length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.look(20 * time.Millisecond)
		if s.rng.Float64() < 0.008 {
			i := s.rng.IntN(len(s.nodes))
			switch s.rng.IntN(8) {
			case 0:
				s.restart(i, false)
			case 1, 2:
				s.restart(i, true)
			case 3:
				s.nodes[i].paused = s.now + time.Duration(s.rng.Float64()*float64(s.pause))
			case 4:
				s.lose, s.twice, s.late = s.rng.Float64()*0.5, s.rng.Float64()*0.5, time.Duration(s.rng.Float64()*float64(2*time.Second))
			case 5:
				s.lose, s.twice, s.late, s.cut = 0, 0, 0, nil
			case 6:
				half := s.rng.IntN(len(s.nodes))
				s.cut = func(from, to int) bool { return (from < half) != (to < half) }
			case 7:
				s.cut = func(from, _ int) bool { return from == i }
			}
		}
		for range 2 {
			s.open(s.rng.IntN(len(s.nodes)), 3*time.Second)
		}
	}
}

func levels(seed uint64, wrong flaw) (s *standing, text string) {
	rng := rand.New(rand.NewPCG(seed, 5))
	n, floor, whole := 2+rng.IntN(6), []float64{0, 0.3, 0.5}[rng.IntN(3)], 2+rng.IntN(20)
	s = newStanding(seed, n, floor, whole, 6*time.Second, wrong)
	s.play(120 * time.Second)
	return s, fmt.Sprintf("seed %d: %d nodes, floor %v, whole %d, most at once %d", seed, n, floor, whole, s.most)
}

// Never more than the whole stands at once, whatever the adversary does to words, processes and clocks.
func TestNoAdversaryHasMoreThanTheWholeStand(t *testing.T) {
	taken, ended, full := 0, 0, 0
	for seed := range uint64(50) {
		s, text := levels(seed, 0)
		if s.most > s.spec.Least {
			t.Fatal(text)
		} else if s.most == s.spec.Least {
			full++
		}
		taken, ended = taken+s.taken, ended+s.ended
	}
	t.Logf("%d stood, %d ended before their leases did, the whole stood on %d days", taken, ended, full)
	if taken < 50*100 || ended == 0 || full < 15 {
		t.Error("the adversary proves nothing")
	}
}

func TestWrongLevelsAreCaught(t *testing.T) {
	for name, wrong := range map[string]flaw{"a keeper that lends at once": loansAtOnce, "loans that came late used": lateLoans} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(600) {
				if s, _ := levels(seed, wrong); s.most > s.spec.Least {
					return
				}
			}
			t.Error("never caught")
		})
	}
}

// While words flow the whole stands at whoever asks, nothing that stands is ended, and a keeper's crash ends nothing either.
func TestWhatStandsOutlivesItsKeeper(t *testing.T) {
	s := newStanding(5, 8, 0.5, 20, 15*time.Second, 0) // two thirds are more than it takes to follow another
	run := func(d time.Duration) {
		for end := s.now + d; s.now < end; {
			s.look(20 * time.Millisecond)
			s.open(1, time.Hour)
		}
	}
	run(30 * time.Second)
	if got := len(s.of[1]); got < 11 { // ten are nobody's, and its own
		t.Fatalf("%d stand at who asks: %+v", got, s.nodes[1].b.State(s.clock(s.nodes[1])))
	}
	before := len(s.of[1])
	k := s.nodes[1].b.follows
	s.nodes[k].dead = true
	run(30 * time.Second)
	if len(s.of[1]) < before || s.ended > 0 {
		t.Errorf("%d of %d stand after the keeper's crash, %d were ended", len(s.of[1]), before, s.ended)
	}
	for i := range s.nodes { // nobody answers: it has its floor
		if i != 1 {
			s.nodes[i].dead = true
		}
	}
	run(s.lease)
	if got := len(s.of[1]); got > 2 {
		t.Errorf("%d stand at a node that is alone", got)
	}
}
