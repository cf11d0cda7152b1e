package gateway

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// fetchEstimates holds how long model servers take to fetch their inputs, by service.
type fetchEstimates struct {
	mu        sync.Mutex
	byService map[string]*stagework.FetchEstimator
}

func newFetchEstimates() *fetchEstimates {
	return &fetchEstimates{byService: map[string]*stagework.FetchEstimator{}}
}

// estimate returns the estimate of a service. It is called with the lock held.
func (f *fetchEstimates) estimate(service string) *stagework.FetchEstimator {
	estimate := f.byService[service]
	if estimate == nil {
		estimate = &stagework.FetchEstimator{}
		f.byService[service] = estimate
	}
	return estimate
}

// timeUntilFetched returns how long results are kept after the request that needs them
// was sent to a model server of a service. Results lists them by the stage service that
// produced them; bytes is their total size.
func (f *fetchEstimates) timeUntilFetched(service string, table *route.Table, results map[string][]string, bytes int64) (longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for producer := range results {
		if configured := table.Service(producer); configured != nil && configured.StageProfile != nil {
			longest = max(longest, f.estimate(service).Duration(*configured.StageProfile, bytes))
		}
	}
	return longest
}

// record records whether a model server still found results that were freed before it
// answered.
func (f *fetchEstimates) record(service string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if found {
		f.estimate(service).RecordFetched()
	} else {
		f.estimate(service).RecordLost()
	}
}
