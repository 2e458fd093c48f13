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

// runFleet measures one fleet. It accepts a run that is invalid only because its processes were late: that depends on
// the load of the machine, not on the measured code.
func runFleet(t *testing.T, o Options) *Fleet {
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
		t.Errorf("not all nodes applied the list and followed a leader: %v", f.Notes)
	}
	if f.Units.Taken == 0 || f.Units.MaxPerSecond > f.Units.Limit {
		t.Errorf("units: %+v", f.Units)
	}
	return f
}

// Guards against 200 emulated and three real nodes that do not work as one fleet: nodes without the list or the leader,
// counted in a wrong role, or above the common limit, and real nodes without clients.
func TestEmulatedAndRealNodesFormFleet(t *testing.T) {
	f := runFleet(t, Options{Nodes: []int{203}, RealNodes: 3, Seed: 1, Duration: 6 * time.Second,
		OutageDuration: time.Second, Scenario: "steady"})
	nodes := map[string]int{}
	for role, usage := range f.Roles {
		nodes[role] = usage.Nodes
		if usage.CPU <= 0 || usage.ResidentMB <= 0 || usage.Descriptors < 3 {
			t.Errorf("%s: no resource usage: %+v", role, usage)
		}
		if role != "list" && (usage.In.Messages <= 0 || usage.In.Bytes <= usage.In.Messages ||
			usage.Out.Bytes <= usage.Out.Messages || usage.In.MaxBytes < usage.In.Bytes) {
			t.Errorf("%s: messages and bytes: %+v %+v", role, usage.In, usage.Out)
		}
	}
	if nodes["node"] != 192 || nodes["spare"] != 7 || nodes["leader"] != 1 || nodes["real"] != 3 ||
		nodes["list"] != 1 {
		t.Errorf("nodes by role: %v", nodes)
	}
	leader, node := f.Roles["leader"], f.Roles["node"]
	if leader.Counters["budget_followers"] < 180 || leader.Counters["budget_given"] == 0 {
		t.Errorf("the leader has too few followers or granted nothing: %v", leader.Counters)
	}
	if node.Counters["budget_leased"] == 0 || node.List.Bytes <= 0 {
		t.Errorf("emulated nodes got no units or no list: %v, %+v", node.Counters, node.List)
	}
	// All messages arrive, except those lost between regions and those in flight at either end of the measurement.
	sent, received := 0.0, 0.0
	for _, role := range []string{"node", "spare", "leader", "real"} {
		r := f.Roles[role]
		sent, received = sent+r.Out.Messages*float64(r.Nodes), received+r.In.Messages*float64(r.Nodes)
	}
	if math.Abs(sent-received) > 0.1*sent {
		t.Errorf("%.0f messages sent per second, %.0f received", sent, received)
	}
	if f.Clients["up"] < 30 || f.Clients["without an answer"] > 0 {
		t.Errorf("real clients: %v", f.Clients)
	}
}

// Guards against a partition that does not separate its region from the list service, and against nodes that miss list
// changes for good when it ends.
func TestRegionRecoversAfterPartition(t *testing.T) {
	f := runFleet(t, Options{Nodes: []int{103}, RealNodes: 3, Seed: 2, Duration: 12 * time.Second,
		OutageDuration: 6 * time.Second, Scenario: "region"})
	if !slices.ContainsFunc(f.Notes, func(n string) bool { return strings.HasSuffix(n, "endpoint watch broken") }) {
		t.Errorf("no node lost the list service: %v", f.Notes)
	}
	if f.Changes.Count == 0 || f.Changes.Missing > 0 {
		t.Errorf("changes: %+v", f.Changes)
	}
	if f.Peak.Ratio == 0 {
		t.Error("no messages after the partition")
	}
}

// Guards against a fleet with control nodes in which nodes follow no control node, the limit is exceeded, or nodes and
// clients get nothing.
func TestFleetWithControlNodes(t *testing.T) {
	f := runFleet(t, Options{Nodes: []int{203}, RealNodes: 3, ControlNodes: 5, Seed: 3, Duration: 6 * time.Second,
		OutageDuration: time.Second, Scenario: "steady"})
	control := f.Roles["control"]
	if control.Nodes != 4 || f.Roles["leader"].Nodes != 1 || f.Roles["node"].Nodes != 200 {
		t.Errorf("roles: %+v", f.Roles)
	}
	if children := control.Counters["budget_children"] +
		f.Roles["leader"].Counters["budget_children"]; children < 190 || children > 203 {
		t.Errorf("%d children", children)
	}
	if f.Roles["node"].Counters["budget_leased"] == 0 || f.Clients["up"] < 30 {
		t.Errorf("emulated nodes got no units, or real clients no connections: %v, %v",
			f.Roles["node"].Counters, f.Clients)
	}
}

// Guards against a maximum per second, a validity check or a target that gives a good result for bad figures.
func TestResultsAndTargets(t *testing.T) {
	buckets := map[int64]int{}
	for i := range int64(600) {
		buckets[1000+i] = 1
	}
	if got := maxUnitsPerSecond(buckets); got != 200 {
		t.Errorf("%d units in a second of 200 buckets", got)
	}
	buckets[1300] = 7
	if got := maxUnitsPerSecond(buckets); got != 206 {
		t.Errorf("%d units in the second with 7 in one bucket", got)
	}
	result := &Result{Fleets: []*Fleet{
		{Targets: []Target{{Met: false}}}, {Targets: []Target{{Met: true}, {Met: true}}}}}
	if !result.TargetsMet() || result.InvalidReason() != "" {
		t.Error("a target of a smaller size was checked")
	}
	result.Fleets[1].Targets[1].Met = false
	result.Fleets[0].InvalidReason = "late"
	if result.TargetsMet() || result.InvalidReason() == "" {
		t.Error("a missed target or an invalid size was not reported")
	}
	f := newFleet(Options{Scenario: "leader"}, 100)
	f.result.Roles["node"] = Role{MaxCPU: 0.03, LiveMB: 100,
		In: flow{MaxBytes: 8000}, Out: flow{MaxBytes: 5000}, List: flow{MaxBytes: 2000}}
	f.result.Units = UnitUsage{Limit: 400, MaxPerSecond: 401, GapP99: 4.1}
	f.result.Changes = ChangeLatency{Max: 14.1, Missing: 1}
	var missed []string
	for _, target := range f.targets() {
		if !target.Met {
			missed = append(missed, target.Name)
		}
	}
	if len(missed) != 6 { // cores, bytes, latest change, missing changes, grant gap, units
		t.Errorf("missed targets: %q", missed)
	}
}

// Guards against growth models fitted to the wrong figures or to fewer than four sizes.
func TestSlopes(t *testing.T) {
	result := &Result{}
	for _, n := range []int{300, 1000, 3000} {
		result.Fleets = append(result.Fleets, &Fleet{Nodes: n, Roles: map[string]Role{
			"leader": {CPU: float64(n) / 1000, Descriptors: 13, In: flow{Messages: float64(n * n)}}}})
	}
	if len(result.slopes()) > 0 {
		t.Error("slopes for three sizes")
	}
	result.Fleets = append(result.Fleets, &Fleet{Nodes: 5700, Roles: map[string]Role{
		"leader": {CPU: 5.7, Descriptors: 13, In: flow{Messages: 5700 * 5700}}}})
	want := map[string]scaling.Verdict{
		"cores": scaling.Linear, "descriptors": scaling.Constant, "words in": scaling.Superlinear,
	}
	for _, slope := range result.slopes() {
		if verdict, ok := want[slope.Figure]; ok && verdict != slope.Verdict {
			t.Errorf("%s: %s, not %s", slope.Figure, slope.Verdict, verdict)
		}
		delete(want, slope.Figure)
		if slope.Figure == "cores" && math.Abs(slope.Slope-0.001) > 1e-6 {
			t.Errorf("slope of cores: %g", slope.Slope)
		}
	}
	if len(want) > 0 {
		t.Errorf("missing slopes: %v", want)
	}
}

// Guards against a node that prefers a distant control node, and against zones whose nodes all prefer the same one.
func TestControlOrderPrefersNearNodes(t *testing.T) {
	fleetTopology := topology{Nodes: 5700, ControlNodes: 32}
	firstChoices := map[int]int{}
	for node := range fleetTopology.Nodes {
		order := fleetTopology.controlOrder(node)
		if len(order) != 32 || len(slices.Compact(slices.Sorted(slices.Values(order)))) != 32 {
			t.Fatalf("node %d: %v", node, order)
		}
		if zoneOf(fleetTopology.firstControlNode()+order[0]) != zoneOf(node) {
			t.Fatalf("node %d in zone %d prefers a control node in zone %d",
				node, zoneOf(node), zoneOf(fleetTopology.firstControlNode()+order[0]))
		}
		inRegion := true
		for _, c := range order {
			sameRegion := regionOf(zoneOf(fleetTopology.firstControlNode()+c)) == regionOf(zoneOf(node))
			if sameRegion && !inRegion {
				t.Fatalf("node %d has control nodes of its region after others: %v", node, order)
			}
			inRegion = sameRegion
		}
		firstChoices[order[0]]++
	}
	for c, n := range firstChoices {
		if n > 5700/17+1 || n < 5700/34-1 {
			t.Errorf("control node %d is the first choice of %d nodes", c, n)
		}
	}
	if all := fleetTopology.allNodes(); len(all) != 5732 || fleetTopology.controlIndex(all[5700]) != 0 ||
		fleetTopology.controlIndex(5699) != -1 || !slices.IsSorted(all) {
		t.Error("node indexes")
	}
}

// Guards against wrong delays and partitions between zones, and against addresses that give another node's index.
func TestLinks(t *testing.T) {
	links := newLinks(Links{WithinZone: 1, WithinRegion: 2, BetweenRegions: 3})
	if zoneOf(17+5) != 5 || regionOf(0) != 0 || regionOf(16) != 4 {
		t.Fatal("zones and regions")
	}
	within, far := 1, 10
	for _, c := range []struct {
		partition partition
		a, b      int
		want      time.Duration
		blocked   bool
		name      string
	}{
		{partition{}, 0, 0, 1, false, "zone"},
		{partition{}, 0, within, 2, false, "region"},
		{partition{}, 0, far, 3, false, "regions"},
		{partition{Zones: []int{0}}, 0, 0, 1, false, "within the zone"},
		{partition{Zones: []int{0}}, within, 0, 2, true, "to the zone"},
		{partition{Regions: []int{0}}, 0, within, 2, false, "within the region"},
		{partition{Regions: []int{0}}, far, 0, 3, true, "to the region"},
		{partition{Regions: []int{0}}, far, 16, 3, false, "past the region"},
	} {
		links.partition.Store(&c.partition)
		if got, _, blocked := links.between(c.a, c.b); got != c.want || blocked != c.blocked {
			t.Errorf("%s: %v, %v", c.name, got, blocked)
		}
	}
	for _, n := range []int{0, 249, 250, 5699, 11_999} {
		if got := emulatedNodeAt(emulatedAddr(n, 9).Addr()); got != n {
			t.Errorf("node %d: address gives index %d", n, got)
		}
	}
}
