package view

import (
	"slices"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Rejected is an entry of the store that could not be read.
type Rejected struct {
	Key   string
	Error error
}

// Change says what an update changed.
type Change struct {
	// Configuration is true when another configuration came into force.
	Configuration bool
	// Joined, Drained and Left are IDs of backend servers.
	Joined, Drained, Left []string
	Rejected              []Rejected
}

// Any reports whether the view changed.
func (c Change) Any() bool {
	return c.Configuration || len(c.Joined)+len(c.Drained)+len(c.Left) > 0
}

// State builds views from what the store and the peers say. Its version never
// falls, so neither does the configuration's. It is not safe for concurrent use.
type State struct {
	decoder Decoder
	// position is the store's version up to which changes are known.
	position store.Version
	entries  map[string]store.Entry
	table    *route.Table
	servers  map[string]Server
	// lapsed holds the servers whose entries were removed around an outage, with
	// the time at which they are taken as gone.
	lapsed map[string]time.Time
	// removals holds the latest removals in order, and complete is the version after
	// which none is missing.
	removals []removal
	complete store.Version
	// changed is the version of the newest change of the view.
	changed   store.Version
	outageEnd time.Time
}

// removal is a key that was removed at or before a version, and after the one that was
// known before.
type removal struct {
	key     string
	version store.Version
}

// maxRemovals bounds the removals that are remembered for peers.
const maxRemovals = 1024

// NewState returns an empty state.
func NewState(decoder Decoder) *State {
	return &State{decoder: decoder, entries: map[string]store.Entry{}, servers: map[string]Server{}, lapsed: map[string]time.Time{}}
}

// Position returns the store's version up to which changes are known.
func (s *State) Position() store.Version { return s.position }

// Outage records that the store could not be reached at a time.
func (s *State) Outage(now time.Time) { s.outageEnd = now.Add(outageMemory) }

// Replace takes all entries at a version. Older ones are ignored.
func (s *State) Replace(now time.Time, entries []store.Entry, version store.Version) (c Change) {
	if version <= s.position {
		return c
	}
	if s.position == 0 {
		s.complete = version
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		s.put(&c, e)
	}
	for key := range s.entries {
		if !present[key] {
			s.remove(&c, now, key, version)
		}
	}
	s.advance(c, version)
	return c
}

// Apply takes the changes that a watch returned.
func (s *State) Apply(now time.Time, result store.WatchResult) (c Change) {
	if result.Version <= s.position {
		return c
	}
	for _, key := range result.Deleted {
		s.remove(&c, now, key, result.Version)
	}
	for _, e := range result.Changed {
		s.put(&c, e)
	}
	s.advance(c, result.Version)
	return c
}

func (s *State) advance(c Change, version store.Version) {
	s.position = version
	if c.Any() {
		s.changed = version
	}
}

// Tick takes servers as gone whose time to register again is over.
func (s *State) Tick(now time.Time) (c Change) {
	for id, until := range s.lapsed {
		if !now.Before(until) {
			delete(s.lapsed, id)
			delete(s.servers, id)
			c.Left = append(c.Left, id)
		}
	}
	return c
}

func (s *State) put(c *Change, e store.Entry) {
	if known, ok := s.entries[e.Key]; ok && known.Version >= e.Version {
		return
	}
	s.entries[e.Key] = e
	switch s.decoder.Kind(e.Key) {
	case KeyConfiguration:
		s.putConfiguration(c, e)
	case KeyServer:
		s.putServer(c, e)
	}
}

func (s *State) putConfiguration(c *Change, e store.Entry) {
	configuration, err := s.decoder.Configuration(e.Value)
	if err != nil {
		c.Rejected = append(c.Rejected, Rejected{e.Key, err})
		return
	}
	if s.table != nil && configuration.Version <= s.table.Version {
		return
	}
	s.table = route.NewTable(configuration)
	c.Configuration = true
}

func (s *State) putServer(c *Change, e store.Entry) {
	server, err := s.decoder.Server(e.Key, e.Value)
	if err != nil {
		c.Rejected = append(c.Rejected, Rejected{e.Key, err})
		return
	}
	delete(s.lapsed, server.ID)
	known, listed := s.servers[server.ID]
	s.servers[server.ID] = server
	switch {
	case server.Draining && (!listed || !known.Draining):
		c.Drained = append(c.Drained, server.ID)
	case !listed || server != known:
		c.Joined = append(c.Joined, server.ID)
	}
}

func (s *State) remove(c *Change, now time.Time, key string, version store.Version) {
	e, ok := s.entries[key]
	delete(s.entries, key)
	if ok {
		s.remember(removal{key, version})
	}
	if !ok || s.decoder.Kind(key) != KeyServer {
		return
	}
	server, err := s.decoder.Server(key, e.Value)
	if err != nil {
		return
	}
	if now.Before(s.outageEnd) && !s.servers[server.ID].Draining {
		s.lapsed[server.ID] = now.Add(lapseGrace)
		return
	}
	delete(s.servers, server.ID)
	c.Left = append(c.Left, server.ID)
}

// View returns the current view.
func (s *State) View() *View {
	v := &View{Version: s.changed, Table: s.table, Servers: map[string][]Server{}, ByAddress: map[string]Server{}}
	for _, server := range s.servers {
		v.ByAddress[server.Address] = server
		if !server.Draining {
			v.Servers[server.Service] = append(v.Servers[server.Service], server)
		}
	}
	for _, servers := range v.Servers {
		slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// remember keeps a removal for peers.
func (s *State) remember(r removal) {
	if len(s.removals) >= maxRemovals {
		s.complete = s.removals[0].version
		s.removals = slices.Delete(s.removals, 0, 1)
	}
	s.removals = append(s.removals, r)
}

// ChangesAfter returns what changed after a version for a peer, or all entries of
// configuration and servers when not all removals since are known. The result has
// version 0 when nothing newer is known.
func (s *State) ChangesAfter(have store.Version) (c store.Changes) {
	if s.position <= have {
		return c
	}
	c.Version = s.position
	if have >= s.complete {
		c.Base = have
		for _, r := range s.removals {
			if r.version > have {
				c.Deleted = append(c.Deleted, r.key)
			}
		}
	}
	for _, e := range s.entries {
		if s.decoder.Kind(e.Key) != KeyOther && e.Version > c.Base {
			c.Changed = append(c.Changed, e)
		}
	}
	return c
}

// Merge takes what a peer told of its state. Changes from another version than the
// present one are ignored.
func (s *State) Merge(now time.Time, changes store.Changes) Change {
	switch changes.Base {
	case 0:
		return s.Replace(now, changes.Changed, changes.Version)
	case s.position:
		return s.Apply(now, changes.WatchResult)
	}
	return Change{}
}
