package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"brassmux/node"
)

func newCheckCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file and name every key that is faulty",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return asCommandError(checkConfig(args[0], stdout))
		},
	}
}

// checkConfig returns an error that names every invalid key of a configuration file.
func checkConfig(path string, stdout io.Writer) error {
	getenv := func(key string) string {
		if key == "LB_CONFIG" {
			return path
		}
		return ""
	}
	cfg, err := node.Load(getenv)
	if err != nil {
		return err
	}
	if faults := cfg.Validate(); len(faults) > 0 {
		return errors.Join(faults...)
	}
	_, err = fmt.Fprintf(stdout, "%s is well\n", path)
	return err
}
