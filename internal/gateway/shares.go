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
	// sharePause collects placements for the other regions.
	sharePause = 200 * time.Millisecond
	// shareTimeout bounds the message to one of them. A lost one costs a prompt that
	// is read again.
	shareTimeout = time.Second
	// maxShares bounds the placements of one message.
	maxShares = 1024
)

// share tells the other regions soon what a model server will keep, so that their
// servers copy it instead of reading it again.
func (p *Placer) share(service string, placed engine.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := p.shares[service]
	if len(waiting) >= maxShares {
		return
	}
	if len(waiting) == 0 {
		time.AfterFunc(sharePause, func() { p.sendShares(service) })
	}
	p.shares[service] = append(waiting, &peerpb.SharedPlacement{Server: placed.Server, Parts: encodeParts(placed.NewParts)})
}

func (p *Placer) sendShares(service string) {
	p.mu.Lock()
	request := &peerpb.SharePlacementsRequest{Service: service, Placements: p.shares[service]}
	delete(p.shares, service)
	p.mu.Unlock()
	for _, address := range p.cluster.Regions() {
		p.sendShare(address, request)
	}
}

func (p *Placer) sendShare(address string, request *peerpb.SharePlacementsRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	if err := p.client.SharePlacements(ctx, address, request); err != nil {
		events.ShareFailed.Log(ctx, p.logger, slog.String("service", request.Service), slog.String("address", address), slog.Any("error", err))
	}
}

// SharePlacements implements peer.PlacementHandler. The instance that places the
// prompts of the region takes the message, or gets it from the one that was told.
func (p *Placer) SharePlacements(request *peerpb.SharePlacementsRequest) {
	address := p.cluster.Callers(placerKey(request.Service))[0]
	if address != "" && !request.Forwarded {
		request.Forwarded = true
		go p.sendShare(address, request)
		return
	}
	now := time.Now()
	p.fleet.Engines(request.Service, func(s *engine.Scheduler) {
		for _, placed := range request.Placements {
			s.RecordCached(now, placed.Server, decodeParts(placed.Parts))
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
