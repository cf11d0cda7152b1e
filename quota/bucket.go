package quota

import "time"

// bucket is a token bucket. Its rate in tokens per second and its size are
// arguments of each call, because an instance's share changes over time.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens for the time since the last refill, up to size. A new
// bucket is full.
func (b *bucket) refill(now time.Time, rate, size float64) {
	if b.updatedAt.IsZero() {
		b.tokens, b.updatedAt = size, now
		return
	}
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens += elapsed * rate
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, size)
}

// take removes n tokens. If there are too few, it removes none and returns the
// time until there are n.
func (b *bucket) take(n, rate float64) (ok bool, retryAfter time.Duration) {
	if wait := b.wait(n, rate); wait > 0 {
		return false, wait
	}
	b.tokens -= n
	return true, 0
}

// wait returns the time until the bucket holds n tokens, or 0 when it does now.
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

// bucketMargin is added to a wait against rounding errors, so that the tokens are
// available when the caller retries.
const bucketMargin = time.Millisecond

// maxRetryAfter is the longest retry delay that is returned to a refused caller.
const maxRetryAfter = 30 * time.Second
