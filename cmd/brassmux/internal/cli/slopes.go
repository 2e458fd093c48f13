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
	o := capacity.Options{}
	var jsonPath string
	c := &cobra.Command{
		Use:   "slopes [NAME...]",
		Short: "Measure how what nodes, keeper and lists cost grows with the size of a fleet",
		Long: "slopes makes each measurement several times at four sizes or more, and tells the line through " +
			"them, its spread, the exponent\nand whether it is a line at all. Without names it makes all; a name " +
			"is one of " +
			strings.Join(capacity.GroupNames(), ", ") + ".\n" +
			"The groups node and ports start this program as nodes and hold up to 4,000 connections: they need 9,000 " +
			"descriptors.",
		RunE: func(_ *cobra.Command, names []string) error {
			if err := checkSlopes(&o, names); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return asCommandError(runSlopes(ctx, stdout, o, names, jsonPath))
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "for keys, choices and chance")
	c.Flags().IntVar(&o.Repetitions, "repeat", 5, "how often each is measured at each size")
	c.Flags().IntVar(&o.SizeDivisor, "part", 1, "divide all sizes by it, for a quick look")
	c.Flags().StringVar(&jsonPath, "json", "", "write all measurements to this file")
	return c
}

// checkSlopes returns an error for a flag that is out of range and for an unknown name.
func checkSlopes(o *capacity.Options, names []string) error {
	if o.Repetitions < 2 || o.Repetitions > 100 {
		return fmt.Errorf("--repeat: %d is not 2 to 100", o.Repetitions)
	}
	if o.SizeDivisor < 1 || o.SizeDivisor > 100 {
		return fmt.Errorf("--part: %d is not 1 to 100", o.SizeDivisor)
	}
	return capacity.CheckGroupNames(names)
}

// runSlopes makes the measurements and prints how each grows.
func runSlopes(ctx context.Context, stdout io.Writer, o capacity.Options, names []string, jsonPath string) error {
	r, err := capacity.Measure(ctx, o, names...)
	if err != nil {
		return err
	}
	r.Program = version()
	table := newTable(stdout)
	fmt.Fprintln(table, "name\tof\tunit\tleast size\tgreatest size\tslope\tspread\texponent\tform")
	for _, s := range r.Measurements {
		sizes := s.Sizes()
		at := func(n float64) string { return fmt.Sprintf("%.0f: %.4g", n, s.Median(n)) }
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.3g +- %.2g\t%.3f\t%.2f +- %.2f\t%s\n",
			s.Name, s.SizeOf, s.Unit, at(sizes[0]), at(sizes[len(sizes)-1]),
			s.Fit.Slope, s.Fit.SlopeMargin, s.Fit.ResidualDeviation,
			s.Fit.Exponent, s.Fit.ExponentMargin, s.Fit.Verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeResults(jsonPath, r)
}
