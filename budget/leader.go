package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// leader is the role of a member that grants. It counts on a delegation for less time than it binds its giver.
type leader struct {
	*base
	followers         map[int]*followerRecord // by index
	commitments       []commitment            // of the followers, by their ends
	lapsing           int                     // so many commitments end before the effect of a grant of now
	restDelegators    indexCounter            // followers that are counted and delegate the rest
	grants            grantHeap
	grantsByNumber    map[uint64]*leaderGrant
	pools             map[ID]*pool
	lastGrant         uint64 // its number
	concurrencyLeases map[concurrencyLeaseKey]*concurrencyLease
	quorumSince       time.Duration // more than half have followed without a break from then,
	quorumUntil       time.Duration // until then
}

// followerRecord is what a leader knows of a member.
type followerRecord struct {
	incarnation   uint64
	rival         uint64 // another incarnation with its index
	isDuplicate   bool   // both were heard since
	seq           uint64 // of its latest request
	until         time.Duration
	delegated     map[ID]int // units by name
	delegatesRest bool
	counted       bool // delegated and delegatesRest are in the leader's sums
}

func newLeader(b *base) leader {
	return leader{base: b, followers: map[int]*followerRecord{}, grantsByNumber: map[uint64]*leaderGrant{},
		pools: map[ID]*pool{}, concurrencyLeases: map[concurrencyLeaseKey]*concurrencyLease{}}
}

// handleRequest takes in a request and gives the response, unless there is none.
func (l *leader) handleRequest(from int, request *LeaseRequest) (response LeaseResponse, ok bool) {
	response, isCurrent, ok := l.accept(from, request)
	if !ok || request.Leaving {
		return response, ok
	}
	hasQuorum := l.hasQuorum()
	if isCurrent {
		l.renewConcurrencyLeases(from, request)
		response.RenewsConcurrencyLeases = hasQuorum
	}
	for _, wanted := range request.Wanted {
		if a := l.account(wanted.ID); a != nil && a.isConcurrencyLimit() {
			if units := l.leaseConcurrency(from, request, a, wanted.Units, hasQuorum && isCurrent); units > 0 {
				response.Grants = append(response.Grants, Grant{ID: wanted.ID, Units: units})
			}
			continue
		}
		if units := min(wanted.Units, l.maxWanted, l.available(wanted.ID, hasQuorum)); units > 0 {
			number := l.grant(from, request.Incarnation, wanted.ID, units)
			response.Grants = append(response.Grants, Grant{ID: wanted.ID, Units: units, Number: number})
		}
	}
	response.HasQuorum = hasQuorum
	return response, true
}

// accept records what a request says of its sender, and gives the response without grants; isCurrent tells that the
// sender is the incarnation that counts as the node. A request that is late or repeated has no response.
func (l *leader) accept(from int, request *LeaseRequest) (response LeaseResponse, isCurrent, ok bool) {
	l.expire()
	f := l.followers[from]
	if f == nil || f.incarnation != request.Incarnation && l.now >= f.until {
		f = &followerRecord{incarnation: request.Incarnation}
		l.followers[from] = f
	}
	isDuplicate := f.identify(request)
	isCurrent = f.incarnation == request.Incarnation
	if isCurrent && request.Seq <= f.seq { // what it says has been said anew
		return response, true, false
	} else if isCurrent {
		f.seq = request.Seq
		l.acceptDelegation(from, f, request)
	}
	if cmp.Or(request.Leader, request.ReleasesTo) == l.incarnation {
		for _, r := range request.Releases {
			l.release(from, request.Incarnation, r)
		}
	}
	return LeaseResponse{Incarnation: l.incarnation, Seq: request.Seq, LeaderClock: l.now,
		Follower: request.Incarnation, DuplicateIndex: isDuplicate}, isCurrent, true
}

// identify tells whether a request is of a second process with the same index, each of which would use the node's
// reservation. An incarnation that follows has waited until all of the one before it has ended, so it finds no other
// that follows.
func (f *followerRecord) identify(request *LeaseRequest) (isDuplicate bool) {
	if f.incarnation == request.Incarnation {
		f.isDuplicate = f.isDuplicate || f.rival != 0
		return false
	}
	f.rival, f.isDuplicate = request.Incarnation, f.isDuplicate && f.rival == request.Incarnation
	return f.isDuplicate || request.Leader != 0
}

// acceptDelegation replaces what a follower has delegated, where the request says that it follows this incarnation.
func (l *leader) acceptDelegation(from int, f *followerRecord, request *LeaseRequest) {
	until := request.LeaderClock + l.settings.leaderHoldTime()
	if request.Leader != l.incarnation || until <= l.now {
		return
	}
	l.removeCommitment(from, f)
	f.until, f.delegated, f.delegatesRest = until, map[ID]int{}, request.DelegatesUnlisted
	for _, d := range request.Delegated {
		f.delegated[d.ID] = max(d.Units, 0)
	}
	l.addCommitment(from, f)
}

// grant reserves units for an incarnation of a node, and gives the number of the grant.
func (l *leader) grant(to int, incarnation uint64, id ID, units int) uint64 {
	l.lastGrant++
	l.counters.Granted += int64(units)
	if units > 0 {
		l.reserve(&leaderGrant{number: l.lastGrant, id: id, node: to, incarnation: incarnation, units: units,
			until: l.now + l.settings.effectSpan(l.accounts[id].Window)})
	}
	return l.lastGrant
}

// hasQuorum tells whether more than half follow until after the effect of a grant of now. It notes since when more than
// half have followed without a break: until it breaks no other member has a quorum.
func (l *leader) hasQuorum() bool {
	l.expire()
	last := len(l.commitments) - 1 - l.settings.Nodes/2
	if last < 0 {
		l.quorumUntil = min(l.quorumUntil, l.now)
		return false
	}
	until := l.commitments[last].until
	lasts := until >= l.now+l.settings.effectHorizon()
	if l.now >= l.quorumUntil {
		if !lasts {
			return false
		}
		l.quorumSince = l.now
	}
	l.quorumUntil = until
	return lasts
}

// setRule defines the budgets of a kind. The reservations of followers may be others by it.
func (l *leader) setRule(kind uint8, rule Rule) {
	for node, f := range l.followers {
		if f.counted {
			l.count(node, f, -1)
			defer l.count(node, f, 1)
		}
	}
	l.rules[kind] = rule
	l.hasConcurrency = l.hasConcurrency || rule.isConcurrencyLimit()
}

// followerCount is the number of members whose delegation has not ended.
func (l *leader) followerCount() int {
	l.expire()
	return len(l.commitments)
}

// leavingResponses tells the followers but one that this leader grants no more, and how long its grants may have
// effect.
func (l *leader) leavingResponses(except int) (responses []SendResponse) {
	last := l.now
	for _, g := range l.grants {
		last = max(last, g.until)
	}
	for _, node := range slices.Sorted(maps.Keys(l.followers)) {
		if f := l.followers[node]; node != except && l.now < f.until {
			responses = append(responses, SendResponse{To: node, Response: LeaseResponse{Incarnation: l.incarnation,
				Follower: f.incarnation, GrantsExpireIn: last - l.now, Leaving: true}})
		}
	}
	return responses
}
