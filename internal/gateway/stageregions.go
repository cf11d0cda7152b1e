package gateway

import (
	"context"
	"slices"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/regions"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// maxOwnersInRegion is maxOwners for another region. Each call that is not answered delays
// the refusal of a request whose region is cut off.
const maxOwnersInRegion = 2

// stageOwners returns the addresses of the instances that a stage of a service is sent to in
// turn: those of the region in which the service's stages run for the request. It returns a
// RegionError when the region is no longer allowed or nobody of it answers.
func (r *stageRun) stageOwners(ctx context.Context, service string) ([]string, error) {
	region := r.Regions[service]
	if region == "" {
		owners := r.cluster.Owners(service)
		return owners[:min(maxOwners, len(owners))], nil
	}
	if !r.allowedRegions().Contains(region) {
		return nil, &RegionError{Region: region, Service: service}
	}
	owners := r.cluster.OwnersIn(ctx, region, service)
	if len(owners) == 0 && ctx.Err() == nil {
		return nil, &RegionError{Region: region, Service: service, Allowed: true}
	}
	return owners[:min(maxOwnersInRegion, len(owners))], nil
}

// allowedRegions returns the regions in which stages of the request may run now.
func (r *stageRun) allowedRegions() regions.Set {
	if r.Allowed == nil {
		return regions.Set{}
	}
	return r.Allowed()
}

// avoidOwner has an owner of a service that did not answer called last.
func (s *StageRunner) avoidOwner(owned regionKey, address string) {
	if owned.region == "" {
		s.cluster.Avoid(address)
		return
	}
	s.cluster.AvoidIn(owned.region, owned.key, address)
}

// freeingOwner returns the address of the instance that frees the results of a service, empty
// for this one, which also frees those of a region whose owner is not known.
func (s *StageRunner) freeingOwner(owned regionKey) string {
	if owned.region == "" {
		return s.cluster.Owner(owned.key)
	}
	if owners := s.cluster.OwnersIn(context.Background(), owned.region, owned.key); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

// regionsOf returns the regions of servers.
func (s *StageScheduler) regionsOf(servers []stagework.Server) (names []string) {
	for _, server := range servers {
		if region := s.servers.RegionOf(server.FailureDomain); !slices.Contains(names, region) {
			names = append(names, region)
		}
	}
	return names
}

// mayRun reports whether all servers of the queue are in regions that a request allows.
// Calls have pieces of several jobs, so that a job may run only where any of them may. It is
// called with the lock held.
func (q *serviceQueue) mayRun(request *peerpb.RunStageRequest) bool {
	allowed := decodeRegions(request.RegionsBound, request.Regions)
	return !slices.ContainsFunc(q.regions, func(region string) bool { return !allowed.Contains(region) })
}

// setRegions sets the regions of the servers and refuses the waiting jobs that may not run
// there. It is called with the lock held.
func (q *serviceQueue) setRegions(names []string) (effects stagework.Effects) {
	q.regions = names
	for id, job := range q.jobs {
		if q.mayRun(job.request) {
			continue
		}
		effects.Orphans = append(effects.Orphans, q.queue.Cancel(id).Orphans...)
		effects.Done = append(effects.Done, stagework.EndedJob{Job: id, Refusal: stagework.RefusedNoServer})
	}
	return effects
}
