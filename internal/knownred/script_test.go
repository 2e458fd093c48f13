package main

import (
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// scriptCase is a run of the script .ci/run on a module.
type scriptCase struct {
	name            string
	files           map[string]string
	wantPass        bool
	contains, omits []string // texts that the output must have and must not have
}

const racingTest = `package a

import "testing"

func TestRed(t *testing.T) {
	n, done := 0, make(chan bool)
	go func() { n++; close(done) }()
	n++
	<-done
	t.Error(n)
}
`

const vetFault = "package b\n\nimport \"fmt\"\n\nfunc F() { fmt.Printf(\"%d\", \"b\") }\n"

// successOutput holds the texts that only a passing run prints.
var successOutput = []string{"\nbuilt it", "all checks"}

var scriptCases = []scriptCase{
	{"none listed", map[string]string{"a/a_test.go": passingTests}, true,
		[]string{testCommand, "ok  \tmade/a", "\nbuilt it\nall checks passed\n"}, []string{"passed,"}},
	{"none listed and a failure", nil, false,
		[]string{testCommand, "--- FAIL: TestRed", "FAIL\tmade/a"}, successOutput},
	{"an empty list and a failure", map[string]string{listFile: "\n \n"}, false,
		[]string{testCommand, "--- FAIL: TestRed"}, successOutput},
	{"a listed failure", map[string]string{listFile: listedTestRed}, true,
		[]string{"\nknown red | --- FAIL: TestRed", "\nok  \tmade/b", "passed over: " + listedTestRed,
			"\n2 passed, 0 failed\nbuilt it\nall checks passed\n"},
		[]string{"\nFAIL", "\n--- FAIL"}},
	{"an unformatted file", map[string]string{listFile: listedTestRed, "b/b.go": "package   b\n"}, false,
		nil, append([]string{"known red"}, successOutput...)},
	{"a finding of vet", map[string]string{listFile: listedTestRed, "b/b.go": vetFault}, false,
		[]string{"Printf format %d"}, successOutput},
	{"a race in the listed test", map[string]string{listFile: listedTestRed, "a/a_test.go": racingTest}, false,
		[]string{"made/a: a data race"}, successOutput},
}

// Runs .ci/run as CI does, on small modules. Guards against a script that passes despite an unlisted failure, a data
// race or a finding of gofmt or vet, or fails because of a listed test.
func TestScriptIgnoresOnlyListedFailures(t *testing.T) {
	files := scriptFiles(t)
	for _, c := range scriptCases {
		t.Run(c.name, func(t *testing.T) {
			moduleFiles := maps.Clone(files)
			maps.Copy(moduleFiles, c.files)
			writeModule(t, moduleFiles)
			c.check(t)
		})
	}
}

// scriptFiles returns the script, the sources of knownred and a package that passes, by path.
func scriptFiles(t *testing.T) map[string]string {
	t.Helper()
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{
		".ci/run":     string(script),
		"b/b_test.go": strings.Replace(passingTests, "package a", "package b", 1),
	}
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files["internal/knownred/"+name] = string(text)
	}
	return files
}

// check runs the script in the working directory.
func (c *scriptCase) check(t *testing.T) {
	t.Helper()
	output, err := exec.Command("./.ci/run").CombinedOutput()
	if (err == nil) != c.wantPass {
		t.Errorf("got the wrong exit status of the script: %v", err)
	}
	for _, want := range c.contains {
		if !strings.Contains(string(output), want) {
			t.Errorf("the output does not contain %q", want)
		}
	}
	for _, unwanted := range c.omits {
		if strings.Contains(string(output), unwanted) {
			t.Errorf("the output must not contain %q", unwanted)
		}
	}
	if t.Failed() {
		t.Logf("%s", output)
	}
}

// Guards against a README whose test command has another form than .ci/run can split.
func TestReadmeTestCommandHasScriptForm(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, arguments, _ := strings.Cut(string(text), "go test -race")
	if !strings.HasPrefix(arguments, " ./... && ") || strings.Contains(arguments, "go test -race") {
		t.Error("the README does not have exactly one command with \"go test -race ./... && \"")
	}
}
