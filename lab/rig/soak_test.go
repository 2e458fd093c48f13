package rig

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Every drawn day can be played, is the same for a seed, and can be kept as a file.
func TestGenerateSoakScenarios(t *testing.T) {
	generated := map[string]int{}
	for seed := range uint64(300) {
		config := SoakConfig{MaxNodes: 4 + int(seed%40), Length: 8*time.Second + time.Duration(seed)*100*time.Millisecond}
		scenario := config.Generate(seed)
		if err := scenario.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(scenario, config.Generate(seed)) {
			t.Fatalf("seed %d draws two days", seed)
		}
		text, err := toml.Marshal(scenario)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "day.toml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if read, err := Load(path); err != nil || read.Name != scenario.Name || len(read.Events) != len(scenario.Events) || read.Clients != scenario.Clients {
			t.Fatalf("seed %d: read back %+v, %v", seed, read, err)
		}
		for _, event := range scenario.Events {
			generated[event.Kind]++
		}
	}
	for _, kind := range eventKinds {
		if generated[kind] == 0 && kind != "twin" && kind != "split" { // a second process spends a part of its own; no words to split
			t.Errorf("no day has %s", kind)
		}
	}
}

// Two drawn days: all rules hold while troubles overlap.
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
			t.Log("void: ", result.InvalidReason)
			result, err = Run(scenario, Options{Seed: seed, Binary: binary})
		}
		if result.InvalidReason != "" {
			t.Errorf("seed %d: void each time: %s", seed, result.InvalidReason)
		} else if result.Violations.Any() {
			t.Errorf("seed %d: %+v\n%s", seed, result.Violations, result.History)
		} else if result.Totals["up"] < 50 {
			t.Errorf("seed %d: %d stood", seed, result.Totals["up"])
		}
	}
}
