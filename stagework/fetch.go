package stagework

import "time"

const (
	// fetchLatency is the time in which a model server begins to fetch its inputs
	// after a request was sent to it, with a margin.
	fetchLatency = 60 * time.Millisecond
	// fetchShare is the part of a link that one fetch is taken to get.
	fetchShare = 1.0 / 3
	// lostGrowth and fetchedDecay change a Fetch's factor, maxFetchFactor bounds it.
	lostGrowth     = 2
	fetchedDecay   = 0.98
	maxFetchFactor = 32
)

// FetchEstimator estimates how long model servers take to fetch the results that a request
// gives them. No message tells that they have done so, and the first event of a
// stream, which does, comes several times later. The zero value is ready to use. It is
// not safe for concurrent use.
type FetchEstimator struct {
	// factor multiplies the estimate; it is 1 unless results were freed too early.
	factor float64
}

// Duration returns how long results of a size, made by servers of a shape, are kept for a
// model server after the request was sent.
func (f *FetchEstimator) Duration(shape ServerProfile, bytes int64) time.Duration {
	estimate := fetchLatency
	if shape.LinkRate > 0 {
		estimate += time.Duration(float64(bytes) / fetchShare / float64(shape.LinkRate) * float64(time.Second))
	}
	return time.Duration(max(1, f.factor) * float64(estimate))
}

// RecordLost records that a model server did not find results which had been freed.
func (f *FetchEstimator) RecordLost() { f.factor = min(maxFetchFactor, max(1, f.factor)*lostGrowth) }

// RecordFetched records that a model server found all results.
func (f *FetchEstimator) RecordFetched() { f.factor = max(1, f.factor*fetchedDecay) }
