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
	// silenceLimit is how long an instance that forms calls may stay silent: it
	// answers within pendingAfter even when the stage has not ended. The rest leaves
	// a slow machine time.
	silenceLimit = pendingAfter + 350*time.Millisecond
	// maxCallers is the number of instances that are asked for one stage.
	maxCallers = 3
)

// ask has a stage run by the instance that forms the calls of its service, or by
// the next one when that does not answer.
func (r *run) ask(ctx context.Context, i int, inputs []string) ([]string, error) {
	stage := r.Route.Stages[i]
	callers := r.cluster.Callers(stage.Service)
	callers = callers[:min(maxCallers, len(callers))]
	var failed error
	for try, address := range callers {
		started := time.Now()
		request := r.request(i, inputs)
		request.Forced = try == len(callers)-1
		response, err := r.askOne(ctx, address, i, request)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			failed = err
			r.cluster.Avoid(address)
			events.StagePeerFailed.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("address", address),
				slog.Int64("waited_ms", time.Since(started).Milliseconds()), slog.Any("error", err))
			continue
		}
		if response.Refusal == string(stagework.RefusedMoved) {
			r.cluster.Avoid(address)
			events.StageMoved.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("address", address))
			continue
		}
		events.StageEnded.Log(ctx, r.logger, slog.String("id", r.RequestID), slog.Int("stage", i), slog.String("service", stage.Service),
			slog.Int("pieces", r.Graph.Counts[i]), slog.String("caller", address), slog.Int64("took_ms", time.Since(started).Milliseconds()),
			slog.Int64("left_ms", time.Until(r.Deadline).Milliseconds()), slog.Int64("queue_ms", response.WaitMs), slog.String("refusal", response.Refusal))
		r.learn(stage.Service, response)
		if response.Refusal != "" {
			return nil, &RefusedError{Stage: i, Reason: stagework.Refusal(response.Refusal), Wait: time.Duration(response.WaitMs) * time.Millisecond}
		}
		if len(response.Results) != r.Graph.Counts[i] {
			return nil, fmt.Errorf("stage %d has %d results for %d pieces", i, len(response.Results), r.Graph.Counts[i])
		}
		return response.Results, nil
	}
	return nil, errors.Join(&RefusedError{Stage: i, Reason: stagework.RefusedFailed}, failed)
}

// request describes a stage to the instance that runs it.
func (r *run) request(i int, inputs []string) *peerpb.RunStageRequest {
	stage := r.Route.Stages[i]
	r.mu.Lock()
	tail, begun := r.progress.Tail(i), r.progress.AnyEnded()
	r.mu.Unlock()
	request := &peerpb.RunStageRequest{
		Service: stage.Service, RequestId: r.RequestID, Stage: int32(i), Key: r.Key, Inputs: inputs,
		ResultBytes: stage.ResultBytes, Priority: int32(r.Priority),
		DueMs:      time.Until(r.Due.Add(-tail)).Milliseconds(),
		DeadlineMs: min(time.Until(r.Deadline.Add(-tail)), r.inputsLife(i)).Milliseconds(),
		Started:    begun,
	}
	for _, j := range r.Graph.After[i] {
		before := r.Route.Stages[j]
		request.InputBytes += int64(r.Graph.Counts[j]) * before.ResultBytes
		request.TellFetched = request.TellFetched || r.roomShort(before.Service)
	}
	request.FailureDomain = r.domain(request)
	for piece := range r.Graph.Counts[i] {
		request.Pieces = append(request.Pieces, int32(piece))
	}
	return request
}

// domain returns the failure domain in which a stage should run: where most of its
// inputs are, as each piece fetches all of them, or where its results are used when
// those are larger.
func (r *run) domain(request *peerpb.RunStageRequest) string {
	if request.InputBytes <= request.ResultBytes {
		return r.FailureDomain
	}
	held := map[string]int{}
	most := r.FailureDomain
	for _, input := range request.Inputs {
		at := r.DomainOf(input)
		if held[at]++; held[at] > held[most] {
			most = at
		}
	}
	return most
}

// inputsLife returns how long the inputs of a stage are kept, if they were made just
// now. A stage that waits longer would find them gone.
func (r *run) inputsLife(i int) time.Duration {
	life := time.Duration(math.MaxInt64)
	for _, j := range r.Graph.After[i] {
		if producer := r.Table.Service(r.Route.Stages[j].Service); producer != nil && producer.StageProfile != nil && producer.StageProfile.ResultLife > 0 {
			life = min(life, producer.StageProfile.ResultLife)
		}
	}
	return life
}

// askOne asks one instance, or this one for an empty address, until the stage has
// ended. An instance that stays silent is given up.
func (r *run) askOne(ctx context.Context, address string, i int, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	response, err := r.call(ctx, address, request)
	for err == nil && response.Pending != 0 {
		if response.InputsFetched {
			r.release(i)
		}
		response, err = r.await(ctx, address, &peerpb.AwaitStageRequest{Service: request.Service, Job: response.Pending})
	}
	return response, err
}

func (r *run) call(ctx context.Context, address string, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	if address == "" {
		return r.local.RunStage(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return r.client.RunStage(ctx, address, request)
}

func (r *run) await(ctx context.Context, address string, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	if address == "" {
		return r.local.AwaitStage(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return r.client.AwaitStage(ctx, address, request)
}
