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

// rigOptions are the flags of lab rig.
type rigOptions struct {
	nodes    int // 0 for the scenario's
	seed     uint64
	jsonPath string
}

func newRigCommand(stdout io.Writer) *cobra.Command {
	var o rigOptions
	c := &cobra.Command{
		Use:   "rig SCENARIO...",
		Short: "Start many processes of this program, put faults between them, and count at the receivers",
		Long: "rig starts processes of this program on the loopback with stand-in servers, a list service and " +
			"clients. Every link goes\nthrough the rig, which can drop, stall, delay, reset or cut what passes. A " +
			"scenario is a file or one of\n" + strings.Join(rig.EmbeddedNames(), ", ") +
			".\nExit code 1 where a rule was " +
			"broken or the run says nothing (void).",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, names []string) error {
			scenarios, err := o.load(names)
			if err != nil {
				return err // nothing has started
			}
			return asCommandError(runRig(stdout, scenarios, &o))
		},
	}
	c.Flags().IntVar(&o.nodes, "nodes", 0, "how many nodes, in place of the scenario's")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "for clients, choices and chance")
	c.Flags().StringVar(&o.jsonPath, "json", "", "write all results to this file")
	return c
}

// load checks the flags and reads the scenarios.
func (o *rigOptions) load(names []string) ([]*rig.Scenario, error) {
	if o.nodes != 0 && (o.nodes < minRigNodes || o.nodes > maxRigNodes) {
		return nil, fmt.Errorf("--nodes: %d is not %d to %d", o.nodes, minRigNodes, maxRigNodes)
	}
	var scenarios []*rig.Scenario
	for _, name := range names {
		s, err := rig.Load(name)
		if err != nil {
			return nil, err
		}
		if o.nodes > 0 {
			if err := s.SetNodes(o.nodes); err != nil {
				return nil, err
			}
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

var errRigFailed = errors.New("rules were broken, or a run was void")

// runRig plays each scenario and prints what was counted.
func runRig(stdout io.Writer, scenarios []*rig.Scenario, o *rigOptions) error {
	var all []*rig.Result
	failed := false
	for _, s := range scenarios {
		r, err := rig.Run(s, rig.Options{Seed: o.seed})
		if err != nil {
			return err
		}
		all = append(all, r)
		if err := writeRigTable(stdout, s, r, o.seed); err != nil {
			return err
		}
		if r.InvalidReason != "" {
			fmt.Fprintf(stdout, "void: %s\n", r.InvalidReason)
		}
		if r.Violations.Any() {
			fmt.Fprintf(stdout, "rules broken: %+v\n  %s\n", r.Violations, strings.Join(r.History, "\n  "))
		}
		failed = failed || r.InvalidReason != "" || r.Violations.Any()
	}
	if err := writeResults(o.jsonPath, all); err != nil {
		return err
	}
	if failed {
		return errRigFailed
	}
	return nil
}

func writeRigTable(stdout io.Writer, s *rig.Scenario, r *rig.Result, seed uint64) error {
	table := newTable(stdout)
	fmt.Fprintf(table, "%s\tseed %d, %d nodes\n", s.Name, seed, s.Nodes)
	fmt.Fprintf(table, "  served\t%.3f\n  most that the rig was late\t%.0f ms\n", r.Served, r.MaxLatenessMS)
	fmt.Fprintf(table, "  fullest window of a cold server\t%.3f\n", r.SlowStartUtilization)
	for _, name := range r.TotalNames() {
		fmt.Fprintf(table, "  %s\t%d\n", name, r.Totals[name])
	}
	writeRigTimes(table, s, r)
	for _, what := range slices.Sorted(maps.Keys(r.Peaks)) {
		fmt.Fprintf(table, "  most %s in 1 s\t%d\n", what, r.Peaks[what])
	}
	for i, e := range s.Events {
		fmt.Fprintf(table, "  %s acted\t%d\n", e.Kind, r.EventEffects[i])
	}
	fmt.Fprintf(table, "  words between nodes, bytes a second\t%.0f, %.0f\n", r.Datagrams.PerSecond,
		r.Datagrams.BytesPerSecond)
	return table.Flush()
}

// writeRigTimes writes how long nodes took to have a list, to be ready, and to have a list after an outage.
func writeRigTimes(table io.Writer, s *rig.Scenario, r *rig.Result) {
	if l := r.ListDelays; l.Starts > 0 {
		fmt.Fprintf(table, "  list after, half, 99%%, all\t%.1f, %.1f, %.1f s; %d of %d starts never\n",
			l.Median, l.P99, l.Max, l.Missing, l.Starts)
	}
	for _, p := range r.StartupTimes {
		cause := "the day's start"
		if p.Event >= 0 {
			cause = fmt.Sprintf("event %d, %s", p.Event, s.Events[p.Event].Kind)
		}
		fmt.Fprintf(table, "  ready after, half, 90%%, all\t%.2f, %.2f, %.2f s; %d of %d starts never (%s)\n",
			p.Median, p.P90, p.Max, p.NeverReady, p.Starts, cause)
	}
	if l := r.ListRecovery; l.Starts > 0 {
		fmt.Fprintf(table, "  list after its service is back\t%.1f, %.1f, %.1f s; %d of %d never\n",
			l.Median, l.P99, l.Max, l.Missing, l.Starts)
	}
}
