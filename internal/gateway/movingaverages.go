package gateway

import (
	"sync"
	"time"
)

// maximumPeriod is how long a duration counts at least in recentMaxima, and half as long as
// it counts at most.
const maximumPeriod = 15 * time.Second

// recentMaxima are the longest recent durations by name.
type recentMaxima struct {
	mu     sync.Mutex
	byName map[string]*recentMaximum
}

// recentMaximum is the longest duration of the current period and of the one before.
type recentMaximum struct {
	began             time.Time
	current, previous time.Duration
}

func newRecentMaxima() *recentMaxima { return &recentMaxima{byName: map[string]*recentMaximum{}} }

// observe adds a new duration of a name.
func (r *recentMaxima) observe(now time.Time, name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byName[name]
	if m == nil {
		m = &recentMaximum{began: now}
		r.byName[name] = m
	}
	if now.Sub(m.began) >= maximumPeriod {
		m.began, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, took)
}

// longest returns the longest recent duration of a name, 0 without observations.
func (r *recentMaxima) longest(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byName[name]
	if m == nil {
		return 0
	}
	return max(m.current, m.previous)
}

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
