package membership

import (
	"time"
)

// Bounds of the sections of a heartbeat in bytes. What doesn't fit has its turn
// in a later heartbeat.
const (
	maxLeadBytes  = 600
	maxNewsBytes  = 250
	maxDrainBytes = 200
	maxBeatBytes  = 400
)

// newMessage returns a message with its header and the room that is left.
func (s *State) newMessage() (Message, *room) {
	message := Message{From: s.self}
	return message, &room{MaxMessageBytes - message.Bytes()}
}

// section is a part of a heartbeat that takes turns with the others.
type section int

const (
	sectionRecords section = iota
	sectionSummaries
	sectionDemand
	sectionCounts
	sectionStragglers
	sections
)

// heartbeat returns a heartbeat to a member of the own failure domain. One
// section leads and has room for its largest item; the others get what is left.
func (s *State) heartbeat(now time.Time) Message {
	message, left := s.newMessage()
	lead := section(s.cursors.section % int(sections))
	s.cursors.section++
	s.fillSection(&message, lead, left, maxLeadBytes, now)
	message.Beats = fill(left, maxBeatBytes, s.beats(), &s.cursors.beats)
	message.Records = append(message.Records, s.news(left)...)
	message.Drains = fill(left, maxDrainBytes, s.drainMarkers(now), &s.cursors.drains)
	for i := section(1); i < sections; i++ {
		s.fillSection(&message, (lead+i)%sections, left, left.left, now)
	}
	return message
}

// fillSection adds up to a number of bytes of one section.
func (s *State) fillSection(message *Message, which section, left *room, most int, now time.Time) {
	switch which {
	case sectionRecords:
		message.Records = append(message.Records, fill(left, most, s.others(), &s.cursors.records)...)
	case sectionSummaries:
		message.Summaries = fill(left, most, s.summaries(now), &s.cursors.summaries)
	case sectionDemand:
		message.Demand = fill(left, most, s.demand, &s.cursors.demand)
	case sectionCounts:
		message.Counts = fill(left, most, s.counts, &s.cursors.counts)
	case sectionStragglers:
		message.Stragglers = fill(left, most, s.ownStragglers(), &s.cursors.stragglers)
	}
}

// crossHeartbeat returns a heartbeat to a contact in another failure domain.
func (s *State) crossHeartbeat(now time.Time) Message {
	message, left := s.newMessage()
	message.Summaries = fill(left, left.left, []Summary{s.ownSummary()}, new(int))
	message.Drains = fill(left, maxDrainBytes, s.drainMarkers(now), &s.cursors.drains)
	message.Summaries = append(message.Summaries, fill(left, left.left, s.summaries(now), &s.cursors.summaries)...)
	return message
}

// news returns changed records, dead members included.
func (s *State) news(left *room) []Record {
	var records []Record
	used := 0
	for _, id := range sortedKeys(s.members) {
		m := s.members[id]
		size := m.record.bytes()
		if m.news == 0 || used+size > min(maxNewsBytes, left.left) {
			continue
		}
		m.news--
		used += size
		records = append(records, m.record)
	}
	left.left -= used
	return records
}

// beats returns the newest heartbeats of all live members.
func (s *State) beats() []Beat {
	others := s.others()
	beats := make([]Beat, len(others))
	for i, r := range others {
		beats[i] = Beat{hashID(r.ID), r.Incarnation, r.Counter}
	}
	return beats
}

// urgent returns a message with only what must arrive at once.
func (s *State) urgent(records []Record, drains []DrainMarker) Message {
	message, left := s.newMessage()
	message.Urgent = true
	message.Records = fill(left, left.left, records, new(int))
	message.Drains = fill(left, left.left, drains, new(int))
	return message
}

// broadcast sends a message to all other members of the failure domain.
func (s *State) broadcast(message Message) {
	for _, r := range s.others() {
		s.send(r.Address, message)
	}
}

// broadcastFar sends a message to one contact of each other failure domain that
// the filter accepts.
func (s *State) broadcastFar(message Message, accept func(*domain) bool) {
	for _, name := range sortedKeys(s.domains) {
		d := s.domains[name]
		if address, ok := s.contact(d); ok && accept(d) {
			s.send(address, message)
		}
	}
}

// mayBroadcast takes one of the urgent broadcasts of this tick.
func (s *State) mayBroadcast() bool {
	s.broadcasts--
	return s.broadcasts >= 0
}

func everyDomain(*domain) bool { return true }

// Leave returns the messages of an instance that stops. Afterwards Tick and
// Receive do nothing.
func (s *State) Leave(time.Time) []Output {
	s.outputs = nil
	s.self.State = Left
	s.self.Counter++
	message := s.urgent(nil, nil)
	s.broadcast(message)
	s.broadcastFar(message, everyDomain)
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
	s.highest = max(s.highest, revision)
	message := s.urgent(nil, nil)
	if revision > s.domainRevision {
		s.broadcast(message)
	}
	if fromStore {
		s.broadcastFar(message, func(d *domain) bool { return d.summary.Revision < revision })
	}
	return s.outputs
}

// SetLoad reports the number of requests in flight.
func (s *State) SetLoad(load int) { s.self.Load = max(0, load) }

// SetCounts reports the requests in flight by backend server.
func (s *State) SetCounts(counts []Count) { s.counts = counts }
