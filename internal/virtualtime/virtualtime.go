// Package virtualtime runs simulated events in the order of their times without
// waiting.
package virtualtime

import (
	"container/heap"
	"time"
)

// EventQueue holds the events that have not run. The zero value is empty. It is not safe
// for concurrent use.
type EventQueue struct{ events eventHeap }

// event is a function to run at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// At adds an event. Events at the same time run in no particular order.
func (q *EventQueue) At(at time.Time, run func(now time.Time)) {
	heap.Push(&q.events, event{at, run})
}

// Run runs all events, including those that events add, until none is left.
func (q *EventQueue) Run() {
	for q.events.Len() > 0 {
		e := heap.Pop(&q.events).(event)
		e.run(e.at)
	}
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
