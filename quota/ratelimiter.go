package quota

import (
	"cmp"
	"slices"
	"time"
)

// MaxListedOrganisations is the maximum number of organisations that the report of
// one instance lists.
const MaxListedOrganisations = 16

// Demand is the request rate of one organisation.
type Demand struct {
	Organisation string
	// PerSecond is in requests per second, whether allowed or not.
	PerSecond float64
}

// DemandReport is the demand that one instance, or one failure domain, reports to its
// peers.
type DemandReport struct {
	// Instances is the number of instances that the report covers.
	Instances int
	// Largest lists the organisations with the highest demand.
	Largest []Demand
	// Incomplete is true when organisations outside Largest may have demand too, each
	// at most as much as the smallest in Largest.
	Incomplete bool
}

const (
	// maxOrganisations is the maximum number of organisations with state. It is above
	// the number that are active at a time, so that only idle ones are evicted.
	maxOrganisations = 1 << 15
	// demandWindow is the period over which demand is averaged.
	demandWindow = 5 * time.Second
)

// organisationState is the rate and demand state of one organisation.
type organisationState struct {
	bucket bucket
	// demand is in requests per second and decays over demandWindow.
	demand          float64
	demandUpdatedAt time.Time
}

// RateLimiter limits the requests of organisations to this instance's share of their
// configured rates. It is not safe for concurrent use.
type RateLimiter struct {
	organisations map[string]*organisationState
	// peerDemand is the demand at the other instances for the organisations that they
	// list, less the part that unlistedDemand already includes.
	peerDemand map[string]float64
	// unlistedDemand is an upper bound of the demand at the other instances for an
	// organisation that none of them lists.
	unlistedDemand float64
	instances      int
	// listed holds the organisations in this instance's last report.
	listed map[string]bool
}

// NewRateLimiter returns the rate limiter of an instance without peers.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{organisations: map[string]*organisationState{}, peerDemand: map[string]float64{}, instances: 1, listed: map[string]bool{}}
}

// Observe counts n requests of an organisation, whether they are allowed or not.
func (l *RateLimiter) Observe(name string, n float64, now time.Time) {
	o := l.getOrCreate(name, now)
	o.decay(now)
	o.demand += n / demandWindow.Seconds()
}

func (o *organisationState) decay(now time.Time) {
	elapsed := now.Sub(o.demandUpdatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	o.demand *= max(0, 1-elapsed/demandWindow.Seconds())
	o.demandUpdatedAt = now
}

// getOrCreate returns the state of an organisation. It evicts others if there is no
// room for a new one.
func (l *RateLimiter) getOrCreate(name string, now time.Time) *organisationState {
	if o := l.organisations[name]; o != nil {
		return o
	}
	if len(l.organisations) >= maxOrganisations {
		l.evict(now)
	}
	o := &organisationState{demandUpdatedAt: now}
	l.organisations[name] = o
	return o
}

// evictDivisor sets how many organisations are evicted at once when all have demand:
// one in evictDivisor, so that the scan for idle ones is rare.
const evictDivisor = 16

// evict removes the organisations without recent demand, and arbitrary ones if too
// many remain.
func (l *RateLimiter) evict(now time.Time) {
	target := maxOrganisations - maxOrganisations/evictDivisor
	for name, o := range l.organisations {
		if now.Sub(o.demandUpdatedAt) >= demandWindow {
			delete(l.organisations, name)
		}
	}
	for name := range l.organisations {
		if len(l.organisations) <= target {
			return
		}
		delete(l.organisations, name)
	}
}

// DemandReport returns this instance's demand, to be reported to its peers. It selects
// the largest organisations in one pass: sorting 19,000 of them each second would
// exceed the processor time that is allowed for all control-plane work.
func (l *RateLimiter) DemandReport(now time.Time) DemandReport {
	largest := make([]Demand, 0, MaxListedOrganisations+1)
	for name, o := range l.organisations {
		o.decay(now)
		if o.demand > 0 {
			largest = insertLargest(largest, Demand{Organisation: name, PerSecond: o.demand})
		}
	}
	l.setListed(largest)
	return DemandReport{Instances: 1, Largest: largest}
}

// insertLargest inserts a demand into a sorted list and drops the smallest when there
// are more than MaxListedOrganisations.
func insertLargest(largest []Demand, d Demand) []Demand {
	if len(largest) == MaxListedOrganisations && compareDemand(d, largest[len(largest)-1]) > 0 {
		return largest
	}
	index, _ := slices.BinarySearchFunc(largest, d, compareDemand)
	largest = slices.Insert(largest, index, d)
	return largest[:min(len(largest), MaxListedOrganisations)]
}

// compareDemand sorts by descending demand, then by name.
func compareDemand(a, b Demand) int {
	return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Organisation, b.Organisation))
}

// setListed records the organisations that this instance's report lists.
func (l *RateLimiter) setListed(largest []Demand) {
	clear(l.listed)
	for _, d := range largest {
		l.listed[d.Organisation] = true
	}
}

// maxUnlistedDemand returns an upper bound of the demand of an organisation that the
// report does not list.
func (r DemandReport) maxUnlistedDemand() float64 {
	if !r.Incomplete || len(r.Largest) == 0 {
		return 0
	}
	byDemand := func(a, b Demand) int { return cmp.Compare(a.PerSecond, b.PerSecond) }
	return slices.MinFunc(r.Largest, byDemand).PerSecond
}

// SetPeers replaces the demand reports of the other instances and failure domains.
func (l *RateLimiter) SetPeers(reports []DemandReport) {
	clear(l.peerDemand)
	l.instances, l.unlistedDemand = 1, 0
	for _, report := range reports {
		l.instances += report.Instances
		maxUnlisted := report.maxUnlistedDemand()
		l.unlistedDemand += maxUnlisted
		for _, demand := range report.Largest {
			l.peerDemand[demand.Organisation] += demand.PerSecond - maxUnlisted
		}
	}
}

// Allow takes n requests from this instance's share of an organisation's rate, in
// requests per second. If the share is used up, it returns the time until the
// requests fit. A rate of 0 means no limit.
func (l *RateLimiter) Allow(name string, rate float64, burst int, n float64, now time.Time) (ok bool, retryAfter time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	o := l.getOrCreate(name, now)
	share := l.share(name, o, now)
	size := max(1, share*float64(max(burst, 1)))
	o.bucket.refill(now, rate*share, size)
	return o.bucket.take(n, rate*share)
}

// share returns the fraction of an organisation's rate that this instance may use.
// If this instance or a peer lists the organisation, the share is proportional to
// this instance's part of the demand, so that idle instances leave their part to the
// others; otherwise all instances have equal shares. The shares of all instances add
// up to at most 1 when their reports are current, since each instance counts at
// least the demand of the others.
func (l *RateLimiter) share(name string, o *organisationState, now time.Time) float64 {
	others, listed := l.peerDemand[name]
	if !listed && !l.listed[name] {
		return 1 / float64(l.instances)
	}
	others += l.unlistedDemand
	o.decay(now)
	if o.demand+others <= 0 {
		return 1 / float64(l.instances)
	}
	return o.demand / (o.demand + others)
}
