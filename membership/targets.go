package membership

import "time"

// probeNext probes the next member, or contacts an address where an instance may be.
func (s *State) probeNext(now time.Time) {
	if s.ticks%probeTicks == 0 || len(s.live()) == 0 {
		if address, ok := s.contactTarget(); ok {
			s.sendContact(now, address)
			return
		}
	}
	if m := s.nextMember(); m != nil {
		s.startProbe(now, m)
	}
}

// contactNewCandidates contacts candidates that this instance has never contacted and
// that no message has mentioned.
func (s *State) contactNewCandidates(now time.Time) {
	if len(s.newCandidates) == 0 {
		return
	}
	inUse := s.addressesInUse()
	for contacted := 0; len(s.newCandidates) > 0 && contacted < maxContactsPerTick; {
		address := s.newCandidates[0]
		s.newCandidates = s.newCandidates[1:]
		if !inUse[address] {
			s.sendContact(now, address)
			contacted++
		}
	}
}

// nextMember returns the alive members in turn, in a random order that changes after each
// pass, or nil when there is none. In a pass, each member is probed once: with
// independent random targets, some would not be probed for long.
func (s *State) nextMember() *member {
	for len(s.rotation) > 0 {
		m, known := s.members[s.rotation[0]]
		s.rotation = s.rotation[1:]
		if known && m.record.State == Alive {
			return m
		}
	}
	for _, m := range s.live() {
		if m.record.State == Alive {
			s.rotation = append(s.rotation, m.record.ID)
		}
	}
	if len(s.rotation) == 0 {
		return nil
	}
	s.random.Shuffle(len(s.rotation), func(i, j int) { s.rotation[i], s.rotation[j] = s.rotation[j], s.rotation[i] })
	return s.nextMember()
}

// addressesInUse returns the addresses of this instance and of the live members.
func (s *State) addressesInUse() map[string]bool {
	inUse := map[string]bool{s.self.Address: true}
	for _, m := range s.live() {
		inUse[m.record.Address] = true
	}
	return inUse
}

// contactTarget returns a random address of the own failure domain that no live member
// has: that of a candidate, or of a member that was removed but did not leave.
func (s *State) contactTarget() (string, bool) {
	inUse := s.addressesInUse()
	free := map[string]bool{}
	for address, c := range s.candidates {
		if !inUse[address] && s.domainRank(c) == 0 {
			free[address] = true
		}
	}
	for _, m := range s.failed {
		if m.record.State == Removed && !inUse[m.record.Address] {
			free[m.record.Address] = true
		}
	}
	if len(free) == 0 {
		return "", false
	}
	addresses := sortedKeys(free)
	return addresses[s.random.IntN(len(addresses))], true
}
