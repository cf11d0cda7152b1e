package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// balancerDetectionTime is how long the load balancer takes to notice that readiness
	// is withdrawn: two failed health checks, one second apart, and the network delay.
	balancerDetectionTime = 3200 * time.Millisecond
	// streamAdmitTime is how long after the signal new streams are still admitted.
	streamAdmitTime = 2800 * time.Millisecond
	// admitMargin is the last part of the grace period, in which no new request is
	// admitted.
	admitMargin = 1200 * time.Millisecond
	// answerMargin is the last part of the grace period, at whose start the requests whose
	// answer has not begun are answered by this instance.
	answerMargin = 900 * time.Millisecond
	// durationMargin is added to the longest recent duration of requests like the one to
	// admit.
	durationMargin = 200 * time.Millisecond
	// waitingMargin is the last part of the grace period, in which requests that wait for
	// their stages are refused, as a model server could no longer answer them in time.
	waitingMargin = 2200 * time.Millisecond
	// exitMargin is the part of the grace period that the exit of the process takes.
	exitMargin = 400 * time.Millisecond
	// idleConnectionGrace is how long clients have to send another request on an idle
	// connection, whose answer carries "Connection: close".
	idleConnectionGrace = 5 * time.Second
	drainPollInterval   = 50 * time.Millisecond
)

// Drain is the state of a graceful shutdown.
type Drain struct {
	grace time.Duration

	mu              sync.Mutex
	startedAt       time.Time
	openConnections atomic.Int64
	// waitingCtx is cancelled when requests that wait for their stages must be refused.
	waitingCtx    context.Context
	cancelWaiting context.CancelFunc
	// unansweredCtx is cancelled when requests whose answer has not begun must be answered.
	unansweredCtx    context.Context
	cancelUnanswered context.CancelFunc
}

// NewDrain returns the state of an instance that is not stopping. Grace is how long a
// shutdown may take.
func NewDrain(grace time.Duration) *Drain {
	d := &Drain{grace: grace}
	d.waitingCtx, d.cancelWaiting = context.WithCancel(context.Background())
	d.unansweredCtx, d.cancelUnanswered = context.WithCancel(context.Background())
	return d
}

// Begin starts the shutdown. Further calls have no effect.
func (d *Drain) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.startedAt.IsZero() {
		return
	}
	d.startedAt = now
	time.AfterFunc(max(0, d.grace-waitingMargin-time.Since(now)), d.cancelWaiting)
	time.AfterFunc(max(0, d.grace-answerMargin-time.Since(now)), d.cancelUnanswered)
}

// elapsed returns the time since the start of the shutdown, and false before it.
func (d *Drain) elapsed(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.startedAt), !d.startedAt.IsZero()
}

// Draining reports whether the shutdown has started.
func (d *Drain) Draining() bool {
	_, draining := d.elapsed(time.Now())
	return draining
}

// Admits reports whether a new request, or a new stream, can end before the process exits.
// timeout is the time until its deadline, and longest the longest time that requests like it
// have lately taken, 0 when that is not known.
func (d *Drain) Admits(stream bool, timeout, longest time.Duration) bool {
	elapsed, draining := d.elapsed(time.Now())
	if !draining {
		return true
	}
	if elapsed >= d.grace-admitMargin || stream && elapsed >= streamAdmitTime {
		return false
	}
	needed := timeout
	if longest > 0 {
		needed = min(timeout, longest+durationMargin)
	}
	return elapsed+needed < d.grace-answerMargin
}

// done reports whether the process can exit, given the number of requests in flight.
func (d *Drain) done(now time.Time, running int64) bool {
	elapsed, _ := d.elapsed(now)
	switch {
	case elapsed >= d.grace-exitMargin:
		return true
	case running > 0 || elapsed < balancerDetectionTime:
		return false
	}
	return d.openConnections.Load() == 0 || elapsed >= idleConnectionGrace
}

// closeWhenDraining sets "Connection: close" in the header of an answer during a
// shutdown.
func (c *clientRequest) closeWhenDraining(header http.Header) {
	if c.drain.Draining() {
		header.Set("Connection", "close")
	}
}
