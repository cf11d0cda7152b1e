package membership

import "time"

// Receive handles a message from another instance and returns the resulting messages
// and events. It ignores its own messages and those with an invalid sender.
func (s *State) Receive(now time.Time, message Message) []Output {
	s.outputs = nil
	from := message.From
	if s.self.State == Left || from.ID == s.self.ID || !validName(from.ID) || !validName(from.FailureDomain) || !validName(from.Address) {
		return nil
	}
	local := from.FailureDomain == s.self.FailureDomain
	s.noteRevision(from.Revision, from.Address)
	if local {
		s.receiveLocal(now, message)
	} else {
		s.noteDomainContact(now, from)
		s.forwardLeave(message)
	}
	for _, summary := range message.Summaries {
		s.mergeSummary(now, summary)
	}
	s.mergeMarkers(now, message, local)
	s.receiveServerLimits(message, local)
	if local && from.State != Left {
		s.receiveProbe(now, message)
		s.receiveSync(message)
		s.considerSync(message)
		s.correctSender(from)
	}
	return s.outputs
}

// correctSender sends the sender of a message its record if this instance takes it for
// failed, or for an earlier or later process. The sender then raises its incarnation.
func (s *State) correctSender(from Record) {
	m, known := s.members[from.ID]
	if !known {
		return
	}
	if m.record.State != Alive || from.Incarnation < m.record.Incarnation {
		s.send(from.Address, s.urgentMessage([]Record{m.record}, nil))
	}
}

// forwardLeave forwards to the members that an instance of another failure domain
// left, because it may be one of their contacts.
func (s *State) forwardLeave(message Message) {
	if message.Urgent && message.From.State == Left && s.reserveBroadcast() {
		s.broadcast(s.urgentMessage([]Record{message.From}, nil))
	}
}

func (s *State) receiveLocal(now time.Time, message Message) {
	from := message.From
	s.noteReceipt(now)
	s.endProbes(from.ID)
	s.domainRevision = max(s.domainRevision, from.Revision)
	_, known := s.members[from.ID]
	s.mergeRecord(now, from)
	m, added := s.members[from.ID]
	if added && !known {
		s.repeat(m)
	}
	if m != nil {
		s.receiveStoreContact(message, m.transit.observe(now, message.Sent))
	}
	for _, record := range message.Records {
		switch {
		case !validName(record.ID) || !validName(record.Address):
		case record.FailureDomain == s.self.FailureDomain:
			s.mergeRecord(now, record)
		case record.State == Left:
			s.dropContact(record)
		}
	}
	if len(message.InFlightCounts) > 0 {
		s.outputs = append(s.outputs, InFlightCountsReceived{from.ID, message.InFlightCounts})
	}
	if len(message.Demand) > 0 {
		s.mergeDemand(now, from.ID, message.Demand)
	}
}

// maxStoreStateAge bounds the age of a state of the store, which a sender that does not know it
// gives as unlimited.
const maxStoreStateAge = time.Hour

// receiveStoreContact reports what a message says of the sender's contact with the store.
// delay is how long the message waited on its way.
func (s *State) receiveStoreContact(message Message, delay time.Duration) {
	if !message.StoreContact && !message.StoreReceiving {
		return
	}
	age := min(max(0, message.StoreStateAge), maxStoreStateAge) + delay
	s.outputs = append(s.outputs, StoreContact{Revision: message.From.Revision, Address: message.From.Address, Age: age, Waited: delay, Receiving: message.StoreReceiving})
}

// noteRevision reports a revision that is higher than all known before.
func (s *State) noteRevision(revision int64, address string) {
	if revision <= s.highestRevision {
		return
	}
	s.highestRevision = revision
	s.outputs = append(s.outputs, NewRevision{revision, address})
}

// mergeRecord merges a received record into the own state.
func (s *State) mergeRecord(now time.Time, record Record) {
	if record.ID == s.self.ID {
		s.refute(record)
		return
	}
	m, known := s.members[record.ID]
	if !known {
		// An unknown member that was removed or left needs no entry.
		if record.State <= Suspected {
			s.addMember(now, record)
		}
		return
	}
	if record.Incarnation >= m.addressIncarnation {
		s.updateIdentity(m, record)
	}
	m.record.Revision = max(m.record.Revision, record.Revision)
	if record.newer(m.record) {
		m.record.Load, m.record.Counter = record.Load, record.Counter
	}
	s.mergeState(now, m, record)
}

// updateIdentity adopts the address and the capacity of a member, which change when it
// is replaced.
func (s *State) updateIdentity(m *member, record Record) {
	m.addressIncarnation = record.Incarnation
	if m.record.Address == record.Address && m.record.Capacity == record.Capacity {
		return
	}
	m.record.Address, m.record.Capacity = record.Address, record.Capacity
	s.outputs = append(s.outputs, MemberChanged{m.record})
}

// mergeState adopts the state in a received record of a member: a higher state of the
// known incarnation, or any state of a later one.
func (s *State) mergeState(now time.Time, m *member, record Record) {
	state := record.State
	if state == Removed {
		// The member may refute the suspicion here before it is removed.
		state = Suspected
	}
	switch {
	case record.Incarnation > m.record.Incarnation:
		m.record.Incarnation = record.Incarnation
		s.setState(m, state, now)
		s.repeat(m)
	case record.Incarnation == m.record.Incarnation && state > m.record.State:
		s.setState(m, state, now)
	}
}

func (s *State) addMember(now time.Time, record Record) {
	m := &member{record: record, stateSince: now, addressIncarnation: record.Incarnation}
	s.members[record.ID] = m
	s.updateLists(m)
	s.outputs = append(s.outputs, MemberChanged{record})
}

// refute raises the incarnation of this instance and announces it at once if another
// member suspects or removed it, or has a record of it with a higher incarnation.
func (s *State) refute(record Record) {
	outranked := record.Incarnation > s.self.Incarnation
	suspected := record.State != Alive && record.Incarnation == s.self.Incarnation
	if s.self.State == Alive && (outranked || suspected) {
		s.self.Incarnation = record.Incarnation + 1
		if s.reserveBroadcast() {
			s.broadcast(s.urgentMessage(nil, nil))
		}
	}
}
