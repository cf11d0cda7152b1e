package routing

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

const (
	// HedgeBudget is the share of calls that may be hedged.
	HedgeBudget = 0.05
	// maxSavedHedges bounds the hedges that a quiet time saves up.
	maxSavedHedges = 10
	// hedgeQuantile of the pool's latency is the delay before a hedge.
	hedgeQuantile = 0.95
	// hedgeMinSamples is the number of answers below which there is no delay.
	hedgeMinSamples = 20
	// hedgeMaxLoad is the share of the pool's slots above which there are no hedges.
	hedgeMaxLoad = 0.8
)

// Hedger decides on second calls to a pool. Only idempotent calls may ask it.
type Hedger struct {
	pool   *Pool
	tokens float64
}

// NewHedger returns a hedger for a pool.
func NewHedger(pool *Pool) *Hedger { return &Hedger{pool: pool} }

// Delay returns how long the first call may take before a hedge, and false when
// the pool is overloaded or too little is known. It counts a call that could be
// hedged.
func (h *Hedger) Delay(class pipeline.Class) (time.Duration, bool) {
	h.tokens = min(maxSavedHedges, h.tokens+HedgeBudget)
	c := classIndex(class)
	if c == longIndex || h.pool.totalLatency[c].total < hedgeMinSamples || h.pool.overloaded() {
		return 0, false
	}
	delay := h.pool.hedgeDelay[c]
	return delay, delay > 0
}

// Allow takes one hedge from the budget.
func (h *Hedger) Allow() bool {
	if h.tokens < 1 || h.pool.overloaded() {
		return false
	}
	h.tokens--
	return true
}

// overloaded reports whether little of the pool is free for second calls.
func (p *Pool) overloaded() bool {
	load := 0.0
	for _, index := range p.ordered {
		s := &p.servers[index]
		load += float64(s.inFlight) + s.peerInFlight
	}
	return load > hedgeMaxLoad*float64(p.slots)
}
