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
	// timedLimitDecisions is the number of decisions that are timed together.
	timedLimitDecisions = 50_000
	// queuedRequests is the length of the queue while it is measured.
	queuedRequests = 1000
)

func limitsSweeps() []sweep {
	sizes := []int{5, 100, 1000, 5000, 19000}
	return []sweep{
		{role: RoleLimits, per: "organisation", sizes: sizes, target: 19000, setUp: withoutState(measureRateLimiter)},
		{role: RoleLimits, per: "organisation", sizes: sizes, target: 19000, setUp: withoutState(measureQueue)},
	}
}

func organisationNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%05d", i)
	}
	return names
}

// measureRateLimiter measures the rate limiter of an instance that receives requests
// of all n organisations.
func measureRateLimiter(n int) ([]figure, error) {
	names, now := organisationNames(n), simulatedStart
	stateBytes, limiter, _ := retained(func() (*quota.RateLimiter, error) {
		limiter := quota.NewRateLimiter()
		for _, name := range names {
			limiter.Observe(name, 1, now)
		}
		return limiter, nil
	})
	decision, objects, err := costPerCall(timedLimitDecisions, func(i int) {
		now = now.Add(time.Microsecond)
		limiter.Observe(names[i%n], 1, now)
		limiter.Allow(names[i%n], 100, 10, 1, now)
	})
	if err != nil {
		return nil, err
	}
	summary, _, err := costPerCall(20, func(int) { limiter.DemandReport(now) })
	return []figure{
		{"processor time of a rate decision", "ns", decision},
		{"allocations of a rate decision", "objects", objects},
		{"processor time of a demand summary", "ns", summary},
		{"memory of the limiter", "B", stateBytes},
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
	stateBytes, queue, _ := retained(func() (*admission.Queue, error) {
		q := admission.NewQueue(16, rand.New(rand.NewPCG(1, 1)))
		for i := range queuedRequests {
			offer(q, i)
		}
		return q, nil
	})
	decision, objects, err := costPerCall(timedLimitDecisions, func(i int) {
		now = now.Add(time.Millisecond)
		offer(queue, queuedRequests+i)
		queue.Release(now, ticket, admission.Result{Duration: time.Millisecond, Completed: true})
		queue.Tick(now)
	})
	return []figure{
		{"processor time of an admission", "ns", decision},
		{"allocations of an admission", "objects", objects},
		{"memory of a queue with 1000 requests", "B", stateBytes},
	}, err
}
