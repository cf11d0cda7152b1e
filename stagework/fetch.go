package stagework

import "time"

const (
	// fetchLatency is the time from the send of a request to the start of the fetch of
	// its inputs, with a margin.
	fetchLatency = 60 * time.Millisecond
	// fetchLinkShare is the share of a link's bandwidth that one fetch is assumed to
	// get.
	fetchLinkShare = 1.0 / 3
	// lostGrowth multiplies the factor of a FetchEstimator after a loss, fetchedDecay
	// after a success. maxFetchFactor is its upper bound.
	lostGrowth     = 2
	fetchedDecay   = 0.98
	maxFetchFactor = 32
)

// FetchEstimator estimates how long servers take to fetch the inputs of a request or
// call. Servers send no message when they have fetched them, and the first event of a
// model server's stream, which implies it, takes several times as long. The zero value
// is ready to use. It is not safe for concurrent use.
type FetchEstimator struct {
	// factor multiplies the estimate. It rises when inputs were freed too early and
	// falls back to 1; 0 counts as 1.
	factor float64
}

// Duration returns how long after the send of a request its inputs must be kept. Their
// total size is bytes, and profile describes the servers that produced them.
func (f *FetchEstimator) Duration(profile ServerProfile, bytes int64) time.Duration {
	estimate := fetchLatency
	if profile.LinkRate > 0 {
		estimate += time.Duration(float64(bytes) / fetchLinkShare / float64(profile.LinkRate) * float64(time.Second))
	}
	return time.Duration(max(1, f.factor) * float64(estimate))
}

// RecordLost records that a server did not find inputs because they had been freed.
func (f *FetchEstimator) RecordLost() { f.factor = min(maxFetchFactor, max(1, f.factor)*lostGrowth) }

// RecordFetched records that a server found all its inputs.
func (f *FetchEstimator) RecordFetched() { f.factor = max(1, f.factor*fetchedDecay) }
