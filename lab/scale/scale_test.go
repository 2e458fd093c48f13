package scale

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"brassmux/lab/process/processtest"
	"brassmux/lab/scaling"
)

var binary string

func TestMain(m *testing.M) { processtest.Main(m, &binary) }

// play runs one fleet. What the verdict says of times is left aside: that the run was late is no fault of what it plays.
func play(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Binary = binary
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	f := r.Fleets[0]
	if f.InvalidReason != "" && !strings.HasPrefix(f.InvalidReason, "the run was ") {
		t.Fatal(f.InvalidReason)
	}
	if !f.Settled {
		t.Errorf("not all followed the list and one keeper: %v", f.Notes)
	}
	if f.Units.Taken == 0 || f.Units.MaxPerSecond > f.Units.Limit {
		t.Errorf("units: %+v", f.Units)
	}
	return f
}

// Two hundred hollow nodes and three real ones are one fleet: all follow one list and one keeper, each counts in its role, what all
// take together is within the whole, and clients stand at the real ones.
func TestHollowAndRealNodesAreOneFleet(t *testing.T) {
	f := play(t, Options{Nodes: []int{203}, RealNodes: 3, Seed: 1, Duration: 6 * time.Second, OutageDuration: time.Second, Scenario: "steady"})
	machines := map[string]int{}
	for name, r := range f.Roles {
		machines[name] = r.Nodes
		if r.CPU <= 0 || r.ResidentMB <= 0 || r.Descriptors < 3 {
			t.Errorf("%s: nothing was used: %+v", name, r)
		}
		if name != "list" && (r.In.Messages <= 0 || r.In.Bytes <= r.In.Messages || r.Out.Bytes <= r.Out.Messages || r.In.MaxBytes < r.In.Bytes) {
			t.Errorf("%s: words and bytes: %+v %+v", name, r.In, r.Out)
		}
	}
	if machines["node"] != 192 || machines["spare"] != 7 || machines["leader"] != 1 || machines["real"] != 3 || machines["list"] != 1 {
		t.Errorf("machines by role: %v", machines)
	}
	leader, node := f.Roles["leader"], f.Roles["node"]
	if leader.Counters["budget_followers"] < 180 || leader.Counters["budget_given"] == 0 {
		t.Errorf("the leader does nothing: %v", leader.Counters)
	}
	if node.Counters["budget_leased"] == 0 || node.List.Bytes <= 0 {
		t.Errorf("hollow nodes get nothing: %v, %+v", node.Counters, node.List)
	}
	// What nodes say arrives at somebody, but for what is lost between regions and what is on its way at either end of the span.
	said, heard := 0.0, 0.0
	for _, name := range []string{"node", "spare", "leader", "real"} {
		r := f.Roles[name]
		said, heard = said+r.Out.Messages*float64(r.Nodes), heard+r.In.Messages*float64(r.Nodes)
	}
	if math.Abs(said-heard) > 0.1*said {
		t.Errorf("%.0f words were said a second, %.0f heard", said, heard)
	}
	if f.Clients["up"] < 30 || f.Clients["without an answer"] > 0 {
		t.Errorf("real clients: %v", f.Clients)
	}
}

// A region that is cut off hears nothing from outside, and is told of the changes it has missed once it is back.
func TestARegionComesBack(t *testing.T) {
	f := play(t, Options{Nodes: []int{103}, RealNodes: 3, Seed: 2, Duration: 12 * time.Second, OutageDuration: 6 * time.Second, Scenario: "region"})
	if !slices.ContainsFunc(f.Notes, func(n string) bool { return strings.HasSuffix(n, "endpoint watch broken") }) {
		t.Errorf("nobody missed the list service: %v", f.Notes)
	}
	if f.Changes.Count == 0 || f.Changes.Missing > 0 {
		t.Errorf("changes: %+v", f.Changes)
	}
	if f.Peak.Ratio == 0 {
		t.Error("nothing came after the return")
	}
}

// Below control machines nobody knows all nodes: each follows one control machine, these share the work of all, and the whole stays whole.
func TestNodesBelowControlMachinesAreOneFleet(t *testing.T) {
	f := play(t, Options{Nodes: []int{203}, RealNodes: 3, ControlNodes: 5, Seed: 3, Duration: 6 * time.Second, OutageDuration: time.Second, Scenario: "steady"})
	control := f.Roles["control"]
	if control.Nodes != 4 || f.Roles["leader"].Nodes != 1 || f.Roles["node"].Nodes != 200 {
		t.Errorf("machines: %+v", f.Roles)
	}
	if n := control.Counters["budget_children"] + f.Roles["leader"].Counters["budget_children"]; n < 190 || n > 203 {
		t.Errorf("%d children", n)
	}
	if f.Roles["node"].Counters["budget_leased"] == 0 || f.Clients["up"] < 30 {
		t.Errorf("hollow nodes and real clients get nothing: %v, %v", f.Roles["node"].Counters, f.Clients)
	}
}

// Guards against figures of a wave, a window or a verdict that look well whatever is counted.
func TestWhatIsCounted(t *testing.T) {
	steps := map[int64]int{}
	for i := range int64(600) {
		steps[1000+i] = 1
	}
	if got := maxUnitsPerSecond(steps); got != 200 {
		t.Errorf("%d in a second of 200 steps", got)
	}
	steps[1300] = 7
	if got := maxUnitsPerSecond(steps); got != 206 {
		t.Errorf("%d in the second with seven at once", got)
	}
	r := &Result{Fleets: []*Fleet{{Targets: []Target{{Met: false}}}, {Targets: []Target{{Met: true}, {Met: true}}}}}
	if !r.TargetsMet() || r.InvalidReason() != "" {
		t.Error("only the greatest size is held against the targets")
	}
	r.Fleets[1].Targets[1].Met = false
	r.Fleets[0].InvalidReason = "late"
	if r.TargetsMet() || r.InvalidReason() == "" {
		t.Error("a target that does not hold, or a void size, goes unseen")
	}
	f := newFleet(Options{Scenario: "leader"}, 100)
	f.result.Roles["node"] = Role{MaxCPU: 0.03, LiveMB: 100, In: flow{MaxBytes: 8000}, Out: flow{MaxBytes: 5000}, List: flow{MaxBytes: 2000}}
	f.result.Units = UnitUsage{Limit: 400, MaxPerSecond: 401, GapP99: 4.1}
	f.result.Changes = ChangeLatency{Max: 14.1, Missing: 1}
	var over []string
	for _, x := range f.targets() {
		if !x.Met {
			over = append(over, x.Name)
		}
	}
	if len(over) != 6 { // cores, bytes, in force, never, grants, units
		t.Errorf("does not hold: %q", over)
	}
}

// Guards against slopes that are drawn through other figures than those of the sizes.
func TestSlopes(t *testing.T) {
	r := &Result{}
	for _, n := range []int{300, 1000, 3000} {
		r.Fleets = append(r.Fleets, &Fleet{Nodes: n, Roles: map[string]Role{"leader": {CPU: float64(n) / 1000, Descriptors: 13, In: flow{Messages: float64(n * n)}}}})
	}
	if len(r.slopes()) > 0 {
		t.Error("slopes through three sizes")
	}
	r.Fleets = append(r.Fleets, &Fleet{Nodes: 5700, Roles: map[string]Role{"leader": {CPU: 5.7, Descriptors: 13, In: flow{Messages: 5700 * 5700}}}})
	want := map[string]scaling.Verdict{
		"cores": scaling.Linear, "descriptors": scaling.Constant, "words in": scaling.Superlinear,
	}
	for _, s := range r.slopes() {
		if v, ok := want[s.Figure]; ok && v != s.Verdict {
			t.Errorf("%s: %s, not %s", s.Figure, s.Verdict, v)
		}
		delete(want, s.Figure)
		if s.Figure == "cores" && math.Abs(s.Slope-0.001) > 1e-6 {
			t.Errorf("slope of the cores: %g", s.Slope)
		}
	}
	if len(want) > 0 {
		t.Errorf("not there: %v", want)
	}
}

// Guards against a node that asks a control machine far away first, and against zones whose nodes all ask one.
func TestNodesPreferTheControlMachinesNearThem(t *testing.T) {
	p := topology{Nodes: 5700, ControlNodes: 32}
	asked := map[int]int{}
	for i := range p.Nodes {
		order := p.controlOrder(i)
		if len(order) != 32 || len(slices.Compact(slices.Sorted(slices.Values(order)))) != 32 {
			t.Fatalf("node %d: %v", i, order)
		}
		if zoneOf(p.firstControlNode()+order[0]) != zoneOf(i) {
			t.Fatalf("node %d in zone %d asks one in zone %d first", i, zoneOf(i), zoneOf(p.firstControlNode()+order[0]))
		}
		region := true
		for _, c := range order {
			same := regionOf(zoneOf(p.firstControlNode()+c)) == regionOf(zoneOf(i))
			if same && !region {
				t.Fatalf("node %d asks its region after others: %v", i, order)
			}
			region = same
		}
		asked[order[0]]++
	}
	for c, n := range asked {
		if n > 5700/17+1 || n < 5700/34-1 {
			t.Errorf("control machine %d is asked first by %d nodes", c, n)
		}
	}
	if all := p.allNodes(); len(all) != 5732 || p.controlIndex(all[5700]) != 0 || p.controlIndex(5699) != -1 || !slices.IsSorted(all) {
		t.Error("numbers")
	}
}

func TestLinks(t *testing.T) {
	l := newLinks(Links{WithinZone: 1, WithinRegion: 2, BetweenRegions: 3})
	if zoneOf(17+5) != 5 || regionOf(0) != 0 || regionOf(16) != 4 {
		t.Fatal("zones and regions")
	}
	within, far := 1, 10
	for _, c := range []struct {
		off  partition
		a, b int
		want time.Duration
		cut  bool
		name string
	}{
		{partition{}, 0, 0, 1, false, "zone"}, {partition{}, 0, within, 2, false, "region"}, {partition{}, 0, far, 3, false, "regions"},
		{partition{Zones: []int{0}}, 0, 0, 1, false, "within the zone"}, {partition{Zones: []int{0}}, within, 0, 2, true, "to the zone"},
		{partition{Regions: []int{0}}, 0, within, 2, false, "within the region"}, {partition{Regions: []int{0}}, far, 0, 3, true, "to the region"},
		{partition{Regions: []int{0}}, far, 16, 3, false, "past the region"},
	} {
		l.partition.Store(&c.off)
		if got, _, cut := l.between(c.a, c.b); got != c.want || cut != c.cut {
			t.Errorf("%s: %v, %v", c.name, got, cut)
		}
	}
	for _, n := range []int{0, 249, 250, 5699, 11_999} {
		if got := emulatedNodeAt(emulatedAddr(n, 9).Addr()); got != n {
			t.Errorf("%d is taken for %d", n, got)
		}
	}
}
