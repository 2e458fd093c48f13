package cli

import (
	"fmt"
	"io"

	"brassmux/lab/scale"
)

// scaleRoles are the roles of machines, in the order of the table.
var scaleRoles = []string{"node", "real", "leader", "spare", "control", "list"}

// writeScaleFleet prints what was counted with one size.
func writeScaleFleet(out io.Writer, f *scale.Fleet) error {
	table := newTable(out)
	fmt.Fprintf(table, "%d nodes, %d of them real\tmachines\tcores (most)\tlive MB\tresident MB\tdescriptors\t"+
		"words in\twords out\tB/s in (most)\tB/s out (most)\tlist B/s\n", f.Nodes, f.RealNodes)
	for _, name := range scaleRoles {
		if role, ok := f.Roles[name]; ok {
			fmt.Fprintf(table, "  %s\t%d\t%g (%g)\t%g\t%g\t%g\t%g\t%g\t%g (%g)\t%g (%g)\t%g\n",
				name, role.Nodes, role.CPU, role.MaxCPU, role.LiveMB, role.ResidentMB, role.Descriptors,
				role.In.Messages, role.Out.Messages, role.In.Bytes, role.In.MaxBytes,
				role.Out.Bytes, role.Out.MaxBytes, role.List.Bytes)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	c, u := f.Changes, f.Units
	fmt.Fprintf(out, "  %d changes in force at half, 99%%, all after %g, %g, %g s, never %d times; %s: %d taken, "+
		"%d refused, most in a second %d of %d; a busy node without a grant for %g s (99%%), %g s at most\n",
		c.Count, c.Median, c.P99, c.Max, c.Missing, u.Kind, u.Taken, u.Refused, u.MaxPerSecond, u.Limit,
		u.GapP99, u.MaxGap)
	fmt.Fprintf(out, "  real clients %v; all served after %.1f s; the run was %.0f ms late, over 100 ms at %g of its "+
		"looks\n", f.Clients, f.StartupSeconds, f.MaxDelayMS, f.LateSampleRatio)
	if p := f.Peak; p.Ratio > 0 {
		fmt.Fprintf(out, "  most words in a second after the return: %g times the mean, at the %s %d\n",
			p.Ratio, p.Role, p.Node)
	}
	for _, note := range f.Notes {
		fmt.Fprintf(out, "  %s\n", note)
	}
	for _, target := range f.Targets {
		writeScaleTarget(out, target)
	}
	return nil
}

func writeScaleTarget(out io.Writer, t scale.Target) {
	verdict := "holds"
	if !t.Met {
		verdict = "does not hold"
	}
	fmt.Fprintf(out, "  %s: %s: %g of %g (%g times)\n", verdict, t.Name, t.Value, t.Limit, t.Ratio)
}

// writeScaleGrowth prints how the cost of each role grows with the nodes, where enough sizes were played.
func writeScaleGrowth(out io.Writer, r *scale.Result) error {
	if len(r.Slopes) == 0 {
		return nil
	}
	table := newTable(out)
	fmt.Fprintln(table, "growth with the nodes\tper 1,000 nodes\t+-\texponent\t+-\tspread about the line\tverdict")
	for _, s := range r.Slopes {
		fmt.Fprintf(table, "  %s: %s\t%.4g\t%.2g\t%.2f\t%.2g\t%.2g\t%s\n", s.Role, s.Figure,
			1000*s.Slope, 1000*s.SlopeMargin, s.Exponent, s.ExponentMargin, s.ResidualDeviation, s.Verdict)
	}
	return table.Flush()
}
