package standin

import (
	"container/heap"
	"context"
	"sync"
)

// waiter is a request that waits for a slot.
type waiter struct {
	rank, arrival int
	granted       chan struct{}
	position      int // index in the queue, -1 after the waiter left it
}

// waiters is a priority queue for container/heap: higher ranks first, and equal ranks
// in the order of arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].rank != w[j].rank {
		return w[i].rank > w[j].rank
	}
	return w[i].arrival < w[j].arrival
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].position, w[j].position = i, j
}
func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.position = len(*w)
	*w = append(*w, added)
}
func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	last.position = -1
	*w = (*w)[:len(*w)-1]
	return last
}

// slots limits the number of concurrent requests and queues the others by rank.
type slots struct {
	mu          sync.Mutex
	total       int
	running     int
	lastArrival int
	waiting     waiters
}

// acquire waits for a slot, or returns false when the context ends first.
func (s *slots) acquire(ctx context.Context, rank int) bool {
	s.mu.Lock()
	if s.running < s.total {
		s.running++
		s.mu.Unlock()
		return true
	}
	s.lastArrival++
	w := &waiter{rank: rank, arrival: s.lastArrival, granted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		s.abandon(w)
		return false
	}
}

// abandon removes a waiter from the queue, or releases the slot that it was granted
// in the meantime.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	if w.position >= 0 {
		heap.Remove(&s.waiting, w.position)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.release()
}

// release passes the slot to the first waiter, or frees it when there is none.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(heap.Pop(&s.waiting).(*waiter).granted)
}

// load returns the number of running requests and of waiting ones.
func (s *slots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
