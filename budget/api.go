package budget

import (
	"cmp"
	"time"
)

// ID names a budget. One that starts anew under an old kind and subject differs in Since.
type ID struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Subject uint64
	Since   int64
}

// Compare orders IDs by kind, subject and Since.
func (x ID) Compare(y ID) int {
	return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Subject, y.Subject), cmp.Compare(x.Since, y.Since))
}

// Spec defines one budget by its limit: the units that the whole group may use in any window. The limit is BaseLimit
// plus the whole units of RampLimit times a factor, and at least 1. The factor rises evenly from RampFrom to 1 during
// RampDuration after RampStart; it is 1 where RampDuration is 0. Of a Spec that replaces another of the same ID, a
// lower limit takes effect at once and a higher one after Settings.RecoveryDelay.
type Spec struct {
	ID           ID
	RampLimit    float64 // units
	BaseLimit    int     // units
	RampFrom     float64 // 0 to 1
	RampStart    time.Duration
	RampDuration time.Duration
	Window       time.Duration // at most Settings.MaxWindow
}

// maxRampUnits bounds RampLimit, which may be any number.
const maxRampUnits = 1e6

// limit is what the group may use in a window that ends now.
func (s *Spec) limit(now time.Duration) int {
	factor := 1.0
	if s.RampDuration > 0 {
		done := min(max(float64(now-s.RampStart)/float64(s.RampDuration), 0), 1)
		factor = s.RampFrom + (1-s.RampFrom)*done
	}
	return max(s.BaseLimit+int(min(max(s.RampLimit*factor, 0), maxRampUnits)), 1)
}

// mayExceed tells whether the limit of s may ever be higher than that of old.
func (s *Spec) mayExceed(old *Spec) bool {
	return s.RampLimit > old.RampLimit || s.BaseLimit > old.BaseLimit || s.RampFrom > old.RampFrom ||
		s.RampStart < old.RampStart || s.RampDuration < old.RampDuration
}

// Rule defines every budget of one kind. Such a budget exists from its first use until nothing of it has effect any
// more, so there may be one for each of many servers or customers.
type Rule struct {
	Limit        int           // units
	Window       time.Duration // at most Settings.MaxWindow
	NoDelegation bool          // reservations are never delegated, so a process has its own one Window after its start

	// ConcurrencyLeaseTerm over 0 makes the kind a concurrency limit: Limit bounds the units in use at once, those
	// over a reservation are leased for this term, and Window is how long the end of a unit may take to have effect.
	ConcurrencyLeaseTerm time.Duration
}

func (r *Rule) isConcurrencyLimit() bool { return r.ConcurrencyLeaseTerm > 0 }

func (r *Rule) isDelegated() bool { return !r.NoDelegation && !r.isConcurrencyLimit() }

// Settings are those of a group. All its members have the same, but for Index.
type Settings struct {
	Nodes, Index       int           // how many indexes the group has, and this member's
	GuaranteedFraction float64       // of each limit, 0 to 1, that is reserved to members; the leader divides the rest
	MaxWindow          time.Duration // the longest window of any budget
	LeaseTerm          time.Duration // a grant is used within this time of its request
	HeartbeatInterval  time.Duration // between a follower's requests
	MaxClockDrift      float64       // by which the rates of any two clocks differ at most; 0 for defaultClockDrift
	Parents            int           // over 0: the member follows one of so many Parents, and never leads
	ChildFraction      float64       // of each limit, 0 to 1, that is reserved to the children of members
}

const defaultClockDrift = 0.001

const (
	holdHeartbeats       = 3 // heartbeat intervals that a leader holds a delegation beyond the effect of a grant
	driftMargin          = 4 // times MaxClockDrift, by which a span that must not be shorter elsewhere is lengthened
	timeoutHalfIntervals = 5 // half heartbeat intervals without a response until a leader counts as lost
)

// effectHorizon is how long a grant may have effect: its term, and the longest window after its last use.
func (s *Settings) effectHorizon() time.Duration { return s.effectSpan(s.MaxWindow) }

// effectSpan is effectHorizon of a budget with a window of its own.
func (s *Settings) effectSpan(window time.Duration) time.Duration {
	return s.withDrift(s.LeaseTerm + window)
}

// leaderHoldTime is how long a leader counts on a delegation, from the LeaderClock that the request repeats.
func (s *Settings) leaderHoldTime() time.Duration {
	return s.effectHorizon() + holdHeartbeats*s.HeartbeatInterval
}

// RecoveryDelay is how long a delegation binds its giver, which is longer than the leader counts on it. A member that
// loses its leader, or has started, uses its reservation after it.
func (s Settings) RecoveryDelay() time.Duration { return s.withDrift(s.leaderHoldTime()) }

// withDrift is a span that is no shorter than d on any other clock, with a margin.
func (s *Settings) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + driftMargin*s.MaxClockDrift))
}

// heartbeatTimeout is how long after its last response a leader counts as there.
func (s *Settings) heartbeatTimeout() time.Duration {
	return timeoutHalfIntervals * s.HeartbeatInterval / 2
}

// groupSize is the number of indexes that may send messages to a member.
func (s *Settings) groupSize() int { return cmp.Or(s.Parents, s.Nodes) }

const (
	// MaxEntries bounds each list of a message, so that it fits a datagram.
	MaxEntries = 20

	maxWanted            = 16 // units of one budget in a request
	maxPings             = 8  // members pinged at once
	maxParentPings       = 4  // parents pinged at once
	heartbeatsPerPing    = 8  // of a parent that is preferred to the leader
	returnAfterResponses = 3  // of an earlier parent, one after another, until a member follows it again
	requestsPerHeartbeat = 20 // of a member to its parent, at most
	denialsPerHeartbeat  = 5  // of one budget, at most
	maxPendingRequests   = 64 // whose responses are still accepted
	maxRuleAccounts      = 1 << 16
)

// Action is what the caller has to do after a call.
type Action interface{ isAction() }

// SendRequest asks to send a message to a leader. It may be late, repeated or lost.
type SendRequest struct {
	To      int
	Request LeaseRequest
}

// SendResponse asks to send a message to a follower. It may be late, repeated or lost.
type SendResponse struct {
	To       int
	Response LeaseResponse
	ToChild  bool // To is the index of a child of this Parent, not of a member of its group
}

// ScheduleTick asks for a call of Tick after a while.
type ScheduleTick struct{ After time.Duration }

// RequestAnswered says that the leader has answered a Request, with a grant or without.
type RequestAnswered struct{ ID ID }

// LeaseExpiring asks to end and Release so many units of a concurrency limit before their leases expire.
type LeaseExpiring struct {
	ID    ID
	Units int
}

func (SendRequest) isAction()     {}
func (SendResponse) isAction()    {}
func (ScheduleTick) isAction()    {}
func (RequestAnswered) isAction() {}
func (LeaseExpiring) isAction()   {}

// Counters count since the start of a member.
type Counters struct {
	Reserved, Leased int64 // units acquired of the member's reservation, and of leases
	Denied           int64 // units requested as none was available
	Granted          int64 // units granted as leader
	Expired          int64 // units granted to this member that it did not use in their term
	Sent             int64 // messages
	Stale            int64 // responses that are late, repeated, or to no request of this incarnation
	Unknown          int64 // messages of a kind or from an index that this group does not have
	DuplicateIndexes int64 // responses that tell of another incarnation with this index
	LeaderChanges    int64
}

// State is a member's part in its group.
type State struct {
	Leader     int  // index of the leader that the member follows, -1 for none
	HasQuorum  bool // more than half of the group follow that leader
	Followers  int  // of this member
	Recovering bool // what an earlier incarnation used may still have effect
}
