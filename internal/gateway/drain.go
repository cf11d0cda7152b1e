package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// balancerDetectionTime is the time in which the balancer sees that readiness is
	// withdrawn: two misses of a check each second, and the way.
	balancerDetectionTime = 3200 * time.Millisecond
	// streamAdmitTime is how long after the signal new streams are still taken. One
	// that starts later may not end within the grace time.
	streamAdmitTime = 2800 * time.Millisecond
	// admitMargin is the part of the grace time in which nothing new is taken.
	admitMargin = 1200 * time.Millisecond
	// waitingMargin is the part of the grace time in which requests that wait for
	// their stages are refused: a model server could not answer them any more.
	waitingMargin = 2200 * time.Millisecond
	// exitMargin is what the end of the process itself needs.
	exitMargin = 400 * time.Millisecond
	// idleConnectionGrace is how long clients have to use a kept connection once more
	// and learn that it closes.
	idleConnectionGrace = 5 * time.Second
	drainPollInterval   = 50 * time.Millisecond
)

// Drain is the state of a shutdown.
type Drain struct {
	grace time.Duration

	mu              sync.Mutex
	startedAt       time.Time
	openConnections atomic.Int64
	// waitingCtx ends when requests that were not sent yet are refused.
	waitingCtx    context.Context
	cancelWaiting context.CancelFunc
}

// NewDrain returns the state of an instance that is not stopping. Grace is the
// time that a shutdown may take.
func NewDrain(grace time.Duration) *Drain {
	closing, end := context.WithCancel(context.Background())
	return &Drain{grace: grace, waitingCtx: closing, cancelWaiting: end}
}

// Begin starts the shutdown.
func (d *Drain) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.startedAt.IsZero() {
		return
	}
	d.startedAt = now
	time.AfterFunc(max(0, d.grace-waitingMargin-time.Since(now)), d.cancelWaiting)
}

// elapsed returns the time since the start of the shutdown, and false before it.
func (d *Drain) elapsed(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.startedAt), !d.startedAt.IsZero()
}

// Draining reports whether the shutdown has begun.
func (d *Drain) Draining() bool {
	_, draining := d.elapsed(time.Now())
	return draining
}

// Admits reports whether a new request can end before the process does.
func (d *Drain) Admits(stream bool) bool {
	elapsed, draining := d.elapsed(time.Now())
	if !draining {
		return true
	}
	if stream {
		return elapsed < streamAdmitTime
	}
	return elapsed < d.grace-admitMargin
}

// done reports whether the process can end.
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

// closeWhenDraining tells the client of an answer that its connection closes.
func (a *clientRequest) closeWhenDraining(header http.Header) {
	if a.drain.Draining() {
		header.Set("Connection", "close")
	}
}
