package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brassmux/lab/scaling"
)

// made is a run whose slopes are all known: each costs so much for one of its size.
func made(cost map[string]float64) *Results {
	r := &Results{SizeDivisor: 1}
	add := func(name string, sizes []int) {
		s := &Measurement{Name: name, Description: name, Unit: "us", SizeOf: "size"}
		for _, n := range sizes {
			s.add(n, cost[name]*float64(n))
			s.add(n, cost[name]*float64(n))
		}
		s.Fit, _ = scaling.FitModel(s.Points)
		r.Measurements = append(r.Measurements, s)
	}
	for _, name := range []string{"keeper.ask", "keeper.beat", "keeper.ask_bytes", "keeper.answer_bytes", "keeper.memory", "follower.beat", "follower.memory", "pause.first",
		"pause.third", "pause.start", "start.bytes", "start.cpu", "start.memory", "words.busiest", "words.mean"} {
		add(name, NodeCounts)
	}
	for _, name := range []string{"list.bytes", "list.whole", "list.change", "list.change_bytes", "place.first", "memory.rankings"} {
		add(name, ServerCounts)
	}
	for _, name := range []string{"node.setup", "node.messages", "node.memory", "node.descriptors", "ports.source"} {
		add(name, ConnectionCounts)
	}
	return r
}

// Guards against arithmetic that is wrong by a factor: figures that are easy to work out by hand come out so, the one that lacks
// most stands first in the list of what is missing, and none that has room is in it.
func TestWork(t *testing.T) {
	figures, err := Extrapolate(made(map[string]float64{
		"keeper.ask": 0.5, "place.first": 0.6, "node.setup": 250, "node.memory": 28_000, "node.descriptors": 2, "ports.source": 1, "list.bytes": 115, "node.messages": 40}))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		role, what string
		want       float64
	}{
		{"keeper", "wants a unit, against an ordinary node's", 2850 * 14250 * 1e-4},          // 2,850 us each, 14,250 a second, in % of a core
		{"node, ordinary day", "connections: memory", 28_000 * 260e6 / 5700},                 // 1.28 GB
		{"node, ordinary day", "connections: descriptors", 2 * 260e6 / 5700},                 // 91,228
		{"node, ordinary day", "connections: local ports", 260e6 / 5700},                     // 45,614
		{"node, ordinary day", "deliveries: processor", 20 * 160e6 / 5700 * 1e-4},            // 20 us each, in % of a core
		{"a node starts", "its 45,600 clients", (3000 + 250) * 260e6 / 5700 * 1e-6},          // 148 s of a core
		{"all nodes cold", "bytes of these", 115 * 5000 * 5700},                              // 3.3 GB
		{"a zone lost", "processor of each", (3000 + 250) * 1e-6 * 260e6 / 5700 * 335 / 805}, // those of 335 nodes go to the other 805 of the region
	} {
		found := 0
		for _, f := range figures {
			if strings.Contains(f.Role, c.role) && strings.Contains(f.Name, c.what) {
				if found++; f.y < c.want*0.999 || f.y > c.want*1.001 || f.low > f.y || f.high < f.y {
					t.Errorf("%s, %s: %g (%g to %g), want %g", f.Role, f.Name, f.y, f.low, f.high, c.want)
				}
			}
		}
		if found != 1 {
			t.Errorf("%s, %s: %d figures", c.role, c.what, found)
		}
	}
	tables, err := Tables(made(map[string]float64{"keeper.ask": 0.5}), made(map[string]float64{"keeper.ask": 0.125}))
	if err != nil {
		t.Fatal(err)
	}
	// The later run is a quarter at the greatest size, and what is missing is that of the earlier one.
	if want := "| `keeper.ask` | keeper.ask, us by size | 300: 150; 1,000: 500; 3,000: 1,500; 5,700: 2,850 (line) | 300: 37.5; 1,000: 125; 3,000: 375; 5,700: 713 (line) | times 0.250 |"; !strings.Contains(tables["after"], want) {
		t.Errorf("%s\nwithout\n%s", tables["after"], want)
	}
	lacks := strings.Split(strings.TrimSpace(tables["lacks"]), "\n")[2:]
	if !strings.HasPrefix(lacks[0], "| 1,850 times | keeper") { // 40.6 cores in place of 0.022
		t.Error(lacks[0])
	}
	for _, line := range lacks {
		if strings.Contains(line, "| 0.") {
			t.Errorf("there is room: %s", line)
		}
	}
}

// Guards against tables of measurements that were not made, or of small sizes.
func TestLoadAndWorkRefuse(t *testing.T) {
	if _, err := Extrapolate(&Results{}); err == nil || !strings.Contains(err.Error(), "keeper.ask") {
		t.Error(err)
	}
	if _, err := Fill("a page", map[string]string{}); err == nil || !strings.Contains(err.Error(), "assumptions") {
		t.Error(err)
	}
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "f.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	one := `{"part":1,"slopes":[{"name":"a","points":[{"n":1,"y":1},{"n":2,"y":2},{"n":3,"y":3},{"n":4,"y":4}]}]}`
	for name, c := range map[string]struct {
		files []string
		tells string
	}{
		"small sizes": {[]string{file(strings.Replace(one, `"part":1`, `"part":10`, 1))}, "divided by 10"},
		"twice":       {[]string{file(one), file(one)}, "another file"},
		"few":         {[]string{file(`{"part":1,"slopes":[{"name":"a","points":[{"n":1,"y":1}]}]}`)}, "a: 1 points"},
		"no file":     {[]string{"no-such"}, "no-such"},
		"no JSON":     {[]string{file("x")}, "f.json"},
	} {
		if _, err := Load(c.files...); err == nil || !strings.Contains(err.Error(), c.tells) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if r, err := Load(file(one)); err != nil || r.Measurement("a").Fit.Verdict != scaling.Linear {
		t.Error(err)
	}
}

// Guards against numbers that are cut short or show more than was measured.
func TestNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 5700: "5,700", 1.7e6: "1,700,000", 14250.5: "14,300", 2.849: "2.85", 0.0123456: "0.0123", 28.61: "28.6", 285.4: "285",
		-1234.56: "-1,230", 0.5: "0.500", 260e6: "260,000,000", 0.00001234: "1.2e-05", 99.96: "100.0"} {
		if got := number(v); got != want {
			t.Errorf("%g: %s, want %s", v, got, want)
		}
	}
}
