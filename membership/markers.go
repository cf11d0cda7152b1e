package membership

import "time"

const (
	// maxMarkerLifetime bounds the time until a marker expires.
	maxMarkerLifetime = 5 * time.Minute
	// minMarkerExtension is by how much a received marker must outlast the known one
	// to replace it. Without it, the delay of each hop would extend the lifetime of
	// a marker that members keep sending to each other.
	minMarkerExtension = 2 * time.Second
	// expiredMarkerRetention is how long an expired marker is kept, so that a delayed
	// copy isn't taken for a new marker.
	expiredMarkerRetention = 30 * time.Second
	// maxMarkers bounds the number of drain markers and that of straggler markers.
	maxMarkers = 512
)

// drainEntry is a drain marker with its expiry by the local clock.
type drainEntry struct {
	marker    DrainMarker
	expiresAt time.Time
}

// supersedes reports whether a marker replaces the known one: it has a higher
// incarnation, or the known one of the same incarnation is cleared and it is not, or
// it expires later by more than minMarkerExtension.
func (d drainEntry) supersedes(known drainEntry) bool {
	switch {
	case d.marker.Incarnation != known.marker.Incarnation:
		return d.marker.Incarnation > known.marker.Incarnation
	case d.marker.Cleared != known.marker.Cleared:
		return known.marker.Cleared
	}
	return d.expiresAt.Sub(known.expiresAt) > minMarkerExtension
}

// MarkDraining reports that a backend server refuses requests because it is
// draining. The marker is sent at once to all members of the failure domain and to
// one contact of each other failure domain.
func (s *State) MarkDraining(now time.Time, server string, incarnation int64, lifetime time.Duration) []Output {
	return s.setDrainMarker(now, DrainMarker{Server: server, Incarnation: incarnation, Remaining: lifetime})
}

// ClearDraining reports that a backend server with a drain marker has restarted with
// a new incarnation.
func (s *State) ClearDraining(now time.Time, server string, incarnation int64) []Output {
	known, ok := s.drains[server]
	if !ok || known.marker.Incarnation >= incarnation {
		return nil
	}
	return s.setDrainMarker(now, DrainMarker{Server: server, Incarnation: incarnation, Cleared: true, Remaining: maxMarkerLifetime})
}

func (s *State) setDrainMarker(now time.Time, marker DrainMarker) []Output {
	s.outputs = nil
	if s.mergeDrain(now, marker) && s.reserveBroadcast() {
		message := s.urgentMessage(nil, []DrainMarker{marker})
		s.broadcast(message)
		s.broadcastToOtherDomains(message, everyDomain)
	}
	return s.outputs
}

// mergeDrain stores a marker, unless it is invalid, doesn't supersede the known marker
// of the backend server, or exceeds maxMarkers. It returns whether it did.
func (s *State) mergeDrain(now time.Time, marker DrainMarker) bool {
	if !validName(marker.Server) || marker.Remaining <= 0 {
		return false
	}
	d := drainEntry{marker: marker, expiresAt: now.Add(min(marker.Remaining, maxMarkerLifetime))}
	known, ok := s.drains[marker.Server]
	if ok && !d.supersedes(known) || !ok && len(s.drains) >= maxMarkers {
		return false
	}
	s.drains[marker.Server] = d
	s.outputs = append(s.outputs, NewDrainMarker{marker})
	return true
}

// mergeMarkers stores the markers of a message. New drain markers from another
// failure domain are forwarded to the members of the own one.
func (s *State) mergeMarkers(now time.Time, message Message, local bool) {
	var newMarkers []DrainMarker
	for _, marker := range message.DrainMarkers {
		if s.mergeDrain(now, marker) {
			newMarkers = append(newMarkers, marker)
		}
	}
	if len(newMarkers) > 0 && !local && s.reserveBroadcast() {
		s.broadcast(s.urgentMessage(nil, newMarkers))
	}
	for _, straggler := range message.Stragglers {
		if validName(straggler.Server) && len(s.stragglers) < maxMarkers {
			s.stragglers[markerKey(message.From.ID, straggler.Server)] = Straggler{straggler.Server, min(straggler.Remaining, maxMarkerLifetime)}
		}
	}
}

func markerKey(instance, server string) string { return instance + "\x00" + server }

// SetStragglers replaces the backend servers that this instance reports as slow.
// Those that it did not report before are sent at once to the other members of the
// failure domain.
func (s *State) SetStragglers(stragglers []Straggler) []Output {
	s.outputs = nil
	known := map[string]bool{}
	for _, straggler := range s.ownStragglers() {
		known[straggler.Server] = true
		delete(s.stragglers, markerKey(s.self.ID, straggler.Server))
	}
	var newStragglers []Straggler
	for _, straggler := range stragglers {
		s.stragglers[markerKey(s.self.ID, straggler.Server)] = straggler
		if !known[straggler.Server] {
			newStragglers = append(newStragglers, straggler)
		}
	}
	if len(newStragglers) > 0 && s.reserveBroadcast() {
		message, budget := s.newMessage()
		message.Urgent = true
		message.Stragglers = fill(budget, budget.remaining, newStragglers, new(int))
		s.broadcast(message)
	}
	return s.outputs
}

func (s *State) ownStragglers() []Straggler {
	var list []Straggler
	for _, key := range sortedKeys(s.stragglers) {
		if key == markerKey(s.self.ID, s.stragglers[key].Server) {
			list = append(list, s.stragglers[key])
		}
	}
	return list
}

// expireMarkers drops straggler markers that have expired, and drain markers that
// expired expiredMarkerRetention ago.
func (s *State) expireMarkers(now time.Time) {
	for server, d := range s.drains {
		if now.Sub(d.expiresAt) >= expiredMarkerRetention {
			delete(s.drains, server)
		}
	}
	for key, straggler := range s.stragglers {
		straggler.Remaining -= Interval
		s.stragglers[key] = straggler
		if straggler.Remaining <= 0 {
			delete(s.stragglers, key)
		}
	}
}

// unexpiredDrainMarkers returns the drain markers that have not expired, cleared ones
// included, sorted by backend server.
func (s *State) unexpiredDrainMarkers(now time.Time) []DrainMarker {
	var list []DrainMarker
	for _, server := range sortedKeys(s.drains) {
		d := s.drains[server]
		d.marker.Remaining = d.expiresAt.Sub(now)
		if d.marker.Remaining > 0 {
			list = append(list, d.marker)
		}
	}
	return list
}

// Draining returns the markers of the backend servers that are draining, sorted by
// backend server.
func (s *State) Draining(now time.Time) []DrainMarker {
	var list []DrainMarker
	for _, marker := range s.unexpiredDrainMarkers(now) {
		if !marker.Cleared {
			list = append(list, marker)
		}
	}
	return list
}

// PeerStragglers returns, by backend server, how many other members report it as
// slow.
func (s *State) PeerStragglers() map[string]int {
	reports := map[string]int{}
	for key, straggler := range s.stragglers {
		if key != markerKey(s.self.ID, straggler.Server) {
			reports[straggler.Server]++
		}
	}
	return reports
}
