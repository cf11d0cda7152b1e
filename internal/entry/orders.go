package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/orders"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/order"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

// engineTimeout bounds a call to an engine's control interface.
const engineTimeout = time.Second

// orderService is what runOrders starts and stops.
type orderService struct {
	fx.In
	Entry         settings.Entry
	Access        *StoreAccess
	Members       *Members
	Servers       *Servers
	Configuration ConfigurationSource
	Steps         *StopSteps
	Status        *Status
	Logger        *slog.Logger
}

// ordersStatus is the section "orders" of the status.
type ordersStatus struct {
	Leads bool `json:"leads"`
	// Fencing is the number that this instance's orders carry, 0 without leadership.
	Fencing int64 `json:"fencing"`
}

// runOrders takes part in the election of the failure domain's leader, and sends
// orders to model engines while this instance leads.
func runOrders(lc fx.Lifecycle, s orderService) {
	if s.Access.Store == nil {
		return
	}
	election := orders.NewElection(s.Access.Store, s.Entry.FailureDomain, s.Entry.Instance, s.candidate, clock.Boot{}.Now, s.Logger)
	loop := &orders.Loop{
		Leader:   election,
		Engines:  &backend.HTTPEngines{Client: &http.Client{Timeout: engineTimeout}},
		Desired:  s.wanted,
		LoadRate: s.loadRate,
		Now:      clock.Boot{}.Now,
		Logger:   s.Logger,
	}
	s.Status.Add("orders", func() any {
		leadership := election.Leadership(clock.Boot{}.Now())
		return ordersStatus{leadership.Held, leadership.Fencing}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	s.Steps.Add(StopStep{StopLeases, "leadership", func(ctx context.Context) error {
		cancel()
		running.Wait()
		election.Resign(ctx)
		return nil
	}})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { election.Run(ctx) })
			running.Go(func() { loop.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}

// candidate reports whether this instance should lead when nobody does.
func (s orderService) candidate() bool {
	return rendezvous.Choose("leader", s.Members.Live()) == s.Entry.Instance
}

// wanted returns the wanted states of the failure domain's model engines.
func (s orderService) wanted() []order.Wanted {
	set := s.Configuration.Current()
	if set == nil {
		return nil
	}
	var wanted []order.Wanted
	for _, server := range s.Servers.InDomain(s.Entry.FailureDomain) {
		pool, ok := set.Pool(server.Pool)
		// Engines of a pool that names no models keep what they have.
		if !ok || pool.Type != pipeline.StageGenerate || len(pool.Models) == 0 {
			continue
		}
		wanted = append(wanted, order.Wanted{
			Server: server.ID, Address: server.Address, Pool: pool.Name, Models: pool.Models, FencesOrders: pool.FencesOrders,
		})
	}
	return wanted
}

// loadRate is this failure domain's part of the weight store's rate. Domains
// without a leader leave their part unused, which keeps the sum within the rate
// without any exchange.
func (s orderService) loadRate() float64 {
	set := s.Configuration.Current()
	if set == nil {
		return 0
	}
	domains := 0
	for _, region := range set.Deployment.Regions {
		domains += len(region.FailureDomains)
	}
	return set.Deployment.WeightLoadsPerMinute / float64(max(1, domains))
}
