// Command coltsfootdrift serves multi-stage model pipelines. Run it with --help
// for its subcommands.
package main

import (
	"os"

	"github.com/coltsfootdrift/coltsfootdrift/internal/cli"
	// SIGHUP must not end a process that has just started.
	_ "github.com/coltsfootdrift/coltsfootdrift/internal/hangup"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
