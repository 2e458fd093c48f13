package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ruleInPackage identifies the findings of one rule in one package.
type ruleInPackage struct{ packagePath, rule string }

func (k ruleInPackage) compare(other ruleInPackage) int {
	return cmp.Or(cmp.Compare(k.packagePath, other.packagePath), cmp.Compare(k.rule, other.rule))
}

// baseline holds the maximum number of findings of each rule in each package.
type baseline map[ruleInPackage]int

// parseBaseline parses lines with a package, a rule and a count. It skips empty lines.
func parseBaseline(text string) (baseline, error) {
	allowed := baseline{}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		var entry ruleInPackage
		var count int
		if n, err := fmt.Sscanf(line, "%s %s %d", &entry.packagePath, &entry.rule, &count); n != 3 ||
			err != nil || count <= 0 {
			return nil, fmt.Errorf("%s, line %d: want a package, a rule and a count over 0, got %q",
				baselineFile, i+1, line)
		}
		if _, ok := allowed[entry]; ok {
			return nil, fmt.Errorf("%s, line %d: %s %s is listed twice",
				baselineFile, i+1, entry.packagePath, entry.rule)
		}
		allowed[entry] = count
	}
	return allowed, nil
}

func (b baseline) format() string {
	var text strings.Builder
	for _, k := range slices.SortedFunc(maps.Keys(b), ruleInPackage.compare) {
		fmt.Fprintf(&text, "%s %s %d\n", k.packagePath, k.rule, b[k])
	}
	return text.String()
}

// report is the difference between the findings and the baseline.
type report struct {
	excess    []string // for each exceeded count, one line for each finding and one line for the count
	reducible []string // one line for each count that could be lowered
	lowered   baseline // the baseline after lowering these counts
}

func compare(allowed baseline, findings []finding) report {
	found := map[ruleInPackage][]finding{}
	for _, f := range findings {
		found[f.key()] = append(found[f.key()], f)
	}
	result := report{lowered: baseline{}}
	for _, k := range slices.SortedFunc(maps.Keys(found), ruleInPackage.compare) {
		if len(found[k]) <= allowed[k] {
			continue
		}
		for _, f := range found[k] {
			result.excess = append(result.excess, f.String())
		}
		result.excess = append(result.excess,
			fmt.Sprintf("%s: %d findings of %s, %d allowed", k.packagePath, len(found[k]), k.rule, allowed[k]))
	}
	for _, k := range slices.SortedFunc(maps.Keys(allowed), ruleInPackage.compare) {
		count := min(allowed[k], len(found[k]))
		if count < allowed[k] {
			result.reducible = append(result.reducible,
				fmt.Sprintf("%s: %d findings of %s, %d allowed: lower the line",
					k.packagePath, count, k.rule, allowed[k]))
		}
		if count > 0 {
			result.lowered[k] = count
		}
	}
	return result
}
