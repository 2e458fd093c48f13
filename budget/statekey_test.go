package budget

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// keyWriter writes the parts of a state that distinguish it from others. It writes times relative to now, incarnations
// numbered in order of appearance, and numbers of requests and grants relative to the latest.
type keyWriter struct {
	strings.Builder
	incarnationNumbers map[uint64]int
	lastSeqs           map[uint64]uint64 // Seq of the latest request of each running incarnation
}

func newKeyWriter() *keyWriter {
	return &keyWriter{incarnationNumbers: map[uint64]int{0: 0}, lastSeqs: map[uint64]uint64{}}
}

// incarnationNumber returns the number of an incarnation in order of appearance.
func (k *keyWriter) incarnationNumber(incarnation uint64) int {
	if _, ok := k.incarnationNumbers[incarnation]; !ok {
		k.incarnationNumbers[incarnation] = len(k.incarnationNumbers)
	}
	return k.incarnationNumbers[incarnation]
}

// seq returns the distance of seq from the latest request of a running incarnation, or -1 if the incarnation has ended.
func (k *keyWriter) seq(incarnation, seq uint64) int {
	if lastSeq, ok := k.lastSeqs[incarnation]; ok {
		return int(lastSeq - seq)
	}
	return -1
}

// millisecondsFrom returns the milliseconds from now to a moment. It does not distinguish moments more than 9 ticks
// ago.
func millisecondsFrom(now, moment time.Duration) time.Duration {
	return max(moment-now, -9*modelTick) / time.Millisecond
}

// stateKey returns a key that is equal for states that behave alike from now on.
func (m *model) stateKey() string {
	k := newKeyWriter()
	for _, member := range m.members {
		k.lastSeqs[member.incarnation] = member.follower.lastSeq
	}
	for _, p := range m.parents {
		k.lastSeqs[p.children.incarnation], k.lastSeqs[p.group.incarnation] = 0, p.group.follower.lastSeq
	}
	for i, p := range m.parents {
		fmt.Fprint(k, m.isPaused[i])
		m.writeParent(k, p, m.clock(i))
	}
	for i, member := range m.members {
		i += len(m.parents)
		fmt.Fprint(k, m.isPaused[i])
		k.member(member, m.clock(i), func(j int) time.Duration {
			if len(m.parents) > 0 {
				j = m.parentAt(i-len(m.parents), j)
			}
			return m.clock(j)
		})
	}
	for _, sent := range m.inFlight {
		fmt.Fprint(k, sent.from, sent.to, sent.isChildMessage)
		k.message(sent.message, m.now)
	}
	fmt.Fprint(k, m.usedUnits, m.isolatedProcess, m.faults)
	return k.String()
}

// writeParent writes the state of a parent.
func (m *model) writeParent(k *keyWriter, p *Parent, now time.Duration) {
	fmt.Fprint(k, max(p.nextGroupRequest-now, -modelTick)/time.Millisecond, len(p.deferred), p.releasedUnits)
	k.base(p.children.base, now)
	k.leader(&p.children, now)
	k.member(p.group, now, m.clock)
	for _, deferred := range p.deferred {
		fmt.Fprint(k, deferred.to, k.incarnationNumber(deferred.response.Follower), deferred.wanted,
			(deferred.until-now)/time.Millisecond)
		k.message(deferred.response, m.now)
	}
}

// member writes the state of a member, by its own clock and the clocks of its possible leaders.
func (k *keyWriter) member(m *Member, now time.Duration, clock func(int) time.Duration) {
	k.base(m.base, now)
	k.follower(&m.follower, now, clock)
	k.leader(&m.leader, now)
	k.WriteByte('\n')
}

func (k *keyWriter) base(b *base, now time.Duration) {
	offset := func(moment time.Duration) time.Duration { return millisecondsFrom(now, moment) }
	fmt.Fprint(k, k.incarnationNumber(b.incarnation), offset(b.recoveredAt), offset(b.noReservationUntil),
		offset(b.unlistedDelegatedUntil), offset(b.started), len(b.pendingReleases), "|")
	for _, a := range b.accounts {
		for _, moment := range slices.Concat(a.reservationUses, []time.Duration{0}, a.recentDemand) { // 0 as separator
			if offset(moment) >= -3000 || moment == 0 {
				fmt.Fprint(k, offset(moment), " ")
			}
		}
		for _, d := range a.delegations {
			if offset(d.until) > 0 {
				fmt.Fprint(k, d.units, offset(d.until), " ")
			}
		}
		for _, g := range a.grants {
			fmt.Fprint(k, g.units-g.used, offset(g.until), " ")
		}
		fmt.Fprint(k, a.unsentUnits, offset(a.deniedAt), a.hasPendingRequest, k.seq(b.incarnation, a.lastRequestSeq))
	}
}

func (k *keyWriter) follower(f *follower, now time.Duration, clock func(int) time.Duration) {
	offset := func(moment time.Duration) time.Duration { return millisecondsFrom(now, moment) }
	fmt.Fprint(k, offset(f.nextHeartbeat), f.leaderIndex, k.incarnationNumber(f.delegatedTo), offset(f.delegatedUntil),
		f.pingCount%24, "|")
	if f.sendsPartialRequests {
		fmt.Fprint(k, f.missedHeartbeats, k.incarnationNumber(f.fullRequestTo), offset(f.nextPartialRequest), "|")
	}
	for _, index := range slices.Sorted(maps.Keys(f.contacts)) {
		contact := f.contacts[index]
		fmt.Fprint(k, index, k.incarnationNumber(contact.incarnation), offset(contact.receivedAt),
			(contact.leaderClock-clock(index))/time.Millisecond, contact.hasQuorum, ";")
		if f.hasParents() {
			fmt.Fprint(k, min(contact.consecutiveResponses, responsesBeforeReturn), ";")
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(f.pending)) {
		if request := f.pending[seq]; offset(request.sentAt) > -4000 {
			fmt.Fprint(k, f.lastSeq-seq, request.to, offset(request.sentAt), ",")
		}
	}
}

func (k *keyWriter) leader(l *leader, now time.Duration) {
	offset := func(moment time.Duration) time.Duration { return millisecondsFrom(now, moment) }
	for _, index := range slices.Sorted(maps.Keys(l.followers)) {
		record := l.followers[index]
		fmt.Fprint(k, "f", index, k.incarnationNumber(record.incarnation), k.seq(record.incarnation, record.seq),
			offset(record.delegatedUntil), record.delegated[modelID], len(record.delegated), record.delegatesUnlisted,
			k.incarnationNumber(record.otherIncarnation), record.isDuplicate, k.incarnationNumber(record.replaced),
			max(offset(record.requestedAt+l.settings.heartbeatTimeout()), 0))
	}
	byNumber := func(x, y *leaderGrant) int { return int(x.number) - int(y.number) }
	for _, g := range slices.SortedFunc(slices.Values(l.grants), byNumber) {
		if offset(g.effectUntil) > 0 {
			fmt.Fprint(k, "g", l.lastGrantNumber-g.number, g.node, k.incarnationNumber(g.incarnation), g.units,
				offset(g.effectUntil))
		}
	}
}

// message writes a message in flight.
func (k *keyWriter) message(message Message, now time.Duration) {
	switch m := message.(type) {
	case LeaseRequest:
		fmt.Fprint(k, "q", k.incarnationNumber(m.Incarnation), k.seq(m.Incarnation, m.Seq), k.seq(m.Leader, m.Seq),
			(m.LeaderClock-now)/time.Millisecond, k.incarnationNumber(m.Leader), m.Delegated, m.DelegatesUnlisted,
			m.Wanted, len(m.Releases), k.incarnationNumber(m.ReleasesTo), ";")
	case LeaseResponse:
		fmt.Fprint(k, "r", k.incarnationNumber(m.Incarnation), k.seq(m.Incarnation, m.Seq), k.seq(m.Follower, m.Seq),
			(m.LeaderClock-now)/time.Millisecond, k.incarnationNumber(m.Follower), len(m.Grants), m.HasQuorum,
			m.DuplicateIndex, ";")
	}
}
