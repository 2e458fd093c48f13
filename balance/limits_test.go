package balance

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// Decisions stay in modules that can be read at a sitting.
func TestModulesKeepTheirLineLimits(t *testing.T) {
	const linesMost, widthMost = 730, 150
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		most := widthMost
		if name == "balance.go" || name == "starts.go" || name == "table.go" {
			most = 110
		}
		if filled := filledLines(t, name, most); filled > linesMost {
			t.Errorf("%s: %d lines that are not blank, over %d", name, filled, linesMost)
		}
	}
}

// filledLines counts the lines of a file that are not blank, and checks the width of all.
func filledLines(t *testing.T, name string, widthMost int) (filled int) {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	for line := 1; in.Scan(); line++ {
		if strings.TrimSpace(in.Text()) != "" {
			filled++
		}
		width := utf8.RuneCountInString(strings.ReplaceAll(in.Text(), "\t", "    "))
		if width > widthMost {
			t.Errorf("%s:%d has %d characters, over %d", name, line, width, widthMost)
		}
	}
	return filled
}
