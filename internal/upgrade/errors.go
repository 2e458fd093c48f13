package upgrade

import (
	"errors"
	"fmt"
	"os"
)

// ErrNoPredecessor is returned by Dial if no process of the node listens. It wraps os.ErrNotExist.
var ErrNoPredecessor = fmt.Errorf("no process of this node listens: %w", os.ErrNotExist)

// ErrIncompleteConnection reports a transferred connection that lacks its first line or server, or has a negative age.
var ErrIncompleteConnection = errors.New("connection has no first line, no server or an invalid age")

// ErrNoOrders reports a message of KindOrders without orders.
var ErrNoOrders = errors.New("message has no orders")

// ErrTruncated reports a message that did not fit the receiver's buffers, because of its length or of its sockets.
var ErrTruncated = errors.New("the message or its sockets exceed the receive buffer")

// ErrNotTCP reports a transferred socket that is not a TCP connection.
var ErrNotTCP = errors.New("a transferred socket is not a TCP connection")

// MessageError reports an invalid message. The link remains usable.
type MessageError struct{ Err error }

func (e *MessageError) Error() string { return "invalid message: " + e.Err.Error() }

// Unwrap returns the error of the message.
func (e *MessageError) Unwrap() error { return e.Err }

// VersionError reports a message of another version of the protocol.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d, want %d", e.Version, protocolVersion)
}

// KindError reports a message of an unknown kind.
type KindError struct{ Kind Kind }

func (e *KindError) Error() string { return fmt.Sprintf("unknown message kind %q", e.Kind) }

// SocketCountError reports a message whose number of sockets does not match its kind.
type SocketCountError struct {
	Kind        Kind
	Count, Want int
}

func (e *SocketCountError) Error() string {
	return fmt.Sprintf("message of kind %q has %d sockets, want %d", e.Kind, e.Count, e.Want)
}

// SizeError reports a message that exceeds the size limit and was not sent.
type SizeError struct{ Bytes int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("message has %d bytes, the limit is %d", e.Bytes, maxMessageBytes)
}

// UserError reports that the process at the other end of the link belongs to another user.
type UserError struct{ UID uint32 }

func (e *UserError) Error() string { return fmt.Sprintf("the other process belongs to user %d", e.UID) }
