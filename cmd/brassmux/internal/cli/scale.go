package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brassmux/lab/scale"
)

func newScaleCommand(stdout io.Writer) *cobra.Command {
	o := scale.Options{}
	var jsonPath string
	var flat bool
	c := &cobra.Command{
		Use:   "scale",
		Short: "Play fleets of growing size, count what control costs each role, and hold it against its targets",
		Long: "scale plays fleets of growing size on this machine: hollow nodes, which run this program's own " +
			"control code with their clients'\ntraffic drawn, some hundreds in a process, beside real processes " +
			"with real clients and a list service, with zones and regions\non their links. Exit code 0 where " +
			"every target of control holds with the greatest size, 1 where one does not, 2 for a faulty\noption, " +
			"3 where the run says nothing (void). Scenarios: " + strings.Join(scale.Scenarios(), ", ") + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if flat && o.ControlNodes > 0 {
				return fmt.Errorf("--flat: goes with no --control %d", o.ControlNodes)
			}
			if err := o.Check(); err != nil {
				return err
			}
			o.Log = stdout
			return asCommandError(runScale(stdout, o, jsonPath))
		},
	}
	addScaleFlags(c, &o)
	c.Flags().BoolVar(&flat, "flat", false,
		"control without control machines: all nodes with one another, as where --control is 0")
	c.Flags().StringVar(&jsonPath, "json", "", "write all results to this file")
	return c
}

func addScaleFlags(c *cobra.Command, o *scale.Options) {
	c.Flags().IntSliceVar(&o.Nodes, "nodes", []int{300, 1000, 3000, 5700}, "sizes, hollow and real nodes together")
	c.Flags().IntVar(&o.RealNodes, "real", 12, "how many of them are processes that serve real clients")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "for the nodes, their traffic and chance")
	c.Flags().DurationVar(&o.Duration, "for", 30*time.Second, "how long each fleet is counted")
	c.Flags().IntVar(&o.ControlNodes, "control", 0, "control machines beside the nodes; 0: control is flat")
	c.Flags().StringVar(&o.Scenario, "scenario", "steady", "what happens")
	c.Flags().DurationVar(&o.OutageDuration, "cut", time.Minute,
		"how long a cut or a loss lasts, where the scenario has one")
}

// newScalePartCommand returns the command of one process of such a run.
func newScalePartCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:    "scale-part",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return asCommandError(scale.RunWorker(os.Stdin, stdout)) },
	}
}

// runScale plays the fleets and prints what control cost.
func runScale(stdout io.Writer, o scale.Options, jsonPath string) error {
	r, err := scale.Run(o)
	if err != nil {
		return invalidRunError{err}
	}
	for _, f := range r.Fleets {
		if err := writeScaleFleet(stdout, f); err != nil {
			return err
		}
	}
	if err := writeScaleGrowth(stdout, r); err != nil {
		return err
	}
	if err := writeResults(jsonPath, r); err != nil {
		return err
	}
	if reason := r.InvalidReason(); reason != "" {
		return invalidRunError{fmt.Errorf("void: %s", reason)}
	}
	if !r.TargetsMet() {
		return fmt.Errorf("with %d nodes not every target of control holds", r.Fleets[len(r.Fleets)-1].Nodes)
	}
	return nil
}
