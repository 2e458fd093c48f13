// Knownred runs go test and passes over the failures of just those tests that a file lists, which it prints:
//
//	go run ./internal/knownred go test -race ./...
//
// The file is KNOWN-RED.txt, in the folder where it runs. Each line is a test, a cause and an issue, with ", " between them, as in
//
//	brassmux/node.TestNothingIsLost, the answer of a closed watch is lost, issue 42
//
// The test's package may be left out, or be written from the module's root on; the issue is a number. A listed test stands for its
// subtests too; a subtest is listed as go test names it. Three lines at most. Exit code 0 where all else passes and each listed test fails.
// All else is 1: a failure that is not listed, a data race, a build that fails, a process that did not come to its end (so that tests
// may not have run), a listed test that passes, was skipped, is not there or is there twice, and a faulty list.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
)

const listName = "KNOWN-RED.txt"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) < 2 || args[0] != "go" || args[1] != "test" {
		fmt.Fprintln(stderr, "usage: knownred go test ARGUMENT...")
		return 1
	}
	text, err := os.ReadFile(listName)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	list, err := parse(string(text))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	cmd := exec.Command(args[0], slices.Insert(slices.Clone(args[1:]), 1, "-json")...)
	cmd.Stderr = stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	j := newJudge(list, stdout)
	lines := bufio.NewReader(out)
	for {
		line, err := lines.ReadBytes('\n')
		j.line(line)
		if err != nil { // the end; what go test is missed for is seen by its exit code
			break
		}
	}
	if problems := j.verdict(cmd.Wait()); len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(stderr, p)
		}
		return 1
	}
	return 0
}
