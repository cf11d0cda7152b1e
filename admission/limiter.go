package admission

import "time"

const (
	// windowLength is the interval at which the limit is adapted.
	windowLength = 200 * time.Millisecond
	// minWindowSamples is the number of answers below which a window is not evaluated.
	minWindowSamples = 5
	// slowFactor is the multiple of the baseline duration above which the limit shrinks.
	slowFactor = 2.0
	// shrinkFactor multiplies the factor of the limit after a slow window; growthStep
	// is added to it after any other window with enough answers.
	shrinkFactor = 0.9
	growthStep   = 0.05
	// Bounds of the limit as multiples of the instance's share of the slots. With a
	// minimum of 0.5, a pool that was slow for a reason other than load refused a third
	// of its requests at 58 % load.
	minFactor = 0.8
	maxFactor = 1.0
	// baselineRise multiplies the baseline in each window, so that it adapts to a pool
	// that remains slow.
	baselineRise = 1.005
)

// limiter adapts the number of requests that run concurrently. The limit starts at
// the instance's share of the pool's slots, shrinks while requests take much longer
// than the baseline, and then grows back.
type limiter struct {
	// share is the instance's share of the pool's slots, in slots.
	share float64
	// factor multiplies share to give the limit.
	factor    float64
	windows   [classCount]window
	windowEnd time.Time
}

// window aggregates the durations of one class since the limit was last adapted.
type window struct {
	count int
	// sum is the total duration in seconds.
	sum float64
	// baseline is the lowest recent mean duration in seconds.
	baseline float64
}

func newLimiter(share float64) limiter {
	return limiter{share: share, factor: maxFactor}
}

// limit returns the number of requests that may run concurrently.
func (l *limiter) limit() int {
	if l.share <= 0 {
		return 0
	}
	return max(1, int(l.share*l.factor+0.5))
}

func (l *limiter) record(class int, d time.Duration) {
	l.windows[class].count++
	l.windows[class].sum += d.Seconds()
}

// adapt evaluates the current window if it is over, and starts the next one.
func (l *limiter) adapt(now time.Time) {
	if now.Before(l.windowEnd) {
		return
	}
	l.windowEnd = now.Add(windowLength)
	slow, measured := false, false
	for i := range l.windows {
		w := &l.windows[i]
		if w.count < minWindowSamples {
			continue
		}
		measured = true
		mean := w.sum / float64(w.count)
		if w.baseline == 0 || mean < w.baseline {
			w.baseline = mean
		}
		slow = slow || mean > slowFactor*w.baseline
		w.baseline *= baselineRise
		w.count, w.sum = 0, 0
	}
	switch {
	case slow:
		l.factor = max(minFactor, l.factor*shrinkFactor)
	case measured:
		l.factor = min(maxFactor, l.factor+growthStep)
	}
}
