package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
)

const (
	// shareBatchDelay is how long placements are collected for one message to the other
	// regions.
	shareBatchDelay = 200 * time.Millisecond
	// shareTimeout bounds the message to one region. A lost message only costs that a
	// model server there computes prompt parts that it could have copied.
	shareTimeout = time.Second
	// maxPendingShares bounds the placements in one message. Further ones are dropped.
	maxPendingShares = 1024
)

// queueShare queues a placement for the next message to the other regions, so that
// their servers copy the prompt parts instead of computing them again.
func (p *Placer) queueShare(service string, placed engine.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.pendingShares[service]
	if len(pending) >= maxPendingShares {
		return
	}
	if len(pending) == 0 {
		time.AfterFunc(shareBatchDelay, func() { p.sendShares(service) })
	}
	p.pendingShares[service] = append(pending, &peerpb.SharedPlacement{Server: placed.Server, Incarnation: placed.Incarnation, Parts: encodeParts(placed.NewParts)})
}

func (p *Placer) sendShares(service string) {
	p.mu.Lock()
	request := &peerpb.SharePlacementsRequest{Service: service, Placements: p.pendingShares[service]}
	delete(p.pendingShares, service)
	p.mu.Unlock()
	for _, address := range p.cluster.RegionContacts() {
		p.sendShare(address, request)
	}
}

func (p *Placer) sendShare(address string, request *peerpb.SharePlacementsRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	if err := p.peerClient.SharePlacements(ctx, address, request); err != nil {
		events.PlacementShareFailed.Log(ctx, p.logger, slog.String("service", request.Service), slog.String("address", address), slog.Any("error", err))
	}
}

// SharePlacements implements peer.PlacementHandler. An instance that does not place the
// prompts of the service forwards the message once to the one of its region that does.
func (p *Placer) SharePlacements(request *peerpb.SharePlacementsRequest) {
	address := p.cluster.Owner(placementKey(request.Service))
	if address != "" && !request.Forwarded {
		request.Forwarded = true
		go p.sendShare(address, request)
		return
	}
	now := time.Now()
	p.servers.WithEngineScheduler(request.Service, func(s *engine.Scheduler) {
		for _, placed := range request.Placements {
			s.RecordCached(now, placed.Server, placed.Incarnation, decodeParts(placed.Parts))
		}
	})
}

func encodeParts(parts []engine.Part) []*peerpb.PromptPart {
	encoded := make([]*peerpb.PromptPart, len(parts))
	for i, part := range parts {
		encoded[i] = &peerpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)}
	}
	return encoded
}

func decodeParts(encoded []*peerpb.PromptPart) []engine.Part {
	parts := make([]engine.Part, len(encoded))
	for i, part := range encoded {
		parts[i] = engine.Part{ID: part.Id, Tokens: int(part.Tokens)}
	}
	return parts
}
