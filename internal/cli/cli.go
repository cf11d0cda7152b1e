// Package cli holds the subcommands of the coltsfootdrift binary.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the binary.
const (
	ExitOK      = 0 // the command did what was asked
	ExitFailed  = 1 // the command ran and failed
	ExitUsage   = 2 // the arguments are wrong
	ExitInvalid = 3 // settings or operators' files have mistakes
)

// Run parses arguments, executes one subcommand and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("coltsfootdrift", flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

// exitCode reports err to the user and maps it to an exit code.
func exitCode(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(stderr, usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(stderr, "coltsfootdrift:", err)
	return ExitFailed
}
