// Package glossary parses docs/glossary.md, the tables of names that were replaced by standard terms. Its test fails if
// a package that the page lists as done still uses an old name in a Go identifier, a file name or a log line.
package glossary

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"unicode"
)

// donePackagesHeading is the heading of the section that lists the packages to check.
const donePackagesHeading = "Packages that are done"

// Glossary holds the parsed page.
type Glossary struct {
	DonePackages []string // package directories, relative to the module's root
	Terms        []Term
}

// Term is an old name that must not be used.
type Term struct {
	Name       string   // an identifier, or lower-case words separated by blanks
	Identifier bool     // Name must equal an identifier, including case; otherwise it is matched word by word
	Packages   []string // packages to which the term applies; empty for all
}

var (
	headingPattern   = regexp.MustCompile(`^##+ (.*)$`)
	backquotePattern = regexp.MustCompile("`([^`]+)`")
)

// minRowParts is the number of parts into which the bars split a table row with two columns.
const minRowParts = 4

// Parse parses the page. Below the heading "Packages that are done" each name in backquotes is a package. Below other
// headings the first column of each table holds old names, separated by commas: a name in backquotes is an identifier,
// any other name consists of one or more words. Package directories in backquotes in such a heading limit its terms to
// these packages.
func Parse(page string) *Glossary {
	g := &Glossary{}
	var heading string
	for _, line := range strings.Split(page, "\n") {
		if match := headingPattern.FindStringSubmatch(line); match != nil {
			heading = match[1]
			continue
		}
		if heading == donePackagesHeading {
			g.DonePackages = append(g.DonePackages, backquotedNames(line)...)
			continue
		}
		g.Terms = append(g.Terms, parseRow(line, backquotedNames(heading))...)
	}
	return g
}

// backquotedNames returns the texts between backquotes.
func backquotedNames(text string) (names []string) {
	for _, match := range backquotePattern.FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}
	return names
}

// parseRow returns the terms in the first column of a table row. Header and separator rows have none.
func parseRow(line string, packages []string) (terms []Term) {
	cells := strings.Split(line, "|")
	isRow := len(cells) >= minRowParts && cells[0] == ""
	if !isRow || strings.HasPrefix(cells[1], " old") || strings.Contains(cells[1], "---") {
		return nil
	}
	for _, name := range strings.Split(cells[1], ",") {
		name = strings.TrimSpace(name)
		if quoted := backquotedNames(name); len(quoted) == 1 {
			terms = append(terms, Term{Name: quoted[0], Identifier: true, Packages: packages})
		} else if name != "" {
			terms = append(terms, Term{Name: strings.ToLower(name), Packages: packages})
		}
	}
	return terms
}

// appliesTo reports whether the term applies to a package.
func (t Term) appliesTo(pkg string) bool {
	return len(t.Packages) == 0 || slices.Contains(t.Packages, pkg)
}

// matches reports whether an identifier, a file name or a message uses the old name.
func (t Term) matches(text string) bool {
	if t.Identifier {
		return text == t.Name
	}
	return strings.Contains(" "+strings.Join(splitWords(text), " ")+" ", " "+t.Name+" ")
}

// splitWords splits an identifier, a file name or a message into lower-case words.
func splitWords(text string) (words []string) {
	var word []rune
	flush := func() {
		if len(word) > 0 {
			words = append(words, strings.ToLower(string(word)))
			word = nil
		}
	}
	runes := []rune(text)
	for i, r := range runes {
		switch {
		case !unicode.IsLetter(r):
			flush()
			continue
		case startsWord(runes, i):
			flush()
		}
		word = append(word, r)
	}
	flush()
	return words
}

// startsWord reports whether the rune at i is a capital letter that starts a word: it either does not follow a capital
// letter, or precedes a lower-case letter, as the last of several capitals.
func startsWord(runes []rune, i int) bool {
	if !unicode.IsUpper(runes[i]) {
		return false
	}
	afterNonCapital := i == 0 || !unicode.IsUpper(runes[i-1])
	beforeLowercase := i+1 < len(runes) && unicode.IsLower(runes[i+1])
	return afterNonCapital || beforeLowercase
}

// Use is an occurrence of an old name.
type Use struct {
	Position string // file, line and column, or only the file if its name is the text
	Text     string // the identifier, file name or log message
	Term     Term
}

func (u Use) String() string {
	return fmt.Sprintf("%s: %q uses the old name %q", u.Position, u.Text, u.Term.Name)
}

// Check parses the Go files of all packages in DonePackages, relative to root. It returns the uses of old names in
// declared identifiers, file names, and the messages and keys of log lines.
func (g *Glossary) Check(root string) (uses []Use, err error) {
	for _, pkg := range g.DonePackages {
		files, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(pkg), "*.go"))
		if err != nil {
			return nil, err
		}
		if len(files) == 0 {
			return nil, fmt.Errorf("%s: %w", pkg, fs.ErrNotExist)
		}
		for _, file := range files {
			found, err := g.checkFile(pkg, file)
			if err != nil {
				return nil, err
			}
			uses = append(uses, found...)
		}
	}
	return uses, nil
}

// checkFile returns the uses of old names in a Go file and in its file name.
func (g *Glossary) checkFile(pkg, filePath string) (uses []Use, err error) {
	fileSet := token.NewFileSet()
	syntaxTree, err := parser.ParseFile(fileSet, filePath, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	check := func(position, text string) {
		for _, term := range g.Terms {
			if term.appliesTo(pkg) && term.matches(text) {
				uses = append(uses, Use{Position: position, Text: text, Term: term})
			}
		}
	}
	check(filePath, strings.TrimSuffix(path.Base(filepath.ToSlash(filePath)), ".go"))
	ast.Inspect(syntaxTree, func(n ast.Node) bool {
		for _, name := range declaredNames(n) {
			check(fileSet.Position(name.Pos()).String(), name.Name)
		}
		if text := logText(n); text != "" {
			check(fileSet.Position(n.Pos()).String(), text)
		}
		return true
	})
	return uses, nil
}

// declaredNames returns the identifiers that a node declares.
func declaredNames(n ast.Node) []*ast.Ident {
	switch n := n.(type) {
	case *ast.FuncDecl:
		return []*ast.Ident{n.Name}
	case *ast.TypeSpec:
		return []*ast.Ident{n.Name}
	case *ast.ValueSpec:
		return n.Names
	case *ast.Field:
		return n.Names
	case *ast.AssignStmt:
		if n.Tok == token.DEFINE {
			return identifiers(n.Lhs...)
		}
	case *ast.RangeStmt:
		if n.Tok == token.DEFINE {
			return identifiers(n.Key, n.Value)
		}
	}
	return nil
}

// identifiers returns the expressions that are identifiers.
func identifiers(expressions ...ast.Expr) (names []*ast.Ident) {
	for _, expr := range expressions {
		if name, ok := expr.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

// logMethods lists the logger methods whose first argument is a message. The functions of zapPackage take the key of a
// log field as their first argument.
var logMethods = []string{"Debug", "Info", "Warn", "Error", "Fatal"}

const zapPackage = "zap"

// logText returns the message of a logging call or the key of a log field, or "" for any other node.
func logText(n ast.Node) string {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	receiver, _ := method.X.(*ast.Ident)
	if !slices.Contains(logMethods, method.Sel.Name) && (receiver == nil || receiver.Name != zapPackage) {
		return ""
	}
	text, ok := call.Args[0].(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return ""
	}
	return strings.Trim(text.Value, "\"`")
}
