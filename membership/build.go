package membership

import (
	"time"
)

// Bounds of the sections of a heartbeat in bytes. What doesn't fit has its turn
// in a later heartbeat.
const (
	maxLeadSectionBytes      = 600
	maxChangedRecordBytes    = 250
	maxDrainMarkerBytes      = 200
	maxHeartbeatCounterBytes = 400
)

// newMessage returns a message with its header and the room that is left.
func (s *State) newMessage() (Message, *byteBudget) {
	message := Message{From: s.self}
	return message, &byteBudget{MaxMessageBytes - message.Bytes()}
}

// section is a part of a heartbeat that takes turns with the others.
type section int

const (
	sectionRecords section = iota
	sectionSummaries
	sectionDemand
	sectionInFlightCounts
	sectionStragglers
	numSections
)

// heartbeat returns a heartbeat to a member of the own failure domain. One
// section leads and has room for its largest item; the others get what is left.
func (s *State) heartbeat(now time.Time) Message {
	message, left := s.newMessage()
	lead := section(s.cursors.section % int(numSections))
	s.cursors.section++
	s.fillSection(&message, lead, left, maxLeadSectionBytes, now)
	message.HeartbeatCounters = fill(left, maxHeartbeatCounterBytes, s.heartbeatCounters(), &s.cursors.heartbeatCounters)
	message.Records = append(message.Records, s.changedRecords(left)...)
	message.DrainMarkers = fill(left, maxDrainMarkerBytes, s.unexpiredDrainMarkers(now), &s.cursors.drains)
	for i := section(1); i < numSections; i++ {
		s.fillSection(&message, (lead+i)%numSections, left, left.remaining, now)
	}
	return message
}

// fillSection adds up to a number of bytes of one section.
func (s *State) fillSection(message *Message, which section, left *byteBudget, most int, now time.Time) {
	switch which {
	case sectionRecords:
		message.Records = append(message.Records, fill(left, most, s.otherLiveMembers(), &s.cursors.records)...)
	case sectionSummaries:
		message.Summaries = fill(left, most, s.summaries(now), &s.cursors.summaries)
	case sectionDemand:
		message.Demand = fill(left, most, s.demand, &s.cursors.demand)
	case sectionInFlightCounts:
		message.InFlightCounts = fill(left, most, s.inFlightCounts, &s.cursors.inFlightCounts)
	case sectionStragglers:
		message.Stragglers = fill(left, most, s.ownStragglers(), &s.cursors.stragglers)
	}
}

// crossDomainHeartbeat returns a heartbeat to a contact in another failure domain.
func (s *State) crossDomainHeartbeat(now time.Time) Message {
	message, left := s.newMessage()
	message.Summaries = fill(left, left.remaining, []DomainSummary{s.ownSummary()}, new(int))
	message.DrainMarkers = fill(left, maxDrainMarkerBytes, s.unexpiredDrainMarkers(now), &s.cursors.drains)
	message.Summaries = append(message.Summaries, fill(left, left.remaining, s.summaries(now), &s.cursors.summaries)...)
	return message
}

// changedRecords returns changed records, dead members included.
func (s *State) changedRecords(left *byteBudget) []Record {
	var records []Record
	used := 0
	for _, id := range sortedKeys(s.members) {
		m := s.members[id]
		size := m.record.bytes()
		if m.repeatsLeft == 0 || used+size > min(maxChangedRecordBytes, left.remaining) {
			continue
		}
		m.repeatsLeft--
		used += size
		records = append(records, m.record)
	}
	left.remaining -= used
	return records
}

// heartbeatCounters returns the newest heartbeats of all live members.
func (s *State) heartbeatCounters() []HeartbeatCounter {
	others := s.otherLiveMembers()
	beats := make([]HeartbeatCounter, len(others))
	for i, r := range others {
		beats[i] = HeartbeatCounter{hashID(r.ID), r.Incarnation, r.Counter}
	}
	return beats
}

// urgentMessage returns a message with only what must arrive at once.
func (s *State) urgentMessage(records []Record, drains []DrainMarker) Message {
	message, left := s.newMessage()
	message.Urgent = true
	message.Records = fill(left, left.remaining, records, new(int))
	message.DrainMarkers = fill(left, left.remaining, drains, new(int))
	return message
}

// broadcast sends a message to all other members of the failure domain.
func (s *State) broadcast(message Message) {
	for _, r := range s.otherLiveMembers() {
		s.send(r.Address, message)
	}
}

// broadcastToOtherDomains sends a message to one contact of each other failure domain that
// the filter accepts.
func (s *State) broadcastToOtherDomains(message Message, accept func(*domain) bool) {
	for _, name := range sortedKeys(s.domains) {
		d := s.domains[name]
		if address, ok := s.randomContact(d); ok && accept(d) {
			s.send(address, message)
		}
	}
}

// reserveBroadcast takes one of the urgent broadcasts of this tick.
func (s *State) reserveBroadcast() bool {
	s.broadcastsLeft--
	return s.broadcastsLeft >= 0
}

func everyDomain(*domain) bool { return true }

// Leave returns the messages of an instance that stops. Afterwards Tick and
// Receive do nothing.
func (s *State) Leave(time.Time) []Output {
	s.outputs = nil
	s.self.State = Left
	s.self.Counter++
	message := s.urgentMessage(nil, nil)
	s.broadcast(message)
	s.broadcastToOtherDomains(message, everyDomain)
	return s.outputs
}

// SetRevision reports that a configuration revision is in force here. The
// members of the failure domain get it at once unless one of them had it before;
// with fromStore, so do the other failure domains that aren't known to have it.
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

// SetLoad reports the number of requests in flight.
func (s *State) SetLoad(load int) { s.self.Load = max(0, load) }

// SetInFlightCounts reports the requests in flight by backend server.
func (s *State) SetInFlightCounts(counts []InFlightCount) { s.inFlightCounts = counts }
