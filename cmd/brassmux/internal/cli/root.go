// Package cli implements the command line of brassmux: its commands, their flags and help texts, and the exit codes.
// It imports package node and the laboratory, and only the main package imports it.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1 // the command ran and failed
	exitUsage      = 2 // the command line is invalid
	exitInvalidRun = 3 // a laboratory run is void: its result is inconclusive
)

// commandError is the error of a command that ran and failed, as opposed to an invalid command line.
type commandError struct{ error }

func (e commandError) Unwrap() error { return e.error }

// invalidRunError is the error of a laboratory run whose result is inconclusive.
type invalidRunError struct{ error }

func (e invalidRunError) Unwrap() error { return e.error }

// asCommandError wraps a non-nil error of a command that ran in a commandError.
func asCommandError(err error) error {
	if err == nil {
		return nil
	}
	return commandError{err}
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &invalidRunError{}):
		return exitInvalidRun
	case errors.As(err, &commandError{}):
		return exitFailed
	}
	return exitUsage
}

// Run executes a command line and returns the exit code. Without a command it runs serve.
func Run(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	root := newRootCommand(getenv, stdout)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(stderr, "brassmux:", err)
	}
	code := exitCode(err)
	if code == exitUsage {
		fmt.Fprintln(stderr, "brassmux --help lists the commands")
	}
	return code
}

func newRootCommand(getenv func(string) string, stdout io.Writer) *cobra.Command {
	serveCommand := newServeCommand(getenv)
	root := &cobra.Command{
		Use:   "brassmux",
		Short: "A balancer for long-lived connections",
		Long: "brassmux places long-lived connections on servers, by a ranking of the client's key that all nodes " +
			"share.\nWithout a command it serves. Exit codes: 0 all went well, 1 a command failed, 2 the command " +
			"line is faulty.",
		Args:              cobra.NoArgs,
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		RunE:              serveCommand.RunE,
	}
	root.AddCommand(
		serveCommand,
		newCheckCommand(stdout),
		newVersionCommand(stdout),
		newLabCommand(stdout),
		newReportCommand(stdout),
	)
	return root
}

// newLabCommand returns the lab command with its subcommands.
func newLabCommand(stdout io.Writer) *cobra.Command {
	lab := &cobra.Command{
		Use:   "lab",
		Short: "Cause failures and measure what they cost",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	lab.AddCommand(
		newFleetCommand(stdout),
		newRigCommand(stdout),
		newSoakCommand(stdout),
		newSizesCommand(stdout),
		newSlopesCommand(stdout),
		newCapacityCommand(stdout),
		newScaleCommand(stdout),
		newScalePartCommand(stdout),
	)
	return lab
}
