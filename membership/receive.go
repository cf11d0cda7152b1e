package membership

import "time"

// Receive takes a message of another instance.
func (s *State) Receive(now time.Time, message Message) []Output {
	s.outputs = nil
	from := message.From
	if s.self.State == Left || from.ID == s.self.ID || !validName(from.ID) || !validName(from.FailureDomain) || !validName(from.Address) {
		return nil
	}
	local := from.FailureDomain == s.self.FailureDomain
	m, known := s.members[from.ID]
	// A refuted suspicion raises the incarnation but keeps the counter.
	fresh := !known || from.Incarnation > m.record.Incarnation && from.Counter < m.record.Counter
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
	case fresh:
		// A member that started just now may know nobody yet.
		s.send(from.Address, s.heartbeat(now))
	case from.Incarnation < m.record.Incarnation:
		// A clock that went back gave a restarted member too low an incarnation. It
		// raises it when it hears of the higher one.
		s.send(from.Address, s.urgentMessage([]Record{m.record}, nil))
	}
	return s.outputs
}

// forwardLeave tells the members that a contact in another failure domain left.
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
	for _, beat := range message.HeartbeatCounters {
		s.mergeHeartbeatCounter(now, beat)
	}
	if len(message.InFlightCounts) > 0 {
		s.outputs = append(s.outputs, InFlightCountsReceived{from.ID, message.InFlightCounts})
	}
	if len(message.Demand) > 0 {
		s.mergeDemand(now, from.ID, message.Demand)
	}
}

// noteRevision reports a revision that is new here.
func (s *State) noteRevision(revision int64, address string) {
	if revision <= s.highestRevision {
		return
	}
	s.highestRevision = revision
	s.outputs = append(s.outputs, NewRevision{revision, address})
}

// mergeRecord takes what another member knows of a member.
func (s *State) mergeRecord(now time.Time, record Record) {
	if record.ID == s.self.ID {
		s.refute(record)
		return
	}
	m, known := s.members[record.ID]
	if !known {
		// A member that is only known as dead needs no entry.
		if record.State <= Suspected {
			s.addMember(now, record)
		}
		return
	}
	if record.Incarnation >= m.addressIncarnation {
		m.addressIncarnation, m.record.Address = record.Incarnation, record.Address
	}
	m.record.Revision = max(m.record.Revision, record.Revision)
	fresh := record.newer(m.record)
	if fresh {
		m.record.Load = record.Load
		s.noteHeartbeat(now, m, record.Incarnation, record.Counter)
	}
	// Suspicion spreads by silence: each member hears the counters itself. Only a
	// leave is taken over, since it comes from the member.
	if record.State == Left && (fresh || !m.record.newer(record)) {
		s.setState(m, Left, now)
	}
}

// mergeHeartbeatCounter takes a heartbeat counter that another member heard.
func (s *State) mergeHeartbeatCounter(now time.Time, beat HeartbeatCounter) {
	m, known := s.members[s.idByHash[beat.IDHash]]
	if known && (Record{Incarnation: beat.Incarnation, Counter: beat.Counter}).newer(m.record) {
		s.noteHeartbeat(now, m, beat.Incarnation, beat.Counter)
	}
}

// noteHeartbeat notes a later heartbeat. It brings a suspected or removed member back;
// the heartbeat with which a member left is its last one.
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

// refute answers a suspicion of this instance, or an older incarnation of it,
// with a higher incarnation.
func (s *State) refute(record Record) {
	stale := record.Incarnation > s.self.Incarnation
	accused := record.State != Alive && record.Incarnation == s.self.Incarnation
	if s.self.State == Alive && (stale || accused) {
		s.self.Incarnation = record.Incarnation + 1
	}
}
