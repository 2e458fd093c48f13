package budget

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// modelTick is the time step of the explored model. The window, the heartbeat interval and the lease term are one tick
// each, except the lease term of children.
const modelTick = time.Second

// explorationCase defines an exploration: the numbers of processes, the limit, the number of ticks (depth), and the
// number of faults, each of one process or of all messages in a tick. Without parents the nodes form a flat group.
type explorationCase struct {
	parents, nodes, limit, depth, faults int
	guaranteed                           float64
	leaseTerm                            time.Duration // lease term of the nodes
	rule                                 *Rule         // rule of the budget, nil for none
	fault                                fault
}

func (c explorationCase) String() string {
	rule := Rule{}
	if c.rule != nil {
		rule = *c.rule
	}
	return fmt.Sprintf(
		"%d parents, %d nodes, limit %d, depth %d, %d faults, %v guaranteed, term %v, rule %+v, fault %d", c.parents,
		c.nodes, c.limit, c.depth, c.faults, c.guaranteed, c.leaseTerm, rule, c.fault)
}

// model is a state of processes that share one budget. The indexes of processes start with the parents and continue
// with the nodes; each node prefers a different parent. Messages are delivered at once, held, lost or duplicated.
type model struct {
	explorationCase
	parents         []*Parent
	members         []*Member
	nextTicks       []time.Duration
	isPaused        []bool
	inFlight        []modelMessage
	usedUnits       int // units used in the last tick, which is one window
	now             time.Duration
	lastIncarnation uint64
	isolatedProcess int // process whose messages are lost, -1 for none
	trace           []string
}

// modelMessage is a message in flight in the model.
type modelMessage struct {
	from, to       int
	isChildMessage bool // between a node and a parent
	message        Message
}

var modelID = ID{Kind: 1}

func newModel(c explorationCase) *model {
	count := c.parents + c.nodes
	m := &model{explorationCase: c, isolatedProcess: -1, parents: make([]*Parent, c.parents),
		members: make([]*Member, c.nodes), nextTicks: make([]time.Duration, count), isPaused: make([]bool, count)}
	for i := range count {
		m.startProcess(i)
	}
	return m
}

func (m *model) processCount() int { return len(m.parents) + len(m.members) }

// clock returns the time on the clock of a process. Each clock has a different offset.
func (m *model) clock(i int) time.Duration { return m.now + time.Duration(i)*37*modelTick }

// parentAt returns the parent that has the given index at a node.
func (m *model) parentAt(node, index int) int { return (node + index) % len(m.parents) }

// indexOfParent returns the index of a parent at a node.
func (m *model) indexOfParent(node, parent int) int {
	count := len(m.parents)
	return (parent - node%count + count) % count
}

func (m *model) startProcess(i int) {
	m.lastIncarnation += 2
	m.isPaused[i], m.nextTicks[i] = false, m.now
	settings := Settings{Nodes: m.nodes, GuaranteedFraction: m.guaranteed, MaxWindow: modelTick, LeaseTerm: m.leaseTerm,
		HeartbeatInterval: modelTick, MaxClockDrift: 1e-9}
	if i >= len(m.parents) {
		settings.Index, settings.Parents = i-len(m.parents), len(m.parents)
		member := New(settings, m.lastIncarnation, m.clock(i))
		member.fault = m.fault
		m.define(i, member.SetRule, member.Define)
		m.members[settings.Index] = member
		return
	}
	groupSettings := Settings{Nodes: len(m.parents), Index: i, GuaranteedFraction: 0.5, MaxWindow: modelTick,
		LeaseTerm: modelTick, HeartbeatInterval: modelTick, MaxClockDrift: 1e-9}
	group := New(groupSettings, m.lastIncarnation, m.clock(i))
	p := NewParent(settings, group, m.lastIncarnation-1, m.clock(i))
	group.fault = m.fault
	p.setFault(m.fault)
	m.define(i, p.SetRule, p.Define)
	m.parents[i] = p
}

func (m *model) define(i int, setRule func(uint8, Rule), define func(time.Duration, Spec)) {
	if m.rule != nil {
		setRule(modelID.Kind, *m.rule)
	} else {
		define(m.clock(i), Spec{ID: modelID, BaseLimit: m.limit, Window: modelTick})
	}
}

func (m *model) send(from, to int, toChild bool, message Message) {
	sent := modelMessage{from: from, to: to, message: message}
	switch {
	case from >= len(m.parents) && len(m.parents) > 0:
		sent.to, sent.isChildMessage = m.parentAt(from-len(m.parents), to), true
	case toChild:
		sent.to, sent.isChildMessage = len(m.parents)+to, true
	}
	if m.isolatedProcess != from {
		m.inFlight = append(m.inFlight, sent)
	}
}

func (m *model) apply(i int, actions []Action, isHeld bool) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case ScheduleTick:
			m.nextTicks[i] = m.now + a.After
		case SendRequest:
			m.send(i, a.To, false, a.Request)
		case SendResponse:
			m.send(i, a.To, a.ToChild, a.Response)
		}
	}
	if !isHeld {
		m.deliverAll()
	}
}

// deliverAll delivers all messages in flight, and the responses to them.
func (m *model) deliverAll() {
	for len(m.inFlight) > 0 {
		sent := m.inFlight[0]
		if m.inFlight = m.inFlight[1:]; !m.isPaused[sent.to] {
			m.apply(sent.to, m.deliver(sent), true)
		}
	}
}

func (m *model) deliver(sent modelMessage) []Action {
	now, node := m.clock(sent.to), sent.to-len(m.parents)
	switch {
	case node >= 0 && sent.isChildMessage:
		return m.members[node].HandleMessage(now, m.indexOfParent(node, sent.from), sent.message)
	case node >= 0:
		return m.members[node].HandleMessage(now, sent.from, sent.message)
	case sent.isChildMessage:
		m.parents[sent.to].noteReleased(sent.message, modelID)
		return m.parents[sent.to].HandleChildMessage(now, sent.from-len(m.parents), sent.message)
	default:
		return m.parents[sent.to].HandlePeerMessage(now, sent.from, sent.message)
	}
}

func (m *model) tickProcess(i int, isHeld bool) {
	if i < len(m.parents) {
		m.apply(i, m.parents[i].Tick(m.clock(i)), isHeld)
	} else {
		m.apply(i, m.members[i-len(m.parents)].Tick(m.clock(i)), isHeld)
	}
}

// event describes one tick: the fault of a process, which is 0 for none, a restart, a change of its pause or a change
// of its isolation; whether messages are delivered, held, or delivered both at once and later; and the node that
// uses units, or all or none.
type event struct{ fault, messages, user int }

const (
	messagesDelivered = iota
	messagesHeld
	messagesDuplicated
	messageKinds
)

// step advances the model by one tick: it injects the fault, calls Tick where it is due, delivers messages, and lets
// nodes use units.
func (m *model) step(e event) {
	m.now, m.usedUnits = m.now+modelTick, 0
	m.trace = append(m.trace, fmt.Sprint(e.fault, e.messages, e.user))
	m.inject(e.fault)
	isHeld := e.messages != messagesDelivered
	if e.messages == messagesDuplicated {
		duplicates := slices.Clone(m.inFlight)
		m.deliverAll()
		m.inFlight = append(m.inFlight, duplicates...)
	}
	for i := range m.processCount() {
		if !m.isPaused[i] && m.now >= m.nextTicks[i] {
			m.tickProcess(i, isHeld)
		}
	}
	if !isHeld {
		m.deliverAll()
	}
	for node := range m.members {
		if !m.isPaused[len(m.parents)+node] && (e.user == m.nodes || e.user == node) {
			m.use(node, isHeld)
		}
	}
}

func (m *model) inject(fault int) {
	switch count := m.processCount(); {
	case fault == 0:
	case fault <= count:
		m.startProcess(fault - 1)
	case fault <= 2*count:
		m.isPaused[fault-count-1] = !m.isPaused[fault-count-1]
	case m.isolatedProcess == fault-2*count-1:
		m.isolatedProcess = -1
	default:
		m.isolatedProcess = fault - 2*count - 1
	}
}

// use lets a node use all units that it can obtain.
func (m *model) use(node int, isHeld bool) {
	member, process := m.members[node], len(m.parents)+node
	for range 2 * m.limit {
		if member.Acquire(m.clock(process), modelID) {
			m.usedUnits++
			continue
		}
		if !member.Request(m.clock(process), modelID) {
			return
		}
		if m.tickProcess(process, isHeld); isHeld {
			return
		}
	}
}

// explorationResult is the result of an exploration: the first event trace that exceeds the limit, the states, and the
// most units that one parent granted from its group.
type explorationResult struct {
	trace        []string
	seenStates   map[string]bool // stateKey of each state
	maxFromGroup int
}

// explore visits breadth first the states that are reachable from a state in which all processes have settled.
func explore(c explorationCase, settlingTicks int) (r explorationResult) {
	m := newModel(c)
	for range settlingTicks {
		m.step(event{user: c.nodes + 1})
	}
	m.trace = nil
	r.seenStates = map[string]bool{}
	frontier := []*model{m}
	for range c.depth {
		var next []*model
		for _, from := range frontier {
			var isExceeded bool
			if next, isExceeded = r.expand(from, next); isExceeded {
				return r
			}
		}
		frontier = next
	}
	return r
}

// expand appends the new successors of a state to next, and reports whether one of them exceeds the limit.
func (r *explorationResult) expand(from *model, next []*model) (successors []*model, isExceeded bool) {
	for i := range from.eventCount() {
		successor := from.successor(from.event(i))
		if successor == nil {
			continue
		}
		if successor.usedUnits > successor.limit {
			r.trace = successor.trace
			return next, true
		}
		if key := successor.stateKey(); !r.seenStates[key] {
			r.seenStates[key] = true
			next = append(next, successor)
			r.maxFromGroup = max(r.maxFromGroup, successor.maxFromGroup())
		}
	}
	return next, false
}

func (m *model) eventCount() int { return (3*m.processCount() + 1) * messageKinds * (m.nodes + 2) }

func (m *model) event(i int) event {
	userChoices := m.nodes + 2
	return event{i / messageKinds / userChoices, i / userChoices % messageKinds, i % userChoices}
}

// successor returns the state after an event, or nil if no faults are left for it.
func (m *model) successor(e event) *model {
	faults := min(e.fault, 1) + min(e.messages, 1)
	if faults > m.faults {
		return nil
	}
	next := m.clone()
	next.faults -= faults
	next.step(e)
	return next
}

func (m *model) maxFromGroup() (highest int) {
	for _, p := range m.parents {
		highest = max(highest, int(p.Counters.FromGroup))
	}
	return highest
}

func (m *model) clone() *model {
	copied := *m
	copied.parents, copied.members, copied.nextTicks, copied.isPaused = nil, nil, slices.Clone(m.nextTicks),
		slices.Clone(m.isPaused)
	copied.inFlight, copied.trace = slices.Clone(m.inFlight), slices.Clone(m.trace)
	for _, p := range m.parents {
		copied.parents = append(copied.parents, p.clone())
	}
	for _, member := range m.members {
		copied.members = append(copied.members, member.clone())
	}
	return &copied
}

func (p *Parent) clone() *Parent {
	copied := *p
	copied.children, copied.group = p.children.clone(p.children.base.clone(&Counters{})), p.group.clone()
	copied.actions, copied.deferred = nil, nil
	copied.deferredByChild, copied.releasedUnits = maps.Clone(p.deferredByChild), maps.Clone(p.releasedUnits)
	for _, deferred := range p.deferred {
		deferredCopy := *deferred
		deferredCopy.wanted, deferredCopy.response.Grants = slices.Clone(deferred.wanted),
			slices.Clone(deferred.response.Grants)
		copied.deferred = append(copied.deferred, &deferredCopy)
	}
	return &copied
}

// clone returns an independent copy. It omits concurrency limits, which are not explored.
func (m *Member) clone() *Member {
	copied := &Member{Counters: m.Counters}
	copied.base = m.base.clone(&copied.Counters)
	copied.leader = m.leader.clone(copied.base)
	copied.follower = m.follower
	f := &copied.follower
	f.base, f.ownLeader = copied.base, &copied.leader
	f.contacts, f.pending, f.unansweredRequests = maps.Clone(f.contacts), maps.Clone(f.pending),
		maps.Clone(f.unansweredRequests)
	return copied
}

func (b *base) clone(counters *Counters) *base {
	copied := *b
	copied.actions, copied.counters, copied.pendingReleases, copied.accounts = nil, counters,
		slices.Clone(b.pendingReleases), map[ID]*account{}
	for id, a := range b.accounts {
		accountCopy := *a
		accountCopy.reservationUses, accountCopy.recentDemand = slices.Clone(a.reservationUses),
			slices.Clone(a.recentDemand)
		accountCopy.delegations, accountCopy.grants = slices.Clone(a.delegations), slices.Clone(a.grants)
		copied.accounts[id] = &accountCopy
	}
	return &copied
}

func (l *leader) clone(b *base) leader {
	copied := *l
	copied.base, copied.concurrencyLeases = b, maps.Clone(l.concurrencyLeases)
	copied.expiries, copied.unlistedDelegators = slices.Clone(l.expiries), slices.Clone(l.unlistedDelegators)
	copied.followers, copied.totals = map[int]*followerRecord{}, map[ID]*budgetTotals{}
	for i, record := range l.followers {
		recordCopy := *record
		recordCopy.delegated = maps.Clone(record.delegated)
		copied.followers[i] = &recordCopy
	}
	for id, totals := range l.totals {
		totalsCopy := *totals
		copied.totals[id] = &totalsCopy
	}
	copied.grants, copied.grantsByNumber = nil, map[uint64]*leaderGrant{}
	for _, g := range l.grants {
		grantCopy := *g
		copied.grants = append(copied.grants, &grantCopy)
		if grantCopy.number != 0 {
			copied.grantsByNumber[grantCopy.number] = &grantCopy
		}
	}
	return copied
}

// exploreAll explores each case in a subtest, and passes the result to check.
func exploreAll(t *testing.T, cases []explorationCase, settlingTicks int,
	check func(t *testing.T, c explorationCase, r explorationResult)) {
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			result := explore(c, settlingTicks)
			if (result.trace != nil) != (c.fault != 0) {
				t.Errorf("events that exceed the limit: %q; want some exactly if a fault is injected", result.trace)
			}
			check(t, c, result)
		})
	}
}

const minStates = 1000 // with fewer states an exploration is not meaningful

// In every state that two to four nodes can reach within a few ticks with restarts, pauses, isolation, and held and
// duplicated messages, the limit must hold. Two injected faults are detected within these ticks; the tests with random
// disruptions detect all.
func TestLimitsHoldInEveryReachableState(t *testing.T) {
	t.Parallel()
	rule, undelegated := &Rule{Limit: 2, Window: modelTick}, &Rule{Limit: 2, Window: modelTick, NoDelegation: true}
	flat := func(nodes, limit, depth, faults int, rule *Rule, injected fault) explorationCase {
		return explorationCase{0, nodes, limit, depth, faults, 0.5, modelTick, rule, injected}
	}
	const settlingTicks = 12
	exploreAll(t, []explorationCase{flat(2, 2, 4, 2, nil, 0), flat(3, 2, 3, 2, nil, 0), flat(4, 2, 2, 2, nil, 0),
		flat(2, 2, 4, 2, rule, 0), flat(3, 2, 2, 2, rule, 0), flat(2, 2, 4, 2, undelegated, 0),
		flat(3, 2, 2, 2, undelegated, 0), flat(2, 2, 1, 1, nil, faultNoRecoveryDelay),
		flat(3, 2, 3, 1, nil, faultFailureDetectorTrusted)}, settlingTicks,
		func(t *testing.T, c explorationCase, r explorationResult) {
			t.Logf("%d states", len(r.seenStates))
			if c.fault == 0 && len(r.seenStates) < minStates {
				t.Errorf("only %d states", len(r.seenStates))
			}
		})
}

// In every state that parents and their nodes can reach within a few ticks with restarts, pauses, isolation, and held
// and duplicated messages, the limit must hold.
func TestLimitsHoldInEveryReachableStateWithParents(t *testing.T) {
	t.Parallel()
	rule, undelegated := &Rule{Limit: 2, Window: modelTick}, &Rule{Limit: 2, Window: modelTick, NoDelegation: true}
	const settlingTicks = 14
	exploreAll(t, []explorationCase{{1, 2, 2, 3, 1, 0, modelTick, nil, 0}, {2, 2, 2, 3, 1, 0.5, modelTick, nil, 0},
		{2, 2, 2, 2, 2, 0.5, modelTick, nil, 0}, {2, 2, 2, 2, 2, 0.5, 3 * modelTick, rule, 0},
		{2, 2, 2, 2, 2, 0.5, modelTick, undelegated, 0}, {2, 1, 2, 3, 2, 0, 2 * modelTick, rule, 0},
		{2, 2, 2, 3, 1, 0, 4 * modelTick, nil, 0}, {1, 2, 2, 2, 2, 1, modelTick, nil, 0},
		{2, 2, 2, 4, 1, 0, 4 * modelTick, nil, faultGroupWindowNotExtended},
		{2, 2, 2, 2, 1, 0, modelTick, nil, faultGroupUnitsNotAcquired},
		{2, 2, 2, 3, 2, 0.5, modelTick, nil, faultChildFractionIgnored},
		{1, 2, 2, 3, 1, 1, modelTick, nil, faultNoRecoveryDelay}},
		settlingTicks, func(t *testing.T, c explorationCase, r explorationResult) {
			t.Logf("%d states, at most %d units granted from the group, events %q", len(r.seenStates), r.maxFromGroup,
				r.trace)
			if c.fault == 0 && (len(r.seenStates) < minStates || r.maxFromGroup == 0 && c.guaranteed < 1) {
				t.Errorf("only %d states, %d units granted from the group", len(r.seenStates), r.maxFromGroup)
			}
		})
}
