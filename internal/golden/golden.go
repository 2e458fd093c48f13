// Package golden compares the output of a test with a golden file in the testdata directory of the test's package. The
// golden files hold formats that other programs and other versions read, so tests never write them.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testdataDir = "testdata"

// Read returns the text of a golden file.
func Read(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(testdataDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Lines returns the lines of a golden file without line endings.
func Lines(t testing.TB, name string) []string {
	t.Helper()
	return strings.Split(strings.TrimSuffix(Read(t, name), "\n"), "\n")
}

// Check fails the test if got differs from the golden file in any byte, and prints the first line that differs.
func Check(t testing.TB, name, got string) {
	t.Helper()
	want := Read(t, name)
	if got == want {
		return
	}
	gotLines, wantLines := strings.SplitAfter(got, "\n"), strings.SplitAfter(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i); gotLine != wantLine {
			t.Fatalf("%s, line %d:\ngot  %q\nwant %q", name, i+1, gotLine, wantLine)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}
