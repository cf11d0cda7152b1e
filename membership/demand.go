package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// demandLifetime is how long the demand of a member is believed. In a failure
	// domain of 30, a list of the longest names takes more than 30 s to pass.
	demandLifetime = 2 * time.Minute
	// endedDemandTicks is how long the end of an organisation's demand is reported, so
	// that the others needn't wait for demandLifetime.
	endedDemandTicks = int(demandLifetime / Interval)
)

// timedDemand is a rate that another member reported.
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
	// Complete reports whether the organisations that are not named have no demand.
	Complete bool
}

// SetDemand reports the largest organisations by demand; those after MaxDemand
// are dropped. Where there is room, organisations that are no longer named are
// reported with a rate of 0 for a while.
func (s *State) SetDemand(demand []Demand) {
	list := slices.Clone(demand[:min(len(demand), MaxDemand)])
	for _, d := range list {
		s.demandUntilTick[d.Organisation] = s.ticks + endedDemandTicks
	}
	for _, name := range sortedKeys(s.demandUntilTick) {
		named := slices.ContainsFunc(list, func(d Demand) bool { return d.Organisation == name })
		switch {
		case s.demandUntilTick[name] < s.ticks:
			delete(s.demandUntilTick, name)
		case !named && len(list) < MaxDemand:
			list = append(list, Demand{Organisation: name})
		}
	}
	s.demand = list
}

// Demand returns the largest organisations of the own failure domain and, by
// name, of the others.
func (s *State) Demand(now time.Time) (own []Demand, others map[string][]Demand) {
	others = map[string][]Demand{}
	for _, summary := range s.summaries(now) {
		others[summary.FailureDomain] = summary.Demand
	}
	return s.domainDemand(), others
}

// PeerDemand returns what each other live member and each other failure domain
// reported.
func (s *State) PeerDemand(now time.Time) []DemandReport {
	var reports []DemandReport
	for _, record := range s.otherLiveMembers() {
		report := DemandReport{Instances: 1}
		for _, heard := range s.peerDemand[record.ID] {
			report.Demand = append(report.Demand, heard.Demand)
		}
		report.Complete = len(report.Demand) < MaxDemand
		reports = append(reports, report)
	}
	for _, summary := range s.summaries(now) {
		reports = append(reports, DemandReport{summary.Members, summary.Demand, summary.listsAllOrganisations()})
	}
	return reports
}

// listsAllOrganisations reports whether a summary had room for one more organisation.
func (s DomainSummary) listsAllOrganisations() bool {
	longest := Demand{string(make([]byte, MaxNameBytes)), 1 << 62}
	return len(s.Demand) < MaxDemand && s.bytes()+longest.bytes() <= maxSummaryBytes
}

// domainDemand returns the largest organisations of the failure domain.
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

// mergeDemand keeps the newest rate by organisation. A heartbeat may hold a part
// of the list only.
func (s *State) mergeDemand(now time.Time, instance string, demand []Demand) {
	var merged []timedDemand
	named := map[string]bool{}
	for _, d := range demand {
		merged = append(merged, timedDemand{d, now})
		named[d.Organisation] = true
	}
	for _, old := range s.peerDemand[instance] {
		if !named[old.Organisation] {
			merged = append(merged, old)
		}
	}
	s.peerDemand[instance] = merged[:min(len(merged), MaxDemand)]
}

// expireDemand drops the demand that members no longer report.
func (s *State) expireDemand(now time.Time) {
	for instance, demand := range s.peerDemand {
		s.peerDemand[instance] = slices.DeleteFunc(demand, func(d timedDemand) bool {
			return now.Sub(d.receivedAt) >= demandLifetime
		})
	}
}
