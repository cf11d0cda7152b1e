package gateway

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/regions"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

const (
	// regionRetryAfter is the time after which to retry a request that no allowed region can
	// serve: about as long as it takes until a view lists new servers.
	regionRetryAfter = time.Second
	// unreachedRegionPause is how long requests are not sent to a region after the servers or
	// instances there could not be reached.
	unreachedRegionPause = 500 * time.Millisecond
)

// Reasons in the answers to requests that no allowed region serves.
const (
	// reasonNoAllowedServer is for regions without registered servers.
	reasonNoAllowedServer = "no server in an allowed region"
	// reasonAllowedUnreachable is for regions whose servers or instances are not reached.
	reasonAllowedUnreachable = "no server in an allowed region is reached"
)

// bindingRegions returns the regions in which requests of a route with a key may be served.
// Where both the route and the organisation of the key have a list, both bind.
func bindingRegions(table *route.Table, r *route.Route, key string) regions.Set {
	set := regions.Listed(r.AllowedRegions)
	if o := table.Organisation(key); o != nil {
		set = set.Intersect(regions.Listed(o.AllowedRegions))
	}
	return set
}

// allowedRegions returns the regions to which the request may be sent now: those of the
// configuration that it began with that the newest one allows, too. It is called before
// each send.
func (c *clientRequest) allowedRegions() regions.Set {
	set := bindingRegions(c.view.Table, c.route, c.requestInfo.Key)
	newest := c.views.Current()
	if newest == nil || newest.Table == nil || newest.Table == c.view.Table {
		return set
	}
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	r := newest.Table.Match(c.request.Host, path)
	if r == nil {
		r = c.route
	}
	return set.Intersect(bindingRegions(newest.Table, r, c.requestInfo.Key))
}

// reachableRegions returns the allowed regions without those that could not be reached
// lately.
func (c *clientRequest) reachableRegions() regions.Set {
	set := c.allowedRegions()
	if !set.Bound() {
		return set
	}
	return c.unreached.remove(time.Now(), set)
}

// workRegion returns the region that runs the work of a service for the request, and false
// when no region of a set has a server of it.
func (c *clientRequest) workRegion(service string, set regions.Set) (region string, ok bool) {
	own := c.servers.Region()
	if !set.Bound() {
		return own, true
	}
	return set.Choose(own, c.servers.countByRegion(c.currentServers(service)))
}

// currentServers returns the servers of a service by the newest view.
func (c *clientRequest) currentServers(service string) []view.Server {
	if newest := c.views.Current(); newest != nil {
		return newest.Servers[service]
	}
	return c.view.Servers[service]
}

// unserved returns why no allowed region serves the request, and the first of the services
// without a reachable server there. The reason is empty when all have one, and for requests
// that may be served in all regions.
func (c *clientRequest) unserved(services ...string) (reason, service string) {
	reachable := c.reachableRegions()
	if !reachable.Bound() {
		return "", ""
	}
	for _, service := range services {
		if _, ok := c.workRegion(service, reachable); ok {
			continue
		}
		if _, listed := c.workRegion(service, c.allowedRegions()); listed {
			return reasonAllowedUnreachable, service
		}
		return reasonNoAllowedServer, service
	}
	return "", ""
}

// recordUnserved logs and counts that no allowed region serves the request.
func (c *clientRequest) recordUnserved(reason, service string) {
	c.metrics.unservedRegions.Inc(1)
	c.log(events.NoAllowedRegion, slog.String("reason", reason), slog.String("route", c.route.Name), slog.String("organisation", c.organisation),
		slog.String("service", service), slog.String("regions", c.allowedRegions().String()), slog.String("own_region", c.servers.Region()))
}

// refuseNoServer refuses a plain request for which no server is left.
func (c *clientRequest) refuseNoServer() {
	reason, service := c.unserved(c.service.Name)
	if reason == "" {
		c.refuse("no server", c.retryAfter())
		return
	}
	c.recordUnserved(reason, service)
	c.refuse(reason, regionRetryAfter)
}

// refuseNotReached refuses a plain request whose servers could not be reached. region is that
// of the last one.
func (c *clientRequest) refuseNotReached(region string) {
	if !c.allowedRegions().Bound() || region == c.servers.Region() {
		c.refuse("servers are not reached", shortRetryAfter)
		return
	}
	c.unreached.add(time.Now(), region)
	c.recordUnserved(reasonAllowedUnreachable, c.service.Name)
	c.refuse(reasonAllowedUnreachable, regionRetryAfter)
}

// unreachedRegions remembers the other regions that could not be reached lately, so that
// requests that may be served only there are refused without waiting.
type unreachedRegions struct {
	mu sync.Mutex
	// until holds the end of the pause by region.
	until map[string]time.Time
}

func newUnreachedRegions() *unreachedRegions {
	return &unreachedRegions{until: map[string]time.Time{}}
}

// add begins a pause of a region.
func (u *unreachedRegions) add(now time.Time, region string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.until[region] = now.Add(unreachedRegionPause)
}

// remove returns a bound set without the regions that are in a pause.
func (u *unreachedRegions) remove(now time.Time, set regions.Set) regions.Set {
	u.mu.Lock()
	defer u.mu.Unlock()
	var kept []string
	for _, name := range set.Names() {
		if !now.Before(u.until[name]) {
			kept = append(kept, name)
		}
	}
	return regions.Only(kept)
}
