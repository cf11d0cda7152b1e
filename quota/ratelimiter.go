package quota

import (
	"cmp"
	"slices"
	"time"
)

// MaxListedOrganisations is the number of organisations that a summary names.
const MaxListedOrganisations = 16

// Demand is the requests per second of one organisation.
type Demand struct {
	Organisation string
	PerSecond    float64
}

// Summary is what one instance, or one failure domain, reports of its demand:
// the largest organisations by name.
type Summary struct {
	// Instances is the number of instances that the summary covers.
	Instances int
	Largest   []Demand
	// Incomplete reports that organisations that are not named may have demand,
	// at most as much as the smallest one that is.
	Incomplete bool
}

const (
	// maxOrganisations bounds the organisations with state. It is above the
	// number in steady use, so that only idle ones are dropped.
	maxOrganisations = 1 << 15
	// demandWindow is the time over which demand is averaged.
	demandWindow = 5 * time.Second
)

// organisation is the state of one organisation that was seen recently.
type organisation struct {
	bucket bucket
	// demand is in requests per second, decaying over demandWindow.
	demand   float64
	demandAt time.Time
}

// RateLimiter enforces this instance's share of the organisations' rates.
type RateLimiter struct {
	organisations map[string]*organisation
	// peers holds the demand of the other instances for the named organisations,
	// less what unnamed already counts for them.
	peers map[string]float64
	// unnamed bounds the demand of the other instances for an organisation that
	// no peer names.
	unnamed   float64
	instances int
	// named holds the organisations of the last own summary.
	named map[string]bool
}

// NewRateLimiter returns a share of an instance that knows no other.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{organisations: map[string]*organisation{}, peers: map[string]float64{}, instances: 1, named: map[string]bool{}}
}

// Observe counts n requests of an organisation, whether they are allowed or not.
func (s *RateLimiter) Observe(name string, n float64, now time.Time) {
	o := s.get(name, now)
	o.decay(now)
	o.demand += n / demandWindow.Seconds()
}

func (o *organisation) decay(now time.Time) {
	elapsed := now.Sub(o.demandAt).Seconds()
	if elapsed <= 0 {
		return
	}
	o.demand *= max(0, 1-elapsed/demandWindow.Seconds())
	o.demandAt = now
}

// get returns the state of an organisation and makes room for a new one.
func (s *RateLimiter) get(name string, now time.Time) *organisation {
	if o := s.organisations[name]; o != nil {
		return o
	}
	if len(s.organisations) >= maxOrganisations {
		s.evict(now)
	}
	o := &organisation{demandAt: now}
	s.organisations[name] = o
	return o
}

// evictShare is the part of the organisations that is dropped when all have
// demand, so that the search for idle ones is rare.
const evictShare = 16

// evict drops organisations without recent demand, or some when all have some.
func (s *RateLimiter) evict(now time.Time) {
	most := maxOrganisations - maxOrganisations/evictShare
	for name, o := range s.organisations {
		if now.Sub(o.demandAt) >= demandWindow {
			delete(s.organisations, name)
		}
	}
	for name := range s.organisations {
		if len(s.organisations) <= most {
			return
		}
		delete(s.organisations, name)
	}
}

// Summary returns this instance's demand for its peers. It keeps the largest
// while it walks the organisations: sorting 19,000 of them each second would use
// more processor time than all control work may.
func (s *RateLimiter) Summary(now time.Time) Summary {
	largest := make([]Demand, 0, MaxListedOrganisations+1)
	for name, o := range s.organisations {
		o.decay(now)
		if o.demand > 0 {
			largest = insertLargest(largest, Demand{Organisation: name, PerSecond: o.demand})
		}
	}
	s.name(largest)
	return Summary{Instances: 1, Largest: largest}
}

// insertLargest inserts a demand in order and drops the smallest when there are
// more than NamedOrganisations.
func insertLargest(largest []Demand, d Demand) []Demand {
	if len(largest) == MaxListedOrganisations && compareDemand(d, largest[len(largest)-1]) > 0 {
		return largest
	}
	at, _ := slices.BinarySearchFunc(largest, d, compareDemand)
	largest = slices.Insert(largest, at, d)
	return largest[:min(len(largest), MaxListedOrganisations)]
}

// compareDemand orders the larger demand first, and equal ones by name.
func compareDemand(a, b Demand) int {
	return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Organisation, b.Organisation))
}

// name notes the organisations that the peers will know by name.
func (s *RateLimiter) name(largest []Demand) {
	clear(s.named)
	for _, d := range largest {
		s.named[d.Organisation] = true
	}
}

// unnamed bounds the demand of an organisation that the summary does not name.
func (s Summary) unnamed() float64 {
	if !s.Incomplete || len(s.Largest) == 0 {
		return 0
	}
	least := func(a, b Demand) int { return cmp.Compare(a.PerSecond, b.PerSecond) }
	return slices.MinFunc(s.Largest, least).PerSecond
}

// SetPeers replaces what the other instances and failure domains report.
func (s *RateLimiter) SetPeers(summaries []Summary) {
	clear(s.peers)
	s.instances, s.unnamed = 1, 0
	for _, summary := range summaries {
		s.instances += summary.Instances
		floor := summary.unnamed()
		s.unnamed += floor
		for _, demand := range summary.Largest {
			s.peers[demand.Organisation] += demand.PerSecond - floor
		}
	}
}

// Allow takes n requests from this instance's share of an organisation's rate,
// or returns when there is room again. A rate of 0 is no limit.
func (s *RateLimiter) Allow(name string, rate float64, burst int, n float64, now time.Time) (ok bool, retryAfter time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	o := s.get(name, now)
	share := s.share(name, o, now)
	size := max(1, share*float64(max(burst, 1)))
	o.bucket.refill(now, rate*share, size)
	return o.bucket.take(n, rate*share)
}

// share is the part of an organisation's rate that is this instance's: its part
// of the demand when this instance or a peer names the organisation, so that idle
// instances lend their part, and an equal part otherwise. The parts of all
// instances add up to at most 1 when their reports are current, since each one
// counts at least the demand of the others.
func (s *RateLimiter) share(name string, o *organisation, now time.Time) float64 {
	others, named := s.peers[name]
	if !named && !s.named[name] {
		return 1 / float64(s.instances)
	}
	others += s.unnamed
	o.decay(now)
	if o.demand+others <= 0 {
		return 1 / float64(s.instances)
	}
	return o.demand / (o.demand + others)
}
