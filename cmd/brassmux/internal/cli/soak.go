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

// soakOptions are the flags of lab soak.
type soakOptions struct {
	rig.SoakConfig
	firstSeed, seeds uint64
	binary           string // the program to play; "" for this one
	scenarioDir      string // for days that broke an invariant
	jsonPath         string
}

func newSoakCommand(stdout io.Writer) *cobra.Command {
	var o soakOptions
	c := &cobra.Command{
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
			if err := o.check(); err != nil {
				return err
			}
			return asCommandError(runSoak(stdout, &o))
		},
	}
	c.Flags().IntVar(&o.MaxNodes, "nodes", 16, "processes, at the most; a day has from half of them on")
	c.Flags().DurationVar(&o.Length, "for", 15*time.Second, "length of a day")
	c.Flags().Uint64Var(&o.firstSeed, "seed", 1, "the first seed")
	c.Flags().Uint64Var(&o.seeds, "seeds", 5, "how many days to play")
	c.Flags().StringVar(&o.binary, "binary", "",
		"the program to play, as an earlier build; this one where it is not named")
	c.Flags().StringVar(&o.scenarioDir, "keep", ".", "the folder for scenario files of days that broke a rule")
	c.Flags().StringVar(&o.jsonPath, "json", "", "write all results to this file")
	return c
}

// check returns an error for a flag that is out of range.
func (o *soakOptions) check() error {
	switch {
	case o.MaxNodes < 4 || o.MaxNodes > 100:
		return fmt.Errorf("--nodes: %d is not 4 to 100", o.MaxNodes)
	case o.Length < 8*time.Second || o.Length > time.Hour:
		return fmt.Errorf("--for: %v is not 8s to 1h", o.Length)
	case o.seeds == 0 || o.seeds > 10000:
		return fmt.Errorf("--seeds: %d is not 1 to 10000", o.seeds)
	}
	return nil
}

// maxPlays bounds the plays of a day that are void, as where the machine was busy.
const maxPlays = 3

var errSoakFailed = errors.New("rules were broken, or days were void")

// runSoak plays a day for each seed and prints what was counted.
func runSoak(stdout io.Writer, o *soakOptions) error {
	var all []*rig.Result
	effective := map[string]int{} // days by event that had an effect
	failed := false
	for seed := o.firstSeed; seed < o.firstSeed+o.seeds; seed++ {
		day := o.Generate(seed)
		plays, err := playDay(day, seed, o.binary)
		if err != nil {
			return err
		}
		all = append(all, plays...)
		last := plays[len(plays)-1]
		for i, e := range day.Events {
			effective[e.Kind] += min(last.EventEffects[i], 1)
		}
		if err := writeDay(stdout, o.scenarioDir, seed, day, last); err != nil {
			return err
		}
		failed = failed || last.InvalidReason != "" || last.Violations.Any()
	}
	fmt.Fprintf(stdout, "days by trouble that acted: %v\n", effective)
	if err := writeResults(o.jsonPath, all); err != nil {
		return err
	}
	if failed {
		return errSoakFailed
	}
	return nil
}

// playDay plays a day until a play is not void, maxPlays times at most, and returns all plays.
func playDay(day *rig.Scenario, seed uint64, binary string) (plays []*rig.Result, err error) {
	for len(plays) < maxPlays {
		r, err := rig.Run(day, rig.Options{Seed: seed, Binary: binary})
		if err != nil {
			return nil, err
		}
		plays = append(plays, r)
		if r.InvalidReason == "" {
			break
		}
	}
	return plays, nil
}

// writeDay prints what was counted on a day. One that broke an invariant is written to dir as a scenario, too.
func writeDay(stdout io.Writer, dir string, seed uint64, day *rig.Scenario, r *rig.Result) error {
	var events []string
	for _, e := range day.Events {
		events = append(events, e.Kind)
	}
	fmt.Fprintf(stdout, "seed %d: %d nodes, %d servers, served %.3f, up %d, late %.0f ms; %s\n", seed, day.Nodes,
		day.Servers, r.Served, r.Totals["up"], r.MaxLatenessMS, strings.Join(events, " "))
	if r.InvalidReason != "" {
		fmt.Fprintf(stdout, "  void: %s\n", r.InvalidReason)
	}
	if !r.Violations.Any() {
		return nil
	}
	path, err := writeScenario(dir, day)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "  rules broken: %+v (%s)\n  %s\n", r.Violations, path, strings.Join(r.History, "\n  "))
	return nil
}

// writeScenario writes a day as a file that lab rig reads.
func writeScenario(dir string, s *rig.Scenario) (path string, err error) {
	text, err := toml.Marshal(s)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, s.Name+".toml")
	return path, os.WriteFile(path, text, 0o644)
}
