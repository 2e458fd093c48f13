package outernames

import (
	"os"
	"path/filepath"
	"testing"
)

const moduleRoot = "../.."

// Guards against a rename that changes a name which another program, another version or the search of an operator
// expects.
func TestCodeHasListedNames(t *testing.T) {
	list, err := os.ReadFile("testdata/names.txt")
	if err != nil {
		t.Fatal(err)
	}
	names, err := Parse(string(list))
	if err != nil {
		t.Fatal(err)
	}
	if len(names) == 0 {
		t.Fatal("the list is empty")
	}
	code, err := Collect(moduleRoot, GoldenFiles(names))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range code.Missing(names) {
		t.Errorf("the code no longer has the %s name %q", name.Kind, name.Value)
	}
}

// An invalid or repeated line must be an error, so that no name goes unchecked.
func TestParseRejectsInvalidLists(t *testing.T) {
	for _, invalid := range []string{"json", "json ", "word x", "message x", "json x\njson x"} {
		if names, err := Parse(invalid); err == nil {
			t.Errorf("Parse(%q) = %v, want an error", invalid, names)
		}
	}
}

// A name of each kind must be found where it occurs, and must be missing under any other kind.
func TestCollectFindsEachKind(t *testing.T) {
	root := t.TempDir()
	source := `package p

type t struct {
	A int "json:\"a_key\" cbor:\"1\""
	B int "toml:\"b_key\""
	Plain int
}

var texts = []string{"two words", "a longer message here"}
`
	files := map[string]string{
		"p.go":       source,
		"q_test.go":  "package p\n\nvar tested = \"only_in_a_test\"\n",
		"golden.txt": "composed_name 1\n",
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	code, err := Collect(root, []string{"golden.txt"})
	if err != nil {
		t.Fatal(err)
	}
	present := []Name{{JSON, "a_key"}, {CBOR, "1"}, {TOML, "b_key"}, {Field, ". Plain"}, {Text, "words"},
		{Message, "a longer message here"}, {Golden, "golden.txt composed_name"}}
	if missing := code.Missing(present); len(missing) > 0 {
		t.Errorf("not found: %v", missing)
	}
	absent := []Name{{JSON, "b_key"}, {CBOR, "a_key"}, {TOML, "a_key"}, {Field, ". A"}, {Text, "longer"},
		{Message, "longer"}, {Golden, "golden.txt 1"}, {Text, "only_in_a_test"}, {Text, "a_key"}}
	if missing := code.Missing(absent); len(missing) != len(absent) {
		t.Errorf("missing %v, want all of %v", missing, absent)
	}
}
