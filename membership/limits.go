package membership

import (
	"math"

	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

// maxServerLimitBytes bounds the encoded limits in a heartbeat.
const maxServerLimitBytes = 200

// ServerLimit is the limit that a backend server named for the requests of all instances.
type ServerLimit struct{ ratelimit.Entry }

func (l ServerLimit) bytes() int {
	return embeddedHeaderBytes + stringBytes(l.Server) + numberBytes(l.Incarnation) + numberBytes(l.Sequence) + numberBytes(l.MilliPerSecond()) + numberBytes(1)
}

// MilliPerSecond returns the limit in thousandths of a request per second.
func (l ServerLimit) MilliPerSecond() int64 { return int64(math.Round(1000 * float64(l.Rate))) }

// SetServerLimits replaces the limits of backend servers that heartbeats carry.
func (s *State) SetServerLimits(limits []ServerLimit) { s.serverLimits = limits }

// AnnounceServerLimits sends changed limits at once to all members of the failure domain, and
// to one contact of each other failure domain when everywhere is true.
func (s *State) AnnounceServerLimits(changed []ServerLimit, everywhere bool) []Output {
	s.outputs = nil
	if len(changed) == 0 || !s.reserveBroadcast() {
		return nil
	}
	message, budget := s.newMessage()
	message.Urgent = true
	message.ServerLimits = fill(budget, budget.remaining, changed, new(int))
	s.broadcast(message)
	if everywhere {
		s.broadcastToOtherDomains(message, everyDomain)
	}
	return s.outputs
}

// receiveServerLimits passes on the limits in a message.
func (s *State) receiveServerLimits(message Message, local bool) {
	limits := message.ServerLimits[:0:0]
	for _, e := range message.ServerLimits {
		if validName(e.Server) {
			limits = append(limits, e)
		}
	}
	if len(limits) > 0 {
		s.outputs = append(s.outputs, ServerLimitsReceived{Limits: limits, Local: local})
	}
}

// LiveShare returns the share of the members of the failure domain that this instance takes
// for alive, itself included. Members that left do not count; members that were lost count
// until they are forgotten, because they may be on the other side of a network partition.
func (s *State) LiveShare() float64 {
	alive, lost := 1, 0
	for _, m := range s.members {
		switch {
		case m.record.State == Left:
		case m.record.State == Alive && !s.isolated:
			alive++
		default:
			lost++
		}
	}
	return float64(alive) / float64(alive+lost)
}
