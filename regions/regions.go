// Package regions decides in which regions a request may be served: which servers it may be
// sent to, and which region runs the work of a service for it. It does no I/O and reads no
// clock.
package regions

import (
	"slices"
	"strings"
)

// InvalidList stands for a configured list of regions that could not be read. A set with it
// alone contains no region.
const InvalidList = "(invalid list)"

// Set is a set of regions. The zero value contains all regions.
type Set struct {
	bound bool
	names []string
}

// Listed returns the set that a configured list describes: all regions for an empty list.
func Listed(names []string) Set {
	if len(names) == 0 {
		return Set{}
	}
	return Only(names)
}

// Only returns the set of the named regions, which may be none.
func Only(names []string) Set {
	kept := make([]string, 0, len(names))
	for _, name := range names {
		if name != "" && name != InvalidList && !slices.Contains(kept, name) {
			kept = append(kept, name)
		}
	}
	slices.Sort(kept)
	return Set{bound: true, names: kept}
}

// Bound reports whether the set excludes regions.
func (s Set) Bound() bool { return s.bound }

// Contains reports whether a region is in the set. A bound set never contains the region
// without a name, to which servers of unknown failure domains belong.
func (s Set) Contains(region string) bool {
	return !s.bound || slices.Contains(s.names, region)
}

// Names returns the regions of a bound set in order, nil for an unbound one.
func (s Set) Names() []string { return s.names }

// Intersect returns the regions that are in both sets.
func (s Set) Intersect(other Set) Set {
	switch {
	case !other.bound:
		return s
	case !s.bound:
		return other
	}
	both := make([]string, 0, len(s.names))
	for _, name := range s.names {
		if other.Contains(name) {
			both = append(both, name)
		}
	}
	return Only(both)
}

// String returns the names of the regions for log lines and operators.
func (s Set) String() string {
	switch {
	case !s.bound:
		return "all"
	case len(s.names) == 0:
		return "none"
	}
	return strings.Join(s.names, ",")
}

// Choose returns the region that runs the work of a service for a request: the instance's
// own one if it is allowed and has servers of the service, otherwise the allowed one with the
// most servers, by name among equals. servers counts the servers in use by region. It returns
// false when no allowed region has a server.
func (s Set) Choose(own string, servers map[string]int) (region string, ok bool) {
	if s.Contains(own) && servers[own] > 0 {
		return own, true
	}
	for candidate, n := range servers {
		if n == 0 || !s.Contains(candidate) {
			continue
		}
		if !ok || n > servers[region] || n == servers[region] && candidate < region {
			region, ok = candidate, true
		}
	}
	return region, ok
}
