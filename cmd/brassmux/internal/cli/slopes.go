package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"brassmux/lab/capacity"
)

func newSlopesCommand(stdout io.Writer) *cobra.Command {
	options := capacity.Options{}
	var jsonPath string
	command := &cobra.Command{
		Use:   "slopes [NAME...]",
		Short: "Measure how what nodes, keeper and lists cost grows with the size of a fleet",
		Long: "slopes makes each measurement several times at four sizes or more, and tells the line through " +
			"them, its spread, the exponent\nand whether it is a line at all. Without names it makes all; a name " +
			"is one of " +
			strings.Join(capacity.GroupNames(), ", ") + ".\n" +
			"The groups node and ports start this program as nodes and hold up to 4,000 connections: they need 9,000 " +
			"descriptors.",
		RunE: func(_ *cobra.Command, names []string) error {
			if err := checkSlopes(&options, names); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return asCommandError(runSlopes(ctx, stdout, options, names, jsonPath))
		},
	}
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "for keys, choices and chance")
	command.Flags().IntVar(&options.Repetitions, "repeat", 5, "how often each is measured at each size")
	command.Flags().IntVar(&options.SizeDivisor, "part", 1, "divide all sizes by it, for a quick look")
	command.Flags().StringVar(&jsonPath, "json", "", "write all measurements to this file")
	return command
}

// checkSlopes returns an error if a flag is out of range or a measurement name is unknown.
func checkSlopes(options *capacity.Options, names []string) error {
	if options.Repetitions < 2 || options.Repetitions > 100 {
		return fmt.Errorf("--repeat: %d is not between 2 and 100", options.Repetitions)
	}
	if options.SizeDivisor < 1 || options.SizeDivisor > 100 {
		return fmt.Errorf("--part: %d is not between 1 and 100", options.SizeDivisor)
	}
	return capacity.CheckGroupNames(names)
}

// runSlopes takes the measurements and prints how each grows with the size.
func runSlopes(ctx context.Context, stdout io.Writer, options capacity.Options, names []string, jsonPath string) error {
	results, err := capacity.Measure(ctx, options, names...)
	if err != nil {
		return err
	}
	results.Program = version()
	table := newTable(stdout)
	fmt.Fprintln(table, "name\tof\tunit\tleast size\tgreatest size\tslope\tspread\texponent\tform")
	for _, measurement := range results.Measurements {
		sizes := measurement.Sizes()
		formatMedian := func(size float64) string { return fmt.Sprintf("%.0f: %.4g", size, measurement.Median(size)) }
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.3g +- %.2g\t%.3f\t%.2f +- %.2f\t%s\n",
			measurement.Name, measurement.SizeOf, measurement.Unit,
			formatMedian(sizes[0]), formatMedian(sizes[len(sizes)-1]),
			measurement.Fit.Slope, measurement.Fit.SlopeMargin, measurement.Fit.ResidualDeviation,
			measurement.Fit.Exponent, measurement.Fit.ExponentMargin, measurement.Fit.Verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeResults(jsonPath, results)
}
