package admission

import "time"

// Buckets of the completion rate.
const (
	rateBuckets      = 10
	rateBucketLength = 100 * time.Millisecond
)

// completionRate measures the rate of finished requests over the last second.
type completionRate struct {
	counts [rateBuckets]int
	// current is the number of the latest bucket, counted from the Unix epoch.
	current int64
	// since is when the first request finished.
	since time.Time
}

func (r *completionRate) add(now time.Time) {
	r.advance(now)
	if r.since.IsZero() {
		r.since = now
	}
	r.counts[r.current%rateBuckets]++
}

// advance moves on to the current bucket and clears those in between.
func (r *completionRate) advance(now time.Time) {
	bucket := now.UnixNano() / int64(rateBucketLength)
	if bucket-r.current >= rateBuckets {
		r.counts = [rateBuckets]int{}
		r.current = bucket
		return
	}
	for ; r.current < bucket; r.current++ {
		r.counts[(r.current+1)%rateBuckets] = 0
	}
}

// perSecond returns the number of finished requests per second, or 0 when none
// finished in the last second.
func (r *completionRate) perSecond(now time.Time) float64 {
	r.advance(now)
	sum := 0
	for _, count := range r.counts {
		sum += count
	}
	window := min(rateBuckets*rateBucketLength, max(rateBucketLength, now.Sub(r.since)))
	return float64(sum) / window.Seconds()
}
