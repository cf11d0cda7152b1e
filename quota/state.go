package quota

import (
	"cmp"
	"slices"
	"time"
)

// OrganisationShare is this instance's part of one organisation's rate.
type OrganisationShare struct {
	Organisation string
	// PerSecond and PeersPerSecond are the demand here and at all other instances.
	PerSecond      float64
	PeersPerSecond float64
	// Share is between 0 and 1.
	Share float64
}

// Shares returns the organisations that this instance or a peer names, by name.
func (s *RateLimiter) Shares(now time.Time) []OrganisationShare {
	var shares []OrganisationShare
	for name := range s.named {
		shares = append(shares, s.shareOf(name, now))
	}
	for name := range s.peers {
		if !s.named[name] {
			shares = append(shares, s.shareOf(name, now))
		}
	}
	slices.SortFunc(shares, func(a, b OrganisationShare) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return shares
}

func (s *RateLimiter) shareOf(name string, now time.Time) OrganisationShare {
	o := s.organisations[name]
	if o == nil {
		o = &organisation{demandAt: now}
	}
	share := s.share(name, o, now)
	return OrganisationShare{name, o.demand, s.peers[name] + s.unnamed, share}
}

// Instances is the number of instances that rates are divided among.
func (s *RateLimiter) Instances() int { return s.instances }
