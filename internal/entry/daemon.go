// Package entry is the daemon of an entry instance: it serves callers, runs
// their requests through pipelines and combines the cores with their adapters.
package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// listInterval is how often the platform's list is read. The list lags by
// seconds, so that reading it more often brings nothing.
const listInterval = time.Second

// New returns the fx application of an entry instance.
func New(entry settings.Entry, logger *slog.Logger) *fx.App {
	return fx.New(
		fx.Supply(entry, logger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(entry.ShutdownDeadline()),
		fx.Provide(
			metrics.New,
			newLister,
			newCaller,
			newFileConfiguration,
			func() *Servers { return &Servers{} },
			func(s *Servers) Picker { return s },
			func(c *fileConfiguration) ConfigurationSource { return c },
			func(caller backend.Caller, picker Picker) *Executor {
				return &Executor{Caller: caller, Picker: picker, Now: time.Now}
			},
			func(c ConfigurationSource, e *Executor) *Handler {
				return &Handler{Configuration: c, Executor: e, Now: time.Now}
			},
		),
		fx.Invoke(refreshServers, serveAdmin, serveCallers),
	)
}

func newLister(entry settings.Entry) platform.Lister {
	return &platform.HTTPLister{Client: &http.Client{Timeout: listInterval}, Address: entry.PlatformAddress}
}

func newCaller() backend.Caller {
	return backend.NewHTTPCaller(backend.NewTransport())
}

// fileConfiguration is a configuration read from a folder at start.
type fileConfiguration struct {
	set atomic.Pointer[pipeline.Set]
}

func newFileConfiguration(entry settings.Entry) (*fileConfiguration, error) {
	set, err := pipeline.Collect(os.DirFS(entry.PipelineFiles))
	if err != nil {
		return nil, err
	}
	c := &fileConfiguration{}
	c.set.Store(set)
	return c, nil
}

func (c *fileConfiguration) Current() *pipeline.Set {
	return c.set.Load()
}

// refreshServers reads the instance list until the daemon stops.
func refreshServers(lc fx.Lifecycle, lister platform.Lister, servers *Servers, logger *slog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	refresh := func() {
		members, err := lister.List(ctx)
		if err != nil {
			events.ListUnavailable.Log(ctx, logger, slog.Any("error", err))
			return
		}
		servers.Update(members)
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			refresh()
			go every(ctx, listInterval, refresh)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// serveCallers listens for callers and finishes running requests on stop.
func serveCallers(lc fx.Lifecycle, entry settings.Entry, handler *Handler, logger *slog.Logger) {
	server := &http.Server{Handler: handler.Router(), ReadHeaderTimeout: 5 * time.Second}
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			events.EntryStarted.Log(ctx, logger, slog.String("instance", entry.Instance), slog.String("address", entry.CallerAddress))
			return listenAndServe(ctx, server, entry.CallerAddress)
		},
		OnStop: server.Shutdown,
	})
}

// serveAdmin serves health, readiness and metrics.
func serveAdmin(lc fx.Lifecycle, entry settings.Entry, m *metrics.Metrics) {
	router := http.NewServeMux()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Handle("/metrics", m.Handler)
	server := &http.Server{Handler: router, ReadHeaderTimeout: 5 * time.Second}
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return listenAndServe(ctx, server, entry.AdminAddress) },
		OnStop: func(ctx context.Context) error {
			return errors.Join(server.Shutdown(ctx), m.Close())
		},
	})
}

// listenAndServe binds the address before it returns, so that a taken address
// fails the start.
func listenAndServe(ctx context.Context, server *http.Server, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	go func() { _ = server.Serve(listener) }()
	return nil
}
