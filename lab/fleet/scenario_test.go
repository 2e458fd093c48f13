package fleet

import (
	"strings"
	"testing"
)

func TestParseRejectsInvalidScenarios(t *testing.T) {
	valid, err := embedded.ReadFile("scenarios/mass-restart.toml")
	if err != nil {
		t.Fatal(err)
	}
	for edit, want := range map[[2]string]string{
		{"nodes = 80", "nodes = 0"}:                               "nodes: must be 1 to 5000",
		{"nodes = 80", "nodes = \"many\""}:                        "line ",
		{"nodes = 80", "nodes = 80\nknots = 3"}:                   "no such key: knots",
		{"[server]", "[server"}:                                   "line ",
		{`life = "45s"`, `life = "long"`}:                         "long",
		{`rejoin = ["100ms", "1500ms"]`, `rejoin = ["2s", "1s"]`}: "clients.rejoin",
		{`do = "kill_nodes"`, `do = "shout"`}:                     "events[1].do",
		{"part = 0.7", "part = 7.0"}:                              "events[1].part",
		{`at = "15s"`, `at = "15h"`}:                              "events[1].at",
	} {
		text := strings.Replace(string(valid), edit[0], edit[1], 1)
		if text == string(valid) {
			t.Fatalf("scenario does not contain %q", edit[0])
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", edit[1], err, want)
		}
	}
	if _, err := Load("no-such"); err == nil || !strings.Contains(err.Error(), "calm") {
		t.Errorf("unknown name: got %v, want the known names", err)
	}
}
