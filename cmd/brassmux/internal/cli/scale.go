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
	options := scale.Options{}
	var jsonPath string
	var flat bool
	command := &cobra.Command{
		Use:   "scale",
		Short: "Play fleets of growing size, count what control costs each role, and hold it against its targets",
		Long: "scale plays fleets of growing size on this machine: hollow nodes, which run this program's own " +
			"control code with their clients'\ntraffic drawn, some hundreds in a process, beside real processes " +
			"with real clients and a list service, with zones and regions\non their links. Exit code 0 where " +
			"every target of control holds with the greatest size, 1 where one does not, 2 for a faulty\noption, " +
			"3 where the run says nothing (void). Scenarios: " + strings.Join(scale.Scenarios(), ", ") + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if flat && options.ControlNodes > 0 {
				return fmt.Errorf("--flat cannot be combined with --control %d", options.ControlNodes)
			}
			if err := options.Check(); err != nil {
				return err
			}
			options.Log = stdout
			return asCommandError(runScale(stdout, options, jsonPath))
		},
	}
	addScaleFlags(command, &options)
	command.Flags().BoolVar(&flat, "flat", false,
		"control without control machines: all nodes with one another, as where --control is 0")
	command.Flags().StringVar(&jsonPath, "json", "", "write all results to this file")
	return command
}

func addScaleFlags(command *cobra.Command, options *scale.Options) {
	command.Flags().IntSliceVar(&options.Nodes, "nodes", []int{300, 1000, 3000, 5700},
		"sizes, hollow and real nodes together")
	command.Flags().IntVar(&options.RealNodes, "real", 12, "how many of them are processes that serve real clients")
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "for the nodes, their traffic and chance")
	command.Flags().DurationVar(&options.Duration, "for", 30*time.Second, "how long each fleet is counted")
	command.Flags().IntVar(&options.ControlNodes, "control", 0, "control machines beside the nodes; 0: control is flat")
	command.Flags().StringVar(&options.Scenario, "scenario", "steady", "what happens")
	command.Flags().DurationVar(&options.OutageDuration, "cut", time.Minute,
		"how long a cut or a loss lasts, where the scenario has one")
}

// newScalePartCommand returns the hidden command that lab scale starts for each of its processes.
func newScalePartCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:    "scale-part",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return asCommandError(scale.RunWorker(os.Stdin, stdout)) },
	}
}

// runScale runs the fleets and prints the cost of the control plane for each role.
func runScale(stdout io.Writer, options scale.Options, jsonPath string) error {
	result, err := scale.Run(options)
	if err != nil {
		return invalidRunError{err}
	}
	for _, fleet := range result.Fleets {
		if err := writeScaleFleet(stdout, fleet); err != nil {
			return err
		}
	}
	if err := writeScaleGrowth(stdout, result); err != nil {
		return err
	}
	if err := writeResults(jsonPath, result); err != nil {
		return err
	}
	if reason := result.InvalidReason(); reason != "" {
		return invalidRunError{fmt.Errorf("void: %s", reason)}
	}
	if !result.TargetsMet() {
		return fmt.Errorf("a control target does not hold with %d nodes", result.Fleets[len(result.Fleets)-1].Nodes)
	}
	return nil
}
