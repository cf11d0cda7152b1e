package gateway

import "github.com/coltsfootdrift/coltsfootdrift/internal/view"

// Region returns the region of this instance.
func (s *Servers) Region() string { return s.settings.Region }

// RegionOf returns the region of a failure domain, empty for an unknown one.
func (s *Servers) RegionOf(domain string) string { return s.settings.Regions[domain] }

// countByRegion counts servers by region. Those of unknown failure domains are left out.
func (s *Servers) countByRegion(servers []view.Server) map[string]int {
	counts := map[string]int{}
	for _, server := range servers {
		if region := s.RegionOf(server.FailureDomain); region != "" {
			counts[region]++
		}
	}
	return counts
}
