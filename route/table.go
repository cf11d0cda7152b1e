package route

import (
	"net"
	"slices"
	"strings"
)

// Table answers questions about one configuration. It is immutable.
type Table struct {
	Configuration
	// hosts holds the routes of each host, the longest prefix first.
	hosts         map[string][]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
}

// NewTable indexes a configuration, which must not be changed afterwards.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration: c,
		hosts:         map[string][]*Route{},
		services:      map[string]*Service{},
		organisations: map[string]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.organisations[key] = &c.Organisations[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Organisation returns the organisation that holds a key, or nil.
func (t *Table) Organisation(key string) *Organisation {
	return t.organisations[key]
}

// KeysRequired reports whether requests of routes that are not public need a key.
func (t *Table) KeysRequired() bool {
	return len(t.Organisations) > 0
}

// ChooseService returns the service of a request of the route. Draw is uniform in
// [0, 1). It returns an empty string when the route has no service.
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
	at := draw * float64(total)
	for _, w := range r.Split {
		at -= float64(max(0, w.Weight))
		if at < 0 && w.Weight > 0 {
			return w.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
