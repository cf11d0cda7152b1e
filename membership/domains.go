package membership

import (
	"slices"
	"strings"
	"time"
)

// maxContacts is the number of contacts in a summary.
const maxContacts = 2

// maxSummaryBytes leaves out the smallest of the 16 organisations when their
// names are long, so that a summary fits the leading section of a heartbeat.
const maxSummaryBytes = maxLeadSectionBytes - 10

// domain is another failure domain.
type domain struct {
	summary DomainSummary
	// createdAt is when the summary was createdAt, by the clock of this instance.
	createdAt time.Time
	// expired is true when there was no news for summaryLifetime. Its contacts are
	// still tried.
	expired bool
}

// ownSummary describes the own failure domain.
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

// mergeSummary keeps the newest summary of a failure domain.
func (s *State) mergeSummary(now time.Time, summary DomainSummary) {
	if summary.FailureDomain == s.self.FailureDomain || !validName(summary.FailureDomain) || summary.Age > summaryLifetime {
		return
	}
	made := now.Add(-max(0, summary.Age))
	d, known := s.domains[summary.FailureDomain]
	if known && !made.After(d.createdAt) {
		return
	}
	summary.Contacts = summary.Contacts[:min(len(summary.Contacts), maxContacts)]
	summary.Demand = summary.Demand[:min(len(summary.Demand), MaxDemand)]
	if known {
		summary.Revision = max(summary.Revision, d.summary.Revision)
	}
	s.domains[summary.FailureDomain] = &domain{summary: summary, createdAt: made}
	if len(summary.Contacts) > 0 {
		s.noteRevision(summary.Revision, summary.Contacts[0].Address)
	}
}

// noteDomainContact notes a message of a member of another failure domain.
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

// dropContact forgets a contact that left.
func (s *State) dropContact(record Record) {
	if d, known := s.domains[record.FailureDomain]; known {
		d.summary.Contacts = slices.DeleteFunc(d.summary.Contacts, func(c Contact) bool { return c.ID == record.ID })
	}
}

// expireDomains marks failure domains without news. Their contacts remain, so
// that a healed partition is noticed.
func (s *State) expireDomains(now time.Time) {
	for _, d := range s.domains {
		d.expired = now.Sub(d.createdAt) > summaryLifetime
	}
}

// summaries returns the failure domains that are believed, oldest news last.
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

// randomContact returns the address of a random randomContact.
func (s *State) randomContact(d *domain) (string, bool) {
	if len(d.summary.Contacts) == 0 {
		return "", false
	}
	return d.summary.Contacts[s.random.IntN(len(d.summary.Contacts))].Address, true
}

// crossDomainTarget returns an address in a random other failure domain: a contact, or
// now and then a candidate in case the contacts are gone.
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

// Summaries returns the other failure domains that are believed, by name.
func (s *State) Summaries(now time.Time) []DomainSummary {
	return s.summaries(now)
}

// LiveMembers returns this instance and the live or suspected members of its failure
// domain, by ID.
func (s *State) LiveMembers() []Record {
	live := append(s.otherLiveMembers(), s.self)
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// Candidates returns the addresses that may belong to other instances.
func (s *State) Candidates() []string { return sortedKeys(s.candidates) }

// Self returns the record of this instance.
func (s *State) Self() Record { return s.self }

// HighestRevision returns the highest configuration revision that is in force at
// any instance that was heard of.
func (s *State) HighestRevision() int64 { return s.highestRevision }

// AddressesWithRevision returns addresses of instances that have at least a revision: members
// of the failure domain, or contacts in others when there is none.
func (s *State) AddressesWithRevision(revision int64) []string {
	var holders []string
	for _, r := range s.otherLiveMembers() {
		if r.Revision >= revision {
			holders = append(holders, r.Address)
		}
	}
	if len(holders) > 0 {
		return holders
	}
	for _, name := range sortedKeys(s.domains) {
		if d := s.domains[name]; d.summary.Revision >= revision {
			for _, c := range d.summary.Contacts {
				holders = append(holders, c.Address)
			}
		}
	}
	return holders
}

// InstanceCount returns the number of live instances in all failure domains.
func (s *State) InstanceCount(now time.Time) int {
	n := len(s.otherLiveMembers()) + 1
	for _, summary := range s.summaries(now) {
		n += summary.Members
	}
	return n
}
