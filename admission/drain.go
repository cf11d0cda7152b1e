package admission

import "time"

// Buckets of the drain rate.
const (
	drainBuckets = 10
	drainBucket  = 100 * time.Millisecond
)

// drainRate counts finished requests over the last second.
type drainRate struct {
	counts [drainBuckets]int
	bucket int64
	since  time.Time
}

func (d *drainRate) add(now time.Time) {
	d.advance(now)
	if d.since.IsZero() {
		d.since = now
	}
	d.counts[d.bucket%drainBuckets]++
}

// advance clears the buckets of the time that passed.
func (d *drainRate) advance(now time.Time) {
	bucket := now.UnixNano() / int64(drainBucket)
	if bucket-d.bucket >= drainBuckets {
		d.counts = [drainBuckets]int{}
		d.bucket = bucket
		return
	}
	for ; d.bucket < bucket; d.bucket++ {
		d.counts[(d.bucket+1)%drainBuckets] = 0
	}
}

// perSecond returns the finished requests per second, 0 when none finished.
func (d *drainRate) perSecond(now time.Time) float64 {
	d.advance(now)
	sum := 0
	for _, count := range d.counts {
		sum += count
	}
	window := min(drainBuckets*drainBucket, max(drainBucket, now.Sub(d.since)))
	return float64(sum) / window.Seconds()
}
