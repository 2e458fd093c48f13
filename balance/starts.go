package balance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// startsMost bounds the starts that are remembered of servers that no list names any more.
const startsMost = 8192

// start is one start of a server, and what was sent to it while it is cold. It outlives the server's entry
// in the list: a server that is removed and listed again with the same start is as cold as before, and its
// budget as spent.
type start struct {
	upSince time.Duration // as listed, by some wall clock; it names the start
	told    time.Duration // when it was first heard of: the server runs since then at the latest
	after   time.Duration // until then the list had no such start; 0 where that is not known
	floor   time.Duration // the estimate of the process before this one; 0 for none
	likely  time.Duration // when the server started by the clocks alone, never later than the news
	at      time.Duration // the latest moment at which it may have started, by all of these
	unseen  bool          // nothing tells whether the clocks behind likely are right

	turn float64         // this node's among the nodes, from 0 to 1
	sent []time.Duration // attempts from here, within the last window
	rest time.Duration   // no attempt until then
}

// starts settles when servers started. Starts are listed by the wall clock of other machines, and this
// instance's time began as its own machine's wall clock, which may have been wrong. Of all clocks seen the
// one that makes a server youngest counts, but no server is younger than the news of its start.
type starts struct {
	all   map[ServerID]*start
	ahead time.Duration // by which this instance's time is ahead of the slowest clock seen
	sure  bool          // another clock was seen by which starts are listed
	off   time.Duration // by which a listed start may be off, either way
}

// listed gives the start of a server as a list names it now. Until unchanged the list was as it was heard
// before; 0 where that is not known.
func (t *starts) listed(e Server, unchanged, now time.Duration) *start {
	s := t.all[e.ID]
	if s == nil || s.upSince != e.UpSince {
		s = &start{upSince: e.UpSince, told: now, after: unchanged}
		t.all[e.ID] = s
	}
	t.settle(s)
	return s
}

// settle works out when a server started: likely, and at the latest. The two differ where the list would
// have told of the start before, as then a clock is wrong or the news was late, and where nothing tells
// whether this instance's own clock is right.
func (t *starts) settle(s *start) {
	estimate := s.upSince + t.ahead + t.off
	s.likely = min(max(estimate, s.floor), s.told)
	s.at, s.unseen = s.likely, !t.sure && s.after == 0
	if estimate < s.after || s.unseen {
		s.at = s.told
	}
}

// clockSeen takes evidence of by how much this instance's time is ahead of a clock.
func (t *starts) clockSeen(by time.Duration, sure bool) {
	if by <= t.ahead && (t.sure || !sure) {
		return
	}
	t.ahead, t.sure = max(t.ahead, by), t.sure || sure
	for _, s := range t.all {
		t.settle(s)
	}
}

// learned takes what the process before this one knew of a start.
func (t *starts) learned(s *start, at, told time.Duration) {
	if told > 0 {
		s.told = min(s.told, told)
		s.floor = max(s.floor, at)
		t.settle(s)
	}
}

// rest has nothing sent to any cold server until a moment: another process of this node may have sent some
// before.
func (t *starts) rest(until time.Duration) {
	for _, s := range t.all {
		s.rest = until
	}
}

// forget drops starts of servers that are not listed where there are too many.
func (t *starts) forget(listed map[ServerID]*server) {
	if len(t.all) <= startsMost {
		return
	}
	for id := range t.all {
		if listed[id] == nil {
			delete(t.all, id)
		}
	}
}

// Started gives the latest moment at which a server may have started; 0 means long ago, or that it is not
// listed.
func (b *Balancer) Started(id ServerID) time.Duration {
	if s := b.servers[id]; s != nil && s.UpSince > 0 {
		return s.start.at
	}
	return 0
}

func (b *Balancer) cold(s *server) bool {
	return s.UpSince > 0 && b.now < b.began(s.start)+b.set.ColdFor
}

// began is when a server started, to be on the safe side; by the clocks alone for a request that would be
// refused otherwise, where nothing speaks against them.
func (b *Balancer) began(s *start) time.Duration {
	if b.trusting && s.unseen {
		return s.likely
	}
	return s.at
}

// turn guards against nodes that send a cold server none, or all at once.
func (b *Balancer) turn(e Server) float64 {
	h := xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(e.ID)^uint64(e.UpSince)))
	return math.Mod(float64(b.set.Index)/float64(b.set.Nodes)+float64(h>>11)/(1<<53), 1)
}

// spend guards against a cold server pushed over: in a window all nodes together send what it surely bears
// and one more at most: each has its part of that, and those whose turn it is have the fractions.
func (b *Balancer) spend(r *request, s *server) bool {
	if b.set.Parts != nil {
		left := b.set.Parts.Left(s.ID)
		return left > 0 || left < 0 && r.asks < asksMost-1 // else it went to one of the others blind
	}
	b.learnRate(0)
	rate := b.rate
	if b.set.Connections > 0 {
		rate = b.set.Connections / float64(b.set.Nodes) / max(b.set.ColdFor.Seconds(), 1)
	}
	full := rate * b.set.FallMultiple * b.set.FallWindow.Seconds() / float64(max(len(b.ready), 1))
	part := full * b.share(s.start.likely)
	if b.began(s.start) > s.start.likely { // should a clock be wrong, chance covers the difference
		nodes := float64(b.set.Nodes)
		young := nodes * full * b.share(s.start.at)
		part = min(part, (young+chance(young)-1)/nodes)
	}
	windowBegan := b.now - b.set.FallWindow
	s.start.sent = slices.DeleteFunc(s.start.sent, func(at time.Duration) bool { return at <= windowBegan })
	return b.now >= s.start.rest && float64(len(s.start.sent)) < math.Floor(part+s.start.turn)
}

// chance is what may come to a cold server in a window beyond n that it bears, by the operators' rule.
func chance(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// share is the mean part of its capacity in the last window of a server that started at a moment.
func (b *Balancer) share(started time.Duration) float64 {
	age := float64(b.now-started-b.set.FallWindow/2) / float64(b.set.ColdFor)
	return b.set.ColdFrom + (1-b.set.ColdFrom)*min(max(age, 0), 1)
}
