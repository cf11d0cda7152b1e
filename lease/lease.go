// Package lease decides on the validity of a store lease by the local clock and
// keeps the fencing number of its holder. It does no I/O.
package lease

import "time"

// ID names a lease of the store; 0 means none.
type ID int64

// Input is an event that the adapter reports to a Holder.
type Input interface{ input() }

// Tick lets time pass.
type Tick struct{}

// Granted reports a new lease, asked for at AskedAt.
type Granted struct {
	Lease       ID
	RequestedAt time.Time
}

// KeyWritten reports that the holder's key was written under the lease. Number is
// the version of the key.
type KeyWritten struct {
	Lease        ID
	FencingToken int64
}

// Extended reports a keep-alive that the store confirmed, sent at AskedAt.
type Extended struct {
	Lease       ID
	RequestedAt time.Time
}

// CallFailed reports a call that failed without telling whether the lease lives on.
type CallFailed struct{}

// LeaseNotFound reports that the store does not know the lease any more.
type LeaseNotFound struct{ Lease ID }

func (Tick) input()          {}
func (Granted) input()       {}
func (KeyWritten) input()    {}
func (Extended) input()      {}
func (CallFailed) input()    {}
func (LeaseNotFound) input() {}

// Output is what the adapter does next.
type Output interface{ output() }

// Grant asks the store for a lease of the given duration.
type Grant struct{ TTL time.Duration }

// WriteKey writes the holder's key under the lease.
type WriteKey struct{ Lease ID }

// KeepAlive extends the lease.
type KeepAlive struct{ Lease ID }

// LeaseLost tells the holder to stop everything that it does under the number.
type LeaseLost struct{ FencingToken int64 }

func (Grant) output()     {}
func (WriteKey) output()  {}
func (KeepAlive) output() {}
func (LeaseLost) output() {}

// keepAlivesPerTTL leaves room for two failed keep-alives within one TTL.
const keepAlivesPerTTL = 3

// Holder keeps one lease. Times are of the boot-time clock, so that a pause of
// the machine counts. It is not safe for concurrent use.
type Holder struct {
	ttl    time.Duration
	margin time.Duration

	lease        ID
	fencingToken int64
	expires      time.Time
	// nextCall is when the next call to the store is due.
	nextCall time.Time
}

// NewHolder returns a holder without a lease. It stops margin before the lease
// lapses by its own clock.
func NewHolder(ttl, margin time.Duration) *Holder {
	return &Holder{ttl: ttl, margin: margin}
}

// Valid reports whether the holder may act, and under which fencing number.
func (h *Holder) Valid(now time.Time) (number int64, ok bool) {
	if h.fencingToken == 0 || !now.Before(h.expires.Add(-h.margin)) {
		return 0, false
	}
	return h.fencingToken, true
}

// Expires returns when the lease lapses by the local clock, zero without one.
func (h *Holder) Expires() time.Time {
	return h.expires
}

// Lease returns the lease that is held, 0 for none.
func (h *Holder) Lease() ID {
	return h.lease
}

// Step takes one input and returns what to do.
func (h *Holder) Step(now time.Time, input Input) []Output {
	switch in := input.(type) {
	case Granted:
		return h.granted(now, in)
	case KeyWritten:
		if in.Lease == h.lease {
			// Of two writes of the key the later one has the higher number, whichever
			// answer comes first.
			h.fencingToken = max(h.fencingToken, in.FencingToken)
			// The write may have taken several tries, so that little of the lease is left.
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

// granted counts the lease from before the call, because the store may have
// started it at any time since.
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

// dropLease gives up the lease and its number for good; a new lease has a new number.
func (h *Holder) dropLease() []Output {
	lost := LeaseLost{FencingToken: h.fencingToken}
	h.lease = 0
	h.fencingToken = 0
	h.expires = time.Time{}
	h.nextCall = time.Time{}
	return []Output{lost}
}
