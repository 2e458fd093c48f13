package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brassmux/lab/fleet"
)

func run(args ...string) (code int, out, errorOutput string) {
	var stdout, stderr bytes.Buffer
	code = Run(args, func(string) string { return "" }, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func writeTempFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// commandCase is a command line with its expected exit code and the texts that its output and messages must contain.
type commandCase struct {
	args     []string
	code     int
	output   string
	messages []string
}

func (c *commandCase) check(t *testing.T) {
	t.Helper()
	code, output, errorOutput := run(c.args...)
	if code != c.code || !strings.Contains(output, c.output) {
		t.Errorf("%v: got exit code %d, output %q, standard error %q", c.args, code, output, errorOutput)
	}
	for _, want := range c.messages {
		if !strings.Contains(errorOutput, want) {
			t.Errorf("%v: standard error is %q, want it to contain %q", c.args, errorOutput, want)
		}
	}
}

// Scripts rely on the exit codes, and operators on messages that name the invalid key, flag or file.
func TestExitCodesAndMessages(t *testing.T) {
	valid := writeTempFile(t,
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"chat"}]}}`)
	invalid := writeTempFile(t, `{"listen":"here","discovery":"127.0.0.1:1","seed":"x","limits":{"sockets":3},
		"times":{"probe_ms":-1},"settings":{"index":-1,"classes":[{"name":""}],
		"rules":{"left_margin_us":-1,"start_error_us":-2}}}`)
	wrongType := writeTempFile(t, `{"settings":{"rules":{"only_draining_binds":"yes"}}}`)
	for _, c := range []commandCase{
		{[]string{}, 1, "", []string{"LB_CONFIG names no file"}},
		{[]string{"serve"}, 1, "", []string{"LB_CONFIG names no file"}},
		{[]string{"check", valid}, 0, "is well", nil},
		{[]string{"check", invalid}, 1, "", []string{"listen", "seed", "limits.sockets", "times.probe_ms",
			"settings.index", "settings.classes[0].name", "settings.rules.left_margin_us",
			"settings.rules.start_error_us"}},
		{[]string{"check", wrongType}, 1, "", []string{"rules.only_draining_binds"}},
		{[]string{"check", "no-such-file"}, 1, "", []string{"no-such-file"}},
		{[]string{"check"}, 2, "", []string{"arg", "--help"}},
		{[]string{"version"}, 0, "brassmux", nil},
		{[]string{"dance"}, 2, "", []string{"dance"}},
		{[]string{"--dance"}, 2, "", []string{"dance"}},
		{[]string{"--help"}, 0, "check", nil},
	} {
		c.check(t)
	}
}

// The commands of the laboratory must reject an invalid argument with exit code 2, and a file that they cannot use with
// exit code 1, and name it.
func TestLabExitCodesAndMessages(t *testing.T) {
	for _, c := range []commandCase{
		{[]string{"lab", "fleet"}, 2, "", []string{"arg"}},
		{[]string{"lab", "fleet", "no-such"}, 2, "", []string{"no-such", "calm"}},
		{[]string{"lab", "fleet", "calm", "--seeds", "0"}, 2, "", []string{"--seeds"}},
		{[]string{"lab", "rig"}, 2, "", []string{"arg"}},
		{[]string{"lab", "rig", "no-such"}, 2, "", []string{"no-such", "mixed"}},
		{[]string{"lab", "rig", "calm", "--nodes", "1"}, 2, "", []string{"--nodes"}},
		{[]string{"lab", "slopes", "no-such"}, 2, "", []string{"no-such", "keeper"}},
		{[]string{"lab", "slopes", "pause", "--repeat", "1"}, 2, "", []string{"--repeat"}},
		{[]string{"lab", "slopes", "pause", "--part", "0"}, 2, "", []string{"--part"}},
		{[]string{"lab", "slopes", "pause", "--repeat", "2"}, 0, "pause.first", nil},
		{[]string{"lab", "capacity"}, 2, "", []string{"arg"}},
		{[]string{"lab", "capacity", "no-such"}, 1, "", []string{"no-such"}},
		{[]string{"lab", "capacity", "../../../../docs/capacity/service.json"}, 1, "", []string{"keeper.ask"}},
		{[]string{"lab", "capacity", "../../../../docs/capacity/control.json", "../../../../docs/capacity/ports.json",
			"../../../../docs/capacity/service.json", "../../../../docs/capacity/words.json"}, 0, "times |", nil},
		{[]string{"lab", "scale", "--nodes", "39"}, 2, "", []string{"--nodes: 39"}},
		{[]string{"lab", "scale", "--nodes", "300,300"}, 2, "", []string{"--nodes: 300"}},
		{[]string{"lab", "scale", "--nodes", "many"}, 2, "", []string{"many"}},
		{[]string{"lab", "scale", "--nodes", "40", "--real", "11"}, 2, "", []string{"--real: 11"}},
		{[]string{"lab", "scale", "--control", "33"}, 2, "", []string{"--control: 33"}},
		{[]string{"lab", "scale", "--control", "2", "--flat"}, 2, "", []string{"--flat", "--control 2"}},
		{[]string{"lab", "scale", "--for", "4s"}, 2, "", []string{"--for: 4s"}},
		{[]string{"lab", "scale", "--cut", "1h"}, 2, "", []string{"--cut: 1h"}},
		{[]string{"lab", "scale", "--scenario", "flood"}, 2, "", []string{"--scenario", "flood", "steady"}},
		{[]string{"lab", "scale", "steady"}, 2, "", []string{"steady"}},
	} {
		c.check(t)
	}
}

// An inconclusive run must be distinguishable from success and failure, so it has a separate exit code.
func TestExitCodeByErrorType(t *testing.T) {
	for want, err := range map[int]error{
		0: nil,
		1: asCommandError(errors.New("over")),
		2: errors.New("--no-such"),
		3: asCommandError(invalidRunError{errors.New("late")}),
	} {
		if got := exitCode(err); got != want {
			t.Errorf("%v: got exit code %d, want %d", err, got, want)
		}
	}
}

// The JSON file of lab fleet must hold the results that were printed, in the form that report reads.
func TestFleetWritesResultsForReport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	code, output, errorOutput := run("lab", "fleet", "calm", "--seeds", "2", "--seed", "5", "--json", path)
	if code != 0 || !strings.Contains(output, "served, worst 5 s") || !strings.Contains(output, "list calls") {
		t.Fatalf("lab fleet: got exit code %d, output %q, standard error %q", code, output, errorOutput)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var results []fleet.Result
	if err := json.Unmarshal(data, &results); err != nil {
		t.Fatal(err)
	}
	if code, output, errorOutput = run("report", path, path); code != 0 || !strings.Contains(output, "within noise") {
		t.Errorf("report of a file with itself: got exit code %d, output %q, standard error %q",
			code, output, errorOutput)
	}
	if code, _, errorOutput = run("report", path, writeTempFile(t, "[]")); code != 1 ||
		!strings.Contains(errorOutput, "in common") {
		t.Errorf("report of files without a common seed: got exit code %d, standard error %q", code, errorOutput)
	}
	if code, _, errorOutput = run("report", path, "no-such"); code != 1 || !strings.Contains(errorOutput, "no-such") {
		t.Errorf("report of a missing file: got exit code %d, standard error %q", code, errorOutput)
	}
	if len(results) != 2 || results[0].Seed != 5 || results[1].Seed != 6 || results[0].Totals["up"] == 0 {
		t.Errorf("got results %+v, want seeds 5 and 6 with a total \"up\"", results)
	}
}
