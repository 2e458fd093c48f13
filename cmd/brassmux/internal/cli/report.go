package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"brassmux/lab/fleet"
)

func newReportCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "report BEFORE AFTER",
		Short: "Compare two files that lab fleet wrote, scenario by scenario",
		Long: "report pairs the results of two builds by scenario and seed, and tells whether the median change " +
			"of the part served\nis more than chance.",
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return asCommandError(report(stdout, args[0], args[1]))
		},
	}
}

var errNothingInCommon = errors.New("the files have no scenario and seed in common")

// report compares the results of two files and prints the change of each scenario.
func report(stdout io.Writer, beforePath, afterPath string) error {
	before, err := readResults(beforePath)
	if err != nil {
		return err
	}
	after, err := readResults(afterPath)
	if err != nil {
		return err
	}
	comparisons := fleet.Compare(before, after)
	if len(comparisons) == 0 {
		return errNothingInCommon
	}
	table := newTable(stdout)
	fmt.Fprintln(table, "scenario\tseeds\tbefore\tafter\tchange\t")
	for _, comparison := range comparisons {
		verdict := "more than chance"
		if comparison.WithinNoise() {
			verdict = "within noise"
		}
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%+.3f\t%s\n",
			comparison.Scenario, comparison.Seeds, comparison.MedianBefore, comparison.MedianAfter,
			comparison.MedianChange, verdict)
	}
	return table.Flush()
}

func readResults(path string) (results []*fleet.Result, err error) {
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &results)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return results, nil
}
