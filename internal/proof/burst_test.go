package proof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/coltsfootdrift/coltsfootdrift/internal/traffic"
)

// burst is a set of requests that a scenario sends to instances of its choice.
type burst struct {
	mu          sync.Mutex
	exchanges   []traffic.Exchange
	interrupted []atomic.Int32
}

// newBurst returns n of the selected planned requests. The prefix of their request IDs
// keeps them apart from the requests that the callers send.
func (l *load) newBurst(n int, prefix string, selects func(traffic.Request) bool) *burst {
	b := &burst{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for round := 0; len(b.exchanges) < n; round++ {
		for _, r := range traffic.Plan(l.f.cluster.Set, l.random, fmt.Sprintf("%s%d-", prefix, round)) {
			if selects(r) && len(b.exchanges) < n {
				b.exchanges = append(b.exchanges, traffic.Exchange{Request: r})
			}
		}
	}
	b.interrupted = make([]atomic.Int32, len(b.exchanges))
	return b
}

// newKeyedBurst returns n at-most-once requests, which have idempotency keys.
func (l *load) newKeyedBurst(n int) *burst { return l.newBurst(n, "burst-", atMostOnce) }

// sendTo sends the requests to one instance, and to random ready ones when that
// instance breaks the connection. The returned group waits for the answers.
func (l *load) sendTo(first *instance, b *burst) *sync.WaitGroup {
	var group sync.WaitGroup
	for n, e := range b.exchanges {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
			defer cancel()
			answer := l.client.Send(ctx, first.settings.CallerAddress, e.Request)
			l.recordProblem(e.Request, answer)
			if answer.Outcome == "" && answer.Location == "" {
				b.interrupted[n].Add(1)
				answer = l.send(e.Request, &b.interrupted[n])
			}
			b.addAnswer(n, answer)
		})
	}
	return &group
}

// resend sends the requests again, to random ready instances.
func (l *load) resend(b *burst) {
	var group sync.WaitGroup
	for n, e := range b.exchanges {
		group.Go(func() { b.addAnswer(n, l.send(e.Request, &b.interrupted[n])) })
	}
	group.Wait()
}

func (b *burst) addAnswer(n int, answer traffic.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges[n].Answers = append(b.exchanges[n].Answers, answer)
}

// addBurst adds the requests and answers of a finished burst to those of the load.
func (l *load) addBurst(b *burst) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, e := range b.exchanges {
		e.Interrupted = int(b.interrupted[n].Load())
		l.exchanges = append(l.exchanges, e)
	}
}

// runsOf returns the number of recorded runs of the requests of a burst.
func (f *fleet) runsOf(b *burst) int {
	ids := map[string]bool{}
	for _, e := range b.exchanges {
		ids[e.ID] = true
	}
	n := 0
	for _, run := range f.cluster.Runs() {
		if ids[run.RequestID] {
			n++
		}
	}
	return n
}
