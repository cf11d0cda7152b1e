package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
)

// placePromptTimeout bounds the call to the instance that places prompts. When it
// fails, this instance places the prompt by its own state.
const placePromptTimeout = 100 * time.Millisecond

const (
	// restoreInterval is how often an instance checks whether it has become the one that
	// places the prompts of a service.
	restoreInterval = 300 * time.Millisecond
	// cacheReadTimeout bounds the call that reads the cached prompt parts of a model
	// server.
	cacheReadTimeout  = 400 * time.Millisecond
	maxCacheListBytes = 4 << 20
)

// Placer chooses model servers for prompts. One instance of the region places the
// prompts of a service for all instances, so that its choices take all placements into
// account.
type Placer struct {
	cluster    *Cluster
	peerClient *peer.Client
	servers    *Servers
	// client and protocol read the cached prompt parts of model servers.
	client   *ServerClient
	protocol Protocol
	logger   *slog.Logger
	// restored holds the services whose prompts this instance places and whose servers'
	// cached parts it has read. Only Restore uses it.
	restored map[string]bool

	mu sync.Mutex
	// pendingShares holds the placements that the next message to the other regions
	// carries, by service.
	pendingShares map[string][]*peerpb.SharedPlacement
}

// NewPlacer returns a placer for the model servers in servers.
func NewPlacer(cluster *Cluster, peerClient *peer.Client, servers *Servers, client *ServerClient, protocol Protocol, logger *slog.Logger) *Placer {
	return &Placer{cluster: cluster, peerClient: peerClient, servers: servers, client: client, protocol: protocol, logger: logger, restored: map[string]bool{}, pendingShares: map[string][]*peerpb.SharedPlacement{}}
}

// Restore reads the cached prompt parts of the model servers of each service whose
// prompts this instance has begun to place, because the state of the instance that
// placed them before is lost.
func (p *Placer) Restore(ctx context.Context) {
	for _, service := range p.servers.EngineServices() {
		owned := p.cluster.Owner(placementKey(service)) == ""
		if owned && !p.restored[service] {
			p.restore(ctx, service)
		}
		p.restored[service] = owned
	}
}

func (p *Placer) restore(ctx context.Context, service string) {
	var ids []string
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { ids = s.LocalServers() })
	for _, id := range ids {
		server, known := p.servers.Server(id)
		if !known {
			continue
		}
		parts, err := p.readCache(ctx, server)
		if err != nil {
			events.CacheUnknown.Log(ctx, p.logger, slog.String("server", id), slog.Any("error", err))
			continue
		}
		p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { s.ReplaceCached(id, parts) })
	}
	events.PlacerChanged.Log(ctx, p.logger, slog.String("service", service), slog.Int("servers", len(ids)))
}

func (p *Placer) readCache(ctx context.Context, server upstream.Server) ([]engine.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	answer, err := p.client.Send(ctx, server, p.protocol.CacheCall(server))
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := httpbody.Read(answer.Body, maxCacheListBytes)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, fmt.Errorf("model server answered with status %d", answer.Status)
	}
	return p.protocol.CachedParts(body)
}

// placementKey returns the key whose owner places the prompts of a service.
func placementKey(service string) string { return "place prompts of " + service }

// Place chooses the model server for a prompt of the request with an ID. It returns
// false when there is none.
func (p *Placer) Place(ctx context.Context, id, service string, q engine.Query) (engine.Placement, bool) {
	address := p.cluster.Owner(placementKey(service))
	if address == "" {
		return p.placeForRegion(service, q)
	}
	request := &peerpb.PlacePromptRequest{Service: service, InputBytes: q.InputBytes, Excluded: q.Excluded, AskOnly: q.AskOnly}
	request.Prompt = encodeParts(q.Prompt)
	bounded, cancel := context.WithTimeout(ctx, placePromptTimeout)
	defer cancel()
	response, err := p.peerClient.PlacePrompt(bounded, address, request)
	if err == nil && response.Server != "" && p.servers.InUse(response.Server) {
		return engine.Placement{Server: response.Server, Expected: time.Duration(response.ExpectedUs) * time.Microsecond, FailureDomain: response.FailureDomain, CopyFrom: response.CopyFrom}, true
	}
	if err != nil && ctx.Err() == nil {
		p.cluster.Avoid(address)
		events.PlacerFailed.Log(ctx, p.logger, slog.String("id", id), slog.String("address", address), slog.Any("error", err))
	}
	return p.placeLocally(service, q)
}

func (p *Placer) placeLocally(service string, q engine.Query) (placed engine.Placement, ok bool) {
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { placed, ok = s.Place(time.Now(), q) })
	return placed, ok
}

// placeForRegion places a prompt for an instance of the region, and queues the prompt
// parts that the server newly caches for the next message to the other regions.
func (p *Placer) placeForRegion(service string, q engine.Query) (engine.Placement, bool) {
	placed, ok := p.placeLocally(service, q)
	if len(placed.NewParts) > 0 {
		p.queueShare(service, placed)
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

// Report records the outcome of a placement, here and at the instance that made it.
func (p *Placer) Report(service string, r engine.Report) {
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { s.Report(time.Now(), r) })
	address := p.cluster.Owner(placementKey(service))
	if address == "" {
		return
	}
	request := &peerpb.ReportPlacementRequest{
		Service: service, Server: r.Server, ExpectedUs: r.Expected.Microseconds(), DelayUs: r.Delay.Microseconds(),
		Failed: r.Failed, Refused: r.Refused,
	}
	go func() {
		if err := p.peerClient.ReportPlacement(context.Background(), address, request); err != nil {
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
	p.servers.WithEngineScheduler(request.Service, func(s *engine.Scheduler) { s.Report(time.Now(), r) })
}
