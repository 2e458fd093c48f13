package capacity

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"brassmux/budget"
	"brassmux/lab/process/processtest"
	"brassmux/lab/scaling"
)

var binary string

func TestMain(m *testing.M) { processtest.Main(m, &binary) }

// Guards against a measurement of an idle system: each checks its state (nodes that follow, units granted, clients
// placed and connected) and fails otherwise. All sizes and repetitions must give positive values. Sizes are small, and
// CPU times are not compared with limits.
func TestMeasureAllGroups(t *testing.T) {
	results, err := Measure(context.Background(), Options{Seed: 3, Repetitions: 2, SizeDivisor: 15, Binary: binary})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range results.Measurements {
		if len(m.Sizes()) < 4 || len(m.Points) < 8 {
			t.Errorf("%s: %d points at %v", m.Name, len(m.Points), m.Sizes())
		}
		for _, p := range m.Points {
			if !(p.Value > 0) {
				t.Errorf("%s: %g at %g", m.Name, p.Value, p.Size)
			}
		}
		if m.Description == "" || m.SizeOf == "" || m.Fit.Verdict == "" {
			t.Errorf("%s has no description, unit of sizes or verdict: %+v", m.Name, m)
		}
	}
	// Counts and numbers of bytes do not depend on the speed of the machine.
	for name, want := range map[string]scaling.Verdict{
		"list.bytes": scaling.Linear, "list.change_bytes": scaling.Constant, "start.bytes": scaling.Linear,
		"node.descriptors": scaling.Linear, "ports.source": scaling.Linear, "keeper.ask_bytes": scaling.Constant} {
		if m := results.Measurement(name); m == nil || m.Fit.Verdict != want {
			t.Errorf("%s: %+v, want %s", name, m, want)
		}
	}
	if fit := results.Measurement("node.descriptors").Fit; fit.Slope < 1.99 || fit.Slope > 2.01 {
		t.Errorf("%.3f descriptors per connection, want 2: one each for client and server", fit.Slope)
	}
	if fit := results.Measurement("ports.source").Fit; fit.Slope < 0.999 || fit.Slope > 1.001 {
		t.Errorf("%.3f local ports per connection with the key source, want 1, whichever the server", fit.Slope)
	}
	if _, err := json.Marshal(results); err != nil {
		t.Error(err)
	}
}

// Guards against a run that accepts unknown names or too few repetitions, or that ignores its context.
func TestMeasureRejectsInvalidInput(t *testing.T) {
	if _, err := Measure(context.Background(), Options{Repetitions: 2}, "keeper", "no-such"); err == nil ||
		!strings.Contains(err.Error(), "no-such") {
		t.Error(err)
	}
	if _, err := Measure(context.Background(), Options{Repetitions: 1}, "pause"); err == nil {
		t.Error("one repetition was accepted, which gives no spread")
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Measure(canceled, Options{Repetitions: 2}, "pause"); err == nil {
		t.Error("the run ignored the canceled context")
	}
}

// Guards against measuring an idle leader: all nodes must follow it, and each must get the unit that it wants.
func TestFollowerGroupIsGrantedUnits(t *testing.T) {
	const nodes = 40
	group := newFollowerGroup(nodes)
	for group.now < budgetSettings(nodes, 0).RecoveryDelay()+6*heartbeat {
		if _, _, _, err := group.runHeartbeat(nodes-1, 1, false); err != nil {
			t.Fatal(err)
		}
	}
	if state := group.leader.State(group.now); state.Followers != nodes-1 {
		t.Errorf("%d followers", state.Followers)
	}
	if _, _, _, err := group.runHeartbeat(nodes-1, 1, true); err != nil {
		t.Fatal(err)
	}
	for i, response := range group.lastResponses[1:] {
		if !slices.EqualFunc(response.Grants, []budget.ID{budgetID((i + 1) % budgetCount)},
			func(g budget.Grant, id budget.ID) bool { return g.ID == id && g.Units == 1 }) {
			t.Errorf("node %d was granted %+v", i+1, response.Grants)
		}
		if !response.HasQuorum {
			t.Errorf("node %d: the leader has no quorum", i+1)
		}
	}
}

// Guards against a clock of the wrong process, or one that stands still: the CPU time of this process must grow while
// it works, and must be the same by its PID.
func TestCPUTime(t *testing.T) {
	before, start := cpuTime(), time.Now()
	for time.Since(start) < 20*time.Millisecond {
	}
	if used := cpuTime() - before; used <= 0 {
		t.Errorf("%v of work used %v of CPU time", time.Since(start), used)
	}
	if ownTime, timeByPID := cpuTime(), cpuTimeOf(os.Getpid()); timeByPID < ownTime || timeByPID > ownTime+time.Minute {
		t.Errorf("CPU time %v of this process, %v by its PID", ownTime, timeByPID)
	}
	if cpuTimeOf(1<<22+1) != 0 {
		t.Error("a missing process has CPU time")
	}
}
