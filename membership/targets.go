package membership

// targets returns the addresses of this tick's heartbeats in the failure domain.
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

// nextMember walks through the members in random order and starts again with
// another one. With independent draws a member now and then heard nobody for
// eight intervals and took the others for dead.
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
// member has: a probeTarget, or a member that was removed but did not leave.
func (s *State) probeTarget() (string, bool) {
	taken := map[string]bool{s.self.Address: true}
	for _, r := range s.otherLiveMembers() {
		taken[r.Address] = true
	}
	found := map[string]bool{}
	for address, c := range s.candidates {
		if !taken[address] && s.domainRank(c) == 0 {
			found[address] = true
		}
	}
	for _, m := range s.members {
		if m.record.State == Removed && !taken[m.record.Address] {
			found[m.record.Address] = true
		}
	}
	if len(found) == 0 {
		return "", false
	}
	addresses := sortedKeys(found)
	return addresses[s.random.IntN(len(addresses))], true
}
