package routing

// ServerState is a live server as the status report shows it.
type ServerState struct {
	ID    string
	Local bool
	// InFlight is the number of this instance's calls. PeersInFlight is the number
	// of calls that other instances reported, weighted by the age of the reports.
	InFlight      int
	PeersInFlight float64
	// Weight is 1 for a server that gets its full share of the calls.
	Weight float64
	// Reported is true while other instances report the server as a straggler.
	Reported  bool
	Draining  bool
	SlowStart bool
}

// States returns the live servers, nearest first.
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
