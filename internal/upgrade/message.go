package upgrade

import (
	"encoding/json"

	"brassmux/balance"
	"brassmux/internal/discovery"
	"brassmux/internal/exchange"
)

// Kind is the type of a message, by its name on the wire.
type Kind string

// The kinds, in the order of an upgrade. The successor opens with KindHello; the predecessor answers with any number
// of KindState and one KindStateEnd. When the successor serves it sends KindServing, and the predecessor answers with
// KindReleased. Then the predecessor sends one KindConnection after another, and the successor answers each with
// KindAccepted or KindRejected, in the same order.
const (
	KindHello      Kind = "hello"
	KindState      Kind = "learned"
	KindStateEnd   Kind = "told"
	KindServing    Kind = "serving"
	KindReleased   Kind = "relieved"
	KindConnection Kind = "connection"
	KindAccepted   Kind = "taken"
	KindRejected   Kind = "not_taken"
)

// protocolVersion changes when a message changes its meaning. Processes of different versions transfer nothing.
const protocolVersion = 1

// Message is one message between the two processes. Fields that its kind does not use are empty.
type Message struct {
	Version int  `json:"version"` // set by Link.Send
	Kind    Kind `json:"kind"`

	// Endpoints and State are parts of the inherited state, in messages of KindState.
	Endpoints *discovery.EndpointList `json:"list,omitempty"`
	State     *balance.HandoverState  `json:"memory,omitempty"`

	// OutOfService and DiscoveryAddr, where the endpoint list came from, are in the message of KindStateEnd.
	OutOfService  bool   `json:"out_of_service,omitempty"`
	DiscoveryAddr string `json:"discovery,omitempty"`

	// Connection describes the connection that a message of KindConnection transfers.
	Connection *exchange.OpenConnection `json:"standing,omitempty"`
}

const (
	// maxMessageBytes is what fits one packet of the socket's default buffer.
	maxMessageBytes = 64 << 10

	// socketsPerConnection counts the client's socket and the server's.
	socketsPerConnection = 2

	// MaxEntries is the number of clients, servers or endpoints that one message of KindState may hold. An entry takes
	// about 150 bytes, and its key up to 128 bytes, each of which JSON may write as six.
	MaxEntries = 60
)

// encode returns the message as it is sent, or a *SizeError.
func encode(m Message) ([]byte, error) {
	m.Version = protocolVersion
	data, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(data) > maxMessageBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	return data, nil
}

// decode reads a message that came with a number of sockets. It checks that the kind has the fields and sockets that
// it needs.
func decode(data []byte, sockets int) (*Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	if m.Version != protocolVersion {
		return nil, &VersionError{Version: m.Version}
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	if want := m.Kind.sockets(); sockets != want {
		return nil, &SocketCountError{Kind: m.Kind, Count: sockets, Want: want}
	}
	return &m, nil
}

// validate checks the fields that the message's kind needs.
func (m *Message) validate() error {
	switch m.Kind {
	case KindHello, KindStateEnd, KindServing, KindReleased, KindAccepted, KindRejected:
		return nil
	case KindState:
		if m.Endpoints != nil {
			return m.Endpoints.Validate()
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

// sockets returns the number of sockets that belong to a message of the kind.
func (k Kind) sockets() int {
	if k == KindConnection {
		return socketsPerConnection
	}
	return 0
}
