// Package orders is the control loop of a failure domain's leader: it reads what
// each model engine has loaded and sends the orders that package order decides on.
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

// Period is the time between two comparisons of wanted and observed states.
const ReconcileInterval = 2 * time.Second

// SettledPeriods is the number of periods in which each engine that has its
// wanted state is read once. Reading 117 engines in each period would take
// 16 KB/s, four times what an instance may use for control.
const SettledPeriods = 10

// callTimeout bounds one call to an engine. It is shorter than order.OrderLife,
// so that an order that arrives at all arrives before the next leader's wait ends.
const callTimeout = time.Second

// maxCalls bounds the calls to engines that are under way at once.
const maxCalls = 16

// Leader tells whether this instance leads its failure domain.
type Leader interface {
	Leadership(now time.Time) order.Leadership
}

// Loop compares and corrects engine states while this instance leads.
type Loop struct {
	Leader  Leader
	Engines backend.Engines
	// Wanted returns the wanted states of the failure domain's engines.
	Wanted func() []order.Wanted
	// LoadRate returns this failure domain's part of the weight store's rate, in
	// loads per minute.
	LoadRate func() float64
	// Now reads the boot-time clock.
	Now    func() time.Time
	Logger *slog.Logger

	reconciler *order.Reconciler
	wasLeader  bool
	// period numbers the comparisons.
	period int
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

// Step makes one comparison and sends the orders that it gives.
func (l *Loop) Step(ctx context.Context) {
	if !l.lead() {
		return
	}
	wanted := l.Wanted()
	l.reconciler.Want(wanted)
	l.reconciler.SetLoadRate(l.Now(), l.LoadRate())
	for _, observed := range l.observe(ctx, l.due(wanted)) {
		l.reconciler.Observe(observed)
	}
	// The leadership is read after the engines, because reading them takes time.
	now := l.Now()
	l.send(ctx, l.reconciler.Step(now, l.Leader.Leadership(now)))
}

// lead reports whether this instance leads, and starts a reconciler when it begins to.
func (l *Loop) lead() bool {
	leadership := l.Leader.Leadership(l.Now())
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

// due returns the engines to read in this period: those that are not settled, and
// a part of the others in turn.
func (l *Loop) due(wanted []order.Wanted) []order.Wanted {
	l.period++
	var due []order.Wanted
	for i, w := range wanted {
		if (i+l.period)%SettledPeriods == 0 || !l.reconciler.Settled(w.Server) {
			due = append(due, w)
		}
	}
	return due
}

// observe reads the states of engines. One that can't be read is left out.
func (l *Loop) observe(ctx context.Context, wanted []order.Wanted) []order.Observed {
	states := make([]*order.Observed, len(wanted))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, w := range wanted {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			observed, err := l.Engines.State(ctx, w.Server, w.Address)
			if err != nil {
				events.EngineStateUnavailable.Log(ctx, l.Logger, slog.String("server", w.Server), slog.Any("error", err))
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

// send sends the orders at once, each only while the leadership still allows it.
func (l *Loop) send(ctx context.Context, orders []order.Order) {
	refused := make([]bool, len(orders))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, o := range orders {
		group.Go(func() error {
			refused[i] = errors.Is(l.sendOne(ctx, o), backend.ErrOrderRefused)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for i, o := range orders {
		if refused[i] {
			l.reconciler.Refused(o)
		}
	}
}

func (l *Loop) sendOne(ctx context.Context, o order.Order) error {
	now := l.Now()
	leadership := l.Leader.Leadership(now)
	if leadership.Fencing != o.Fencing || !leadership.MayOrder(now, true) {
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
