package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// linesMost is how many tests may be listed.
const linesMost = 3

// red is a listed test.
type red struct {
	line      string
	pkg, name string // pkg may be a path's end, or ""
	met       []met
}

// met is a listed test where it came to an end.
type met struct{ pkg, action string }

var (
	testForm  = regexp.MustCompile(`^(?:(?:\./)?([^\s,]*?[^\s,./])[. ])?((?:Test|Fuzz|Example)[^\s/]*(?:/\S+)?)$`)
	issueForm = regexp.MustCompile(`^(?:issue )?#?[0-9]+$`)
)

// parse reads a list. Lines without a text are passed over.
func parse(text string) (list []*red, err error) {
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		fields := strings.Split(line, ", ") // go test's names have no blanks
		test := testForm.FindStringSubmatch(fields[0])
		if len(fields) < 3 || test == nil || strings.TrimSpace(strings.Join(fields[1:len(fields)-1], "")) == "" || !issueForm.MatchString(fields[len(fields)-1]) {
			return nil, fmt.Errorf("%s, line %d: %q is not a test, a cause and an issue's number, with \", \" between them", listName, i+1, line)
		}
		r := &red{line: line, pkg: test[1], name: test[2]}
		for _, other := range list {
			if r.covers(other.name) || other.covers(r.name) {
				return nil, fmt.Errorf("%s, line %d: %s is listed twice", listName, i+1, r.name)
			}
		}
		list = append(list, r)
	}
	if len(list) > linesMost {
		return nil, fmt.Errorf("%s: %d tests are listed, %d are the most", listName, len(list), linesMost)
	}
	return list, nil
}

// covers tells whether it is a test of that name, or one that the test is a part of.
func (r *red) covers(name string) bool { return name == r.name || strings.HasPrefix(name, r.name+"/") }

// in tells whether a package is the one that is meant, as far as the list says.
func (r *red) in(pkg string) bool {
	return r.pkg == "" || pkg == r.pkg || strings.HasSuffix(pkg, "/"+r.pkg)
}

// event is a line of go test -json.
type event struct {
	Action, Package, Test, Output, FailedBuild string
}

// test is what is known of a test, or of a package by itself.
type test struct {
	action string   // its end; "" while there was none
	output []string // lines
}

type pack struct {
	test
	names []string // of its tests, as they began
	tests map[string]*test
	raced bool
}

// judge reads what go test -json writes and writes on what go test would, as each package ends.
type judge struct {
	list           []*red
	out            io.Writer
	packs          map[string]*pack
	problems       []string
	passed, failed int
	over           int // packages that fail by listed tests alone
}

func newJudge(list []*red, out io.Writer) *judge {
	return &judge{list: list, out: out, packs: map[string]*pack{}}
}

func (j *judge) problem(format string, args ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, args...))
}

// line reads one. What is no event is written on as it is.
func (j *judge) line(line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		j.out.Write(line)
		return
	}
	if strings.HasPrefix(e.Action, "build-") {
		io.WriteString(j.out, e.Output)
		return
	}
	p := j.packs[e.Package]
	if p == nil {
		p = &pack{tests: map[string]*test{}}
		j.packs[e.Package] = p
	}
	t := &p.test
	if e.Test != "" {
		if t = p.tests[e.Test]; t == nil {
			t = &test{}
			p.tests[e.Test], p.names = t, append(p.names, e.Test)
		}
	}
	switch e.Action {
	case "output":
		t.output = append(t.output, e.Output)
		p.raced = p.raced || strings.Contains(e.Output, "WARNING: DATA RACE")
	case "pass", "fail", "skip":
		if t.action = e.Action; e.Test == "" {
			j.ended(e.Package, p, e.FailedBuild != "")
			return
		}
		for _, r := range j.list {
			if r.in(e.Package) && r.name == e.Test {
				r.met = append(r.met, met{e.Package, e.Action})
			}
		}
	}
}

// ended judges a package that has come to its end, and writes what it wrote.
func (j *judge) ended(name string, p *pack, unbuilt bool) {
	bad := len(j.problems)
	for _, of := range p.names {
		switch t := p.tests[of]; {
		case t.action == "pass":
			j.passed++
		case t.action == "fail" && j.listed(name, p, of):
		case t.action == "fail":
			j.failed++
			j.problem("%s.%s failed and is not listed", name, of)
		case t.action == "":
			j.problem("%s.%s has begun and not ended", name, of)
		}
	}
	red := slices.ContainsFunc(p.names, func(of string) bool { return p.tests[of].action == "fail" })
	// A process that came to its end says so, and nothing more; a panic or an exit in a test leaves it out, and who knows what did not run.
	whole := len(p.output) >= 2 && p.output[len(p.output)-2] == "FAIL\n" && strings.HasPrefix(p.output[len(p.output)-1], "FAIL\t"+name+"\t")
	if p.action == "fail" && (!red || unbuilt || !whole) {
		j.problem("%s failed by more than its tests", name)
	}
	if p.raced {
		j.problem("%s: a data race", name)
	}
	over := p.action == "fail" && len(j.problems) == bad
	for _, of := range p.names {
		if t := p.tests[of]; t.action == "fail" || t.action == "" {
			for _, line := range t.output {
				if over {
					line = "known red | " + line
				}
				io.WriteString(j.out, line)
			}
		}
	}
	if over {
		j.over++
		fmt.Fprintf(j.out, "known red only\t%s\n", name)
		return
	}
	for _, line := range p.output {
		if line != "PASS\n" {
			io.WriteString(j.out, line)
		}
	}
}

// listed tells whether a failure is passed over: the test or one that it is a part of is listed, or it has parts, says nothing
// itself, and all of them that fail are passed over.
func (j *judge) listed(pkg string, p *pack, name string) bool {
	if slices.ContainsFunc(j.list, func(r *red) bool { return r.in(pkg) && r.covers(name) }) {
		return true
	}
	parts := 0
	for _, part := range p.names {
		if strings.HasPrefix(part, name+"/") && p.tests[part].action == "fail" {
			if parts++; !j.listed(pkg, p, part) {
				return false
			}
		}
	}
	return parts > 0 && !slices.ContainsFunc(p.tests[name].output, func(line string) bool {
		line = strings.TrimLeft(line, " ")
		return !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- FAIL: "+name+" ")
	})
}

// verdict tells what stands against a pass, once go test has ended with err.
func (j *judge) verdict(err error) []string {
	var exit *exec.ExitError
	switch {
	case err == nil:
	case !errors.As(err, &exit) || exit.ExitCode() != 1 || j.over == 0 && len(j.problems) == 0:
		j.problem("go test: %v", err)
	}
	if len(j.packs) == 0 {
		j.problem("no test has run")
	}
	for name, p := range j.packs {
		if p.action == "" {
			j.problem("%s has begun and not ended", name)
		}
	}
	for _, r := range j.list {
		switch {
		case len(r.met) == 0:
			j.problem("%s: %s is not there, or has not run: %s", listName, r.name, r.line)
		case len(r.met) > 1:
			j.problem("%s: %s is there %d times, name its package: %s", listName, r.name, len(r.met), r.line)
		case r.met[0].action != "fail":
			j.problem("%s: %s is listed and does not fail (%s): %s", listName, r.name, r.met[0].action, r.line)
		default:
			fmt.Fprintf(j.out, "known red, failed and passed over: %s\n", r.line)
		}
	}
	fmt.Fprintf(j.out, "%d passed, %d failed\n", j.passed, j.failed)
	return j.problems
}
