// Command adapter runs package balance in the simulator. It reads batches of events from standard input and writes the
// resulting actions to standard output. It exits with status 1 if the input is invalid or a reply cannot be written.
package main

import (
	"fmt"
	"os"

	"brassmux/internal/sim/host"
)

func main() {
	if err := host.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
