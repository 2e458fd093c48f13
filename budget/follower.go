package budget

import (
	"maps"
	"slices"
	"time"
)

// follower is the role of a member that asks: it chooses a leader, delegates to it and requests units.
type follower struct {
	*base
	self *leader // of the same member, which it may follow

	preference    []int                 // indexes of possible leaders, the preferred one first
	contacts      map[int]leaderContact // by index
	leaderIndex   int                   // of the leader that is followed, -1 for none
	boundTo       uint64                // incarnation that delegations go to
	boundUntil    time.Duration         // until then they may go to no other
	nextHeartbeat time.Duration
	pings         int // since the leader changed, and heartbeats below parents: whom to ping next
	missed        int // heartbeats without a parent that responds
	seq           uint64
	acknowledged  uint64 // the latest response
	pending       map[uint64]pendingRequest
	wanted        map[ID]bool   // budgets with a Request that is not answered
	fullRequestTo uint64        // incarnation that the latest full request went to
	wantsOnly     bool          // between heartbeats a request names wants and releases alone
	nextWantsOnly time.Duration // no such request before
}

// pendingRequest is one whose response has not come.
type pendingRequest struct {
	at              time.Duration
	to              int
	concurrencyHeld []Amount
}

func newFollower(b *base, self *leader) follower {
	f := follower{base: b, self: self, contacts: map[int]leaderContact{}, leaderIndex: -1, boundUntil: b.recoveredAt,
		pending: map[uint64]pendingRequest{}, wanted: map[ID]bool{}}
	if b.settings.Parents > 0 {
		f.wantsOnly = true
		f.preference = countUp(b.settings.Parents)
		return f
	}
	f.preference = countUp(b.settings.Nodes)
	slices.SortFunc(f.preference, compareLeaders)
	return f
}

// hasParents tells that possible leaders are Parents, not members of the group.
func (f *follower) hasParents() bool { return f.settings.Parents > 0 }

func countUp(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// replaceParents forgets the parents by their indexes. What is known by incarnation stays: delegations bind until they
// end, and grants expire with their term.
func (f *follower) replaceParents(parents int) {
	f.settings.Parents = parents
	f.preference = countUp(parents)
	f.leaderIndex, f.missed, f.pings, f.nextHeartbeat = -1, 0, 0, f.now
	clear(f.contacts)
}

// available is Member.Available. After a denial the leader is not asked again for a while.
func (f *follower) available(id ID) int {
	a := f.account(id)
	if a == nil {
		return 0
	}
	if units := max(f.reservedLeft(a), 0) + a.leased() + a.concurrency.idle; units > 0 {
		return units
	}
	wasDenied := a.deniedAt > 0 && f.now < a.deniedAt+f.settings.HeartbeatInterval/denialsPerHeartbeat
	if !f.isResponsive(f.leaderIndex) || f.leaving || wasDenied {
		return 0
	}
	return Requestable
}

// request asks for units where none is available, and tells whether an answer will come.
func (f *follower) request(id ID, units int) bool {
	available := f.available(id)
	if a := f.accounts[id]; a != nil && available <= 0 {
		for range units {
			a.noteDemand(f.now, demandPerWanted*f.maxWanted)
		}
		f.counters.Denied += int64(units)
		if available < 0 {
			a.unsent += units
			a.isWaiting = true
			f.wanted[id] = true
		}
	}
	return available < 0
}

// hasUnsent tells whether a request is to be sent for what is wanted.
func (f *follower) hasUnsent() bool {
	if f.leaderIndex >= 0 {
		for id := range f.wanted {
			if f.accounts[id].unsent > 0 {
				return true
			}
		}
	}
	return false
}

// tick sends what is due.
func (f *follower) tick() {
	if f.now >= f.nextHeartbeat || f.hasUnsent() && f.now >= f.nextWantsOnly {
		f.sendRequest()
	}
}

// leaderHasQuorum tells whether more than half of the group follow the leader of this member.
func (f *follower) leaderHasQuorum() bool { return f.contacts[f.leaderIndex].hasQuorum }

// due is when tick has something to send.
func (f *follower) due() time.Duration {
	if f.hasUnsent() {
		return min(f.nextHeartbeat, f.nextWantsOnly)
	}
	return f.nextHeartbeat
}

// sendRequest sends the heartbeat if it is due, else a request for what is wanted.
func (f *follower) sendRequest() {
	isHeartbeat := f.now >= f.nextHeartbeat
	if isHeartbeat {
		f.nextHeartbeat = f.now + f.settings.HeartbeatInterval
		f.chooseLeader()
		if f.hasParents() {
			f.pingParents()
		} else {
			f.pingMembers()
		}
	}
	if f.leaderIndex < 0 {
		return
	}
	leader := f.contacts[f.leaderIndex]
	if f.wantsOnly && !isHeartbeat && !f.leaving && f.fullRequestTo == leader.incarnation {
		f.sendWants(leader)
	} else {
		f.sendFull(leader)
	}
}

// sendWants sends a request that leaves delegations as they are.
func (f *follower) sendWants(leader leaderContact) {
	request := LeaseRequest{LeaderClock: leader.clock, Acknowledged: f.acknowledged, ReleasesTo: leader.incarnation}
	if f.hasParents() {
		f.nextWantsOnly = f.now + f.settings.HeartbeatInterval/requestsPerHeartbeat
	}
	f.addWanted(&request)
	f.addReleases(&request, leader.incarnation)
	f.send(f.leaderIndex, request)
}

// sendFull sends a request that renews delegations and concurrency leases. Delegations bind until after the leader
// stops counting on them: it counts from when it sent the LeaderClock, which was before it came here.
func (f *follower) sendFull(leader leaderContact) {
	request := LeaseRequest{LeaderClock: leader.clock, Leaving: f.leaving, Acknowledged: f.acknowledged}
	if !f.leaving { // else the units in use end in the next seconds, and their leases expire
		request.ConcurrencyHeld = f.concurrencyHeld()
	}
	boundUntil := leader.at + f.settings.RecoveryDelay()
	if f.mayDelegate(leader) && boundUntil > f.now {
		request.Leader = leader.incarnation
		f.boundTo, f.boundUntil = leader.incarnation, max(f.boundUntil, boundUntil)
	}
	f.sweep()
	inUse, maxNamed := f.delegatedInUse(), MaxEntries
	if request.DelegatesUnlisted = request.Leader != 0 && inUse <= MaxEntries/2; request.DelegatesUnlisted {
		maxNamed -= inUse
	}
	f.addWanted(&request)
	f.addDelegated(&request, boundUntil, maxNamed)
	if request.DelegatesUnlisted {
		f.restDelegatedUntil = max(f.restDelegatedUntil, boundUntil)
	}
	if f.leaving {
		f.releaseGrants()
	}
	f.fullRequestTo = leader.incarnation
	if f.addReleases(&request, leader.incarnation); request.Leader == 0 && len(request.Releases) > 0 {
		request.ReleasesTo = leader.incarnation
	}
	f.send(f.leaderIndex, request)
}

// mayDelegate tells whether no other leader may count on the member, and the reservations are this incarnation's.
func (f *follower) mayDelegate(leader leaderContact) bool {
	isFree := f.now >= f.boundUntil || f.boundTo == leader.incarnation || f.fault == faultTwoLeaders
	return isFree && f.now >= f.recoveredAt && f.now >= f.noReservationUntil
}

// delegatedInUse counts the budgets of rules that a request would have to name to delegate the rest.
func (f *follower) delegatedInUse() (count int) {
	for _, a := range f.accounts {
		if a.rule != nil && a.isDelegated() && !f.account(a.ID).isIdle() {
			count++
		}
	}
	return count
}

// addDelegated delegates what the member has no use for, where the request says that it follows. Budgets of rules that
// are idle are delegated without a name.
func (f *follower) addDelegated(request *LeaseRequest, until time.Duration, maxNamed int) {
	for _, id := range f.ids() {
		a := f.account(id)
		isFull := len(request.Delegated) >= maxNamed
		if a.rule != nil {
			isFull = !request.DelegatesUnlisted
		}
		if request.Leader == 0 || !a.isDelegated() || isFull {
			continue
		}
		reserved := f.shares(a).reserved
		if a.rule != nil && a.isIdle() {
			a.delegate(reserved, until)
		} else if units := f.unneeded(a, reserved); units > 0 || a.rule != nil {
			request.Delegated = append(request.Delegated, Amount{ID: id, Units: max(units, 0)})
			a.delegate(max(units, 0), until)
		}
	}
}

// unneeded is what of a reservation is neither in use nor, by recent demand, will be.
func (f *follower) unneeded(a *account, reserved int) int {
	switch {
	case f.fault == faultUsedDelegated:
		return reserved
	case f.leaving:
		return reserved - len(a.spent)
	}
	return reserved - max(len(a.spent), len(a.demand))
}

// releaseGrants gives up all grants.
func (f *follower) releaseGrants() {
	for _, id := range f.ids() {
		a := f.accounts[id]
		for i := range a.grants {
			f.released = append(f.released, a.grants[i].release())
		}
		a.grants = nil
	}
}

// addWanted adds what is wanted, as far as there is room.
func (f *follower) addWanted(request *LeaseRequest) {
	for _, id := range slices.SortedFunc(maps.Keys(f.wanted), ID.Compare) {
		if a := f.account(id); a.unsent > 0 && len(request.Wanted) < MaxEntries {
			request.Wanted = append(request.Wanted, Amount{ID: id, Units: min(a.unsent, f.maxWanted)})
			a.unsent, a.requestSeq = 0, f.seq+1
		}
	}
}

// addReleases adds releases of the leader's grants, as far as there is room. Those of other leaders are dropped: grants
// are numbered by each leader, which would take them for its own.
func (f *follower) addReleases(request *LeaseRequest, leader uint64) {
	f.released = slices.DeleteFunc(f.released, func(r releasedGrant) bool { return r.grantor != leader })
	count := min(len(f.released), MaxEntries)
	for _, r := range f.released[:count] {
		r.SinceUse = int64(f.now) - r.SinceUse
		request.Releases = append(request.Releases, r.Release)
	}
	f.released = f.released[count:]
}

func (f *follower) send(to int, request LeaseRequest) {
	f.seq++
	request.Seq, request.Incarnation = f.seq, f.incarnation
	f.pending[f.seq] = pendingRequest{f.now, to, request.ConcurrencyHeld}
	delete(f.pending, f.seq-maxPendingRequests)
	if f.isSelf(to) {
		f.requestFromSelf(&request)
		return
	}
	f.counters.Sent++
	f.actions = append(f.actions, SendRequest{To: to, Request: request})
}

// requestFromSelf has the member's own leader answer at once.
func (f *follower) requestFromSelf(request *LeaseRequest) {
	if f.leaving {
		return
	}
	if response, ok := f.self.handleRequest(f.settings.Index, request); ok {
		f.handleResponse(f.settings.Index, &response)
	}
}

// handleResponse takes in a response, and with it the grants of its leader.
func (f *follower) handleResponse(from int, response *LeaseResponse) {
	if response.Leaving && response.Follower == f.incarnation {
		f.handleLeaderLeaving(from, response)
		return
	}
	request, ok := f.pending[response.Seq]
	if !ok || request.to != from || response.Follower != f.incarnation {
		f.counters.Stale++
		return
	}
	if f.fault != faultRepeatsAccepted {
		delete(f.pending, response.Seq)
	}
	before := f.contacts[from]
	f.updateContact(from, response)
	if response.DuplicateIndex {
		f.counters.DuplicateIndexes++
		f.noReservationUntil = max(f.noReservationUntil, f.now+f.settings.RecoveryDelay())
	}
	isFirst := f.leaderIndex < 0
	if isFirst {
		f.chooseLeader()
	}
	f.acceptGrants(request, response, before)
	if from == f.leaderIndex {
		f.answerRequests(response.Seq)
	}
	if isFirst && f.hasParents() && f.leaderIndex >= 0 { // what is wanted need not wait for the next heartbeat
		f.nextHeartbeat = f.now
		f.sendRequest()
	}
}

// acceptGrants takes in the grants of a response. Their term runs from the request, which was before the grant.
func (f *follower) acceptGrants(request pendingRequest, response *LeaseResponse, before leaderContact) {
	isLatest := response.Seq > f.acknowledged
	f.renewConcurrencyHeld(request, response.RenewsConcurrencyLeases, isLatest)
	for _, g := range response.Grants {
		// The leader was told by a later request that an earlier response did not come.
		isAccepted := isLatest || f.fault == faultLateConcurrencyGrants
		if a := f.accounts[g.ID]; a != nil && a.isConcurrencyLimit() && isAccepted {
			f.acceptConcurrencyLease(a, request.at, g.Units)
		}
	}
	f.acknowledged = max(f.acknowledged, response.Seq)
	end := f.grantEnd(request, response, before)
	for _, g := range response.Grants {
		a := f.accounts[g.ID]
		if a != nil && a.isConcurrencyLimit() {
			continue
		}
		if a == nil || g.Units <= 0 || end <= f.now {
			f.released = append(f.released, releasedGrant{Release{Grant: g.Number}, response.Incarnation})
			continue
		}
		a.deniedAt = 0
		a.grants = append(a.grants,
			heldGrant{grantor: response.Incarnation, number: g.Number, units: g.Units, until: end})
	}
}

// grantEnd is when the grants of a response expire.
func (f *follower) grantEnd(request pendingRequest, response *LeaseResponse, before leaderContact) time.Duration {
	begin := request.at
	switch {
	case f.fault == faultTermFromResponse:
		begin = f.now
	case f.fault == faultTermFromLeaderSend && before.incarnation == response.Incarnation:
		begin = before.at + response.LeaderClock - before.clock
	case f.fault == faultTermByLeaderClock:
		begin = response.LeaderClock
	}
	return begin + f.settings.LeaseTerm
}

// answerRequests says which of the wanted budgets were named in a request up to that of the response.
func (f *follower) answerRequests(seq uint64) {
	for _, id := range slices.SortedFunc(maps.Keys(f.wanted), ID.Compare) {
		a := f.accounts[id]
		if a.unsent > 0 || seq < a.requestSeq {
			continue
		}
		delete(f.wanted, id)
		if a.isWaiting = false; a.leased()+a.concurrency.idle == 0 {
			a.deniedAt = f.now
		}
		f.actions = append(f.actions, RequestAnswered{id})
	}
}

// handleLeaderLeaving ends what binds to a leader when the effect of its grants has ended, and looks for another.
func (f *follower) handleLeaderLeaving(from int, response *LeaseResponse) {
	if f.contacts[from].incarnation != response.Incarnation {
		return
	}
	delete(f.contacts, from)
	until := f.now + f.settings.withDrift(max(response.GrantsExpireIn, 0))
	if f.boundTo == response.Incarnation {
		f.boundUntil = min(f.boundUntil, until)
		for _, a := range f.accounts {
			for i := range a.delegations {
				a.delegations[i].until = min(a.delegations[i].until, until)
			}
		}
	}
	f.nextHeartbeat = f.now
	if f.hasParents() { // not all children at once
		const slots = 16
		f.nextHeartbeat += f.settings.HeartbeatInterval / 2 * time.Duration(f.settings.Index%slots) / slots
	}
}
