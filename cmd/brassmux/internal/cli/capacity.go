package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"brassmux/lab/capacity"
)

func newCapacityCommand(stdout io.Writer) *cobra.Command {
	var pagePath string
	var laterFiles []string
	command := &cobra.Command{
		Use:   "capacity FILE...",
		Short: "Work out from what lab slopes measured what the size that is coming costs",
		Long: "capacity reads files that lab slopes wrote and prints the tables of docs/CAPACITY.md: assumptions, " +
			"slopes, roles, events, and\nwhat is missing, the worst factor first. With --page it writes them into " +
			"that page, between its marks.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return asCommandError(runCapacity(stdout, pagePath, files, laterFiles))
		},
	}
	command.Flags().StringVar(&pagePath, "page", "", "write the tables into this page")
	command.Flags().StringSliceVar(&laterFiles, "after", nil,
		"files of a later program, to be compared; all else is worked out without them")
	return command
}

// runCapacity builds the capacity tables from result files and prints them, or writes them into a page if one is given.
func runCapacity(stdout io.Writer, pagePath string, files, laterFiles []string) error {
	results, err := capacity.Load(files...)
	if err != nil {
		return err
	}
	later, err := capacity.Load(laterFiles...)
	if err != nil {
		return err
	}
	tables, err := capacity.Tables(results, later)
	if err != nil {
		return err
	}
	if pagePath != "" {
		return fillPage(pagePath, tables)
	}
	for _, name := range capacity.TableNames {
		fmt.Fprintf(stdout, "%s\n\n%s\n", name, tables[name])
	}
	return nil
}

// fillPage replaces the text between the marks of a page with the tables.
func fillPage(path string, tables map[string]string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	filled, err := capacity.Fill(string(text), tables)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(filled), 0o644)
}
