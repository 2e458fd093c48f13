package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brassmux/lab/rig"
)

const maxSizesServers = 4000

func newSizesCommand(stdout io.Writer) *cobra.Command {
	var sizes rig.SizeTest
	var jsonPath string
	command := &cobra.Command{
		Use: "sizes",
		Short: "Play one node of a large fleet beside more and more servers, and hold what it needs against the " +
			"operators' bounds",
		Long: "sizes starts a process of this program as one node of a fleet, beside stand-in servers and a list " +
			"service that changes one entry a\nsecond, with new clients whose keys are their own; for each number " +
			"of servers anew. What the node needs, in processor time, memory,\ndescriptors, connections made to " +
			"servers and bytes of lists, is held against what it may, by its need beside the first " +
			"number.\nNothing else should run beside it. Exit code 1 where a bound is exceeded.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := checkSizes(&sizes); err != nil {
				return err
			}
			return asCommandError(runSizes(stdout, sizes, jsonPath))
		},
	}
	command.Flags().IntSliceVar(&sizes.Servers, "servers", []int{200, 3200}, "numbers of servers")
	command.Flags().IntVar(&sizes.FleetSize, "fleet", 300, "nodes of the fleet, of which one is played")
	command.Flags().Float64Var(&sizes.ClientsPerSecond, "per-second", 20, "new clients")
	command.Flags().DurationVar(&sizes.Length, "for", 25*time.Second, "length of each play")
	command.Flags().Uint64Var(&sizes.Seed, "seed", 1, "for clients and changes")
	command.Flags().StringVar(&sizes.Binary, "binary", "",
		"the program to play, as an earlier build; this one where it is not named")
	command.Flags().StringVar(&jsonPath, "json", "", "write all results to this file")
	return command
}

// checkSizes returns an error if a flag is out of range.
func checkSizes(sizes *rig.SizeTest) error {
	for _, servers := range sizes.Servers {
		if servers < 1 || servers > maxSizesServers {
			return fmt.Errorf("--servers: %d is not between 1 and %d", servers, maxSizesServers)
		}
	}
	if len(sizes.Servers) < 2 {
		return errors.New("--servers: at least two numbers are required")
	}
	if sizes.FleetSize < 1 || sizes.ClientsPerSecond <= 0 || sizes.Length < time.Second {
		return errors.New("--fleet must be at least 1, --per-second greater than 0 and --for at least 1s")
	}
	return nil
}

var errBoundExceeded = errors.New("a bound is exceeded")

// runSizes measures the node with each number of servers and prints the resources that it used. It returns an error if
// a bound is exceeded.
func runSizes(stdout io.Writer, sizes rig.SizeTest, jsonPath string) error {
	results, err := sizes.Run()
	if err != nil {
		return err
	}
	table := newTable(stdout)
	fmt.Fprintln(table, "servers\tprocessor s\tmemory MB\tdescriptors\tconnections\tlist bytes\tserved")
	for _, result := range results {
		fmt.Fprintf(table, "%d\t%.2f\t%.1f\t%d\t%d\t%d\t%.3f\n", result.Servers, result.CPUSeconds, result.MemoryMB,
			result.Descriptors, result.Connections, result.ListBytes, result.Served)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	exceeded := false
	for _, result := range results {
		if len(result.ExceededBounds) > 0 {
			exceeded = true
			fmt.Fprintf(stdout, "%d servers, over: %s\n", result.Servers, strings.Join(result.ExceededBounds, "; "))
		}
	}
	if err := writeResults(jsonPath, results); err != nil {
		return err
	}
	if exceeded {
		return errBoundExceeded
	}
	return nil
}
