// Package virtualtime runs events in the order of their times without waiting.
package virtualtime

import (
	"container/heap"
	"time"
)

// EventQueue is the events to come. The zero value is empty. It is not safe for
// concurrent use.
type EventQueue struct{ events events }

// event is something that happens at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// At adds an event. Events of one time run in no certain order.
func (q *EventQueue) At(at time.Time, run func(now time.Time)) {
	heap.Push(&q.events, event{at, run})
}

// Run runs all events, also those that events add, until there are none.
func (q *EventQueue) Run() {
	for q.events.Len() > 0 {
		e := heap.Pop(&q.events).(event)
		e.run(e.at)
	}
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
