package exchange

import "testing"

// Several events that end an exchange may occur at once. Only the first may determine the reason, and no event may
// change the state after the end.
func TestTransitionsEndExchangeOnce(t *testing.T) {
	for s := stateNone; s < stateCount; s++ {
		for _, e := range []event{eventAnswered, eventClientLeft} {
			checkEndingEvent(t, s, e, propertiesOf[s].awaitsAnswer)
		}
		if !propertiesOf[s].timesResponses {
			for _, e := range []event{eventMoveRequested, eventServerSilent, eventEnded} {
				checkEndingEvent(t, s, e, false)
			}
		}
		if relays := propertiesOf[s].relaysClientLines; (transitions[s][eventRelayEnded] == stateClosed) != relays {
			t.Errorf("state %d: wrong transition after the end of the relay", s)
		}
	}
	for _, e := range []event{eventMoveRequested, eventServerSilent, eventEnded} {
		checkEndingEvent(t, stateOpen, e, true)
	}
	if transitions[stateClosed] != transitions[stateNone] {
		t.Error("the closed state has transitions")
	}
}

// checkEndingEvent checks whether an event that sets a reason applies to a state, and that the exchange is no longer
// unanswered or open after it.
func checkEndingEvent(t *testing.T, s state, e event, wantApplies bool) {
	t.Helper()
	next := transitions[s][e]
	if (next != stateNone) != wantApplies {
		t.Errorf("state %d, event %d: event applies: %v", s, e, !wantApplies)
	}
	if propertiesOf[next].awaitsAnswer || propertiesOf[next].timesResponses {
		t.Errorf("state %d, event %d: the exchange has not ended", s, e)
	}
}
