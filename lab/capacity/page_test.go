package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a page whose tables are not those that the kept measurements give, as after a change of either alone.
func TestThePageHasTheTablesOfTheKeptMeasurements(t *testing.T) {
	docs := filepath.Join("..", "..", "docs")
	files, err := filepath.Glob(filepath.Join(docs, "capacity", "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Load(files...)
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
	tables, err := Tables(r, after)
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
		was, is := strings.Split(string(data), "\n"), strings.Split(filled, "\n")
		for i := range min(len(was), len(is)) {
			if was[i] != is[i] {
				t.Fatalf("line %d of the page is\n%s\nand by the measurements\n%s\nbrassmux lab capacity --page puts them in", i+1, was[i], is[i])
			}
		}
		t.Fatalf("the page has %d lines, and %d by the measurements", len(was), len(is))
	}
	// Each size that the page rests on was measured as often as it says, and at four sizes at least.
	for _, s := range r.Measurements {
		if len(s.Sizes()) < 4 {
			t.Errorf("%s was measured at %v", s.Name, s.Sizes())
		}
	}
}
