package cli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"brassmux/lab/rig"
)

const (
	minRigNodes = 2
	maxRigNodes = 300
)

// rigOptions holds the flags of the lab rig command.
type rigOptions struct {
	nodes    int // 0 keeps the number in the scenario
	seed     uint64
	jsonPath string
}

func newRigCommand(stdout io.Writer) *cobra.Command {
	var options rigOptions
	command := &cobra.Command{
		Use:   "rig SCENARIO...",
		Short: "Start many processes of this program, put faults between them, and count at the receivers",
		Long: "rig starts processes of this program on the loopback with stand-in servers, a list service and " +
			"clients. Every link goes\nthrough the rig, which can drop, stall, delay, reset or cut what passes. A " +
			"scenario is a file or one of\n" + strings.Join(rig.EmbeddedNames(), ", ") +
			".\nExit code 1 where a rule was " +
			"broken or the run says nothing (void).",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, names []string) error {
			scenarios, err := options.load(names)
			if err != nil {
				return err // no scenario has run, so this is a usage error
			}
			return asCommandError(runRig(stdout, scenarios, &options))
		},
	}
	command.Flags().IntVar(&options.nodes, "nodes", 0, "how many nodes, in place of the scenario's")
	command.Flags().Uint64Var(&options.seed, "seed", 1, "for clients, choices and chance")
	command.Flags().StringVar(&options.jsonPath, "json", "", "write all results to this file")
	return command
}

// load validates the flags and loads the named scenarios.
func (o *rigOptions) load(names []string) ([]*rig.Scenario, error) {
	if o.nodes != 0 && (o.nodes < minRigNodes || o.nodes > maxRigNodes) {
		return nil, fmt.Errorf("--nodes: %d is not between %d and %d", o.nodes, minRigNodes, maxRigNodes)
	}
	var scenarios []*rig.Scenario
	for _, name := range names {
		scenario, err := rig.Load(name)
		if err != nil {
			return nil, err
		}
		if o.nodes > 0 {
			if err := scenario.SetNodes(o.nodes); err != nil {
				return nil, err
			}
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

var errRigFailed = errors.New("rules were broken, or a run was void")

// runRig runs each scenario and prints its counters.
func runRig(stdout io.Writer, scenarios []*rig.Scenario, options *rigOptions) error {
	var allResults []*rig.Result
	failed := false
	for _, scenario := range scenarios {
		result, err := rig.Run(scenario, rig.Options{Seed: options.seed})
		if err != nil {
			return err
		}
		allResults = append(allResults, result)
		if err := writeRigTable(stdout, scenario, result, options.seed); err != nil {
			return err
		}
		if result.InvalidReason != "" {
			fmt.Fprintf(stdout, "void: %s\n", result.InvalidReason)
		}
		if result.Violations.Any() {
			fmt.Fprintf(stdout, "rules broken: %+v\n  %s\n", result.Violations, strings.Join(result.History, "\n  "))
		}
		failed = failed || result.InvalidReason != "" || result.Violations.Any()
	}
	if err := writeResults(options.jsonPath, allResults); err != nil {
		return err
	}
	if failed {
		return errRigFailed
	}
	return nil
}

func writeRigTable(stdout io.Writer, scenario *rig.Scenario, result *rig.Result, seed uint64) error {
	table := newTable(stdout)
	fmt.Fprintf(table, "%s\tseed %d, %d nodes\n", scenario.Name, seed, scenario.Nodes)
	fmt.Fprintf(table, "  served\t%.3f\n  most that the rig was late\t%.0f ms\n", result.Served, result.MaxLatenessMS)
	fmt.Fprintf(table, "  fullest window of a cold server\t%.3f\n", result.SlowStartUtilization)
	for _, name := range result.TotalNames() {
		fmt.Fprintf(table, "  %s\t%d\n", name, result.Totals[name])
	}
	writeRigTimes(table, scenario, result)
	for _, kind := range slices.Sorted(maps.Keys(result.Peaks)) {
		fmt.Fprintf(table, "  most %s in 1 s\t%d\n", kind, result.Peaks[kind])
	}
	for i, event := range scenario.Events {
		fmt.Fprintf(table, "  %s acted\t%d\n", event.Kind, result.EventEffects[i])
	}
	fmt.Fprintf(table, "  words between nodes, bytes a second\t%.0f, %.0f\n", result.Datagrams.PerSecond,
		result.Datagrams.BytesPerSecond)
	return table.Flush()
}

// writeRigTimes writes how long nodes took to receive a server list, to become ready, and to receive a list again after
// an outage of the discovery service.
func writeRigTimes(table io.Writer, scenario *rig.Scenario, result *rig.Result) {
	if lists := result.ListDelays; lists.Starts > 0 {
		fmt.Fprintf(table, "  list after, half, 99%%, all\t%.1f, %.1f, %.1f s; %d of %d starts never\n",
			lists.Median, lists.P99, lists.Max, lists.Missing, lists.Starts)
	}
	for _, ready := range result.StartupTimes {
		cause := "the day's start"
		if ready.Event >= 0 {
			cause = fmt.Sprintf("event %d, %s", ready.Event, scenario.Events[ready.Event].Kind)
		}
		fmt.Fprintf(table, "  ready after, half, 90%%, all\t%.2f, %.2f, %.2f s; %d of %d starts never (%s)\n",
			ready.Median, ready.P90, ready.Max, ready.NeverReady, ready.Starts, cause)
	}
	if lists := result.ListRecovery; lists.Starts > 0 {
		fmt.Fprintf(table, "  list after its service is back\t%.1f, %.1f, %.1f s; %d of %d never\n",
			lists.Median, lists.P99, lists.Max, lists.Missing, lists.Starts)
	}
}
