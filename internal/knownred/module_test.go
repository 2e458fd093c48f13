package main

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeModule writes a small module to a temporary directory and makes it the working directory. extraFiles maps paths
// to texts and overrides the default files.
func writeModule(t *testing.T, extraFiles map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	environment := map[string]string{"GOFLAGS": "", "GOWORK": "off", "GOPROXY": "off", "GOTOOLCHAIN": "local"}
	for key, value := range environment {
		t.Setenv(key, value)
	}
	files := map[string]string{
		"go.mod":      "module made\n\ngo 1.26\n",
		"README.md":   "# made\n\n    test -z \"$(gofmt -l .)\" && " + testCommand,
		"a/a_test.go": failingTests,
	}
	maps.Copy(files, extraFiles)
	for path, text := range files {
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// testCommand is the part of the module's test command that follows the gofmt check.
const testCommand = "go vet ./... && go test -race ./... && echo built it\n"

// failingTests is the default test file of the package a: one test passes, one fails and one is skipped.
const failingTests = `package a

import "testing"

func TestGood(t *testing.T) {}

func TestRed(t *testing.T) { t.Error("one fault") }

func TestSkipped(t *testing.T) { t.Skip("not here") }
`

// passingTests is a test file of the package a without a failing test.
const passingTests = "package a\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n"

// testWithSubtests returns a test file of the package a. Two subtests of its test fail, and the test itself also runs
// statement.
func testWithSubtests(statement string) string {
	return `package a

import "testing"

func TestParts(t *testing.T) {
	t.Run("one, two", func(t *testing.T) { t.Error("one fault") })
	t.Run("three", func(t *testing.T) { t.Error("another") })
	t.Run("good", func(t *testing.T) {})
` + statement + `}
`
}

// listedTestRed is a list with the failing test of the package a.
const listedTestRed = "made/a.TestRed, go test ./a -run TestRed (no seed), the cause, with words, issue 42\n"

// listedLineEnd is the part of a line of the list that follows the test's name.
const listedLineEnd = ", go test ./a -seed 3 (seed 3), what was seen, 42"

// listTests returns a list with the given tests.
func listTests(tests ...string) string {
	return strings.Join(tests, listedLineEnd+"\n") + listedLineEnd + "\n"
}
