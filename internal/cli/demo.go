package cli

import (
	"context"
	"encoding/json"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/coltsfootdrift/coltsfootdrift/internal/demo"
)

const demoHelp = `Serves requests of two example deployments in one process on loopback, with
stand-ins of the platform and entry instances of two regions each, and ends by
itself in under 30 s. Some backend servers are slow, leave, refuse or answer
wrongly in the meantime.

The report compares what callers got with what the backend servers recorded. lost,
doubled, mixed_up and not_run_but_ran must be 0; otherwise the exit code is 1.`

// demoCommand runs the demo.
type demoCommand struct {
	streams
	JSON bool `long:"json" description:"prints the report as one line of JSON"`
	Logs bool `long:"logs" description:"prints the warnings of the entry instances to standard error"`
}

// Execute runs the demo and prints its report.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := slog.New(slog.DiscardHandler)
	if c.Logs {
		logger = slog.New(slog.NewJSONHandler(c.stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}
	report, err := demo.Run(ctx, logger)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(c.stdout).Encode(report)
	} else {
		err = report.Print(c.stdout)
	}
	if err == nil && report.Faulty() > 0 {
		err = demo.ErrFaulty
	}
	return err
}
