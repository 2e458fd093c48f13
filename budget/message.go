package budget

import "time"

// Message is what members of a group, or a parent and its children, send each other: a LeaseRequest or a LeaseResponse.
type Message interface {
	// SenderIncarnation tells the sender's process from earlier and later ones with the same index.
	SenderIncarnation() uint64
	// MarshalCBOR encodes the message as DecodeMessage reads it.
	MarshalCBOR() ([]byte, error)
	isMessage()
}

// LeaseRequest goes from a follower to a leader. Without Leader it is a ping, or brings Wanted and Releases alone.
type LeaseRequest struct {
	Incarnation       uint64        // of the sender, never 0
	Seq               uint64        // rises with each request of an incarnation
	LeaderClock       time.Duration // the latest that came from this leader; 0 for none
	Leader            uint64        // incarnation of the leader that the sender follows and delegates to; 0 for none
	Delegated         []Amount      // reservations that the sender leaves to the leader
	DelegatesUnlisted bool          // and whole reservations of the budgets of rules that Delegated does not name
	ConcurrencyHeld   []Amount      // units under concurrency leases, to be renewed
	Acknowledged      uint64        // Seq of the latest response that came
	Wanted            []Amount      // units that are asked for
	Releases          []Release     // of grants by Leader, or by ReleasesTo where Leader is 0
	ReleasesTo        uint64        // incarnation of the leader that Releases are for; 0 for Leader
	Leaving           bool          // the sender stops, and will use nothing any more
}

// LeaseResponse goes from a leader to a follower: the answer to a LeaseRequest, or on its own when the leader leaves.
type LeaseResponse struct {
	Incarnation             uint64        // of the sender, never 0
	Seq                     uint64        // of the request
	LeaderClock             time.Duration // the sender's clock, which the follower repeats in its next request
	Follower                uint64        // incarnation that sent the request
	RenewsConcurrencyLeases bool          // the concurrency leases that the request named are renewed
	Grants                  []Grant
	HasQuorum               bool          // more than half of the group follow the sender
	DuplicateIndex          bool          // another incarnation uses the follower's index
	Leaving                 bool          // the sender stops; only Incarnation, Follower and GrantsExpireIn are set
	GrantsExpireIn          time.Duration // with Leaving: how long a grant of the sender may have effect
}

// Amount is a number of units of a budget.
type Amount struct {
	_     struct{} `cbor:",toarray"`
	ID    ID
	Units int
}

// Grant is a number of units of a budget, each for one use within Settings.LeaseTerm of the request.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	ID     ID
	Units  int
	Number uint64 // names the grant in a Release; 0 for concurrency leases
}

// Release reports the end of a grant: so many units were used, and the others are free again.
type Release struct {
	_        struct{} `cbor:",toarray"`
	Grant    uint64   // its Number
	Used     int      // units
	SinceUse int64    // nanoseconds since the last use, at the least, when the message was sent
}

// SenderIncarnation is part of Message.
func (r LeaseRequest) SenderIncarnation() uint64 { return r.Incarnation }

// SenderIncarnation is part of Message.
func (r LeaseResponse) SenderIncarnation() uint64 { return r.Incarnation }

func (LeaseRequest) isMessage()  {}
func (LeaseResponse) isMessage() {}
