package budget

import "time"

// Message is a LeaseRequest or a LeaseResponse. The members of a group, or a Parent and its children, exchange
// messages.
type Message interface {
	// SenderIncarnation distinguishes the sender's process from earlier and later ones with the same index.
	SenderIncarnation() uint64
	// MarshalCBOR encodes the message in the form that DecodeMessage reads.
	MarshalCBOR() ([]byte, error)
	isMessage()
}

// LeaseRequest is sent by a follower to a leader. If Leader is 0, the request delegates nothing. A ping has
// no Leader and no lists.
type LeaseRequest struct {
	Incarnation       uint64        // of the sender, never 0
	Seq               uint64        // increases with each request of an incarnation
	LeaderClock       time.Duration // latest LeaderClock received from this leader; 0 for none
	Leader            uint64        // incarnation of the leader that the sender delegates to; 0 for none
	Delegated         []Amount      // units of reservations that the sender delegates
	DelegatesUnlisted bool          // full reservations are delegated of budgets of rules that Delegated does not list
	ConcurrencyHeld   []Amount      // units under concurrency leases, which are to be renewed
	Acknowledged      uint64        // Seq of the latest response received
	Wanted            []Amount      // units that the sender requests
	Releases          []Release     // of grants by Leader, or by ReleasesTo if Leader is 0
	ReleasesTo        uint64        // incarnation of the leader that Releases are addressed to; 0 for Leader
	Leaving           bool          // the sender stops and uses no more units
}

// LeaseResponse is sent by a leader to a follower: in response to a LeaseRequest, or unrequested when the leader
// leaves.
type LeaseResponse struct {
	Incarnation             uint64        // of the sender, never 0
	Seq                     uint64        // Seq of the request
	LeaderClock             time.Duration // time on the sender's clock, which the follower repeats in its next request
	Follower                uint64        // incarnation of the sender of the request
	RenewsConcurrencyLeases bool          // the leases of ConcurrencyHeld of the request are renewed
	Grants                  []Grant
	HasQuorum               bool          // more than half of the group follows the sender
	DuplicateIndex          bool          // another incarnation has the follower's index
	Leaving                 bool          // the sender stops; only Incarnation, Follower and GrantsExpireIn are set
	GrantsExpireIn          time.Duration // if Leaving: time until no grant of the sender has effect
}

// Amount is a number of units of a budget.
type Amount struct {
	_     struct{} `cbor:",toarray"`
	ID    ID
	Units int
}

// Grant is a number of units of a budget, each for one use within Settings.LeaseTerm after the request.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	ID     ID
	Units  int
	Number uint64 // identifies the grant in a Release; 0 for concurrency leases
}

// Release reports the end of a grant: Used units were used, and the others are available to the leader again.
type Release struct {
	_        struct{} `cbor:",toarray"`
	Grant    uint64   // Number of the grant
	Used     int      // units
	SinceUse int64    // lower bound of the nanoseconds from the last use until the message was sent
}

// SenderIncarnation implements Message.
func (r LeaseRequest) SenderIncarnation() uint64 { return r.Incarnation }

// SenderIncarnation implements Message.
func (r LeaseResponse) SenderIncarnation() uint64 { return r.Incarnation }

func (LeaseRequest) isMessage()  {}
func (LeaseResponse) isMessage() {}
