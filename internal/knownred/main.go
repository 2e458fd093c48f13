// Knownred runs go test and ignores the failures of the tests in a list of known failures, but no others. It prints the
// ignored failures:
//
//	go run ./internal/knownred go test -race ./...
//
// The list is KNOWN-RED.txt in the working directory. Each line has four fields, separated by ", ": a test, the command
// that reproduces its failure with the command's seed, the observed failure, and an issue:
//
//	node.TestNoAnswerIsLost, go test ./node -run TestNoAnswerIsLost (seed 7), one answer is lost, issue 42
//
// A command that uses no random numbers has "(no seed)". The package of the test is optional and may be a path relative
// to the module's root. A listed test includes its subtests; a subtest is listed under the name that go test prints.
// The list has at most three lines.
//
// The exit code is 0 if every listed test fails and all other tests pass. It is 1 for an unlisted failure, a data race,
// a build failure, a test process that exits before its tests end, an invalid list, and a listed test that passes, is
// skipped, is missing or exists in more than one package.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

var errUsage = errors.New("usage: knownred go test ARGUMENTS")

// run executes a go test command and returns an error if it has problems other than listed failures.
func run(args []string, stdout, stderr io.Writer) error {
	if len(args) < 2 || args[0] != "go" || args[1] != "test" {
		return errUsage
	}
	text, err := os.ReadFile(listFile)
	if err != nil {
		return err
	}
	list, err := parseList(string(text))
	if err != nil {
		return err
	}
	cmd := exec.Command(args[0], slices.Insert(slices.Clone(args[1:]), 1, "-json")...)
	cmd.Stderr = stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c := newChecker(list, stdout)
	c.readEvents(bufio.NewReader(events))
	return c.finish(cmd.Wait())
}
