package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
)

// placeTimeout bounds the question where a prompt goes; without an answer this
// instance chooses by what it knows itself.
const placeTimeout = 100 * time.Millisecond

// Placer chooses model servers. One instance of the region chooses for all, because
// it alone knows what the others have placed.
type Placer struct {
	cluster *Cluster
	client  *peer.Client
	fleet   *Fleet
	logger  *slog.Logger
}

// NewPlacer returns a placer.
func NewPlacer(cluster *Cluster, client *peer.Client, fleet *Fleet, logger *slog.Logger) *Placer {
	return &Placer{cluster: cluster, client: client, fleet: fleet, logger: logger}
}

// placerKey is hashed to the instance that places the prompts of a service.
func placerKey(service string) string { return "place prompts of " + service }

// Place chooses the model server for a prompt, or returns false when there is none.
func (p *Placer) Place(ctx context.Context, id, service string, q engine.Query) (engine.Placement, bool) {
	address := p.cluster.Callers(placerKey(service))[0]
	if address == "" {
		return p.placeHere(service, q)
	}
	request := &peerpb.PlacePromptRequest{Service: service, FailureDomain: q.FailureDomain, InputBytes: q.InputBytes, Excluded: q.Excluded}
	for _, part := range q.Prompt {
		request.Prompt = append(request.Prompt, &peerpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	bounded, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	response, err := p.client.PlacePrompt(bounded, address, request)
	if err == nil && response.Server != "" && p.fleet.InUse(response.Server) {
		return engine.Placement{Server: response.Server, Expected: time.Duration(response.ExpectedUs) * time.Microsecond}, true
	}
	if err != nil && ctx.Err() == nil {
		p.cluster.Avoid(address)
		events.PlacerFailed.Log(ctx, p.logger, slog.String("id", id), slog.String("address", address), slog.Any("error", err))
	}
	return p.placeHere(service, q)
}

func (p *Placer) placeHere(service string, q engine.Query) (placed engine.Placement, ok bool) {
	p.fleet.Engines(service, func(s *engine.Set) { placed, ok = s.Place(time.Now(), q) })
	return placed, ok
}

// PlacePrompt implements peer.PlacementHandler.
func (p *Placer) PlacePrompt(request *peerpb.PlacePromptRequest) *peerpb.PlacePromptResponse {
	q := engine.Query{FailureDomain: request.FailureDomain, InputBytes: request.InputBytes, Excluded: request.Excluded}
	for _, part := range request.Prompt {
		q.Prompt = append(q.Prompt, engine.Part{ID: part.Id, Tokens: int(part.Tokens)})
	}
	placed, _ := p.placeHere(request.Service, q)
	return &peerpb.PlacePromptResponse{Server: placed.Server, ExpectedUs: placed.Expected.Microseconds()}
}

// Report tells what became of a placement, here and where it was made.
func (p *Placer) Report(service string, r engine.Report) {
	p.fleet.Engines(service, func(s *engine.Set) { s.Report(time.Now(), r) })
	address := p.cluster.Callers(placerKey(service))[0]
	if address == "" {
		return
	}
	request := &peerpb.ReportPlacementRequest{
		Service: service, Server: r.Server, ExpectedUs: r.Expected.Microseconds(), DelayUs: r.Delay.Microseconds(),
		Failed: r.Failed, Refused: r.Refused,
	}
	go func() {
		if err := p.client.ReportPlacement(context.Background(), address, request); err != nil {
			p.cluster.Avoid(address)
		}
	}()
}

// ReportPlacement implements peer.PlacementHandler.
func (p *Placer) ReportPlacement(request *peerpb.ReportPlacementRequest) {
	r := engine.Report{
		Server: request.Server, Failed: request.Failed, Refused: request.Refused,
		Expected: time.Duration(request.ExpectedUs) * time.Microsecond, Delay: time.Duration(request.DelayUs) * time.Microsecond,
	}
	p.fleet.Engines(request.Service, func(s *engine.Set) { s.Report(time.Now(), r) })
}
