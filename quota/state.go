package quota

import (
	"cmp"
	"slices"
	"time"
)

// OrganisationShare is this instance's share of one organisation's rate.
type OrganisationShare struct {
	Organisation string
	// PerSecond is the demand at this instance and PeersPerSecond that at all other
	// instances, in requests per second.
	PerSecond      float64
	PeersPerSecond float64
	// Share is a fraction between 0 and 1.
	Share float64
}

// Shares returns the shares of the organisations that this instance or a peer
// lists in its demand report, sorted by name.
func (l *RateLimiter) Shares(now time.Time) []OrganisationShare {
	var shares []OrganisationShare
	for name := range l.listed {
		shares = append(shares, l.shareOf(name, now))
	}
	for name := range l.peerDemand {
		if !l.listed[name] {
			shares = append(shares, l.shareOf(name, now))
		}
	}
	slices.SortFunc(shares, func(a, b OrganisationShare) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return shares
}

func (l *RateLimiter) shareOf(name string, now time.Time) OrganisationShare {
	o := l.organisations[name]
	if o == nil {
		o = &organisationState{demandUpdatedAt: now}
	}
	share := l.share(name, o, now)
	return OrganisationShare{name, o.demand, l.peerDemand[name] + l.unlistedDemand, share}
}

// Instances returns the number of instances among which rates are divided.
func (l *RateLimiter) Instances() int { return l.instances }
