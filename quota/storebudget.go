package quota

import (
	"math/rand/v2"
	"time"
)

// StoreClass orders the calls to the store within an instance's share.
type StoreClass int

// Store classes, in order of precedence.
const (
	// StoreAppends are calls of a claim shard's appender. The rate of its writes
	// is bounded per shard and not taken from the instance's share.
	StoreAppends StoreClass = iota
	StoreClaims
	// StoreLeases come before jobs, because a job may be written only under a lease.
	StoreLeases
	StoreJobs
	StoreConfiguration
	storeClasses
)

// StoreOp tells calls that count against the read limit from those that count
// against the write limit.
type StoreOp int

// Store operations.
const (
	StoreRead StoreOp = iota
	StoreWrite
	storeOps
)

// Bounds of the backoff after an outage.
const (
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 5 * time.Second
)

// StoreLimits are the rates of the whole fleet, in calls per second.
type StoreLimits struct {
	Reads  float64
	Writes float64
	// Appends is the part of Writes that the claim appenders use.
	Appends float64
}

// DefaultStoreLimits are the limits that the platform's service states.
var DefaultStoreLimits = StoreLimits{Reads: 2000, Writes: 300, Appends: 160}

// StoreVerdict is the answer to one wish to call the store.
type StoreVerdict struct {
	Granted bool
	// Probe is true when the call is the one that tests whether an outage is over.
	Probe bool
	// Outage is true when the store is taken to be down and the call is refused.
	Outage bool
	// RetryAfter is when tokens may be there, for a call that is not granted.
	RetryAfter time.Duration
}

// StoreBudget divides the store's rate limits among instances, keeps the order
// of the classes and spaces out calls after an outage. It is not safe for
// concurrent use.
type StoreBudget struct {
	limits  StoreLimits
	buckets [storeOps]bucket
	// rates are this instance's shares, in calls per second.
	rates   [storeOps]float64
	waiting [storeOps][storeClasses]int
	// failures counts the failed calls since the last one that succeeded.
	failures int
	retryAt  time.Time
	probing  bool
}

// NewStoreBudget returns the budget of one instance among the given number.
func NewStoreBudget(limits StoreLimits, instances int, now time.Time) *StoreBudget {
	b := &StoreBudget{limits: limits}
	b.SetInstances(instances, now)
	return b
}

// SetInstances divides the limits by the number of live instances.
func (b *StoreBudget) SetInstances(instances int, now time.Time) {
	share := 1 / float64(max(instances, 1))
	rates := [storeOps]float64{
		StoreRead:  b.limits.Reads * share,
		StoreWrite: (b.limits.Writes - b.limits.Appends) * share,
	}
	for op, rate := range rates {
		if b.rates[op] > 0 {
			b.refill(now, StoreOp(op)) // the time until now counts at the earlier rate
		}
		b.rates[op] = rate
		b.refill(now, StoreOp(op))
	}
}

func (b *StoreBudget) refill(now time.Time, op StoreOp) {
	b.buckets[op].refill(now, b.rates[op], storeBurst(b.rates[op]))
}

// Allow decides on one call. A granted call ends with Finished.
func (b *StoreBudget) Allow(now time.Time, class StoreClass, op StoreOp) StoreVerdict {
	if b.failures > 0 && (b.probing || now.Before(b.retryAt)) {
		return StoreVerdict{Outage: true, RetryAfter: max(b.retryAt.Sub(now), storeBackoffMin)}
	}
	if class != StoreAppends || op == StoreRead {
		// A class gets a token only when one is left for each waiting call before it.
		need := 1 + float64(b.waitingBefore(op, class))
		b.refill(now, op)
		if wait := b.buckets[op].wait(need, b.rates[op]); wait > 0 {
			return StoreVerdict{RetryAfter: wait}
		}
		b.buckets[op].tokens--
	}
	b.probing = b.failures > 0
	return StoreVerdict{Granted: true, Probe: b.probing}
}

// AddWaiting changes the number of calls of a class that wait for a token.
func (b *StoreBudget) AddWaiting(class StoreClass, op StoreOp, change int) {
	b.waiting[op][class] += change
}

func (b *StoreBudget) waitingBefore(op StoreOp, class StoreClass) (sum int) {
	for _, n := range b.waiting[op][:class] {
		sum += n
	}
	return sum
}

// Rates returns this instance's shares in calls per second. The writes of claim
// appenders come on top.
func (b *StoreBudget) Rates() (reads, writes float64) {
	return b.rates[StoreRead], b.rates[StoreWrite]
}

// InOutage reports whether the last call failed.
func (b *StoreBudget) InOutage() bool {
	return b.failures > 0
}

// Finished reports the end of a granted call. reachable is false when the call
// failed in a way that indicates an outage.
func (b *StoreBudget) Finished(now time.Time, random *rand.Rand, probe, reachable bool) {
	if reachable {
		b.failures = 0
		b.probing = false
		return
	}
	if b.failures > 0 && !probe {
		// The call was granted before the outage was noticed.
		return
	}
	b.probing = false
	ceiling := min(storeBackoffMin<<min(b.failures, 10), storeBackoffMax)
	b.failures++
	// Half of the delay is random, so that instances do not probe in step.
	b.retryAt = now.Add(ceiling/2 + time.Duration(random.Int64N(int64(ceiling/2)+1)))
}

// Cancelled reports the end of a granted call whose caller gave up, which says
// nothing of the store.
func (b *StoreBudget) Cancelled(probe bool) {
	b.probing = b.probing && !probe
}

// storeBurst is the size of a bucket: one second of its rate, and at least one
// token, so that a small share lets single calls through.
func storeBurst(rate float64) float64 {
	return max(rate, 1)
}
