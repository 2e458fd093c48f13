package budget

import (
	"cmp"
	"time"
)

// ID identifies a budget. Since distinguishes a new budget from an earlier one of the same kind and subject.
type ID struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Subject uint64
	Since   int64
}

// Compare orders IDs by kind, subject and Since.
func (id ID) Compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Kind, other.Kind), cmp.Compare(id.Subject, other.Subject),
		cmp.Compare(id.Since, other.Since))
}

// Spec defines one budget by its limit, the number of units that the group may use in any window. The limit is
// BaseLimit plus RampLimit times a factor, rounded down to whole units, and at least 1. The factor rises linearly from
// RampFrom to 1 during RampDuration after RampStart; it is 1 if RampDuration is 0. When a Spec replaces another of the
// same ID, a lower limit takes effect at once and a higher one after Settings.RecoveryDelay.
type Spec struct {
	ID           ID
	RampLimit    float64 // units
	BaseLimit    int     // units
	RampFrom     float64 // 0 to 1
	RampStart    time.Duration
	RampDuration time.Duration
	Window       time.Duration // at most Settings.MaxWindow
}

// maxRampUnits bounds the ramped part of a limit, since RampLimit may be any number.
const maxRampUnits = 1e6

// limit returns the number of units that the group may use in the window that ends now.
func (s *Spec) limit(now time.Duration) int {
	factor := 1.0
	if s.RampDuration > 0 {
		progress := min(max(float64(now-s.RampStart)/float64(s.RampDuration), 0), 1)
		factor = s.RampFrom + (1-s.RampFrom)*progress
	}
	return max(s.BaseLimit+int(min(max(s.RampLimit*factor, 0), maxRampUnits)), 1)
}

// mayExceed reports whether the limit of s may be higher than the limit of old at any time.
func (s *Spec) mayExceed(old *Spec) bool {
	return s.RampLimit > old.RampLimit || s.BaseLimit > old.BaseLimit || s.RampFrom > old.RampFrom ||
		s.RampStart < old.RampStart || s.RampDuration < old.RampDuration
}

// Rule defines every budget of one kind. Such a budget exists from its first use until none of its units has effect any
// more, so a kind may have one budget for each of many servers or customers.
type Rule struct {
	Limit        int           // units
	Window       time.Duration // at most Settings.MaxWindow
	NoDelegation bool          // reservations are not delegated: a process uses its own one Window after its start

	// ConcurrencyLeaseTerm, if positive, makes the kind a concurrency limit: Limit bounds the units in use at the same
	// time, units beyond a reservation are leased for this term, and Window is the longest time from the end of a unit
	// until that end has effect.
	ConcurrencyLeaseTerm time.Duration
}

func (r *Rule) isConcurrencyLimit() bool { return r.ConcurrencyLeaseTerm > 0 }

func (r *Rule) allowsDelegation() bool { return !r.NoDelegation && !r.isConcurrencyLimit() }

// Settings configure a member of a group. All members have the same settings except Index.
type Settings struct {
	Nodes, Index       int           // number of indexes in the group, and index of this member
	GuaranteedFraction float64       // of each limit, 0 to 1, that is reserved to members; the leader grants the rest
	MaxWindow          time.Duration // the longest window of any budget
	LeaseTerm          time.Duration // a granted unit is used within this time after its request
	HeartbeatInterval  time.Duration // between two heartbeats of a follower
	MaxClockDrift      float64       // largest relative difference of the rates of two clocks; 0 for defaultClockDrift
	Parents            int           // if positive, the member follows one of this number of Parents, and never leads
	ChildFraction      float64       // of each limit, 0 to 1, that is reserved to the children of members
}

// defaultClockDrift is the MaxClockDrift of Settings that do not set it.
const defaultClockDrift = 0.001

const (
	extraDelegationHeartbeats = 3 // heartbeat intervals that a delegation lasts longer than the effect of a grant
	driftSafetyFactor         = 4 // multiple of MaxClockDrift by which a duration is adjusted to hold on any clock
	timeoutHalfHeartbeats     = 5 // half heartbeat intervals without a response until a leader is considered lost
)

// maxEffectDuration returns how long a grant of any budget may have effect: its lease term, and after a use at the end
// of the term the longest window.
func (s *Settings) maxEffectDuration() time.Duration { return s.effectDuration(s.MaxWindow) }

// effectDuration returns how long a grant of a budget with the given window may have effect.
func (s *Settings) effectDuration(window time.Duration) time.Duration {
	return s.withDrift(s.LeaseTerm + window)
}

// delegationTerm returns how long a leader counts on a delegation. The term starts at the LeaderClock that the
// follower's request repeats.
func (s *Settings) delegationTerm() time.Duration {
	return s.maxEffectDuration() + extraDelegationHeartbeats*s.HeartbeatInterval
}

// RecoveryDelay returns how long a member does not use a reservation that it has delegated, counted from the arrival of
// the leader's latest response. This is longer than the leader counts on the delegation. A member that has lost its
// leader, or has just started, uses its reservation after this time.
func (s Settings) RecoveryDelay() time.Duration { return s.withDrift(s.delegationTerm()) }

// withDrift lengthens d so that it is no shorter than d on any other clock, with a margin.
func (s *Settings) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + driftSafetyFactor*s.MaxClockDrift))
}

// heartbeatTimeout returns how long a leader is considered alive after its latest response.
func (s *Settings) heartbeatTimeout() time.Duration {
	return timeoutHalfHeartbeats * s.HeartbeatInterval / 2
}

// groupSize returns the number of indexes from which a member accepts messages.
func (s *Settings) groupSize() int { return cmp.Or(s.Parents, s.Nodes) }

const (
	// MaxEntries bounds each list of a message, so that the message fits into one datagram.
	MaxEntries = 20

	maxWantedUnits        = 16      // units of one budget in one request
	maxPings              = 8       // members pinged in one heartbeat
	maxParentPings        = 4       // parents pinged in one heartbeat
	heartbeatsPerPing     = 8       // heartbeats per ping of a preferred parent that does not respond
	responsesBeforeReturn = 3       // consecutive responses of a preferred parent before a member returns to it
	requestsPerHeartbeat  = 20      // most requests of a member to its parent
	denialsPerHeartbeat   = 5       // most denied requests for one budget
	maxPendingRequests    = 64      // latest requests whose responses are accepted
	maxRuleAccounts       = 1 << 16 // accounts of a member; beyond them new budgets of rules are refused
)

// Action is a task that a call returns for the caller to carry out.
type Action interface{ isAction() }

// SendRequest is the action to send a request to a leader. The message may be delayed, duplicated or lost.
type SendRequest struct {
	To      int
	Request LeaseRequest
}

// SendResponse is the action to send a response to a follower. The message may be delayed, duplicated or lost.
type SendResponse struct {
	To       int
	Response LeaseResponse
	ToChild  bool // To is the index of a child of this Parent; otherwise of a member of its group
}

// ScheduleTick is the action to call Tick after a delay.
type ScheduleTick struct{ After time.Duration }

// RequestAnswered reports that the leader has answered the calls of Request for a budget, with or without a grant.
type RequestAnswered struct{ ID ID }

// LeaseExpiring is the action to end and Release a number of units of a concurrency limit before their leases expire.
type LeaseExpiring struct {
	ID    ID
	Units int
}

func (SendRequest) isAction()     {}
func (SendResponse) isAction()    {}
func (ScheduleTick) isAction()    {}
func (RequestAnswered) isAction() {}
func (LeaseExpiring) isAction()   {}

// Counters count events since the start of a member.
type Counters struct {
	Reserved, Leased int64 // units acquired from the member's reservation, and from grants or leases
	Denied           int64 // units requested because none was available
	Granted          int64 // units granted by this member as leader
	Expired          int64 // units granted to this member and not used within their term
	Sent             int64 // messages sent to other processes
	Stale            int64 // responses that are late, duplicated, or match no request of this incarnation
	Unknown          int64 // messages of an unexpected type or from an index outside the group
	DuplicateIndexes int64 // responses that report another incarnation with this member's index
	LeaderChanges    int64 // changes of the leader that this member follows
}

// State describes a member's roles in its group.
type State struct {
	Leader     int  // index of the leader that the member follows; -1 for none
	HasQuorum  bool // more than half of the group follows that leader
	Followers  int  // members that follow this member
	Recovering bool // units used by an earlier incarnation may still have effect
}
