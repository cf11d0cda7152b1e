package membership

import "time"

const (
	// maxMarkerLifetime bounds how long a marker is believed.
	maxMarkerLifetime = 5 * time.Minute
	// minMarkerExtension is by how much a marker must outlast the known one. Without it the
	// delay of each hop would extend a marker that goes around.
	minMarkerExtension = 2 * time.Second
	// expiredMarkerRetention is how long an expired marker stays known, so that a late copy
	// isn't taken for a new one.
	expiredMarkerRetention = 30 * time.Second
	// maxMarkers bounds the drain markers and the straggler markers.
	maxMarkers = 512
)

// drainEntry is a drainEntry marker with its local expiry.
type drainEntry struct {
	marker    DrainMarker
	expiresAt time.Time
}

// supersedes reports whether a marker tells more than the known one.
func (d drainEntry) supersedes(known drainEntry) bool {
	switch {
	case d.marker.Incarnation != known.marker.Incarnation:
		return d.marker.Incarnation > known.marker.Incarnation
	case d.marker.Cleared != known.marker.Cleared:
		return known.marker.Cleared
	}
	return d.expiresAt.Sub(known.expiresAt) > minMarkerExtension
}

// MarkDraining reports a backend server that refuses because it leaves. All
// members of the failure domain and a contact of each other one get it at once.
func (s *State) MarkDraining(now time.Time, server string, incarnation int64, lifetime time.Duration) []Output {
	return s.setDrainMarker(now, DrainMarker{Server: server, Incarnation: incarnation, Remaining: lifetime})
}

// ClearDraining reports a backend server that came back with a new incarnation.
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

// mergeDrain returns whether the marker is new here.
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

// mergeMarkers takes markers and forwards new ones of another failure domain.
func (s *State) mergeMarkers(now time.Time, message Message, local bool) {
	var fresh []DrainMarker
	for _, marker := range message.DrainMarkers {
		if s.mergeDrain(now, marker) {
			fresh = append(fresh, marker)
		}
	}
	if len(fresh) > 0 && !local && s.reserveBroadcast() {
		s.broadcast(s.urgentMessage(nil, fresh))
	}
	for _, straggler := range message.Stragglers {
		if validName(straggler.Server) && len(s.stragglers) < maxMarkers {
			s.stragglers[markerKey(message.From.ID, straggler.Server)] = Straggler{straggler.Server, min(straggler.Remaining, maxMarkerLifetime)}
		}
	}
}

func markerKey(instance, server string) string { return instance + "\x00" + server }

// SetStragglers reports the slow backend servers that this instance sees. The
// other members of the failure domain get one that is new at once.
func (s *State) SetStragglers(stragglers []Straggler) []Output {
	s.outputs = nil
	known := map[string]bool{}
	for _, straggler := range s.ownStragglers() {
		known[straggler.Server] = true
		delete(s.stragglers, markerKey(s.self.ID, straggler.Server))
	}
	var fresh []Straggler
	for _, straggler := range stragglers {
		s.stragglers[markerKey(s.self.ID, straggler.Server)] = straggler
		if !known[straggler.Server] {
			fresh = append(fresh, straggler)
		}
	}
	if len(fresh) > 0 && s.reserveBroadcast() {
		message, left := s.newMessage()
		message.Urgent = true
		message.Stragglers = fill(left, left.remaining, fresh, new(int))
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

// expireMarkers drops markers whose time is over.
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

// unexpiredDrainMarkers returns all markers, cleared ones included, by server.
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

// Draining returns the backend servers that are leaving, by server.
func (s *State) Draining(now time.Time) []DrainMarker {
	var list []DrainMarker
	for _, marker := range s.unexpiredDrainMarkers(now) {
		if !marker.Cleared {
			list = append(list, marker)
		}
	}
	return list
}

// PeerStragglers returns for each backend server that other members see as slow
// how many of them do.
func (s *State) PeerStragglers() map[string]int {
	seen := map[string]int{}
	for key, straggler := range s.stragglers {
		if key != markerKey(s.self.ID, straggler.Server) {
			seen[straggler.Server]++
		}
	}
	return seen
}
