package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// leaderContact holds a follower's information about a possible leader, from its latest response.
type leaderContact struct {
	incarnation          uint64
	leaderClock          time.Duration // LeaderClock of the response
	receivedAt           time.Duration // time at which the response arrived
	hasQuorum            bool
	consecutiveResponses int // responses of the incarnation without a gap of heartbeatTimeout
}

// compareLeaders orders the members of a group by preference as leaders. The order is the same for all followers.
func compareLeaders(x, y int) int {
	rank := func(index int) uint64 { return xxhash.Sum64([]byte{'k', byte(index >> 8), byte(index)}) }
	return cmp.Or(cmp.Compare(rank(y), rank(x)), cmp.Compare(x, y))
}

// updateContact records a response of a possible leader, unless it is older than the recorded one.
func (f *follower) updateContact(from int, response *LeaseResponse) {
	contact := f.contacts[from]
	isSameProcess := contact.incarnation == response.Incarnation
	if isSameProcess && response.LeaderClock < contact.leaderClock {
		return
	}
	consecutive := 1
	if isSameProcess && f.now < contact.receivedAt+f.settings.heartbeatTimeout() {
		consecutive += contact.consecutiveResponses
	}
	f.contacts[from] = leaderContact{response.Incarnation, response.LeaderClock, f.now, response.HasQuorum, consecutive}
}

// isResponsive reports whether a possible leader has responded within the heartbeat timeout.
func (f *follower) isResponsive(index int) bool {
	contact, ok := f.contacts[index]
	return ok && f.now < contact.receivedAt+f.settings.heartbeatTimeout()
}

// chooseLeader chooses the leader to follow. It keeps a responsive leader, because a new one receives delegations only
// after those to the previous one have expired. It considers others if the leader has no quorum, and Parents that are
// preferred to the current one.
func (f *follower) chooseLeader() {
	best := f.leaderIndex
	if best >= 0 && !f.isResponsive(best) {
		best = -1
	}
	if f.hasParents() {
		best = f.chooseParent(best)
	} else if best < 0 || !f.contacts[best].hasQuorum {
		best = f.chooseMember(best)
	}
	if best == f.leaderIndex {
		return
	}
	f.leaderIndex = best
	f.counters.LeaderChanges++
	f.missedHeartbeats, f.pingCount = 0, 0
	if best >= 0 && f.hasParents() { // spread the pings of the children over the heartbeats
		f.pingCount = f.settings.Index % heartbeatsPerPing
	}
}

// chooseParent returns the first responsive parent in the order of preference. A parent that is preferred to the
// current one has to have given several consecutive responses.
func (f *follower) chooseParent(current int) int {
	for _, index := range f.preference {
		isStable := current < 0 || index >= current || f.contacts[index].consecutiveResponses >= responsesBeforeReturn
		if f.isResponsive(index) && isStable {
			return index
		}
	}
	return current
}

// chooseMember returns a responsive member that has a quorum, or otherwise the most preferred responsive member.
func (f *follower) chooseMember(current int) int {
	best := current
	for _, index := range f.preference {
		if !f.isResponsive(index) {
			continue
		}
		switch hasQuorum := best >= 0 && f.contacts[best].hasQuorum; {
		case best < 0, f.contacts[index].hasQuorum && !hasQuorum:
			best = index
		case !hasQuorum && slices.Index(f.preference, index) < slices.Index(f.preference, best):
			best = index
		}
	}
	return best
}

// pingMembers pings possible leaders in the group: several if the member follows no leader, otherwise one in each
// heartbeat until the leader has a quorum, so that members that follow two leaders after a partition find a common one.
// The preferred members are pinged more often.
func (f *follower) pingMembers() {
	count := 1
	if f.leaderIndex < 0 {
		count = maxPings
	} else if f.contacts[f.leaderIndex].hasQuorum {
		count = 0
	}
	const pingsPerOtherMember = 3 // one of this number of pings goes to any member
	for range min(count, f.settings.Nodes) {
		to := f.preference[f.pingCount%min(f.settings.Nodes, maxPings)]
		if f.pingCount++; count == 1 && f.pingCount%pingsPerOtherMember == 0 {
			to = f.preference[f.pingCount/pingsPerOtherMember%f.settings.Nodes]
		}
		if to != f.leaderIndex {
			f.send(to, LeaseRequest{})
		}
	}
}

// pingParents pings Parents. If the member follows none, it pings the first one, and more of the following ones with
// each heartbeat. Otherwise it pings a parent that is preferred to the current one: in each heartbeat if that parent is
// responsive, and else once in heartbeatsPerPing heartbeats.
func (f *follower) pingParents() {
	parents := f.settings.Parents
	if f.leaderIndex < 0 {
		for range min(1<<min(f.missedHeartbeats, 2), maxParentPings, parents) {
			contact, ok := f.contacts[f.pingCount%parents]
			if ok && f.missedHeartbeats == 0 && f.now < contact.receivedAt+2*f.settings.heartbeatTimeout() {
				f.pingCount++ // skip the parent that was just lost
			}
			f.send(f.pingCount%parents, LeaseRequest{})
			f.pingCount++
		}
		f.missedHeartbeats++
		return
	}
	f.missedHeartbeats = 0
	if f.pingCount++; f.leaderIndex == 0 {
		return
	}
	to := f.preference[f.pingCount/heartbeatsPerPing%f.leaderIndex]
	if f.pingCount%heartbeatsPerPing == 0 || f.isResponsive(to) {
		f.send(to, LeaseRequest{})
	}
}
