package balance

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"
)

// fullHandoverState returns a state with every field set.
func fullHandoverState() HandoverState {
	return HandoverState{
		TakenAt: 90 * time.Second, ConnectionRate: 12.5, RateUpdatedAt: 89 * time.Second,
		Servers: []ServerRecord{{
			ID: 1<<64 - 1, StartedAt: 70 * time.Second, EjectedUntil: 91 * time.Second,
			ConsecutiveFailures: 2, Utilisation: 0.625,
			ReportedAt: 88 * time.Second, ConnectionsSinceReport: 3, LatestStart: 71 * time.Second,
			StartLearnedAt: 72 * time.Second,
		}},
		Affinities: []AffinityRecord{{ClientKey: "client", Server: 7, StartedAt: 60 * time.Second,
			ExpiresAt: 120 * time.Second}},
	}
}

func TestHandoverStateEncoding(t *testing.T) {
	for file, state := range map[string]HandoverState{"memory.json": fullHandoverState(),
		"memory-empty.json": {}} {
		golden, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		golden = bytes.TrimSpace(golden)
		encoded, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(encoded, golden) {
			t.Errorf("%s: encoded as %s", file, encoded)
		}
		var decoded HandoverState
		if err := json.Unmarshal(golden, &decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, state) {
			t.Errorf("%s: decoded as %+v", file, decoded)
		}
	}
}
