package gateway

import (
	"sync"
	"time"
)

// meanWeight is the weight of the newest duration in a mean.
const meanWeight = 0.2

// means are moving averages of durations by name.
type means struct {
	mu     sync.Mutex
	byName map[string]time.Duration
}

func newMeans() *means { return &means{byName: map[string]time.Duration{}} }

// learn takes a new duration.
func (m *means) learn(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.byName[name]; known > 0 {
		took = known + time.Duration(meanWeight*float64(took-known))
	}
	m.byName[name] = took
}

// of returns the mean of a name, 0 when nothing was learnt.
func (m *means) of(name string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byName[name]
}
