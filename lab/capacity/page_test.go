package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a capacity page that does not match the stored measurements, after a change of only one of them.
func TestCapacityPageMatchesMeasurements(t *testing.T) {
	docs := filepath.Join("..", "..", "docs")
	files, err := filepath.Glob(filepath.Join(docs, "capacity", "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	results, err := Load(files...)
	if err != nil {
		t.Fatal(err)
	}
	if files, err = filepath.Glob(filepath.Join(docs, "capacity", "after", "*.json")); err != nil {
		t.Fatal(err)
	}
	after, err := Load(files...)
	if err != nil {
		t.Fatal(err)
	}
	tables, err := Tables(results, after)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	filled, err := Fill(string(data), tables)
	if err != nil {
		t.Fatal(err)
	}
	if filled != string(data) {
		oldLines, newLines := strings.Split(string(data), "\n"), strings.Split(filled, "\n")
		for i := range min(len(oldLines), len(newLines)) {
			if oldLines[i] != newLines[i] {
				t.Fatalf("line %d of the page is\n%s\nwant\n%s\nbrassmux lab capacity --page updates the page",
					i+1, oldLines[i], newLines[i])
			}
		}
		t.Fatalf("the page has %d lines, want %d", len(oldLines), len(newLines))
	}
	// Each measurement must have at least four sizes.
	for _, m := range results.Measurements {
		if len(m.Sizes()) < 4 {
			t.Errorf("%s was measured at %v", m.Name, m.Sizes())
		}
	}
}
