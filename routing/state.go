package routing

// ServerState is a live server as the status shows it.
type ServerState struct {
	ID    string
	Local bool
	// InFlight counts the calls of this instance, PeersInFlight those that the
	// others reported, aged.
	InFlight      int
	PeersInFlight float64
	// Weight is 1 for a server that gets its full part of the calls.
	Weight float64
	// Reported is true while other instances see the server as a straggler.
	Reported  bool
	Draining  bool
	SlowStart bool
}

// States returns the live servers, the nearest first.
func (p *Pool) States() []ServerState {
	states := make([]ServerState, 0, len(p.ordered))
	for _, index := range p.ordered {
		s := &p.servers[index]
		states = append(states, ServerState{
			ID: s.ID, Local: p.Local(index), InFlight: s.inFlight, PeersInFlight: s.peerInFlight, Weight: weights[s.level],
			Reported: s.reported, Draining: s.draining, SlowStart: s.slowStartFrom != 0,
		})
	}
	return states
}
