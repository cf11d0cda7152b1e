// Package order decides which control commands the leader of a failure domain
// sends to model engines: it compares what each engine has loaded with what the
// configuration wants and corrects the difference. It does no I/O and reads no
// clock; the adapter passes the time and carries out the orders.
package order

import "time"

// Action is what an order asks of an engine.
type Action string

// Actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionRole   Action = "role"
)

// Bounds on orders. Together they keep an order of an earlier leader from
// running at an engine that ignores fencing numbers: the earlier leader stops
// StopMargin before its lease lapses, its last order lives OrderLife, and the
// next leader waits TakeoverWait.
const (
	// OrderTTL is how long an engine may start to carry out an order.
	OrderTTL = 4 * time.Second
	// StopMargin is how long before the end of its lease a leader sends its last order.
	StopMargin = 3 * time.Second
	// TakeoverWait is how long a new leader waits before it orders anything of an
	// engine that ignores fencing numbers.
	TakeoverWait = OrderTTL + time.Second
)

// Order is one control command to one engine.
type Order struct {
	// ID names the order; an engine carries out one ID once.
	ID      string
	Server  string
	Address string
	Action  Action
	// Target is a model, adapter or version for loads and unloads, and a role
	// for ActionRole.
	Target string
	// FencingToken is the fencing number of the leader.
	FencingToken int64
	// TTL is how long the engine may wait before it starts, from its arrival.
	TTL time.Duration
}

// Desired is the state that the configuration asks of one engine.
type Desired struct {
	Server  string
	Address string
	Pool    string
	// Models lists what must be loaded; anything else is unloaded.
	Models []string
	// Role is the wanted role; empty leaves the role as it is.
	Role string
	// FencesOrders is true when the engine refuses an old fencing number.
	FencesOrders bool
}

// Observed is what an engine reported of itself.
type Observed struct {
	Server string
	// Incarnation rises with each restart of the engine.
	Incarnation int64
	Models      []string
	Role        string
	// Loading is true while the engine carries out an order.
	Loading bool
}

// Leadership is the lease under which orders are sent.
type Leadership struct {
	Held bool
	// FencingToken rises with each new leader.
	FencingToken int64
	// Since is when this instance became the leader.
	Since time.Time
	// Until is when the lease lapses.
	Until time.Time
}

// MaySendOrder reports whether an order may be sent to an engine now.
func (l Leadership) MaySendOrder(now time.Time, fencesOrders bool) bool {
	if !l.Held || !now.Before(l.Until.Add(-StopMargin)) {
		return false
	}
	return fencesOrders || !now.Before(l.Since.Add(TakeoverWait))
}
