package gateway

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// fetches holds by service of model servers how long they take to fetch inputs.
type fetches struct {
	mu        sync.Mutex
	byService map[string]*stagework.FetchEstimator
}

func newFetches() *fetches { return &fetches{byService: map[string]*stagework.FetchEstimator{}} }

// of returns the estimate of a service. It is called with the lock held.
func (f *fetches) of(service string) *stagework.FetchEstimator {
	known := f.byService[service]
	if known == nil {
		known = &stagework.FetchEstimator{}
		f.byService[service] = known
	}
	return known
}

// time returns how long results are kept after a request that needs them was sent.
// They are listed by the service that made them and have a size together.
func (f *fetches) time(service string, table *route.Table, results map[string][]string, bytes int64) (longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for made := range results {
		if described := table.Service(made); described != nil && described.StageProfile != nil {
			longest = max(longest, f.of(service).Duration(*described.StageProfile, bytes))
		}
	}
	return longest
}

// learn records whether a model server found results that were given up before it
// answered.
func (f *fetches) learn(service string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if found {
		f.of(service).RecordFetched()
	} else {
		f.of(service).RecordLost()
	}
}
