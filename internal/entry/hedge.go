package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"
)

// hedge is a call that is backed by a second one when no answer arrived within a
// delay. The first call runs in the goroutine of the stage, because most calls
// end before the delay and need no further goroutine.
type hedge struct {
	call *stageCall
	// won is true once one of the calls has an answer; that of the other is dropped.
	won                       atomic.Bool
	cancelFirst, cancelSecond context.CancelFunc
	second                    chan hedgedResult
}

// hedgedResult is the result of the second call. It is the zero value when no
// second call was made.
type hedgedResult struct {
	output json.RawMessage
	won    bool
}

// sendHedged calls a server, and a second one when no answer arrived within the
// delay. The first answer is used and the other call is cancelled.
func (c *stageCall) sendHedged(ctx context.Context, first PickedServer, delay time.Duration) (json.RawMessage, error) {
	h := &hedge{call: c, second: make(chan hedgedResult, 1)}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelFirst()
	h.cancelFirst, h.cancelSecond = cancelFirst, cancelSecond
	timer := time.AfterFunc(delay, func() { h.runSecond(secondCtx) })
	output, err := c.send(firstCtx, first)
	if timer.Stop() {
		cancelSecond()
		return output, err
	}
	return h.resolve(output, err)
}

// runSecond sends the second call if the hedge policy allows it.
func (h *hedge) runSecond(ctx context.Context) {
	defer h.cancelSecond()
	picked, ok := h.call.pickHedge(ctx)
	if !ok {
		h.second <- hedgedResult{}
		return
	}
	output, err := h.call.send(ctx, picked)
	won := err == nil && h.setWinner()
	if won {
		h.cancelFirst()
	}
	h.second <- hedgedResult{output, won}
}

// setWinner marks the hedge as won and reports whether the answer is the first one.
// A later answer is counted as dropped.
func (h *hedge) setWinner() bool {
	if h.won.CompareAndSwap(false, true) {
		return true
	}
	h.call.Metrics.dropped.Inc(1)
	return false
}

// resolve chooses between the result of the first call and that of the second,
// which it waits for if needed.
func (h *hedge) resolve(output json.RawMessage, err error) (json.RawMessage, error) {
	if err == nil && h.setWinner() {
		h.cancelSecond()
		return output, nil
	}
	if second := <-h.second; second.won {
		return second.output, nil
	}
	return nil, err
}

// pickHedge chooses the server of the second call. It returns false when the hedge
// policy does not allow a hedge or no server is available.
func (c *stageCall) pickHedge(ctx context.Context) (PickedServer, bool) {
	query := c.query()
	if ctx.Err() != nil || !c.Hedges.Allow(query) {
		return nil, false
	}
	picked, ok := c.pick(query)
	if ok {
		c.Metrics.hedges.Inc(1)
	}
	return picked, ok
}
