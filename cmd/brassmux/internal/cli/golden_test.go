package cli

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"brassmux/internal/golden"
)

// Operators and scripts rely on the help texts, exit codes and messages of the command line. Paths of temporary files
// are replaced, because they differ between runs.
func TestGoldenCommandLine(t *testing.T) {
	valid := writeTempFile(t,
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"chat"}]}}`)
	invalid := writeTempFile(t, `{"listen":"here","discovery":"127.0.0.1:1","seed":"x","limits":{"sockets":3},
		"times":{"probe_ms":-1},"settings":{"index":-1,"classes":[{"name":""}],
		"rules":{"left_margin_us":-1,"start_error_us":-2}}}`)
	wrongType := writeTempFile(t, `{"settings":{"rules":{"only_draining_binds":"yes"}}}`)
	var transcript strings.Builder
	for _, args := range [][]string{
		{"--help"}, {"-h"}, {"serve", "--help"}, {"check", "--help"}, {"version", "--help"}, {"report", "--help"},
		{}, {"serve"}, {"serve", "more"},
		{"check", valid}, {"check", invalid}, {"check", wrongType}, {"check", "no-such-file"}, {"check"},
		{"check", valid, valid}, {"report", "one"}, {"dance"}, {"--dance"}, {"-d"}, {"check", "--dance"},
	} {
		code, output, errorOutput := run(args...)
		if code == exitFailed {
			errorOutput = "" // written by other packages; TestExitCodesAndMessages checks the names in it
		}
		pathNames := strings.NewReplacer(valid, "WELL", invalid, "FAULTY", wrongType, "WRONG-TYPE")
		text := fmt.Sprintf("> brassmux %s\nexit %d\n%s%s\n", strings.Join(args, " "), code, output, errorOutput)
		transcript.WriteString(pathNames.Replace(text))
	}
	golden.Check(t, "command-line.txt", transcript.String())
}

var flagPattern = regexp.MustCompile(`--[a-z-]+|\(default [^)]*\)`)

// Scripts use the commands and flags of the laboratory and rely on their defaults.
func TestGoldenLabFlags(t *testing.T) {
	var listing strings.Builder
	for _, name := range []string{"fleet", "rig", "soak", "sizes", "slopes", "capacity", "scale", "scale-part"} {
		code, output, _ := run("lab", name, "--help")
		_, flags, _ := strings.Cut(output, "Flags:")
		fmt.Fprintf(&listing, "lab %s: exit %d %q\n", name, code, flagPattern.FindAllString(flags, -1))
	}
	golden.Check(t, "lab-flags.txt", listing.String())
}

// Log collectors parse the line that reports dropped lines, which is formatted without the logger.
func TestGoldenDroppedLines(t *testing.T) {
	golden.Check(t, "dropped-lines.txt", string(formatDroppedLines(7)))
}
