package glossary

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Guards against old names that return to a package whose names have been replaced.
func TestDonePackagesUseNoOldNames(t *testing.T) {
	page, err := os.ReadFile("../../docs/glossary.md")
	if err != nil {
		t.Fatal(err)
	}
	glossary := Parse(string(page))
	if len(glossary.Terms) == 0 {
		t.Fatal("the page has no terms")
	}
	uses, err := glossary.Check("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, use := range uses {
		t.Error(use)
	}
}

const testPage = "# Glossary\n\n## Packages that are done\n\n- `a`\n\n## Everywhere\n\n" +
	"| old | field |\n| --- | --- |\n| turned away, `Word` | rejected |\n\n" +
	"## In `a` and `b`\n\n| old | field |\n| --- | --- |\n| keeper | leader |\n\n" +
	"## In `b`\n\n| old | field |\n| --- | --- |\n| whole | limit |\n"

// writePackage creates a module root with one package that has one file.
func writePackage(t *testing.T, pkg, file, code string) (root string) {
	t.Helper()
	root = t.TempDir()
	dir := filepath.Join(root, pkg)
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	text := "package " + pkg + "\n\n" + code + "\n"
	if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return root
}

// Guards against uses of old names that the check overlooks, and against matches of other names.
func TestCheckFindsOldNames(t *testing.T) {
	for name, test := range map[string]struct {
		file, code string
		want       []string
	}{
		"none":                   {"x.go", "func Words() { log.Info(\"whole\") }", nil},
		"a type":                 {"x.go", "type Word struct{}", []string{"Word"}},
		"a name in another case": {"x.go", "func word() {}", nil},
		"a field":                {"x.go", "type x struct { isKeeper bool }", []string{"isKeeper"}},
		"a method":               {"x.go", "func (x) turnedAway() {}", []string{"turnedAway"}},
		"a variable":             {"x.go", "func f() { for i, keeperID := range x { _ = i } }", []string{"keeperID"}},
		"an assignment":          {"x.go", "func f() { theKeeper := 1; _ = theKeeper }", []string{"theKeeper"}},
		"an imported identifier": {"x.go", "var x = other.Word", nil},
		"a constant":             {"x.go", "const keeperMost = 1", []string{"keeperMost"}},
		"a log line":             {"x.go", "func f() { log.Info(\"no keeper\") }", []string{"no keeper"}},
		"a log line's key":       {"x.go", "func f() { log.Info(\"x\", zap.Int(\"keeper\", 1)) }", []string{"keeper"}},
		"a file":                 {"keeper_test.go", "", []string{"keeper_test"}},
		"a word in capitals":     {"x.go", "const KEEPERKeeper = 1", []string{"KEEPERKeeper"}},
		"part of another word":   {"x.go", "const timekeeper = 1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			uses, err := Parse(testPage).Check(writePackage(t, "a", test.file, test.code))
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, use := range uses {
				got = append(got, use.Text)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// A package that is listed but does not exist must be an error, because its names would otherwise go unchecked.
func TestCheckReportsMissingPackage(t *testing.T) {
	_, err := Parse(testPage).Check(t.TempDir())
	if err == nil || !strings.Contains(err.Error(), "a:") {
		t.Errorf("got error %v, want one that names the package", err)
	}
}
