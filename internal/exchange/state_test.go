package exchange

import "testing"

// An exchange ends once: no event that gives a reason follows another one, and none follows the end.
func TestTransitionsEndOnce(t *testing.T) {
	for s := stateNone; s < stateCount; s++ {
		for _, e := range []event{eventAnswered, eventClientLeft} {
			checkEndsFrom(t, s, e, propertiesOf[s].awaitsAnswer)
		}
		if !propertiesOf[s].timesResponses {
			for _, e := range []event{eventMoveRequested, eventServerSilent, eventEnded} {
				checkEndsFrom(t, s, e, false)
			}
		}
		if relays := propertiesOf[s].relaysClientLines; (transitions[s][eventRelayEnded] == stateClosed) != relays {
			t.Errorf("state %d: its server's side cannot end", s)
		}
	}
	for _, e := range []event{eventMoveRequested, eventServerSilent, eventEnded} {
		checkEndsFrom(t, stateOpen, e, true)
	}
	if transitions[stateClosed] != transitions[stateNone] {
		t.Error("something follows the end")
	}
}

// checkEndsFrom checks whether an event that gives a reason applies to a state, and that it ends it.
func checkEndsFrom(t *testing.T, s state, e event, applies bool) {
	t.Helper()
	next := transitions[s][e]
	if (next != stateNone) != applies {
		t.Errorf("state %d, event %d: it applies: %v", s, e, !applies)
	}
	if propertiesOf[next].awaitsAnswer || propertiesOf[next].timesResponses {
		t.Errorf("state %d, event %d: it has not ended", s, e)
	}
}
