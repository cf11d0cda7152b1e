package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// balancerNotice is the time in which the balancer sees that readiness is
	// withdrawn: two misses of a check each second, and the way.
	balancerNotice = 3200 * time.Millisecond
	// streamNotice is how long after the signal new streams are still taken. One
	// that starts later may not end within the grace time.
	streamNotice = 2800 * time.Millisecond
	// plainMargin is the part of the grace time in which nothing new is taken.
	plainMargin = 1200 * time.Millisecond
	// unsentMargin is the part of the grace time in which requests that wait for
	// their stages are refused: a model server could not answer them any more.
	unsentMargin = 2200 * time.Millisecond
	// exitMargin is what the end of the process itself needs.
	exitMargin = 400 * time.Millisecond
	// keptConnections is how long clients have to use a kept connection once more
	// and learn that it closes.
	keptConnections = 5 * time.Second
	drainPoll       = 50 * time.Millisecond
)

// Drain is the state of a shutdown.
type Drain struct {
	grace time.Duration

	mu    sync.Mutex
	began time.Time
	open  atomic.Int64
	// closing ends when requests that were not sent yet are refused.
	closing context.Context
	close   context.CancelFunc
}

// NewDrain returns the state of an instance that is not stopping. Grace is the
// time that a shutdown may take.
func NewDrain(grace time.Duration) *Drain {
	closing, end := context.WithCancel(context.Background())
	return &Drain{grace: grace, closing: closing, close: end}
}

// Begin starts the shutdown.
func (d *Drain) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.began.IsZero() {
		return
	}
	d.began = now
	time.AfterFunc(max(0, d.grace-unsentMargin-time.Since(now)), d.close)
}

// since returns the time since the start of the shutdown, and false before it.
func (d *Drain) since(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.began), !d.began.IsZero()
}

// Draining reports whether the shutdown has begun.
func (d *Drain) Draining() bool {
	_, draining := d.since(time.Now())
	return draining
}

// Admits reports whether a new request can end before the process does.
func (d *Drain) Admits(stream bool) bool {
	elapsed, draining := d.since(time.Now())
	if !draining {
		return true
	}
	if stream {
		return elapsed < streamNotice
	}
	return elapsed < d.grace-plainMargin
}

// done reports whether the process can end.
func (d *Drain) done(now time.Time, running int64) bool {
	elapsed, _ := d.since(now)
	switch {
	case elapsed >= d.grace-exitMargin:
		return true
	case running > 0 || elapsed < balancerNotice:
		return false
	}
	return d.open.Load() == 0 || elapsed >= keptConnections
}

// closeWhenDraining tells the client of an answer that its connection closes.
func (a *attempt) closeWhenDraining(header http.Header) {
	if a.drain.Draining() {
		header.Set("Connection", "close")
	}
}
