package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/virtualtime"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// chainService is a stage service of the chain experiments.
type chainService struct {
	servers int
	profile stagework.ServerProfile
}

// chainServices are the services of the chains, in their order. The first has room for
// few large results.
var chainServices = []chainService{
	{6, stagework.ServerProfile{Slots: 1, Batch: 18, CallTime: 200 * time.Millisecond, PieceTime: 9500 * time.Microsecond, RoomBytes: 40_000_000, ResultLife: 4 * time.Second}},
	{5, stagework.ServerProfile{Slots: 1, Batch: 60, CallTime: 200 * time.Millisecond, PieceTime: 2900 * time.Microsecond, RoomBytes: 7_900_000, ResultLife: 4 * time.Second}},
	{6, stagework.ServerProfile{Slots: 1, Batch: 84, CallTime: 200 * time.Millisecond, PieceTime: 2 * time.Millisecond, RoomBytes: 1_100_000, ResultLife: 4 * time.Second}},
}

// chainStage is one stage of a kind, of the service with the same index.
type chainStage struct {
	pieces      int
	resultBytes int64
}

// chainKind is a kind of requests.
type chainKind struct {
	priority         int
	target, deadline time.Duration
	perSecond        float64
	// burst multiplies the rate between chainBurstStart and chainBurstEnd.
	burst  float64
	stages []chainStage
}

const (
	chainLength     = 14 * time.Second
	chainBurstStart = 4 * time.Second
	chainBurstEnd   = 10 * time.Second
	// chainFetchTime is the time from the end of a stage until its results were fetched.
	chainFetchTime = 150 * time.Millisecond
	// chainStateInterval is how often the requesters receive the state of the queues.
	chainStateInterval = 100 * time.Millisecond
	// minChainReturn is the shortest time after which a refused client returns.
	minChainReturn = 50 * time.Millisecond
)

// chainKinds returns an urgent kind of three stages and a less urgent kind of one stage
// with large results, and a least urgent one of three stages.
func chainKinds(urgentBurst, largeBurst float64) []chainKind {
	chain := []chainStage{{1, 8_000}, {6, 60_000}, {10, 6_000}}
	return []chainKind{
		{0, 1900 * time.Millisecond, 6 * time.Second, 57, urgentBurst, chain},
		{1, 1100 * time.Millisecond, 6 * time.Second, 36, largeBurst, []chainStage{{3, 1_500_000}}},
		{2, 1900 * time.Millisecond, 20 * time.Second, 13, 1, chain},
	}
}

// chainFigures counts the requests of a kind by outcome.
type chainFigures struct {
	all, onTime, late, refused int
	// refusedAfterWork counts refusals after a finished stage.
	refusedAfterWork  int
	totalRefusalDelay time.Duration
}

// chainRequest is one request.
type chainRequest struct {
	kind     *chainKind
	figures  *chainFigures
	due      time.Time
	end      time.Time
	arrived  time.Time
	stage    int
	returned bool
	inputs   []stagework.Result
}

// chainPolicy describes who is served under shortage.
type chainPolicy struct {
	// byPriority has the queues order by priority while they are short of capacity.
	byPriority bool
	// wholeChain refuses requests whose whole chain can't end by the deadline.
	wholeChain bool
	// spreadReturns tells each refused caller its own time.
	spreadReturns bool
}

// chainSimulation simulates chains of stages in virtual time.
type chainSimulation struct {
	policy   chainPolicy
	events   virtualtime.EventQueue
	queues   []*stagework.Queue
	waits    []stagework.Waits
	requests []map[stagework.JobID]*chainRequest
	lastID   stagework.JobID
	random   *rand.Rand
}

// simulateChains simulates kinds of requests and returns the figures of each.
func simulateChains(policy chainPolicy, kinds []chainKind, seed uint64) []chainFigures {
	s := &chainSimulation{policy: policy, random: rand.New(rand.NewPCG(seed, 0)), waits: make([]stagework.Waits, len(chainServices))}
	for _, service := range chainServices {
		q := stagework.NewQueue(service.profile)
		q.SetPriorityOrder(policy.byPriority)
		var servers []stagework.Server
		for i := range service.servers {
			servers = append(servers, stagework.Server{ID: fmt.Sprint(i), FailureDomain: "d"})
		}
		q.SetServers(servers)
		s.queues = append(s.queues, q)
		s.requests = append(s.requests, map[stagework.JobID]*chainRequest{})
	}
	figures := make([]chainFigures, len(kinds))
	epoch := time.Unix(0, 0)
	for i := range kinds {
		s.scheduleArrivals(epoch, &kinds[i], &figures[i])
	}
	for at := time.Duration(0); at < chainLength+6*time.Second; at += expiryInterval {
		s.events.At(epoch.Add(at), s.expire)
	}
	for at := time.Duration(0); at < chainLength+6*time.Second; at += chainStateInterval {
		s.events.At(epoch.Add(at), s.shareState)
	}
	s.events.Run()
	return figures
}

func (s *chainSimulation) scheduleArrivals(epoch time.Time, kind *chainKind, figures *chainFigures) {
	for at := time.Duration(0); ; {
		rate := kind.perSecond
		if at > chainBurstStart && at < chainBurstEnd {
			rate *= kind.burst
		}
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if at >= chainLength {
			return
		}
		s.events.At(epoch.Add(at), func(now time.Time) { s.arrive(now, kind, figures) })
	}
}

func (s *chainSimulation) shareState(now time.Time) {
	for i, q := range s.queues {
		s.waits[i] = q.Waits(now)
	}
}

func (s *chainSimulation) arrive(now time.Time, kind *chainKind, figures *chainFigures) {
	figures.all++
	r := &chainRequest{kind: kind, figures: figures, arrived: now, due: now.Add(kind.target - firstEventDelay), end: now.Add(kind.deadline - firstEventDelay)}
	s.begin(now, r)
}

// begin offers the first stage of a request, unless the whole chain can't end by the
// deadline.
func (s *chainSimulation) begin(now time.Time, r *chainRequest) {
	d := s.decide(now, r)
	switch {
	case !s.policy.wholeChain:
	case d.Excess > 0:
		s.refuse(now, r)
		return
	case d.Hold > 0:
		s.events.At(now.Add(chainStateInterval), func(now time.Time) { s.begin(now, r) })
		return
	}
	s.offer(now, r)
}

func (s *chainSimulation) decide(now time.Time, r *chainRequest) stagework.ChainDecision {
	return stagework.DecideChain(now, stagework.ChainRequest{Priority: r.kind.priority, Due: r.due, Deadline: r.end, Stages: s.chainStages(r.kind)})
}

func (s *chainSimulation) chainStages(kind *chainKind) []stagework.ChainStage {
	var stages []stagework.ChainStage
	for i, stage := range kind.stages {
		c := stagework.ChainStage{Waits: s.waits[i], Call: max(s.waits[i].Call, chainServices[i].profile.CallDuration(stage.pieces))}
		if i > 0 {
			c.After, c.InputLife = []int{i - 1}, chainServices[i-1].profile.ResultLife
		}
		stages = append(stages, c)
	}
	return stages
}

// tail returns the expected time from the end of the current stage of a request to the end
// of its last one.
func (s *chainSimulation) tail(r *chainRequest) (tail time.Duration) {
	for i := r.stage + 1; i < len(r.kind.stages); i++ {
		call := chainServices[i].profile.CallDuration(6)
		if s.policy.byPriority {
			tail += s.waits[i].OnTime(r.kind.priority) + s.waits[i].Call
		} else {
			tail += s.waits[i].All + call
		}
	}
	return tail
}

func (s *chainSimulation) offer(now time.Time, r *chainRequest) {
	s.lastID++
	stage, tail := r.kind.stages[r.stage], s.tail(r)
	job := stagework.Job{
		ID: s.lastID, ResultBytes: stage.resultBytes, Priority: r.kind.priority, FailureDomain: "d",
		Due: r.due.Add(-tail), Deadline: r.end.Add(-tail), Started: r.stage > 0,
	}
	for piece := range stage.pieces {
		job.Pieces = append(job.Pieces, piece)
	}
	if _, ok := s.queues[r.stage].Offer(now, job); !ok {
		s.refuse(now, r)
		return
	}
	s.requests[r.stage][job.ID] = r
	s.startCalls(now, r.stage)
}

// refuse refuses a request. Its client returns once, at the time that the refusal names but after
// a third of the remaining time at the latest.
func (s *chainSimulation) refuse(now time.Time, r *chainRequest) {
	if r.stage > 0 {
		r.figures.refusedAfterWork++
		s.queues[r.stage-1].Freed(r.inputs)
	}
	remaining := r.end.Sub(now)
	if r.returned || remaining <= 0 {
		r.figures.refused++
		r.figures.totalRefusalDelay += now.Sub(r.arrived)
		return
	}
	after := s.waits[r.stage].All
	if s.policy.spreadReturns {
		after = s.decide(now, r).ReturnAfter(remaining, s.random.Float64()).After
	}
	r.stage, r.inputs, r.returned = 0, nil, true
	s.events.At(now.Add(min(max(after, minChainReturn), remaining/3)), func(now time.Time) { s.begin(now, r) })
}

func (s *chainSimulation) expire(now time.Time) {
	for i, q := range s.queues {
		s.applyEffects(now, i, q.Expire(now))
		s.startCalls(now, i)
	}
}

func (s *chainSimulation) startCalls(now time.Time, service int) {
	q := s.queues[service]
	for {
		call, ok := q.Next(now)
		if !ok {
			return
		}
		for _, id := range call.FullyDispatched {
			if r := s.requests[service][id]; r != nil && service > 0 {
				s.events.At(now.Add(call.FetchTime), func(now time.Time) {
					if q.InputsFetched(id, call.ID) {
						s.queues[service-1].Freed(r.inputs)
						s.startCalls(now, service-1)
					}
				})
			}
		}
		s.events.At(now.Add(chainServices[service].profile.CallDuration(len(call.Items))), func(now time.Time) {
			outcomes := make([]stagework.Outcome, len(call.Items))
			for i, item := range call.Items {
				outcomes[i].Handle = fmt.Sprintf("%s/%d-%d", call.Server, item.Job, item.Piece)
			}
			s.applyEffects(now, service, q.Finished(now, call.ID, outcomes))
			s.startCalls(now, service)
		})
	}
}

func (s *chainSimulation) applyEffects(now time.Time, service int, e stagework.Effects) {
	q := s.queues[service]
	q.Freed(e.Orphans)
	for _, done := range e.Done {
		r := s.requests[service][done.Job]
		delete(s.requests[service], done.Job)
		if r == nil {
			continue
		}
		if done.Refusal != "" {
			s.refuse(now, r)
			continue
		}
		s.endStage(now, r, done.Results)
	}
}

func (s *chainSimulation) endStage(now time.Time, r *chainRequest, results []stagework.Result) {
	if r.stage > 0 {
		s.queues[r.stage-1].Freed(r.inputs)
	}
	r.inputs = results
	if r.stage < len(r.kind.stages)-1 {
		r.stage++
		s.offer(now, r)
		return
	}
	service := r.stage
	s.events.At(now.Add(chainFetchTime), func(now time.Time) {
		s.queues[service].Freed(results)
		s.startCalls(now, service)
	})
	if now.After(r.due) {
		r.figures.late++
	} else {
		r.figures.onTime++
	}
}
