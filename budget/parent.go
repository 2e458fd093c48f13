package budget

import (
	"math"
	"slices"
	"time"
)

// Parent is a control machine: the leader of the nodes that follow it, its children, and a member of the group that the
// control machines form. What a child wants it grants out of what its children delegate, and out of what it acquires in
// the group. A unit counts as used in the group when it is granted to a child, in a window that is longer by the lease
// term of children. So no quorum of children is needed. Concurrency limits are not granted to children, which have
// their reservations of them. Parent is not safe for concurrent use.
type Parent struct {
	children  leader
	group     *Member
	actions   []Action
	deferred  []*deferredResponse // by when they are to go
	deferrals map[int]int         // deferred responses by child
	nextWants time.Duration       // no request to the group before
	answered  bool                // the group has answered a request
	Counters  ParentCounters

	fault           fault
	releasedByFault map[ID]int // units that faultReleasedGrantedAgain grants
}

// deferredResponse is a response to a child that waits for an answer of the group.
type deferredResponse struct {
	to       int
	response LeaseResponse
	wanted   []Amount // units that are not granted yet
	until    time.Duration
}

// ParentCounters count since the start of a Parent.
type ParentCounters struct {
	Requests, Deferred         int64 // messages of children; responses that waited for the group
	FromChildren, FromGroup    int64 // units granted out of what children delegate, and of what the group granted
	Unknown, DeferralOverflows int64 // messages of no child; responses sent at once as too many were deferred
}

// ParentState is a Parent's part in both groups.
type ParentState struct {
	Children int   // that follow
	Deferred int   // responses
	Group    State // of the member of the control machines' group
}

const (
	maxDeferred               = 1024 // responses to all children
	maxDeferredEach           = 4    // to one child
	deferralDivisor           = 8    // a response is deferred for this part of a heartbeat interval at most
	groupRequestsPerHeartbeat = 16   // at most, by the heartbeat interval of children
	maxWantedOfGroup          = 1024 // units of one budget in a request to the group
)

// NewParent returns the Parent at the start of its process. The settings are those of its children: Nodes is the number
// of their indexes, LeaseTerm the time in which a child uses a grant. The group's Member must be new and is the
// Parent's from now on: it gets longer windows and a ChildFraction.
func NewParent(settings Settings, group *Member, incarnation uint64, now time.Duration) *Parent {
	settings.Parents, settings.ChildFraction, settings.Index = 0, 0, 0
	p := &Parent{children: newLeader(newBase(settings, incarnation, now, &Counters{})), group: group,
		deferrals: map[int]int{}}
	group.settings.ChildFraction = settings.GuaranteedFraction
	group.settings.MaxWindow = max(group.settings.MaxWindow, p.groupWindow(settings.MaxWindow))
	group.maxWanted, group.follower.wantsOnly = maxWantedOfGroup, true
	group.recoveredAt = group.started + group.settings.RecoveryDelay()
	group.follower.boundUntil = group.recoveredAt
	return p
}

// groupWindow is the window of the group in which units were acquired that children use in a window of theirs.
func (p *Parent) groupWindow(window time.Duration) time.Duration {
	if p.fault == faultGroupWindowShort {
		return window
	}
	return p.children.settings.effectSpan(window)
}

// Define adds a budget, or replaces the Spec of one that is known, for the children and the group.
func (p *Parent) Define(now time.Duration, s Spec) {
	s.Window = min(s.Window, p.children.settings.MaxWindow)
	p.children.now = max(p.children.now, now)
	p.children.define(s)
	s.Window = p.groupWindow(s.Window)
	p.group.Define(now, s)
}

// SetRule defines all budgets of a kind, for the children and the group. Concurrency limits are left out.
func (p *Parent) SetRule(kind uint8, rule Rule) {
	if rule.isConcurrencyLimit() {
		return
	}
	rule.Window = min(rule.Window, p.children.settings.MaxWindow)
	p.children.setRule(kind, rule)
	rule.Window = p.groupWindow(rule.Window)
	rule.NoDelegation = false // else only its own children could use a control machine's reservation
	p.group.SetRule(kind, rule)
}

// Drop forgets a budget, as Member.Drop does.
func (p *Parent) Drop(id ID) {
	delete(p.children.accounts, id)
	p.group.Drop(id)
}

// MaxWindow is the longest window of any budget of the group.
func (p *Parent) MaxWindow() time.Duration { return p.group.MaxWindow() }

func (p *Parent) begin(now time.Duration) {
	p.children.begin(now)
	p.actions = p.actions[:0]
}

// HandleChildMessage takes in a message from the child with an index.
func (p *Parent) HandleChildMessage(now time.Duration, from int, message Message) []Action {
	p.begin(now)
	request, ok := message.(LeaseRequest)
	if !ok || from < 0 || from >= p.children.settings.Nodes || request.Incarnation == 0 {
		p.Counters.Unknown++
		return p.actions
	} else if p.children.leaving {
		return p.actions
	}
	p.Counters.Requests++
	response, _, ok := p.children.accept(from, &request)
	if !ok {
		return p.actions
	}
	response.HasQuorum = p.group.follower.leaderHasQuorum()
	p.respond(p.deferrable(from, &request, response), request.Leaving)
	p.requestFromGroup()
	p.sendDeferred() // the group's leader may be this machine
	return p.actions
}

// deferrable makes a response that may wait, with what it is to grant.
func (p *Parent) deferrable(to int, request *LeaseRequest, response LeaseResponse) *deferredResponse {
	d := &deferredResponse{to: to, response: response,
		until: p.children.now + p.children.settings.HeartbeatInterval/deferralDivisor}
	for _, wanted := range request.Wanted[:min(len(request.Wanted), MaxEntries)] {
		if wanted.Units = min(wanted.Units, maxWanted); wanted.Units > 0 {
			d.wanted = append(d.wanted, wanted)
		}
	}
	return d
}

// respond sends a response, or defers it where the group may grant more. Responses to one child keep their order, as
// the latest answers what it requested.
func (p *Parent) respond(d *deferredResponse, isLeaving bool) {
	mayGrow := !isLeaving && p.fill(d, true)
	switch waiting := p.deferrals[d.to]; {
	case !mayGrow && (waiting == 0 || isLeaving):
		p.send(d)
	case len(p.deferred) >= maxDeferred || waiting >= maxDeferredEach:
		p.Counters.DeferralOverflows++
		p.send(d)
	default:
		p.Counters.Deferred++
		p.deferrals[d.to]++
		p.deferred = append(p.deferred, d)
	}
}

// HandlePeerMessage takes in a message from the control machine with an index.
func (p *Parent) HandlePeerMessage(now time.Duration, from int, message Message) []Action {
	p.begin(now)
	p.takeGroupActions(p.group.HandleMessage(now, from, message))
	p.sendDeferred()
	p.requestFromGroup()
	p.sendDeferred()
	return p.actions
}

// Tick does what is due, and schedules the next call. An early call does no harm.
func (p *Parent) Tick(now time.Duration) []Action {
	p.begin(now)
	if now >= p.group.follower.nextHeartbeat {
		p.takeGroupActions(p.group.Tick(now))
	}
	p.requestFromGroup()
	p.sendDeferred()
	p.children.sweep()
	p.children.expire()
	p.actions = append(p.actions, ScheduleTick{After: p.NextTick()})
	return p.actions
}

// NextTick is how soon Tick is to be called. After a message it may be sooner than scheduled, as a response is
// deferred.
func (p *Parent) NextTick() time.Duration {
	due := p.group.follower.nextHeartbeat
	if len(p.deferred) > 0 {
		due = min(due, p.deferred[0].until)
	}
	if p.group.follower.hasUnsent() {
		due = min(due, p.nextWants)
	}
	return max(due-p.children.now, time.Millisecond)
}

// Leave tells children and control machines that this process stops. It grants nothing after it.
func (p *Parent) Leave(now time.Duration) []Action {
	p.begin(now)
	for _, d := range p.deferred {
		p.send(d)
	}
	p.deferred = nil
	clear(p.deferrals)
	p.children.leaving = true
	const nobody = -1
	for _, r := range p.children.leavingResponses(nobody) {
		r.ToChild = true
		p.actions = append(p.actions, r)
	}
	p.takeGroupActions(p.group.Leave(now))
	return p.actions
}

// State returns the Parent's part in both groups as of now.
func (p *Parent) State(now time.Duration) ParentState {
	p.children.now = max(p.children.now, now)
	return ParentState{Children: p.children.followerCount(), Deferred: len(p.deferred), Group: p.group.State(now)}
}

// fill adds grants to a response, and tells whether the group may grant more. With mayRequest it is asked to.
func (p *Parent) fill(d *deferredResponse, mayRequest bool) (mayGrow bool) {
	now := p.children.now
	for i := range d.wanted {
		wanted := &d.wanted[i]
		if wanted.Units == 0 || p.children.account(wanted.ID) == nil {
			continue
		}
		p.grant(d, wanted)
		if wanted.Units == 0 {
			continue
		}
		if mayRequest {
			p.group.now = max(p.group.now, now)
			p.group.follower.request(wanted.ID, wanted.Units)
		}
		a := p.group.accounts[wanted.ID]
		mayGrow = mayGrow || a != nil && a.isWaiting
	}
	return mayGrow
}

// grant adds what there is of one wanted budget. Of the units that a child uses those that children delegated count as
// the first.
func (p *Parent) grant(d *deferredResponse, wanted *Amount) {
	fromChildren := max(min(wanted.Units, p.children.available(wanted.ID, false)), 0)
	fromGroup := 0
	for fromChildren+fromGroup < wanted.Units && p.acquireFromGroup(wanted.ID) {
		fromGroup++
	}
	if units := fromChildren + fromGroup; units > 0 {
		number := p.children.grant(d.to, d.response.Follower, wanted.ID, fromChildren)
		d.response.Grants = append(d.response.Grants, Grant{ID: wanted.ID, Units: units, Number: number})
		wanted.Units -= units
	}
	p.Counters.FromChildren += int64(fromChildren)
	p.Counters.FromGroup += int64(fromGroup)
}

func (p *Parent) acquireFromGroup(id ID) bool {
	switch now := p.children.now; {
	case p.fault == faultGroupNotCharged && p.group.Available(now, id) > 0:
		return true
	case p.fault == faultReleasedGrantedAgain && p.releasedByFault[id] > 0:
		p.releasedByFault[id]--
		return true
	default:
		return p.group.Acquire(now, id)
	}
}

// sendDeferred sends the responses that can get no more, or have waited long enough.
func (p *Parent) sendDeferred() {
	if len(p.deferred) == 0 || !p.answered && p.children.now < p.deferred[0].until {
		return
	}
	p.answered = false
	p.deferred = slices.DeleteFunc(p.deferred, func(d *deferredResponse) bool {
		if p.fill(d, false) && p.children.now < d.until {
			return false
		}
		p.deferrals[d.to]--
		if p.deferrals[d.to] == 0 {
			delete(p.deferrals, d.to)
		}
		p.send(d)
		return true
	})
}

func (p *Parent) send(d *deferredResponse) {
	p.actions = append(p.actions, SendResponse{To: d.to, Response: d.response, ToChild: true})
}

// requestFromGroup sends what is wanted of the group, unless a request went lately.
func (p *Parent) requestFromGroup() {
	now := p.children.now
	if p.group.follower.hasUnsent() && now >= p.nextWants && now != math.MaxInt64 {
		p.nextWants = now + p.children.settings.HeartbeatInterval/groupRequestsPerHeartbeat
		p.takeGroupActions(p.group.Tick(now))
	}
}

// takeGroupActions hands on what the member of the group asks for, but for its timer.
func (p *Parent) takeGroupActions(actions []Action) {
	for _, a := range actions {
		if _, ok := a.(RequestAnswered); ok {
			p.answered = true
		}
		if _, ok := a.(ScheduleTick); !ok {
			p.actions = append(p.actions, a)
		}
	}
}
