package cli

import (
	"fmt"
	"io"

	"brassmux/lab/scale"
)

// scaleRoles lists the roles of the machines in the order of the table rows.
var scaleRoles = []string{"node", "real", "leader", "spare", "control", "list"}

// writeScaleFleet prints the measurements of one fleet.
func writeScaleFleet(out io.Writer, fleet *scale.Fleet) error {
	table := newTable(out)
	fmt.Fprintf(table, "%d nodes, %d of them real\tmachines\tcores (most)\tlive MB\tresident MB\tdescriptors\t"+
		"words in\twords out\tB/s in (most)\tB/s out (most)\tlist B/s\n", fleet.Nodes, fleet.RealNodes)
	for _, name := range scaleRoles {
		if role, ok := fleet.Roles[name]; ok {
			fmt.Fprintf(table, "  %s\t%d\t%g (%g)\t%g\t%g\t%g\t%g\t%g\t%g (%g)\t%g (%g)\t%g\n",
				name, role.Nodes, role.CPU, role.MaxCPU, role.LiveMB, role.ResidentMB, role.Descriptors,
				role.In.Messages, role.Out.Messages, role.In.Bytes, role.In.MaxBytes,
				role.Out.Bytes, role.Out.MaxBytes, role.List.Bytes)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	changes, units := fleet.Changes, fleet.Units
	fmt.Fprintf(out, "  %d changes in force at half, 99%%, all after %g, %g, %g s, never %d times; %s: %d taken, "+
		"%d refused, most in a second %d of %d; a busy node without a grant for %g s (99%%), %g s at most\n",
		changes.Count, changes.Median, changes.P99, changes.Max, changes.Missing,
		units.Kind, units.Taken, units.Refused, units.MaxPerSecond, units.Limit, units.GapP99, units.MaxGap)
	fmt.Fprintf(out, "  real clients %v; all served after %.1f s; the run was %.0f ms late, over 100 ms at %g of its "+
		"looks\n", fleet.Clients, fleet.StartupSeconds, fleet.MaxDelayMS, fleet.LateSampleRatio)
	if peak := fleet.Peak; peak.Ratio > 0 {
		fmt.Fprintf(out, "  most words in a second after the return: %g times the mean, at the %s %d\n",
			peak.Ratio, peak.Role, peak.Node)
	}
	for _, note := range fleet.Notes {
		fmt.Fprintf(out, "  %s\n", note)
	}
	for _, target := range fleet.Targets {
		writeScaleTarget(out, target)
	}
	return nil
}

func writeScaleTarget(out io.Writer, target scale.Target) {
	verdict := "holds"
	if !target.Met {
		verdict = "does not hold"
	}
	fmt.Fprintf(out, "  %s: %s: %g of %g (%g times)\n", verdict, target.Name, target.Value, target.Limit, target.Ratio)
}

// writeScaleGrowth prints how the cost of each role grows with the number of nodes. It prints nothing if too few sizes
// were run to fit a slope.
func writeScaleGrowth(out io.Writer, result *scale.Result) error {
	if len(result.Slopes) == 0 {
		return nil
	}
	table := newTable(out)
	fmt.Fprintln(table, "growth with the nodes\tper 1,000 nodes\t+-\texponent\t+-\tspread about the line\tverdict")
	for _, slope := range result.Slopes {
		fmt.Fprintf(table, "  %s: %s\t%.4g\t%.2g\t%.2f\t%.2g\t%.2g\t%s\n", slope.Role, slope.Figure,
			1000*slope.Slope, 1000*slope.SlopeMargin, slope.Exponent, slope.ExponentMargin,
			slope.ResidualDeviation, slope.Verdict)
	}
	return table.Flush()
}
