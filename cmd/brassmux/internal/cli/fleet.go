package cli

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"brassmux/lab/fleet"
)

const (
	maxFleetSeeds = 1000
	maxFleetNodes = 5000
)

// fleetOptions holds the flags of the lab fleet command.
type fleetOptions struct {
	firstSeed, seeds uint64
	nodes            int // 0 keeps the number in the scenario
	jsonPath         string
}

func newFleetCommand(stdout io.Writer) *cobra.Command {
	var options fleetOptions
	command := &cobra.Command{
		Use:   "fleet SCENARIO...",
		Short: "Play scenarios with many nodes in virtual time, and count across the fleet",
		Long: "fleet plays scenarios with the decisions of many nodes, in virtual time and without sockets. A " +
			"scenario is a file or\none of " + strings.Join(fleet.EmbeddedNames(), ", ") + ".\n" +
			"Exit code 1 where a rule was broken.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, names []string) error {
			scenarios, err := options.load(names)
			if err != nil {
				return err // no scenario has run, so this is a usage error
			}
			return asCommandError(runFleet(stdout, scenarios, &options))
		},
	}
	command.Flags().Uint64Var(&options.firstSeed, "seed", 1, "the first seed")
	command.Flags().Uint64Var(&options.seeds, "seeds", 5, "how many seeds to play")
	command.Flags().IntVar(&options.nodes, "nodes", 0, "how many nodes, in place of the scenario's")
	command.Flags().StringVar(&options.jsonPath, "json", "", "write all results to this file")
	return command
}

// load validates the flags and loads the named scenarios.
func (o *fleetOptions) load(names []string) ([]*fleet.Scenario, error) {
	if o.seeds == 0 || o.seeds > maxFleetSeeds {
		return nil, fmt.Errorf("--seeds: %d is not between 1 and %d", o.seeds, maxFleetSeeds)
	}
	if o.nodes < 0 || o.nodes > maxFleetNodes {
		return nil, fmt.Errorf("--nodes: %d is not between 1 and %d", o.nodes, maxFleetNodes)
	}
	var scenarios []*fleet.Scenario
	for _, name := range names {
		scenario, err := fleet.Load(name)
		if err != nil {
			return nil, err
		}
		scenario.Nodes = cmp.Or(o.nodes, scenario.Nodes)
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

var errInvariantsBroken = errors.New("rules were broken")

// runFleet runs each scenario with each seed and prints the median, minimum and maximum of each measurement.
func runFleet(stdout io.Writer, scenarios []*fleet.Scenario, options *fleetOptions) error {
	var allResults []*fleet.Result
	anyViolation := false
	table := newTable(stdout)
	for _, scenario := range scenarios {
		var results []*fleet.Result
		for seed := options.firstSeed; seed < options.firstSeed+options.seeds; seed++ {
			result := fleet.Run(scenario, seed, fleet.NewBalancer)
			results = append(results, result)
			if result.Violations.Any() {
				anyViolation = true
				history := strings.Join(result.History, "\n  ")
				fmt.Fprintf(stdout, "%s, seed %d: rules broken: %+v\n  %s\n",
					scenario.Name, seed, result.Violations, history)
			}
		}
		allResults = append(allResults, results...)
		writeFleetTable(table, scenario.Name, results)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := writeResults(options.jsonPath, allResults); err != nil {
		return err
	}
	if anyViolation {
		return errInvariantsBroken
	}
	return nil
}

// writeFleetTable writes one row for each measurement of a scenario.
func writeFleetTable(table io.Writer, scenario string, results []*fleet.Result) {
	fmt.Fprintf(table, "%s\tmedian\tleast\tmost\tmost at one server in 1 s\n", scenario)
	writeRow := func(name, format string, value func(*fleet.Result) float64, maxAtOneServer string) {
		values := make([]float64, len(results))
		for i, result := range results {
			values[i] = value(result)
		}
		fmt.Fprintf(table, "  %s\t"+format+"\t"+format+"\t"+format+"\t%s\n",
			name, fleet.Median(values), slices.Min(values), slices.Max(values), maxAtOneServer)
	}
	writeRow("served", "%.3f", func(r *fleet.Result) float64 { return r.Served }, "")
	writeRow("served, worst 5 s", "%.3f", func(r *fleet.Result) float64 { return r.WorstWindow }, "")
	writeRow("fullest window of a cold server", "%.3f",
		func(r *fleet.Result) float64 { return r.SlowStartUtilization }, "")
	for _, name := range totalNames(results) {
		writeRow(name, "%.0f",
			func(r *fleet.Result) float64 { return float64(r.Totals[name]) }, maxAtOneServer(results, name))
	}
}

// totalNames returns the sorted names of the totals that occur in any result.
func totalNames(results []*fleet.Result) []string {
	names := map[string]bool{}
	for _, result := range results {
		for name := range result.Totals {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// maxAtOneServer returns the highest count of a total at a single server within one second, or "" if the count is 0.
func maxAtOneServer(results []*fleet.Result, name string) string {
	highest := 0
	for _, result := range results {
		highest = max(highest, result.MaxPerServer[name])
	}
	if highest == 0 {
		return ""
	}
	return strconv.Itoa(highest)
}
