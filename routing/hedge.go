package routing

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

const (
	// HedgeBudget is the fraction of calls that may be hedged.
	HedgeBudget = 0.05
	// maxSavedHedges is the maximum number of unused hedges that accumulate.
	maxSavedHedges = 10
	// hedgeQuantile is the quantile of the pool's latency after which a call is
	// hedged.
	hedgeQuantile = 0.95
	// hedgeMinSamples is the number of answers below which calls are not hedged.
	hedgeMinSamples = 20
	// hedgeMaxLoad is the fraction of the pool's slots in use above which calls are
	// not hedged.
	hedgeMaxLoad = 0.8
)

// Hedger decides whether a call to a pool is hedged, that is, sent to a second
// server as well. It must be used for idempotent calls only.
type Hedger struct {
	pool   *Pool
	tokens float64
}

// NewHedger returns a hedger for a pool.
func NewHedger(pool *Pool) *Hedger { return &Hedger{pool: pool} }

// Delay returns the time after which a call is hedged if it has not been answered,
// and false when it must not be hedged: calls of the long class, and any call while
// the pool is overloaded or has too few latency samples. Each call of Delay adds
// HedgeBudget to the budget.
func (h *Hedger) Delay(class pipeline.Class) (time.Duration, bool) {
	h.tokens = min(maxSavedHedges, h.tokens+HedgeBudget)
	c := classIndex(class)
	if c == classLong || h.pool.totalLatency[c].total < hedgeMinSamples || h.pool.overloaded() {
		return 0, false
	}
	delay := h.pool.hedgeDelay[c]
	return delay, delay > 0
}

// Allow takes one hedge from the budget and reports whether there was one.
func (h *Hedger) Allow() bool {
	if h.tokens < 1 || h.pool.overloaded() {
		return false
	}
	h.tokens--
	return true
}

// overloaded reports whether the calls in flight use more of the slots than
// hedgeMaxLoad.
func (p *Pool) overloaded() bool {
	load := 0.0
	for _, index := range p.ordered {
		s := &p.servers[index]
		load += float64(s.inFlight) + s.peerInFlight
	}
	return load > hedgeMaxLoad*float64(p.liveSlots)
}
