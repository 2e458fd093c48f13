package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brassmux/lab/scaling"
)

// resultsWithCosts returns results whose values are proportional to the size, with the given costs per unit of size.
func resultsWithCosts(costs map[string]float64) *Results {
	results := &Results{SizeDivisor: 1}
	add := func(name string, sizes []int) {
		m := &Measurement{Name: name, Description: name, Unit: "us", SizeOf: "size"}
		for _, size := range sizes {
			m.add(size, costs[name]*float64(size))
			m.add(size, costs[name]*float64(size))
		}
		m.Fit, _ = scaling.FitModel(m.Points)
		results.Measurements = append(results.Measurements, m)
	}
	for _, name := range []string{
		"keeper.ask", "keeper.beat", "keeper.ask_bytes", "keeper.answer_bytes", "keeper.memory", "follower.beat",
		"follower.memory", "pause.first",
		"pause.third", "pause.start", "start.bytes", "start.cpu", "start.memory", "words.busiest", "words.mean"} {
		add(name, NodeCounts)
	}
	for _, name := range []string{
		"list.bytes", "list.whole", "list.change", "list.change_bytes", "place.first", "memory.rankings"} {
		add(name, ServerCounts)
	}
	for _, name := range []string{"node.setup", "node.messages", "node.memory", "node.descriptors", "ports.source"} {
		add(name, ConnectionCounts)
	}
	return results
}

// Guards against an extrapolation that is wrong by a factor: some figures are compared with manual calculations. The
// table of exceeded limits must list the worst figure first, and none that is within its limit.
func TestExtrapolate(t *testing.T) {
	figures, err := Extrapolate(resultsWithCosts(map[string]float64{
		"keeper.ask": 0.5, "place.first": 0.6, "node.setup": 250, "node.memory": 28_000,
		"node.descriptors": 2, "ports.source": 1, "list.bytes": 115, "node.messages": 40}))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		role, what string
		want       float64
	}{
		{"keeper", "wants a unit, against an ordinary node's", 2850 * 14250 * 1e-4},          // us * 1/s, % of a core
		{"node, ordinary day", "connections: memory", 28_000 * 260e6 / 5700},                 // 1.28 GB
		{"node, ordinary day", "connections: descriptors", 2 * 260e6 / 5700},                 // 91,228
		{"node, ordinary day", "connections: local ports", 260e6 / 5700},                     // 45,614
		{"node, ordinary day", "deliveries: processor", 20 * 160e6 / 5700 * 1e-4},            // 20 us each, % of a core
		{"a node starts", "its 45,600 clients", (3000 + 250) * 260e6 / 5700 * 1e-6},          // 148 s of a core
		{"all nodes cold", "bytes of these", 115 * 5000 * 5700},                              // 3.3 GB
		{"a zone lost", "processor of each", (3000 + 250) * 1e-6 * 260e6 / 5700 * 335 / 805}, // 335 nodes to 805 others
	} {
		found := 0
		for _, f := range figures {
			if strings.Contains(f.Role, c.role) && strings.Contains(f.Name, c.what) {
				if found++; f.value < c.want*0.999 || f.value > c.want*1.001 || f.low > f.value || f.high < f.value {
					t.Errorf("%s, %s: %g (%g to %g), want %g", f.Role, f.Name, f.value, f.low, f.high, c.want)
				}
			}
		}
		if found != 1 {
			t.Errorf("%s, %s: %d figures", c.role, c.what, found)
		}
	}
	tables, err := Tables(resultsWithCosts(map[string]float64{"keeper.ask": 0.5}),
		resultsWithCosts(map[string]float64{"keeper.ask": 0.125}))
	if err != nil {
		t.Fatal(err)
	}
	// At the largest size, the later value is a quarter. The exceeded limits are those of the earlier results.
	if want := "| `keeper.ask` | keeper.ask, us by size | 300: 150; 1,000: 500; 3,000: 1,500; 5,700: 2,850 (line) | 300: 37.5; 1,000: 125; 3,000: 375; 5,700: 713 (line) | times 0.250 |"; !strings.Contains(tables["after"], want) {
		t.Errorf("%s\nwithout\n%s", tables["after"], want)
	}
	shortfalls := strings.Split(strings.TrimSpace(tables["lacks"]), "\n")[2:]
	if !strings.HasPrefix(shortfalls[0], "| 1,850 times | keeper") { // 40.6 cores with a limit of 0.022
		t.Error(shortfalls[0])
	}
	for _, line := range shortfalls {
		if strings.Contains(line, "| 0.") {
			t.Errorf("within its limit: %s", line)
		}
	}
}

// Guards against tables from missing measurements or from those of small sizes.
func TestLoadAndExtrapolateRejectInvalidInput(t *testing.T) {
	if _, err := Extrapolate(&Results{}); err == nil || !strings.Contains(err.Error(), "keeper.ask") {
		t.Error(err)
	}
	if _, err := Fill("a page", map[string]string{}); err == nil || !strings.Contains(err.Error(), "assumptions") {
		t.Error(err)
	}
	writeFile := func(text string) string {
		path := filepath.Join(t.TempDir(), "f.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := `{"part":1,"slopes":[{"name":"a","points":[{"n":1,"y":1},{"n":2,"y":2},{"n":3,"y":3},{"n":4,"y":4}]}]}`
	for name, c := range map[string]struct {
		files   []string
		message string
	}{
		"small sizes": {[]string{writeFile(strings.Replace(valid, `"part":1`, `"part":10`, 1))}, "divided by 10"},
		"twice":       {[]string{writeFile(valid), writeFile(valid)}, "another file"},
		"few": {
			[]string{writeFile(`{"part":1,"slopes":[{"name":"a","points":[{"n":1,"y":1}]}]}`)}, "a: 1 points"},
		"no file": {[]string{"no-such"}, "no-such"},
		"no JSON": {[]string{writeFile("x")}, "f.json"},
	} {
		if _, err := Load(c.files...); err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if results, err := Load(writeFile(valid)); err != nil || results.Measurement("a").Fit.Verdict != scaling.Linear {
		t.Error(err)
	}
}

// Guards against numbers with too few or too many digits.
func TestNumber(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 5700: "5,700", 1.7e6: "1,700,000", 14250.5: "14,300", 2.849: "2.85", 0.0123456: "0.0123",
		28.61: "28.6", 285.4: "285",
		-1234.56: "-1,230", 0.5: "0.500", 260e6: "260,000,000", 0.00001234: "1.2e-05", 99.96: "100.0"} {
		if got := formatNumber(v); got != want {
			t.Errorf("%g: %s, want %s", v, got, want)
		}
	}
}
