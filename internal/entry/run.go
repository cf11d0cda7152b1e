package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/samber/oops"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
)

// ErrCutOff is the error of a shutdown that ended before all requests finished.
var ErrCutOff = errors.New("shutdown cut off requests")

// startTimeout limits the startup. A daemon that cannot bind its addresses or reach
// its platform within it is restarted by its supervisor.
const startTimeout = fx.DefaultTimeout

// Run runs an entry instance until SIGTERM or SIGINT arrives or ctx ends, and then
// shuts it down. A second signal ends the shutdown at once.
func Run(ctx context.Context, entry settings.Entry, logger *slog.Logger, options ...fx.Option) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return run(ctx, signals, entry, logger, options...)
}

func run(ctx context.Context, signals <-chan os.Signal, entry settings.Entry, logger *slog.Logger, options ...fx.Option) error {
	var handler *Handler
	var configuration ConfigurationSource
	app := New(entry, logger, append(options, fx.Populate(&handler, &configuration))...)
	if err := startApp(ctx, app); err != nil {
		return oops.In("entry").Code("start_failed").With("instance", entry.Instance).Wrap(err)
	}
	select {
	case <-ctx.Done():
	case <-signals:
	}
	deadline := shutdownDeadline(entry, configuration.Current())
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	events.EntryStopping.Log(stopCtx, logger, slog.String("instance", entry.Instance), slog.Duration("deadline", deadline))
	return stopApp(stopCtx, signals, app, handler, logger)
}

func startApp(ctx context.Context, app *fx.App) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start entry instance: %w", err)
	}
	return nil
}

// stopApp shuts the daemon down. At the deadline of ctx or on a second signal it
// returns early, with an error that states how many requests were cut off.
func stopApp(ctx context.Context, signals <-chan os.Signal, app *fx.App, handler *Handler, logger *slog.Logger) error {
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(ctx) }()
	cause := "deadline"
	select {
	case err := <-stopped:
		if ctx.Err() == nil {
			events.EntryStopped.Log(ctx, logger)
			return err
		}
	case <-ctx.Done():
	case <-signals:
		cause = "signal"
	}
	running := handler.Running()
	events.EntryCutOff.Log(ctx, logger, slog.String("cause", cause), slog.Int64("requests", running))
	return fmt.Errorf("%w: %d requests at the %s", ErrCutOff, running, cause)
}
