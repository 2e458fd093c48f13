// Lintcheck runs revive on all packages of the module and compares the findings with lint-baseline.txt, the list of
// packages that do not pass yet:
//
//	go run ./internal/lintcheck
//	go run ./internal/lintcheck -update
//
// Each line of the list has a package, a rule and the maximum number of findings of that rule in the package. The check
// fails if a package has more findings than its line allows, or findings without a line. It also prints the lines whose
// number could be lowered. With -update it lowers these numbers in the file, but never raises one.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
)

const (
	baselineFile = "lint-baseline.txt"
	configFile   = "revive.toml"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("lintcheck", flag.ContinueOnError)
	flags.SetOutput(stderr)
	update := flags.Bool("update", false, "lower the lines of "+baselineFile+" to today's findings")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if err := check(*update, stdout); err != nil {
		fmt.Fprintln(stderr, "lintcheck:", err)
		return 1
	}
	return 0
}

func check(update bool, stdout io.Writer) error {
	text, err := os.ReadFile(baselineFile)
	if err != nil {
		return err
	}
	allowed, err := parseBaseline(string(text))
	if err != nil {
		return err
	}
	findings, err := runRevive()
	if err != nil {
		return err
	}
	report := compare(allowed, findings)
	for _, line := range report.excess {
		fmt.Fprintln(stdout, line)
	}
	if update {
		if err := os.WriteFile(baselineFile, []byte(report.lowered.format()), 0o644); err != nil {
			return err
		}
	} else {
		for _, line := range report.reducible {
			fmt.Fprintln(stdout, line)
		}
	}
	if len(report.excess) > 0 {
		return errors.New("there are more findings than " + baselineFile + " allows")
	}
	return nil
}

// finding is one finding of revive, reduced to the fields that are needed here.
type finding struct {
	RuleName string
	Failure  string
	Position struct {
		Start struct {
			Filename string
			Line     int
		}
	}
}

func (f finding) key() ruleInPackage {
	return ruleInPackage{packagePath: path.Dir(f.Position.Start.Filename), rule: f.RuleName}
}

func (f finding) String() string {
	start := f.Position.Start
	return fmt.Sprintf("%s:%d: %s (%s)", start.Filename, start.Line, f.Failure, f.RuleName)
}

func runRevive() ([]finding, error) {
	cmd := exec.Command("go", "tool", "revive", "-config", configFile, "-formatter", "json", "./...")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	output, err := cmd.Output() // revive exits with an error if it has findings
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		return nil, err
	}
	var findings []finding
	if err := json.Unmarshal(output, &findings); err != nil {
		return nil, fmt.Errorf("revive: %w: %s%s", err, output, stderr.Bytes())
	}
	return findings, nil
}
