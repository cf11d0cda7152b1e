// Package orders is the control loop of the leader of a failure domain: it reads the
// state of each model engine and sends the orders that package order returns.
package orders

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/order"
)

// ReconcileInterval is the time between two comparisons of the desired and the
// observed states, which is one period.
const ReconcileInterval = 2 * time.Second

// ConvergedReadPeriods is the number of periods in which each engine that has its
// desired state is read once. Reading 117 engines in each period would take 16 KB/s,
// four times the bandwidth that an instance may use for control.
const ConvergedReadPeriods = 10

// callTimeout limits one call to an engine. It is shorter than order.OrderTTL, so
// that an order that arrives at all arrives before the next leader stops waiting.
const callTimeout = time.Second

// maxConcurrentCalls limits the concurrent calls to engines.
const maxConcurrentCalls = 16

// Leader reports whether this instance leads its failure domain.
type Leader interface {
	Leadership(now time.Time) order.Leadership
}

// Loop is the control loop. It compares and corrects the states of the engines while
// this instance is the leader.
type Loop struct {
	Leader  Leader
	Engines backend.Engines
	// Desired returns the desired states of the failure domain's engines.
	Desired func() []order.Desired
	// LoadRate returns this failure domain's share of the weight store's rate limit,
	// in loads per minute.
	LoadRate func() float64
	// BootTime reads the boot-time clock.
	BootTime func() time.Time
	Logger   *slog.Logger

	reconciler *order.Reconciler
	wasLeader  bool
	// periods counts the comparisons.
	periods int
}

// Run runs the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(ReconcileInterval)
	defer ticker.Stop()
	for {
		l.Step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Step makes one comparison and sends the resulting orders.
func (l *Loop) Step(ctx context.Context) {
	if !l.isLeader() {
		return
	}
	desired := l.Desired()
	l.reconciler.SetDesired(desired)
	l.reconciler.SetLoadRate(l.BootTime(), l.LoadRate())
	for _, observed := range l.readStates(ctx, l.enginesToRead(desired)) {
		l.reconciler.Observe(observed)
	}
	// The leadership is checked after the reads, because they take time in which the
	// lease may expire.
	now := l.BootTime()
	l.sendOrders(ctx, l.reconciler.Step(now, l.Leader.Leadership(now)))
}

// isLeader reports whether this instance is the leader. When it becomes the leader,
// isLeader creates a new reconciler.
func (l *Loop) isLeader() bool {
	leadership := l.Leader.Leadership(l.BootTime())
	if leadership.Held == l.wasLeader {
		return leadership.Held
	}
	l.wasLeader = leadership.Held
	if !leadership.Held {
		return false
	}
	l.reconciler = order.NewReconciler(order.Config{LoadsPerMinute: l.LoadRate(), LoadBurst: 1})
	return true
}

// enginesToRead returns the engines to read in this period: those that do not have
// their desired state, and a part of the others in turn.
func (l *Loop) enginesToRead(desired []order.Desired) []order.Desired {
	l.periods++
	var due []order.Desired
	for i, d := range desired {
		if (i+l.periods)%ConvergedReadPeriods == 0 || !l.reconciler.Converged(d.Server) {
			due = append(due, d)
		}
	}
	return due
}

// readStates reads the states of engines and leaves out those that can't be read.
func (l *Loop) readStates(ctx context.Context, desired []order.Desired) []order.Observed {
	states := make([]*order.Observed, len(desired))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, d := range desired {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			observed, err := l.Engines.State(ctx, d.Server, d.Address)
			if err != nil {
				events.EngineStateUnavailable.Log(ctx, l.Logger, slog.String("server", d.Server), slog.Any("error", err))
				return nil
			}
			states[i] = &observed
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	var observed []order.Observed
	for _, state := range states {
		if state != nil {
			observed = append(observed, *state)
		}
	}
	return observed
}

// sendOrders sends the orders concurrently, each only if the leadership still allows
// it.
func (l *Loop) sendOrders(ctx context.Context, orders []order.Order) {
	refused := make([]bool, len(orders))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, o := range orders {
		group.Go(func() error {
			refused[i] = errors.Is(l.sendOrder(ctx, o), backend.ErrOrderRefused)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for i, o := range orders {
		if refused[i] {
			l.reconciler.MarkRefused(o)
		}
	}
}

func (l *Loop) sendOrder(ctx context.Context, o order.Order) error {
	now := l.BootTime()
	leadership := l.Leader.Leadership(now)
	if leadership.FencingToken != o.FencingToken || !leadership.MaySendOrder(now, true) {
		return backend.ErrOrderRefused
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.Engines.Send(ctx, o)
	attrs := []slog.Attr{
		slog.String("server", o.Server), slog.String("order", o.ID),
		slog.String("action", string(o.Action)), slog.String("target", o.Target),
	}
	if err != nil {
		events.OrderFailed.Log(ctx, l.Logger, append(attrs, slog.Any("error", err))...)
		return err
	}
	events.OrderSent.Log(ctx, l.Logger, attrs...)
	return nil
}
