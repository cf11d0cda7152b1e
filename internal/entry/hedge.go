package entry

import (
	"context"
	"encoding/json"
	"time"
)

// hedgedResult is the answer of one of two calls.
type hedgedResult struct {
	output json.RawMessage
	err    error
}

// hedged calls a server, and a second one when no answer came within the delay.
// The first answer wins and the other call is cancelled.
func (c *stageCall) hedged(ctx context.Context, first Picked, delay time.Duration) (json.RawMessage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hedgedResult, 2)
	launch := func(picked Picked) {
		output, err := c.send(ctx, picked)
		results <- hedgedResult{output, err}
	}
	go launch(first)
	pending := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second, ok := c.pickHedge(); ok {
				go launch(second)
				pending++
			}
		case result := <-results:
			pending--
			if result.err == nil && pending > 0 {
				go c.dropLate(results)
			}
			if result.err == nil || pending == 0 {
				return result.output, result.err
			}
		}
	}
}

// pickHedge chooses the second server when a hedge is allowed.
func (c *stageCall) pickHedge() (Picked, bool) {
	query := c.query()
	if !c.Hedges.Allow(query) {
		return nil, false
	}
	picked, ok := c.pick(query)
	if ok {
		c.Metrics.hedges.Inc(1)
	}
	return picked, ok
}

// dropLate counts an answer that arrives after the other one won.
func (c *stageCall) dropLate(results <-chan hedgedResult) {
	if late := <-results; late.err == nil {
		c.Metrics.dropped.Inc(1)
	}
}
