package quota

import "time"

// bucket is a token bucket whose rate and size are arguments, because shares
// change while it is in use.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens of the time that passed. A new bucket is full.
func (b *bucket) refill(now time.Time, rate, size float64) {
	if b.at.IsZero() {
		b.tokens, b.at = size, now
		return
	}
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += elapsed * rate
		b.at = now
	}
	b.tokens = min(b.tokens, size)
}

// take takes n tokens, or returns how long it takes until there are as many.
func (b *bucket) take(n, rate float64) (ok bool, retryAfter time.Duration) {
	if wait := b.wait(n, rate); wait > 0 {
		return false, wait
	}
	b.tokens -= n
	return true, 0
}

// wait returns how long it takes until there are n tokens, 0 when there are.
func (b *bucket) wait(n, rate float64) time.Duration {
	if b.tokens >= n {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	missing := (n - b.tokens) / rate * float64(time.Second)
	return time.Duration(min(missing, float64(maxRetryAfter))) + bucketMargin
}

// bucketMargin covers the rounding of a wait, so that a caller who comes back
// after it finds the tokens there.
const bucketMargin = time.Millisecond

// maxRetryAfter bounds the time that a refused caller is told to wait.
const maxRetryAfter = 30 * time.Second
