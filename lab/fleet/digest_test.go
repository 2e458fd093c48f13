package fleet

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var updateDigests = flag.Bool("update", false, "rewrite testdata/digests.txt from the current results")

const (
	digestFile   = "testdata/digests.txt"
	digestSeeds  = 20 // seeds of each scenario with fixed quotas
	leasedSeeds  = 5  // seeds of each scenario with leased quotas
	digestLength = 16 // stored bytes of each hash
)

// digestRun identifies a run whose result has a stored digest.
type digestRun struct {
	scenario string
	seed     uint64
	leased   bool
}

func (r digestRun) String() string {
	quotas := "fixed"
	if r.leased {
		quotas = "leased"
	}
	return fmt.Sprintf("%s %s %d", r.scenario, quotas, r.seed)
}

// digest performs the run and returns the hash of its result.
func (r digestRun) digest(t *testing.T) string {
	t.Helper()
	scenario := load(t, r.scenario)
	if r.leased {
		scenario.Quotas = leasedQuotas()
	}
	result, err := json.Marshal(Run(scenario, r.seed, NewBalancer))
	if err != nil {
		t.Fatal(err)
	}
	hash := sha256.Sum256(result)
	return fmt.Sprintf("%x", hash[:digestLength])
}

func digestRuns() (runs []digestRun) {
	for _, name := range EmbeddedNames() {
		for seed := uint64(1); seed <= digestSeeds; seed++ {
			runs = append(runs, digestRun{name, seed, false})
		}
		for seed := uint64(1); seed <= leasedSeeds; seed++ {
			runs = append(runs, digestRun{name, seed, true})
		}
	}
	return runs
}

// writeDigests stores the digests of the current results.
func writeDigests(t *testing.T) {
	t.Helper()
	var text strings.Builder
	for _, run := range digestRuns() {
		fmt.Fprintln(&text, run, run.digest(t))
	}
	if err := os.WriteFile(digestFile, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readDigests(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	expected := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		expected[strings.TrimSpace(line)] = true
	}
	return expected
}

// Guards against unintended changes of the nodes' decisions: results must match the stored digests byte for byte. A
// commit that changes a digest on purpose must say so.
func TestEmbeddedScenariosMatchDigests(t *testing.T) {
	if *updateDigests {
		writeDigests(t)
	}
	expected := readDigests(t)
	runs := digestRuns()
	if len(expected) != len(runs) {
		t.Fatalf("%d digests are stored for %d runs", len(expected), len(runs))
	}
	for _, run := range runs {
		t.Run(run.String(), func(t *testing.T) {
			t.Parallel()
			if line := fmt.Sprint(run, " ", run.digest(t)); !expected[line] {
				t.Errorf("%s is not in %s", line, digestFile)
			}
		})
	}
}
