package quarantine

import "time"

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
