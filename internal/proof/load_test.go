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
	// callers is the number of requests on their way at once, without repeats.
	callers = 10
	// thinkTime is the pause of a caller between two requests.
	thinkTime = 20 * time.Millisecond
	// maxRequests bounds the load of one scenario.
	maxRequests = 6000
	// attemptLimit is when a caller gives up a connection and asks elsewhere: the
	// longest deadline of a kind that isn't durable is 10 s.
	attemptLimit = 12 * time.Second
	// finalLimit bounds the wait for the final answer to one request, from the first
	// attempt on. A job whose holder died has to be taken over in it.
	finalLimit = 60 * time.Second
	// balanceInterval is how often the load balancer asks for readiness.
	balanceInterval = 100 * time.Millisecond
)

// load sends requests of all kinds until it is stopped.
type load struct {
	f *fleet
	// kinds tells which planned requests are sent.
	kinds   func(traffic.Request) bool
	caller  *traffic.Client
	stopped atomic.Bool
	balance context.CancelFunc
	workers sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	ready       []*instance
	targets     []*instance
	planned     []traffic.Request
	round       int
	sent        []traffic.Exchange
	sending     int
	interrupted int
	problems    map[string]int
}

// startLoad starts callers of some instances, or of all when none is named.
func (f *fleet) startLoad(targets ...*instance) *load {
	return f.startLoadOf(func(traffic.Request) bool { return true }, targets...)
}

// startLoadOf starts callers that send only some kinds.
func (f *fleet) startLoadOf(kinds func(traffic.Request) bool, targets ...*instance) *load {
	if len(targets) == 0 {
		targets = f.instances
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{f: f, kinds: kinds, targets: targets, balance: cancel, random: randomOf(f.name, "load"), problems: map[string]int{}}
	l.caller = &traffic.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}, PollAddress: l.address}
	l.refresh()
	go l.keepBalance(ctx)
	for range callers {
		l.workers.Go(l.work)
	}
	f.Cleanup(l.end)
	return l
}

// end stops the callers after their running requests.
func (l *load) end() {
	l.stopped.Store(true)
	l.workers.Wait()
	l.balance()
	l.caller.HTTP.CloseIdleConnections()
}

// keepBalance does what the platform's load balancer does.
func (l *load) keepBalance(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(balanceInterval)
		l.refresh()
	}
}

func (l *load) refresh() {
	l.mu.Lock()
	targets := l.targets
	l.mu.Unlock()
	up := make([]bool, len(targets))
	var group sync.WaitGroup
	for n, i := range targets {
		group.Go(func() { up[n] = i.ready() })
	}
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(targets, l.targets) {
		return
	}
	l.ready = l.ready[:0]
	for n, i := range targets {
		if up[n] {
			l.ready = append(l.ready, i)
		}
	}
}

// address returns a random ready instance, or any when none is.
func (l *load) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.ready
	if len(from) == 0 {
		from = l.targets
	}
	return from[l.random.IntN(len(from))].settings.CallerAddress
}

func (l *load) work() {
	for {
		request, ok := l.next()
		if !ok {
			return
		}
		sent := l.sendAll(request)
		l.mu.Lock()
		l.sent = append(l.sent, sent)
		l.mu.Unlock()
		time.Sleep(thinkTime)
	}
}

func (l *load) next() (traffic.Request, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped.Load() || l.sending == maxRequests {
		return traffic.Request{}, false
	}
	if len(l.planned) == 0 {
		l.round++
		plan := traffic.Plan(l.f.cluster.Set, l.random, fmt.Sprintf("%d-", l.round))
		l.planned = slices.DeleteFunc(plan, func(r traffic.Request) bool { return !l.kinds(r) })
	}
	request := l.planned[0]
	l.planned = l.planned[1:]
	l.sending++
	return request, true
}

// retarget sends the next requests to other instances.
func (l *load) retarget(targets ...*instance) {
	l.mu.Lock()
	l.targets, l.ready = targets, nil
	l.mu.Unlock()
	l.refresh()
}

// settle waits until the requests that were under way are finished.
func (l *load) settle() {
	l.mu.Lock()
	target := l.sending
	l.mu.Unlock()
	l.f.wait("requests under way", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.sent) >= target
	})
}

// sendAll sends a request and its repeats: half of them at the same time, the
// others one after the other.
func (l *load) sendAll(r traffic.Request) traffic.Exchange {
	sent := traffic.Exchange{Request: r, Answers: make([]traffic.Answer, r.Repeats+1)}
	var interrupted atomic.Int32
	var group errgroup.Group
	if len(r.ID)%2 == 0 {
		group.SetLimit(1)
	}
	for n := range sent.Answers {
		group.Go(func() error {
			sent.Answers[n] = l.send(r, &interrupted)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	sent.Interrupted = int(interrupted.Load())
	return sent
}

// send sends a request to random instances until there is a final answer. A request
// without a key is idempotent, and one with a key runs once.
func (l *load) send(r traffic.Request, interrupted *atomic.Int32) traffic.Answer {
	final, cancel := context.WithTimeout(context.Background(), finalLimit)
	defer cancel()
	for {
		limit := attemptLimit
		if r.Kind.Durable {
			limit = finalLimit
		}
		ctx, cancel := context.WithTimeout(final, limit)
		answer := l.caller.Send(ctx, l.address(), r)
		cancel()
		l.note(r, answer)
		if answer.Outcome != "" || answer.Location != "" || final.Err() != nil {
			return answer
		}
		interrupted.Add(1)
		time.Sleep(pollInterval)
	}
}

// note counts interrupted attempts and the details of other ends than completed.
func (l *load) note(r traffic.Request, answer traffic.Answer) {
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

// completed returns the number of requests that were completed so far.
func (l *load) completed(kinds func(traffic.Request) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.sent {
		if kinds(s.Request) && s.Answers[0].Outcome == entry.OutcomeCompleted {
			n++
		}
	}
	return n
}

func idempotent(r traffic.Request) bool { return !r.Kind.AtMostOnce() && !r.Kind.Durable }
func atMostOnce(r traffic.Request) bool { return r.Kind.AtMostOnce() }
func durable(r traffic.Request) bool    { return r.Async }

// waitMore waits until n more requests of some kinds are completed.
func (l *load) waitMore(n int, kinds func(traffic.Request) bool) {
	l.f.Helper()
	target := l.completed(kinds) + n
	l.f.wait(fmt.Sprintf("%d more requests", n), func() bool { return l.completed(kinds) >= target })
}

// verify ends the load, reports the scenario and checks the four counts.
func (l *load) verify(faults ...string) traffic.Counts {
	l.f.Helper()
	l.end()
	v := traffic.NewVerifier(l.f.cluster.Set, l.f.cluster.Runs())
	var counts traffic.Counts
	for _, s := range l.sent {
		one := v.Count(s)
		if one.Violations() > 0 {
			l.f.Logf("%s: %s %+v", s.ID, s.Kind.Name, one)
			for _, a := range s.Answers {
				l.f.Logf("    outcome %q, %d bytes, digest %q: %s", a.Outcome, len(a.Body), a.Digest, a.Detail)
			}
		}
		counts.Add(one)
	}
	report.add(reported{l.f.name, faults, counts})
	for problem, n := range l.problems {
		l.f.Logf("%5d %s", n, problem)
	}
	l.f.Check(counts.Violations(), qt.Equals, 0, qt.Commentf("%+v", counts))
	return counts
}
