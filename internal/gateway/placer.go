package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/quarantine"
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
	// quarantines decides which prompts may be placed.
	quarantines *Quarantines
	// restored holds the services whose prompts this instance places and whose servers'
	// cached parts it has read. Only Restore uses it.
	restored map[string]bool

	mu sync.Mutex
	// pendingShares holds the placements that the next message to the other regions
	// carries, by service.
	pendingShares map[string][]*peerpb.SharedPlacement
	// fullAt holds, by service, when a placement in any region had to wait for room or was
	// refused for it.
	fullAt map[string]time.Time

	roomMetrics roomMetrics
}

// NewPlacer returns a placer for the model servers in servers.
func NewPlacer(cluster *Cluster, peerClient *peer.Client, servers *Servers, client *ServerClient, protocol Protocol, quarantines *Quarantines, logger *slog.Logger, scope tally.Scope) *Placer {
	return &Placer{cluster: cluster, peerClient: peerClient, servers: servers, client: client, protocol: protocol, logger: logger, quarantines: quarantines, restored: map[string]bool{}, pendingShares: map[string][]*peerpb.SharedPlacement{}, fullAt: map[string]time.Time{}, roomMetrics: newRoomMetrics(scope)}
}

// Restore reads the cached prompt parts of the model servers of each service whose
// prompts this instance has begun to place, because the state of the instance that
// placed them before is lost. It also records the quarantines of the services whose prompts
// this instance places.
func (p *Placer) Restore(ctx context.Context) {
	for _, service := range p.servers.EngineServices() {
		owned := p.cluster.Owner(placementKey(service)) == ""
		if owned && !p.restored[service] {
			p.quarantines.beginWarmUp(service)
			p.restore(ctx, service)
		}
		p.restored[service] = owned
		if owned {
			p.quarantines.Record(ctx, p.cluster.store, service)
		}
	}
	p.recordRoom()
}

func (p *Placer) restore(ctx context.Context, service string) {
	var ids []string
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { ids = s.LocalServers() })
	for _, id := range ids {
		server, known := p.servers.Server(id)
		if !known || p.client.permits.Limited(id) {
			continue
		}
		p.readRuns(ctx, service, server)
		parts, err := p.readCache(ctx, server)
		if err != nil {
			events.CacheUnknown.Log(ctx, p.logger, slog.String("server", id), slog.Any("error", err))
			continue
		}
		p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { s.ReplaceCached(id, server.Incarnation, parts) })
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
	body, err := answer.ReadBody(maxCacheListBytes)
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

// placement is a server that was chosen for a request.
type placement struct {
	engine.Placement
	// owner is the address of the instance of another region that chose the server; empty
	// for one of the own region.
	owner string
	// onTrial is true when other requests wait for the outcome of this one.
	onTrial bool
}

var (
	// errNoServer reports that no model server is left for a request.
	errNoServer = errors.New("no model server is left")
	// errTrialRunning reports that another request with a suspect part is on trial.
	errTrialRunning = errors.New("another request with a suspect prompt part is on trial")
)

// QuarantinedError reports a prompt with parts under which model servers ended.
type QuarantinedError struct {
	// Quarantine is the ID of the quarantine.
	Quarantine string
	// Remaining is the time until it ends.
	Remaining time.Duration
}

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("prompt is in quarantine %s for %s", e.Quarantine, e.Remaining)
}

// LimitedError reports that no model server is left because of limits that they have named, or
// because none has room in time.
type LimitedError struct {
	// Wait is the time until one of them takes a request.
	Wait time.Duration
	// NoRoom is true when none has room before Wait has passed.
	NoRoom bool
}

func (e *LimitedError) Error() string {
	if e.NoRoom {
		return fmt.Sprintf("model servers have no room for %s", e.Wait)
	}
	return fmt.Sprintf("limits of the model servers are used up for %s", e.Wait)
}

// Place chooses the model server for a prompt of the request with an ID. Its errors are
// errNoServer, errTrialRunning, QuarantinedError and LimitedError.
func (p *Placer) Place(ctx context.Context, id, service string, q engine.Query) (placement, error) {
	address := p.cluster.Owner(placementKey(service))
	if address == "" {
		return p.placeForRegion(id, service, q)
	}
	request := newPlacePromptRequest(id, service, q)
	request.Answered = p.quarantines.takeAnswered(service)
	bounded, cancel := context.WithTimeout(ctx, placePromptTimeout)
	defer cancel()
	response, err := p.peerClient.PlacePrompt(bounded, address, request)
	if err == nil {
		p.observeRoom(service, time.Duration(response.RoomWaitMs)*time.Millisecond)
		if placed, usable, err := p.readPlacement(response, q); usable || err != nil {
			return placed, err
		}
	}
	if err != nil && ctx.Err() == nil {
		p.cluster.Avoid(address)
		events.PlacerFailed.Log(ctx, p.logger, slog.String("id", id), slog.String("address", address), slog.Any("error", err))
	}
	return p.placeLocally(id, service, q)
}

func newPlacePromptRequest(id, service string, q engine.Query) *peerpb.PlacePromptRequest {
	return &peerpb.PlacePromptRequest{
		Service: service, InputBytes: q.InputBytes, Excluded: q.Excluded, AskOnly: q.AskOnly, RequestId: id, Prompt: encodeParts(q.Prompt),
		RegionsBound: q.Regions.Bound(), Regions: q.Regions.Names(),
		Run: encodeRun(q.Run), MaxWaitMs: q.MaxWait.Milliseconds(),
	}
}

// readPlacement returns the placement in the answer of another instance. It is not usable
// without a server that this instance knows and that the query allows.
func (p *Placer) readPlacement(response *peerpb.PlacePromptResponse, q engine.Query) (placed placement, usable bool, err error) {
	remaining := time.Duration(response.RemainingMs) * time.Millisecond
	if err := verdictError(quarantine.Verdict(response.Verdict), response.Quarantine, remaining); err != nil {
		return placement{}, false, err
	}
	if response.Server == "" && remaining > 0 {
		return placement{}, false, &LimitedError{Wait: remaining, NoRoom: response.RoomWaitMs > 0}
	}
	if response.Server == "" || !p.mayRunOn(response.Server, response.FailureDomain, q) {
		return placement{}, false, nil
	}
	return placement{
		Placement: engine.Placement{
			Server: response.Server, Incarnation: response.Incarnation, Expected: time.Duration(response.ExpectedUs) * time.Microsecond,
			FailureDomain: response.FailureDomain, CopyFrom: response.CopyFrom, CopyFromIncarnation: response.CopyFromIncarnation,
		},
		onTrial: quarantine.Verdict(response.Verdict) == quarantine.OnTrial,
	}, true, nil
}

// verdictError returns the error of a verdict by which a request is not placed, nil for
// others.
func verdictError(verdict quarantine.Verdict, id string, remaining time.Duration) error {
	switch verdict {
	case quarantine.Waiting:
		return errTrialRunning
	case quarantine.Quarantined:
		return &QuarantinedError{Quarantine: id, Remaining: remaining}
	}
	return nil
}

// decide returns whether a request may be placed.
func (p *Placer) decide(id, service string, q engine.Query) quarantine.Decision {
	if q.AskOnly {
		return p.quarantines.Check(service, q.Prompt)
	}
	return p.quarantines.admit(id, service, q.Prompt)
}

// placeLocally places a prompt by the state of this instance.
func (p *Placer) placeLocally(id, service string, q engine.Query) (placed placement, err error) {
	decision := p.decide(id, service, q)
	if err := verdictError(decision.Verdict, decision.Quarantine, decision.Remaining); err != nil {
		return placed, err
	}
	q.Isolate = decision.Isolate
	withoutPermit := p.client.permits.Unavailable(service)
	q.Excluded = slices.Concat(q.Excluded, withoutPermit)
	placed.onTrial = decision.Verdict == quarantine.OnTrial
	ok := false
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { placed.Placement, ok = s.Place(time.Now(), q) })
	p.observeRoom(service, placed.RoomWait)
	if !ok {
		p.quarantines.withdraw(id, service, q.Prompt)
		if placed.RoomWait > 0 {
			p.roomMetrics.refused.Inc(1)
			return placed, &LimitedError{Wait: placed.RoomWait, NoRoom: true}
		}
		if len(withoutPermit) > 0 {
			return placed, &LimitedError{Wait: p.client.permits.shortestWait(withoutPermit)}
		}
		return placed, errNoServer
	}
	return placed, nil
}

// placeForRegion places a prompt for an instance of the region, and queues the prompt
// parts that the server newly caches for the next message to the other regions, unless the
// request may be served in some regions only.
func (p *Placer) placeForRegion(id, service string, q engine.Query) (placement, error) {
	placed, err := p.placeLocally(id, service, q)
	if len(placed.NewParts) > 0 && !q.Regions.Bound() {
		p.queueShare(service, placed.Placement)
	}
	return placed, err
}

// PlacePrompt implements peer.PlacementHandler.
func (p *Placer) PlacePrompt(request *peerpb.PlacePromptRequest) *peerpb.PlacePromptResponse {
	p.quarantines.recordAnswered(request.Service, request.Answered)
	q := engine.Query{InputBytes: request.InputBytes, Excluded: request.Excluded, AskOnly: request.AskOnly, Regions: decodeRegions(request.RegionsBound, request.Regions)}
	q.Prompt = decodeParts(request.Prompt)
	q.Run, q.MaxWait = decodeRun(request.Run), time.Duration(request.MaxWaitMs)*time.Millisecond
	placed, err := p.placeForRegion(request.RequestId, request.Service, q)
	response := &peerpb.PlacePromptResponse{
		Server: placed.Server, Incarnation: placed.Incarnation, ExpectedUs: placed.Expected.Microseconds(),
		FailureDomain: placed.FailureDomain, CopyFrom: placed.CopyFrom, CopyFromIncarnation: placed.CopyFromIncarnation,
		RoomWaitMs: placed.RoomWait.Milliseconds(),
	}
	var quarantined *QuarantinedError
	var limited *LimitedError
	switch {
	case errors.As(err, &limited):
		response.RemainingMs = max(1, limited.Wait.Milliseconds())
	case errors.As(err, &quarantined):
		response.Verdict = int32(quarantine.Quarantined)
		response.Quarantine, response.RemainingMs = quarantined.Quarantine, quarantined.Remaining.Milliseconds()
	case errors.Is(err, errTrialRunning):
		response.Verdict = int32(quarantine.Waiting)
	case placed.onTrial:
		response.Verdict = int32(quarantine.OnTrial)
	}
	return response
}

// Report records the outcome of a placement, here and at the instance that made it.
func (p *Placer) Report(service string, r engine.Report) {
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { s.Report(time.Now(), r) })
	address := p.cluster.Owner(placementKey(service))
	if address == "" {
		return
	}
	p.sendReport(address, newReport(service, r))
}

func newReport(service string, r engine.Report) *peerpb.ReportPlacementRequest {
	request := &peerpb.ReportPlacementRequest{
		Service: service, Server: r.Server, Incarnation: r.Incarnation, ExpectedUs: r.Expected.Microseconds(), DelayUs: r.Delay.Microseconds(),
		Failed: r.Failed, Refused: r.Refused,
	}
	encodeRunReport(request, r.RunReport)
	return request
}

// sendReport sends a report together with the answered parts that are queued.
func (p *Placer) sendReport(address string, request *peerpb.ReportPlacementRequest) {
	request.Answered = p.quarantines.takeAnswered(request.Service)
	go func() {
		if err := p.peerClient.ReportPlacement(context.Background(), address, request); err != nil {
			p.cluster.Avoid(address)
		}
	}()
}

// ReportPlacement implements peer.PlacementHandler.
func (p *Placer) ReportPlacement(request *peerpb.ReportPlacementRequest) {
	p.quarantines.recordAnswered(request.Service, request.Answered)
	r := engine.Report{
		Server: request.Server, Incarnation: request.Incarnation, Failed: request.Failed, Refused: request.Refused,
		Expected: time.Duration(request.ExpectedUs) * time.Microsecond, Delay: time.Duration(request.DelayUs) * time.Microsecond,
		RunReport: decodeRunReport(request),
	}
	p.servers.WithEngineScheduler(request.Service, func(s *engine.Scheduler) { s.Report(time.Now(), r) })
}
