// Package lease decides by the local clock whether a store lease is still valid,
// and keeps the fencing token of its holder. It does no I/O; its adapter, package
// internal/leases, calls the store.
package lease

import "time"

// ID identifies a lease in the store; 0 means none.
type ID int64

// Input is an event that the adapter reports to a Holder.
type Input interface{ input() }

// Tick reports only that time has passed.
type Tick struct{}

// Granted reports a new lease. RequestedAt is when the call to the store was sent.
type Granted struct {
	Lease       ID
	RequestedAt time.Time
}

// KeyWritten reports that the holder's key was written under the lease. The
// store's version of the key is the fencing token.
type KeyWritten struct {
	Lease        ID
	FencingToken int64
}

// Extended reports a keep-alive that the store confirmed. RequestedAt is when it
// was sent.
type Extended struct {
	Lease       ID
	RequestedAt time.Time
}

// LeaseNotFound reports that the lease no longer exists in the store.
type LeaseNotFound struct{ Lease ID }

func (Tick) input()          {}
func (Granted) input()       {}
func (KeyWritten) input()    {}
func (Extended) input()      {}
func (LeaseNotFound) input() {}

// Output is an action that the adapter carries out.
type Output interface{ output() }

// Grant requests a lease of the given duration from the store.
type Grant struct{ TTL time.Duration }

// WriteKey writes the holder's key under the lease.
type WriteKey struct{ Lease ID }

// KeepAlive extends the lease.
type KeepAlive struct{ Lease ID }

// LeaseLost reports that the lease is no longer valid. The adapter stops all work
// that runs under FencingToken, which is 0 if there was none.
type LeaseLost struct{ FencingToken int64 }

func (Grant) output()     {}
func (WriteKey) output()  {}
func (KeepAlive) output() {}
func (LeaseLost) output() {}

// keepAlivesPerTTL leaves room for two failed keep-alives within one TTL.
const keepAlivesPerTTL = 3

// Holder acquires one lease and keeps it alive. Times are read from the boot-time
// clock, which also advances while the machine is suspended. It is not safe for
// concurrent use.
type Holder struct {
	ttl time.Duration
	// margin is how long before expires the lease is given up.
	margin time.Duration

	lease        ID
	fencingToken int64
	expires      time.Time
	// nextCall is when the next call to the store is due.
	nextCall time.Time
}

// NewHolder returns a holder without a lease. The holder gives up its lease when
// no more than margin is left of it by the local clock.
func NewHolder(ttl, margin time.Duration) *Holder {
	return &Holder{ttl: ttl, margin: margin}
}

// Valid reports whether the holder may act, and under which fencing token.
func (h *Holder) Valid(now time.Time) (fencingToken int64, ok bool) {
	if h.fencingToken == 0 || !now.Before(h.expires.Add(-h.margin)) {
		return 0, false
	}
	return h.fencingToken, true
}

// Expires returns when the lease expires by the local clock, or the zero time
// without a lease.
func (h *Holder) Expires() time.Time {
	return h.expires
}

// Lease returns the ID of the lease that is held, or 0.
func (h *Holder) Lease() ID {
	return h.lease
}

// Step applies one input and returns the actions that are due.
func (h *Holder) Step(now time.Time, input Input) []Output {
	switch in := input.(type) {
	case Granted:
		return h.granted(now, in)
	case KeyWritten:
		if in.Lease == h.lease {
			// Responses to two writes of the key may arrive in either order; the later
			// write has the higher version.
			h.fencingToken = max(h.fencingToken, in.FencingToken)
			// Send a keep-alive at once: the write may have taken several attempts, so
			// that little time is left on the lease.
			h.nextCall = now
		}
	case Extended:
		if in.Lease == h.lease {
			h.expires = in.RequestedAt.Add(h.ttl)
		}
	case LeaseNotFound:
		if in.Lease == h.lease {
			return h.dropLease()
		}
	}
	return h.tick(now)
}

// granted counts the TTL from the time of the request, because the store may have
// started the lease at any time since.
func (h *Holder) granted(now time.Time, in Granted) []Output {
	if h.lease != 0 {
		return nil
	}
	h.lease = in.Lease
	h.expires = in.RequestedAt.Add(h.ttl)
	h.nextCall = now.Add(h.ttl / keepAlivesPerTTL)
	return []Output{WriteKey{Lease: in.Lease}}
}

func (h *Holder) tick(now time.Time) []Output {
	if h.lease != 0 && !now.Before(h.expires.Add(-h.margin)) {
		return h.dropLease()
	}
	if now.Before(h.nextCall) {
		return nil
	}
	h.nextCall = now.Add(h.ttl / keepAlivesPerTTL)
	switch {
	case h.lease == 0:
		return []Output{Grant{TTL: h.ttl}}
	case h.fencingToken == 0:
		return []Output{WriteKey{Lease: h.lease}}
	default:
		return []Output{KeepAlive{Lease: h.lease}}
	}
}

// dropLease gives up the lease and its fencing token for good. A new lease has a
// new token.
func (h *Holder) dropLease() []Output {
	lost := LeaseLost{FencingToken: h.fencingToken}
	h.lease = 0
	h.fencingToken = 0
	h.expires = time.Time{}
	h.nextCall = time.Time{}
	return []Output{lost}
}
