package order

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// maxPoolShare is the largest part of a pool that loads at the same time, so
// that a change of models leaves most of the pool serving at full speed.
const maxPoolShare = 0.25

// Config bounds a reconciler.
type Config struct {
	// LoadsPerMinute is the failure domain's part of the weight store's rate; 0
	// means no limit.
	LoadsPerMinute float64
	// LoadBurst is how many loads may start at once; at least 1.
	LoadBurst int
}

// pending is an order that was sent and whose effect has not been seen.
type pending struct {
	order       Order
	incarnation int64
	// until is when the order can no longer start.
	until time.Time
}

// Reconciler compares wanted and observed engine states. It is not safe for
// concurrent use.
type Reconciler struct {
	loads    *rate.Limiter
	wanted   map[string]Desired
	observed map[string]Observed
	pending  map[string]pending
	// sequence numbers the orders of one leadership.
	sequence int64
	fencing  int64
}

// NewReconciler returns a reconciler that wants nothing.
func NewReconciler(config Config) *Reconciler {
	return &Reconciler{
		loads:    rate.NewLimiter(loadLimit(config.LoadsPerMinute), max(1, config.LoadBurst)),
		wanted:   map[string]Desired{},
		observed: map[string]Observed{},
		pending:  map[string]pending{},
	}
}

// SetLoadRate changes the rate of loads, for example when the number of failure
// domains that share the weight store changes.
func (r *Reconciler) SetLoadRate(now time.Time, perMinute float64) {
	r.loads.SetLimitAt(now, loadLimit(perMinute))
}

// loadLimit converts loads per minute to the limiter's unit.
func loadLimit(perMinute float64) rate.Limit {
	if perMinute == 0 {
		return rate.Inf
	}
	return rate.Limit(perMinute / time.Minute.Seconds())
}

// SetDesired replaces the wanted states.
func (r *Reconciler) SetDesired(wanted []Desired) {
	r.wanted = make(map[string]Desired, len(wanted))
	for _, w := range wanted {
		r.wanted[w.Server] = w
	}
	for server := range r.observed {
		if _, ok := r.wanted[server]; !ok {
			delete(r.observed, server)
			delete(r.pending, server)
		}
	}
}

// Observe takes an engine's report. An order is settled when its effect is
// visible, or when the engine restarted and forgot it.
func (r *Reconciler) Observe(o Observed) {
	if _, ok := r.wanted[o.Server]; !ok {
		return
	}
	r.observed[o.Server] = o
	sent, ok := r.pending[o.Server]
	if ok && (o.Incarnation != sent.incarnation || inEffect(sent.order, o)) {
		delete(r.pending, o.Server)
	}
}

// Converged reports whether an engine was seen in its wanted state with no order
// under way.
func (r *Reconciler) Converged(server string) bool {
	w, wanted := r.wanted[server]
	o, observed := r.observed[server]
	if !wanted || !observed || o.Loading {
		return false
	}
	_, busy := r.pending[server]
	_, _, differs := difference(w, o)
	return !busy && !differs
}

// MarkRefused settles an order that the engine refused to carry out.
func (r *Reconciler) MarkRefused(order Order) {
	if sent, ok := r.pending[order.Server]; ok && sent.order.ID == order.ID {
		delete(r.pending, order.Server)
	}
}

// inEffect reports whether the engine's state shows the order's effect.
func inEffect(order Order, o Observed) bool {
	switch order.Action {
	case ActionLoad:
		return slices.Contains(o.Models, order.Target)
	case ActionUnload:
		return !slices.Contains(o.Models, order.Target)
	default:
		return o.Role == order.Target
	}
}

// Step returns the orders to send now, at most one per engine, in the order of
// the servers' names.
func (r *Reconciler) Step(now time.Time, leadership Leadership) []Order {
	r.newLeadership(leadership)
	r.expire(now)
	var orders []Order
	for _, server := range r.servers() {
		w := r.wanted[server]
		if !leadership.MaySendOrder(now, w.FencesOrders) {
			continue
		}
		if order, ok := r.next(now, w); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// newLeadership forgets the orders of an earlier leadership.
func (r *Reconciler) newLeadership(leadership Leadership) {
	if leadership.FencingToken == r.fencing {
		return
	}
	r.fencing = leadership.FencingToken
	r.sequence = 0
	clear(r.pending)
}

// expire forgets orders that can no longer start, unless the engine still loads.
func (r *Reconciler) expire(now time.Time) {
	for server, sent := range r.pending {
		if now.After(sent.until) && !r.observed[server].Loading {
			delete(r.pending, server)
		}
	}
}

func (r *Reconciler) servers() []string {
	servers := make([]string, 0, len(r.wanted))
	for server := range r.wanted {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return servers
}

// next returns the order that an engine needs, if it may be sent now.
func (r *Reconciler) next(now time.Time, w Desired) (Order, bool) {
	o, known := r.observed[w.Server]
	_, busy := r.pending[w.Server]
	if !known || busy || o.Loading {
		return Order{}, false
	}
	action, target, ok := difference(w, o)
	if !ok {
		return Order{}, false
	}
	if action == ActionLoad && !r.mayLoad(now, w.Pool) {
		return Order{}, false
	}
	return r.send(now, w, o, action, target), true
}

// difference returns the first correction an engine needs. Loads come before
// unloads, so that a change of version leaves no time without either.
func difference(w Desired, o Observed) (Action, string, bool) {
	if w.Role != "" && w.Role != o.Role {
		return ActionRole, w.Role, true
	}
	for _, model := range w.Models {
		if !slices.Contains(o.Models, model) {
			return ActionLoad, model, true
		}
	}
	for _, model := range o.Models {
		if !slices.Contains(w.Models, model) {
			return ActionUnload, model, true
		}
	}
	return "", "", false
}

// mayLoad takes a token of the weight store's rate when the pool may have one
// more engine that loads.
func (r *Reconciler) mayLoad(now time.Time, pool string) bool {
	size, loading := r.poolLoad(pool)
	if float64(loading+1) > max(1, maxPoolShare*float64(size)) {
		return false
	}
	return r.loads.AllowN(now, 1)
}

func (r *Reconciler) poolLoad(pool string) (size, loading int) {
	for server, w := range r.wanted {
		if w.Pool != pool {
			continue
		}
		size++
		sent, busy := r.pending[server]
		if r.observed[server].Loading || busy && sent.order.Action == ActionLoad {
			loading++
		}
	}
	return size, loading
}

func (r *Reconciler) send(now time.Time, w Desired, o Observed, action Action, target string) Order {
	r.sequence++
	order := Order{
		ID:           fmt.Sprintf("%d-%d", r.fencing, r.sequence),
		Server:       w.Server,
		Address:      w.Address,
		Action:       action,
		Target:       target,
		FencingToken: r.fencing,
		TTL:          OrderTTL,
	}
	r.pending[w.Server] = pending{order: order, incarnation: o.Incarnation, until: now.Add(OrderTTL)}
	return order
}
