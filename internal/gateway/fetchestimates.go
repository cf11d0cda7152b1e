package gateway

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// fetchEstimates holds by service of model servers how long they take to fetch inputs.
type fetchEstimates struct {
	mu        sync.Mutex
	byService map[string]*stagework.Fetch
}

func newFetchEstimates() *fetchEstimates {
	return &fetchEstimates{byService: map[string]*stagework.Fetch{}}
}

// estimate returns the estimate of a service. It is called with the lock held.
func (f *fetchEstimates) estimate(service string) *stagework.Fetch {
	known := f.byService[service]
	if known == nil {
		known = &stagework.Fetch{}
		f.byService[service] = known
	}
	return known
}

// timeUntilFetched returns how long results are kept after a request that needs them was sent.
// They are listed by the service that made them and have a size together.
func (f *fetchEstimates) timeUntilFetched(service string, table *route.Table, results map[string][]string, bytes int64) (longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for made := range results {
		if described := table.Service(made); described != nil && described.Work != nil {
			longest = max(longest, f.estimate(service).Time(*described.Work, bytes))
		}
	}
	return longest
}

// record records whether a model server found results that were given up before it
// answered.
func (f *fetchEstimates) record(service string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if found {
		f.estimate(service).Fetched()
	} else {
		f.estimate(service).Lost()
	}
}
