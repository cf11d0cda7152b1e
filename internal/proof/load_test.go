package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/traffic"
)

const (
	// callers is the number of concurrent callers. Each has one request in flight,
	// not counting repeats.
	callers = 10
	// thinkTime is the time for which a caller pauses between two requests.
	thinkTime = 20 * time.Millisecond
	// maxRequests limits the number of requests of one scenario.
	maxRequests = 6000
	// attemptTimeout is the time after which a caller aborts an attempt and sends the
	// request to another instance. The longest deadline of a kind that is not durable
	// is 10 s.
	attemptTimeout = 12 * time.Second
	// finalAnswerTimeout limits the wait for the final answer to one request, from the
	// first attempt on. It includes the takeover of a job whose holder was killed.
	finalAnswerTimeout = 60 * time.Second
	// balanceInterval is the time between two readiness checks by the load balancer.
	balanceInterval = 100 * time.Millisecond
)

// load sends requests of all kinds until it is stopped.
type load struct {
	f *fleet
	// selects reports whether a planned request is sent.
	selects      func(traffic.Request) bool
	client       *traffic.Client
	stopped      atomic.Bool
	stopBalancer context.CancelFunc
	workers      sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	ready       []*instance       // the targets that passed their last readiness check
	targets     []*instance       // the instances to which requests are sent
	planned     []traffic.Request // the requests of the round that are not yet sent
	round       int               // number of the plan, part of its request IDs
	exchanges   []traffic.Exchange
	started     int            // number of requests taken from the plans
	interrupted int            // number of attempts without a final answer
	problems    map[string]int // counts by kind, outcome and detail
}

// startLoad starts callers that send requests of all kinds to the target instances,
// or to all instances when no target is given.
func (f *fleet) startLoad(targets ...*instance) *load {
	return f.startLoadOf(func(traffic.Request) bool { return true }, targets...)
}

// startLoadOf starts callers that send only the selected requests.
func (f *fleet) startLoadOf(selects func(traffic.Request) bool, targets ...*instance) *load {
	if len(targets) == 0 {
		targets = f.instances
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{f: f, selects: selects, targets: targets, stopBalancer: cancel, random: randomOf(f.name, "load"), problems: map[string]int{}}
	l.client = &traffic.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}, PollAddress: l.pickAddress}
	l.refreshReady()
	go l.runBalancer(ctx)
	for range callers {
		l.workers.Go(l.runCaller)
	}
	f.Cleanup(l.end)
	return l
}

// end waits for the running requests and stops the callers and the load balancer.
func (l *load) end() {
	l.stopped.Store(true)
	l.workers.Wait()
	l.stopBalancer()
	l.client.HTTP.CloseIdleConnections()
}

// runBalancer does what the platform's load balancer does: it checks regularly which
// targets are ready.
func (l *load) runBalancer(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(balanceInterval)
		l.refreshReady()
	}
}

func (l *load) refreshReady() {
	l.mu.Lock()
	targets := l.targets
	l.mu.Unlock()
	isReady := make([]bool, len(targets))
	var group sync.WaitGroup
	for n, i := range targets {
		group.Go(func() { isReady[n] = i.ready() })
	}
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(targets, l.targets) {
		return
	}
	l.ready = l.ready[:0]
	for n, i := range targets {
		if isReady[n] {
			l.ready = append(l.ready, i)
		}
	}
}

// pickAddress returns the address of a random ready target, or of any target when none
// is ready.
func (l *load) pickAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := l.ready
	if len(candidates) == 0 {
		candidates = l.targets
	}
	return candidates[l.random.IntN(len(candidates))].settings.CallerAddress
}

func (l *load) runCaller() {
	for {
		request, ok := l.nextRequest()
		if !ok {
			return
		}
		exchange := l.sendAll(request)
		l.mu.Lock()
		l.exchanges = append(l.exchanges, exchange)
		l.mu.Unlock()
		time.Sleep(thinkTime)
	}
}

func (l *load) nextRequest() (traffic.Request, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped.Load() || l.started == maxRequests {
		return traffic.Request{}, false
	}
	if len(l.planned) == 0 {
		l.round++
		plan := traffic.Plan(l.f.cluster.Set, l.random, fmt.Sprintf("%d-", l.round))
		l.planned = slices.DeleteFunc(plan, func(r traffic.Request) bool { return !l.selects(r) })
	}
	request := l.planned[0]
	l.planned = l.planned[1:]
	l.started++
	return request, true
}

// retarget changes the instances to which further requests are sent.
func (l *load) retarget(targets ...*instance) {
	l.mu.Lock()
	l.targets, l.ready = targets, nil
	l.mu.Unlock()
	l.refreshReady()
}

// waitForRunningRequests waits until the requests that are in flight have finished.
func (l *load) waitForRunningRequests() {
	l.mu.Lock()
	target := l.started
	l.mu.Unlock()
	l.f.waitUntil("end of running requests", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.exchanges) >= target
	})
}

// sendAll sends a request and its repeats. For half of the requests they are
// concurrent, for the others sequential.
func (l *load) sendAll(r traffic.Request) traffic.Exchange {
	exchange := traffic.Exchange{Request: r, Answers: make([]traffic.Answer, r.Repeats+1)}
	var interrupted atomic.Int32
	var group errgroup.Group
	if len(r.ID)%2 == 0 {
		group.SetLimit(1)
	}
	for n := range exchange.Answers {
		group.Go(func() error {
			exchange.Answers[n] = l.send(r, &interrupted)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	exchange.Interrupted = int(interrupted.Load())
	return exchange
}

// send sends a request to random instances until there is a final answer. Sending it
// again is safe: a request without a key is idempotent, and one with a key runs at
// most once.
func (l *load) send(r traffic.Request, interrupted *atomic.Int32) traffic.Answer {
	finalCtx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	for {
		timeout := attemptTimeout
		if r.Kind.Durable {
			timeout = finalAnswerTimeout
		}
		ctx, cancel := context.WithTimeout(finalCtx, timeout)
		answer := l.client.Send(ctx, l.pickAddress(), r)
		cancel()
		l.recordProblem(r, answer)
		if answer.Outcome != "" || answer.Location != "" || finalCtx.Err() != nil {
			return answer
		}
		interrupted.Add(1)
		time.Sleep(pollInterval)
	}
}

// recordProblem counts interrupted attempts, and the details of answers that are not
// completed.
func (l *load) recordProblem(r traffic.Request, answer traffic.Answer) {
	if answer.Outcome == entry.OutcomeCompleted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.Outcome == "" {
		l.interrupted++
	}
	l.problems[fmt.Sprintf("%s %s: %s", r.Kind.Name, answer.Outcome, answer.Detail)]++
}

// completed returns the number of selected requests that were completed so far.
func (l *load) completed(selects func(traffic.Request) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.exchanges {
		if selects(e.Request) && e.Answers[0].Outcome == entry.OutcomeCompleted {
			n++
		}
	}
	return n
}

func idempotent(r traffic.Request) bool { return !r.Kind.AtMostOnce() && !r.Kind.Durable }
func atMostOnce(r traffic.Request) bool { return r.Kind.AtMostOnce() }
func durable(r traffic.Request) bool    { return r.Async }

// waitMore waits until n more of the selected requests are completed.
func (l *load) waitMore(n int, selects func(traffic.Request) bool) {
	l.f.Helper()
	target := l.completed(selects) + n
	l.f.waitUntil(fmt.Sprintf("%d more requests", n), func() bool { return l.completed(selects) >= target })
}

// verify ends the load, adds the scenario to the table and checks that the counts of
// lost, doubled and mixed-up requests and of those that ran despite not_run are 0.
func (l *load) verify(faults ...string) traffic.Counts {
	l.f.Helper()
	l.end()
	v := traffic.NewVerifier(l.f.cluster.Set, l.f.cluster.Runs())
	var counts traffic.Counts
	for _, e := range l.exchanges {
		requestCounts := v.Count(e)
		if requestCounts.Violations() > 0 {
			l.f.Logf("%s: %s %+v", e.ID, e.Kind.Name, requestCounts)
			for _, a := range e.Answers {
				l.f.Logf("    outcome %q, %d bytes, digest %q: %s", a.Outcome, len(a.Body), a.Digest, a.Detail)
			}
		}
		counts.Add(requestCounts)
	}
	table.add(scenarioRow{l.f.name, faults, counts})
	for problem, n := range l.problems {
		l.f.Logf("%5d %s", n, problem)
	}
	l.f.Check(counts.Violations(), qt.Equals, 0, qt.Commentf("%+v", counts))
	return counts
}
