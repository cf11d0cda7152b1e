package gateway

import (
	"sync"
	"time"
)

// newestWeight is the weight of the newest duration in an exponential moving average.
const newestWeight = 0.2

// movingAverages are exponential moving averages of durations by name.
type movingAverages struct {
	mu     sync.Mutex
	byName map[string]time.Duration
}

func newMovingAverages() *movingAverages { return &movingAverages{byName: map[string]time.Duration{}} }

// observe adds a new duration to the average of a name.
func (a *movingAverages) observe(name string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.byName[name]; known > 0 {
		took = known + time.Duration(newestWeight*float64(took-known))
	}
	a.byName[name] = took
}

// mean returns the average of a name, 0 without observations.
func (a *movingAverages) mean(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byName[name]
}
