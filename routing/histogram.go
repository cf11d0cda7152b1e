package routing

import (
	"math"
	"time"
)

// Bucket bounds of a histogram grow by a fixed factor from 10 µs; the last bucket
// starts above 20 minutes.
const (
	histogramBuckets = 128
	histogramMin     = 10 * time.Microsecond
	histogramGrowth  = 1.16
)

// histogram counts durations in buckets of equal relative width. Halving all counts
// from time to time reduces the weight of old samples.
type histogram struct {
	counts [histogramBuckets]float64
	total  float64
}

var inverseLogGrowth = 1 / math.Log(histogramGrowth)

func (h *histogram) add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
}

func bucketOf(d time.Duration) int {
	if d <= histogramMin {
		return 0
	}
	bucket := int(math.Log(float64(d)/float64(histogramMin))*inverseLogGrowth) + 1
	return min(bucket, histogramBuckets-1)
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the upper bound of the bucket that contains quantile q, or 0
// without samples.
func (h *histogram) quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	remaining := q * h.total
	for i, count := range h.counts {
		remaining -= count
		if remaining <= 0 && count > 0 {
			return upperBound(i)
		}
	}
	return upperBound(histogramBuckets - 1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(histogramMin) * math.Pow(histogramGrowth, float64(bucket)))
}
