package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"brassmux/lab/rig"
)

// soakOptions holds the flags of the lab soak command.
type soakOptions struct {
	rig.SoakConfig
	firstSeed, seeds uint64
	binary           string // path of the program to test; "" for this program
	scenarioDir      string // directory for the scenario files of days that violated an invariant
	jsonPath         string
}

func newSoakCommand(stdout io.Writer) *cobra.Command {
	var options soakOptions
	command := &cobra.Command{
		Use:   "soak",
		Short: "Draw days with several troubles at a time, play them with many processes, and count at the receivers",
		Long: "soak draws a day for each seed: nodes, servers, clients that behave and clients that do not, and " +
			"troubles of which two or three\noverlap: restarts, pauses, reloads, wall clocks that are stepped, " +
			"system calls that fail, logs that nobody reads, links, servers\nand lists that fail. It plays each " +
			"as lab rig does, with processes under a shim (a C compiler is needed). A day on which a rule\nwas " +
			"broken is written as a scenario file, which lab rig plays again. Exit code 1 where a rule was " +
			"broken, or every play of a\nday was void.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := options.check(); err != nil {
				return err
			}
			return asCommandError(runSoak(stdout, &options))
		},
	}
	command.Flags().IntVar(&options.MaxNodes, "nodes", 16, "processes, at the most; a day has from half of them on")
	command.Flags().DurationVar(&options.Length, "for", 15*time.Second, "length of a day")
	command.Flags().Uint64Var(&options.firstSeed, "seed", 1, "the first seed")
	command.Flags().Uint64Var(&options.seeds, "seeds", 5, "how many days to play")
	command.Flags().StringVar(&options.binary, "binary", "",
		"the program to play, as an earlier build; this one where it is not named")
	command.Flags().StringVar(&options.scenarioDir, "keep", ".",
		"the folder for scenario files of days that broke a rule")
	command.Flags().StringVar(&options.jsonPath, "json", "", "write all results to this file")
	return command
}

// check returns an error if a flag is out of range.
func (o *soakOptions) check() error {
	switch {
	case o.MaxNodes < 4 || o.MaxNodes > 100:
		return fmt.Errorf("--nodes: %d is not between 4 and 100", o.MaxNodes)
	case o.Length < 8*time.Second || o.Length > time.Hour:
		return fmt.Errorf("--for: %v is not between 8s and 1h", o.Length)
	case o.seeds == 0 || o.seeds > 10000:
		return fmt.Errorf("--seeds: %d is not between 1 and 10000", o.seeds)
	}
	return nil
}

// maxRunsPerDay limits the runs of one day. A day is run again if its run was void, for example because the machine was
// busy.
const maxRunsPerDay = 3

var errSoakFailed = errors.New("rules were broken, or days were void")

// runSoak draws a day, which is a random scenario, for each seed, runs it and prints its counters.
func runSoak(stdout io.Writer, options *soakOptions) error {
	var allResults []*rig.Result
	effectiveDays := map[string]int{} // number of days on which each kind of event had an effect
	failed := false
	for seed := options.firstSeed; seed < options.firstSeed+options.seeds; seed++ {
		day := options.Generate(seed)
		dayResults, err := runDay(day, seed, options.binary)
		if err != nil {
			return err
		}
		allResults = append(allResults, dayResults...)
		lastResult := dayResults[len(dayResults)-1]
		for i, event := range day.Events {
			effectiveDays[event.Kind] += min(lastResult.EventEffects[i], 1)
		}
		if err := writeDay(stdout, options.scenarioDir, seed, day, lastResult); err != nil {
			return err
		}
		failed = failed || lastResult.InvalidReason != "" || lastResult.Violations.Any()
	}
	fmt.Fprintf(stdout, "days by trouble that acted: %v\n", effectiveDays)
	if err := writeResults(options.jsonPath, allResults); err != nil {
		return err
	}
	if failed {
		return errSoakFailed
	}
	return nil
}

// runDay runs a day until a run is valid, at most maxRunsPerDay times, and returns the results of all runs.
func runDay(day *rig.Scenario, seed uint64, binary string) (results []*rig.Result, err error) {
	for len(results) < maxRunsPerDay {
		result, err := rig.Run(day, rig.Options{Seed: seed, Binary: binary})
		if err != nil {
			return nil, err
		}
		results = append(results, result)
		if result.InvalidReason == "" {
			break
		}
	}
	return results, nil
}

// writeDay prints the counters of a day. If the day violated an invariant, it also writes the day to dir as a scenario
// file.
func writeDay(stdout io.Writer, dir string, seed uint64, day *rig.Scenario, result *rig.Result) error {
	var events []string
	for _, event := range day.Events {
		events = append(events, event.Kind)
	}
	fmt.Fprintf(stdout, "seed %d: %d nodes, %d servers, served %.3f, up %d, late %.0f ms; %s\n", seed, day.Nodes,
		day.Servers, result.Served, result.Totals["up"], result.MaxLatenessMS, strings.Join(events, " "))
	if result.InvalidReason != "" {
		fmt.Fprintf(stdout, "  void: %s\n", result.InvalidReason)
	}
	if !result.Violations.Any() {
		return nil
	}
	path, err := writeScenario(dir, day)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "  rules broken: %+v (%s)\n  %s\n", result.Violations, path,
		strings.Join(result.History, "\n  "))
	return nil
}

// writeScenario writes a day as a scenario file for lab rig and returns its path.
func writeScenario(dir string, scenario *rig.Scenario) (path string, err error) {
	text, err := toml.Marshal(scenario)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, scenario.Name+".toml")
	return path, os.WriteFile(path, text, 0o644)
}
