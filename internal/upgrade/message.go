package upgrade

import (
	"encoding/json"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
)

// Kind is the type of a message. Its value is the name in the encoded message.
type Kind string

// Kinds of messages, in the order of an upgrade. The successor sends KindHello, and the predecessor replies with any
// number of KindState and one KindStateEnd. Once the successor serves clients, it sends KindServing, and the
// predecessor replies with KindReleased. Then the predecessor sends a KindConnection for each open connection, and the
// successor replies to each with KindAccepted or KindRejected, in the same order.
//
// After KindStateEnd either process sends KindOrders each time that the orders in force at it have changed, if the
// KindHello or KindStateEnd of the other one had the field Orders. Processes of earlier builds lack that field. In the
// same way it sends KindIDs for the requests that have begun or ended at it since.
const (
	KindHello      Kind = "hello"
	KindState      Kind = "learned"
	KindStateEnd   Kind = "told"
	KindServing    Kind = "serving"
	KindReleased   Kind = "relieved"
	KindConnection Kind = "connection"
	KindAccepted   Kind = "taken"
	KindRejected   Kind = "not_taken"
	KindOrders     Kind = "orders"
	KindIDs        Kind = "ids"
)

// protocolVersion must be changed when the meaning of a message changes. Processes with different versions reject each
// other's messages, so that they transfer nothing.
const protocolVersion = 1

// Message is a message between the two processes. Fields that its kind does not use are empty.
type Message struct {
	Version int  `json:"version"` // set by Link.Send
	Kind    Kind `json:"kind"`

	// Endpoints and State are parts of the predecessor's state, in messages of KindState.
	Endpoints *discovery.EndpointList `json:"list,omitempty"`
	State     *balance.HandoverState  `json:"memory,omitempty"`

	// OutOfService, DiscoveryAddr and ListAgeMillis are set in the message of KindStateEnd. DiscoveryAddr is the
	// address of the discovery service that sent the endpoint list. ListAgeMillis is the time in milliseconds since
	// the list was last confirmed; 0 if a watch delivers all changes.
	OutOfService  bool   `json:"out_of_service,omitempty"`
	DiscoveryAddr string `json:"discovery,omitempty"`
	ListAgeMillis int64  `json:"list_age_ms,omitempty"`

	// Orders are the orders in force at the sender, in messages of KindHello, KindStateEnd and KindOrders. In KindHello
	// they are empty and show that the sender understands KindOrders.
	Orders *Orders `json:"orders,omitempty"`

	// IDs are hashes of the IDs of requests, in messages of KindState and KindIDs, at most MaxIDs in one message.
	// IDSeed is the seed of the hashes, in the message of KindStateEnd.
	IDs    IDs    `json:"ids,omitempty"`
	IDSeed uint64 `json:"id_seed,omitempty"`

	// Connection describes the connection that a message of KindConnection transfers.
	Connection *exchange.OpenConnection `json:"standing,omitempty"`
}

const (
	// maxMessageBytes bounds a message, so that it fits the socket's default buffer as one packet.
	maxMessageBytes = 64 << 10

	// socketsPerConnection is the client's socket and the server's.
	socketsPerConnection = 2

	// MaxEntries is the maximum number of clients, servers or endpoints in one message of KindState. An entry takes
	// about 150 bytes, plus up to 128 bytes for its key, each of which JSON may escape as six bytes.
	MaxEntries = 60

	// MaxIDs is the maximum number of IDs in one message. An ID takes 11 bytes.
	MaxIDs = 4096
)

// encode sets the protocol version and returns the JSON of the message, or a *SizeError if it exceeds maxMessageBytes.
func encode(msg Message) ([]byte, error) {
	msg.Version = protocolVersion
	data, err := json.Marshal(msg)
	if err != nil {
		return nil, err
	}
	if len(data) > maxMessageBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	return data, nil
}

// decode returns the message of data that was received with socketCount sockets. It returns an error if the message
// lacks fields that its kind requires, or if its kind requires another number of sockets.
func decode(data []byte, socketCount int) (*Message, error) {
	var msg Message
	if err := json.Unmarshal(data, &msg); err != nil {
		return nil, err
	}
	if msg.Version != protocolVersion {
		return nil, &VersionError{Version: msg.Version}
	}
	if err := msg.validate(); err != nil {
		return nil, err
	}
	if want := msg.Kind.socketCount(); socketCount != want {
		return nil, &SocketCountError{Kind: msg.Kind, Count: socketCount, Want: want}
	}
	return &msg, nil
}

// validate checks the fields that the kind of the message requires.
func (m *Message) validate() error {
	switch m.Kind {
	case KindHello, KindStateEnd, KindServing, KindReleased, KindAccepted, KindRejected, KindIDs:
		return nil
	case KindState:
		if m.Endpoints != nil {
			return m.Endpoints.Validate()
		}
		return nil
	case KindOrders:
		if m.Orders == nil {
			return ErrNoOrders
		}
		return nil
	case KindConnection:
		if c := m.Connection; c == nil || len(c.FirstLine) == 0 || c.Server == 0 || c.Age < 0 {
			return ErrIncompleteConnection
		}
		return nil
	}
	return &KindError{Kind: m.Kind}
}

// socketCount returns the number of sockets that accompany a message of the kind.
func (k Kind) socketCount() int {
	if k == KindConnection {
		return socketsPerConnection
	}
	return 0
}
