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
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// firstConfigurationTimeout limits how long startup waits for a configuration.
// Without one the daemon still starts, but is not ready.
const firstConfigurationTimeout = time.Second

// controlOptions provides configuration, membership and the status page.
var controlOptions = fx.Options(
	fx.Provide(
		func() *statuspage.Status { return &statuspage.Status{} },
		newStoreAccess,
		newMembers,
		newGossip,
		func() *peer.Client { return peer.NewClient(nil) },
		func(m *Members) *peer.Server { return peer.NewServer(m.Node) },
		newLoader,
		func(l *configuration.Loader) ConfigurationSource { return l },
	),
	fx.Invoke(servePeers, runGossip, runLoader),
)

// StoreAccess is the client of the store. It is limited to this instance's share
// of the store's rate.
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

// setInstances sets the number of live instances among which the store's rate is
// divided.
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
	// Revision is 0 for a configuration read from the pipeline files that the
	// settings name.
	Revision int64 `json:"revision"`
	InForce  bool  `json:"in_force"`
	Watching bool  `json:"watching"`
}

// runLoader keeps the configuration up to date and serves it to peers.
func runLoader(lc fx.Lifecycle, loader *configuration.Loader, members *Members, server *peer.Server, access *StoreAccess, status *statuspage.Status) {
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
			waitForConfiguration(start, loader)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}

// waitForConfiguration waits for the first configuration, for at most
// firstConfigurationTimeout.
func waitForConfiguration(ctx context.Context, loader *configuration.Loader) {
	ctx, cancel := context.WithTimeout(ctx, firstConfigurationTimeout)
	defer cancel()
	select {
	case <-loader.Loaded():
	case <-ctx.Done():
	}
}
