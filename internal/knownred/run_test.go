package main

import (
	"bytes"
	"errors"
	"maps"
	"os"
	"strings"
	"testing"
)

// runCase is a run of knownred on a module with a list.
type runCase struct {
	name, list string
	files      map[string]string
	wantError  string // part of the error; "" if the run passes
}

// check runs go test through knownred in the module and checks the error.
func (c *runCase) check(t *testing.T) {
	t.Helper()
	files := map[string]string{listFile: c.list}
	maps.Copy(files, c.files)
	writeModule(t, files)
	var output, errorOutput bytes.Buffer
	err := run([]string{"go", "test", "-vet=off", "./..."}, &output, &errorOutput)
	if (err == nil) != (c.wantError == "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
		t.Errorf("got error %v, want %q\n%s%s", err, c.wantError, &output, &errorOutput)
	}
}

// Guards against runs that pass although they have a failure that is not listed, and against listed failures that make
// a run fail. Each failing case has a single fault.
func TestRunIgnoresOnlyListedFailures(t *testing.T) {
	for _, cases := range [][]runCase{
		listedCases(), buildCases(), processExitCases(), subtestCases(), listFaultCases(),
	} {
		for _, c := range cases {
			t.Run(c.name, c.check)
		}
	}
}

// An invalid list in the module would make each run of the checks fail.
func TestModuleListIsValid(t *testing.T) {
	text, err := os.ReadFile("../../" + listFile)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if _, err := parseList(string(text)); err != nil {
		t.Error(err)
	}
}

// singleFile returns a map with one file of a module.
func singleFile(path, text string) map[string]string { return map[string]string{path: text} }

// singleTest returns a test file of the package a with one test.
func singleTest(name, body string) string {
	return "package a\n\nimport \"testing\"\n\nfunc " + name + "(t *testing.T) { " + body + " }\n"
}

// listedCases are runs with failures in listed and in other tests.
func listedCases() []runCase {
	otherFailure := singleTest("TestOther", `t.Error("another")`)
	sameName := strings.Replace(passingTests, "package a", "package b", 1) +
		"\nfunc TestRed(t *testing.T) { t.Error(\"the same name\") }\n"
	skipped := strings.Replace(passingTests, "{}", "{ t.Skip() }", 1) +
		"\nfunc TestSkipped(t *testing.T) { t.Skip() }\n"
	return []runCase{
		{"listed", listedTestRed, nil, ""},
		{"listed without a package", listTests("TestRed"), nil, ""},
		{"listed with the end of the package path", listTests("a TestRed"), nil, ""},
		{"unlisted failure in the same package", listedTestRed, singleFile("a/more_test.go", otherFailure),
			"made/a.TestOther failed and is not listed"},
		{"unlisted failure in another package", listedTestRed, singleFile("b/b_test.go", sameName),
			"made/b.TestRed failed and is not listed"},
		{"name without a package exists twice", listTests("TestRed"), singleFile("b/b_test.go", sameName), "2 times"},
		{"listed test passes", listedTestRed,
			singleFile("a/a_test.go", strings.Replace(passingTests, "TestGood", "TestRed", 1)), "does not fail (pass)"},
		{"listed test is skipped", listTests("made/a.TestSkipped"), singleFile("a/a_test.go", skipped),
			"does not fail (skip)"},
		{"listed test is missing", listTests("made/a.TestRed", "made/a.TestGone"), nil,
			"made/a.TestGone" + listedLineEnd},
		{"listed test is in another package", listTests("made/b.TestRed"), nil, "TestRed is not there"},
		{"no test fails", listTests("made/a.TestGone"), singleFile("a/a_test.go", passingTests),
			"TestGone is not there"},
	}
}

// buildCases are runs in which a package has no test process that starts.
func buildCases() []runCase {
	uncompilable := map[string]string{"b/b.go": "package b\n\nvar b int = \"b\"\n", "b/b_test.go": "package b\n"}
	failingStart := "package b\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nfunc TestMain(*testing.M) { os.Exit(1) }\n"
	return []runCase{
		{"another package does not compile", listedTestRed, uncompilable, "made/b failed by more than its tests"},
		{"another package does not start", listedTestRed, singleFile("b/main_test.go", failingStart),
			"made/b failed by more than its tests"},
	}
}

// processExitCases are test processes that exit before their tests end, or fail after them.
func processExitCases() []runCase {
	const want = "made/a failed by more than its tests"
	exitingTest := func(statement string) map[string]string {
		return singleFile("a/a_test.go", "package a\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n"+
			"func TestRed(t *testing.T) { "+statement+" }\n\nfunc TestAfter(t *testing.T) {}\n")
	}
	failingTestMain := "package a\n\nimport (\n\t\"fmt\"\n\t\"os\"\n\t\"testing\"\n)\n\n" +
		"func TestMain(m *testing.M) { m.Run(); fmt.Println(\"a leak\"); os.Exit(1) }\n"
	return []runCase{
		{"listed test panics", listedTestRed, exitingTest("panic(1)"), want},
		{"listed test exits the process", listedTestRed, exitingTest("os.Exit(1)"), want},
		{"unlisted test panics", listedTestRed,
			singleFile("a/late_test.go", singleTest("TestZ", "go panic(1); select {}")), want},
		{"failure after the tests", listedTestRed, singleFile("a/main_test.go", failingTestMain), want},
	}
}

// subtestCases are runs of a test with two failing subtests.
func subtestCases() []runCase {
	failingSubtests := listTests("made/a.TestParts/one,_two", "made/a.TestParts/three")
	allSubtests := listTests("made/a.TestParts/one,_two", "made/a.TestParts/three", "made/a.TestParts/good")
	subtestFailures, parentFailure := singleFile("a/a_test.go", testWithSubtests("")),
		singleFile("a/a_test.go", testWithSubtests("\tt.Error(\"more\")\n"))
	return []runCase{
		{"parent of failing subtests", listTests("made/a.TestParts"), subtestFailures, ""},
		{"each failing subtest", failingSubtests, subtestFailures, ""},
		{"one of two failing subtests", listTests("made/a.TestParts/one,_two"), subtestFailures,
			"made/a.TestParts/three failed"},
		{"each failing subtest, but the parent fails too", failingSubtests, parentFailure, "made/a.TestParts failed"},
		{"passing subtest", allSubtests, subtestFailures, "does not fail (pass)"},
	}
}

// listFaultCases are runs with an invalid list.
func listFaultCases() []runCase {
	const test, command = "made/a.TestRed", "made/a.TestRed, go test ./a (seed 1)"
	return []runCase{
		{"test name in lower case", listTests("made/a.testRed"), nil, "line 1: the name of a test is missing"},
		{"test name only", test + "\n", nil, "line 1: the command is missing"},
		{"no command", test + ", the cause, 42\n", nil, "line 1: the command is missing"},
		{"no seed", test + ", go test ./a, the cause, 42\n", nil, "line 1: the command's seed is missing"},
		{"empty seed", test + ", go test ./a (seed ), the cause, 42\n", nil, "line 1: the command's seed"},
		{"no seed although the command has one", test + ", go test ./a -seed 3 (no seed), the cause, 42\n", nil,
			"line 1: the command has a seed"},
		{"no observed failure", command + ", 42\n", nil, "line 1: what was seen is missing"},
		{"no issue", command + ", the cause\n", nil, "line 1: the number of an issue is missing"},
		{"issue without a number", "\n" + command + ", the cause, soon\n", nil,
			"line 2: the number of an issue is missing"},
		{"test listed twice", listedTestRed + listedTestRed, nil, "listed twice"},
		{"test and subtest listed", listedTestRed + listTests("TestRed/x"), nil, "listed twice"},
		{"four tests", listTests("TestRed", "TestB", "TestC", "TestD"), nil, "4 tests are listed, 3 are the most"},
	}
}
