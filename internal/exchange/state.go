package exchange

// state is the state of an exchange. It changes only according to transitions, with Exchange.mu held.
type state uint8

const (
	stateNone            state = iota // no state: marks events without a transition
	stateAwaitingAttempt              // the client awaits its answer; no attempt yet, or the latest was cancelled
	stateConnecting                   // the client awaits its answer; the latest attempt has sent nothing
	stateSent                         // the client awaits its answer; the server may have run the request
	stateOpen                         // the server has accepted, and neither side has ended the connection
	stateFinalLine                    // the server has sent BYE or MOVE, and must close
	stateMoving                       // MOVE is to be sent to the client between two lines
	stateMovingFinalLine              // the server has sent BYE or MOVE first: the client is not sent the node's MOVE
	stateEnding                       // one side has ended the connection, or another process continues it
	stateEndingFinalLine              // one side has ended the connection, and the server has sent BYE or MOVE
	stateClosed                       // the node has answered, the client has left, or the attempt's goroutine is done
	stateCount
)

// event is an event that may change the state of an exchange.
type event uint8

const (
	eventAttemptStarted   event = iota // the caller has started an attempt
	eventSendingStarted                // the attempt's goroutine is about to send the first line
	eventAttemptCancelled              // the caller has cancelled the attempt before it sent anything
	eventAnswered                      // the node, not a server, gives the final answer
	eventClientLeft                    // the client has disconnected before its answer
	eventAccepted                      // the server has accepted
	eventMoveRequested                 // the caller has called Move
	eventMoveSent                      // the attempt's goroutine is about to send MOVE to the client
	eventServerSilent                  // no response to a message within Limits.ResponseTimeout
	eventFinalLine                     // the server has sent BYE or MOVE
	eventEnded                         // either side has ended the connection, or it was handed over to another process
	eventRelayEnded                    // the attempt's goroutine has stopped relaying
	eventCount
)

// transitions gives the state after an event, or stateNone if the event comes too late or does not apply. The first
// event that ends an exchange determines its reason, because later ones have no transition.
var transitions = [stateCount][eventCount]state{
	stateAwaitingAttempt: {
		eventAttemptStarted: stateConnecting,
		eventAnswered:       stateClosed,
		eventClientLeft:     stateClosed,
		eventAccepted:       stateOpen,
	},
	stateConnecting: {
		eventAttemptStarted:   stateConnecting,
		eventSendingStarted:   stateSent,
		eventAttemptCancelled: stateAwaitingAttempt,
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
		eventFinalLine:     stateFinalLine,
		eventEnded:         stateEnding,
		eventRelayEnded:    stateClosed,
	},
	stateFinalLine: {
		eventEnded:      stateEndingFinalLine,
		eventRelayEnded: stateClosed,
	},
	stateMoving: {
		eventMoveSent:   stateClosed,
		eventFinalLine:  stateMovingFinalLine,
		eventRelayEnded: stateClosed,
	},
	stateMovingFinalLine: {
		eventRelayEnded: stateClosed,
	},
	stateEnding: {
		eventFinalLine:  stateEndingFinalLine,
		eventRelayEnded: stateClosed,
	},
	stateEndingFinalLine: {
		eventRelayEnded: stateClosed,
	},
}

// stateProperties describes what is outstanding or permitted in a state.
type stateProperties struct {
	awaitsAnswer      bool // the client awaits its final answer
	relaysClientLines bool // the client's lines are sent to the server
	moveRequested     bool // Move was called: the client is sent MOVE unless the server sends BYE or MOVE first
	awaitsServerClose bool // the server has sent BYE or MOVE, and must close
	timesResponses    bool // the response times of the server are measured
}

// propertiesOf gives the properties of each state.
var propertiesOf = [stateCount]stateProperties{
	stateAwaitingAttempt: {awaitsAnswer: true},
	stateConnecting:      {awaitsAnswer: true},
	stateSent:            {awaitsAnswer: true},
	stateOpen:            {relaysClientLines: true, timesResponses: true},
	stateFinalLine:       {relaysClientLines: true, awaitsServerClose: true, timesResponses: true},
	stateMoving:          {relaysClientLines: true, moveRequested: true},
	stateMovingFinalLine: {relaysClientLines: true, moveRequested: true, awaitsServerClose: true},
	stateEnding:          {relaysClientLines: true},
	stateEndingFinalLine: {relaysClientLines: true, awaitsServerClose: true},
}

// apply changes the state according to an event. It returns false if there is no transition. x.mu must be held.
func (x *Exchange) apply(e event) bool {
	next := transitions[x.state][e]
	if next == stateNone {
		return false
	}
	x.state = next
	return true
}

// end changes the state according to an event that ends the exchange, and sets the reason. It returns false if the
// exchange has already ended or the event does not apply. x.mu must be held.
func (x *Exchange) end(e event, reason Reason) bool {
	ended := x.apply(e)
	if ended {
		x.reason = reason
	}
	return ended
}

// properties returns the properties of the current state.
func (x *Exchange) properties() stateProperties {
	x.mu.Lock()
	defer x.mu.Unlock()
	return propertiesOf[x.state]
}

// isOpen reports whether a server has accepted and neither side has ended the connection.
func (x *Exchange) isOpen() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state == stateOpen
}
