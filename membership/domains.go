package membership

import (
	"slices"
	"strings"
	"time"
)

// maxContacts is the number of contacts in a summary.
const maxContacts = 2

// maxSummaryBytes bounds a summary, so that it fits the leading section of a
// heartbeat. When organisations have long names, those with the smallest demand are
// left out of the summary.
const maxSummaryBytes = maxLeadSectionBytes - 10

// domain holds the newest summary of another failure domain.
type domain struct {
	summary DomainSummary
	// createdAt is when the summary was created, by the clock of this instance.
	createdAt time.Time
	// expired is true when the summary is older than summaryLifetime. Heartbeats are
	// still sent to its contacts.
	expired bool
}

// ownSummary returns the summary of the own failure domain. Its contacts are this
// instance and a random other member.
func (s *State) ownSummary() DomainSummary {
	summary := DomainSummary{FailureDomain: s.self.FailureDomain, Members: 1, Load: s.self.Load, Revision: s.self.Revision,
		Contacts: []Contact{{s.self.ID, s.self.Address}}}
	others := s.otherLiveMembers()
	for _, r := range others {
		summary.Members++
		summary.Load += r.Load
		summary.Revision = max(summary.Revision, r.Revision)
	}
	if len(others) > 0 {
		other := others[s.random.IntN(len(others))]
		summary.Contacts = append(summary.Contacts, Contact{other.ID, other.Address})
	}
	for _, demand := range s.domainDemand() {
		if summary.bytes()+demand.bytes() <= maxSummaryBytes {
			summary.Demand = append(summary.Demand, demand)
		}
	}
	return summary
}

// mergeSummary stores a received summary if it is newer than the known one.
func (s *State) mergeSummary(now time.Time, summary DomainSummary) {
	if summary.FailureDomain == s.self.FailureDomain || !validName(summary.FailureDomain) || summary.Age > summaryLifetime {
		return
	}
	createdAt := now.Add(-max(0, summary.Age))
	d, known := s.domains[summary.FailureDomain]
	if known && !createdAt.After(d.createdAt) {
		return
	}
	summary.Contacts = summary.Contacts[:min(len(summary.Contacts), maxContacts)]
	summary.Demand = summary.Demand[:min(len(summary.Demand), MaxDemand)]
	if known {
		summary.Revision = max(summary.Revision, d.summary.Revision)
	}
	s.domains[summary.FailureDomain] = &domain{summary: summary, createdAt: createdAt}
	if len(summary.Contacts) > 0 {
		s.noteRevision(summary.Revision, summary.Contacts[0].Address)
	}
}

// noteDomainContact handles the sender of a message from another failure domain. It
// becomes the first contact of its failure domain, or no contact if it left.
func (s *State) noteDomainContact(now time.Time, from Record) {
	d, known := s.domains[from.FailureDomain]
	if !known {
		d = &domain{summary: DomainSummary{FailureDomain: from.FailureDomain, Members: 1}, createdAt: now.Add(-summaryLifetime)}
		s.domains[from.FailureDomain] = d
	}
	d.summary.Revision = max(d.summary.Revision, from.Revision)
	contacts := slices.DeleteFunc(slices.Clone(d.summary.Contacts), func(c Contact) bool { return c.ID == from.ID })
	if from.State != Left {
		contacts = append([]Contact{{from.ID, from.Address}}, contacts...)
	}
	d.summary.Contacts = contacts[:min(len(contacts), maxContacts)]
}

// dropContact removes a member that left from the contacts of its failure domain.
func (s *State) dropContact(record Record) {
	if d, known := s.domains[record.FailureDomain]; known {
		d.summary.Contacts = slices.DeleteFunc(d.summary.Contacts, func(c Contact) bool { return c.ID == record.ID })
	}
}

// expireDomains marks failure domains whose summary is too old. Their contacts are
// kept, so that the domains find each other again after a network partition.
func (s *State) expireDomains(now time.Time) {
	for _, d := range s.domains {
		d.expired = now.Sub(d.createdAt) > summaryLifetime
	}
}

// summaries returns the summaries of the other failure domains that have not
// expired, sorted by name.
func (s *State) summaries(now time.Time) []DomainSummary {
	var list []DomainSummary
	for _, name := range sortedKeys(s.domains) {
		d := s.domains[name]
		if d.expired {
			continue
		}
		summary := d.summary
		summary.Age = max(0, now.Sub(d.createdAt))
		list = append(list, summary)
	}
	return list
}

// randomContact returns the address of a random contact of a failure domain.
func (s *State) randomContact(d *domain) (string, bool) {
	if len(d.summary.Contacts) == 0 {
		return "", false
	}
	return d.summary.Contacts[s.random.IntN(len(d.summary.Contacts))].Address, true
}

// crossDomainTarget returns a random address in a random other failure domain: a
// contact or a candidate. Candidates are included because the contacts may be gone.
func (s *State) crossDomainTarget() (string, bool) {
	options := map[string][]string{}
	for name, d := range s.domains {
		for _, c := range d.summary.Contacts {
			options[name] = append(options[name], c.Address)
		}
	}
	for _, address := range sortedKeys(s.candidates) {
		c := s.candidates[address]
		if c.FailureDomain != s.self.FailureDomain && c.FailureDomain != "" && !slices.Contains(options[c.FailureDomain], address) {
			options[c.FailureDomain] = append(options[c.FailureDomain], address)
		}
	}
	if len(options) == 0 {
		return "", false
	}
	names := sortedKeys(options)
	addresses := options[names[s.random.IntN(len(names))]]
	return addresses[s.random.IntN(len(addresses))], true
}

// Summaries returns the summaries of the other failure domains that have not
// expired, sorted by name.
func (s *State) Summaries(now time.Time) []DomainSummary {
	return s.summaries(now)
}

// LiveMembers returns this instance and the other live members of its failure
// domain, sorted by ID. While this instance is isolated it is the only one.
func (s *State) LiveMembers() []Record {
	if s.isolated {
		return []Record{s.self}
	}
	live := append(s.otherLiveMembers(), s.self)
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// Candidates returns the addresses that SetCandidates stored, sorted.
func (s *State) Candidates() []string { return sortedKeys(s.candidates) }

// Self returns the record of this instance.
func (s *State) Self() Record { return s.self }

// HighestRevision returns the highest configuration revision that is known to be in
// force at any instance.
func (s *State) HighestRevision() int64 { return s.highestRevision }

// AddressesWithRevision returns the addresses of instances that have a configuration
// revision or a later one: members of the own failure domain or, if there are none,
// contacts of other failure domains.
func (s *State) AddressesWithRevision(revision int64) []string {
	var addresses []string
	for _, r := range s.otherLiveMembers() {
		if r.Revision >= revision {
			addresses = append(addresses, r.Address)
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, name := range sortedKeys(s.domains) {
		if d := s.domains[name]; d.summary.Revision >= revision {
			for _, c := range d.summary.Contacts {
				addresses = append(addresses, c.Address)
			}
		}
	}
	return addresses
}

// InstanceCount returns the number of live instances in all failure domains.
func (s *State) InstanceCount(now time.Time) int {
	n := 1
	if !s.isolated {
		n += len(s.live())
	}
	for _, summary := range s.summaries(now) {
		n += summary.Members
	}
	return n
}
