package routing

import "time"

// RetryBudgetConfig limits retries in proportion to requests.
type RetryBudgetConfig struct {
	// Ratio is the number of retries that one request adds to the budget.
	Ratio float64
	// PerSecond is the number of retries added per second regardless of requests, so
	// that an instance with little load can retry at all.
	PerSecond float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
}

// DefaultRetryBudget allows retries for 10 % of requests and 2 per second.
var DefaultRetryBudget = RetryBudgetConfig{Ratio: 0.1, PerSecond: 2, Burst: 50}

// RetryBudget is a token bucket that requests and time fill and retries empty. It
// starts empty, so that a restarted instance does not add load to an overloaded
// pool. It is not safe for concurrent use.
type RetryBudget struct {
	config RetryBudgetConfig
	tokens float64
	last   time.Time
}

// NewRetryBudget returns an empty budget whose time starts at now.
func NewRetryBudget(config RetryBudgetConfig, now time.Time) *RetryBudget {
	return &RetryBudget{config: config, last: now}
}

// SetConfig replaces the limits. The retries that are in the budget stay, up to the new
// maximum.
func (b *RetryBudget) SetConfig(config RetryBudgetConfig, now time.Time) {
	b.refill(now)
	b.config = config
	b.add(0)
}

// CountRequest counts one request. It is called at the first attempt only.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.refill(now)
	b.add(b.config.Ratio)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill. A clock that moved
// backwards adds none.
func (b *RetryBudget) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.add(elapsed.Seconds() * b.config.PerSecond)
}

func (b *RetryBudget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.config.Burst)
}
