// Package outernames holds the list of names that other programs, other versions or operators read: keys of JSON,
// CBOR and TOML, words of the protocols, texts of log lines that operators search for, and counters. Its test fails
// when the code no longer has one of them.
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

// Kind says where the code has a name.
type Kind string

// The kinds of names. A name of the kinds JSON, CBOR and TOML is the value of a struct tag with that key.
const (
	JSON Kind = "json"
	CBOR Kind = "cbor"
	TOML Kind = "toml"
	// Text is a word of a string literal that has one or two words. Longer literals are prose.
	Text Kind = "text"
	// Message is a whole string literal.
	Message Kind = "message"
	// Field is a struct field that is encoded without a tag, under its own name: a directory, a space and the field.
	Field Kind = "field"
	// Golden is a name that the program composes at run time: a golden file, a space and the first word of a line.
	Golden Kind = "golden"
)

var kinds = []Kind{JSON, CBOR, TOML, Text, Message, Field, Golden}

// Name is one entry of the list.
type Name struct {
	Kind  Kind
	Value string
}

// Parse reads a list with a kind, a space and a name on each line. Empty lines are skipped. A message is quoted as a
// Go string.
func Parse(list string) ([]Name, error) {
	var names []Name
	for i, line := range strings.Split(list, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		kind, value, _ := strings.Cut(line, " ")
		if !slices.Contains(kinds, Kind(kind)) || value == "" {
			return nil, fmt.Errorf("line %d: %q is not a kind and a name", i+1, line)
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

// Set is the names that the code has.
type Set map[Name]bool

// skippedDirectories hold no code of the programs. This package is one of them, since it names the kinds.
var skippedDirectories = []string{".git", "journal", "bin", "outernames"}

// maxTextWords bounds the literals whose words count as names.
const maxTextWords = 2

// Collect returns the names in all Go files below root that are not tests, and in the golden files, whose paths are
// relative to root. Errors are those of reading and parsing the files.
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
			n.Tag = nil // otherwise the walk takes the tag for a text
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

// GoldenFiles returns the files that names of the kind Golden refer to.
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

// Missing returns the names that the set lacks.
func (s Set) Missing(names []Name) []Name {
	return slices.DeleteFunc(slices.Clone(names), func(name Name) bool { return s[name] })
}
