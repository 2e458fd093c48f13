package fleet

import (
	"math"
	"testing"
)

// results returns results of a scenario with consecutive seeds and the given served fractions.
func results(name string, served ...float64) (list []*Result) {
	for seed, fraction := range served {
		list = append(list, &Result{Scenario: name, Seed: uint64(seed), Served: fraction})
	}
	return list
}

func TestCompareDistinguishesChangeFromNoise(t *testing.T) {
	before := append(results("a", 0.5, 0.7, 0.6, 0.9), results("b", 0.5, 0.5, 0.5, 0.5)...)
	before = append(before, results("few", 0.1, 0.2)...)
	after := append(results("b", 0.6, 0.4, 0.61, 0.41), results("a", 0.6, 0.79, 0.7, 1.0, 0.3)...) // an extra seed of a
	after = append(after, results("few", 0.9, 0.9)...)
	after = append(after, results("new", 1)...)
	got := Compare(before, after)
	if len(got) != 3 || got[0].Scenario != "a" || got[1].Scenario != "b" || got[2].Scenario != "few" {
		t.Fatalf("got %+v", got)
	}
	a, b, few := got[0], got[1], got[2]
	near := func(x, y float64) bool { return math.Abs(x-y) <= 1e-9 }
	if a.Seeds != 4 || !near(a.MedianBefore, 0.65) || !near(a.MedianAfter, 0.745) || !near(a.MedianChange, 0.1) ||
		a.WithinNoise() {
		t.Errorf("a gain of 0.1 with each seed: got %+v", a)
	}
	if !b.WithinNoise() || b.Noise < 0.1 || b.Noise > 0.12 {
		t.Errorf("gains of 0.1 with two seeds and losses of 0.1 with two: got %+v", b)
	}
	if !few.WithinNoise() {
		t.Errorf("two seeds, which are too few: got %+v", few)
	}
}
