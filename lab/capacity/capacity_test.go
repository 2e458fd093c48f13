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

// Guards against a measurement that measures nothing: each finds what it measures in the state that it says (nodes that follow, units
// granted, clients placed and connected, or it fails), at every size and as often as asked. Sizes are small, and no time is judged.
func TestEachMeasurementIsMade(t *testing.T) {
	r, err := Measure(context.Background(), Options{Seed: 3, Repetitions: 2, SizeDivisor: 15, Binary: binary})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range r.Measurements {
		if len(s.Sizes()) < 4 || len(s.Points) < 8 {
			t.Errorf("%s: %d points at %v", s.Name, len(s.Points), s.Sizes())
		}
		for _, p := range s.Points {
			if !(p.Value > 0) {
				t.Errorf("%s: %g at %g", s.Name, p.Value, p.Size)
			}
		}
		if s.Description == "" || s.SizeOf == "" || s.Fit.Verdict == "" {
			t.Errorf("%s does not say what it is: %+v", s.Name, s)
		}
	}
	// What is a count or a number of bytes is known without a clock.
	for name, want := range map[string]scaling.Verdict{"list.bytes": scaling.Linear, "list.change_bytes": scaling.Constant, "start.bytes": scaling.Linear,
		"node.descriptors": scaling.Linear, "ports.source": scaling.Linear, "keeper.ask_bytes": scaling.Constant} {
		if s := r.Measurement(name); s == nil || s.Fit.Verdict != want {
			t.Errorf("%s: %+v, want %s", name, s, want)
		}
	}
	if d := r.Measurement("node.descriptors").Fit; d.Slope < 1.99 || d.Slope > 2.01 {
		t.Errorf("%.3f descriptors a connection, which are two: the client's and its server's", d.Slope)
	}
	if f := r.Measurement("ports.source").Fit; f.Slope < 0.999 || f.Slope > 1.001 {
		t.Errorf("%.3f local ports a connection where the key source is set, which is one of the address, whichever the server", f.Slope)
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
}

// Guards against a run that starts on names or numbers that it does not know.
func TestMeasureRefuses(t *testing.T) {
	if _, err := Measure(context.Background(), Options{Repetitions: 2}, "keeper", "no-such"); err == nil || !strings.Contains(err.Error(), "no-such") {
		t.Error(err)
	}
	if _, err := Measure(context.Background(), Options{Repetitions: 1}, "pause"); err == nil {
		t.Error("one measurement tells no spread")
	}
	ended, end := context.WithCancel(context.Background())
	end()
	if _, err := Measure(ended, Options{Repetitions: 2}, "pause"); err == nil {
		t.Error("it goes on after its end")
	}
}

// Guards against a keeper that is measured while it has nothing to do: all nodes follow it, each want is granted, and what is granted
// stands at the keeper when the next asks.
func TestTheCrowdFollowsAndIsGranted(t *testing.T) {
	const nodes = 40
	c := newCrowd(nodes)
	for c.now < budgetSettings(nodes, 0).RecoveryDelay()+6*beat {
		if _, _, _, err := c.beat(nodes-1, 1, false); err != nil {
			t.Fatal(err)
		}
	}
	if s := c.keep.State(c.now); s.Followers != nodes-1 {
		t.Errorf("%d follow", s.Followers)
	}
	if _, _, _, err := c.beat(nodes-1, 1, true); err != nil {
		t.Fatal(err)
	}
	for i, w := range c.heard[1:] {
		if !slices.EqualFunc(w.Grants, []budget.ID{budgetID((i + 1) % budgetCount)}, func(g budget.Grant, id budget.ID) bool { return g.ID == id && g.Units == 1 }) {
			t.Errorf("node %d was granted %+v", i+1, w.Grants)
		}
		if !w.HasQuorum {
			t.Errorf("node %d is told that the keeper is not followed by most", i+1)
		}
	}
}

// Guards against a clock that measures another's time or none: this process's own processor time passes as it works, another's is its own.
func TestClocks(t *testing.T) {
	begun, wall := cpu(), time.Now()
	for time.Since(wall) < 20*time.Millisecond {
	}
	if used := cpu() - begun; used <= 0 {
		t.Errorf("%v of work used %v", time.Since(wall), used)
	}
	if own, other := cpu(), cpuOf(os.Getpid()); other < own || other > own+time.Minute {
		t.Errorf("%v by the process, %v by its number", own, other)
	}
	if cpuOf(1<<22+1) != 0 {
		t.Error("a process that is not there uses time")
	}
}
