package exchange

// state is the state of an exchange. It changes only by the table of transitions, with Exchange.mu held.
type state uint8

const (
	stateNone           state = iota // in the table: the event does not apply
	stateUnsent                      // the client awaits its answer; no attempt is out that may be cancelled unsent
	stateConnecting                  // an attempt is out that has sent nothing
	stateSent                        // an attempt is out that may run at the server
	stateOpen                        // the server has accepted; nothing ends the connection
	stateLastWord                    // the server has sent its last line, and is to close
	stateMoving                      // the client is to be sent MOVE between two lines
	stateMovingLastWord              // the server's last line has come before the MOVE, and takes its place
	stateEnding                      // one side has ended the connection, or another process has it
	stateEndingLastWord
	stateClosed // answered by the node, left by the client, or ended on the server's side
	stateCount
)

// event is what happens to an exchange.
type event uint8

const (
	eventAttemptStarted   event = iota // by the caller, which has chosen a server
	eventSendingStarted                // by the attempt's goroutine
	eventAttemptCancelled              // by the caller, before the attempt has sent anything
	eventAnswered                      // by the caller: the final answer is not a server's
	eventClientLeft                    // by the client, before its answer
	eventAccepted                      // by the server
	eventMoveRequested                 // by the caller
	eventMoveSent                      // by the server's goroutine
	eventServerSilent                  // no response to a message within Limits.ResponseTimeout
	eventLastWord                      // BYE or MOVE by the server
	eventEnded                         // by either side, or by the hand-over to another process
	eventRelayEnded                    // the server's goroutine has no more to relay
	eventCount
)

// transitions gives the state after an event; stateNone where the event comes too late or does not apply. The first
// event that ends an exchange gives its reason: later ones find no transition.
var transitions = [stateCount][eventCount]state{
	stateUnsent: {
		eventAttemptStarted: stateConnecting,
		eventAnswered:       stateClosed,
		eventClientLeft:     stateClosed,
		eventAccepted:       stateOpen,
	},
	stateConnecting: {
		eventAttemptStarted:   stateConnecting,
		eventSendingStarted:   stateSent,
		eventAttemptCancelled: stateUnsent,
		eventAnswered:         stateClosed,
		eventClientLeft:       stateClosed,
		eventAccepted:         stateOpen,
	},
	stateSent: {
		eventAttemptStarted: stateConnecting,
		eventAnswered:       stateClosed,
		eventClientLeft:     stateClosed,
		eventAccepted:       stateOpen,
	},
	stateOpen: {
		eventMoveRequested: stateMoving,
		eventServerSilent:  stateClosed,
		eventLastWord:      stateLastWord,
		eventEnded:         stateEnding,
		eventRelayEnded:    stateClosed,
	},
	stateLastWord: {
		eventEnded:      stateEndingLastWord,
		eventRelayEnded: stateClosed,
	},
	stateMoving: {
		eventMoveSent:   stateClosed,
		eventLastWord:   stateMovingLastWord,
		eventRelayEnded: stateClosed,
	},
	stateMovingLastWord: {
		eventRelayEnded: stateClosed,
	},
	stateEnding: {
		eventLastWord:   stateEndingLastWord,
		eventRelayEnded: stateClosed,
	},
	stateEndingLastWord: {
		eventRelayEnded: stateClosed,
	},
}

// obligations are what is owed in a state.
type obligations struct {
	answer      bool // to the client, which awaits it
	clientLines bool // to the server: what the client sends
	move        bool // to the client, unless the server's last word comes first
	serverClose bool // by the server, whose last word has come
	timing      bool // the responses to the client's messages are timed
}

var owed = [stateCount]obligations{
	stateUnsent:         {answer: true},
	stateConnecting:     {answer: true},
	stateSent:           {answer: true},
	stateOpen:           {clientLines: true, timing: true},
	stateLastWord:       {clientLines: true, serverClose: true, timing: true},
	stateMoving:         {clientLines: true, move: true},
	stateMovingLastWord: {clientLines: true, move: true, serverClose: true},
	stateEnding:         {clientLines: true},
	stateEndingLastWord: {clientLines: true, serverClose: true},
}

// apply changes the state by an event, and returns false where there is no transition. x.mu is held.
func (x *Exchange) apply(e event) bool {
	next := transitions[x.state][e]
	if next == stateNone {
		return false
	}
	x.state = next
	return true
}

// end changes the state by an event that ends the exchange, for a reason. It returns false where something else has
// ended it before. x.mu is held.
func (x *Exchange) end(e event, reason Reason) bool {
	ended := x.apply(e)
	if ended {
		x.reason = reason
	}
	return ended
}

// owes returns what is owed now.
func (x *Exchange) owes() obligations {
	x.mu.Lock()
	defer x.mu.Unlock()
	return owed[x.state]
}

// isOpen reports whether the connection is open and nothing ends it.
func (x *Exchange) isOpen() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == stateOpen
}
