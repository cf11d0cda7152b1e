package membership

import (
	"slices"
	"time"
)

// Failure detection works as in SWIM: each tick probes one member in turn. A member
// that does not answer two probes is probed by some other members on behalf of
// the first one, and it is those that suspect it. So a suspicion needs two instances
// that reach others, and an instance with a failing link of its own suspects nobody.
// Messages and bytes per instance don't depend on the number of members.
const (
	// maxHelpers is how many other members probe a member that did not answer.
	maxHelpers = 3
	// attemptsBeforeHelp is how often a member is probed until others are asked to.
	attemptsBeforeHelp = 2
	// attemptsWithoutHelper is how often a member is probed until it is suspected when
	// there is no other member to ask.
	attemptsWithoutHelper = 3
	// relayLifetimeTicks is the number of ticks in which a probe on behalf of another
	// member must be answered: at least one interval.
	relayLifetimeTicks = 2
	// isolatedAfter is how long an instance receives nothing from its failure domain
	// until it takes itself for isolated. Without a fault, it receives about two
	// messages per interval.
	isolatedAfter = 5 * time.Second
	// maxContactsPerTick bounds the heartbeats to new candidates per tick.
	maxContactsPerTick = 8
)

// probe is a probe of a member that has not answered yet.
type probe struct {
	target   string // ID
	attempts int
}

// startProbe sends a heartbeat to a member, which must answer it. Any message of the
// member counts as the answer.
func (s *State) startProbe(now time.Time, m *member) {
	p := &probe{target: m.record.ID}
	s.probes = append(s.probes, p)
	s.sendProbe(now, p, m)
}

func (s *State) sendProbe(now time.Time, p *probe, m *member) {
	p.attempts++
	s.sendContact(now, m.record.Address)
}

// probeSuspect sends the suspicion to a random suspected member, so that this instance
// learns of its refutation also when the messages that announced it were lost.
func (s *State) probeSuspect() {
	var suspects []*member
	for _, id := range sortedKeys(s.failed) {
		if m := s.failed[id]; m.record.State == Suspected {
			suspects = append(suspects, m)
		}
	}
	if len(suspects) == 0 {
		return
	}
	m := suspects[s.random.IntN(len(suspects))]
	message := s.urgentMessage([]Record{m.record}, nil)
	message.WantsAnswer = true
	s.send(m.record.Address, message)
}

// sendContact sends a heartbeat to an address at which there may be an instance.
func (s *State) sendContact(now time.Time, address string) {
	message := s.heartbeat(now)
	message.WantsAnswer = true
	s.send(address, message)
}

// advanceProbes repeats the probes that were not answered since the last tick, or asks
// other members to probe.
func (s *State) advanceProbes(now time.Time) {
	pending := s.probes
	s.probes = nil
	for _, p := range pending {
		m, known := s.members[p.target]
		if !known || m.record.State != Alive {
			continue
		}
		switch {
		case p.attempts >= attemptsBeforeHelp && s.askHelpers(m):
			continue
		case p.attempts >= attemptsWithoutHelper:
			s.suspect(now, m)
			continue
		}
		s.sendProbe(now, p, m)
		s.probes = append(s.probes, p)
	}
	s.expireRelays(now)
}

// expireRelays suspects the members that answered neither the probes of another member
// nor that of this instance on its behalf.
func (s *State) expireRelays(now time.Time) {
	for _, id := range sortedKeys(s.relays) {
		if s.ticks < s.relays[id] {
			continue
		}
		delete(s.relays, id)
		if m, known := s.members[id]; known && m.record.State == Alive {
			s.suspect(now, m)
		}
	}
}

// askHelpers asks some other members to probe a member. It returns false when there is
// none.
func (s *State) askHelpers(target *member) bool {
	var helpers []*member
	for _, m := range s.live() {
		if m != target && m.record.State == Alive {
			helpers = append(helpers, m)
		}
	}
	s.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(maxHelpers, len(helpers))]
	for _, helper := range helpers {
		request := s.urgentMessage(nil, nil)
		request.ProbeMember = target.record.ID
		s.send(helper.record.Address, request)
	}
	return len(helpers) > 0
}

// suspect marks a member as suspected and announces it at once.
func (s *State) suspect(now time.Time, m *member) {
	s.setState(m, Suspected, now)
	if s.reserveBroadcast() {
		s.broadcast(s.urgentMessage([]Record{m.record}, nil))
	}
}

// receiveProbe answers a probe, and probes a member that the sender can't reach.
func (s *State) receiveProbe(now time.Time, message Message) {
	switch {
	case message.WantsAnswer && message.Urgent:
		s.send(message.From.Address, s.urgentMessage(nil, nil))
	case message.WantsAnswer:
		s.send(message.From.Address, s.heartbeat(now))
	}
	target, known := s.members[message.ProbeMember]
	if !known || target.record.State != Alive || len(s.relays) >= maxRelays {
		return
	}
	s.relays[target.record.ID] = s.ticks + relayLifetimeTicks
	relayed := s.urgentMessage(nil, nil)
	relayed.WantsAnswer = true
	s.send(target.record.Address, relayed)
}

// endProbes ends the probes of a member from which a message has arrived.
func (s *State) endProbes(id string) {
	s.probes = slices.DeleteFunc(s.probes, func(p *probe) bool { return p.target == id })
	delete(s.relays, id)
}

// noteReceipt records that a message from the own failure domain has arrived.
func (s *State) noteReceipt(now time.Time) {
	s.lastReceived = now
	s.setIsolated(false)
}

// checkIsolation takes this instance for isolated when nothing has arrived for long
// although there are other members.
func (s *State) checkIsolation(now time.Time) {
	if len(s.live()) == 0 {
		s.lastReceived = now
	}
	s.setIsolated(now.Sub(s.lastReceived) >= isolatedAfter)
}

func (s *State) setIsolated(isolated bool) {
	if s.isolated == isolated {
		return
	}
	s.isolated = isolated
	s.outputs = append(s.outputs, IsolationChanged{isolated})
}
