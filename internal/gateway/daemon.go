package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/readiness"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// Store is a client of the platform's store.
type Store interface {
	RegistrationStore
	view.Source
}

// Adapter translates between the platform's protocols and this package.
type Adapter struct {
	Protocol Protocol
	// Store returns a client of the store at an address.
	Store func(address string) Store
}

const (
	// closeIdleInterval is how often idle connections to backend servers are closed.
	closeIdleInterval = time.Second
	// limitExpiryInterval is how often limits of servers that are no longer in use are
	// dropped.
	limitExpiryInterval = time.Second
	// budgetShareInterval is how often the retry budgets are divided anew.
	budgetShareInterval = time.Second
	// settingsPollInterval is how often the settings file is checked, as it may change
	// without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// leaveTimeout bounds the calls that announce a shutdown to the other instances.
	leaveTimeout = 500 * time.Millisecond
)

// daemon holds the components of the process.
type daemon struct {
	fx.In
	Settings   settings.Gateway
	Logger     *slog.Logger
	Metrics    *metrics.Metrics
	Node       *peer.Node
	PeerServer *peer.Server
	Cluster    *Cluster
	Views      *view.Sync
	Servers    *Servers
	Upstream   *upstream.Client
	Client     *ServerClient
	Scheduler  *StageScheduler
	Placer     *Placer
	Quarantine *Quarantines
	Permits    *Permits
	Regions    *RegionBindings
	Evacuation *Evacuations
	Gateway    *Gateway
	Frontend   *Frontend
	Doors      *doorSet
	Drain      *Drain
	Readiness  *readiness.Readiness
}

// module provides the components of a gateway.
func module(s settings.Gateway, adapter Adapter, logger *slog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(s, logger),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(
			metrics.New,
			func(d *doorSet) *peer.Client { return peer.NewClient(d.answers) },
			peer.NewServer,
			NewCluster,
			NewServers,
			func(c *Cluster, client *peer.Client, local *StageScheduler, m *metrics.Metrics) *StageRunner {
				return NewStageRunner(c, client, local, logger, m.Scope)
			},
			func(c *Cluster, peerClient *peer.Client, servers *Servers, client *ServerClient, protocol Protocol, q *Quarantines, m *metrics.Metrics) *Placer {
				return NewPlacer(c, peerClient, servers, client, protocol, q, logger, m.Scope)
			},
			NewRegionBindings,
			func(m *metrics.Metrics) *Quarantines { return NewQuarantines(logger, m.Scope) },
			func() Protocol { return adapter.Protocol },
			func() Store { return adapter.Store(s.StoreAddress) },
			func(st Store) RegistrationStore { return st },
			func(d *doorSet, m *metrics.Metrics) *upstream.Client { return upstream.NewClient(d.answers, m.Scope) },
			func(m *metrics.Metrics) (*peer.Node, error) { return newNode(s, m, logger) },
			func(st Store, c *Cluster, m *metrics.Metrics) *view.Sync {
				views := view.NewSync(st, c, adapter.Protocol, logger, m.Scope)
				if heartbeat := s.ServerHeartbeat(); heartbeat > 0 {
					views.SetServerHeartbeat(heartbeat)
				}
				if s.FirstStart {
					views.AllowStaleStart()
				}
				return views
			},
			func(c *Cluster, client *peer.Client, views *view.Sync, m *metrics.Metrics) *Permits {
				return NewPermits(s, c, client, views, logger, m.Scope)
			},
			func(views *view.Sync, m *metrics.Metrics) *Evacuations { return NewEvacuations(views, logger, m.Scope) },
			func(upstreamClient *upstream.Client, permits *Permits, evacuations *Evacuations, views *view.Sync, c *Cluster, m *metrics.Metrics) *ServerClient {
				return NewServerClient(upstreamClient, adapter.Protocol, permits, evacuations, markLeaving(views, c, logger), logger, m.Scope)
			},
			func(client *ServerClient, views *view.Sync) *ResultFreer {
				return NewResultFreer(adapter.Protocol, client, registeredProducer(views.Current), logger)
			},
			func(client *ServerClient, servers *Servers, freer *ResultFreer, m *metrics.Metrics) *StageScheduler {
				return NewStageScheduler(adapter.Protocol, client, servers, freer, logger, m.Scope)
			},
			func(m *metrics.Metrics) *doorSet { return newDoorSet(s, logger, m.Scope) },
			func(views *view.Sync, servers *Servers, client *ServerClient, stages *StageRunner, placer *Placer, d *doorSet, drain *Drain, m *metrics.Metrics) *Gateway {
				return New(adapter.Protocol, views, servers, client, stages, placer, d.clients, drain, logger, m.Scope)
			},
			func() *Drain { return NewDrain(s.Grace()) },
			func() *readiness.Readiness { return &readiness.Readiness{Logger: logger, Ready: events.GatewayReady} },
			func(g *Gateway, d *doorSet, drain *Drain) *Frontend { return NewFrontend(g, d.clients, drain, logger) },
		),
	)
}

// newNode returns the membership node of this instance. Its failure domain is the
// region, because the instances of a region share stage work.
func newNode(s settings.Gateway, m *metrics.Metrics, logger *slog.Logger) (*peer.Node, error) {
	identity := membership.Identity{
		ID: s.Instance, FailureDomain: s.Region, Address: s.PeerAddress,
		Incarnation: uint64(time.Now().Unix()), Capacity: s.Capacity(),
	}
	return peer.Listen(identity, logger, m.Scope)
}

// markLeaving returns a function that stops the use of a server that leaves, here and
// at the other instances.
func markLeaving(views *view.Sync, c *Cluster, logger *slog.Logger) func(upstream.Server) {
	return func(answered upstream.Server) {
		id := answered.ID
		server, listed := views.Current().ByID(id)
		if !listed || server.Draining || server.Incarnation != answered.Incarnation {
			return
		}
		events.ServerLeaving.Log(context.Background(), logger, slog.String("server", id), slog.Int64("incarnation", server.Incarnation))
		views.MarkLeaving(id, server.Incarnation)
		c.MarkLeaving(id, server.Incarnation)
	}
}

// registeredProducer returns a function that looks up the server that a producer is.
func registeredProducer(current func() *view.View) func(stagework.Producer) (upstream.Server, bool) {
	return func(p stagework.Producer) (upstream.Server, bool) {
		s, ok := producerOf(current(), p)
		return upstream.Server{ID: s.ID, Address: s.Address, Incarnation: s.Incarnation}, ok
	}
}

// Run runs a gateway until SIGTERM or SIGINT. Path is the settings file, which is
// reread on SIGHUP and when it changes.
func Run(path string, s settings.Gateway, adapter Adapter, logger *slog.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var d daemon
	app := fx.New(module(s, adapter, logger), fx.Invoke(func(built daemon) { d = built }))
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.start(ctx); err != nil {
		return err
	}
	watcher := newSettingsWatcher(path, s, logger)
	go clock.Every(ctx, settingsPollInterval, func() { watcher.check(false) })
	for received := range signals {
		if received != syscall.SIGHUP {
			d.stop(received.String())
			return nil
		}
		watcher.check(true)
	}
	return nil
}

// start opens the listeners and starts watching the store and the peers.
func (d *daemon) start(ctx context.Context) error {
	d.Views.Observe(d.Cluster.ObserveView)
	d.Views.Observe(d.Permits.ObserveView) // before the servers that need permits are chosen
	d.Views.Observe(d.Servers.Update)
	d.Views.Observe(d.Quarantine.ObserveView)
	d.Views.Observe(d.Regions.ObserveView)
	d.Views.Observe(d.Client.ObserveView)
	d.Views.Observe(d.Evacuation.ObserveView)
	d.Views.Observe(d.Scheduler.Update)
	d.Views.Observe(d.Frontend.Update)
	ObserveVersions(d.Node, d.Views)
	d.Readiness.Require("configuration", func() bool {
		v := d.Views.Current()
		return v != nil && v.Table != nil
	})
	d.PeerServer.HandleViews(d.Views)
	d.PeerServer.HandleStages(d.Scheduler)
	d.PeerServer.HandlePlacements(d.Placer)
	d.PeerServer.HandlePermits(d.Permits)
	d.PeerServer.HandleOwners(d.Cluster)
	if err := d.listen(ctx); err != nil {
		return err
	}
	go d.Node.Run(ctx)
	go d.Views.Run(ctx)
	go d.Cluster.Register(ctx)
	go clock.Every(ctx, restoreInterval, func() { d.Placer.Restore(ctx) })
	go clock.Every(ctx, limitExpiryInterval, d.Permits.Expire)
	go clock.Every(ctx, budgetShareInterval, d.Servers.ShareBudgets)
	go clock.Every(ctx, closeIdleInterval, func() { d.Upstream.CloseIdle(time.Now(), d.Servers.InUse) })
	events.GatewayStarted.Log(ctx, d.Logger, slog.String("instance", d.Settings.Instance), slog.String("region", d.Settings.Region),
		slog.String("failure_domain", d.Settings.FailureDomain), slog.String("address", d.Settings.ClientAddress))
	return nil
}

// ObserveVersions passes what other instances announce about the store to the views. It must
// be called before the node runs.
func ObserveVersions(node *peer.Node, views *view.Sync) {
	node.Observe(func(output membership.Output) {
		switch out := output.(type) {
		case membership.NewRevision:
			views.RecordAnnouncement(store.Version(out.Revision), out.Address)
		case membership.NewDrainMarker:
			if !out.Marker.Cleared {
				views.MarkLeaving(out.Marker.Server, out.Marker.Incarnation)
			}
		case membership.StoreContact:
			views.RecordStoreContact(view.StoreContact{Version: store.Version(out.Revision), Address: out.Address, Age: out.Age, Waited: out.Waited, Receiving: out.Receiving})
		}
	})
}

// statusPage returns what operators see of this instance.
func (d *daemon) statusPage() *statuspage.Status {
	page := &statuspage.Status{}
	page.Add("instance", func() any {
		return map[string]any{"id": d.Settings.Instance, "region": d.Settings.Region, "failure_domain": d.Settings.FailureDomain, "draining": d.Drain.Draining()}
	})
	page.Add("doors", d.Doors.status)
	page.Add("model_room", func() any { return d.Placer.Rooms() })
	page.Add("server_limits", func() any { return d.Permits.Limits() })
	page.Add("allowed_regions", func() any { return d.Regions.List() })
	page.Add("evacuations", func() any { return d.Evacuation.Status(d.Upstream.OpenConnections) })
	return page
}

func (d *daemon) listen(ctx context.Context) error {
	ready := mux.NewRouter()
	ready.Handle("/readyz", d.Readiness)
	metricsRouter := mux.NewRouter()
	metricsRouter.Handle("/metrics", d.Metrics.Handler)
	metricsRouter.Handle(statuspage.Path, d.statusPage())
	for _, service := range []struct {
		address string
		door    *doors.Door
		server  *http.Server
	}{
		{d.Settings.ReadyAddress, d.Doors.ready, doors.NewServiceServer(ready)},
		{d.Settings.MetricsAddress, d.Doors.metrics, doors.NewServiceServer(metricsRouter)},
		{d.Settings.PeerAddress, d.Doors.peers, d.Doors.peers.NewPeerServer(d.PeerServer.Handler())},
	} {
		if err := service.door.Start(ctx, service.server, service.address, d.Logger); err != nil {
			return err
		}
	}
	if err := d.Frontend.Listen(ctx, d.Settings.ClientAddress); err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	return nil
}

// stop withdraws readiness, serves the requests in flight and those that still arrive,
// and returns within the grace period.
func (d *daemon) stop(reason string) {
	ctx := context.Background()
	d.Readiness.Withdraw()
	d.Drain.Begin(time.Now())
	events.GatewayStopping.Log(ctx, d.Logger, slog.String("reason", reason), slog.Int64("running", d.Gateway.InFlight()))
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	d.Cluster.Leave(leaveCtx)
	cancel()
	d.Scheduler.HandOver()
	for !d.Drain.done(time.Now(), d.Gateway.InFlight()) {
		clock.Sleep(ctx, drainPollInterval)
	}
	if running := d.Gateway.InFlight(); running > 0 {
		events.GatewayCutOff.Log(ctx, d.Logger, slog.Int64("running", running))
	}
	d.Frontend.Close()
	events.GatewayStopped.Log(ctx, d.Logger, slog.Int64("open_connections", d.Drain.openConnections.Load()))
}
