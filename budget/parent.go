package budget

import (
	"math"
	"slices"
	"time"
)

// Parent implements the roles of a control machine: it is the leader of the nodes that follow it, its children, and a
// member of the group that the control machines form. It grants to a child units that its children have delegated, and
// units that it acquires in the group. A unit counts as used in the group when it is granted to a child, in a window
// that is longer by the lease term of children, so no quorum of children is needed. A Parent does not grant units of
// concurrency limits; children have only their reservations of them. Parent is not safe for concurrent use.
type Parent struct {
	children         leader
	group            *Member
	actions          []Action
	deferred         []*deferredResponse // in the order in which they are due
	deferredByChild  map[int]int         // number of deferred responses by child
	nextGroupRequest time.Duration       // earliest time of the next request to the group
	hasGroupAnswer   bool                // the group has answered a request since deferred responses were last checked
	Counters         ParentCounters

	fault         fault
	releasedUnits map[ID]int // units that faultReleasedUnitsRegranted grants again
}

// deferredResponse is a response to a child that waits until the group has granted units, at most until a time.
type deferredResponse struct {
	to       int
	response LeaseResponse
	wanted   []Amount // units that are not granted yet
	until    time.Duration
}

// ParentCounters count events since the start of a Parent.
type ParentCounters struct {
	Requests, Deferred         int64 // requests of children; responses that were deferred
	FromChildren, FromGroup    int64 // units granted from delegations of children; from the group
	Unknown, DeferralOverflows int64 // messages of no child; responses not deferred because too many were
}

// ParentState describes the roles of a Parent towards its children and in the control machines' group.
type ParentState struct {
	Children int   // children that follow the Parent
	Deferred int   // deferred responses
	Group    State // state of the member of the control machines' group
}

const (
	maxDeferred               = 1024 // deferred responses to all children
	maxDeferredPerChild       = 4    // deferred responses to one child
	deferralDivisor           = 8    // a response is deferred for at most HeartbeatInterval/deferralDivisor
	groupRequestsPerHeartbeat = 16   // most requests to the group in a heartbeat interval of children
	maxWantedFromGroup        = 1024 // units of one budget in one request to the group
)

// NewParent returns a Parent at the start of its process. The settings are those of its children: Nodes is the number
// of their indexes, LeaseTerm the time in which a child uses a grant. The member of the group must be new. It belongs
// to the Parent afterwards, and its windows are lengthened and its ChildFraction is set.
func NewParent(settings Settings, group *Member, incarnation uint64, now time.Duration) *Parent {
	settings.Parents, settings.ChildFraction, settings.Index = 0, 0, 0
	p := &Parent{children: newLeader(newBase(settings, incarnation, now, &Counters{})), group: group,
		deferredByChild: map[int]int{}}
	group.settings.ChildFraction = settings.GuaranteedFraction
	group.settings.MaxWindow = max(group.settings.MaxWindow, p.groupWindow(settings.MaxWindow))
	group.maxWantedUnits, group.follower.sendsPartialRequests = maxWantedFromGroup, true
	group.recoveredAt = group.started + group.settings.RecoveryDelay()
	group.follower.delegatedUntil = group.recoveredAt
	return p
}

// groupWindow returns the window in the group for a window of the children. It is so long that it contains the
// acquisition of all units that children use in one of their windows.
func (p *Parent) groupWindow(window time.Duration) time.Duration {
	if p.fault == faultGroupWindowNotExtended {
		return window
	}
	return p.children.settings.effectDuration(window)
}

// Define adds a budget, or replaces the Spec of an existing one, for the children and the group.
func (p *Parent) Define(now time.Duration, spec Spec) {
	spec.Window = min(spec.Window, p.children.settings.MaxWindow)
	p.children.now = max(p.children.now, now)
	p.children.define(spec)
	spec.Window = p.groupWindow(spec.Window)
	p.group.Define(now, spec)
}

// SetRule defines all budgets of a kind, for the children and the group. It ignores concurrency limits.
func (p *Parent) SetRule(kind uint8, rule Rule) {
	if rule.isConcurrencyLimit() {
		return
	}
	rule.Window = min(rule.Window, p.children.settings.MaxWindow)
	p.children.setRule(kind, rule)
	rule.Window = p.groupWindow(rule.Window)
	rule.NoDelegation = false // otherwise only a control machine's own children could use its reservation
	p.group.SetRule(kind, rule)
}

// Drop removes a budget, as Member.Drop does.
func (p *Parent) Drop(id ID) {
	delete(p.children.accounts, id)
	p.group.Drop(id)
}

// MaxWindow returns the longest window of any budget of the group.
func (p *Parent) MaxWindow() time.Duration { return p.group.MaxWindow() }

// beginCall sets the time of a call, and discards the actions of the previous call.
func (p *Parent) beginCall(now time.Duration) {
	p.children.beginCall(now)
	p.actions = p.actions[:0]
}

// HandleChildMessage handles a message from the child that has the index from.
func (p *Parent) HandleChildMessage(now time.Duration, from int, message Message) []Action {
	p.beginCall(now)
	request, ok := message.(LeaseRequest)
	if !ok || from < 0 || from >= p.children.settings.Nodes || request.Incarnation == 0 {
		p.Counters.Unknown++
		return p.actions
	} else if p.children.isLeaving {
		return p.actions
	}
	p.Counters.Requests++
	response, _, ok := p.children.acceptRequest(from, &request)
	if !ok {
		return p.actions
	}
	response.HasQuorum = p.group.follower.leaderHasQuorum()
	p.respond(p.newDeferredResponse(from, &request, response), request.Leaving)
	p.requestFromGroup()
	p.sendDeferred() // this Parent may be the group's leader, and its requests are then answered at once
	return p.actions
}

// newDeferredResponse returns a response that may be deferred, with the units that the request wants.
func (p *Parent) newDeferredResponse(to int, request *LeaseRequest, response LeaseResponse) *deferredResponse {
	deferred := &deferredResponse{to: to, response: response,
		until: p.children.now + p.children.settings.HeartbeatInterval/deferralDivisor}
	for _, wanted := range request.Wanted[:min(len(request.Wanted), MaxEntries)] {
		if wanted.Units = min(wanted.Units, maxWantedUnits); wanted.Units > 0 {
			deferred.wanted = append(deferred.wanted, wanted)
		}
	}
	return deferred
}

// respond sends a response, or defers it if the group may grant more units. Responses to one child stay in order,
// because the latest one answers all the child's requests up to then.
func (p *Parent) respond(deferred *deferredResponse, isLeaving bool) {
	mayGrantMore := !isLeaving && p.addGrants(deferred, true)
	switch deferredCount := p.deferredByChild[deferred.to]; {
	case !mayGrantMore && (deferredCount == 0 || isLeaving):
		p.send(deferred)
	case len(p.deferred) >= maxDeferred || deferredCount >= maxDeferredPerChild:
		p.Counters.DeferralOverflows++
		p.send(deferred)
	default:
		p.Counters.Deferred++
		p.deferredByChild[deferred.to]++
		p.deferred = append(p.deferred, deferred)
	}
}

// HandlePeerMessage handles a message from the control machine that has the index from.
func (p *Parent) HandlePeerMessage(now time.Duration, from int, message Message) []Action {
	p.beginCall(now)
	p.forwardGroupActions(p.group.HandleMessage(now, from, message))
	p.sendDeferred()
	p.requestFromGroup()
	p.sendDeferred()
	return p.actions
}

// Tick sends the messages that are due, and schedules the next call. A call before the scheduled time is harmless.
func (p *Parent) Tick(now time.Duration) []Action {
	p.beginCall(now)
	if now >= p.group.follower.nextHeartbeat {
		p.forwardGroupActions(p.group.Tick(now))
	}
	p.requestFromGroup()
	p.sendDeferred()
	p.children.sweep()
	p.children.expire()
	p.actions = append(p.actions, ScheduleTick{After: p.NextTick()})
	return p.actions
}

// NextTick returns the time until Tick is to be called. After a message it may be shorter than the scheduled time,
// because a response may have been deferred.
func (p *Parent) NextTick() time.Duration {
	due := p.group.follower.nextHeartbeat
	if len(p.deferred) > 0 {
		due = min(due, p.deferred[0].until)
	}
	if p.group.follower.hasUnsentRequests() {
		due = min(due, p.nextGroupRequest)
	}
	return max(due-p.children.now, time.Millisecond)
}

// Leave informs the children and the control machines that this process stops. The Parent grants no units afterwards.
func (p *Parent) Leave(now time.Duration) []Action {
	p.beginCall(now)
	for _, deferred := range p.deferred {
		p.send(deferred)
	}
	p.deferred = nil
	clear(p.deferredByChild)
	p.children.isLeaving = true
	const noExclusion = -1
	for _, response := range p.children.leavingResponses(noExclusion) {
		response.ToChild = true
		p.actions = append(p.actions, response)
	}
	p.forwardGroupActions(p.group.Leave(now))
	return p.actions
}

// State returns the state of the Parent's roles.
func (p *Parent) State(now time.Duration) ParentState {
	p.children.now = max(p.children.now, now)
	return ParentState{Children: p.children.followerCount(), Deferred: len(p.deferred), Group: p.group.State(now)}
}

// addGrants adds grants to a response, and reports whether the group may grant more. If requestMissing is set, it
// requests the missing units from the group.
func (p *Parent) addGrants(deferred *deferredResponse, requestMissing bool) (mayGrantMore bool) {
	now := p.children.now
	for i := range deferred.wanted {
		wanted := &deferred.wanted[i]
		if wanted.Units == 0 || p.children.account(wanted.ID) == nil {
			continue
		}
		p.grant(deferred, wanted)
		if wanted.Units == 0 {
			continue
		}
		if requestMissing {
			p.group.now = max(p.group.now, now)
			p.group.follower.request(wanted.ID, wanted.Units)
		}
		account := p.group.accounts[wanted.ID]
		mayGrantMore = mayGrantMore || account != nil && account.hasPendingRequest
	}
	return mayGrantMore
}

// grant adds the available units of one wanted budget. The number of the grant covers only the units delegated by
// children: of the units that the child uses, these count as used first.
func (p *Parent) grant(deferred *deferredResponse, wanted *Amount) {
	fromChildren := max(min(wanted.Units, p.children.available(wanted.ID, false)), 0)
	fromGroup := 0
	for fromChildren+fromGroup < wanted.Units && p.acquireFromGroup(wanted.ID) {
		fromGroup++
	}
	if units := fromChildren + fromGroup; units > 0 {
		number := p.children.grant(deferred.to, deferred.response.Follower, wanted.ID, fromChildren)
		deferred.response.Grants = append(deferred.response.Grants, Grant{ID: wanted.ID, Units: units, Number: number})
		wanted.Units -= units
	}
	p.Counters.FromChildren += int64(fromChildren)
	p.Counters.FromGroup += int64(fromGroup)
}

// acquireFromGroup takes one unit of the group, and reports whether one was available.
func (p *Parent) acquireFromGroup(id ID) bool {
	switch now := p.children.now; {
	case p.fault == faultGroupUnitsNotAcquired && p.group.Available(now, id) > 0:
		return true
	case p.fault == faultReleasedUnitsRegranted && p.releasedUnits[id] > 0:
		p.releasedUnits[id]--
		return true
	default:
		return p.group.Acquire(now, id)
	}
}

// sendDeferred sends the deferred responses that the group cannot add to, or that are due.
func (p *Parent) sendDeferred() {
	if len(p.deferred) == 0 || !p.hasGroupAnswer && p.children.now < p.deferred[0].until {
		return
	}
	p.hasGroupAnswer = false
	p.deferred = slices.DeleteFunc(p.deferred, func(deferred *deferredResponse) bool {
		if p.addGrants(deferred, false) && p.children.now < deferred.until {
			return false
		}
		p.deferredByChild[deferred.to]--
		if p.deferredByChild[deferred.to] == 0 {
			delete(p.deferredByChild, deferred.to)
		}
		p.send(deferred)
		return true
	})
}

func (p *Parent) send(deferred *deferredResponse) {
	p.actions = append(p.actions, SendResponse{To: deferred.to, Response: deferred.response, ToChild: true})
}

// requestFromGroup sends a request for the units wanted from the group, unless the previous request is too recent.
func (p *Parent) requestFromGroup() {
	now := p.children.now
	if p.group.follower.hasUnsentRequests() && now >= p.nextGroupRequest && now != math.MaxInt64 {
		p.nextGroupRequest = now + p.children.settings.HeartbeatInterval/groupRequestsPerHeartbeat
		p.forwardGroupActions(p.group.Tick(now))
	}
}

// forwardGroupActions appends the actions of the member of the group, except ScheduleTick.
func (p *Parent) forwardGroupActions(actions []Action) {
	for _, action := range actions {
		if _, ok := action.(RequestAnswered); ok {
			p.hasGroupAnswer = true
		}
		if _, ok := action.(ScheduleTick); !ok {
			p.actions = append(p.actions, action)
		}
	}
}
