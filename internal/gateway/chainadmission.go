package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// stageOverhead is the time of a stage besides the wait and the call: the messages between
// instances and the fetch of the inputs.
const stageOverhead = 40 * time.Millisecond

// decodeWaits returns the waits in a response of the owner of a service.
func decodeWaits(response *peerpb.RunStageResponse) stagework.Waits {
	w := stagework.Waits{All: time.Duration(response.WaitMs) * time.Millisecond, Call: time.Duration(response.CallMs) * time.Millisecond}
	for _, ms := range response.LevelWaitMs {
		w.Levels = append(w.Levels, time.Duration(ms)*time.Millisecond)
	}
	return w
}

// decideChain estimates whether the stages of a plan can end in time. It returns false
// when a service doesn't order by priority or its state is not known: the request is then
// admitted, and each owner decides about its own stage.
func (s *StageRunner) decideChain(now time.Time, plan StagePlan) (stagework.ChainDecision, bool) {
	request := stagework.ChainRequest{Priority: plan.Priority, Due: plan.Due, Deadline: plan.Deadline}
	for i, stage := range plan.Route.Stages {
		if plan.Graph.Counts[i] == 0 {
			request.Stages = append(request.Stages, stagework.ChainStage{Omitted: true})
			continue
		}
		service := plan.Table.Service(stage.Service)
		waits, known := s.freshWaits(plan.ownerKey(stage.Service), now)
		if !known || service == nil || service.StageProfile == nil {
			return stagework.ChainDecision{}, false
		}
		call := service.StageProfile.CallDuration(min(plan.Graph.Counts[i], service.StageProfile.Batch))
		request.Stages = append(request.Stages, stagework.ChainStage{After: plan.Graph.After[i], Waits: waits, Call: max(call, waits.Call), InputLife: plan.inputLife(i)})
	}
	return stagework.DecideChain(now, request), true
}

// freshWaits returns the last reported waits of a service that orders by priority, and
// false when they are older than queueStateMaxAge.
func (s *StageRunner) freshWaits(owner regionKey, now time.Time) (stagework.Waits, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.queueStates[owner]
	return state.waits, len(state.waits.Levels) > 0 && now.Sub(state.reportedAt) < queueStateMaxAge
}

// holdInterval is how often the decision about a request is repeated that is held back before
// its first stage.
const holdInterval = 100 * time.Millisecond

// admit holds a plan back until its first stage should begin. It returns an error when its
// stages can't end by their deadline. Nothing is known about that before the owners of their
// services have reported their queues.
func (s *StageRunner) admit(ctx context.Context, plan StagePlan) error {
	for {
		now := time.Now()
		decision, known := s.decideChain(now, plan)
		switch {
		case !known || decision.Excess == 0 && decision.Hold == 0:
			return nil
		case decision.Excess > 0:
			return s.refuseAtOnce(ctx, plan, decision, now)
		}
		timer := time.NewTimer(min(decision.Hold, holdInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// refuseAtOnce returns the refusal of a plan for which no stage was begun.
func (s *StageRunner) refuseAtOnce(ctx context.Context, plan StagePlan, decision stagework.ChainDecision, now time.Time) error {
	back := decision.ReturnAfter(plan.Deadline.Sub(now), s.random())
	s.metrics.refusedAtOnce.Inc(1)
	events.ChainRefused.Log(ctx, s.logger, slog.String("id", plan.RequestID), slog.Int("priority", plan.Priority),
		slog.Int64("excess_ms", decision.Excess.Milliseconds()), slog.Int64("waiting_ms", decision.Waiting.Milliseconds()),
		slog.Int64("left_ms", plan.Deadline.Sub(now).Milliseconds()), slog.Bool("hopeless", back.Hopeless))
	return &RefusedError{Reason: stagework.RefusedLate, AtOnce: true, Wait: back.After, Hopeless: back.Hopeless}
}

// returnAfter returns when the client of a request may come back whose stage was refused as
// late by its owner after the given wait of its queue.
func (s *StageRunner) returnAfter(plan StagePlan, wait time.Duration) stagework.Return {
	now := time.Now()
	decision, known := s.decideChain(now, plan)
	if !known {
		return stagework.Return{After: wait}
	}
	decision.Waiting = max(decision.Waiting, wait)
	return decision.ReturnAfter(plan.Deadline.Sub(now), s.random())
}

// refuseLate ends a request whose stages can't end by the deadline.
func (g *generateRequest) refuseLate(plan StagePlan, refused *RefusedError) bool {
	back := stagework.Return{After: refused.Wait, Hopeless: refused.Hopeless}
	if !refused.AtOnce {
		back = g.stages.returnAfter(plan, refused.Wait)
	}
	if back.Hopeless {
		return g.giveUp("stages: no capacity before the deadline", back.After, refused)
	}
	return g.giveUp("stages: "+string(refused.Reason), back.After, refused)
}

// recordWaste counts the results of finished stages that a refused request no longer needs.
func (s *StageRunner) recordWaste(ctx context.Context, plan StagePlan, results [][]stagework.Result) {
	wasted := 0
	for _, produced := range results {
		wasted += len(produced)
	}
	if wasted == 0 {
		return
	}
	s.metrics.wastedResults.Inc(int64(wasted))
	events.StageWorkWasted.Log(ctx, s.logger, slog.String("id", plan.RequestID), slog.Int("results", wasted))
}

// chainMetrics are the metrics of admission.
type chainMetrics struct {
	refusedAtOnce, wastedResults tally.Counter
}

func newChainMetrics(scope tally.Scope) chainMetrics {
	return chainMetrics{refusedAtOnce: scope.Counter("chains_refused_at_once"), wastedResults: scope.Counter("stage_results_wasted")}
}
