package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
)

// RegionError reports a stage that could not be requested in the region chosen for it.
type RegionError struct {
	Region, Service string
	// Allowed is false when the newest configuration no longer allows the region, true when
	// no instance of it answers.
	Allowed bool
}

func (e *RegionError) Error() string {
	if !e.Allowed {
		return fmt.Sprintf("region %q of service %q is no longer allowed", e.Region, e.Service)
	}
	return fmt.Sprintf("no instance of region %q answers for service %q", e.Region, e.Service)
}

// endUnserved ends the request when no allowed region has servers of its service or, before
// its stages have run, of one of their services. It returns true when the request has ended.
func (g *generateRequest) endUnserved() bool {
	reason, service := g.unserved(g.neededServices()...)
	if reason == "" {
		return false
	}
	g.recordUnserved(reason, service)
	return g.giveUp(reason, regionRetryAfter, nil)
}

// neededServices returns the services of which the request still needs a server.
func (g *generateRequest) neededServices() []string {
	services := []string{g.service.Name}
	if g.inputs != nil {
		return services
	}
	for i, n := range g.graph.Counts {
		if n > 0 {
			services = append(services, g.route.Stages[i].Service)
		}
	}
	return services
}

// place chooses a model server in an allowed region.
func (g *generateRequest) place(q engine.Query) (placement, error) {
	q.Regions = g.reachableRegions()
	region, ok := g.workRegion(g.service.Name, q.Regions)
	if !ok {
		return placement{}, errNoServer
	}
	return g.placer.PlaceIn(g.ctx, region, g.requestInfo.ID, g.service.Name, q)
}

// chooseStageRegions returns the regions other than the instance's own in which the stages
// of the request run, by service.
func (g *generateRequest) chooseStageRegions() map[string]string {
	chosen := map[string]string{}
	set := g.reachableRegions()
	for i, n := range g.graph.Counts {
		service := g.route.Stages[i].Service
		if region, ok := g.workRegion(service, set); n > 0 && ok && region != g.servers.Region() {
			chosen[service] = region
		}
	}
	return chosen
}

// producersOf returns the numbers of servers of a stage service by failure domain in the region
// that runs its stages for the request, or in all allowed regions when that has none.
func (g *generateRequest) producersOf(service string) map[string]int {
	set := g.reachableRegions()
	region, _ := g.workRegion(service, set)
	inRegion, all := map[string]int{}, map[string]int{}
	for _, s := range g.view.Servers[service] {
		at := g.servers.RegionOf(s.FailureDomain)
		if !set.Contains(at) {
			continue
		}
		all[s.FailureDomain]++
		if at == region {
			inRegion[s.FailureDomain]++
		}
	}
	if len(inRegion) == 0 {
		return all
	}
	return inRegion
}

// inputsAllowed reports whether the inputs are held in regions that are still allowed.
func (g *generateRequest) inputsAllowed() bool {
	set := g.allowedRegions()
	if !set.Bound() {
		return true
	}
	for _, result := range g.inputs {
		if !set.Contains(g.servers.RegionOf(g.domainOf(result))) {
			return false
		}
	}
	return true
}

// mayCopyFrom reports whether a model server is in a region from which cached parts of the
// prompt may be copied.
func (g *generateRequest) mayCopyFrom(server string) bool {
	listed, _ := g.views.Current().ByID(server)
	return g.allowedRegions().Contains(g.servers.RegionOf(listed.FailureDomain))
}

// handleRegionError handles stages that could not be requested in their region. handled is
// false for other errors, and ended whether the request has ended.
func (g *generateRequest) handleRegionError(err error) (ended, handled bool) {
	var failed *RegionError
	if !errors.As(err, &failed) {
		return false, false
	}
	if !failed.Allowed {
		return g.rerunStages(failed.Error()), true
	}
	g.unreached.add(time.Now(), failed.Region)
	// Another allowed region is tried, as often as stages may run again.
	return g.endUnserved() || g.rerunStages(reasonAllowedUnreachable), true
}

// giveUpNotReached ends the request after connections to model servers failed. failureDomain
// is that of the last one.
func (g *generateRequest) giveUpNotReached(failureDomain string, err error) bool {
	region := g.servers.RegionOf(failureDomain)
	if !g.allowedRegions().Bound() || region == g.servers.Region() {
		return g.giveUp("servers are not reached", shortRetryAfter, err)
	}
	g.unreached.add(time.Now(), region)
	g.recordUnserved(reasonAllowedUnreachable, g.service.Name)
	return g.giveUp(reasonAllowedUnreachable, regionRetryAfter, err)
}
