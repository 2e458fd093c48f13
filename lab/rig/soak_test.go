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
func TestDrawnDaysAreSound(t *testing.T) {
	drawn := map[string]int{}
	for seed := range uint64(300) {
		soak := SoakConfig{MaxNodes: 4 + int(seed%40), Length: 8*time.Second + time.Duration(seed)*100*time.Millisecond}
		s := soak.Generate(seed)
		if err := s.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(s, soak.Generate(seed)) {
			t.Fatalf("seed %d draws two days", seed)
		}
		text, err := toml.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "day.toml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if read, err := Load(path); err != nil || read.Name != s.Name || len(read.Events) != len(s.Events) || read.Clients != s.Clients {
			t.Fatalf("seed %d: read back %+v, %v", seed, read, err)
		}
		for _, e := range s.Events {
			drawn[e.Kind]++
		}
	}
	for _, kind := range eventKinds {
		if drawn[kind] == 0 && kind != "twin" && kind != "split" { // a second process spends a part of its own; no words to split
			t.Errorf("no day has %s", kind)
		}
	}
}

// Two drawn days: all rules hold while troubles overlap.
func TestDrawnDays(t *testing.T) {
	for _, seed := range []uint64{3, 7} {
		s := SoakConfig{MaxNodes: 8, Length: 10 * time.Second}.Generate(seed)
		r, err := Run(s, Options{Seed: seed, Binary: binary})
		for range 7 {
			if err != nil {
				t.Fatal(err)
			} else if r.InvalidReason == "" {
				break
			}
			t.Log("void: ", r.InvalidReason)
			r, err = Run(s, Options{Seed: seed, Binary: binary})
		}
		if r.InvalidReason != "" {
			t.Errorf("seed %d: void each time: %s", seed, r.InvalidReason)
		} else if r.Violations.Any() {
			t.Errorf("seed %d: %+v\n%s", seed, r.Violations, r.History)
		} else if r.Totals["up"] < 50 {
			t.Errorf("seed %d: %d stood", seed, r.Totals["up"])
		}
	}
}
