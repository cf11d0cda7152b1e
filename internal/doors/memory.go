package doors

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Memory bounds the memory for one purpose.
type Memory struct {
	size      int64
	used      atomic.Int64
	available *semaphore.Weighted
}

// NewMemory returns the account of a purpose with size bytes.
func NewMemory(size int64) *Memory {
	return &Memory{size: size, available: semaphore.NewWeighted(size)}
}

// Used returns the reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

// TryAcquire reserves n bytes unless there are not as many.
func (m *Memory) TryAcquire(n int64) bool {
	if !m.available.TryAcquire(n) {
		return false
	}
	m.used.Add(n)
	return true
}

// Acquire reserves n bytes and waits for them up to a timeout.
func (m *Memory) Acquire(n int64, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if m.available.Acquire(ctx, n) != nil {
		return false
	}
	m.used.Add(n)
	return true
}

// Release gives n bytes back.
func (m *Memory) Release(n int64) {
	m.used.Add(-n)
	m.available.Release(n)
}
