package quota

import "time"

// Rate per second and size of the link's token bucket, as fractions of the
// instance's share. They add up to 1, so that the bytes sent in any one second stay
// within the share.
const (
	linkRateFraction  = 0.75
	linkBurstFraction = 0.25
)

// BytesPerSecond converts a capacity from megabits per second to bytes per second.
func BytesPerSecond(megabits float64) float64 { return megabits * 1e6 / 8 }

// LinkUse is the key under which bytes transferred over the link are counted: the kind
// of the request, the stage of its pipeline and its organisation.
type LinkUse struct {
	Kind         string
	Stage        string
	Organisation string
}

// maxLinkUses is the maximum number of keys that are counted separately. Bytes of
// further keys are counted under the empty LinkUse.
const maxLinkUses = 4096

// LinkBudget limits the bytes that one instance sends and receives over the link
// between regions. It is not safe for concurrent use.
type LinkBudget struct {
	// capacity is that of the whole link, in bytes per second.
	capacity float64
	bucket   bucket
	used     map[LinkUse]int64
}

// NewLinkBudget returns a budget for a link with the given capacity in bytes per
// second.
func NewLinkBudget(capacity float64) *LinkBudget {
	return &LinkBudget{capacity: capacity, used: map[LinkUse]int64{}}
}

// SetCapacity sets the capacity of the link in bytes per second.
func (l *LinkBudget) SetCapacity(capacity float64) { l.capacity = capacity }

// Capacity returns the capacity of the link in bytes per second.
func (l *LinkBudget) Capacity() float64 { return l.capacity }

// Reserve reserves the maximum number of bytes that a call may send and receive
// over the link. fraction is this instance's share of the capacity, between 0 and 1.
// If the share is used up, Reserve returns the time until enough is available.
func (l *LinkBudget) Reserve(bytes int64, fraction float64, now time.Time) (ok bool, retryAfter time.Duration) {
	share := l.capacity * fraction
	l.bucket.refill(now, linkRateFraction*share, linkBurstFraction*share)
	return l.bucket.take(float64(bytes), linkRateFraction*share)
}

// CanReserve reports whether Reserve would succeed now for a positive number of
// bytes. It is false for 0 bytes.
func (l *LinkBudget) CanReserve(bytes int64, fraction float64, now time.Time) bool {
	share := l.capacity * fraction
	l.bucket.refill(now, linkRateFraction*share, linkBurstFraction*share)
	return bytes > 0 && l.bucket.tokens >= float64(bytes)
}

// Settle ends a reservation with the number of bytes that were transferred. Unused
// bytes are returned to the budget; bytes beyond the reservation reduce what later
// calls can reserve.
func (l *LinkBudget) Settle(use LinkUse, reserved, used int64) {
	l.bucket.tokens += float64(reserved - used)
	if _, known := l.used[use]; !known && len(l.used) >= maxLinkUses {
		use = LinkUse{}
	}
	l.used[use] += used
}

// Used returns the bytes transferred over the link by use. The caller must not
// modify the map.
func (l *LinkBudget) Used() map[LinkUse]int64 { return l.used }
