// Command coltsfootdrift serves multi-stage model pipelines. Run it with --help
// for its subcommands.
package main

import (
	"os"

	"github.com/coltsfootdrift/coltsfootdrift/internal/cli"
	// Until a SIGHUP handler is installed, the signal must not end the process.
	_ "github.com/coltsfootdrift/coltsfootdrift/internal/hangup"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
