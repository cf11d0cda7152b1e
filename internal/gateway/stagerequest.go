package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// peerAnswerTimeout bounds one call to the owner of a service, which answers after
	// awaitPollTimeout at the latest, even when the stage has not ended. The rest is a
	// margin for slow machines.
	peerAnswerTimeout = awaitPollTimeout + 350*time.Millisecond
	// maxOwners bounds the instances that one stage is sent to in turn.
	maxOwners = 3
)

// requestStage has stage i run by the instance that owns its service, or by the next
// one in the order of owners when that does not answer.
func (r *stageRun) requestStage(ctx context.Context, i int, inputs []stagework.Result) ([]stagework.Result, error) {
	stage := r.Route.Stages[i]
	owners, err := r.stageOwners(ctx, stage.Service)
	if err != nil {
		return nil, err
	}
	var lastErr error
	for try, address := range owners {
		started := time.Now()
		request := r.newRunStageRequest(i, inputs)
		// The last owner must accept the stage even if it is stopping.
		request.Forced = try == len(owners)-1
		response, err := r.requestFrom(ctx, address, i, request)
		if err == nil && response.Refusal == string(stagework.RefusedMoved) && request.Forced {
			// The owner began to stop while the stage waited. It accepts the stage now.
			response, err = r.requestFrom(ctx, address, i, request)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			lastErr = err
			r.avoidOwner(r.ownerKey(stage.Service), address)
			events.StagePeerFailed.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("address", address),
				slog.Int64("waited_ms", time.Since(started).Milliseconds()), slog.Any("error", err))
			continue
		}
		if response.Refusal == string(stagework.RefusedMoved) {
			r.avoidOwner(r.ownerKey(stage.Service), address)
			events.StageHandedBack.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("address", address))
			continue
		}
		events.StageEnded.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("service", stage.Service),
			slog.Int("pieces", r.Graph.Counts[i]), slog.String("caller", address), slog.Int64("took_ms", time.Since(started).Milliseconds()),
			slog.Int64("left_ms", time.Until(r.Deadline).Milliseconds()), slog.Int64("queue_ms", response.WaitMs), slog.String("refusal", response.Refusal))
		r.recordQueueState(r.ownerKey(stage.Service), response)
		if response.Refusal != "" {
			return nil, &RefusedError{Stage: i, Reason: stagework.Refusal(response.Refusal), Wait: time.Duration(response.WaitMs) * time.Millisecond}
		}
		if len(response.Results) != r.Graph.Counts[i] {
			return nil, fmt.Errorf("stage %d has %d results for %d pieces", i, len(response.Results), r.Graph.Counts[i])
		}
		return decodeResults(response.Results), nil
	}
	if region := r.Regions[stage.Service]; region != "" && lastErr != nil {
		return nil, errors.Join(&RegionError{Region: region, Service: stage.Service, Allowed: true}, lastErr)
	}
	return nil, errors.Join(&RefusedError{Stage: i, Reason: stagework.RefusedFailed}, lastErr)
}

// newRunStageRequest returns the request that has stage i run.
func (r *stageRun) newRunStageRequest(i int, inputs []stagework.Result) *peerpb.RunStageRequest {
	stage := r.Route.Stages[i]
	r.mu.Lock()
	tail, started := r.schedule.Tail(i), r.schedule.AnyEnded()
	r.mu.Unlock()
	request := &peerpb.RunStageRequest{
		Service: stage.Service, RequestId: r.RequestID, Stage: int32(i), Key: r.PieceKey, Inputs: stagework.Handles(inputs),
		ResultBytes: stage.ResultBytes, Priority: int32(r.Priority),
		DueMs:      time.Until(r.Due.Add(-tail)).Milliseconds(),
		DeadlineMs: min(time.Until(r.Deadline.Add(-tail)), r.inputLifetime(i)).Milliseconds(),
		Started:    started,
	}
	allowed := r.allowedRegions()
	request.RegionsBound, request.Regions = allowed.Bound(), allowed.Names()
	for _, j := range r.Graph.After[i] {
		producer := r.Route.Stages[j]
		request.InputBytes += int64(r.Graph.Counts[j]) * producer.ResultBytes
		// The inputs are freed before the stage ends only when memory for them is short:
		// without them its pieces can't be retried.
		request.TellFetched = request.TellFetched || r.resultMemoryShort(r.ownerKey(producer.Service))
	}
	request.FailureDomain = r.preferredDomain(request, inputs)
	for piece := range r.Graph.Counts[i] {
		request.Pieces = append(request.Pieces, int32(piece))
	}
	return request
}

// preferredDomain returns the failure domain in which a stage should run: the one that
// holds most of its inputs, as each piece fetches all of them, or the one where its
// results are used when those are larger.
func (r *stageRun) preferredDomain(request *peerpb.RunStageRequest, inputs []stagework.Result) string {
	if request.InputBytes <= request.ResultBytes {
		return r.FailureDomain
	}
	held := map[string]int{}
	preferred := r.FailureDomain
	for _, input := range inputs {
		domain := r.DomainOf(input)
		if held[domain]++; held[domain] > held[preferred] {
			preferred = domain
		}
	}
	return preferred
}

// inputLifetime returns how long the inputs of stage i are kept when they have just
// been produced. A stage that waits longer would find them gone.
func (r *stageRun) inputLifetime(i int) time.Duration {
	if life := r.inputLife(i); life > 0 {
		return life
	}
	return math.MaxInt64
}

// inputLife returns how long the inputs of stage i are kept after they were produced; 0 when
// that is unlimited.
func (p *StagePlan) inputLife(i int) (life time.Duration) {
	for _, j := range p.Graph.After[i] {
		producer := p.Table.Service(p.Route.Stages[j].Service)
		if producer == nil || producer.StageProfile == nil || producer.StageProfile.ResultLife <= 0 {
			continue
		}
		if life == 0 || producer.StageProfile.ResultLife < life {
			life = producer.StageProfile.ResultLife
		}
	}
	return life
}

// requestFrom has a stage run by the instance at an address, or by this one for an
// empty address, and polls until the stage has ended. It returns an error when a call
// is not answered in time.
func (r *stageRun) requestFrom(ctx context.Context, address string, i int, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	response, err := r.callRunStage(ctx, address, request)
	for err == nil && response.Pending != 0 {
		r.recordQueueState(r.ownerKey(request.Service), response)
		if response.InputsFetched {
			r.freeInputsOf(i)
		}
		response, err = r.callAwaitStage(ctx, address, newAwaitStageRequest(request.Service, response))
	}
	return response, err
}

func (r *stageRun) callRunStage(ctx context.Context, address string, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	if address == "" {
		return r.scheduler.RunStage(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	return r.peerClient.RunStage(ctx, address, request)
}

// newAwaitStageRequest returns the request that continues to wait for the pending job of a
// response.
func newAwaitStageRequest(service string, pending *peerpb.RunStageResponse) *peerpb.AwaitStageRequest {
	return &peerpb.AwaitStageRequest{Service: service, Job: pending.Pending, Process: pending.PendingProcess}
}

func (r *stageRun) callAwaitStage(ctx context.Context, address string, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	if address == "" {
		return r.scheduler.AwaitStage(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, peerAnswerTimeout)
	defer cancel()
	return r.peerClient.AwaitStage(ctx, address, request)
}
