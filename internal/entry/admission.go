package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/admission"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// Problem types of refusals by admission control.
const (
	ProblemRate     = "/problems/rate-limit"
	ProblemOverload = "/problems/overload"
)

// AdmissionControl implements Admission for an instance: it enforces the rates of
// organisations and keeps one queue per pool. A request waits in the queue of its
// bottleneck, the pool of the stage that uses the largest part of its pool's
// capacity; the limit there also bounds the load of the other stages.
type AdmissionControl struct {
	servers *Servers
	metrics *AdmissionMetrics
	logger  *slog.Logger
	now     func() time.Time

	mu           sync.Mutex
	rates        *quota.RateLimiter
	queues       map[string]*poolQueue
	lastTicketID uint64
}

// poolQueue is the admission queue of one pool and the callers that wait in it.
type poolQueue struct {
	queue   *admission.Queue
	waiters map[uint64]chan admission.Decision
	// durationRatio is the moving average of a request's total duration divided
	// by the duration of its stage in this pool. The share of the slots is multiplied
	// by it to get the share of the queue: an admitted request counts as running
	// throughout all its stages, but uses a slot of this pool only in one of them.
	durationRatio float64
}

// durationRatioGain is the weight of one request in the moving average
// poolQueue.durationRatio.
const durationRatioGain = 0.05

// NewAdmissionControl returns the admission control for the pools in servers.
func NewAdmissionControl(servers *Servers, metrics *AdmissionMetrics, logger *slog.Logger, now func() time.Time) *AdmissionControl {
	return &AdmissionControl{
		servers: servers, metrics: metrics, logger: logger, now: now,
		rates: quota.NewRateLimiter(), queues: map[string]*poolQueue{},
	}
}

// Admit implements Admission. It waits until the request may start, or returns
// the problem with which the request is refused.
func (a *AdmissionControl) Admit(ctx context.Context, request *Request) (func(Outcome), *Problem) {
	release, problem := a.admit(ctx, request)
	if problem != nil {
		a.metrics.countRefused(problem.Type)
		events.RequestRefused.Log(ctx, a.logger, slog.String("reason", problem.Type),
			slog.String("organisation", request.Organisation.Name), slog.String("kind", request.Kind.Name))
	}
	return release, problem
}

func (a *AdmissionControl) admit(ctx context.Context, request *Request) (func(Outcome), *Problem) {
	now := a.now()
	if problem := a.checkRate(request, now); problem != nil {
		return nil, problem
	}
	plan := a.servers.plan(request)
	if !plan.Feasible(0, request.Deadline.Sub(now)) {
		return nil, notRunProblem(http.StatusGatewayTimeout, ProblemDeadline, "deadline cannot be met",
			"the stages take longer than the time that is left")
	}
	pool, durationRatio := a.bottleneck(request)
	a.mu.Lock()
	q := a.queue(pool)
	q.durationRatio += durationRatioGain * (durationRatio - q.durationRatio)
	a.lastTicketID++
	ticket := newTicket(a.lastTicketID, request)
	decision := q.queue.Offer(now, ticket)
	var decided chan admission.Decision
	if decision.Verdict == admission.Waiting {
		decided = make(chan admission.Decision, 1)
		q.waiters[ticket.ID] = decided
	}
	a.mu.Unlock()
	if decided != nil {
		decision = a.await(ctx, q, ticket, decided)
	}
	if decision.Verdict == admission.Refused {
		if a.tryOtherRegion(request, pool) {
			// The queue of this region did not admit the request, so that there is
			// nothing to release.
			return func(Outcome) {}, nil
		}
		return nil, admissionProblem(decision)
	}
	return a.releaseFunc(q, ticket), nil
}

// tryOtherRegion marks a request to run in another region when its own region
// cannot answer in time, provided that the deadline can still be met there and
// the link has capacity. Only pipelines of one stage run in another region,
// because a longer one would cross the link at each stage.
func (a *AdmissionControl) tryOtherRegion(request *Request, pool string) bool {
	remaining := request.Deadline.Sub(a.now())
	feasible := a.servers.plan(request).Feasible(0, remaining-crossRegionLatency)
	if len(request.Pipeline.Stages) > 1 || !feasible || !a.servers.hasRemoteCapacity(pool, request.Kind.Cost.LinkBytes) {
		return false
	}
	request.crossRegion = true
	return true
}

// crossRegionLatency is the additional time that a call to another region takes.
const crossRegionLatency = 50 * time.Millisecond

func newTicket(id uint64, request *Request) admission.Ticket {
	return admission.Ticket{
		ID:           id,
		Class:        request.Kind.Class,
		Priority:     request.Kind.Priority,
		Organisation: request.Organisation.Name,
		Weight:       request.Organisation.Weight,
		Deadline:     request.Deadline,
	}
}

// checkRate counts the request against the rate limit of its organisation.
func (a *AdmissionControl) checkRate(request *Request, now time.Time) *Problem {
	o := request.Organisation
	a.mu.Lock()
	a.rates.Observe(o.Name, 1, now)
	ok, retryAfter := a.rates.Allow(o.Name, o.RequestsPerSecond, o.Burst, 1, now)
	a.mu.Unlock()
	if ok {
		return nil
	}
	problem := notRunProblem(http.StatusTooManyRequests, ProblemRate, "organisation rate exceeded",
		"the organisation sends more requests than it may")
	// Random jitter keeps callers that were refused together from retrying together.
	problem.RetryAfterMS = max(1, int64(float64(retryAfter.Milliseconds())*(1+rand.Float64()/2)))
	return problem
}

// bottleneck returns the pool where the request waits, and the duration of the
// whole request divided by that of the stage in this pool.
func (a *AdmissionControl) bottleneck(request *Request) (pool string, durationRatio float64) {
	plan := a.servers.plan(request)
	total, known := plan.Typical()
	busiest := len(plan) - 1
	if !known || total == 0 {
		return request.Pipeline.Stages[busiest].Pool, 1
	}
	highestUse := 0.0
	for i, times := range plan {
		use := float64(times.Typical) / max(1, a.servers.slotShare(request.Pipeline.Stages[i].Pool))
		if use > highestUse {
			busiest, highestUse = i, use
		}
	}
	return request.Pipeline.Stages[busiest].Pool, float64(total) / float64(max(1, plan[busiest].Typical))
}

// queue returns the queue of a pool and creates it when needed. The caller holds
// a.mu.
func (a *AdmissionControl) queue(pool string) *poolQueue {
	q := a.queues[pool]
	if q == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		q = &poolQueue{
			queue:         admission.NewQueue(a.servers.slotShare(pool), random),
			waiters:       map[uint64]chan admission.Decision{},
			durationRatio: 1,
		}
		a.queues[pool] = q
	}
	return q
}

// await waits for the decision on a ticket. The ticket is removed from the queue
// when ctx ends first, for example because the caller disconnected.
func (a *AdmissionControl) await(ctx context.Context, q *poolQueue, ticket admission.Ticket, decided chan admission.Decision) admission.Decision {
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
	}
	a.mu.Lock()
	if q.queue.Cancel(ticket) {
		delete(q.waiters, ticket.ID)
		a.mu.Unlock()
		return admission.Decision{TicketID: ticket.ID, Verdict: admission.Refused, Reason: admission.ReasonDeadline}
	}
	a.mu.Unlock()
	return <-decided
}

// releaseFunc returns the function that frees the slot of an admitted request.
func (a *AdmissionControl) releaseFunc(q *poolQueue, ticket admission.Ticket) func(Outcome) {
	started := a.now()
	return func(outcome Outcome) {
		now := a.now()
		a.mu.Lock()
		defer a.mu.Unlock()
		q.queue.Release(now, ticket, admission.Result{Duration: now.Sub(started), Completed: outcome == OutcomeCompleted})
		q.deliver(q.queue.Tick(now))
	}
}

// deliver sends decisions to the callers that wait for them.
func (q *poolQueue) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		q.waiters[decision.TicketID] <- decision
		delete(q.waiters, decision.TicketID)
	}
}

// Tick adapts the concurrency limits and refuses requests that waited too long.
func (a *AdmissionControl) Tick() {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool, q := range a.queues {
		q.queue.SetShare(a.servers.slotShare(pool) * q.durationRatio)
		q.deliver(q.queue.Expire(now))
		q.deliver(q.queue.Tick(now))
		running, waiting := q.queue.Load()
		a.metrics.updateQueue(pool, running, waiting, q.queue.Limit())
	}
}

// Demand returns the requests per second that this instance receives from each
// organisation. It is shared with the other instances.
func (a *AdmissionControl) Demand() quota.DemandReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rates.DemandReport(a.now())
}

// SetPeerDemand sets the demand that other instances and failure domains reported.
func (a *AdmissionControl) SetPeerDemand(reports []quota.DemandReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rates.SetPeers(reports)
}

// admissionProblem returns the problem of a request that the queue refused.
func admissionProblem(decision admission.Decision) *Problem {
	problem := notRunProblem(http.StatusServiceUnavailable, ProblemOverload, "overloaded", string(decision.Reason))
	problem.RetryAfterMS = decision.RetryAfter.Milliseconds()
	return problem
}
