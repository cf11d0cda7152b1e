package gateway

import (
	"sync"
	"time"
)

// meanWeight is the weight of the newest duration in a mean.
const meanWeight = 0.2

// averages are moving averages of durations by name.
type averages struct {
	mu     sync.Mutex
	byName map[string]time.Duration
}

func newAverages() *averages { return &averages{byName: map[string]time.Duration{}} }

// learn takes a new duration.
func (a *averages) learn(name string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.byName[name]; known > 0 {
		took = known + time.Duration(meanWeight*float64(took-known))
	}
	a.byName[name] = took
}

// of returns the mean of a name, 0 when nothing was learnt.
func (a *averages) of(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byName[name]
}
