package budget

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// keyWriter writes what tells states of a model apart: times are from now, incarnations by their order, and numbers of
// requests and grants from the latest.
type keyWriter struct {
	strings.Builder
	names map[uint64]int
	seqs  map[uint64]uint64 // the latest request of each incarnation that lives
}

func newKeyWriter() *keyWriter {
	return &keyWriter{names: map[uint64]int{0: 0}, seqs: map[uint64]uint64{}}
}

func (k *keyWriter) name(incarnation uint64) int {
	if _, ok := k.names[incarnation]; !ok {
		k.names[incarnation] = len(k.names)
	}
	return k.names[incarnation]
}

// seq is from the latest; of an incarnation that has ended only that it has.
func (k *keyWriter) seq(incarnation, seq uint64) int {
	if last, ok := k.seqs[incarnation]; ok {
		return int(last - seq)
	}
	return -1
}

// since gives a time from now in milliseconds, but not long ago.
func since(now, t time.Duration) time.Duration { return max(t-now, -9*tick) / time.Millisecond }

// key is the same for states that go on alike.
func (m *model) key() string {
	k := newKeyWriter()
	for _, b := range m.members {
		k.seqs[b.incarnation] = b.follower.lastSeq
	}
	for _, p := range m.parents {
		k.seqs[p.children.incarnation], k.seqs[p.group.incarnation] = 0, p.group.follower.lastSeq
	}
	for i, p := range m.parents {
		fmt.Fprint(k, m.isPaused[i])
		m.writeParent(k, p, m.clock(i))
	}
	for i, b := range m.members {
		i += len(m.parents)
		fmt.Fprint(k, m.isPaused[i])
		k.member(b, m.clock(i), func(j int) time.Duration {
			if len(m.parents) > 0 {
				j = m.parentAt(i-len(m.parents), j)
			}
			return m.clock(j)
		})
	}
	for _, l := range m.mail {
		fmt.Fprint(k, l.from, l.to, l.isBelow)
		k.message(l.message, m.now)
	}
	fmt.Fprint(k, m.uses, m.cut, m.faults)
	return k.String()
}

func (m *model) writeParent(k *keyWriter, p *Parent, now time.Duration) {
	fmt.Fprint(k, max(p.nextGroupRequest-now, -tick)/time.Millisecond, len(p.deferred), p.releasedUnits)
	k.base(p.children.base, now)
	k.leader(&p.children, now)
	k.member(p.group, now, m.clock)
	for _, d := range p.deferred {
		fmt.Fprint(k, d.to, k.name(d.response.Follower), d.wanted, (d.until-now)/time.Millisecond)
		k.message(d.response, m.now)
	}
}

// member writes one, by its own clock and those of possible leaders.
func (k *keyWriter) member(m *Member, now time.Duration, clock func(int) time.Duration) {
	k.base(m.base, now)
	k.follower(&m.follower, now, clock)
	k.leader(&m.leader, now)
	k.WriteByte('\n')
}

func (k *keyWriter) base(b *base, now time.Duration) {
	at := func(t time.Duration) time.Duration { return since(now, t) }
	fmt.Fprint(k, k.name(b.incarnation), at(b.recoveredAt), at(b.noReservationUntil), at(b.unlistedDelegatedUntil),
		at(b.started), len(b.pendingReleases), "|")
	for _, a := range b.accounts {
		for _, t := range slices.Concat(a.reservationUses, []time.Duration{0}, a.recentDemand) { // the 0 parts them
			if at(t) >= -3000 || t == 0 {
				fmt.Fprint(k, at(t), " ")
			}
		}
		for _, d := range a.delegations {
			if at(d.until) > 0 {
				fmt.Fprint(k, d.units, at(d.until), " ")
			}
		}
		for _, g := range a.grants {
			fmt.Fprint(k, g.units-g.used, at(g.until), " ")
		}
		fmt.Fprint(k, a.unsentUnits, at(a.deniedAt), a.hasPendingRequest, k.seq(b.incarnation, a.lastRequestSeq))
	}
}

func (k *keyWriter) follower(f *follower, now time.Duration, clock func(int) time.Duration) {
	at := func(t time.Duration) time.Duration { return since(now, t) }
	fmt.Fprint(k, at(f.nextHeartbeat), f.leaderIndex, k.name(f.delegatedTo), at(f.delegatedUntil), f.pingCount%24, "|")
	if f.sendsPartialRequests {
		fmt.Fprint(k, f.missedHeartbeats, k.name(f.fullRequestTo), at(f.nextPartialRequest), "|")
	}
	for _, j := range slices.Sorted(maps.Keys(f.contacts)) {
		c := f.contacts[j]
		fmt.Fprint(k, j, k.name(c.incarnation), at(c.receivedAt), (c.leaderClock-clock(j))/time.Millisecond,
			c.hasQuorum, ";")
		if f.hasParents() {
			fmt.Fprint(k, min(c.consecutiveResponses, responsesBeforeReturn), ";")
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(f.pending)) {
		if p := f.pending[seq]; at(p.sentAt) > -4000 {
			fmt.Fprint(k, f.lastSeq-seq, p.to, at(p.sentAt), ",")
		}
	}
}

func (k *keyWriter) leader(l *leader, now time.Duration) {
	at := func(t time.Duration) time.Duration { return since(now, t) }
	for _, j := range slices.Sorted(maps.Keys(l.followers)) {
		f := l.followers[j]
		fmt.Fprint(k, "f", j, k.name(f.incarnation), k.seq(f.incarnation, f.seq), at(f.delegatedUntil),
			f.delegated[modelID], len(f.delegated), f.delegatesUnlisted, k.name(f.otherIncarnation), f.isDuplicate)
	}
	byNumber := func(x, y *leaderGrant) int { return int(x.number) - int(y.number) }
	for _, g := range slices.SortedFunc(slices.Values(l.grants), byNumber) {
		if at(g.effectUntil) > 0 {
			fmt.Fprint(k, "g", l.lastGrantNumber-g.number, g.node, k.name(g.incarnation), g.units, at(g.effectUntil))
		}
	}
}

// message writes one that is on its way.
func (k *keyWriter) message(message Message, now time.Duration) {
	switch m := message.(type) {
	case LeaseRequest:
		fmt.Fprint(k, "q", k.name(m.Incarnation), k.seq(m.Incarnation, m.Seq), k.seq(m.Leader, m.Seq),
			(m.LeaderClock-now)/time.Millisecond, k.name(m.Leader), m.Delegated, m.DelegatesUnlisted, m.Wanted,
			len(m.Releases), k.name(m.ReleasesTo), ";")
	case LeaseResponse:
		fmt.Fprint(k, "r", k.name(m.Incarnation), k.seq(m.Incarnation, m.Seq), k.seq(m.Follower, m.Seq),
			(m.LeaderClock-now)/time.Millisecond, k.name(m.Follower), len(m.Grants), m.HasQuorum, m.DuplicateIndex, ";")
	}
}
