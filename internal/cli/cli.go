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

// ErrInvalid reports settings or operators' files with mistakes that the
// command has already printed.
var ErrInvalid = errors.New("the files have mistakes")

// streams are the outputs of a command.
type streams struct {
	stdout, stderr io.Writer
}

// command is one subcommand; handler is a struct with go-flags tags.
type command struct {
	name, short, long string
	handler           flags.Commander
}

// commands lists the subcommands in the order of the help text.
func commands(s streams) []command {
	return []command{
		{"entry", "run an entry instance", entryHelp, &entryCommand{streams: s}},
		{"gateway", "run a gateway on the users' platform", gatewayHelp, &gatewayCommand{streams: s}},
		{"explain", "print the log lines of a request", explainHelp, &explainCommand{streams: s}},
		{"check", "check settings or operators' files", checkHelp, &checkCommand{streams: s}},
		{"publish", "put operators' files in force", publishHelp, &publishCommand{streams: s}},
		{"status", "show the state of an instance", statusHelp, &statusCommand{streams: s}},
		{"audit", "show the changes of the configuration", auditHelp, &auditCommand{streams: s}},
		{"quarantine", "list or lift quarantines of prompt parts", quarantineHelp, &quarantineCommand{streams: s}},
		{"standin", "run stand-ins of the platform on loopback", standinHelp, &standinCommand{streams: s}},
		{"demo", "serve requests of two example deployments", demoHelp, &demoCommand{streams: s}},
		{"experiment", "measure a design decision against baselines", experimentHelp, &experimentCommand{streams: s}},
		{"capacity", "measure the cost of each role at several sizes", capacityHelp, &capacityCommand{streams: s}},
	}
}

// Run parses arguments, executes one subcommand and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("coltsfootdrift", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands(streams{stdout, stderr}) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.handler); err != nil {
			return exitCode(err, stdout, stderr)
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

// exitCode prints err and returns its exit code.
func exitCode(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, usage.Message)
		return ExitUsage
	case errors.Is(err, ErrInvalid):
		return ExitInvalid
	default:
		fmt.Fprintln(stderr, "coltsfootdrift:", err)
		return ExitFailed
	}
}
