package quota

import (
	"math/rand/v2"
	"time"
)

// StoreClass is the priority class of a store call within an instance's share.
type StoreClass int

// Store classes, highest priority first.
const (
	// StoreAppends are the calls that append to a claim shard. Their writes are
	// limited per shard and do not count against the instance's share.
	StoreAppends StoreClass = iota
	StoreClaims
	// StoreLeases rank above jobs, because a job may be written only under a lease.
	StoreLeases
	StoreJobs
	StoreConfiguration
	storeClasses
)

// StoreOp says whether a call counts against the read limit or the write limit.
type StoreOp int

// Store operations.
const (
	StoreRead StoreOp = iota
	StoreWrite
	storeOps
)

// Bounds of the backoff between probes during an outage.
const (
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 5 * time.Second
)

// StoreLimits are the call rates allowed for the whole fleet, in calls per second.
type StoreLimits struct {
	Reads  float64
	Writes float64
	// Appends is the part of Writes that is set aside for appends to claim shards.
	Appends float64
}

// DefaultStoreLimits are the limits that the platform's store service documents.
var DefaultStoreLimits = StoreLimits{Reads: 2000, Writes: 300, Appends: 160}

// StoreVerdict is the decision on one store call.
type StoreVerdict struct {
	Granted bool
	// Probe is true when the granted call tests whether an outage is over.
	Probe bool
	// Outage is true when the call is refused because the store is considered down.
	Outage bool
	// RetryAfter is the time after which a call that was not granted may be retried.
	RetryAfter time.Duration
}

// StoreBudget limits one instance's store calls to its share of the fleet's limits,
// grants them in order of class, and backs off during an outage. It is not safe for
// concurrent use.
type StoreBudget struct {
	limits  StoreLimits
	buckets [storeOps]bucket
	// rates are this instance's shares, in calls per second.
	rates [storeOps]float64
	// waiting counts the calls that wait for a token.
	waiting [storeOps][storeClasses]int
	// failures is the number of calls that failed since the last success. During an
	// outage only probes count.
	failures int
	// retryAt is when the next probe may be sent.
	retryAt time.Time
	// probing is true while a probe is in flight.
	probing bool
}

// NewStoreBudget returns the budget of one instance in a fleet of the given size.
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
			b.refill(now, StoreOp(op)) // time up to now earns tokens at the old rate
		}
		b.rates[op] = rate
		b.refill(now, StoreOp(op))
	}
}

func (b *StoreBudget) refill(now time.Time, op StoreOp) {
	b.buckets[op].refill(now, b.rates[op], storeBurst(b.rates[op]))
}

// Allow decides on one call. The caller reports the end of a granted call with
// Finished or Cancelled.
func (b *StoreBudget) Allow(now time.Time, class StoreClass, op StoreOp) StoreVerdict {
	if b.failures > 0 && (b.probing || now.Before(b.retryAt)) {
		return StoreVerdict{Outage: true, RetryAfter: max(b.retryAt.Sub(now), storeBackoffMin)}
	}
	if class != StoreAppends || op == StoreRead {
		// A token is granted only if one remains for each waiting call of a higher class.
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

// AddWaiting adds change, which may be negative, to the number of calls of a class
// that wait for a token.
func (b *StoreBudget) AddWaiting(class StoreClass, op StoreOp, change int) {
	b.waiting[op][class] += change
}

func (b *StoreBudget) waitingBefore(op StoreOp, class StoreClass) (sum int) {
	for _, n := range b.waiting[op][:class] {
		sum += n
	}
	return sum
}

// Rates returns this instance's shares in calls per second. Writes of class
// StoreAppends are not included.
func (b *StoreBudget) Rates() (reads, writes float64) {
	return b.rates[StoreRead], b.rates[StoreWrite]
}

// InOutage reports whether the last call indicated an outage.
func (b *StoreBudget) InOutage() bool {
	return b.failures > 0
}

// Finished reports the end of a granted call. probe is the Probe of its verdict;
// reachable is false when the call failed in a way that indicates an outage.
func (b *StoreBudget) Finished(now time.Time, random *rand.Rand, probe, reachable bool) {
	if reachable {
		b.failures = 0
		b.probing = false
		return
	}
	if b.failures > 0 && !probe {
		// The call was granted before the outage was detected.
		return
	}
	b.probing = false
	ceiling := min(storeBackoffMin<<min(b.failures, 10), storeBackoffMax)
	b.failures++
	// The delay is between half of the ceiling and all of it, at random, so that
	// instances do not probe at the same time.
	b.retryAt = now.Add(ceiling/2 + time.Duration(random.Int64N(int64(ceiling/2)+1)))
}

// Cancelled reports the end of a granted call that its caller cancelled. It does not
// show whether the store is reachable.
func (b *StoreBudget) Cancelled(probe bool) {
	b.probing = b.probing && !probe
}

// storeBurst returns the size of a token bucket: one second of its rate, but at least
// one token, so that an instance with a small share can still make single calls.
func storeBurst(rate float64) float64 {
	return max(rate, 1)
}
