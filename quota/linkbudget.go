package quota

import "time"

// The rate of a link bucket and its size add up to the share, so that the bytes
// of any one second stay within it.
const (
	linkRate  = 0.75
	linkBurst = 0.25
)

// BytesPerSecond converts a capacity in megabits per second.
func BytesPerSecond(megabits float64) float64 { return megabits * 1e6 / 8 }

// LinkUse names what bytes over the link were used for.
type LinkUse struct {
	Kind         string
	Stage        string
	Organisation string
}

// maxLinkUses bounds the account; further uses are counted together under the
// empty LinkUse.
const maxLinkUses = 4096

// LinkBudget is one instance's budget of the link between regions, in bytes.
type LinkBudget struct {
	// capacity of the whole link in bytes per second.
	capacity float64
	bucket   bucket
	used     map[LinkUse]int64
}

// NewLinkBudget returns a budget for a link with a capacity in bytes per second.
func NewLinkBudget(capacity float64) *LinkBudget {
	return &LinkBudget{capacity: capacity, used: map[LinkUse]int64{}}
}

// SetCapacity changes the capacity of the link.
func (l *LinkBudget) SetCapacity(capacity float64) { l.capacity = capacity }

// Capacity returns the capacity of the link in bytes per second.
func (l *LinkBudget) Capacity() float64 { return l.capacity }

// Reserve takes the most bytes that a call may send and receive over the link
// out of this instance's fraction of it, or returns when there is room again.
func (l *LinkBudget) Reserve(bytes int64, fraction float64, now time.Time) (ok bool, retryAfter time.Duration) {
	share := l.capacity * fraction
	l.bucket.refill(now, linkRate*share, linkBurst*share)
	return l.bucket.take(float64(bytes), linkRate*share)
}

// CanReserve reports whether Reserve would succeed.
func (l *LinkBudget) CanReserve(bytes int64, fraction float64, now time.Time) bool {
	share := l.capacity * fraction
	l.bucket.refill(now, linkRate*share, linkBurst*share)
	return bytes > 0 && l.bucket.tokens >= float64(bytes)
}

// Settle ends a reservation with the bytes that crossed the link. What was not
// used goes back; what was used beyond the reservation is taken from later calls.
func (l *LinkBudget) Settle(use LinkUse, reserved, used int64) {
	l.bucket.tokens += float64(reserved - used)
	if _, known := l.used[use]; !known && len(l.used) >= maxLinkUses {
		use = LinkUse{}
	}
	l.used[use] += used
}

// Used returns the bytes that crossed the link by use. The caller must not
// change the map.
func (l *LinkBudget) Used() map[LinkUse]int64 { return l.used }
