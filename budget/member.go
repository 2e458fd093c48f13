package budget

import (
	"cmp"
	"math"
	"time"
)

// Requestable is the result of Available if no unit is available and Request would request one from the leader.
const Requestable = -1

// Member implements the roles of a node in a group. It is not safe for concurrent use. The returned actions are valid
// until the next call. If a call passes an earlier time than a previous call, the latest time passed is used.
type Member struct {
	*base
	follower follower
	leader   leader

	Counters Counters
}

// New returns the member with settings.Index at the start of its process. The incarnation distinguishes this process
// from all others of the node.
func New(settings Settings, incarnation uint64, now time.Duration) *Member {
	m := &Member{}
	m.base = newBase(settings, incarnation, now, &m.Counters)
	m.leader = newLeader(m.base)
	m.follower = newFollower(m.base, &m.leader)
	return m
}

func newBase(settings Settings, incarnation uint64, now time.Duration, counters *Counters) *base {
	settings.MaxClockDrift = cmp.Or(settings.MaxClockDrift, defaultClockDrift)
	return &base{settings: settings, incarnation: max(incarnation, 1), now: now, started: now,
		recoveredAt: now + settings.RecoveryDelay(), accounts: map[ID]*account{}, rules: map[uint8]Rule{},
		maxWantedUnits: maxWantedUnits, counters: counters}
}

// beginCall sets the time of a call, and discards the actions of the previous call.
func (b *base) beginCall(now time.Duration) { b.now, b.actions = max(b.now, now), b.actions[:0] }

// isSelf reports whether index is the index of this member.
func (b *base) isSelf(index int) bool { return index == b.settings.Index && b.settings.Parents == 0 }

// Define adds a budget, or replaces the Spec of an existing one.
func (m *Member) Define(now time.Duration, spec Spec) {
	m.now = max(m.now, now)
	m.define(spec)
}

// SetRule defines all budgets of a kind. It must be called once, before any of them is used.
func (m *Member) SetRule(kind uint8, rule Rule) { m.leader.setRule(kind, rule) }

// Drop removes a budget and the record of its use. The budget must not be defined again under the same ID within its
// window.
func (m *Member) Drop(id ID) {
	delete(m.accounts, id)
	delete(m.follower.unansweredRequests, id)
}

// MaxWindow returns the longest window of any budget.
func (m *Member) MaxWindow() time.Duration { return m.settings.MaxWindow }

// Available returns how many units may be acquired now. If there is none, it returns Requestable if Request may obtain
// one, and 0 otherwise.
func (m *Member) Available(now time.Duration, id ID) int {
	m.now = max(m.now, now)
	return m.follower.available(id)
}

// Request requests a unit if none is available. It reports whether a RequestAnswered will follow. The next call of Tick
// sends the message.
func (m *Member) Request(now time.Duration, id ID) bool {
	m.now = max(m.now, now)
	return m.follower.request(id, 1)
}

// Acquire takes one unit if one is available, and reports whether it did.
func (m *Member) Acquire(now time.Duration, id ID) bool {
	m.now = max(m.now, now)
	account := m.account(id)
	return account != nil && m.acquire(account)
}

// Release returns one unit of a concurrency limit that is no longer in use.
func (m *Member) Release(now time.Duration, id ID) {
	m.now = max(m.now, now)
	if account := m.account(id); account != nil && account.isConcurrencyLimit() {
		m.releaseConcurrent(account)
	}
}

// Adopt counts one unit of a concurrency limit that is already in use, for example since before this process started.
// It counts the unit even if none is available.
func (m *Member) Adopt(now time.Duration, id ID) {
	m.now = max(m.now, now)
	if account := m.account(id); account != nil && account.isConcurrencyLimit() {
		account.concurrency.reserved++
	}
}

// ReplaceParents replaces the parents by a number of others in a new order of preference. The member follows none until
// one of them responds, because an index may now refer to another parent.
func (m *Member) ReplaceParents(now time.Duration, parents int) {
	m.now = max(m.now, now)
	m.follower.replaceParents(parents)
}

// Tick sends the messages that are due, and schedules the next call. A call before the scheduled time is harmless.
func (m *Member) Tick(now time.Duration) []Action {
	m.beginCall(now)
	m.follower.tick()
	m.actions = m.appendLeaseExpiring(m.actions)
	m.actions = append(m.actions, ScheduleTick{After: max(m.follower.nextSend()-m.now, time.Millisecond)})
	return m.actions
}

// Leave informs the leader and the followers that this process stops, so that other members may use its reservations
// and grants. The member acquires no units afterwards.
func (m *Member) Leave(now time.Duration) []Action {
	m.beginCall(now)
	m.isLeaving = true
	m.follower.sendRequest()
	m.noReservationUntil = math.MaxInt64
	for _, response := range m.leader.leavingResponses(m.settings.Index) {
		m.Counters.Sent++
		m.actions = append(m.actions, response)
	}
	return m.actions
}

// HandleMessage handles a message from the member or the parent that has the index from.
func (m *Member) HandleMessage(now time.Duration, from int, message Message) []Action {
	m.beginCall(now)
	switch message := message.(type) {
	case LeaseRequest:
		if m.isFromGroup(from, message.Incarnation) {
			m.handleRequest(from, &message)
		}
	case LeaseResponse:
		if m.isFromGroup(from, message.Incarnation) {
			m.follower.handleResponse(from, &message)
		}
	}
	return m.actions
}

// isFromGroup reports whether a message may come from the group, and counts it as unknown otherwise.
func (m *Member) isFromGroup(from int, incarnation uint64) bool {
	ok := from >= 0 && from < m.settings.groupSize() && incarnation != 0
	if !ok {
		m.Counters.Unknown++
	}
	return ok
}

func (m *Member) handleRequest(from int, request *LeaseRequest) {
	if m.settings.Parents > 0 {
		m.Counters.Unknown++
		return
	} else if m.isLeaving {
		return
	}
	response, ok := m.leader.handleRequest(from, request)
	switch {
	case !ok:
	case m.isSelf(from):
		m.follower.handleResponse(from, &response)
	default:
		m.Counters.Sent++
		m.actions = append(m.actions, SendResponse{To: from, Response: response})
	}
}

// State returns the state of the member's roles in its group.
func (m *Member) State(now time.Duration) State {
	m.now = max(m.now, now)
	f := &m.follower
	return State{Leader: f.leaderIndex, HasQuorum: f.leaderHasQuorum(),
		Followers: m.leader.followerCount(), Recovering: m.now < m.recoveredAt}
}
