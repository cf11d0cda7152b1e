package ratelimit

import "time"

const (
	// handoverPeriod is how long an instance that has begun to allocate permits gives only
	// handoverShare of them, but not less than MinRate implies: others may still ask the
	// instance before it, which adds to the sum.
	handoverPeriod = 6 * time.Second
	handoverShare  = 0.4
	// burstTime is the time whose permits may be given at once, and minBurst the number that
	// may always be. Without it, permits of low rates expire before somebody asks.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// maxQueueTime bounds the wait of an instance without a permit, beyond the time to the next
	// permit.
	maxQueueTime = 5 * time.Second
)

// Allocator gives out permits to send requests to servers with a limit, one for each
// request. One instance allocates those of a server for all instances. It is not safe for
// concurrent use.
type Allocator struct {
	// owner is true while this instance is the one that the others should ask, since is
	// when that began.
	owner   bool
	since   time.Time
	buckets map[string]*bucket
}

// bucket is the token bucket of one server. It starts empty, because another instance may
// have given out permits just before.
type bucket struct {
	tokens float64
	filled time.Time
	// nextTurn is the end of the wait of the last instance without a permit.
	nextTurn time.Time
}

// NewAllocator returns an allocator of an instance that is not the owner.
func NewAllocator() *Allocator { return &Allocator{buckets: map[string]*bucket{}} }

// SetOwner records whether this instance is the one that the others should ask.
func (a *Allocator) SetOwner(now time.Time, owner bool) {
	if owner && !a.owner {
		a.since = now
		clear(a.buckets)
	}
	a.owner = owner
}

// effectiveRate returns the permits per second that this instance may give out, for its share
// of the limit.
func (a *Allocator) effectiveRate(now time.Time, rate Rate, share float64) float64 {
	if !a.owner || now.Sub(a.since) < handoverPeriod {
		rate = handoverRate(rate)
	}
	return float64(rate) * share
}

// handoverRate returns the rate of an allocator beside the owner whose permits it gives out or
// has begun to give out. At a low limit, the next permit shows whether the limit is still in
// force.
func handoverRate(rate Rate) Rate {
	return max(handoverShare*rate, min(rate, MinRate))
}

// fill brings the bucket of a server up to date and returns it.
func (a *Allocator) fill(now time.Time, server string, perSecond float64) *bucket {
	b := a.buckets[server]
	if b == nil {
		b = &bucket{filled: now}
		a.buckets[server] = b
	}
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens += elapsed.Seconds() * perSecond
		b.filled = now
	}
	b.tokens = min(b.tokens, maxTokens(perSecond))
	return b
}

// maxTokens returns the permits that may be given out at once.
func maxTokens(perSecond float64) float64 {
	return max(minBurst, perSecond*burstTime.Seconds())
}

// Take takes a permit for one request to a server with a limit, of which this instance may
// give out a share from 0 to 1. Without one it returns false and the time after which the
// caller should ask again, which differs between callers.
func (a *Allocator) Take(now time.Time, server string, rate Rate, share float64) (wait time.Duration, ok bool) {
	perSecond := a.effectiveRate(now, rate, share)
	b := a.fill(now, server, perSecond)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	next := now.Add(b.untilPermit(perSecond))
	turn := b.nextTurn.Add(seconds(1 / perSecond))
	if turn.Before(next) || turn.After(next.Add(maxQueueTime)) {
		turn = next
	}
	b.nextTurn = turn
	return turn.Sub(now), false
}

// Wait returns how long it takes until Take gives a permit, 0 when it would now.
func (a *Allocator) Wait(now time.Time, server string, rate Rate, share float64) time.Duration {
	perSecond := a.effectiveRate(now, rate, share)
	return a.fill(now, server, perSecond).untilPermit(perSecond)
}

// Expire drops the buckets of servers that are not in use.
func (a *Allocator) Expire(inUse func(server string) bool) {
	for id := range a.buckets {
		if !inUse(id) {
			delete(a.buckets, id)
		}
	}
}

func (b *bucket) untilPermit(perSecond float64) time.Duration {
	return seconds(max(0, 1-b.tokens) / perSecond)
}

// maxWait bounds a wait, so that it fits a time.Duration.
const maxWait = time.Minute

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
