package view

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// evacuations holds the failure domains that the operator has evacuated, by the key that
// does so.
type evacuations struct {
	byKey map[string]string
	// endAt holds the end of evacuations whose keys a restored store lacks, by key.
	endAt map[string]time.Time
}

func newEvacuations() evacuations {
	return evacuations{byKey: map[string]string{}, endAt: map[string]time.Time{}}
}

// put records the key of a failure domain. One that is written again before its evacuation
// ends is a change, too: peers that know of its removal would end the evacuation.
func (e evacuations) put(c *Change, key, domain string) {
	_, known := e.byKey[key]
	if _, ending := e.endAt[key]; known && !ending {
		return
	}
	delete(e.endAt, key)
	e.byKey[key] = domain
	c.Evacuated = append(c.Evacuated, domain)
}

// remove ends the evacuation of a key, or has it end later unless end is zero.
func (e evacuations) remove(c *Change, key string, end time.Time) {
	domain, known := e.byKey[key]
	switch {
	case !known:
	case !end.IsZero():
		e.endAt[key] = end
	default:
		delete(e.byKey, key)
		delete(e.endAt, key)
		c.Returned = append(c.Returned, domain)
	}
}

// tick ends the evacuations whose time has come.
func (e evacuations) tick(c *Change, now time.Time) {
	for key, end := range e.endAt {
		if !now.Before(end) {
			e.remove(c, key, time.Time{})
		}
	}
}

// domains returns the evacuated failure domains, sorted.
func (e evacuations) domains() []string {
	return slices.Sorted(maps.Values(e.byKey))
}

func (s *State) putEvacuation(c *Change, e store.Entry) {
	domain, err := s.decoder.EvacuatedDomain(e.Key)
	if err != nil {
		c.Rejected = append(c.Rejected, RejectedEntry{e.Key, err})
		return
	}
	s.evacuations.put(c, e.Key, domain)
}

// evacuationEnd returns when an evacuation ends whose key was removed at a time, zero for at
// once. A store that was restored from a backup may lack the key although the operator has
// not removed it, and gets it back within reregisterGracePeriod.
func (s *State) evacuationEnd(now time.Time) time.Time {
	if s.restoring {
		return now.Add(reregisterGracePeriod)
	}
	return time.Time{}
}
