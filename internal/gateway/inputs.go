package gateway

import (
	"context"
	"errors"
	"iter"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// chooseInputDomain returns the failure domain in which the inputs should be produced.
// For large inputs it is the one of the model server that the prompt would be placed
// on. Otherwise it is chosen by the shared part of the prompt and the distribution of
// the servers that produce the largest inputs.
func (g *generateRequest) chooseInputDomain() string {
	largest := g.largestInputStage()
	if largest < 0 {
		return ""
	}
	producers := g.producersOf(g.route.Stages[largest].Service)
	domain := engine.ChooseDomain(g.requestInfo.Prompt, producers, g.servers.RandomFloat64())
	if g.inputBytes() < largeInputBytes {
		return domain
	}
	placed, err := g.place(engine.Query{
		Prompt: g.requestInfo.Prompt, InputBytes: map[string]int64{domain: g.inputBytes()}, Excluded: g.tried, AskOnly: true,
	})
	if _, produces := producers[placed.FailureDomain]; err == nil && produces {
		return placed.FailureDomain
	}
	return domain
}

// largeInputBytes is the total size from which inputs are produced in the failure
// domain of the model server that caches the prompt.
const largeInputBytes = 100 << 10

// largestInputStage returns the index of the final stage with the largest results, -1
// when there is none.
func (g *generateRequest) largestInputStage() int {
	largest := -1
	for _, i := range g.graph.Final {
		if largest < 0 || g.route.Stages[i].ResultBytes > g.route.Stages[largest].ResultBytes {
			largest = i
		}
	}
	return largest
}

// inputBytes returns the approximate total size of all inputs.
func (g *generateRequest) inputBytes() (bytes int64) {
	for _, i := range g.graph.Final {
		bytes += int64(g.graph.Counts[i]) * g.route.Stages[i].ResultBytes
	}
	return bytes
}

// inputsByDomain returns the approximate size in bytes of the produced inputs by the
// failure domain of their producers, which may differ from inputDomain.
func (g *generateRequest) inputsByDomain() map[string]int64 {
	bytes := map[string]int64{}
	for input, stage := range g.allInputs() {
		bytes[g.domainOf(input)] += stage.ResultBytes
	}
	return bytes
}

// allInputs yields each produced input with the stage that produced it.
func (g *generateRequest) allInputs() iter.Seq2[stagework.Result, *route.Stage] {
	return func(yield func(stagework.Result, *route.Stage) bool) {
		next := 0
		for _, i := range g.graph.Final {
			for range g.graph.Counts[i] {
				if !yield(g.inputs[next], &g.route.Stages[i]) {
					return
				}
				next++
			}
		}
	}
}

// domainOf returns the failure domain of the server that holds a result, or an empty
// string when that server is no longer registered.
func (g *generateRequest) domainOf(result stagework.Result) string {
	server, _ := producerOf(g.views.Current(), result.Producer)
	return server.FailureDomain
}

// producerOf returns the registration of the process that holds a result, also of a draining
// one, and false when it is no longer registered. Entries that do not say when a server
// started give all its starts the same incarnation, so a server of a service that runs no
// stages is none either.
func producerOf(v *view.View, p stagework.Producer) (view.Server, bool) {
	server, listed := v.ByID(p.Server)
	if !listed || server.Incarnation != p.Incarnation || !runsStages(v.Table, server.Service) {
		return view.Server{}, false
	}
	return server, true
}

// runsStages reports whether the servers of a service run pieces of stages. Those of a service
// that the configuration no longer has did, as far as is known.
func runsStages(table *route.Table, service string) bool {
	if table == nil {
		return true
	}
	configured := table.Service(service)
	return configured == nil || configured.StageProfile != nil
}

// crossDomainBytes returns the size of the inputs that are in other failure domains
// than the given one.
func crossDomainBytes(inputs map[string]int64, domain string) (bytes int64) {
	for inputDomain, size := range inputs {
		if inputDomain != domain {
			bytes += size
		}
	}
	return bytes
}

// prepareInputs runs the stages unless their results exist. When ready is false, the
// try is over, and ended says whether the request is too.
func (g *generateRequest) prepareInputs() (ready, ended bool) {
	if g.graph.Empty() || g.inputs != nil {
		return true, false
	}
	if g.inputDomain == "" {
		g.inputDomain = g.chooseInputDomain()
	}
	var typicalDelay time.Duration
	g.servers.WithEngineScheduler(g.service.Name, func(s *engine.Scheduler) { typicalDelay = s.TypicalDelay() })
	ctx, cancel := g.waitingContext()
	defer cancel()
	g.stageRegions = g.chooseStageRegions()
	plan := StagePlan{
		RequestID: g.requestInfo.ID, PieceKey: g.requestInfo.PieceKey, Table: g.view.Table, Route: g.route, Graph: g.graph, Priority: g.priority,
		Due:           g.arrived.Add(g.route.Target - typicalDelay),
		Deadline:      g.stagesDeadline(typicalDelay),
		FailureDomain: g.inputDomain, DomainOf: g.domainOf, Regions: g.stageRegions, Allowed: g.allowedRegions,
	}
	inputs, err := g.stages.Run(ctx, plan)
	if err == nil {
		g.inputs = inputs
		return true, false
	}
	if g.clientGone() || g.expired() {
		return false, g.endIncomplete()
	}
	if ctx.Err() != nil {
		return false, g.giveUp("draining", shortRetryAfter, nil)
	}
	if ended, handled := g.handleRegionError(err); handled {
		return false, ended
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return false, g.giveUp("stages failed", shortRetryAfter, err)
	}
	if refused.Reason == stagework.RefusedInputGone && time.Now().Before(g.arrived.Add(g.route.Target)) {
		return false, g.rerunStages("stages: inputs were lost")
	}
	if refused.Reason == stagework.RefusedLate {
		return false, g.refuseLate(plan, refused)
	}
	return false, g.giveUp("stages: "+string(refused.Reason), refused.Wait, err)
}

// waitingContext returns a context of the request that also ends when a shutdown
// refuses the requests that wait for their stages.
func (g *generateRequest) waitingContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(g.ctx)
	stop := context.AfterFunc(g.drain.waitingCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// stagesDeadline returns when the stages must end, so that a run of typical length at
// the model server ends by the deadline and its first event arrives before the client
// cancels a stream without events. typicalDelay is the typical time from the send of a
// request to its first event.
func (g *generateRequest) stagesDeadline(typicalDelay time.Duration) time.Time {
	end := g.deadline.Add(-max(typicalDelay, g.runTimes.mean(g.route.Name)))
	if cancelled := g.arrived.Add(g.route.MaxFirstEventWait - typicalDelay); g.route.MaxFirstEventWait > 0 && cancelled.Before(end) {
		return cancelled
	}
	return end
}

// producersLive reports whether the servers that hold the inputs are still registered.
// Results are lost when their producer exits, which may be at any time after its
// registration has ended.
func (g *generateRequest) producersLive() bool {
	current := g.views.Current()
	for _, result := range g.inputs {
		if _, ok := producerOf(current, result.Producer); !ok {
			return false
		}
	}
	return true
}

// rerunStages frees the inputs so that the next try runs the stages again. It ends the
// request, and returns true, when no rerun is left or too little time.
func (g *generateRequest) rerunStages(reason string) bool {
	g.freeInputs()
	if g.stageReruns++; g.stageReruns > maxStageReruns || g.remaining() < minRetryTime {
		return g.giveUp(reason, shortRetryAfter, nil)
	}
	return false
}

// freeInputs frees the results that the request holds.
func (g *generateRequest) freeInputs() {
	if len(g.inputs) == 0 {
		return
	}
	g.stages.FreeAll(g.stageRegions, g.inputsByService())
	g.inputs = nil
}

// inputsByService returns the inputs by the stage service that produced them, as result
// memory is counted per service.
func (g *generateRequest) inputsByService() map[string][]stagework.Result {
	results := map[string][]stagework.Result{}
	for input, stage := range g.allInputs() {
		results[stage.Service] = append(results[stage.Service], input)
	}
	return results
}

// freeInputsWhenFetched frees the inputs at the time by which the model server that the
// request is sent to is expected to have fetched them. The returned function stops the
// timer and reports whether the inputs were freed.
func (g *generateRequest) freeInputsWhenFetched() (stop func() bool) {
	if len(g.inputs) == 0 {
		return func() bool { return false }
	}
	results, ran := g.inputsByService(), g.stageRegions
	timer := time.AfterFunc(g.fetchEstimates.timeUntilFetched(g.service.Name, g.view.Table, results, g.inputBytes()), func() { g.stages.FreeAll(ran, results) })
	return func() bool {
		if timer.Stop() {
			return false
		}
		g.inputs = nil
		return true
	}
}
