package wire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"brassmux/balance"
	"brassmux/internal/sim/gossip"
)

// actionFields holds the fields of all messages for actions. Fields that a message does not use are omitted.
type actionFields struct {
	Node             int     `json:"node"`
	Request          *uint64 `json:"request_id,omitempty"`
	Server           *uint64 `json:"host,omitempty"`
	TimeoutMicros    int64   `json:"patience_us,omitempty"`
	RetryAfterMicros int64   `json:"retry_in_us,omitempty"`
	TimerMicros      *int64  `json:"offset_us,omitempty"`
	TimerToken       *uint64 `json:"mark,omitempty"`
	Active           bool    `json:"active,omitempty"`
	LogText          string  `json:"text,omitempty"`
	Receiver         *int    `json:"dest,omitempty"`
	GossipText       string  `json:"octets,omitempty"`
}

// ActionError reports an action that the protocol cannot express.
type ActionError struct{ Action balance.Action }

func (e *ActionError) Error() string {
	return fmt.Sprintf("the protocol has no message for action %T", e.Action)
}

// Writer encodes the replies to batches.
type Writer struct {
	out     *bufio.Writer
	encoder *json.Encoder
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	buffered := bufio.NewWriterSize(out, bufferSize)
	encoder := json.NewEncoder(buffered)
	encoder.SetEscapeHTML(false)
	return &Writer{out: buffered, encoder: encoder}
}

// Write writes the reply to one batch: a message for each action, then DONE. It returns an *ActionError for an action
// that the protocol cannot express.
func (w *Writer) Write(actions []Action) error {
	for _, action := range actions {
		name, fields, err := encode(action)
		if err != nil {
			return err
		}
		if err := w.encoder.Encode(map[string]actionFields{name: fields}); err != nil {
			return err
		}
	}
	if err := w.encoder.Encode(map[string]struct{}{"DONE": {}}); err != nil {
		return err
	}
	return w.out.Flush()
}

// encode returns the name and the fields of the message for an action.
func encode(action Action) (name string, fields actionFields, err error) {
	fields.Node = action.Node
	switch a := action.Action.(type) {
	case balance.Attempt:
		fields.Request, fields.Server, fields.TimeoutMicros =
			(*uint64)(&a.ID), (*uint64)(&a.Server), a.Timeout.Microseconds()
		return "ISSUE", fields, nil
	case balance.Reject:
		fields.Request, fields.RetryAfterMicros = (*uint64)(&a.ID), a.RetryAfter.Microseconds()
		return "BUSY", fields, nil
	case balance.Fail:
		fields.Request = (*uint64)(&a.ID)
		return "ABORT", fields, nil
	case balance.Migrate:
		fields.Request = (*uint64)(&a.ID)
		return "BOUNCE", fields, nil
	case balance.HealthCheck:
		fields.Server = (*uint64)(&a.Server)
		return "SAMPLE", fields, nil
	case balance.SendGossip:
		fields.Receiver, fields.GossipText = &a.ToNode, gossip.Encode(a.Message)
		return "ANNOUNCE", fields, nil
	case balance.SetTimer:
		after := a.After.Microseconds()
		fields.TimerMicros, fields.TimerToken = &after, &a.Token
		return "SET_TIMER", fields, nil
	case balance.WatchEndpoints:
		fields.Active = true
		return "SUBSCRIBE", fields, nil
	case balance.Log:
		fields.LogText = a.Text
		return "WRITE_LOG", fields, nil
	}
	return "", fields, &ActionError{Action: action.Action}
}
