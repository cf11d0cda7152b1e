package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/regions"
)

const (
	// placeInRegionTimeout is placePromptTimeout for the owner in another region, with the
	// delay of the link between regions.
	placeInRegionTimeout = 200 * time.Millisecond
	// maxPlacersInRegion bounds the instances of another region that are asked in turn to
	// place one prompt.
	maxPlacersInRegion = 2
)

// PlaceIn chooses the model server for a prompt that runs in a region, which may be another
// one: the instance that places the prompts there knows the load and the caches of its
// servers. When it does not answer, this instance places the prompt by its own state.
func (p *Placer) PlaceIn(ctx context.Context, region, id, service string, q engine.Query) (placement, error) {
	if region == p.servers.Region() {
		return p.Place(ctx, id, service, q)
	}
	key := placementKey(service)
	owners := p.cluster.OwnersIn(ctx, region, key)
	for _, address := range owners[:min(maxPlacersInRegion, len(owners))] {
		bounded, cancel := context.WithTimeout(ctx, placeInRegionTimeout)
		response, err := p.peerClient.PlacePrompt(bounded, address, newPlacePromptRequest(id, service, q))
		cancel()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			p.cluster.AvoidIn(region, key, address)
			events.RegionOwnerFailed.Log(ctx, p.logger, slog.String("region", region), slog.String("key", key), slog.String("address", address), slog.String("id", id), slog.Any("error", err))
			continue
		}
		p.observeRoom(service, time.Duration(response.RoomWaitMs)*time.Millisecond)
		placed, usable, err := p.readPlacement(response, q)
		if usable || err != nil {
			placed.owner = address
			return placed, err
		}
		break
	}
	return p.placeLocally(id, service, q)
}

// mayRunOn reports whether a model server is in use, in a region that a query allows.
func (p *Placer) mayRunOn(server, failureDomain string, q engine.Query) bool {
	return p.servers.InUse(server) && q.Regions.Contains(p.servers.RegionOf(failureDomain))
}

// reportTo records the outcome of a placement, here and at the instance of another region
// that made it.
func (p *Placer) reportTo(address, service string, r engine.Report) {
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { s.Report(time.Now(), r) })
	p.sendTo(address, newReport(service, r))
}

// answeredAt records the parts under which an answer went on, here and at the instance of
// another region that placed the prompt.
func (p *Placer) answeredAt(address, service string, parts []string) {
	p.quarantines.recordAnswered(service, parts)
	p.sendTo(address, &peerpb.ReportPlacementRequest{Service: service, Answered: parts})
}

// sendTo sends a report without the answered parts that are queued for the region's own
// placer.
func (p *Placer) sendTo(address string, request *peerpb.ReportPlacementRequest) {
	go func() {
		if err := p.peerClient.ReportPlacement(context.Background(), address, request); err != nil {
			p.cluster.Avoid(address)
		}
	}()
}

// decodeRegions returns the set of regions that a message holds.
func decodeRegions(bound bool, names []string) regions.Set {
	if !bound {
		return regions.Set{}
	}
	return regions.Only(names)
}
