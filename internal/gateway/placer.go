package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
)

// placeTimeout bounds the question where a prompt goes; without an answer this
// instance chooses by what it knows itself.
const placeTimeout = 100 * time.Millisecond

const (
	// restoreInterval is how often an instance looks whether it has become the one
	// that places prompts.
	restoreInterval = 300 * time.Millisecond
	// restoreTimeout bounds the question what a model server keeps.
	restoreTimeout = 400 * time.Millisecond
	maxCacheList   = 4 << 20
)

// Placer chooses model servers. One instance of the region chooses for all, because
// it alone knows what the others have placed.
type Placer struct {
	cluster *Cluster
	client  *peer.Client
	fleet   *Fleet
	// servers and protocol ask model servers what they keep.
	servers  *upstream.Client
	protocol Protocol
	logger   *slog.Logger
	// restored holds the services whose prompts this instance places with what the
	// servers keep. Only Restore uses it.
	restored map[string]bool

	mu sync.Mutex
	// shares holds by service what other regions are about to be told.
	shares map[string][]*peerpb.SharedPlacement
}

// NewPlacer returns a placer.
func NewPlacer(cluster *Cluster, client *peer.Client, fleet *Fleet, servers *upstream.Client, protocol Protocol, logger *slog.Logger) *Placer {
	return &Placer{cluster: cluster, client: client, fleet: fleet, servers: servers, protocol: protocol, logger: logger, restored: map[string]bool{}, shares: map[string][]*peerpb.SharedPlacement{}}
}

// Restore asks the model servers what they keep for each service whose prompts this
// instance begins to place: what the one before knew of them is lost.
func (p *Placer) Restore(ctx context.Context) {
	for _, service := range p.fleet.EngineServices() {
		mine := p.cluster.Callers(placerKey(service))[0] == ""
		if mine && !p.restored[service] {
			p.restore(ctx, service)
		}
		p.restored[service] = mine
	}
}

func (p *Placer) restore(ctx context.Context, service string) {
	var ids []string
	p.fleet.Engines(service, func(s *engine.Scheduler) { ids = s.LocalServers() })
	for _, id := range ids {
		server, known := p.fleet.Server(id)
		if !known {
			continue
		}
		parts, err := p.cached(ctx, server)
		if err != nil {
			events.CacheUnknown.Log(ctx, p.logger, slog.String("server", id), slog.Any("error", err))
			continue
		}
		p.fleet.Engines(service, func(s *engine.Scheduler) { s.ReplaceCached(id, parts) })
	}
	events.PlacerChanged.Log(ctx, p.logger, slog.String("service", service), slog.Int("servers", len(ids)))
}

func (p *Placer) cached(ctx context.Context, server upstream.Server) ([]engine.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	answer, err := p.servers.Send(ctx, server, p.protocol.CacheCall(server))
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxCacheList))
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, fmt.Errorf("model server answered with status %d", answer.Status)
	}
	return p.protocol.CachedParts(body)
}

// placerKey is hashed to the instance that places the prompts of a service.
func placerKey(service string) string { return "place prompts of " + service }

// Place chooses the model server for a prompt, or returns false when there is none.
func (p *Placer) Place(ctx context.Context, id, service string, q engine.Query) (engine.Placement, bool) {
	address := p.cluster.Callers(placerKey(service))[0]
	if address == "" {
		return p.placeForRegion(service, q)
	}
	request := &peerpb.PlacePromptRequest{Service: service, InputBytes: q.InputBytes, Excluded: q.Excluded, AskOnly: q.AskOnly}
	request.Prompt = encodeParts(q.Prompt)
	bounded, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	response, err := p.client.PlacePrompt(bounded, address, request)
	if err == nil && response.Server != "" && p.fleet.InUse(response.Server) {
		return engine.Placement{Server: response.Server, Expected: time.Duration(response.ExpectedUs) * time.Microsecond, FailureDomain: response.FailureDomain, CopyFrom: response.CopyFrom}, true
	}
	if err != nil && ctx.Err() == nil {
		p.cluster.Avoid(address)
		events.PlacerFailed.Log(ctx, p.logger, slog.String("id", id), slog.String("address", address), slog.Any("error", err))
	}
	return p.placeHere(service, q)
}

func (p *Placer) placeHere(service string, q engine.Query) (placed engine.Placement, ok bool) {
	p.fleet.Engines(service, func(s *engine.Scheduler) { placed, ok = s.Place(time.Now(), q) })
	return placed, ok
}

// placeForRegion chooses a server as the instance that does so for the region, and
// tells the other regions what the server will keep.
func (p *Placer) placeForRegion(service string, q engine.Query) (engine.Placement, bool) {
	placed, ok := p.placeHere(service, q)
	if len(placed.NewParts) > 0 {
		p.share(service, placed)
	}
	return placed, ok
}

// PlacePrompt implements peer.PlacementHandler.
func (p *Placer) PlacePrompt(request *peerpb.PlacePromptRequest) *peerpb.PlacePromptResponse {
	q := engine.Query{InputBytes: request.InputBytes, Excluded: request.Excluded, AskOnly: request.AskOnly}
	q.Prompt = decodeParts(request.Prompt)
	placed, _ := p.placeForRegion(request.Service, q)
	return &peerpb.PlacePromptResponse{Server: placed.Server, ExpectedUs: placed.Expected.Microseconds(), FailureDomain: placed.FailureDomain, CopyFrom: placed.CopyFrom}
}

// Report tells what became of a placement, here and where it was made.
func (p *Placer) Report(service string, r engine.Report) {
	p.fleet.Engines(service, func(s *engine.Scheduler) { s.Report(time.Now(), r) })
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
	p.fleet.Engines(request.Service, func(s *engine.Scheduler) { s.Report(time.Now(), r) })
}
