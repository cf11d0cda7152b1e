package gateway

import (
	"sync"
	"time"
)

// newestWeight is the weight of the newest duration in a mean.
const newestWeight = 0.2

// movingAverages are moving averages of durations by name.
type movingAverages struct {
	mu     sync.Mutex
	byName map[string]time.Duration
}

func newMovingAverages() *movingAverages { return &movingAverages{byName: map[string]time.Duration{}} }

// observe takes a new duration.
func (a *movingAverages) observe(name string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.byName[name]; known > 0 {
		took = known + time.Duration(newestWeight*float64(took-known))
	}
	a.byName[name] = took
}

// mean returns the mean of a name, 0 when nothing was learnt.
func (a *movingAverages) mean(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byName[name]
}
