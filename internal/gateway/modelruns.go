package gateway

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
)

// modelRun is what is known of the last send of a request to a model server. Its end is
// reported to the instance that places the prompts of the service.
type modelRun struct {
	placed placement
	// recorded is true while the instance that places the prompts counts the run.
	recorded bool
	// firstEventAt is the time of the first event, zero before, and eventsBefore the number of
	// events that the client had before the send.
	firstEventAt time.Time
	eventsBefore int
	// complete is true once the stream was passed on completely.
	complete bool
	// load is what the server said of its load; nil when it did not.
	load *engine.Load
}

// observeLoad records what an answer says of the server's load.
func (r *modelRun) observeLoad(info AnswerInfo) {
	if info.Load != nil {
		r.load = &engine.Load{Running: info.Load.Running, Waiting: info.Load.Waiting}
	}
}

// run returns what the request needs of a model server beside its prompt.
func (g *generateRequest) run() engine.Run {
	return engine.Run{ID: g.requestInfo.ID, Kind: g.route.Name, OutputTokens: g.outputTokens(), Priority: g.priority}
}

// minTokenTime is the least time in which a model server generates an output token.
const minTokenTime = time.Millisecond

// outputTokens returns the output that the request is counted with: what it expects, but no more
// than a model server can generate until the deadline or hold beside the prompt.
func (g *generateRequest) outputTokens() int {
	tokens := min(g.requestInfo.OutputTokens, int(g.deadline.Sub(g.arrived)/minTokenTime))
	if memory := g.service.Engine.CacheTokens; memory > 0 {
		tokens = min(tokens, memory-g.requestInfo.promptTokens())
	}
	return tokens
}

// maxRoomWait returns how long the request can wait for room at a model server: until its
// deadline, or until its client stops waiting for the first event.
func (g *generateRequest) maxRoomWait() time.Duration {
	wait := g.remaining()
	if limit := g.route.MaxFirstEventWait; limit > 0 && !g.stream.started {
		wait = min(wait, limit-time.Since(g.arrived))
	}
	return max(wait, time.Millisecond)
}

// beginRun records that the request is counted at the server of a placement.
func (g *generateRequest) beginRun(placed placement) {
	g.lastRun = modelRun{placed: placed, recorded: g.service.Engine.Slots > 0, eventsBefore: g.stream.events}
}

// endRun reports the end of the last run unless a failure or a refusal was reported.
func (g *generateRequest) endRun() {
	run := &g.lastRun
	if !run.recorded {
		return
	}
	r := engine.Report{RunReport: engine.RunReport{Ended: true, Complete: run.complete}}
	if !run.firstEventAt.IsZero() {
		r.Took, r.Events = time.Since(run.firstEventAt), g.stream.events-run.eventsBefore
	}
	g.report(run.placed, r)
}

func encodeRun(r engine.Run) *peerpb.ModelRun {
	return &peerpb.ModelRun{RequestId: r.ID, Kind: r.Kind, OutputTokens: int64(r.OutputTokens), Priority: int32(r.Priority)}
}

func decodeRun(r *peerpb.ModelRun) engine.Run {
	return engine.Run{ID: r.GetRequestId(), Kind: r.GetKind(), OutputTokens: int(r.GetOutputTokens()), Priority: int(r.GetPriority())}
}

// encodeRunReport sets what a report says of the run.
func encodeRunReport(request *peerpb.ReportPlacementRequest, r engine.RunReport) {
	request.Run = encodeRun(r.Run)
	request.Ended, request.Complete = r.Ended, r.Complete
	request.TookUs, request.Events = r.Took.Microseconds(), int64(r.Events)
	if r.Load != nil {
		request.Load = &peerpb.ModelServerLoad{Running: int64(r.Load.Running), Waiting: int64(r.Load.Waiting)}
	}
}

func decodeRunReport(request *peerpb.ReportPlacementRequest) engine.RunReport {
	r := engine.RunReport{
		Run: decodeRun(request.Run), Ended: request.Ended, Complete: request.Complete,
		Took: time.Duration(request.TookUs) * time.Microsecond, Events: int(request.Events),
	}
	if load := request.Load; load != nil {
		r.Load = &engine.Load{Running: int(load.Running), Waiting: int(load.Waiting)}
	}
	return r
}
