package route

import (
	"net"
	"slices"
	"strings"
)

// Table is an index of one configuration. It is immutable.
type Table struct {
	Configuration
	// routesByHost holds the routes of each host, longest prefix first.
	routesByHost      map[string][]*Route
	servicesByName    map[string]*Service
	organisationByKey map[string]*Organisation
}

// NewTable indexes a configuration, which must not be changed afterwards.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration:     c,
		routesByHost:      map[string][]*Route{},
		servicesByName:    map[string]*Service{},
		organisationByKey: map[string]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			if key != "" { // a request without a key has an empty one
				t.organisationByKey[key] = &c.Organisations[i]
			}
		}
	}
	return t
}

// Match returns the route of the host with the longest matching prefix of the path, or
// nil. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	return t.servicesByName[name]
}

// Organisation returns the organisation with the given API key, or nil.
func (t *Table) Organisation(key string) *Organisation {
	return t.organisationByKey[key]
}

// KeysRequired reports whether requests to routes that are not public need an API key.
func (t *Table) KeysRequired() bool {
	return t.RequireKeys || len(t.Organisations) > 0
}

// ChooseService returns the service for a request of the route, chosen by weight. draw
// is a uniformly distributed random number in [0, 1). It returns an empty string when
// the route has no service.
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, w := range r.Split {
		total += max(0, w.Weight)
	}
	if total == 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	remaining := draw * float64(total)
	for _, w := range r.Split {
		remaining -= float64(max(0, w.Weight))
		if remaining < 0 && w.Weight > 0 {
			return w.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
