// Package outernames checks a list of external names, which other programs, other versions or operators read: keys of
// JSON, CBOR and TOML, words of the protocols, messages of log lines that operators search for, and counters. Its test
// fails if the code no longer contains one of them.
package outernames

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Kind is the kind of place in the code where a name occurs.
type Kind string

// Kinds of names. A name of kind JSON, CBOR or TOML is the value of a struct tag with that key.
const (
	JSON Kind = "json"
	CBOR Kind = "cbor"
	TOML Kind = "toml"
	// Text is a word of a string literal with at most two words. Longer literals are prose.
	Text Kind = "text"
	// Message is a complete string literal.
	Message Kind = "message"
	// Field is a struct field without a tag, which is encoded under its Go name. It is written as the package
	// directory, a space and the field.
	Field Kind = "field"
	// Golden is a name that the program composes at run time. It is written as the path of a golden file, a space
	// and the first word of a line of that file.
	Golden Kind = "golden"
)

var kinds = []Kind{JSON, CBOR, TOML, Text, Message, Field, Golden}

// Name is an entry of the list.
type Name struct {
	Kind  Kind
	Value string
}

// Parse parses a list with a kind, a space and a name on each line. It skips empty lines. A message is quoted as a Go
// string.
func Parse(list string) ([]Name, error) {
	var names []Name
	for i, line := range strings.Split(list, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		kind, value, _ := strings.Cut(line, " ")
		if !slices.Contains(kinds, Kind(kind)) || value == "" {
			return nil, fmt.Errorf("line %d: want a kind and a name, got %q", i+1, line)
		}
		name := Name{Kind: Kind(kind), Value: value}
		if name.Kind == Message {
			message, err := strconv.Unquote(value)
			if err != nil {
				return nil, fmt.Errorf("line %d: message %s: %w", i+1, value, err)
			}
			name.Value = message
		}
		if slices.Contains(names, name) {
			return nil, fmt.Errorf("line %d: %q is listed twice", i+1, line)
		}
		names = append(names, name)
	}
	return names, nil
}

// Set is a set of names that occur in the code.
type Set map[Name]bool

// skippedDirectories lists the directories that Collect ignores, because they contain no code of the programs. This
// package is skipped because the names of the kinds in it would count as names.
var skippedDirectories = []string{".git", "journal", "bin", "outernames"}

// maxTextWords is the maximum number of words in a string literal whose words count as names.
const maxTextWords = 2

// Collect returns the names in all Go files below root except test files, and in the golden files, whose paths are
// relative to root. It returns an error if a file cannot be read or parsed.
func Collect(root string, goldenFiles []string) (Set, error) {
	set := Set{}
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(skippedDirectories, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go"):
			return nil
		}
		directory, err := filepath.Rel(root, filepath.Dir(file))
		if err != nil {
			return err
		}
		return set.addSource(file, filepath.ToSlash(directory))
	})
	for _, golden := range goldenFiles {
		if err == nil {
			err = set.addGolden(root, golden)
		}
	}
	return set, err
}

func (s Set) addSource(path, directory string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			s.addField(n, directory)
			n.Tag = nil // otherwise Inspect would visit the tag as a string literal
		case *ast.BasicLit:
			s.addLiteral(n)
		}
		return true
	})
	return nil
}

func (s Set) addField(field *ast.Field, directory string) {
	if field.Tag == nil {
		for _, name := range field.Names {
			s[Name{Field, directory + " " + name.Name}] = true
		}
		return
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return
	}
	for _, kind := range []Kind{JSON, CBOR, TOML} {
		if value, ok := reflect.StructTag(tag).Lookup(string(kind)); ok {
			s[Name{kind, value}] = true
		}
	}
}

func (s Set) addLiteral(literal *ast.BasicLit) {
	text, err := strconv.Unquote(literal.Value)
	if literal.Kind != token.STRING || err != nil {
		return
	}
	s[Name{Message, text}] = true
	words := strings.Fields(text)
	if len(words) > maxTextWords {
		return
	}
	for _, word := range words {
		s[Name{Text, word}] = true
	}
}

func (s Set) addGolden(root, golden string) error {
	data, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(golden)))
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if words := strings.Fields(line); len(words) > 0 {
			s[Name{Golden, golden + " " + words[0]}] = true
		}
	}
	return nil
}

// GoldenFiles returns the paths of the files to which the names of kind Golden refer.
func GoldenFiles(names []Name) []string {
	var files []string
	for _, name := range names {
		file, _, _ := strings.Cut(name.Value, " ")
		if name.Kind == Golden && !slices.Contains(files, file) {
			files = append(files, file)
		}
	}
	return files
}

// Missing returns the names that are not in the set.
func (s Set) Missing(names []Name) []Name {
	return slices.DeleteFunc(slices.Clone(names), func(name Name) bool { return s[name] })
}
