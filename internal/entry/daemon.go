// Package entry implements the daemon of an entry instance; the other daemon is in
// package internal/gateway. It serves the caller API, runs requests through the
// stages of their pipelines on backend servers, and connects the packages that do no
// I/O (admission, claim, membership, quota, routing and others) to the network, the
// clock and the store.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/readiness"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

// listInterval is the time between two reads of the platform's instance list. The
// list lags by seconds, so reading it more often would bring no newer data.
const listInterval = time.Second

// headerTimeout limits how long a client may take to send its request headers.
const headerTimeout = 5 * time.Second

// New returns the fx application of an entry instance. The options may provide
// policies that are not built in, and add StopSteps and readiness conditions.
func New(entry settings.Entry, logger *slog.Logger, options ...fx.Option) *fx.App {
	return fx.New(
		fx.Supply(entry, logger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(
			metrics.New,
			func() memorybudget.Plan { return doors.DivideMachine(entry.MemoryMB, entry.MaxDescriptors) },
			newLister,
			newInstanceListPoller,
			newCaller,
			newExecutor,
			newHandler,
			newServers,
			newAdmissionMetrics,
			newAdmissionControl,
			newLoadReader,
			func(logger *slog.Logger) *readiness.Readiness {
				return &readiness.Readiness{Logger: logger, Ready: events.EntryReady}
			},
			func() *StopSteps { return &StopSteps{} },
			newPicker,
			func(s *Servers) (HedgePolicy, StageBudgets) { return s, s },
			func(a *AdmissionControl) Admission { return a },
		),
		fx.Invoke(serveAdmin, runInstanceListPoller),
		controlOptions,
		claimsAndJobsOptions,
		fx.Options(options...),
		fx.Invoke(updateServersFromList, runAdmissionAndLoadPolling, runOrders, addStatusSections, serveCallers),
	)
}

// executorParams are the optional dependencies of the executor. NewExecutor
// documents the default of a missing one.
type executorParams struct {
	fx.In
	Budgets StageBudgets `optional:"true"`
	Hedges  HedgePolicy  `optional:"true"`
}

func newExecutor(entry settings.Entry, caller backend.Caller, picker Picker, p executorParams, m *metrics.Metrics, logger *slog.Logger) *Executor {
	e := NewExecutor(caller, picker, time.Now)
	e.Metrics = NewRequestMetrics(m.Scope, entry.Region)
	e.Logger = logger
	if p.Budgets != nil {
		e.Budgets = p.Budgets
	}
	if p.Hedges != nil {
		e.Hedges = p.Hedges
	}
	return e
}

// handlerParams are the optional dependencies of the handler. Handler documents
// its behaviour when one is missing.
type handlerParams struct {
	fx.In
	Admission Admission `optional:"true"`
	Claims    Claims    `optional:"true"`
	Jobs      Jobs      `optional:"true"`
}

func newHandler(c ConfigurationSource, e *Executor, p handlerParams) *Handler {
	return &Handler{Configuration: c, Executor: e, Admission: p.Admission, Claims: p.Claims, Jobs: p.Jobs, Now: time.Now}
}

func newLister(entry settings.Entry) platform.Lister {
	return &platform.HTTPLister{Client: answerhead.NewClient(listInterval), Address: entry.PlatformAddress}
}

func newCaller(plan memorybudget.Plan, status *statuspage.Status) backend.Caller {
	memory := answermemory.NewAccount(plan.StageAnswerBytes)
	status.Add("answers", func() any { return memory.Usage() })
	return backend.NewHTTPCaller(backend.NewTransport(), memory)
}

// updateServersFromList updates the backend servers at each read of the instance
// list.
func updateServersFromList(poller *InstanceListPoller, servers *Servers, configuration ConfigurationSource) {
	poller.Observe(func(members []platform.Member) { servers.Update(members, configuration.Current()) })
}

// callerServerParams are the dependencies of serveCallers.
type callerServerParams struct {
	fx.In
	Entry     settings.Entry
	Handler   *Handler
	Readiness *readiness.Readiness
	Steps     *StopSteps
	Logger    *slog.Logger
	Plan      memorybudget.Plan
	Metrics   *metrics.Metrics
	Status    *statuspage.Status
}

// serveCallers listens for callers after all other parts have started. Since fx
// runs stop hooks in reverse order, its stop hook runs the shutdown steps before
// any other part stops.
func serveCallers(lc fx.Lifecycle, p callerServerParams) {
	server := &http.Server{Handler: p.Handler.Router(), ReadHeaderTimeout: headerTimeout, DisableGeneralOptionsHandler: true}
	door := doors.New("callers", p.Plan.Clients, p.Logger, p.Metrics.Scope)
	p.Status.Add("callers", func() any { return door.Usage() })
	var listening atomic.Bool
	p.Readiness.Require("start", listening.Load)
	p.Readiness.Require("configuration", func() bool { return p.Handler.Configuration.Current() != nil })
	p.Steps.Add(StopStep{StopReadiness, "readiness", func(ctx context.Context) error {
		p.Readiness.Withdraw()
		p.Handler.Drain()
		clock.Sleep(ctx, p.Entry.DrainGrace())
		return nil
	}})
	p.Steps.Add(StopStep{StopCallers, "callers", server.Shutdown})
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := door.Start(ctx, server, p.Entry.CallerAddress, p.Logger); err != nil {
				return err
			}
			listening.Store(true)
			events.EntryStarted.Log(ctx, p.Logger, slog.String("instance", p.Entry.Instance), slog.String("address", p.Entry.CallerAddress))
			return nil
		},
		OnStop: func(ctx context.Context) error {
			p.Steps.run(ctx, p.Logger)
			return nil
		},
	})
}

// serveAdmin serves health, readiness, metrics and the status. It starts first and
// stops last, so that readiness can be read throughout the shutdown.
func serveAdmin(lc fx.Lifecycle, entry settings.Entry, plan memorybudget.Plan, m *metrics.Metrics, ready *readiness.Readiness, status *statuspage.Status, logger *slog.Logger) {
	router := http.NewServeMux()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Handle("/readyz", ready)
	router.Handle("/metrics", m.Handler)
	router.Handle(statuspage.Path, status)
	server := doors.NewServiceServer(router)
	door := doors.New("admin", plan.Ready, logger, m.Scope)
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			return door.Start(ctx, server, entry.AdminAddress, logger)
		},
		OnStop: func(ctx context.Context) error {
			return errors.Join(server.Shutdown(ctx), m.Close())
		},
	})
}
