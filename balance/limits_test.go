package balance

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxFileLines = 500
	maxColumns   = 110
)

// Files of the package, including tests, must stay short and narrow enough to read.
func TestSourceFileLimits(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatal("no files found")
	}
	for _, name := range files {
		if lines := countLines(t, name); lines > maxFileLines {
			t.Errorf("%s: %d lines, limit is %d", name, lines, maxFileLines)
		}
	}
}

// countLines returns the number of lines of a file and checks the width of each line.
func countLines(t *testing.T, name string) (lines int) {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		lines++
		width := utf8.RuneCountInString(strings.ReplaceAll(scanner.Text(), "\t", "    "))
		if width > maxColumns {
			t.Errorf("%s:%d: %d columns, limit is %d", name, lines, width, maxColumns)
		}
	}
	return lines
}
