package scale

import (
	"math"
	"time"
)

// Limits for the control plane at the planned size, as given by the operators.
const (
	maxNodeCores       = 0.022
	maxControlCores    = 1
	maxNodeMB          = 128
	maxNodeBytes       = 14_000
	maxChangeDelay     = 14 * time.Second
	maxGrantGapSeconds = 4
	maxPeakRatio       = 3
)

// targets compares the figures with their limits.
func (f *fleet) targets() (all []Target) {
	result := f.result
	add := func(name string, value, limit float64) {
		target := Target{Name: name, Value: round(value), Limit: limit, Met: value <= limit}
		if limit > 0 {
			target.Ratio = round(value / limit)
		}
		all = append(all, target)
	}
	for _, role := range []string{"node", "leader", "spare", "control"} {
		r, ok := result.Roles[role]
		if !ok {
			continue
		} else if f.options.ControlNodes > 0 && role != "node" {
			add(role+", a control machine: cores", r.MaxCPU, maxControlCores)
			continue
		}
		add(role+": cores", r.MaxCPU, maxNodeCores)
		memoryMB := r.LiveMB
		if role != "node" { // the node is alone in its process
			memoryMB = r.ResidentMB
		}
		add(role+": MB", memoryMB, maxNodeMB)
		add(role+": bytes a second from and to other nodes and the list service",
			r.In.MaxBytes+r.Out.MaxBytes+r.List.MaxBytes, maxNodeBytes)
	}
	if r, ok := result.Roles["real"]; ok {
		add("real node: MB", r.MaxResidentMB, maxNodeMB)
	}
	add("change in force everywhere: seconds", result.Changes.Max, maxChangeDelay.Seconds())
	add("change never in force: nodes and changes", float64(result.Changes.Missing), 0)
	switch f.options.Scenario {
	case "zone", "region":
		add("most words in a second after the return over the mean, at any receiver", result.Peak.Ratio, maxPeakRatio)
	case "steady", "restarts", "leader": // grants must not be delayed longer by a working leader than by its failure
		add("busy nodes without a grant, 99 in 100: seconds", result.Units.GapP99, maxGrantGapSeconds)
	}
	add("units taken over the whole in any second",
		math.Max(0, float64(result.Units.MaxPerSecond-result.Units.Limit)), 0)
	return all
}
