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

// leaderPrefix is the prefix of the store keys of leaders; the name of the failure
// domain follows.
const leaderPrefix = "leader/"

// Election is an instance's part in the election of the leader of its failure domain.
// The leader holds a lease in the store.
type Election struct {
	lease *leases.Manager
}

// NewElection returns the election of a failure domain as seen by one instance.
// candidate reports whether this instance should become the leader if there is none.
// As long as the views of the instances agree, only one instance of a failure domain
// is a candidate and calls the store.
func NewElection(s store.Store, failureDomain, instance string, candidate func() bool, bootTime func() time.Time, logger *slog.Logger) *Election {
	return &Election{lease: leases.New(leases.Config{
		Store:     s,
		Key:       leaderPrefix + failureDomain,
		Instance:  instance,
		Exclusive: true,
		Wanted:    candidate,
		BootTime:  bootTime,
		HeldEvent: events.LeadershipAcquired,
		LostEvent: events.LeadershipLost,
		Log:       logger,
	})}
}

// Run takes part in the election until ctx ends.
func (e *Election) Run(ctx context.Context) { e.lease.Run(ctx) }

// Resign gives up the leadership.
func (e *Election) Resign(ctx context.Context) { e.lease.Revoke(ctx) }

// Leadership implements Leader. Both the lease manager and order.Leadership leave a
// margin before the lease expires; the longer one takes effect.
func (e *Election) Leadership(time.Time) order.Leadership {
	state := e.lease.State()
	return order.Leadership{
		Held: state.FencingToken != 0, FencingToken: state.FencingToken, Since: state.Since, Until: state.Expires,
	}
}
