// Package wire implements the simulator's protocol: it decodes batches of events from JSON lines and encodes actions as
// JSON lines. It converts between the names of the protocol and the events and actions of package balance, and has no
// balancing logic.
package wire

import (
	"time"

	"brassmux/balance"
)

// Batch holds the events of one point in time, for any number of nodes.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Event is an event of one node: the start of its instance, the stop, or an event of package balance.
type Event struct {
	Node  int
	Start *Start
	Stop  bool
	Event balance.Event
}

// Start holds the arguments for a new instance of package balance.
type Start struct {
	Seed   uint64
	Config balance.Config
}

// Action is an action of one node.
type Action struct {
	Node   int
	Action balance.Action
}
