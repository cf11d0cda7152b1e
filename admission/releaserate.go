package admission

import "time"

// Buckets of a releaseRate.
const (
	rateBuckets      = 10
	rateBucketLength = 100 * time.Millisecond
)

// releaseRate measures how many admitted requests per second ended over the last
// second, whether or not they were answered completely.
type releaseRate struct {
	counts [rateBuckets]int
	// current is the number of the latest bucket, counted from the Unix epoch.
	current int64
	// since is when the first request ended.
	since time.Time
}

func (r *releaseRate) add(now time.Time) {
	r.advance(now)
	if r.since.IsZero() {
		r.since = now
	}
	r.counts[r.current%rateBuckets]++
}

// advance moves on to the current bucket and clears those in between.
func (r *releaseRate) advance(now time.Time) {
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

// perSecond returns the number of requests per second that ended, or 0 when none
// ended in the last second.
func (r *releaseRate) perSecond(now time.Time) float64 {
	r.advance(now)
	sum := 0
	for _, count := range r.counts {
		sum += count
	}
	window := min(rateBuckets*rateBucketLength, max(rateBucketLength, now.Sub(r.since)))
	return float64(sum) / window.Seconds()
}
