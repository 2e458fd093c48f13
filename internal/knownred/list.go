package main

import (
	"fmt"
	"regexp"
	"strings"
)

// maxListedTests is the maximum number of tests that the list may contain.
const maxListedTests = 3

// knownFailure is a test that the list names as failing, and its outcomes in this run.
type knownFailure struct {
	line                  string
	packagePath, testName string // packagePath may be the end of a path, or "" for any package
	outcomes              []outcome
}

// outcome is the result of a listed test in one package.
type outcome struct{ packagePath, action string }

// ListError reports an invalid list.
type ListError struct {
	Line    int // starts at 1; 0 if the fault is not in a single line
	Problem string
}

func (e *ListError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", listFile, e.Problem)
	}
	return fmt.Sprintf("%s, line %d: %s", listFile, e.Line, e.Problem)
}

var (
	testPattern     = regexp.MustCompile(`^(?:(?:\./)?([^\s,]*?[^\s,./])[. ])?((?:Test|Fuzz|Example)[^\s/]*(?:/\S+)?)$`)
	commandPattern  = regexp.MustCompile(`^((?:go|bin/\S+) \S.*?)(?: \((?:seed \S+|(no seed))\))?$`)
	seedPattern     = regexp.MustCompile(`\(seed \S+\)$`)
	seedFlagPattern = regexp.MustCompile(` --?seeds?[ =]`)
	issuePattern    = regexp.MustCompile(`^(?:issue )?#?[0-9]+$`)
)

// fieldSeparator separates the fields of a line. Test names contain no blanks, so they cannot contain it. The field for
// the observed failure may contain it.
const fieldSeparator = ", "

// parseList parses the list. It skips empty lines and returns a *ListError if the list is invalid.
func parseList(text string) ([]*knownFailure, error) {
	var list []*knownFailure
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		failure, problem := parseLine(line)
		if problem != "" {
			return nil, &ListError{Line: i + 1, Problem: fmt.Sprintf("%s: %q", problem, line)}
		}
		for _, other := range list {
			if failure.coversTest(other.testName) || other.coversTest(failure.testName) {
				return nil, &ListError{Line: i + 1, Problem: failure.testName + " is listed twice"}
			}
		}
		list = append(list, failure)
	}
	if len(list) > maxListedTests {
		problem := fmt.Sprintf("%d tests are listed, %d are the most", len(list), maxListedTests)
		return nil, &ListError{Problem: problem}
	}
	return list, nil
}

// parseLine parses a line of the list. If the line is invalid, it returns a description of the missing part.
func parseLine(line string) (failure *knownFailure, problem string) {
	fields := strings.Split(line, fieldSeparator)
	testMatch := testPattern.FindStringSubmatch(fields[0])
	if testMatch == nil {
		return nil, "the name of a test is missing"
	}
	if len(fields) < 2 {
		return nil, "the command is missing"
	}
	if problem := commandProblem(fields[1]); problem != "" {
		return nil, problem
	}
	lastField := len(fields) - 1
	if !issuePattern.MatchString(fields[lastField]) {
		return nil, "the number of an issue is missing"
	}
	if strings.TrimSpace(strings.Join(fields[2:lastField], "")) == "" {
		return nil, "what was seen is missing"
	}
	return &knownFailure{line: line, packagePath: testMatch[1], testName: testMatch[2]}, ""
}

// commandProblem describes the missing part of the field with the command and its seed, or returns "" if it is valid.
func commandProblem(field string) string {
	commandMatch := commandPattern.FindStringSubmatch(field)
	switch {
	case commandMatch == nil:
		return "the command is missing"
	case seedPattern.MatchString(field):
		return ""
	case commandMatch[2] == "":
		return `the command's seed is missing, "(seed N)" or "(no seed)"`
	case seedFlagPattern.MatchString(commandMatch[1]):
		return `the command has a seed, which "(seed N)" must name`
	}
	return ""
}

// coversTest reports whether name is the listed test or one of its subtests.
func (f *knownFailure) coversTest(name string) bool {
	return name == f.testName || strings.HasPrefix(name, f.testName+"/")
}

// matchesPackage reports whether a package matches the listed package path, or the list gives no path.
func (f *knownFailure) matchesPackage(pkg string) bool {
	return f.packagePath == "" || pkg == f.packagePath || strings.HasSuffix(pkg, "/"+f.packagePath)
}
