package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// leader is the role of a member that grants units. It counts on a delegation for a shorter time than the follower that
// has delegated refrains from using it.
type leader struct {
	*base
	followers          map[int]*followerRecord // by index
	expiries           []delegationExpiry      // of the followers' delegations, ordered by time
	expiringSoonCount  int                     // number of expiries before the last effect of a grant made now
	unlistedDelegators indexCounter            // counted followers that delegate unlisted budgets
	grants             grantHeap
	grantsByNumber     map[uint64]*leaderGrant
	totals             map[ID]*budgetTotals
	lastGrantNumber    uint64 // Number of the latest grant
	concurrencyLeases  map[concurrencyLeaseKey]*concurrencyLease
	quorumSince        time.Duration // start of the uninterrupted time in which more than half follow
	quorumUntil        time.Duration // end of that time
}

// followerRecord holds the leader's information about a member.
type followerRecord struct {
	incarnation       uint64
	otherIncarnation  uint64        // latest other incarnation that has sent requests with the same index
	isDuplicate       bool          // a request of incarnation has arrived after one of otherIncarnation
	replaced          uint64        // the incarnation that this one has replaced; 0 for none
	requestedAt       time.Duration // arrival of the latest request of incarnation
	seq               uint64        // Seq of its latest request
	delegatedUntil    time.Duration
	delegated         map[ID]int // units of the listed budgets
	delegatesUnlisted bool
	isCounted         bool // the delegations are included in the leader's totals
}

func newLeader(b *base) leader {
	return leader{base: b, followers: map[int]*followerRecord{}, grantsByNumber: map[uint64]*leaderGrant{},
		totals: map[ID]*budgetTotals{}, concurrencyLeases: map[concurrencyLeaseKey]*concurrencyLease{}}
}

// handleRequest handles a request and returns the response; ok is false if there is none.
func (l *leader) handleRequest(from int, request *LeaseRequest) (response LeaseResponse, ok bool) {
	response, isCurrent, ok := l.acceptRequest(from, request)
	if !ok || request.Leaving {
		return response, ok
	}
	hasQuorum := l.hasQuorum()
	if isCurrent {
		l.renewConcurrencyLeases(from, request)
		response.RenewsConcurrencyLeases = hasQuorum
	}
	for _, wanted := range request.Wanted {
		if account := l.account(wanted.ID); account != nil && account.isConcurrencyLimit() {
			if units := l.leaseConcurrency(from, request, account, wanted.Units, hasQuorum && isCurrent); units > 0 {
				response.Grants = append(response.Grants, Grant{ID: wanted.ID, Units: units})
			}
			continue
		}
		if units := min(wanted.Units, l.maxWantedUnits, l.available(wanted.ID, hasQuorum)); units > 0 {
			number := l.grant(from, request.Incarnation, wanted.ID, units)
			response.Grants = append(response.Grants, Grant{ID: wanted.ID, Units: units, Number: number})
		}
	}
	response.HasQuorum = hasQuorum
	return response, true
}

// acceptRequest records the delegations and releases of a request, and returns the response without grants. isCurrent
// reports whether the sender is the incarnation that the leader accepts for the node. A late or duplicated request has
// no response; ok is then false.
func (l *leader) acceptRequest(from int, request *LeaseRequest) (response LeaseResponse, isCurrent, ok bool) {
	l.expire()
	record, isDuplicate := l.recordOf(from, request)
	isCurrent = record.incarnation == request.Incarnation
	if isCurrent && request.Seq <= record.seq { // a later request has replaced its content
		return response, true, false
	} else if isCurrent {
		record.seq = request.Seq
		l.acceptDelegation(from, record, request)
	}
	if cmp.Or(request.Leader, request.ReleasesTo) == l.incarnation {
		for _, release := range request.Releases {
			l.release(from, request.Incarnation, release)
		}
	}
	return LeaseResponse{Incarnation: l.incarnation, Seq: request.Seq, LeaderClock: l.now,
		Follower: request.Incarnation, DuplicateIndex: isDuplicate}, isCurrent, true
}

// recordOf returns the record of a request's sender, and whether the request is from a second process with the same
// index. A record without delegations in force is replaced when another incarnation sends a request, since the recorded
// one may have crashed. A request of an incarnation that was replaced comes from a process that runs beside its
// successor, provided that the successor has sent a request within the heartbeat timeout.
func (l *leader) recordOf(from int, request *LeaseRequest) (record *followerRecord, isDuplicate bool) {
	record = l.followers[from]
	switch {
	case record == nil:
		record = &followerRecord{incarnation: request.Incarnation}
	case record.incarnation == request.Incarnation || l.now < record.delegatedUntil:
	case record.replaced == request.Incarnation && l.now < record.requestedAt+l.settings.heartbeatTimeout():
		return record, true
	default:
		record = &followerRecord{incarnation: request.Incarnation, replaced: record.incarnation}
	}
	l.followers[from] = record
	if record.incarnation == request.Incarnation {
		record.requestedAt = l.now
	}
	return record, record.detectDuplicate(request)
}

// detectDuplicate reports whether a request is from a second process with the same index; both processes would use the
// node's reservation. An incarnation delegates only after everything of an earlier incarnation has expired, so a
// delegation from another incarnation while the delegations of the recorded one are in force comes from a duplicate.
func (r *followerRecord) detectDuplicate(request *LeaseRequest) (isDuplicate bool) {
	if r.incarnation == request.Incarnation {
		r.isDuplicate = r.isDuplicate || r.otherIncarnation != 0
		return false
	}
	r.otherIncarnation, r.isDuplicate = request.Incarnation, r.isDuplicate && r.otherIncarnation == request.Incarnation
	return r.isDuplicate || request.Leader != 0
}

// acceptDelegation replaces the delegations of a follower if the request delegates to this incarnation of the leader
// and the delegation term has not expired.
func (l *leader) acceptDelegation(from int, record *followerRecord, request *LeaseRequest) {
	until := request.LeaderClock + l.settings.delegationTerm()
	if request.Leader != l.incarnation || until <= l.now {
		return
	}
	l.removeDelegation(from, record)
	record.delegatedUntil, record.delegated, record.delegatesUnlisted = until, map[ID]int{}, request.DelegatesUnlisted
	for _, d := range request.Delegated {
		record.delegated[d.ID] = max(d.Units, 0)
	}
	l.addDelegation(from, record)
}

// grant records a grant of units to an incarnation of a node, and returns the number of the grant.
func (l *leader) grant(to int, incarnation uint64, id ID, units int) uint64 {
	l.lastGrantNumber++
	l.counters.Granted += int64(units)
	if units > 0 {
		l.recordGrant(&leaderGrant{number: l.lastGrantNumber, id: id, node: to, incarnation: incarnation, units: units,
			effectUntil: l.now + l.settings.effectDuration(l.accounts[id].Window)})
	}
	return l.lastGrantNumber
}

// hasQuorum reports whether more than half of the group follows until after the last effect of a grant made now. It
// also records the uninterrupted time in which more than half have followed; during this time no other member has a
// quorum.
func (l *leader) hasQuorum() bool {
	l.expire()
	majorityIndex := len(l.expiries) - 1 - l.settings.Nodes/2
	if majorityIndex < 0 {
		l.quorumUntil = min(l.quorumUntil, l.now)
		return false
	}
	until := l.expiries[majorityIndex].until
	isLasting := until >= l.now+l.settings.maxEffectDuration()
	if l.now >= l.quorumUntil {
		if !isLasting {
			return false
		}
		l.quorumSince = l.now
	}
	l.quorumUntil = until
	return isLasting
}

// setRule defines the budgets of a kind. It recalculates the totals, since the rule may change the reservations of
// followers.
func (l *leader) setRule(kind uint8, rule Rule) {
	for node, record := range l.followers {
		if record.isCounted {
			l.adjustTotals(node, record, -1)
			defer l.adjustTotals(node, record, 1)
		}
	}
	l.rules[kind] = rule
	l.hasConcurrencyLimits = l.hasConcurrencyLimits || rule.isConcurrencyLimit()
}

// followerCount returns the number of members whose delegations have not expired.
func (l *leader) followerCount() int {
	l.expire()
	return len(l.expiries)
}

// leavingResponses returns the responses that inform all followers except one that this leader grants no more units,
// and how long its grants may have effect.
func (l *leader) leavingResponses(exceptIndex int) (responses []SendResponse) {
	lastEffect := l.now
	for _, grant := range l.grants {
		lastEffect = max(lastEffect, grant.effectUntil)
	}
	for _, node := range slices.Sorted(maps.Keys(l.followers)) {
		if record := l.followers[node]; node != exceptIndex && l.now < record.delegatedUntil {
			responses = append(responses, SendResponse{To: node, Response: LeaseResponse{Incarnation: l.incarnation,
				Follower: record.incarnation, GrantsExpireIn: lastEffect - l.now, Leaving: true}})
		}
	}
	return responses
}
