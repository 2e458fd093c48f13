package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print what this program was built from",
		Args:  cobra.NoArgs,
		Run:   func(*cobra.Command, []string) { fmt.Fprintln(stdout, version()) },
	}
}

// version returns the version, the Go version and, if the build recorded it, the revision of the program.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "brassmux, of an unknown build"
	}
	text := "brassmux " + info.Main.Version + ", " + info.GoVersion
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			text += ", revision " + setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			text += " with changes"
		}
	}
	return text
}
