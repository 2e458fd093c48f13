package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brassmux/balance"
	"brassmux/budget"
	"brassmux/lab/fleet"
)

const (
	budgetCount = 10 // budgets that every ask lends of
	beat        = 400 * time.Millisecond
	envelope    = 6 // bytes of a datagram around the body of a word: version, kind, number
)

// budgetSettings are the program's defaults, with a window of 2 s.
func budgetSettings(nodes, index int) budget.Settings {
	return budget.Settings{Nodes: nodes, Index: index, GuaranteedFraction: 0.5, MaxWindow: 2 * time.Second, LeaseTerm: time.Second, HeartbeatInterval: beat}
}

func budgetID(i int) budget.ID { return budget.ID{Kind: 1, Subject: uint64(i + 1)} }

// define has ten budgets, each of a fifth as many units as there are nodes in any window.
func define(b *budget.Member, nodes int, now time.Duration) {
	for i := range budgetCount {
		b.Define(now, budget.Spec{ID: budgetID(i), BaseLimit: max(nodes/5, 1), Window: 2 * time.Second})
	}
}

// crowd is all nodes but the keeper, as far as it can tell.
type crowd struct {
	nodes int
	keep  *budget.Member
	now   time.Duration
	seq   uint64
	heard []budget.LeaseResponse // the last to each
}

// boot is the start of the node that keeps.
const boot = 7

func newCrowd(nodes int) *crowd {
	c := &crowd{nodes: nodes, keep: budget.New(budgetSettings(nodes, 0), boot, 0),
		heard: make([]budget.LeaseResponse, nodes)}
	define(c.keep, nodes, 0)
	return c
}

// beat has the first nodes ask once, count of them, in a beat; it tells what the keeper spends on one ask of the
// first few of these, and what ask and answer hold in bytes.
func (c *crowd) beat(count, timing int, wants bool) (micros, ask, answer float64, err error) {
	c.seq++
	defer func(end time.Duration) { c.now = end }(c.now + beat)
	bodies, answers := make([][]byte, c.nodes), make([][]byte, c.nodes)
	for i := 1; i <= count; i++ {
		last := c.heard[i]
		w := budget.LeaseRequest{Incarnation: uint64(1000 + i), Seq: c.seq, LeaderClock: last.LeaderClock,
			Leader: last.Incarnation, Acknowledged: last.Seq}
		for k := range budgetCount {
			w.Delegated = append(w.Delegated, budget.Amount{ID: budgetID(k), Units: (i + k) % 10 / 9}) // a tenth of the nodes own a unit each
		}
		if wants {
			w.Wanted = []budget.Amount{{ID: budgetID(i % budgetCount), Units: 1}}
		}
		for _, g := range last.Grants {
			w.Releases = append(w.Releases, budget.Release{Grant: g.Number, Used: g.Units, SinceUse: int64(beat / 2)})
		}
		if bodies[i], err = cbor.Marshal(w); err != nil {
			return
		}
		ask += float64(len(bodies[i])+envelope) / float64(count)
	}
	work := func(from, to int) func() {
		return func() {
			for i := from; i <= to && err == nil; i++ {
				m, failed := budget.DecodeMessage(bodies[i])
				if err = failed; err != nil {
					return
				}
				c.now += beat / time.Duration(c.nodes-1)
				for _, a := range c.keep.HandleMessage(c.now, i, m) {
					if t, ok := a.(budget.SendResponse); ok && t.To == i {
						answers[i], err = cbor.Marshal(t.Response)
					}
				}
			}
		}
	}
	micros = timed(timing, work(1, timing))
	work(timing+1, count)()
	for i := 1; i <= count && err == nil; i++ {
		if answers[i] == nil {
			return 0, 0, 0, fmt.Errorf("node %d got no answer", i)
		}
		answer += float64(len(answers[i])+envelope) / float64(count)
		m, failed := budget.DecodeMessage(answers[i])
		c.heard[i], _ = m.(budget.LeaseResponse)
		err = failed
	}
	return
}

// keeper measures an ask at the keeper of the budgets: each node asks once a beat, lends of ten budgets and wants one
// unit of one.
func keeper(ctx context.Context, b *bench) error {
	asks := b.slope("keeper.ask", "processor time of an ask at the keeper, read, worked on and answered: 10 lends, 1 want", "us", "nodes")
	beats := b.slope("keeper.beat", "the same of an ask that wants nothing", "us", "nodes")
	in := b.slope("keeper.ask_bytes", "bytes of that ask, in the mean (10 lends, 1 want)", "bytes", "nodes")
	out := b.slope("keeper.answer_bytes", "bytes of its answer, in the mean", "bytes", "nodes")
	mem := b.slope("keeper.memory", "live memory of the keeper's part", "bytes", "nodes")
	return b.each(ctx, NodeCounts, func(n, _ int) error {
		before := live()
		c := newCrowd(n)
		// Until a start of the keeper before this one is past all nodes only follow, often enough for their promises
		// to count; then all want once, which half of all units answer, and some want again, whose asks are timed.
		for c.now < budgetSettings(n, 0).RecoveryDelay()+6*beat {
			if _, _, _, err := c.beat(n-1, 1, false); err != nil {
				return err
			}
			c.now += 2 * beat
		}
		sample := min(max(n/5, 2), 600)
		if _, _, _, err := c.beat(n-1, 1, false); err != nil {
			return err
		}
		idle, _, _, err := c.beat(n-1, sample, false)
		if err != nil {
			return err
		}
		if _, _, _, err := c.beat(n-1, 1, true); err != nil {
			return err
		}
		micros, ask, answer, err := c.beat(sample, sample, true)
		if err != nil {
			return err
		}
		if s := c.keep.State(c.now); s.Followers < n/2 || c.keep.Counters.Granted*10 < int64(n-1+sample)*9 {
			return fmt.Errorf("with %d nodes %d follow, and %d units were granted of %d wanted", n, s.Followers, c.keep.Counters.Granted, n-1+sample)
		}
		c.heard = nil
		mem.add(n, live()-before)
		runtime.KeepAlive(c.keep)
		beats.add(n, idle)
		asks.add(n, micros)
		in.add(n, ask)
		out.add(n, answer)
		return nil
	})
}

// follower measures the other side: a node's own beat, and what its part holds at its start.
func follower(ctx context.Context, b *bench) error {
	beats := b.slope("follower.beat", "processor time of a beat at a node that follows: ask made and written, answer read and taken in", "us", "nodes")
	mem := b.slope("follower.memory", "live memory of a node's part of the budgets", "bytes", "nodes")
	begin := b.slope("follower.start", "processor time of its start", "us", "nodes")
	const count = 400
	return b.each(ctx, NodeCounts, func(n, _ int) error {
		before := live()
		var f *budget.Member
		begin.add(n, timed(1, func() { f = budget.New(budgetSettings(n, n-1), 99, 0) }))
		define(f, n, 0)
		mem.add(n, live()-before)
		now, err, followed, keeps := time.Duration(0), error(nil), 0, -1
		one := func() {
			now += beat
			for _, a := range append([]budget.Action(nil), f.Tick(now)...) {
				t, ok := a.(budget.SendRequest)
				if !ok {
					continue
				}
				body, bad := cbor.Marshal(t.Request)
				if bad != nil {
					err = bad
					return
				}
				if keeps < 0 {
					keeps = t.To
				}
				if t.To != keeps { // the others are not there
					continue
				}
				answer, bad := cbor.Marshal(budget.LeaseResponse{Incarnation: boot, Seq: t.Request.Seq, LeaderClock: now,
					Follower: t.Request.Incarnation, HasQuorum: true})
				_, unreadable := budget.DecodeMessage(body)
				m, alsoUnreadable := budget.DecodeMessage(answer)
				if bad != nil || unreadable != nil || alsoUnreadable != nil {
					err = fmt.Errorf("a word cannot be read: %v", bad)
					return
				}
				f.HandleMessage(now, t.To, m)
				if t.Request.Leader != 0 {
					followed++
				}
			}
		}
		for range 1000 { // until it has met the one that is there, and rested
			if one(); followed > 3 || err != nil {
				break
			}
		}
		if err != nil || followed <= 3 {
			return fmt.Errorf("with %d nodes it follows nobody: %v", n, err)
		}
		beats.add(n, timed(count, func() {
			for range count {
				one()
			}
		}))
		return err
	})
}

// words counts what nodes tell one another, in virtual time.
func words(ctx context.Context, b *bench) error {
	busiest := b.slope("words.busiest", "words a second sent by the node that sends most (lab fleet, many-replaced with leases, scaled)", "1/s", "nodes")
	mean := b.slope("words.mean", "words a second sent by a node in the mean", "1/s", "nodes")
	return b.each(ctx, fleets, func(n, turn int) error {
		s, err := fleet.Load("many-replaced")
		if err != nil {
			return err
		}
		s.Length, s.Nodes, s.Servers = fleet.Duration(6*time.Second), n, max(n/4, 2)
		s.Clients.Initial, s.Clients.PerSecond, s.Clients.Groups = 3*n, float64(n)/16, max(n*3/8, 1)
		s.Discovery.PerSecond, s.Discovery.QueueLimit = float64(n)/5, n
		s.Quotas = fleet.Quotas{Leased: true, GuaranteedFraction: 0.5, LeaseTerm: fleet.Duration(time.Second), HeartbeatInterval: fleet.Duration(beat)}
		s.Faults[0].At, s.Faults[0].Stagger = fleet.Duration(2*time.Second), fleet.Duration(3*time.Second)
		if err := s.Check(); err != nil {
			return err
		}
		r := fleet.Run(s, b.o.Seed+uint64(turn), fleet.NewBalancer)
		seconds := time.Duration(s.Length).Seconds()
		busiest.add(n, float64(r.Totals["words of the busiest node"])/seconds)
		mean.add(n, float64(r.Totals["words between nodes"])/seconds/float64(n))
		return nil
	})
}

// pause asks how long a node waits after failed calls for the list, by the size of the fleet.
func pause(ctx context.Context, b *bench) error {
	first := b.slope("pause.first", "the pause after a first call for the list that failed at once, the longest of 200 draws", "s", "nodes")
	third := b.slope("pause.third", "after a third in a row", "s", "nodes")
	waited := b.slope("pause.waited", "after a third in a row of calls that waited 2 s before they failed, as at a service with too many callers", "s", "nodes")
	cached := b.slope("pause.start", "the longest wait of a node that starts with an old list until it first asks", "s", "nodes")
	return b.each(ctx, NodeCounts, func(n, turn int) error {
		var longest [4]time.Duration
		for i := range 200 {
			d := balance.New(balance.Config{NodeCount: n, NodeIndex: i % n}, b.o.Seed+uint64(turn*200+i))
			wait := func(kind balance.UpdateKind, took time.Duration) (after time.Duration) {
				for _, a := range d.Handle(time.Minute, balance.EndpointUpdate{Kind: kind, ServiceWait: took}) {
					if t, ok := a.(balance.SetTimer); ok {
						after = max(after, t.After)
					}
				}
				return after
			}
			longest[0] = max(longest[0], wait(balance.ListCached, 0))
			longest[1] = max(longest[1], wait(balance.WatchFailed, 0))
			wait(balance.WatchFailed, 0)
			longest[2] = max(longest[2], wait(balance.WatchFailed, 0))
			d = balance.New(balance.Config{NodeCount: n, NodeIndex: i % n}, b.o.Seed+uint64(turn*200+i))
			for range 3 {
				longest[3] = max(longest[3], wait(balance.WatchFailed, 2*time.Second))
			}
		}
		cached.add(n, longest[0].Seconds())
		first.add(n, longest[1].Seconds())
		third.add(n, longest[2].Seconds())
		waited.add(n, longest[3].Seconds())
		return nil
	})
}
