package rig

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// TestGenerateSoakScenarios guards against generated scenarios that are invalid, that differ for the same seed, or that
// cannot be saved as a file and loaded again, and against kinds of events that are never generated.
func TestGenerateSoakScenarios(t *testing.T) {
	generated := map[string]int{}
	for seed := range uint64(300) {
		config := SoakConfig{MaxNodes: 4 + int(seed%40),
			Length: 8*time.Second + time.Duration(seed)*100*time.Millisecond}
		scenario := config.Generate(seed)
		if err := scenario.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(scenario, config.Generate(seed)) {
			t.Fatalf("seed %d generates two different scenarios", seed)
		}
		text, err := toml.Marshal(scenario)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "soak.toml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if read, err := Load(path); err != nil || read.Name != scenario.Name ||
			len(read.Events) != len(scenario.Events) || read.Clients != scenario.Clients {
			t.Fatalf("seed %d: loaded %+v, %v", seed, read, err)
		}
		for _, event := range scenario.Events {
			generated[event.Kind]++
		}
	}
	for _, kind := range eventKinds {
		// A duplicate process adds a fixed quota of its own, and most scenarios have no datagrams that a split drops.
		if generated[kind] == 0 && kind != "twin" && kind != "split" {
			t.Errorf("no scenario has %s", kind)
		}
	}
}

// TestSoakScenarios guards against invariants that are violated only while several faults overlap.
func TestSoakScenarios(t *testing.T) {
	for _, seed := range []uint64{3, 7} {
		scenario := SoakConfig{MaxNodes: 8, Length: 10 * time.Second}.Generate(seed)
		result, err := Run(scenario, Options{Seed: seed, Binary: binary})
		for range 7 {
			if err != nil {
				t.Fatal(err)
			} else if result.InvalidReason == "" {
				break
			}
			t.Log("invalid run: ", result.InvalidReason)
			result, err = Run(scenario, Options{Seed: seed, Binary: binary})
		}
		if result.InvalidReason != "" {
			t.Errorf("seed %d: eight invalid runs, the last: %s", seed, result.InvalidReason)
		} else if result.Violations.Any() {
			t.Errorf("seed %d: %+v\n%s", seed, result.Violations, result.History)
		} else if result.Totals["up"] < 50 {
			t.Errorf("seed %d: only %d clients connected", seed, result.Totals["up"])
		}
	}
}
