package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"brassmux/lab/scaling"
)

// TableNames are the names of the tables of the capacity page, in order.
var TableNames = []string{"assumptions", "slopes", "roles", "events", "after", "lacks"}

// Fill inserts tables into a page, each between its markers.
func Fill(page string, tables map[string]string) (string, error) {
	for _, name := range TableNames {
		begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
		from, to := strings.Index(page, begin), strings.Index(page, end)
		if from < 0 || to < from {
			return "", fmt.Errorf("page has no place for table %s between the markers %q and %q",
				name, strings.TrimSpace(begin), end)
		}
		page = page[:from+len(begin)] + "\n" + tables[name] + "\n" + page[to:]
	}
	return page, nil
}

// Tables returns the tables of the capacity page by name. after holds the measurements of a later version of the
// program.
func Tables(before, after *Results) (map[string]string, error) {
	figures, err := Extrapolate(before)
	if err != nil {
		return nil, err
	}
	tables := map[string]string{"after": ComparisonTable(before, after)}
	var table strings.Builder
	writeRow := func(cells ...string) { table.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	finishTable := func(name string) { tables[name] = table.String(); table.Reset() }

	writeRow("what", "value", "from")
	writeRow("---", "---", "---")
	for _, a := range Assumptions() {
		writeRow(a.Name, strings.TrimSpace(formatNumber(a.Value)+" "+a.Unit), a.Source)
	}
	finishTable("assumptions")

	writeRow("slope", "what", "measured (median)", "line: slope ± 95%",
		"intercept", "spread", "exponent ± 95%", "form")
	writeRow("---", "---", "---", "---", "---", "---", "---", "---")
	for _, m := range before.Measurements {
		var medians []string
		for _, size := range m.Sizes() {
			medians = append(medians, formatNumber(size)+": "+formatNumber(m.Median(size)))
		}
		sizes := m.Sizes()
		largest := sizes[len(sizes)-1]
		formatTerm := func(value, size float64) string { // writes "0" for a term that is a rounding error
			if math.Abs(value*size) < 1e-9*m.Median(largest) {
				return "0"
			}
			return formatNumber(value)
		}
		writeRow("`"+m.Name+"`", m.Description+", "+cmp.Or(m.Unit, "number")+" by "+m.SizeOf,
			strings.Join(medians, "; "),
			formatTerm(m.Fit.Slope, largest)+" ± "+formatTerm(m.Fit.SlopeMargin, largest),
			formatTerm(m.Fit.Intercept, 1), percent(m.Fit.ResidualDeviation),
			fmt.Sprintf("%.2f ± %.2f", m.Fit.Exponent, m.Fit.ExponentMargin), string(m.Fit.Verdict))
	}
	finishTable("slopes")

	for name, include := range map[string]func(Figure) bool{
		"roles":  func(f Figure) bool { return strings.Contains(f.Role, "ordinary day") },
		"events": func(f Figure) bool { return !strings.Contains(f.Role, "ordinary day") },
	} {
		header := []string{
			"where", "what", "measured", "calculated (interval)", "from", "limit", "factor", "carried by"}
		if name == "roles" {
			header = append(header, "changed by control machines (design)")
		}
		writeRow(header...)
		writeRow(slices.Repeat([]string{"---"}, len(header))...)
		for _, f := range figures {
			if !include(f) {
				continue
			}
			measured, calculated := "", formatWithUnit(f.value, f.Unit)
			if f.low != f.high {
				calculated += " (" + formatWithUnit(f.low, f.Unit) + " to " + formatWithUnit(f.high, f.Unit) + ")"
			}
			if f.measured {
				measured, calculated = calculated, ""
			}
			limit, factor := "", ""
			if f.Limit > 0 {
				limit, factor = formatWithUnit(f.Limit, f.Unit), factorText(f.LimitRatio())
			}
			source := "assumptions alone"
			if len(f.measurements) > 0 {
				source = "`" + strings.Join(f.measurements, "`, `") + "`"
			}
			if f.growth == scaling.Superlinear {
				source += " (faster than a line)"
			}
			cells := []string{f.Role, f.Name, measured, calculated, source, limit, factor, f.Mechanism}
			if name == "roles" {
				cells = append(cells, cmp.Or(f.ControlNodeEffect, "no"))
			}
			writeRow(cells...)
		}
		finishTable(name)
	}

	writeRow("lack", "where", "what", "carried by today")
	writeRow("---", "---", "---", "---")
	shortfalls := slices.DeleteFunc(slices.Clone(figures), func(f Figure) bool { return f.LimitRatio() <= 1 })
	slices.SortStableFunc(shortfalls, func(x, y Figure) int { return cmp.Compare(y.LimitRatio(), x.LimitRatio()) })
	for _, f := range shortfalls {
		writeRow(fmt.Sprintf("%s times", formatNumber(f.LimitRatio())), f.Role, f.Name, f.Mechanism)
	}
	finishTable("lacks")
	return tables, nil
}

// ComparisonTable returns a table that compares the measurements of two versions of the program: the medians of both
// by size, and the ratio of the later to the earlier one at the largest size that both have.
func ComparisonTable(before, after *Results) string {
	var table strings.Builder
	fmt.Fprintln(&table, "| slope | what | before | after | at the greatest size |\n| --- | --- | --- | --- | --- |")
	for _, m := range after.Measurements {
		formatMedians := func(m *Measurement) string {
			if m == nil {
				return "not measured"
			}
			var medians []string
			for _, size := range m.Sizes() {
				medians = append(medians, formatNumber(size)+": "+formatNumber(m.Median(size)))
			}
			return strings.Join(medians, "; ") + " (" + string(m.Fit.Verdict) + ")"
		}
		earlier, ratio := before.Measurement(m.Name), ""
		if earlier != nil {
			for _, size := range m.Sizes() {
				if slices.Contains(earlier.Sizes(), size) && earlier.Median(size) > 0 {
					ratio = "times " + formatNumber(m.Median(size)/earlier.Median(size))
				}
			}
		}
		fmt.Fprintf(&table, "| `%s` | %s, %s by %s | %s | %s | %s |\n", m.Name, m.Description,
			cmp.Or(m.Unit, "number"), m.SizeOf, formatMedians(earlier), formatMedians(m), ratio)
	}
	return table.String()
}
