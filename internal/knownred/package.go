package main

import (
	"fmt"
	"io"
	"strings"
)

// Results of a test or a package, as go test -json names them.
const (
	actionPass = "pass"
	actionFail = "fail"
	actionSkip = "skip"
)

// testRun holds the result and the output of a test, or of a package outside its tests.
type testRun struct {
	action string   // the result; "" until the test ends
	output []string // lines
}

// hasExtraOutput reports whether a failed test has output other than the status lines that go test adds.
func (t *testRun) hasExtraOutput(name string) bool {
	for _, line := range t.output {
		line = strings.TrimLeft(line, " ")
		if !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- FAIL: "+name+" ") {
			return true
		}
	}
	return false
}

// packageRun holds the results and outputs of a package and its tests.
type packageRun struct {
	testRun
	name        string
	testNames   []string // in the order in which the tests started
	tests       map[string]*testRun
	hasDataRace bool
}

func newPackageRun(name string) *packageRun {
	return &packageRun{name: name, tests: map[string]*testRun{}}
}

// test returns the run of the named test, which it adds if necessary, or the run of the package if name is empty.
func (p *packageRun) test(name string) *testRun {
	if name == "" {
		return &p.testRun
	}
	test := p.tests[name]
	if test == nil {
		test = &testRun{}
		p.tests[name] = test
		p.testNames = append(p.testNames, name)
	}
	return test
}

func (p *packageRun) hasFailedTest() bool {
	for _, test := range p.tests {
		if test.action == actionFail {
			return true
		}
	}
	return false
}

// isComplete reports whether the test process of a failed package ran all its tests. Its output then ends with the line
// "FAIL" and a line with "FAIL", the package and the duration. After a panic or an exit in a test these lines are
// missing, and other tests may not have run.
func (p *packageRun) isComplete() bool {
	lineCount := len(p.output)
	return lineCount >= 2 && p.output[lineCount-2] == "FAIL\n" &&
		strings.HasPrefix(p.output[lineCount-1], "FAIL\t"+p.name+"\t")
}

// write writes the output of tests that failed or did not end, and the output of the package unless its failure is
// ignored.
func (p *packageRun) write(out io.Writer, ignored bool) {
	prefix := ""
	if ignored {
		prefix = "known red | "
	}
	for _, name := range p.testNames {
		if test := p.tests[name]; test.action == actionFail || test.action == "" {
			for _, line := range test.output {
				io.WriteString(out, prefix+line)
			}
		}
	}
	if ignored {
		fmt.Fprintf(out, "known red only\t%s\n", p.name)
		return
	}
	for _, line := range p.output {
		if line != "PASS\n" {
			io.WriteString(out, line)
		}
	}
}
