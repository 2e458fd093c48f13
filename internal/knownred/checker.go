package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"
)

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action, Package, Test, Output, FailedBuild string
}

// checker reads the events of go test -json, writes the plain output of go test for each package that ends, and
// collects the problems that make the run fail.
type checker struct {
	list            []*knownFailure
	out             io.Writer
	packages        map[string]*packageRun
	problems        []string
	passed, failed  int // numbers of tests; failed excludes listed tests
	ignoredPackages int // number of packages in which only listed tests failed
}

func newChecker(list []*knownFailure, out io.Writer) *checker {
	return &checker{list: list, out: out, packages: map[string]*packageRun{}}
}

func (c *checker) addProblem(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// readEvents reads the output of go test to its end. If the output is truncated, finish reports the packages whose end
// is missing.
func (c *checker) readEvents(lines *bufio.Reader) {
	for {
		line, err := lines.ReadBytes('\n')
		c.handleLine(line)
		if err != nil {
			return
		}
	}
}

// handleLine processes one line of the output of go test. A line that is not an event is written unchanged.
func (c *checker) handleLine(line []byte) {
	var event testEvent
	if json.Unmarshal(line, &event) != nil {
		c.out.Write(line)
		return
	}
	if strings.HasPrefix(event.Action, "build-") {
		io.WriteString(c.out, event.Output)
		return
	}
	run := c.packages[event.Package]
	if run == nil {
		run = newPackageRun(event.Package)
		c.packages[event.Package] = run
	}
	c.handleEvent(run, &event)
}

func (c *checker) handleEvent(run *packageRun, event *testEvent) {
	test := run.test(event.Test)
	switch event.Action {
	case "output":
		test.output = append(test.output, event.Output)
		run.hasDataRace = run.hasDataRace || strings.Contains(event.Output, "WARNING: DATA RACE")
	case actionPass, actionFail, actionSkip:
		test.action = event.Action
		if event.Test == "" {
			c.finishPackage(run, event.FailedBuild != "")
			return
		}
		c.addOutcome(event)
	}
}

// addOutcome records the result of a test if the test is listed.
func (c *checker) addOutcome(event *testEvent) {
	for _, failure := range c.list {
		if failure.matchesPackage(event.Package) && failure.testName == event.Test {
			failure.outcomes = append(failure.outcomes, outcome{event.Package, event.Action})
		}
	}
}

// finishPackage checks the results of a package that has ended and writes its output.
func (c *checker) finishPackage(run *packageRun, buildFailed bool) {
	problemsBefore := len(c.problems)
	c.checkTests(run)
	if run.action == actionFail && (buildFailed || !run.hasFailedTest() || !run.isComplete()) {
		c.addProblem("%s failed by more than its tests", run.name)
	}
	if run.hasDataRace {
		c.addProblem("%s: a data race", run.name)
	}
	ignored := run.action == actionFail && len(c.problems) == problemsBefore
	if ignored {
		c.ignoredPackages++
	}
	run.write(c.out, ignored)
}

// checkTests counts the tests of a package and records unlisted failures and tests that did not end.
func (c *checker) checkTests(run *packageRun) {
	for _, name := range run.testNames {
		switch run.tests[name].action {
		case actionPass:
			c.passed++
		case actionFail:
			if !c.isKnownFailure(run, name) {
				c.failed++
				c.addProblem("%s.%s failed and is not listed", run.name, name)
			}
		case "":
			c.addProblem("%s.%s started but did not end", run.name, name)
		}
	}
}

// isKnownFailure reports whether a failure is to be ignored: the test or a parent of it is listed, or the test failed
// only because of subtests whose failures are ignored.
func (c *checker) isKnownFailure(run *packageRun, name string) bool {
	for _, failure := range c.list {
		if failure.matchesPackage(run.name) && failure.coversTest(name) {
			return true
		}
	}
	failedSubtests := 0
	for _, subtest := range run.testNames {
		if strings.HasPrefix(subtest, name+"/") && run.tests[subtest].action == actionFail {
			if failedSubtests++; !c.isKnownFailure(run, subtest) {
				return false
			}
		}
	}
	return failedSubtests > 0 && !run.tests[name].hasExtraOutput(name)
}

// problemsError holds the problems of a run. Its message has one line for each.
type problemsError []string

func (e problemsError) Error() string { return strings.Join(e, "\n") }

// finish checks the complete run and returns its problems as an error, or nil. testErr is the error of the go test
// process. Exit code 1 is accepted only if ignored packages or recorded problems explain it.
func (c *checker) finish(testErr error) error {
	var exitErr *exec.ExitError
	isUnexplained := c.ignoredPackages == 0 && len(c.problems) == 0
	if testErr != nil && (!errors.As(testErr, &exitErr) || exitErr.ExitCode() != 1 || isUnexplained) {
		c.addProblem("go test: %v", testErr)
	}
	if len(c.packages) == 0 {
		c.addProblem("no tests ran")
	}
	for name, run := range c.packages {
		if run.action == "" {
			c.addProblem("%s started but did not end", name)
		}
	}
	for _, failure := range c.list {
		c.checkListedTest(failure)
	}
	fmt.Fprintf(c.out, "%d passed, %d failed\n", c.passed, c.failed)
	if len(c.problems) > 0 {
		return problemsError(c.problems)
	}
	return nil
}

// checkListedTest records a problem unless the listed test ran once and failed.
func (c *checker) checkListedTest(failure *knownFailure) {
	switch outcomes := failure.outcomes; {
	case len(outcomes) == 0:
		c.addProblem("%s: %s is not there, or has not run: %s", listFile, failure.testName, failure.line)
	case len(outcomes) > 1:
		c.addProblem("%s: %s is there %d times, name its package: %s", listFile, failure.testName, len(outcomes),
			failure.line)
	case outcomes[0].action != actionFail:
		c.addProblem("%s: %s is listed and does not fail (%s): %s", listFile, failure.testName, outcomes[0].action,
			failure.line)
	default:
		fmt.Fprintf(c.out, "known red, failed and passed over: %s\n", failure.line)
	}
}
