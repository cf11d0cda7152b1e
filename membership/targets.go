package membership

// targets returns the addresses in the own failure domain to which this tick sends
// heartbeats.
func (s *State) targets() []string {
	var addresses []string
	if s.ticks%probeTicks == 0 || len(s.otherLiveMembers()) < fanOut {
		if candidate, ok := s.probeTarget(); ok {
			addresses = append(addresses, candidate)
		}
	}
	for range min(fanOut-len(addresses), len(s.otherLiveMembers())) {
		addresses = append(addresses, s.nextMember())
	}
	return addresses
}

// nextMember returns the addresses of the members in turn, in a random order that
// changes after each pass. With independent random targets, a member sometimes
// received no heartbeat for eight intervals and removed the others.
func (s *State) nextMember() string {
	for len(s.rotation) > 0 {
		m, known := s.members[s.rotation[0]]
		s.rotation = s.rotation[1:]
		if known && m.record.State <= Suspected {
			return m.record.Address
		}
	}
	live := s.otherLiveMembers()
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, r := range live[1:] {
		s.rotation = append(s.rotation, r.ID)
	}
	return live[0].Address
}

// probeTarget returns a random address of the own failure domain that no live
// member has: that of a candidate, or of a member that was removed but did not leave.
func (s *State) probeTarget() (string, bool) {
	inUse := map[string]bool{s.self.Address: true}
	for _, r := range s.otherLiveMembers() {
		inUse[r.Address] = true
	}
	free := map[string]bool{}
	for address, c := range s.candidates {
		if !inUse[address] && s.domainRank(c) == 0 {
			free[address] = true
		}
	}
	for _, m := range s.members {
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
