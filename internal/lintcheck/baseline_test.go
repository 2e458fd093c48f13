package main

import (
	"strings"
	"testing"
)

// fakeFindings returns one finding for each text, which consists of a file name, a space and a rule.
func fakeFindings(filesAndRules ...string) []finding {
	var findings []finding
	for _, text := range filesAndRules {
		file, rule, _ := strings.Cut(text, " ")
		f := finding{RuleName: rule, Failure: "made up"}
		f.Position.Start.Filename = file
		findings = append(findings, f)
	}
	return findings
}

// Guards against findings over the allowed count that are not reported, and against counts that are raised.
func TestCompareFindingsWithBaseline(t *testing.T) {
	allowed, err := parseBaseline("a exported 2\n\na/b line-length-limit 1\nc exported 1\n")
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		findings          []finding
		excess, reducible int
		lowered           string
	}{
		"as many as allowed": {
			findings: fakeFindings("a/x.go exported", "a/y.go exported",
				"a/b/x.go line-length-limit", "c/x.go exported"),
			lowered: "a exported 2\na/b line-length-limit 1\nc exported 1\n",
		},
		"one more": {
			findings: fakeFindings("a/b/x.go line-length-limit", "a/b/y.go line-length-limit",
				"a/x.go exported", "a/x.go exported", "c/x.go exported"),
			excess:  3, // two lines for findings and one for the count
			lowered: "a exported 2\na/b line-length-limit 1\nc exported 1\n",
		},
		"another package": {
			findings:  fakeFindings("d/x.go exported"),
			excess:    2,
			reducible: 3,
		},
		"fewer": {
			findings:  fakeFindings("a/x.go exported", "c/x.go exported"),
			reducible: 2,
			lowered:   "a exported 1\nc exported 1\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			result := compare(allowed, test.findings)
			if len(result.excess) != test.excess || len(result.reducible) != test.reducible {
				t.Errorf("got excess %q and reducible %q", result.excess, result.reducible)
			}
			if got := result.lowered.format(); got != test.lowered {
				t.Errorf("got lowered baseline %q, want %q", got, test.lowered)
			}
		})
	}
}

// A line without a positive count, or a second line for the same package and rule, must be an error.
func TestParseBaselineRejectsInvalidLines(t *testing.T) {
	for _, text := range []string{
		"a exported", "a exported x", "a exported 0", "a exported -1", "a exported 1\na exported 2",
	} {
		if _, err := parseBaseline(text); err == nil || !strings.Contains(err.Error(), "line") {
			t.Errorf("parseBaseline(%q): got error %v, want one that names the line", text, err)
		}
	}
}
