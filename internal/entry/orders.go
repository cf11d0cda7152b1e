package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/orders"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
	"github.com/coltsfootdrift/coltsfootdrift/order"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

// engineTimeout limits a call to the control interface of a model engine.
const engineTimeout = time.Second

// ordersParams are the dependencies of runOrders.
type ordersParams struct {
	fx.In
	Entry         settings.Entry
	Access        *StoreAccess
	Members       *Members
	Servers       *Servers
	Configuration ConfigurationSource
	Steps         *StopSteps
	Status        *statuspage.Status
	Logger        *slog.Logger
}

// ordersStatus is the section "orders" of the status.
type ordersStatus struct {
	Leads bool `json:"leads"`
	// Fencing is the fencing token that the orders of this instance carry; 0 while
	// it is not the leader.
	Fencing int64 `json:"fencing"`
}

// runOrders takes part in the leader election of the failure domain, and sends
// orders to model engines while this instance is the leader.
func runOrders(lc fx.Lifecycle, p ordersParams) {
	if p.Access.Store == nil {
		return
	}
	election := orders.NewElection(p.Access.Store, p.Entry.FailureDomain, p.Entry.Instance, p.candidate, clock.Boot{}.Now, p.Logger)
	loop := &orders.Loop{
		Leader:   election,
		Engines:  &backend.HTTPEngines{Client: answerhead.NewClient(engineTimeout)},
		Desired:  p.desiredStates,
		LoadRate: p.loadRate,
		BootTime: clock.Boot{}.Now,
		Logger:   p.Logger,
	}
	p.Status.Add("orders", func() any {
		leadership := election.Leadership(clock.Boot{}.Now())
		return ordersStatus{leadership.Held, leadership.FencingToken}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.Steps.Add(StopStep{StopLeases, "leadership", func(ctx context.Context) error {
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

// candidate reports whether this instance should become the leader when there is
// none. Rendezvous hashing selects one of the live members.
func (p ordersParams) candidate() bool {
	return rendezvous.Choose("leader", p.Members.Live()) == p.Entry.Instance
}

// desiredStates returns the desired states of the model engines in the failure domain.
func (p ordersParams) desiredStates() []order.Desired {
	set := p.Configuration.Current()
	if set == nil {
		return nil
	}
	var desired []order.Desired
	for _, server := range p.Servers.InFailureDomain(p.Entry.FailureDomain) {
		pool, ok := set.Pool(server.Pool)
		// Engines of a pool without configured models keep the models they have.
		if !ok || pool.Type != pipeline.StageGenerate || len(pool.Models) == 0 {
			continue
		}
		desired = append(desired, order.Desired{
			Server: server.ID, Address: server.Address, Pool: pool.Name, Models: pool.Models, FencesOrders: pool.FencesOrders,
		})
	}
	return desired
}

// loadRate returns this failure domain's part of the rate of the weight store, in
// loads per minute. Each failure domain has an equal part, and those without a
// leader leave theirs unused. This keeps the sum within the rate without any
// coordination.
func (p ordersParams) loadRate() float64 {
	set := p.Configuration.Current()
	if set == nil {
		return 0
	}
	domains := 0
	for _, region := range set.Deployment.Regions {
		domains += len(region.FailureDomains)
	}
	return set.Deployment.WeightLoadsPerMinute / float64(max(1, domains))
}
