package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// Limits of calls.
const (
	maxRequestBytes = 1 << 20
	// maxPartsBytes limits the total size of the parts in one answer. The first part
	// is always returned; it has at most 512 KB.
	maxPartsBytes = 768 << 10
	// maxPulls limits the pulls of the configuration that are served at the same time.
	// Callers whose pull is refused try another peer.
	maxPulls = 4
)

// ConfigurationHandler serves the configuration in force.
type ConfigurationHandler interface {
	// HeadAfter returns the encoded change from a revision to the head in force, nil
	// when there is none. For an unknown revision the result is the whole head.
	HeadAfter(revision int64) ([]byte, error)
	// Part returns a part by its SHA-256.
	Part(digest []byte) ([]byte, bool)
}

// ClaimHandler serves at-most-once claims. Records are in the encoding of
// claim.EncodeOp; results, claims and outcomes are JSON of package internal/claims.
type ClaimHandler interface {
	AppendClaims(ctx context.Context, shard int, records [][]byte) (results [][]byte, err error)
	// AwaitClaim waits for the outcome of an attempt that this instance holds.
	AwaitClaim(ctx context.Context, claim []byte) (outcome []byte, err error)
}

// JobHandler takes over durable jobs.
type JobHandler interface {
	// HandOverJob takes over the job with an ID, if it accepts the job.
	HandOverJob(ctx context.Context, id []byte) (accepted bool, err error)
}

// StageHandler runs stages of requests that other instances serve.
type StageHandler interface {
	RunStage(ctx context.Context, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error)
	// AwaitStage waits for a job that RunStage returned as pending.
	AwaitStage(ctx context.Context, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error)
	FreeResults(request *peerpb.FreeResultsRequest)
}

// PlacementHandler chooses model servers for all instances of a region.
type PlacementHandler interface {
	PlacePrompt(request *peerpb.PlacePromptRequest) *peerpb.PlacePromptResponse
	ReportPlacement(request *peerpb.ReportPlacementRequest)
	ReportCrash(request *peerpb.ReportCrashRequest)
	SharePlacements(request *peerpb.SharePlacementsRequest)
}

// PermitHandler gives out permits to send requests to backend servers with a limit.
type PermitHandler interface {
	AcquirePermit(ctx context.Context, request *peerpb.AcquirePermitRequest) (*peerpb.AcquirePermitResponse, error)
}

// OwnerHandler knows which instances of its region own keys.
type OwnerHandler interface {
	FindOwners(key string) *peerpb.FindOwnersResponse
}

// ViewHandler serves the entries that this instance has read from the store.
type ViewHandler interface {
	// ChangesAfter returns the changes after a version, or all entries when those
	// changes are no longer known. The result has version 0 when nothing newer is known.
	ChangesAfter(version store.Version) store.Changes
	// Position returns the version that this instance has.
	Position() store.Version
}

// Server serves the calls of other instances. Handlers may be registered while it
// runs; until then their calls end with ErrUnsupported.
type Server struct {
	node      *Node
	pulls     chan struct{}
	viewPulls *viewPulls

	mu            sync.Mutex
	configuration ConfigurationHandler
	claims        ClaimHandler
	jobs          JobHandler
	stages        StageHandler
	views         ViewHandler
	placements    PlacementHandler
	permits       PermitHandler
	owners        OwnerHandler
}

// NewServer returns a server without handlers. It passes Leave calls to the node,
// which may be nil.
func NewServer(node *Node) *Server {
	s := &Server{node: node, pulls: make(chan struct{}, maxPulls)}
	s.viewPulls = newViewPulls(peerpb.NewPeerServer(s), s.viewVersion, viewPullSlots(node))
	return s
}

// HandleConfiguration registers the handler of PullConfiguration.
func (s *Server) HandleConfiguration(h ConfigurationHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = h
}

// HandleClaims registers the handler of AppendClaims and AwaitClaim.
func (s *Server) HandleClaims(h ClaimHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = h
}

// HandleJobs registers the handler of HandOverJob.
func (s *Server) HandleJobs(h JobHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = h
}

// HandleStages registers the handler of RunStage, AwaitStage and FreeResults.
func (s *Server) HandleStages(h StageHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stages = h
}

// HandlePlacements registers the handler of PlacePrompt, ReportPlacement, ReportCrash and
// SharePlacements.
func (s *Server) HandlePlacements(h PlacementHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placements = h
}

// HandlePermits registers the handler of AcquirePermit.
func (s *Server) HandlePermits(h PermitHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits = h
}

// HandleViews registers the handler of PullView.
func (s *Server) HandleViews(h ViewHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views = h
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	calls := peerpb.NewPeerServer(s)
	return http.MaxBytesHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathPullView {
			s.viewPulls.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	}), maxRequestBytes)
}

// pathPullView is the URL path of PullView.
const pathPullView = peerpb.PeerPathPrefix + "PullView"

// PullConfiguration implements peerpb.Peer.
func (s *Server) PullConfiguration(_ context.Context, request *peerpb.PullConfigurationRequest) (*peerpb.PullConfigurationResponse, error) {
	s.mu.Lock()
	handler := s.configuration
	s.mu.Unlock()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	select {
	case s.pulls <- struct{}{}:
		defer func() { <-s.pulls }()
	default:
		return nil, toTwirp(ErrBusy)
	}
	if len(request.PartDigests) > 0 {
		return &peerpb.PullConfigurationResponse{Parts: fittingParts(handler, request.PartDigests)}, nil
	}
	head, err := handler.HeadAfter(request.HaveRevision)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.PullConfigurationResponse{Head: head}, nil
}

// fittingParts returns the parts up to the first one that is not found or does not
// fit into the answer.
func fittingParts(handler ConfigurationHandler, digests [][]byte) [][]byte {
	var parts [][]byte
	size := 0
	for _, digest := range digests {
		data, found := handler.Part(digest)
		if !found || len(parts) > 0 && size+len(data) > maxPartsBytes {
			break
		}
		parts = append(parts, data)
		size += len(data)
	}
	return parts
}

// AppendClaims implements peerpb.Peer.
func (s *Server) AppendClaims(ctx context.Context, request *peerpb.AppendClaimsRequest) (*peerpb.AppendClaimsResponse, error) {
	handler := s.claimHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	results, err := handler.AppendClaims(ctx, int(request.Shard), request.Records)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.AppendClaimsResponse{Results: results}, nil
}

// AwaitClaim implements peerpb.Peer.
func (s *Server) AwaitClaim(ctx context.Context, request *peerpb.AwaitClaimRequest) (*peerpb.AwaitClaimResponse, error) {
	handler := s.claimHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	outcome, err := handler.AwaitClaim(ctx, request.Claim)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.AwaitClaimResponse{Outcome: outcome}, nil
}

func (s *Server) claimHandler() ClaimHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims
}

// HandOverJob implements peerpb.Peer.
func (s *Server) HandOverJob(ctx context.Context, request *peerpb.HandOverJobRequest) (*peerpb.HandOverJobResponse, error) {
	s.mu.Lock()
	handler := s.jobs
	s.mu.Unlock()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	accepted, err := handler.HandOverJob(ctx, request.Job)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.HandOverJobResponse{Accepted: accepted}, nil
}

// RunStage implements peerpb.Peer.
func (s *Server) RunStage(ctx context.Context, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	handler := s.stageHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	response, err := handler.RunStage(ctx, request)
	return response, toTwirp(err)
}

// AwaitStage implements peerpb.Peer.
func (s *Server) AwaitStage(ctx context.Context, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	handler := s.stageHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	response, err := handler.AwaitStage(ctx, request)
	return response, toTwirp(err)
}

// FreeResults implements peerpb.Peer.
func (s *Server) FreeResults(_ context.Context, request *peerpb.FreeResultsRequest) (*peerpb.FreeResultsResponse, error) {
	handler := s.stageHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	handler.FreeResults(request)
	return &peerpb.FreeResultsResponse{}, nil
}

func (s *Server) stageHandler() StageHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stages
}

// PlacePrompt implements peerpb.Peer.
func (s *Server) PlacePrompt(_ context.Context, request *peerpb.PlacePromptRequest) (*peerpb.PlacePromptResponse, error) {
	handler := s.placementHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	return handler.PlacePrompt(request), nil
}

// ReportPlacement implements peerpb.Peer.
func (s *Server) ReportPlacement(_ context.Context, request *peerpb.ReportPlacementRequest) (*peerpb.ReportPlacementResponse, error) {
	handler := s.placementHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	handler.ReportPlacement(request)
	return &peerpb.ReportPlacementResponse{}, nil
}

// AcquirePermit implements peerpb.Peer.
func (s *Server) AcquirePermit(ctx context.Context, request *peerpb.AcquirePermitRequest) (*peerpb.AcquirePermitResponse, error) {
	handler := s.permitHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	response, err := handler.AcquirePermit(ctx, request)
	return response, toTwirp(err)
}

func (s *Server) permitHandler() PermitHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits
}

// ReportCrash implements peerpb.Peer.
func (s *Server) ReportCrash(_ context.Context, request *peerpb.ReportCrashRequest) (*peerpb.ReportCrashResponse, error) {
	handler := s.placementHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	handler.ReportCrash(request)
	return &peerpb.ReportCrashResponse{}, nil
}

// SharePlacements implements peerpb.Peer.
func (s *Server) SharePlacements(_ context.Context, request *peerpb.SharePlacementsRequest) (*peerpb.SharePlacementsResponse, error) {
	handler := s.placementHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	handler.SharePlacements(request)
	return &peerpb.SharePlacementsResponse{}, nil
}

func (s *Server) placementHandler() PlacementHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placements
}

// HandleOwners registers the handler of FindOwners.
func (s *Server) HandleOwners(h OwnerHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners = h
}

// FindOwners implements peerpb.Peer.
func (s *Server) FindOwners(_ context.Context, request *peerpb.FindOwnersRequest) (*peerpb.FindOwnersResponse, error) {
	s.mu.Lock()
	handler := s.owners
	s.mu.Unlock()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	return handler.FindOwners(request.Key), nil
}

// PullView implements peerpb.Peer.
func (s *Server) PullView(_ context.Context, request *peerpb.PullViewRequest) (*peerpb.PullViewResponse, error) {
	handler := s.viewHandler()
	if handler == nil {
		return nil, toTwirp(ErrUnsupported)
	}
	changes := handler.ChangesAfter(store.Version(request.HaveVersion))
	response := &peerpb.PullViewResponse{Version: int64(changes.Version), Base: int64(changes.Base)}
	if request.Paged {
		changes.Changed, response.NextAfterKey = viewPage(changes.Changed, request.AfterKey)
	}
	response.Entries = mapSlice(changes.Changed, encodeEntry)
	if request.AfterKey == "" {
		response.Deleted, response.Awaited = changes.Deleted, mapSlice(changes.Awaited, encodeAwaited)
	}
	return response, nil
}

func (s *Server) viewHandler() ViewHandler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views
}

// viewVersion returns the version that PullView serves, 0 without a handler.
func (s *Server) viewVersion() store.Version {
	if handler := s.viewHandler(); handler != nil {
		return handler.Position()
	}
	return 0
}

func encodeEntry(e store.Entry) *peerpb.StoreEntry {
	return &peerpb.StoreEntry{Key: e.Key, Value: e.Value, Version: int64(e.Version)}
}

func decodeEntry(e *peerpb.StoreEntry) store.Entry {
	return store.Entry{Key: e.Key, Value: e.Value, Version: store.Version(e.Version)}
}

// Leave implements peerpb.Peer. The record is handled like an urgent message of the
// member itself.
func (s *Server) Leave(_ context.Context, request *peerpb.LeaveRequest) (*peerpb.LeaveResponse, error) {
	record := decodeRecord(request.GetMember())
	if s.node != nil && record.State == membership.Left {
		s.node.receive(membership.Message{From: record, Urgent: true})
	}
	return &peerpb.LeaveResponse{}, nil
}
