// Command brassmux runs a node of the balancer, checks its configuration and measures it in the laboratory; see
// brassmux --help.
package main

import (
	"os"

	"brassmux/cmd/brassmux/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
