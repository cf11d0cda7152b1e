package orders

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/leases"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/order"
)

// leaderPrefix starts the store keys of leaderships; the failure domain follows.
const leaderPrefix = "leader/"

// Election keeps the leadership of a failure domain under a store lease.
type Election struct {
	keeper *leases.Manager
}

// NewElection returns an instance's part in the election of its failure domain.
// candidate reports whether this instance should lead when nobody does; only one
// instance of a failure domain asks the store as long as their views agree.
func NewElection(s store.Store, failureDomain, instance string, candidate func() bool, boot func() time.Time, logger *slog.Logger) *Election {
	return &Election{keeper: leases.New(leases.Config{
		Store:     s,
		Key:       leaderPrefix + failureDomain,
		Instance:  instance,
		Exclusive: true,
		Wanted:    candidate,
		BootTime:  boot,
		HeldEvent: events.LeadershipTaken,
		LostEvent: events.LeadershipLost,
		Log:       logger,
	})}
}

// Work takes part in the election until ctx ends.
func (e *Election) Run(ctx context.Context) { e.keeper.Run(ctx) }

// Resign gives up the leadership.
func (e *Election) Resign(ctx context.Context) { e.keeper.Revoke(ctx) }

// Leadership implements Leader. The keeper and order.Leadership both leave a
// margin before the end of the lease; the earlier one counts.
func (e *Election) Leadership(time.Time) order.Leadership {
	holding := e.keeper.State()
	return order.Leadership{
		Held: holding.FencingToken != 0, Fencing: holding.FencingToken, Since: holding.Since, Until: holding.Expires,
	}
}
