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
	m, known := s.members[from.ID]
	// A refuted suspicion also raises the incarnation, but keeps the counter.
	started := !known || from.Incarnation > m.record.Incarnation && from.Counter < m.record.Counter
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
	switch {
	case !local || from.State == Left:
	case started:
		// A member that has just started may not know any other member yet.
		s.send(from.Address, s.heartbeat(now))
	case from.Incarnation < m.record.Incarnation:
		// The clock of a restarted member went back, so that its incarnation is lower
		// than before. The member raises it when it receives its old record.
		s.send(from.Address, s.urgentMessage([]Record{m.record}, nil))
	}
	return s.outputs
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
	s.domainRevision = max(s.domainRevision, from.Revision)
	s.mergeRecord(now, from)
	for _, record := range message.Records {
		switch {
		case !validName(record.ID) || !validName(record.Address):
		case record.FailureDomain == s.self.FailureDomain:
			s.mergeRecord(now, record)
		case record.State == Left:
			s.dropContact(record)
		}
	}
	for _, counter := range message.HeartbeatCounters {
		s.mergeHeartbeatCounter(now, counter)
	}
	if len(message.InFlightCounts) > 0 {
		s.outputs = append(s.outputs, InFlightCountsReceived{from.ID, message.InFlightCounts})
	}
	if len(message.Demand) > 0 {
		s.mergeDemand(now, from.ID, message.Demand)
	}
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
		m.addressIncarnation, m.record.Address = record.Incarnation, record.Address
	}
	m.record.Revision = max(m.record.Revision, record.Revision)
	newer := record.newer(m.record)
	if newer {
		m.record.Load = record.Load
		s.noteHeartbeat(now, m, record.Incarnation, record.Counter)
	}
	// Received suspicions and removals are ignored: each instance decides on them
	// by the heartbeat counters that it receives. Only Left is adopted, because the
	// member itself reported it.
	if record.State == Left && (newer || !m.record.newer(record)) {
		s.setState(m, Left, now)
	}
}

// mergeHeartbeatCounter merges a heartbeat counter that another member forwarded.
func (s *State) mergeHeartbeatCounter(now time.Time, counter HeartbeatCounter) {
	m, known := s.members[s.idByHash[counter.IDHash]]
	if known && (Record{Incarnation: counter.Incarnation, Counter: counter.Counter}).newer(m.record) {
		s.noteHeartbeat(now, m, counter.Incarnation, counter.Counter)
	}
}

// noteHeartbeat stores a newer heartbeat of a member. It makes a suspected or removed
// member alive again, and also one that left: its leave was its last heartbeat, so
// that a newer one is from a new process.
func (s *State) noteHeartbeat(now time.Time, m *member, incarnation, counter uint64) {
	m.record.Incarnation, m.record.Counter = incarnation, counter
	m.lastHeartbeat = now
	s.setState(m, Alive, now)
}

func (s *State) addMember(now time.Time, record Record) {
	record.State = Alive
	m := &member{record: record, lastHeartbeat: now, stateSince: now, repeatsLeft: changeRepeats, addressIncarnation: record.Incarnation}
	s.members[record.ID] = m
	s.idByHash[hashID(record.ID)] = record.ID
	s.sortedLive = nil
	s.outputs = append(s.outputs, MemberChanged{record})
}

// refute raises the incarnation of this instance if another member suspects or
// removed it, or has a record of it with a higher incarnation.
func (s *State) refute(record Record) {
	outranked := record.Incarnation > s.self.Incarnation
	suspected := record.State != Alive && record.Incarnation == s.self.Incarnation
	if s.self.State == Alive && (outranked || suspected) {
		s.self.Incarnation = record.Incarnation + 1
	}
}
