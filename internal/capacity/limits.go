package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/admission"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

const (
	// limitDecisions is the number of decisions that are timed together.
	limitDecisions = 50_000
	// waitingRequests is the length of the queue while it is measured.
	waitingRequests = 1000
)

func limitsSweeps() []sweep {
	sizes := []int{5, 100, 1000, 5000, 19000}
	return []sweep{
		{role: RoleLimits, per: "organisation", sizes: sizes, target: 19000, prepare: fixed(measureRates)},
		{role: RoleLimits, per: "organisation", sizes: sizes, target: 19000, prepare: fixed(measureQueue)},
	}
}

func organisationNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%05d", i)
	}
	return names
}

// measureRates measures the limiter of an instance that every organisation uses.
func measureRates(n int) ([]figure, error) {
	names, now := organisationNames(n), simulatedStart
	state, share, _ := retained(func() (*quota.RateLimiter, error) {
		share := quota.NewRateLimiter()
		for _, name := range names {
			share.Observe(name, 1, now)
		}
		return share, nil
	})
	decision, objects, err := perCall(limitDecisions, func(i int) {
		now = now.Add(time.Microsecond)
		share.Observe(names[i%n], 1, now)
		share.Allow(names[i%n], 100, 10, 1, now)
	})
	if err != nil {
		return nil, err
	}
	summary, _, err := perCall(20, func(int) { share.Summary(now) })
	return []figure{
		{"processor time of a rate decision", "ns", decision},
		{"allocations of a rate decision", "objects", objects},
		{"processor time of a demand summary", "ns", summary},
		{"memory of the limiter", "B", state},
	}, err
}

// measureQueue measures admission with requests of n organisations waiting.
func measureQueue(n int) ([]figure, error) {
	names, now := organisationNames(n), simulatedStart
	ticket := admission.Ticket{Class: pipeline.ClassInteractive}
	offer := func(q *admission.Queue, i int) {
		ticket.ID, ticket.Organisation, ticket.Deadline = uint64(i)+1, names[i%n], now.Add(time.Hour)
		q.Offer(now, ticket)
	}
	state, queue, _ := retained(func() (*admission.Queue, error) {
		q := admission.NewQueue(16, rand.New(rand.NewPCG(1, 1)))
		for i := range waitingRequests {
			offer(q, i)
		}
		return q, nil
	})
	decision, objects, err := perCall(limitDecisions, func(i int) {
		now = now.Add(time.Millisecond)
		offer(queue, waitingRequests+i)
		queue.Release(now, ticket, admission.Result{Duration: time.Millisecond, Completed: true})
		queue.Tick(now)
	})
	return []figure{
		{"processor time of an admission", "ns", decision},
		{"allocations of an admission", "objects", objects},
		{"memory of a queue with 1000 requests", "B", state},
	}, err
}
