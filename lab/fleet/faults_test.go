package fleet

import (
	"testing"
	"time"
)

// Each kind of fault must change the result; otherwise a scenario with it would test nothing.
func TestFaultsAffectResult(t *testing.T) {
	baseline := load(t, "calm")
	for _, testCase := range []struct {
		fault     Fault
		hasEffect func(baseline, result *Result) bool
	}{
		{Fault{Kind: "discovery_down", Duration: Duration(5 * time.Second)}, func(baseline, result *Result) bool {
			return result.Totals["list calls failed"] > baseline.Totals["list calls failed"]
		}},
		{Fault{Kind: "kill_nodes", Fraction: 0.5, Duration: Duration(time.Second)}, func(_, result *Result) bool {
			return result.Totals["nodes killed"] == 40 && result.Totals["cut off"] > 0
		}},
		{Fault{Kind: "reconnect", Fraction: 0.5}, func(baseline, result *Result) bool {
			return result.Totals["requests"] > baseline.Totals["requests"]+50
		}},
		{Fault{Kind: "replace_servers", Fraction: 0.2, Duration: Duration(time.Second)}, func(_, result *Result) bool {
			return result.Totals["sent away"] > 0
		}},
		{Fault{Kind: "lose_servers", Fraction: 0.3, Duration: Duration(5 * time.Second)}, func(_, result *Result) bool {
			return result.Totals["cut off"] > 0 && result.Totals["probes in vain"] > 0
		}},
		{Fault{Kind: "slow_servers", Fraction: 1, CapacityFraction: 0.2, Duration: Duration(10 * time.Second)},
			func(baseline, result *Result) bool { return result.Served < baseline.Served }},
	} {
		scenario := *baseline
		testCase.fault.At = Duration(15 * time.Second)
		scenario.Faults = []Fault{testCase.fault}
		if err := scenario.Check(); err != nil {
			t.Fatal(err)
		}
		if result := Run(&scenario, 1, NewBalancer); !testCase.hasEffect(Run(baseline, 1, NewBalancer), result) {
			t.Errorf("%s: served %.3f, %v", testCase.fault.Kind, result.Served, result.Totals)
		}
	}
}
