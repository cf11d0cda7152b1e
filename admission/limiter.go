package admission

import "time"

const (
	// windowLength is the time after which the limit is adapted.
	windowLength = 200 * time.Millisecond
	// minWindow is the number of answers without which a window says nothing.
	minWindow = 5
	// slowFactor is the multiple of the usual duration above which the limit shrinks.
	slowFactor = 2.0
	shrink     = 0.9
	growth     = 0.05
	// Bounds of the limit as multiples of the share of slots. With a floor of 0.5
	// a pool that was slow for another reason than its load refused a third of
	// the requests at 58 % load.
	leastShare = 0.8
	mostShare  = 1.0
	// usualRise per window lets the usual duration follow a pool that stays slow.
	usualRise = 1.005
)

// limiter adapts the number of requests that run at once: it starts at the
// instance's share of the slots, shrinks while requests take much longer than
// usual, and grows back.
type limiter struct {
	share   float64
	factor  float64
	windows [classCount]window
	endsAt  time.Time
}

// window is the durations of one class since the limit was last adapted.
type window struct {
	count int
	sum   float64
	// usual is the lowest recent mean in seconds.
	usual float64
}

func newLimiter(share float64) limiter {
	return limiter{share: share, factor: mostShare}
}

// limit is the number of requests that may run at once.
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

// adapt ends a window.
func (l *limiter) adapt(now time.Time) {
	if now.Before(l.endsAt) {
		return
	}
	l.endsAt = now.Add(windowLength)
	slow, known := false, false
	for i := range l.windows {
		w := &l.windows[i]
		if w.count < minWindow {
			continue
		}
		known = true
		mean := w.sum / float64(w.count)
		if w.usual == 0 || mean < w.usual {
			w.usual = mean
		}
		slow = slow || mean > slowFactor*w.usual
		w.usual *= usualRise
		w.count, w.sum = 0, 0
	}
	switch {
	case slow:
		l.factor = max(leastShare, l.factor*shrink)
	case known:
		l.factor = min(mostShare, l.factor+growth)
	}
}
