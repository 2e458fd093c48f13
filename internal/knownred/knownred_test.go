package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// made is a module that is made up, by the paths of its files; more are put over them.
func made(t *testing.T, more map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for key, value := range map[string]string{"GOFLAGS": "", "GOWORK": "off", "GOPROXY": "off", "GOTOOLCHAIN": "local"} {
		t.Setenv(key, value)
	}
	files := map[string]string{
		"go.mod":    "module made\n\ngo 1.26\n",
		"README.md": "# made\n\n    test -z \"$(gofmt -l .)\" && go vet ./... && go test -race ./... && echo built it\n",
		"a/a_test.go": `package a

import "testing"

func TestGood(t *testing.T) {}

func TestRed(t *testing.T) { t.Error("one fault") }

func TestSkipped(t *testing.T) { t.Skip("not here") }
`,
	}
	for path, text := range more {
		files[path] = text
	}
	for path, text := range files {
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// sound is the package a without its fault, and parts a test with two faulty parts, of which the first says something itself where it is to.
const sound = "package a\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n"

func parts(says string) string {
	return `package a

import "testing"

func TestParts(t *testing.T) {
	t.Run("one, two", func(t *testing.T) { t.Error("one fault") })
	t.Run("three", func(t *testing.T) { t.Error("another") })
	t.Run("good", func(t *testing.T) {})
` + says + `}
`
}

const oneRed = "made/a.TestRed, the cause, with words, issue 42\n"

// All of .ci/run, on small modules.
func TestTheChecksPassOverListedTestsOnly(t *testing.T) {
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	own := map[string]string{".ci/run": string(script), "b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n"}
	for _, name := range []string{"main.go", "judge.go"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		own["internal/knownred/"+name] = string(text)
	}
	plainly := "go vet ./... && go test -race ./... && echo built it\n"
	for _, c := range []struct {
		name         string
		files        map[string]string
		good         bool
		says, unsaid []string
	}{
		{"none listed", map[string]string{"a/a_test.go": sound}, true, []string{plainly, "ok  \tmade/a", "\nbuilt it\nall checks passed\n"}, []string{"passed,"}},
		{"none listed and a fault", nil, false, []string{plainly, "--- FAIL: TestRed", "FAIL\tmade/a"}, []string{"\nbuilt it", "all checks"}},
		{"an empty list and a fault", map[string]string{"KNOWN-RED.txt": "\n \n"}, false, []string{plainly, "--- FAIL: TestRed"}, []string{"\nbuilt it", "all checks"}},
		{"a listed fault", map[string]string{"KNOWN-RED.txt": oneRed}, true,
			[]string{"\nknown red | --- FAIL: TestRed", "\nok  \tmade/b", "passed over: " + oneRed, "\n2 passed, 0 failed\nbuilt it\nall checks passed\n"}, []string{"\nFAIL", "\n--- FAIL"}},
		{"unformatted", map[string]string{"KNOWN-RED.txt": oneRed, "b/b.go": "package   b\n"}, false, nil, []string{"known red", "\nbuilt it", "all checks"}},
		{"what vet finds", map[string]string{"KNOWN-RED.txt": oneRed, "b/b.go": "package b\n\nimport \"fmt\"\n\nfunc F() { fmt.Printf(\"%d\", \"b\") }\n"}, false, []string{"Printf format %d"}, []string{"\nbuilt it", "all checks"}},
		{"a race in the listed test", map[string]string{"KNOWN-RED.txt": oneRed, "a/a_test.go": `package a

import "testing"

func TestRed(t *testing.T) {
	n, done := 0, make(chan bool)
	go func() { n++; close(done) }()
	n++
	<-done
	t.Error(n)
}
`}, false, []string{"made/a: a data race"}, []string{"\nbuilt it", "all checks"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			files := map[string]string{}
			for _, some := range []map[string]string{own, c.files} {
				for path, text := range some {
					files[path] = text
				}
			}
			made(t, files)
			out, err := exec.Command("./.ci/run").CombinedOutput()
			if (err == nil) != c.good {
				t.Errorf("%v", err)
			}
			for _, want := range c.says {
				if !strings.Contains(string(out), want) {
					t.Errorf("%q is not said", want)
				}
			}
			for _, not := range c.unsaid {
				if strings.Contains(string(out), not) {
					t.Errorf("%q is said", not)
				}
			}
			if t.Failed() {
				t.Logf("%s", out)
			}
		})
	}
}

// Guards against a README whose command is not the one that .ci/run takes apart.
func TestTheCommandOfTheReadmeCanPassOverTests(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "go test -race")
	if !strings.HasPrefix(rest, " ./... && ") || strings.Contains(rest, "go test -race") {
		t.Error("the README's test command has another form")
	}
}

// What stands against a pass, one fault at a time.
func TestWhatIsNotPassedOver(t *testing.T) {
	others := "\nfunc TestOther(t *testing.T) { t.Error(\"another\") }\n"
	failing := strings.Replace(sound, "package a", "package b", 1) + "\nfunc TestRed(t *testing.T) { t.Error(\"the same name\") }\n"
	ends := func(how string) string {
		return "package a\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\nfunc TestRed(t *testing.T) { " + how + " }\n\nfunc TestAfter(t *testing.T) {}\n"
	}
	listed := func(of ...string) string { return strings.Join(of, ", cause, 42\n") + ", cause, 42\n" }
	for _, c := range []struct {
		name, list string
		files      map[string]string
		want       string // of what is said; "" where it passes
	}{
		{"listed", oneRed, nil, ""},
		{"listed by its name alone", listed("TestRed"), nil, ""},
		{"listed by a part of its package's path", listed("a TestRed"), nil, ""},
		{"another fails in its package", oneRed, map[string]string{"a/more_test.go": "package a\n\nimport \"testing\"\n" + others}, "made/a.TestOther failed and is not listed"},
		{"another fails elsewhere", oneRed, map[string]string{"b/b_test.go": failing}, "made/b.TestRed failed and is not listed"},
		{"of a package that is meant by no name", listed("TestRed"), map[string]string{"b/b_test.go": failing}, "2 times"},
		{"it passes", oneRed, map[string]string{"a/a_test.go": strings.Replace(sound, "TestGood", "TestRed", 1)}, "does not fail (pass)"},
		{"it is skipped", listed("made/a.TestSkipped"), map[string]string{"a/a_test.go": strings.Replace(sound, "{}", "{ t.Skip() }", 1) + "\nfunc TestSkipped(t *testing.T) { t.Skip() }\n"}, "does not fail (skip)"},
		{"it is not there", listed("made/a.TestRed", "made/a.TestGone"), nil, "made/a.TestGone, cause, 42"},
		{"it is in another package", listed("made/b.TestRed"), nil, "TestRed is not there"},
		{"nothing fails", listed("made/a.TestGone"), map[string]string{"a/a_test.go": sound}, "TestGone is not there"},
		{"another package does not build", oneRed, map[string]string{"b/b.go": "package b\n\nvar b int = \"b\"\n", "b/b_test.go": "package b\n"}, "made/b failed by more than its tests"},
		{"another package does not start", oneRed, map[string]string{"b/main_test.go": "package b\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nfunc TestMain(*testing.M) { os.Exit(1) }\n"}, "made/b failed by more than its tests"},
		{"its panic takes others with it", oneRed, map[string]string{"a/a_test.go": ends("panic(1)")}, "made/a failed by more than its tests"},
		{"its exit takes others with it", oneRed, map[string]string{"a/a_test.go": ends("os.Exit(1)")}, "made/a failed by more than its tests"},
		{"a panic beside it", oneRed, map[string]string{"a/late_test.go": "package a\n\nimport \"testing\"\n\nfunc TestZ(t *testing.T) { go panic(1); select {} }\n"}, "made/a failed by more than its tests"},
		{"what comes after the tests", oneRed, map[string]string{"a/main_test.go": "package a\n\nimport (\n\t\"fmt\"\n\t\"os\"\n\t\"testing\"\n)\n\nfunc TestMain(m *testing.M) { m.Run(); fmt.Println(\"a leak\"); os.Exit(1) }\n"}, "made/a failed by more than its tests"},
		{"a test with its parts", listed("made/a.TestParts"), map[string]string{"a/a_test.go": parts("")}, ""},
		{"each part", listed("made/a.TestParts/one,_two", "made/a.TestParts/three"), map[string]string{"a/a_test.go": parts("")}, ""},
		{"one part of two", listed("made/a.TestParts/one,_two"), map[string]string{"a/a_test.go": parts("")}, "made/a.TestParts/three failed"},
		{"each part, and more", listed("made/a.TestParts/one,_two", "made/a.TestParts/three"), map[string]string{"a/a_test.go": parts("\tt.Error(\"more\")\n")}, "made/a.TestParts failed"},
		{"a part that passes", listed("made/a.TestParts/one,_two", "made/a.TestParts/three", "made/a.TestParts/good"), map[string]string{"a/a_test.go": parts("")}, "does not fail (pass)"},
		{"the wrong case", listed("made/a.testRed"), nil, "line 1"},
		{"no cause", "made/a.TestRed, 42\n", nil, "line 1"},
		{"no issue", "made/a.TestRed, the cause\n", nil, "line 1"},
		{"an issue without a number", "\nmade/a.TestRed, the cause, soon\n", nil, "line 2"},
		{"twice", oneRed + oneRed, nil, "listed twice"},
		{"a part of it too", oneRed + listed("TestRed/x"), nil, "listed twice"},
		{"four", listed("TestRed", "TestB", "TestC", "TestD"), nil, "4 tests are listed, 3 are the most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			files := map[string]string{"KNOWN-RED.txt": c.list}
			for path, text := range c.files {
				files[path] = text
			}
			made(t, files)
			var out, errs bytes.Buffer
			code := run([]string{"go", "test", "-vet=off", "./..."}, &out, &errs)
			if code == 0 != (c.want == "") || !strings.Contains(errs.String(), c.want) {
				t.Errorf("exit code %d, %q is wanted\n%s%s", code, c.want, &out, &errs)
			}
		})
	}
}
