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

// AdmissionControl is the Admission of an instance: organisation rates, and one
// queue per pool. A request waits at the pool of the stage that uses the largest
// part of its pool, since the other stages follow from it.
type AdmissionControl struct {
	servers *Servers
	metrics *DecisionMetrics
	logger  *slog.Logger
	now     func() time.Time

	mu     sync.Mutex
	rates  *quota.RateLimiter
	queues map[string]*poolQueue
	lastID uint64
}

// poolQueue is the queue of one pool with the callers that wait in it.
type poolQueue struct {
	queue   *admission.Queue
	waiting map[uint64]chan admission.Decision
	// stretch is the mean duration of whole requests as a multiple of that of
	// their stage at this pool.
	stretch float64
}

// stretchGain is the weight of one request in the mean of poolQueue.stretch.
const stretchGain = 0.05

// NewAdmissionControl returns an admission control for the pools of servers.
func NewAdmissionControl(servers *Servers, metrics *DecisionMetrics, logger *slog.Logger, now func() time.Time) *AdmissionControl {
	return &AdmissionControl{
		servers: servers, metrics: metrics, logger: logger, now: now,
		rates: quota.NewRateLimiter(), queues: map[string]*poolQueue{},
	}
}

// Admit waits until the request may start, or returns why it never will.
func (a *AdmissionControl) Admit(ctx context.Context, request *Request) (func(Outcome), *Problem) {
	release, problem := a.admit(ctx, request)
	if problem != nil {
		a.metrics.refused(problem.Type)
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
		return nil, notRun(http.StatusGatewayTimeout, ProblemDeadline, "deadline cannot be met",
			"the stages take longer than the time that is left")
	}
	pool, stretch := a.bottleneck(request)
	a.mu.Lock()
	q := a.queue(pool)
	q.stretch += stretchGain * (stretch - q.stretch)
	a.lastID++
	ticket := newTicket(a.lastID, request)
	decision := q.queue.Offer(now, ticket)
	var decided chan admission.Decision
	if decision.Verdict == admission.Waiting {
		decided = make(chan admission.Decision, 1)
		q.waiting[ticket.ID] = decided
	}
	a.mu.Unlock()
	if decided != nil {
		decision = a.await(ctx, q, ticket, decided)
	}
	if decision.Verdict == admission.Refused {
		if a.leave(request, pool) {
			return func(Outcome) {}, nil
		}
		return nil, refusal(decision)
	}
	return a.releaser(q, ticket), nil
}

// leave sends a request to another region when its own cannot answer in time:
// while the deadline can still be met there and the link has room. Only
// pipelines of one stage leave, since each stage of others would cross the link.
func (a *AdmissionControl) leave(request *Request, pool string) bool {
	remaining := request.Deadline.Sub(a.now())
	fits := a.servers.plan(request).Feasible(0, remaining-linkAllowance)
	if len(request.Pipeline.Stages) > 1 || !fits || !a.servers.remoteRoom(pool, request.Kind.Cost.LinkBytes) {
		return false
	}
	request.leave = true
	return true
}

// linkAllowance is the time that a call to another region takes in addition.
const linkAllowance = 50 * time.Millisecond

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

// checkRate takes the request from the organisation's rate.
func (a *AdmissionControl) checkRate(request *Request, now time.Time) *Problem {
	o := request.Organisation
	a.mu.Lock()
	a.rates.Observe(o.Name, 1, now)
	ok, retryAfter := a.rates.Allow(o.Name, o.RequestsPerSecond, o.Burst, 1, now)
	a.mu.Unlock()
	if ok {
		return nil
	}
	problem := notRun(http.StatusTooManyRequests, ProblemRate, "organisation rate exceeded",
		"the organisation sends more requests than it may")
	// Callers that were refused together must not come back together.
	problem.RetryAfterMS = max(1, int64(float64(retryAfter.Milliseconds())*(1+rand.Float64()/2)))
	return problem
}

// bottleneck returns the pool where the request waits, and the duration of the
// whole request as a multiple of that stage's.
func (a *AdmissionControl) bottleneck(request *Request) (pool string, stretch float64) {
	plan := a.servers.plan(request)
	total, known := plan.Typical()
	best := len(plan) - 1
	if !known || total == 0 {
		return request.Pipeline.Stages[best].Pool, 1
	}
	most := 0.0
	for i, times := range plan {
		use := float64(times.Typical) / max(1, a.servers.share(request.Pipeline.Stages[i].Pool))
		if use > most {
			best, most = i, use
		}
	}
	return request.Pipeline.Stages[best].Pool, float64(total) / float64(max(1, plan[best].Typical))
}

// queue returns the queue of a pool.
func (a *AdmissionControl) queue(pool string) *poolQueue {
	q := a.queues[pool]
	if q == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		q = &poolQueue{
			queue:   admission.NewQueue(a.servers.share(pool), random),
			waiting: map[uint64]chan admission.Decision{},
			stretch: 1,
		}
		a.queues[pool] = q
	}
	return q
}

// await waits for the decision on a ticket. A caller that goes away takes its
// ticket out of the queue.
func (a *AdmissionControl) await(ctx context.Context, q *poolQueue, ticket admission.Ticket, decided chan admission.Decision) admission.Decision {
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
	}
	a.mu.Lock()
	if q.queue.Cancel(ticket) {
		delete(q.waiting, ticket.ID)
		a.mu.Unlock()
		return admission.Decision{TicketID: ticket.ID, Verdict: admission.Refused, Reason: admission.ReasonDeadline}
	}
	a.mu.Unlock()
	return <-decided
}

// releaser returns the function that ends an admitted request.
func (a *AdmissionControl) releaser(q *poolQueue, ticket admission.Ticket) func(Outcome) {
	started := a.now()
	return func(outcome Outcome) {
		now := a.now()
		a.mu.Lock()
		defer a.mu.Unlock()
		q.queue.Release(now, ticket, admission.Result{Duration: now.Sub(started), Completed: outcome == OutcomeCompleted})
		q.deliver(q.queue.Tick(now))
	}
}

// deliver hands decisions to the callers that wait for them.
func (q *poolQueue) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		q.waiting[decision.TicketID] <- decision
		delete(q.waiting, decision.TicketID)
	}
}

// Tick adapts the limits and refuses requests that waited too long.
func (a *AdmissionControl) Tick() {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool, q := range a.queues {
		q.queue.SetShare(a.servers.share(pool) * q.stretch)
		q.deliver(q.queue.Expire(now))
		q.deliver(q.queue.Tick(now))
		running, waiting := q.queue.Load()
		a.metrics.queue(pool, running, waiting, q.queue.Limit())
	}
}

// Demand returns the requests per second by organisation, for the peers.
func (a *AdmissionControl) Demand() quota.Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rates.Summary(a.now())
}

// SetPeers takes the demand of the other instances and failure domains.
func (a *AdmissionControl) SetPeers(summaries []quota.Summary) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rates.SetPeers(summaries)
}

// refusal turns a decision into the answer for the caller.
func refusal(decision admission.Decision) *Problem {
	problem := notRun(http.StatusServiceUnavailable, ProblemOverload, "overloaded", string(decision.Reason))
	problem.RetryAfterMS = decision.RetryAfter.Milliseconds()
	return problem
}
