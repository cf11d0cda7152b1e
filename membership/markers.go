package membership

import "time"

const (
	// maxMarkerLifetime bounds how long a marker is believed.
	maxMarkerLifetime = 5 * time.Minute
	// renewal is by how much a marker must outlast the known one. Without it the
	// delay of each hop would extend a marker that goes around.
	renewal = 2 * time.Second
	// markerMemory is how long an expired marker stays known, so that a late copy
	// isn't taken for a new one.
	markerMemory = 30 * time.Second
	// maxMarkers bounds the drain markers and the straggler markers.
	maxMarkers = 512
)

// drain is a drain marker with its local expiry.
type drain struct {
	marker DrainMarker
	until  time.Time
}

// replaces reports whether a marker tells more than the known one.
func (d drain) replaces(known drain) bool {
	switch {
	case d.marker.Incarnation != known.marker.Incarnation:
		return d.marker.Incarnation > known.marker.Incarnation
	case d.marker.Cleared != known.marker.Cleared:
		return known.marker.Cleared
	}
	return d.until.Sub(known.until) > renewal
}

// MarkDraining reports a backend server that refuses because it leaves. All
// members of the failure domain and a contact of each other one get it at once.
func (s *State) MarkDraining(now time.Time, server string, incarnation int64, lifetime time.Duration) []Output {
	return s.mark(now, DrainMarker{Server: server, Incarnation: incarnation, Remaining: lifetime})
}

// ClearDraining reports a backend server that came back with a new incarnation.
func (s *State) ClearDraining(now time.Time, server string, incarnation int64) []Output {
	known, ok := s.drains[server]
	if !ok || known.marker.Incarnation >= incarnation {
		return nil
	}
	return s.mark(now, DrainMarker{Server: server, Incarnation: incarnation, Cleared: true, Remaining: maxMarkerLifetime})
}

func (s *State) mark(now time.Time, marker DrainMarker) []Output {
	s.outputs = nil
	if s.mergeDrain(now, marker) && s.mayBroadcast() {
		message := s.urgent(nil, []DrainMarker{marker})
		s.broadcast(message)
		s.broadcastFar(message, everyDomain)
	}
	return s.outputs
}

// mergeDrain returns whether the marker is new here.
func (s *State) mergeDrain(now time.Time, marker DrainMarker) bool {
	if !validName(marker.Server) || marker.Remaining <= 0 {
		return false
	}
	d := drain{marker: marker, until: now.Add(min(marker.Remaining, maxMarkerLifetime))}
	known, ok := s.drains[marker.Server]
	if ok && !d.replaces(known) || !ok && len(s.drains) >= maxMarkers {
		return false
	}
	s.drains[marker.Server] = d
	s.outputs = append(s.outputs, DrainLearned{marker})
	return true
}

// receiveMarkers takes markers and forwards new ones of another failure domain.
func (s *State) receiveMarkers(now time.Time, message Message, local bool) {
	var fresh []DrainMarker
	for _, marker := range message.Drains {
		if s.mergeDrain(now, marker) {
			fresh = append(fresh, marker)
		}
	}
	if len(fresh) > 0 && !local && s.mayBroadcast() {
		s.broadcast(s.urgent(nil, fresh))
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
	if len(fresh) > 0 && s.mayBroadcast() {
		message, left := s.newMessage()
		message.Urgent = true
		message.Stragglers = fill(left, left.left, fresh, new(int))
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
		if now.Sub(d.until) >= markerMemory {
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

// drainMarkers returns all markers, cleared ones included, by server.
func (s *State) drainMarkers(now time.Time) []DrainMarker {
	var list []DrainMarker
	for _, server := range sortedKeys(s.drains) {
		d := s.drains[server]
		d.marker.Remaining = d.until.Sub(now)
		if d.marker.Remaining > 0 {
			list = append(list, d.marker)
		}
	}
	return list
}

// Draining returns the backend servers that are leaving, by server.
func (s *State) Draining(now time.Time) []DrainMarker {
	var list []DrainMarker
	for _, marker := range s.drainMarkers(now) {
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
