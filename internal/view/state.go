package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// RejectedEntry is an entry of the store that could not be decoded.
type RejectedEntry struct {
	Key   string
	Error error
}

// Change is what an update of the state changed in the view.
type Change struct {
	// Configuration is true when another configuration came into force.
	Configuration bool
	// Quarantines is true when a quarantine was written or removed.
	Quarantines bool
	// Restored is true when the store was restored from a backup.
	Restored bool
	// Joined, Drained and Left are the IDs of the backend servers that were added, changed
	// or registered again, that started to drain, and that were removed.
	Joined, Drained, Left []string
	// Evacuated and Returned are the failure domains whose evacuation began, or was about to
	// end and goes on, and those whose evacuation ended.
	Evacuated, Returned []string
	// Rejected entries do not change the view.
	Rejected []RejectedEntry
	// Removals is true when peers have to learn of a removal that changes nothing here.
	Removals bool
}

// Any reports whether the view changed.
func (c Change) Any() bool {
	return c.Configuration || c.Quarantines || c.Restored || c.Removals ||
		len(c.Joined)+len(c.Drained)+len(c.Left)+len(c.Evacuated)+len(c.Returned) > 0
}

// State is a copy of the store's entries, from which views are built. Its position never
// decreases, and neither does the version of its configuration. It is not safe for
// concurrent use.
type State struct {
	decoder Decoder
	// position is the store's version up to which all changes are applied.
	position store.Version
	entries  map[string]store.Entry
	table    *route.Table
	servers  map[string]Server
	// idByKey holds the ID of the server that the last entry of a key which could be decoded
	// named.
	idByKey map[string]string
	// graceUntil holds, by server ID, the end of the grace period of the servers whose
	// entries were removed around a store outage.
	graceUntil map[string]time.Time
	// peerGrace is the same as the peer has it whose changes are being merged, nil otherwise.
	peerGrace map[string]time.Time
	// removals holds the latest removals in order: all those after the version
	// removalsSince.
	removals      []removal
	removalsSince store.Version
	// undated holds the keys that the last full read lacked. They were removed before its
	// end, which may be after its version.
	undated     []string
	evacuations evacuations
	// viewVersion is the store's version at the newest change of the view.
	viewVersion store.Version
	// leaving holds, by server ID, the incarnation of the servers that said themselves
	// that they leave. Their entries may still say otherwise.
	leaving map[string]int64
	// restoring is true while the first entries of a restored store are applied.
	restoring bool
	// departed holds, by server ID, the incarnation of the servers whose entries were
	// removed, the last maxLeaving of them in departedOrder.
	departed      map[string]int64
	departedOrder []string
	// outageUntil is until when the store counts as unreachable, zero once it has answered.
	// reachedAt is when it last answered this instance or another one. Servers whose entries
	// lapsed meanwhile may register again until settledAt.
	outageUntil time.Time
	reachedAt   time.Time
	settledAt   time.Time
	// minOutage is the shortest outage in which entries of servers lapse.
	minOutage time.Duration
}

// removal is the removal of a key. It was removed after the previous position of the
// state and at or before version.
type removal struct {
	key     string
	version store.Version
}

// maxRemovals bounds the removals that are kept for peers.
const maxRemovals = 1024

// NewState returns an empty state.
func NewState(decoder Decoder) *State {
	return &State{decoder: decoder, entries: map[string]store.Entry{}, servers: map[string]Server{}, idByKey: map[string]string{}, graceUntil: map[string]time.Time{}, leaving: map[string]int64{}, departed: map[string]int64{}, evacuations: newEvacuations(), minOutage: minOutageOf(DefaultServerHeartbeat)}
}

// SetServerHeartbeat sets the interval at which servers renew their entries.
func (s *State) SetServerHeartbeat(interval time.Duration) { s.minOutage = minOutageOf(interval) }

// Position returns the store's version up to which all changes are applied.
func (s *State) Position() store.Version { return s.position }

// RecordOutage records that a store call failed at a time.
func (s *State) RecordOutage(now time.Time) { s.outageUntil = now.Add(outageWindow) }

// RecordReach records that the store answered this instance or another one at a time, which does
// not end an outage that this instance has noticed later.
func (s *State) RecordReach(at time.Time) {
	if !at.After(s.reachedAt) {
		return
	}
	if !s.outageUntil.IsZero() && s.mayHaveLapsed(at) {
		s.settledAt = at.Add(reregisterGracePeriod)
	}
	if at.After(s.outageUntil.Add(-outageWindow)) {
		s.outageUntil = time.Time{}
	}
	s.reachedAt = at
}

// mayHaveLapsed reports whether the store has not answered for so long that entries of
// running servers may have lapsed.
func (s *State) mayHaveLapsed(now time.Time) bool { return now.Sub(s.reachedAt) >= s.minOutage }

// graceEnd returns until when a server may register again whose entry was removed at a time,
// which is that time when no outage explains the removal.
func (s *State) graceEnd(now time.Time) time.Time {
	switch {
	case now.Before(s.outageUntil) && s.mayHaveLapsed(now):
		return now.Add(reregisterGracePeriod)
	case now.Before(s.settledAt):
		return s.settledAt
	}
	return now
}

// AwaitsServers reports whether servers are in use whose entries were removed around an outage
// and that may register again.
func (s *State) AwaitsServers() bool { return len(s.graceUntil) > 0 }

// Replace replaces the state by all entries at a version. A version that is not newer
// than the current position is ignored.
func (s *State) Replace(now time.Time, entries []store.Entry, version store.Version) (c Change) {
	if version <= s.position {
		return c
	}
	if s.position == 0 {
		s.removalsSince = version
	}
	s.beginUpdate(&c, now, version)
	s.dateRemovals(&c, version)
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		s.put(&c, e)
	}
	for key := range s.entries {
		if !present[key] {
			s.remove(&c, now, key, version)
			s.undated = append(s.undated, key)
		}
	}
	s.advance(c, version)
	return c
}

// dateRemovals records the removals that the last full read found at the next version, too:
// peers with a version between that read's and the removal's would never learn of them.
func (s *State) dateRemovals(c *Change, version store.Version) {
	for _, key := range s.undated {
		if _, present := s.entries[key]; !present {
			s.recordRemoval(removal{key, version})
			c.Removals = true
		}
	}
	s.undated = nil
}

// Apply applies the changes that a watch returned, unless their version is not newer
// than the current position.
func (s *State) Apply(now time.Time, result store.WatchResult) (c Change) {
	if result.Version <= s.position {
		return c
	}
	s.beginUpdate(&c, now, result.Version)
	s.dateRemovals(&c, result.Version)
	for _, key := range result.Deleted {
		s.remove(&c, now, key, result.Version)
	}
	for _, e := range result.Changed {
		s.put(&c, e)
	}
	for _, key := range result.Rewritten {
		s.recordReturn(&c, key)
	}
	s.advance(c, result.Version)
	return c
}

// recordReturn records that the entry of a server is there again, as peers may have read that
// it was gone.
func (s *State) recordReturn(c *Change, key string) {
	server, listed := s.servers[s.idByKey[key]]
	if listed && !server.Draining && !slices.Contains(c.Joined, server.ID) {
		c.Joined = append(c.Joined, server.ID)
	}
}

// beginUpdate prepares for entries of a version. When the store was restored from a
// backup since the last update, entries that it lacks are written again within
// reregisterGracePeriod. Servers that have left since the backup are in it as if they were
// ready: those that were draining stay so, and those that were removed are not used
// before their entries are written again.
func (s *State) beginUpdate(c *Change, now time.Time, version store.Version) {
	s.restoring = s.position != 0 && version.Generation() > s.position.Generation()
	if !s.restoring {
		return
	}
	c.Restored = true
	s.settledAt = now.Add(reregisterGracePeriod)
	for id, server := range s.servers {
		if server.Draining {
			s.leaving[id] = server.Incarnation
		}
	}
}

func (s *State) advance(c Change, version store.Version) {
	s.position = version
	if c.Any() {
		s.viewVersion = version
	}
}

// Tick removes the servers whose grace period has ended. The view then has a new version, so
// that peers which have not seen the removals pull them.
func (s *State) Tick(now time.Time) (c Change) {
	for id, until := range s.graceUntil {
		if !now.Before(until) {
			delete(s.graceUntil, id)
			s.recordDeparture(s.servers[id])
			delete(s.servers, id)
			c.Left = append(c.Left, id)
		}
	}
	s.evacuations.tick(&c, now)
	if c.Any() {
		s.viewVersion = s.position
	}
	return c
}

func (s *State) put(c *Change, e store.Entry) {
	kind := KindOf(s.decoder, e.Key)
	if known, ok := s.entries[e.Key]; kind == KeyOther || ok && known.Version >= e.Version {
		return
	}
	e = WithoutLargeValue(s.decoder, e)
	s.entries[e.Key] = e
	switch kind {
	case KeyConfiguration:
		s.putConfiguration(c, e)
	case KeyServer:
		s.putServer(c, e)
	case KeyQuarantine:
		c.Quarantines = true
	case KeyEvacuation:
		s.putEvacuation(c, e)
	}
}

func (s *State) putConfiguration(c *Change, e store.Entry) {
	configuration, err := s.decoder.Configuration(e.Value)
	if err != nil {
		c.Rejected = append(c.Rejected, RejectedEntry{e.Key, err})
		return
	}
	if s.table != nil && configuration.Version <= s.table.Version {
		return
	}
	s.table = route.NewTable(configuration)
	c.Configuration = true
}

func (s *State) decodeServer(e store.Entry) (Server, error) {
	if len(e.Value) == 0 {
		return Server{}, errNoValue
	}
	return s.decoder.Server(e.Key, e.Value)
}

func (s *State) putServer(c *Change, e store.Entry) {
	server, err := s.decodeServer(e)
	if err != nil {
		c.Rejected = append(c.Rejected, RejectedEntry{e.Key, err})
		return
	}
	s.idByKey[e.Key] = server.ID
	_, missing := s.graceUntil[server.ID]
	delete(s.graceUntil, server.ID)
	if incarnation, ok := s.leaving[server.ID]; ok && incarnation == server.Incarnation {
		server.Draining = true
	} else {
		delete(s.leaving, server.ID)
	}
	if incarnation, ok := s.departed[server.ID]; ok && incarnation == server.Incarnation && s.restoring {
		server.Draining = true
	}
	known, listed := s.servers[server.ID]
	server.countColdPeriod(known)
	s.servers[server.ID] = server
	switch {
	case server.Draining && (!listed || !known.Draining):
		c.Drained = append(c.Drained, server.ID)
	case !listed || missing || !server.sameUse(known): // peers may know that it was missing
		c.Joined = append(c.Joined, server.ID)
	}
}

// maxLeaving bounds the servers that are remembered as leaving.
const maxLeaving = 4096

// MarkLeaving records that an incarnation of a server leaves, as it said itself. The
// server counts as draining until it has restarted.
func (s *State) MarkLeaving(id string, incarnation int64) (c Change) {
	known, listed := s.servers[id]
	if listed && known.Incarnation != incarnation {
		return c
	}
	if _, marked := s.leaving[id]; !marked && len(s.leaving) >= maxLeaving {
		s.dropUnlistedLeaving()
	}
	s.leaving[id] = incarnation
	if listed && !known.Draining {
		known.Draining = true
		s.servers[id] = known
		c.Drained = append(c.Drained, id)
	}
	return c
}

// dropUnlistedLeaving drops the marks of servers that are not listed.
func (s *State) dropUnlistedLeaving() {
	maps.DeleteFunc(s.leaving, func(id string, _ int64) bool {
		_, listed := s.servers[id]
		return !listed
	})
}

func (s *State) remove(c *Change, now time.Time, key string, version store.Version) {
	if _, ok := s.entries[key]; !ok {
		if KindOf(s.decoder, key) != KeyOther {
			s.recordRemoval(removal{key, version}) // a peer may have the entry
			c.Removals = true
		}
		return
	}
	delete(s.entries, key)
	s.recordRemoval(removal{key, version})
	switch KindOf(s.decoder, key) {
	case KeyQuarantine:
		c.Quarantines = true
	case KeyEvacuation:
		s.evacuations.remove(c, key, s.evacuationEnd(now))
	}
	if id, named := s.idByKey[key]; named {
		delete(s.idByKey, key)
		s.removeServer(c, now, id)
	}
}

// removeServer removes a server whose entry was removed, whatever the last writer of that
// entry left there.
func (s *State) removeServer(c *Change, now time.Time, id string) {
	server, listed := s.servers[id]
	if !listed {
		return
	}
	if end := latest(s.graceEnd(now), s.peerGrace[id]); end.After(now) && !server.Draining {
		s.graceUntil[id] = end
		return
	}
	delete(s.servers, id)
	s.recordDeparture(server)
	c.Left = append(c.Left, id)
}

// recordDeparture remembers a server whose entry was removed.
func (s *State) recordDeparture(server Server) {
	if _, known := s.departed[server.ID]; !known {
		s.departedOrder = append(s.departedOrder, server.ID)
	}
	s.departed[server.ID] = server.Incarnation
	if len(s.departedOrder) > maxLeaving {
		delete(s.departed, s.departedOrder[0])
		s.departedOrder = s.departedOrder[1:]
	}
}

// View returns the current view.
func (s *State) View() *View {
	v := &View{Version: s.viewVersion, Table: s.table, Servers: map[string][]Server{}, Evacuated: s.evacuations.domains(), byID: maps.Clone(s.servers)}
	for key, e := range s.entries {
		if strings.HasPrefix(key, QuarantinePrefix) {
			v.Quarantines = append(v.Quarantines, e)
		}
	}
	slices.SortFunc(v.Quarantines, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	for _, server := range s.servers {
		if !server.Draining && !v.IsEvacuated(server.FailureDomain) {
			v.Servers[server.Service] = append(v.Servers[server.Service], server)
		}
	}
	for _, servers := range v.Servers {
		slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// recordRemoval keeps a removal for ChangesAfter.
func (s *State) recordRemoval(r removal) {
	if len(s.removals) >= maxRemovals {
		s.removalsSince = s.removals[0].version
		s.removals = slices.Delete(s.removals, 0, 1)
	}
	s.removals = append(s.removals, r)
}

// ChangesAfter returns, for a peer, what changed after a version, or all entries of
// configuration and servers when some removals since that version have been dropped. The
// result has version 0 when the state is not newer than that version.
func (s *State) ChangesAfter(have store.Version) (c store.Changes) {
	if s.position <= have {
		return c
	}
	c.Version = s.position
	if have >= s.removalsSince {
		c.Base = have
		for _, r := range s.removals {
			if r.version > have {
				c.Deleted = append(c.Deleted, r.key)
			}
		}
	}
	for _, e := range s.entries {
		if e.Version > c.Base {
			c.Changed = append(c.Changed, e)
		}
	}
	return c
}

// AwaitedServers returns the servers in their grace period. A peer that pulls the removal of
// their entries may not have noticed the outage, as only some instances call the store.
func (s *State) AwaitedServers(now time.Time) (awaited []store.AwaitedServer) {
	for id, until := range s.graceUntil {
		awaited = append(awaited, store.AwaitedServer{ID: id, Left: until.Sub(now)})
	}
	return awaited
}

// Merge applies the changes that were pulled from a peer. Changes that start at another
// version than the current position are ignored.
func (s *State) Merge(now time.Time, changes store.Changes) Change {
	s.peerGrace = map[string]time.Time{}
	defer func() { s.peerGrace = nil }()
	for _, a := range changes.Awaited {
		s.peerGrace[a.ID] = now.Add(min(a.Left, reregisterGracePeriod))
	}
	switch changes.Base {
	case 0:
		return s.Replace(now, changes.Changed, changes.Version)
	case s.position:
		return s.Apply(now, changes.WatchResult)
	}
	return Change{}
}
