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
	var s rig.SizeTest
	var jsonPath string
	c := &cobra.Command{
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
			if err := checkSizes(&s); err != nil {
				return err
			}
			return asCommandError(runSizes(stdout, s, jsonPath))
		},
	}
	c.Flags().IntSliceVar(&s.Servers, "servers", []int{200, 3200}, "numbers of servers")
	c.Flags().IntVar(&s.FleetSize, "fleet", 300, "nodes of the fleet, of which one is played")
	c.Flags().Float64Var(&s.ClientsPerSecond, "per-second", 20, "new clients")
	c.Flags().DurationVar(&s.Length, "for", 25*time.Second, "length of each play")
	c.Flags().Uint64Var(&s.Seed, "seed", 1, "for clients and changes")
	c.Flags().StringVar(&s.Binary, "binary", "",
		"the program to play, as an earlier build; this one where it is not named")
	c.Flags().StringVar(&jsonPath, "json", "", "write all results to this file")
	return c
}

// checkSizes returns an error for a flag that is out of range.
func checkSizes(s *rig.SizeTest) error {
	for _, n := range s.Servers {
		if n < 1 || n > maxSizesServers {
			return fmt.Errorf("--servers: %d is not 1 to %d", n, maxSizesServers)
		}
	}
	if len(s.Servers) < 2 {
		return errors.New("--servers: two numbers are wanted at the least")
	}
	if s.FleetSize < 1 || s.ClientsPerSecond <= 0 || s.Length < time.Second {
		return errors.New("--fleet, --per-second and --for: must be over 0, and 1s at the least")
	}
	return nil
}

var errBoundExceeded = errors.New("a bound is exceeded")

// runSizes plays the node at each size and prints what it needed.
func runSizes(stdout io.Writer, s rig.SizeTest, jsonPath string) error {
	results, err := s.Run()
	if err != nil {
		return err
	}
	table := newTable(stdout)
	fmt.Fprintln(table, "servers\tprocessor s\tmemory MB\tdescriptors\tconnections\tlist bytes\tserved")
	for _, r := range results {
		fmt.Fprintf(table, "%d\t%.2f\t%.1f\t%d\t%d\t%d\t%.3f\n", r.Servers, r.CPUSeconds, r.MemoryMB, r.Descriptors,
			r.Connections, r.ListBytes, r.Served)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	exceeded := false
	for _, r := range results {
		if len(r.ExceededBounds) > 0 {
			exceeded = true
			fmt.Fprintf(stdout, "%d servers, over: %s\n", r.Servers, strings.Join(r.ExceededBounds, "; "))
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
