package membership

import (
	"math/bits"
	"slices"
	"time"
)

// Limits of the parts of a heartbeat, in encoded bytes. Items that don't fit are sent
// in a later heartbeat.
const (
	maxLeadSectionBytes   = 600
	maxChangedRecordBytes = 500
	maxDrainMarkerBytes   = 200
)

// minChangeRepeats is the smallest number of messages in which a changed record is
// sent with priority.
const minChangeRepeats = 4

// newMessage returns a message with only its header, and the bytes that remain for
// its items.
func (s *State) newMessage() (Message, *byteBudget) {
	message := Message{From: s.self, LiveMembers: len(s.live()) + 1}
	return message, &byteBudget{MaxMessageBytes - message.Bytes()}
}

// section is a part of a heartbeat that shares the remaining space with the other
// sections by rotation.
type section int

const (
	sectionRecords section = iota
	sectionSummaries
	sectionDemand
	sectionInFlightCounts
	sectionStragglers
	numSections
)

// heartbeat returns a heartbeat to a member of the own failure domain. The sections
// take turns to lead: the leading one is filled first and has space for its largest
// item, the others share the space that remains at the end.
func (s *State) heartbeat(now time.Time) Message {
	message, budget := s.newMessage()
	lead := section(s.cursors.section % int(numSections))
	s.cursors.section++
	s.fillSection(&message, lead, budget, maxLeadSectionBytes, now)
	message.Records = append(message.Records, s.changedRecords(budget)...)
	message.DrainMarkers = fill(budget, maxDrainMarkerBytes, s.unexpiredDrainMarkers(now), &s.cursors.drains)
	message.ServerLimits = fill(budget, maxServerLimitBytes, s.serverLimits, &s.cursors.serverLimits)
	for i := section(1); i < numSections; i++ {
		s.fillSection(&message, (lead+i)%numSections, budget, budget.remaining, now)
	}
	return message
}

// fillSection adds items of one section, up to maxBytes encoded bytes.
func (s *State) fillSection(message *Message, kind section, budget *byteBudget, maxBytes int, now time.Time) {
	switch kind {
	case sectionRecords:
		live := s.live()
		message.Records = append(message.Records, fillFrom(budget, maxBytes, len(live), func(i int) Record { return live[i].record }, &s.cursors.records)...)
	case sectionSummaries:
		message.Summaries = fill(budget, maxBytes, s.summaries(now), &s.cursors.summaries)
	case sectionDemand:
		message.Demand = fill(budget, maxBytes, s.demand, &s.cursors.demand)
	case sectionInFlightCounts:
		message.InFlightCounts = fill(budget, maxBytes, s.inFlightCounts, &s.cursors.inFlightCounts)
	case sectionStragglers:
		message.Stragglers = fill(budget, maxBytes, s.ownStragglers(), &s.cursors.stragglers)
	}
}

// crossDomainHeartbeat returns a heartbeat to an instance of another failure domain.
func (s *State) crossDomainHeartbeat(now time.Time) Message {
	message, budget := s.newMessage()
	message.Summaries = fill(budget, budget.remaining, []DomainSummary{s.ownSummary()}, new(int))
	message.DrainMarkers = fill(budget, maxDrainMarkerBytes, s.unexpiredDrainMarkers(now), &s.cursors.drains)
	message.ServerLimits = fill(budget, maxServerLimitBytes, s.serverLimits, &s.cursors.serverLimits)
	message.Summaries = append(message.Summaries, fill(budget, budget.remaining, s.summaries(now), &s.cursors.summaries)...)
	return message
}

// repeat has the record of a member sent with priority, in as many messages as it
// takes to reach all members with high probability.
func (s *State) repeat(m *member) {
	if m.repeatsLeft == 0 {
		s.changed = slices.Insert(s.changed, 0, m)
	}
	m.repeatsLeft = minChangeRepeats + 2*bits.Len(uint(len(s.members)))
}

// changedRecords returns records with a recent change of state, those of removed
// members and of members that left included. New changes come first, the others take
// turns.
func (s *State) changedRecords(budget *byteBudget) []Record {
	var records []Record
	left := min(maxChangedRecordBytes, budget.remaining)
	for range s.changed {
		m := s.changed[0]
		size := m.record.bytes()
		if size > left {
			break
		}
		left -= size
		budget.remaining -= size
		records = append(records, m.record)
		s.changed = s.changed[1:]
		if m.repeatsLeft--; m.repeatsLeft > 0 {
			s.changed = append(s.changed, m)
		}
	}
	return records
}

// urgentMessage returns a message that holds only items to be sent at once.
func (s *State) urgentMessage(records []Record, drains []DrainMarker) Message {
	message, budget := s.newMessage()
	message.Urgent = true
	message.Records = fill(budget, budget.remaining, records, new(int))
	message.DrainMarkers = fill(budget, budget.remaining, drains, new(int))
	return message
}

// broadcast sends a message to all other members of the failure domain.
func (s *State) broadcast(message Message) {
	for _, m := range s.live() {
		s.send(m.record.Address, message)
	}
}

// broadcastToOtherDomains sends a message to one contact of each other failure
// domain that the filter accepts.
func (s *State) broadcastToOtherDomains(message Message, accept func(*domain) bool) {
	for _, name := range sortedKeys(s.domains) {
		d := s.domains[name]
		if address, ok := s.randomContact(d); ok && accept(d) {
			s.send(address, message)
		}
	}
}

// reserveBroadcast uses up one of the urgent broadcasts that are allowed until the
// next tick, and returns false if none is left.
func (s *State) reserveBroadcast() bool {
	s.broadcastsLeft--
	return s.broadcastsLeft >= 0
}

func everyDomain(*domain) bool { return true }

// Leave marks this instance as left and returns the messages that announce it.
// Afterwards Tick and Receive do nothing.
func (s *State) Leave(time.Time) []Output {
	s.outputs = nil
	s.self.State = Left
	s.self.Counter++
	message := s.urgentMessage(nil, nil)
	s.broadcast(message)
	s.broadcastToOtherDomains(message, everyDomain)
	return s.outputs
}

// SetRevision reports that a configuration revision is in force at this instance. It
// is sent at once to the members of the failure domain, unless one of them had it
// before, and with fromStore also to the other failure domains that aren't known to
// have it.
func (s *State) SetRevision(revision int64, fromStore bool) []Output {
	s.outputs = nil
	if revision <= s.self.Revision {
		return nil
	}
	s.self.Revision = revision
	s.highestRevision = max(s.highestRevision, revision)
	message := s.urgentMessage(nil, nil)
	if revision > s.domainRevision {
		s.broadcast(message)
	}
	if fromStore {
		s.broadcastToOtherDomains(message, func(d *domain) bool { return d.summary.Revision < revision })
	}
	return s.outputs
}

// ConfirmStoreContact announces to the members of the failure domain that this instance has
// reached the store, which was known to have nothing newer some time ago.
func (s *State) ConfirmStoreContact(age time.Duration) []Output {
	s.outputs = nil
	message := s.urgentMessage(nil, nil)
	message.StoreContact, message.StoreStateAge = true, age
	s.broadcast(message)
	return s.outputs
}

// AnnounceStoreReceiving announces to the members of the failure domain that an answer of the
// store is on its way to this instance.
func (s *State) AnnounceStoreReceiving() []Output {
	s.outputs = nil
	message := s.urgentMessage(nil, nil)
	message.StoreReceiving = true
	s.broadcast(message)
	return s.outputs
}

// SetLoad reports the number of requests that this instance has in flight.
func (s *State) SetLoad(load int) { s.self.Load = max(0, load) }

// SetInFlightCounts reports the requests that this instance has in flight by backend
// server.
func (s *State) SetInFlightCounts(counts []InFlightCount) { s.inFlightCounts = counts }
