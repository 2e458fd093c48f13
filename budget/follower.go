package budget

import (
	"maps"
	"slices"
	"time"
)

// follower is the role of a member that chooses a leader, delegates reservations to it and requests units from it.
type follower struct {
	*base
	ownLeader *leader // leader role of the same member, which may follow itself

	preference           []int                 // indexes of possible leaders, the preferred one first
	contacts             map[int]leaderContact // contacts with possible leaders, by index
	leaderIndex          int                   // index of the leader that the member follows, -1 for none
	delegatedTo          uint64                // incarnation of the leader that the member has delegated to
	delegatedUntil       time.Duration         // until then the member delegates to no other leader
	nextHeartbeat        time.Duration
	pingCount            int // pings since the leader changed, plus heartbeats below Parents; selects the recipient
	missedHeartbeats     int // heartbeats without a responsive Parent
	lastSeq              uint64
	lastResponseSeq      uint64 // Seq of the latest response
	pending              map[uint64]pendingRequest
	unansweredRequests   map[ID]bool   // budgets with an unanswered call of Request
	fullRequestTo        uint64        // incarnation that the latest full request was sent to
	sendsPartialRequests bool          // requests between heartbeats contain only Wanted and Releases
	nextPartialRequest   time.Duration // earliest time of the next partial request
}

// pendingRequest is a request whose response has not arrived.
type pendingRequest struct {
	sentAt          time.Duration
	to              int
	concurrencyHeld []Amount
}

func newFollower(b *base, ownLeader *leader) follower {
	f := follower{base: b, ownLeader: ownLeader, contacts: map[int]leaderContact{}, leaderIndex: -1,
		delegatedUntil: b.recoveredAt, pending: map[uint64]pendingRequest{}, unansweredRequests: map[ID]bool{}}
	if b.settings.Parents > 0 {
		f.sendsPartialRequests = true
		f.preference = indexes(b.settings.Parents)
		return f
	}
	f.preference = indexes(b.settings.Nodes)
	slices.SortFunc(f.preference, compareLeaders)
	return f
}

// hasParents reports whether the possible leaders are Parents instead of members of the group.
func (f *follower) hasParents() bool { return f.settings.Parents > 0 }

// indexes returns the indexes from 0 to count-1.
func indexes(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}

// replaceParents removes all information that is kept by the index of a parent. Information kept by incarnation
// remains: delegations stay in force until they expire, and grants until the end of their term.
func (f *follower) replaceParents(parents int) {
	f.settings.Parents = parents
	f.preference = indexes(parents)
	f.leaderIndex, f.missedHeartbeats, f.pingCount, f.nextHeartbeat = -1, 0, 0, f.now
	clear(f.contacts)
}

// available implements Member.Available. For a part of a heartbeat interval after a denial (see denialsPerHeartbeat) no
// new request is sent, and the result is 0.
func (f *follower) available(id ID) int {
	account := f.account(id)
	if account == nil {
		return 0
	}
	if units := max(f.availableReservation(account), 0) + account.unusedGranted() +
		account.concurrency.idle; units > 0 {
		return units
	}
	wasDenied := account.deniedAt > 0 && f.now < account.deniedAt+f.settings.HeartbeatInterval/denialsPerHeartbeat
	if !f.isResponsive(f.leaderIndex) || f.isLeaving || wasDenied {
		return 0
	}
	return Requestable
}

// request requests units if none is available, and reports whether a RequestAnswered will follow.
func (f *follower) request(id ID, units int) bool {
	available := f.available(id)
	if account := f.accounts[id]; account != nil && available <= 0 {
		for range units {
			account.recordDemand(f.now, demandHistoryFactor*f.maxWantedUnits)
		}
		f.counters.Denied += int64(units)
		if available < 0 {
			account.unsentUnits += units
			account.hasPendingRequest = true
			f.unansweredRequests[id] = true
		}
	}
	return available < 0
}

// hasUnsentRequests reports whether there is a leader and wanted units that no request has named yet.
func (f *follower) hasUnsentRequests() bool {
	if f.leaderIndex >= 0 {
		for id := range f.unansweredRequests {
			if f.accounts[id].unsentUnits > 0 {
				return true
			}
		}
	}
	return false
}

// tick sends the heartbeat or the partial request that is due.
func (f *follower) tick() {
	if f.now >= f.nextHeartbeat || f.hasUnsentRequests() && f.now >= f.nextPartialRequest {
		f.sendRequest()
	}
}

// leaderHasQuorum reports whether more than half of the group follows the leader of this member.
func (f *follower) leaderHasQuorum() bool { return f.contacts[f.leaderIndex].hasQuorum }

// nextSend returns the time at which tick has a message to send.
func (f *follower) nextSend() time.Duration {
	if f.hasUnsentRequests() {
		return min(f.nextHeartbeat, f.nextPartialRequest)
	}
	return f.nextHeartbeat
}

// sendRequest sends the heartbeat if it is due, and otherwise a request for the wanted units.
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
	if f.sendsPartialRequests && !isHeartbeat && !f.isLeaving && f.fullRequestTo == leader.incarnation {
		f.sendPartialRequest(leader)
	} else {
		f.sendFullRequest(leader)
	}
}

// sendPartialRequest sends a request that contains Wanted and Releases, and leaves the delegations unchanged.
func (f *follower) sendPartialRequest(leader leaderContact) {
	request := LeaseRequest{LeaderClock: leader.leaderClock, Acknowledged: f.lastResponseSeq,
		ReleasesTo: leader.incarnation}
	if f.hasParents() {
		f.nextPartialRequest = f.now + f.settings.HeartbeatInterval/requestsPerHeartbeat
	}
	f.addWanted(&request)
	f.addReleases(&request, leader.incarnation)
	f.send(f.leaderIndex, request)
}

// sendFullRequest sends a request that renews delegations and concurrency leases. The delegations stay in force here
// until after the leader stops counting on them: the leader's delegation term starts when it sent the LeaderClock, and
// the longer recovery delay starts when the LeaderClock arrived here.
func (f *follower) sendFullRequest(leader leaderContact) {
	request := LeaseRequest{LeaderClock: leader.leaderClock, Leaving: f.isLeaving, Acknowledged: f.lastResponseSeq}
	if !f.isLeaving { // if leaving, units in use end within seconds and their leases expire
		request.ConcurrencyHeld = f.concurrencyHeld()
	}
	delegatedUntil := leader.receivedAt + f.settings.RecoveryDelay()
	if f.mayDelegate(leader) && delegatedUntil > f.now {
		request.Leader = leader.incarnation
		f.delegatedTo, f.delegatedUntil = leader.incarnation, max(f.delegatedUntil, delegatedUntil)
	}
	f.sweep()
	listed, maxListed := f.mustListCount(), MaxEntries
	if request.DelegatesUnlisted = request.Leader != 0 && listed <= MaxEntries/2; request.DelegatesUnlisted {
		maxListed -= listed
	}
	f.addWanted(&request)
	f.addDelegated(&request, delegatedUntil, maxListed)
	if request.DelegatesUnlisted {
		f.unlistedDelegatedUntil = max(f.unlistedDelegatedUntil, delegatedUntil)
	}
	if f.isLeaving {
		f.releaseGrants()
	}
	f.fullRequestTo = leader.incarnation
	if f.addReleases(&request, leader.incarnation); request.Leader == 0 && len(request.Releases) > 0 {
		request.ReleasesTo = leader.incarnation
	}
	f.send(f.leaderIndex, request)
}

// mayDelegate reports whether no other leader may count on delegations of the member, and the reservations belong to
// this incarnation.
func (f *follower) mayDelegate(leader leaderContact) bool {
	isUncommitted := f.now >= f.delegatedUntil || f.delegatedTo == leader.incarnation ||
		f.fault == faultTwoLeadersFollowed
	return isUncommitted && f.now >= f.recoveredAt && f.now >= f.noReservationUntil
}

// mustListCount returns the number of budgets of rules that a request has to list if it delegates the unlisted ones.
func (f *follower) mustListCount() (count int) {
	for _, account := range f.accounts {
		if account.rule != nil && account.allowsDelegation() && !f.account(account.ID).isIdle() {
			count++
		}
	}
	return count
}

// addDelegated adds the units that the member does not need, if the request delegates at all. Idle budgets of rules are
// delegated without being listed.
func (f *follower) addDelegated(request *LeaseRequest, until time.Duration, maxListed int) {
	for _, id := range f.ids() {
		account := f.account(id)
		isFull := len(request.Delegated) >= maxListed
		if account.rule != nil {
			isFull = !request.DelegatesUnlisted
		}
		if request.Leader == 0 || !account.allowsDelegation() || isFull {
			continue
		}
		reserved := f.shares(account).reserved
		if account.rule != nil && account.isIdle() {
			account.delegate(reserved, until)
		} else if units := f.unneededReservation(account, reserved); units > 0 || account.rule != nil {
			request.Delegated = append(request.Delegated, Amount{ID: id, Units: max(units, 0)})
			account.delegate(max(units, 0), until)
		}
	}
}

// unneededReservation returns the part of a reservation that is neither in use nor, according to the recent demand,
// needed soon.
func (f *follower) unneededReservation(account *account, reserved int) int {
	switch {
	case f.fault == faultUsedUnitsDelegated:
		return reserved
	case f.isLeaving:
		return reserved - len(account.reservationUses)
	}
	return reserved - max(len(account.reservationUses), len(account.recentDemand))
}

// releaseGrants releases all grants.
func (f *follower) releaseGrants() {
	for _, id := range f.ids() {
		account := f.accounts[id]
		for i := range account.grants {
			f.pendingReleases = append(f.pendingReleases, account.grants[i].release())
		}
		account.grants = nil
	}
}

// addWanted adds the wanted units of at most MaxEntries budgets.
func (f *follower) addWanted(request *LeaseRequest) {
	for _, id := range slices.SortedFunc(maps.Keys(f.unansweredRequests), ID.Compare) {
		if account := f.account(id); account.unsentUnits > 0 && len(request.Wanted) < MaxEntries {
			request.Wanted = append(request.Wanted, Amount{ID: id, Units: min(account.unsentUnits, f.maxWantedUnits)})
			account.unsentUnits, account.lastRequestSeq = 0, f.lastSeq+1
		}
	}
}

// addReleases adds at most MaxEntries releases of the leader's grants. It drops the releases of other leaders' grants:
// each leader numbers its own grants, so a leader would take them for releases of its own grants.
func (f *follower) addReleases(request *LeaseRequest, leader uint64) {
	f.pendingReleases = slices.DeleteFunc(f.pendingReleases, func(release pendingRelease) bool {
		return release.grantor != leader
	})
	count := min(len(f.pendingReleases), MaxEntries)
	for _, release := range f.pendingReleases[:count] {
		release.SinceUse = int64(f.now) - release.SinceUse
		request.Releases = append(request.Releases, release.Release)
	}
	f.pendingReleases = f.pendingReleases[count:]
}

func (f *follower) send(to int, request LeaseRequest) {
	f.lastSeq++
	request.Seq, request.Incarnation = f.lastSeq, f.incarnation
	f.pending[f.lastSeq] = pendingRequest{f.now, to, request.ConcurrencyHeld}
	delete(f.pending, f.lastSeq-maxPendingRequests)
	if f.isSelf(to) {
		f.requestFromSelf(&request)
		return
	}
	f.counters.Sent++
	f.actions = append(f.actions, SendRequest{To: to, Request: request})
}

// requestFromSelf passes a request to the leader role of the same member, and handles the response.
func (f *follower) requestFromSelf(request *LeaseRequest) {
	if f.isLeaving {
		return
	}
	if response, ok := f.ownLeader.handleRequest(f.settings.Index, request); ok {
		f.handleResponse(f.settings.Index, &response)
	}
}

// handleResponse handles a response and accepts its grants.
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
	if f.fault != faultRepeatedResponsesAccepted {
		delete(f.pending, response.Seq)
	}
	previous := f.contacts[from]
	f.updateContact(from, response)
	if response.DuplicateIndex {
		f.counters.DuplicateIndexes++
		f.noReservationUntil = max(f.noReservationUntil, f.now+f.settings.RecoveryDelay())
	}
	hadNoLeader := f.leaderIndex < 0
	if hadNoLeader {
		f.chooseLeader()
	}
	f.acceptGrants(request, response, previous)
	if from == f.leaderIndex {
		f.reportAnswered(response.Seq)
	}
	if hadNoLeader && f.hasParents() && f.leaderIndex >= 0 { // request wanted units before the next heartbeat
		f.nextHeartbeat = f.now
		f.sendRequest()
	}
}

// acceptGrants accepts the grants of a response. Their lease term starts when the request was sent, which is before the
// leader granted them.
func (f *follower) acceptGrants(request pendingRequest, response *LeaseResponse, previous leaderContact) {
	isLatest := response.Seq > f.lastResponseSeq
	f.recordConcurrencyRenewal(request, response.RenewsConcurrencyLeases, isLatest)
	for _, grant := range response.Grants {
		// If this is not the latest response, a later request may have reported to the leader that it did not
		// arrive.
		isAccepted := isLatest || f.fault == faultLateConcurrencyGrantsAccepted
		if account := f.accounts[grant.ID]; account != nil && account.isConcurrencyLimit() && isAccepted {
			f.acceptConcurrencyLease(account, request.sentAt, grant.Units)
		}
	}
	f.lastResponseSeq = max(f.lastResponseSeq, response.Seq)
	expiry := f.grantExpiry(request, response, previous)
	for _, grant := range response.Grants {
		account := f.accounts[grant.ID]
		if account != nil && account.isConcurrencyLimit() {
			continue
		}
		if account == nil || grant.Units <= 0 || expiry <= f.now {
			f.pendingReleases = append(f.pendingReleases, pendingRelease{Release{Grant: grant.Number},
				response.Incarnation})
			continue
		}
		account.deniedAt = 0
		account.grants = append(account.grants,
			heldGrant{grantor: response.Incarnation, number: grant.Number, units: grant.Units, until: expiry})
	}
}

// grantExpiry returns the time at which the grants of a response expire.
func (f *follower) grantExpiry(request pendingRequest, response *LeaseResponse, previous leaderContact) time.Duration {
	termStart := request.sentAt
	switch {
	case f.fault == faultTermFromResponse:
		termStart = f.now
	case f.fault == faultTermFromLeaderSend && previous.incarnation == response.Incarnation:
		termStart = previous.receivedAt + response.LeaderClock - previous.leaderClock
	case f.fault == faultTermByLeaderClock:
		termStart = response.LeaderClock
	}
	return termStart + f.settings.LeaseTerm
}

// reportAnswered reports as answered the wanted budgets whose units were all named in requests up to Seq seq, the one
// of the response.
func (f *follower) reportAnswered(seq uint64) {
	for _, id := range slices.SortedFunc(maps.Keys(f.unansweredRequests), ID.Compare) {
		account := f.accounts[id]
		if account.unsentUnits > 0 || seq < account.lastRequestSeq {
			continue
		}
		delete(f.unansweredRequests, id)
		if account.hasPendingRequest = false; account.unusedGranted()+account.concurrency.idle == 0 {
			account.deniedAt = f.now
		}
		f.actions = append(f.actions, RequestAnswered{id})
	}
}

// handleLeaderLeaving shortens the delegations to a leaving leader to the time until its grants have no more effect,
// and schedules the choice of another leader.
func (f *follower) handleLeaderLeaving(from int, response *LeaseResponse) {
	if f.contacts[from].incarnation != response.Incarnation {
		return
	}
	delete(f.contacts, from)
	effectEnd := f.now + f.settings.withDrift(max(response.GrantsExpireIn, 0))
	if f.delegatedTo == response.Incarnation {
		f.delegatedUntil = min(f.delegatedUntil, effectEnd)
		for _, account := range f.accounts {
			for i := range account.delegations {
				account.delegations[i].until = min(account.delegations[i].until, effectEnd)
			}
		}
	}
	f.nextHeartbeat = f.now
	if f.hasParents() { // spread the children over half a heartbeat interval
		const slots = 16
		f.nextHeartbeat += f.settings.HeartbeatInterval / 2 * time.Duration(f.settings.Index%slots) / slots
	}
}
