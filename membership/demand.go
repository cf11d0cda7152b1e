package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// demandLifetime is how long a reported demand counts after it was received. In
	// a failure domain of 30 instances, it takes more than 30 s to send a list of
	// the longest names completely.
	demandLifetime = 2 * time.Minute
	// endedDemandTicks is how many ticks a rate of 0 is reported after the demand of
	// an organisation ended, so that the other members needn't wait for
	// demandLifetime.
	endedDemandTicks = int(demandLifetime / Interval)
)

// timedDemand is a rate that another member reported, with the time of receipt.
type timedDemand struct {
	Demand
	receivedAt time.Time
}

// DemandReport is the demand of one other member of the failure domain, or of
// another failure domain.
type DemandReport struct {
	// Instances is the number of instances that the report covers.
	Instances int
	Demand    []Demand
	// Complete reports whether organisations that are not listed have no demand.
	Complete bool
}

// SetDemand reports the organisations with the largest demand at this instance,
// largest first; those after MaxDemand are dropped. In free places of the list,
// organisations that are no longer listed are reported with a rate of 0 for
// endedDemandTicks.
func (s *State) SetDemand(demand []Demand) {
	list := slices.Clone(demand[:min(len(demand), MaxDemand)])
	for _, d := range list {
		s.demandUntilTick[d.Organisation] = s.ticks + endedDemandTicks
	}
	for _, name := range sortedKeys(s.demandUntilTick) {
		listed := slices.ContainsFunc(list, func(d Demand) bool { return d.Organisation == name })
		switch {
		case s.demandUntilTick[name] < s.ticks:
			delete(s.demandUntilTick, name)
		case !listed && len(list) < MaxDemand:
			list = append(list, Demand{Organisation: name})
		}
	}
	s.demand = list
}

// Demand returns the organisations with the largest demand in the own failure
// domain, and in the others by the name of the failure domain.
func (s *State) Demand(now time.Time) (own []Demand, others map[string][]Demand) {
	others = map[string][]Demand{}
	for _, summary := range s.summaries(now) {
		others[summary.FailureDomain] = summary.Demand
	}
	return s.domainDemand(), others
}

// PeerDemand returns the demand that each other live member and each other failure
// domain reported.
func (s *State) PeerDemand(now time.Time) []DemandReport {
	var reports []DemandReport
	for _, record := range s.otherLiveMembers() {
		report := DemandReport{Instances: 1}
		for _, timed := range s.peerDemand[record.ID] {
			report.Demand = append(report.Demand, timed.Demand)
		}
		report.Complete = len(report.Demand) < MaxDemand
		reports = append(reports, report)
	}
	for _, summary := range s.summaries(now) {
		reports = append(reports, DemandReport{summary.Members, summary.Demand, summary.listsAllOrganisations()})
	}
	return reports
}

// listsAllOrganisations reports whether a summary had space for one more
// organisation, so that none was left out.
func (s DomainSummary) listsAllOrganisations() bool {
	longest := Demand{string(make([]byte, MaxNameBytes)), 1 << 62}
	return len(s.Demand) < MaxDemand && s.bytes()+longest.bytes() <= maxSummaryBytes
}

// domainDemand returns the organisations with the largest demand in the own failure
// domain, largest first.
func (s *State) domainDemand() []Demand {
	total := map[string]int64{}
	for _, d := range s.demand {
		total[d.Organisation] += d.MilliPerSecond
	}
	for _, demand := range s.peerDemand {
		for _, d := range demand {
			total[d.Organisation] += d.MilliPerSecond
		}
	}
	list := make([]Demand, 0, len(total))
	for _, name := range sortedKeys(total) {
		if total[name] > 0 {
			list = append(list, Demand{name, total[name]})
		}
	}
	slices.SortStableFunc(list, func(a, b Demand) int { return cmp.Compare(b.MilliPerSecond, a.MilliPerSecond) })
	return list[:min(len(list), MaxDemand)]
}

// mergeDemand stores the rates that a member reported and keeps its older rates of
// other organisations, because a heartbeat may hold only a part of its list.
func (s *State) mergeDemand(now time.Time, instance string, demand []Demand) {
	var merged []timedDemand
	updated := map[string]bool{}
	for _, d := range demand {
		merged = append(merged, timedDemand{d, now})
		updated[d.Organisation] = true
	}
	for _, old := range s.peerDemand[instance] {
		if !updated[old.Organisation] {
			merged = append(merged, old)
		}
	}
	s.peerDemand[instance] = merged[:min(len(merged), MaxDemand)]
}

// expireDemand drops demand that was last reported demandLifetime ago.
func (s *State) expireDemand(now time.Time) {
	for instance, demand := range s.peerDemand {
		s.peerDemand[instance] = slices.DeleteFunc(demand, func(d timedDemand) bool {
			return now.Sub(d.receivedAt) >= demandLifetime
		})
	}
}
