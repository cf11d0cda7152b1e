// Package order reconciles model engines with the configuration: it compares the
// state that each engine reports with its desired state and returns the orders
// (control commands) that the leader of a failure domain sends to correct the
// difference. It does no I/O and reads no clock; the caller, package
// internal/orders, passes the time and sends the orders.
package order

import "time"

// Action is the command of an order.
type Action string

// Actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionRole   Action = "role"
)

// Time limits of orders. Together they keep an order of an earlier leader from
// running at an engine that ignores fencing tokens: the earlier leader sends no
// order in the last StopMargin of its lease, its last order expires after
// OrderTTL, and the next leader waits for TakeoverWait.
const (
	// OrderTTL is the time within which an engine must start an order.
	OrderTTL = 4 * time.Second
	// StopMargin is the time before the end of its lease in which a leader sends
	// no more orders.
	StopMargin = 3 * time.Second
	// TakeoverWait is the time that a new leader waits before its first order to
	// an engine that ignores fencing tokens.
	TakeoverWait = OrderTTL + time.Second
)

// Order is one control command to one engine.
type Order struct {
	// ID identifies the order; an engine carries out each ID at most once.
	ID string
	// Server is the name of the engine, which is a backend server.
	Server  string
	Address string
	Action  Action
	// Target is a model, adapter or version for loads and unloads, and a role
	// for ActionRole.
	Target string
	// FencingToken is the fencing token of the leader.
	FencingToken int64
	// TTL is the time after its arrival within which the engine must start the order.
	TTL time.Duration
}

// Desired is the state that one engine should have according to the configuration.
type Desired struct {
	Server  string
	Address string
	Pool    string
	// Models lists the models, adapters and versions to load; all others are unloaded.
	Models []string
	// Role is the desired role; empty leaves the role unchanged.
	Role string
	// FencesOrders is true when the engine refuses orders with an old fencing token.
	FencesOrders bool
}

// Observed is the state that an engine reported.
type Observed struct {
	Server string
	// Incarnation increases with each restart of the engine.
	Incarnation int64
	Models      []string
	Role        string
	// Loading is true while the engine carries out an order.
	Loading bool
}

// Leadership is the lease under which orders are sent.
type Leadership struct {
	Held bool
	// FencingToken increases with each new leader.
	FencingToken int64
	// Since is the time at which this instance became the leader.
	Since time.Time
	// Until is the time at which the lease expires.
	Until time.Time
}

// MaySendOrder reports whether an order may be sent now to an engine that does or
// does not check fencing tokens.
func (l Leadership) MaySendOrder(now time.Time, fencesOrders bool) bool {
	if !l.Held || !now.Before(l.Until.Add(-StopMargin)) {
		return false
	}
	return fencesOrders || !now.Before(l.Since.Add(TakeoverWait))
}
