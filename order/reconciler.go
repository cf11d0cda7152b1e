package order

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// maxPoolShare is the largest share of a pool's engines that load at the same
// time, so that a change of models leaves most of the pool serving at full speed.
const maxPoolShare = 0.25

// Config limits the loads that a reconciler starts.
type Config struct {
	// LoadsPerMinute is the failure domain's share of the weight store's rate
	// limit; 0 means no limit.
	LoadsPerMinute float64
	// LoadBurst is the number of loads that may start at once; at least 1.
	LoadBurst int
}

// pendingOrder is an order that was sent and has not yet taken visible effect.
type pendingOrder struct {
	order       Order
	incarnation int64
	// expires is the time after which the engine no longer starts the order.
	expires time.Time
}

// Reconciler compares desired and observed engine states. It is not safe for
// concurrent use.
type Reconciler struct {
	loadLimiter *rate.Limiter
	desired     map[string]Desired
	observed    map[string]Observed
	pending     map[string]pendingOrder
	// sequence counts the orders of one leadership and is part of their IDs.
	sequence     int64
	fencingToken int64
}

// NewReconciler returns a reconciler without desired states.
func NewReconciler(config Config) *Reconciler {
	return &Reconciler{
		loadLimiter: rate.NewLimiter(loadLimit(config.LoadsPerMinute), max(1, config.LoadBurst)),
		desired:     map[string]Desired{},
		observed:    map[string]Observed{},
		pending:     map[string]pendingOrder{},
	}
}

// SetLoadRate sets the rate limit of loads in loads per minute. It changes, for
// example, with the number of failure domains that share the weight store.
func (r *Reconciler) SetLoadRate(now time.Time, perMinute float64) {
	r.loadLimiter.SetLimitAt(now, loadLimit(perMinute))
}

// loadLimit converts loads per minute to loads per second.
func loadLimit(perMinute float64) rate.Limit {
	if perMinute == 0 {
		return rate.Inf
	}
	return rate.Limit(perMinute / time.Minute.Seconds())
}

// SetDesired replaces the desired states.
func (r *Reconciler) SetDesired(desired []Desired) {
	r.desired = make(map[string]Desired, len(desired))
	for _, d := range desired {
		r.desired[d.Server] = d
	}
	for server := range r.observed {
		if _, ok := r.desired[server]; !ok {
			delete(r.observed, server)
			delete(r.pending, server)
		}
	}
}

// Observe records an engine's report. It removes the engine's pending order when
// the order has taken effect, or when the engine restarted and thus lost it.
func (r *Reconciler) Observe(o Observed) {
	if _, ok := r.desired[o.Server]; !ok {
		return
	}
	r.observed[o.Server] = o
	sent, ok := r.pending[o.Server]
	if ok && (o.Incarnation != sent.incarnation || hasTakenEffect(sent.order, o)) {
		delete(r.pending, o.Server)
	}
}

// Converged reports whether an engine was observed in its desired state and has no
// pending order.
func (r *Reconciler) Converged(server string) bool {
	d, isDesired := r.desired[server]
	o, isObserved := r.observed[server]
	if !isDesired || !isObserved || o.Loading {
		return false
	}
	_, busy := r.pending[server]
	_, _, needsCorrection := firstCorrection(d, o)
	return !busy && !needsCorrection
}

// MarkRefused removes a pending order that the engine refused to carry out.
func (r *Reconciler) MarkRefused(order Order) {
	if sent, ok := r.pending[order.Server]; ok && sent.order.ID == order.ID {
		delete(r.pending, order.Server)
	}
}

// hasTakenEffect reports whether the observed state shows the effect of an order.
func hasTakenEffect(order Order, o Observed) bool {
	switch order.Action {
	case ActionLoad:
		return slices.Contains(o.Models, order.Target)
	case ActionUnload:
		return !slices.Contains(o.Models, order.Target)
	default:
		return o.Role == order.Target
	}
}

// Step returns the orders to send now, at most one per engine, sorted by server
// name.
func (r *Reconciler) Step(now time.Time, leadership Leadership) []Order {
	r.resetOnNewLeader(leadership)
	r.dropExpired(now)
	var orders []Order
	for _, server := range r.sortedServers() {
		d := r.desired[server]
		if !leadership.MaySendOrder(now, d.FencesOrders) {
			continue
		}
		if order, ok := r.nextOrder(now, d); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// resetOnNewLeader drops the pending orders of an earlier leadership.
func (r *Reconciler) resetOnNewLeader(leadership Leadership) {
	if leadership.FencingToken == r.fencingToken {
		return
	}
	r.fencingToken = leadership.FencingToken
	r.sequence = 0
	clear(r.pending)
}

// dropExpired drops pending orders that can no longer start, unless the engine is
// still loading.
func (r *Reconciler) dropExpired(now time.Time) {
	for server, sent := range r.pending {
		if now.After(sent.expires) && !r.observed[server].Loading {
			delete(r.pending, server)
		}
	}
}

func (r *Reconciler) sortedServers() []string {
	servers := make([]string, 0, len(r.desired))
	for server := range r.desired {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return servers
}

// nextOrder returns the order that an engine needs, if one may be sent now.
func (r *Reconciler) nextOrder(now time.Time, d Desired) (Order, bool) {
	o, known := r.observed[d.Server]
	_, busy := r.pending[d.Server]
	if !known || busy || o.Loading {
		return Order{}, false
	}
	action, target, ok := firstCorrection(d, o)
	if !ok {
		return Order{}, false
	}
	if action == ActionLoad && !r.admitLoad(now, d.Pool) {
		return Order{}, false
	}
	return r.issue(now, d, o, action, target), true
}

// firstCorrection returns the first action, and its target, that an engine needs.
// Loads come before unloads, so that during a change of version the engine always
// has one of the two loaded.
func firstCorrection(d Desired, o Observed) (Action, string, bool) {
	if d.Role != "" && d.Role != o.Role {
		return ActionRole, d.Role, true
	}
	for _, model := range d.Models {
		if !slices.Contains(o.Models, model) {
			return ActionLoad, model, true
		}
	}
	for _, model := range o.Models {
		if !slices.Contains(d.Models, model) {
			return ActionUnload, model, true
		}
	}
	return "", "", false
}

// admitLoad reports whether one more engine of the pool may load now, and if so
// takes a token from the rate limit of the weight store.
func (r *Reconciler) admitLoad(now time.Time, pool string) bool {
	size, loading := r.countLoading(pool)
	if float64(loading+1) > max(1, maxPoolShare*float64(size)) {
		return false
	}
	return r.loadLimiter.AllowN(now, 1)
}

// countLoading returns the number of engines in a pool, and how many of them are
// loading or have a pending load.
func (r *Reconciler) countLoading(pool string) (size, loading int) {
	for server, d := range r.desired {
		if d.Pool != pool {
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

// issue creates an order and records it as pending.
func (r *Reconciler) issue(now time.Time, d Desired, o Observed, action Action, target string) Order {
	r.sequence++
	order := Order{
		ID:           fmt.Sprintf("%d-%d", r.fencingToken, r.sequence),
		Server:       d.Server,
		Address:      d.Address,
		Action:       action,
		Target:       target,
		FencingToken: r.fencingToken,
		TTL:          OrderTTL,
	}
	r.pending[d.Server] = pendingOrder{order: order, incarnation: o.Incarnation, expires: now.Add(OrderTTL)}
	return order
}
