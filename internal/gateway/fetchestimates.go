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

// forService returns the estimator of a service, a new one at first. It is called with
// the lock held.
func (f *fetchEstimates) forService(service string) *stagework.FetchEstimator {
	estimator := f.byService[service]
	if estimator == nil {
		estimator = &stagework.FetchEstimator{}
		f.byService[service] = estimator
	}
	return estimator
}

// timeUntilFetched estimates how long after the send of a request a model server of a
// service has fetched the results that the request needs. They are kept that long. Results
// lists them by the stage service that produced them; bytes is their total size.
func (f *fetchEstimates) timeUntilFetched(service string, table *route.Table, results map[string][]stagework.Result, bytes int64) (longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for producer := range results {
		if configured := table.Service(producer); configured != nil && configured.StageProfile != nil {
			longest = max(longest, f.forService(service).Duration(*configured.StageProfile, bytes))
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
		f.forService(service).RecordFetched()
	} else {
		f.forService(service).RecordLost()
	}
}
