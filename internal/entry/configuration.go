package entry

import (
	"context"
	"io/fs"
	"log/slog"
	"os"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/configuration"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// firstWait is how long the start waits for a configuration. Without one the
// daemon still starts, and is not ready.
const firstWait = time.Second

// control provides configuration, membership and the status.
var control = fx.Options(
	fx.Provide(
		func() *Status { return &Status{} },
		newStoreAccess,
		newMembers,
		newGossip,
		peer.NewClient,
		func(m *Members) *peer.Server { return peer.NewServer(m.Node) },
		newLoader,
		func(l *configuration.Loader) ConfigurationSource { return l },
	),
	fx.Invoke(servePeers, runGossip, runLoader),
)

// StoreAccess is the way to the store within this instance's share of its rate.
type StoreAccess struct {
	// Store is nil for an instance without a store.
	Store  store.Store
	budget *store.Budgeted
}

func newStoreAccess(entry settings.Entry, m *metrics.Metrics) *StoreAccess {
	if entry.StoreAddress == "" {
		return &StoreAccess{}
	}
	budget := quota.NewStoreBudget(quota.DefaultStoreLimits, 1, time.Now())
	budgeted := store.NewBudgeted(store.NewHTTP(entry.StoreAddress), budget, time.Now, m.Scope)
	return &StoreAccess{Store: budgeted, budget: budgeted}
}

// setInstances sets the number of live instances that share the store's rate.
func (a *StoreAccess) setInstances(n int) {
	if a.budget != nil {
		a.budget.SetInstances(n)
	}
}

func newLoader(entry settings.Entry, access *StoreAccess, members *Members, client *peer.Client, logger *slog.Logger) *configuration.Loader {
	var files fs.FS
	if entry.PipelineFiles != "" {
		files = os.DirFS(entry.PipelineFiles)
	}
	return configuration.NewLoader(configuration.Options{
		Store: access.Store, Peers: client, Members: members, Files: files, Logger: logger, Times: configuration.DefaultTimes,
	})
}

// configurationStatus is the section "configuration" of the status.
type configurationStatus struct {
	// Revision is 0 for the pipeline files of the settings.
	Revision int64 `json:"revision"`
	InForce  bool  `json:"in_force"`
	Watching bool  `json:"watching"`
}

// runLoader keeps the configuration in force and serves it to peers.
func runLoader(lc fx.Lifecycle, loader *configuration.Loader, members *Members, server *peer.Server, access *StoreAccess, status *Status) {
	server.HandleConfiguration(loader)
	status.Add("configuration", func() any {
		return configurationStatus{loader.Revision(), loader.Current() != nil, loader.Watching()}
	})
	if members.Node != nil {
		members.Node.Observe(func(output membership.Output) {
			switch output.(type) {
			case membership.NewRevision:
				loader.Wake()
			case membership.MemberChanged:
				access.setInstances(members.Instances())
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			running.Go(func() { loader.Run(ctx) })
			waitForFirst(start, loader)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}

// waitForFirst waits a moment for a configuration.
func waitForFirst(ctx context.Context, loader *configuration.Loader) {
	ctx, cancel := context.WithTimeout(ctx, firstWait)
	defer cancel()
	select {
	case <-loader.Loaded():
	case <-ctx.Done():
	}
}
