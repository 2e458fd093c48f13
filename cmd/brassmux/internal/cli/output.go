package cli

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"
)

// newTable returns a writer that aligns tab-separated columns. Callers must call Flush when the table is complete.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// writeResults writes results to a file as JSON. It does nothing if path is empty.
func writeResults(path string, results any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
