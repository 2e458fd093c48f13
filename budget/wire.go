package budget

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// wireMessage is the encoding of both messages as one array. Fields that a message does not have are zero.
type wireMessage struct {
	_                       struct{} `cbor:",toarray"`
	IsResponse              bool
	Incarnation             uint64
	Seq                     uint64
	Stamp                   int64  // LeaderClock, or GrantsExpireIn if a leader leaves
	Peer                    uint64 // Leader of a request, Follower of a response
	Delegated               []Amount
	DelegatesUnlisted       bool
	ConcurrencyHeld         []Amount
	Acknowledged            uint64
	RenewsConcurrencyLeases bool
	Wanted                  []Amount
	Releases                []Release
	ReleasesTo              uint64
	Grants                  []Grant
	HasQuorum               bool
	DuplicateIndex          bool
	Leaving                 bool
}

// DecodeError reports that the body of a datagram is not a message.
type DecodeError struct{ Err error }

func (e *DecodeError) Error() string { return fmt.Sprintf("budget: not a message: %v", e.Err) }

// Unwrap returns the error of the decoder.
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeMessage decodes a LeaseRequest or a LeaseResponse. The error, if any, is a *DecodeError.
func DecodeMessage(data []byte) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, &DecodeError{err}
	}
	if w.IsResponse {
		return w.response(), nil
	}
	return w.request(), nil
}

// MarshalCBOR implements cbor.Marshaler.
func (r LeaseRequest) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(wireMessage{Incarnation: r.Incarnation, Seq: r.Seq, Stamp: int64(r.LeaderClock), Peer: r.Leader,
		Delegated: r.Delegated, DelegatesUnlisted: r.DelegatesUnlisted, ConcurrencyHeld: r.ConcurrencyHeld,
		Acknowledged: r.Acknowledged, Wanted: r.Wanted, Releases: r.Releases, ReleasesTo: r.ReleasesTo,
		Leaving: r.Leaving})
}

// MarshalCBOR implements cbor.Marshaler.
func (r LeaseResponse) MarshalCBOR() ([]byte, error) {
	w := wireMessage{IsResponse: true, Incarnation: r.Incarnation, Seq: r.Seq, Stamp: int64(r.LeaderClock),
		Peer: r.Follower, RenewsConcurrencyLeases: r.RenewsConcurrencyLeases, Grants: r.Grants, HasQuorum: r.HasQuorum,
		DuplicateIndex: r.DuplicateIndex, Leaving: r.Leaving}
	if r.Leaving {
		w.Stamp = int64(r.GrantsExpireIn)
	}
	return cbor.Marshal(w)
}

func (w *wireMessage) request() LeaseRequest {
	return LeaseRequest{Incarnation: w.Incarnation, Seq: w.Seq, LeaderClock: time.Duration(w.Stamp), Leader: w.Peer,
		Delegated: w.Delegated, DelegatesUnlisted: w.DelegatesUnlisted, ConcurrencyHeld: w.ConcurrencyHeld,
		Acknowledged: w.Acknowledged, Wanted: w.Wanted, Releases: w.Releases, ReleasesTo: w.ReleasesTo,
		Leaving: w.Leaving}
}

func (w *wireMessage) response() LeaseResponse {
	r := LeaseResponse{Incarnation: w.Incarnation, Seq: w.Seq, LeaderClock: time.Duration(w.Stamp), Follower: w.Peer,
		RenewsConcurrencyLeases: w.RenewsConcurrencyLeases, Grants: w.Grants, HasQuorum: w.HasQuorum,
		DuplicateIndex: w.DuplicateIndex, Leaving: w.Leaving}
	if r.Leaving {
		r.LeaderClock, r.GrantsExpireIn = 0, time.Duration(w.Stamp)
	}
	return r
}
