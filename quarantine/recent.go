package quarantine

import (
	"slices"
	"time"
)

const (
	// recentPeriod is how long an element stays in a recentSet at least, unless the set is
	// full. It stays up to twice as long.
	recentPeriod = 30 * time.Second
	// maxRecent bounds each of the two generations of a recentSet.
	maxRecent = 8192
)

// recentSet holds the elements that were added lately, in two generations: the older one is
// dropped as a whole.
type recentSet struct {
	current, previous map[string]struct{}
	// began is when the current generation began.
	began time.Time
}

func (r *recentSet) rotate(now time.Time) {
	if r.current != nil && now.Sub(r.began) < recentPeriod && len(r.current) < maxRecent {
		return
	}
	r.previous = r.current
	if now.Sub(r.began) >= 2*recentPeriod {
		r.previous = nil
	}
	r.current, r.began = map[string]struct{}{}, now
}

func (r *recentSet) add(now time.Time, element string) {
	r.rotate(now)
	r.current[element] = struct{}{}
}

func (r *recentSet) contains(now time.Time, element string) bool {
	r.rotate(now)
	if _, ok := r.current[element]; ok {
		return true
	}
	_, ok := r.previous[element]
	return ok
}

// maxRecentRequests is the number of requests that recentRequests holds.
const maxRecentRequests = 256

// recentRequests holds the parts of the last requests.
type recentRequests struct {
	parts [][]string
	next  int
}

func (r *recentRequests) add(parts []string) {
	if len(r.parts) < maxRecentRequests {
		r.parts = append(r.parts, parts)
		return
	}
	r.parts[r.next] = parts
	r.next = (r.next + 1) % maxRecentRequests
}

// share returns the share of the requests that have a part, 1 without requests.
func (r *recentRequests) share(part string) float64 {
	if len(r.parts) == 0 {
		return 1
	}
	n := 0
	for _, parts := range r.parts {
		if slices.Contains(parts, part) {
			n++
		}
	}
	return float64(n) / float64(len(r.parts))
}
