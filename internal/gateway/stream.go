package gateway

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// generateRequest is the state of a client request that a model server runs.
type generateRequest struct {
	*clientRequest
	graph route.Graph
	// inputDomain is the failure domain in which the inputs should be produced.
	inputDomain string
	// inputs are the final results of the stages, nil before the stages
	// have run and after the results were freed.
	inputs []stagework.Result
	// stageRegions holds the regions other than the instance's own in which the stages ran,
	// by service.
	stageRegions map[string]string
	// tried holds the IDs of the model servers that must not be chosen again.
	tried       []string
	unsentTries int
	stageReruns int
	stream      clientStream
	// answerStart fires when the answer of the last send has begun; nil before its first
	// event.
	answerStart *time.Timer
	// crashes is the number of servers that ended under the request, as far as known.
	crashes int
	// trialWait is how long the request has waited for the trial of another one.
	trialWait time.Duration
	lastRun   modelRun
}

// maxStageReruns bounds how often the stages run again because results were lost.
const maxStageReruns = 1

// serveEngine runs the stages of a request and sends it to a model server.
func (c *clientRequest) serveEngine() {
	g := &generateRequest{clientRequest: c, graph: c.route.NewGraph(c.requestInfo.PieceCounts), stream: clientStream{lastID: c.requestInfo.LastEventID}}
	defer g.freeInputs()
	for !g.try() {
	}
}

// try runs the stages unless their results exist, and sends the request to one server.
// It returns true when the request has ended.
func (g *generateRequest) try() bool {
	if g.refuseQuarantined() {
		return true
	}
	if g.endUnserved() {
		return true
	}
	if g.inputs == nil && g.refuseLimited() {
		return true
	}
	if ready, ended := g.prepareInputs(); !ready {
		return ended
	}
	if !g.producersLive() {
		return g.rerunStages("a producer of inputs has left")
	}
	if !g.inputsAllowed() {
		return g.rerunStages("inputs are in a region that is no longer allowed")
	}
	inputs := g.inputsByDomain()
	unavailable := g.client.withheldServers(g.service.Name)
	placed, err := g.place(engine.Query{
		Prompt: g.requestInfo.Prompt, InputBytes: inputs, Excluded: append(unavailable, g.tried...),
		Run: g.run(), MaxWait: g.maxRoomWait(),
	})
	if err != nil {
		return g.handleNotPlaced(err)
	}
	g.beginRun(placed)
	defer g.endRun()
	g.tried = append(g.tried, placed.Server)
	server, known := g.servers.Server(placed.Server)
	if !known {
		return false // the server was removed since it was chosen
	}
	g.answerStart = nil
	urgency := min(maxUrgency, g.priority+baseUrgency)
	sent := time.Now()
	g.log(events.AttemptSent, slog.String("server", placed.Server), slog.String("route", g.route.Name), slog.Int("try", len(g.tried)),
		slog.Int64("left_ms", g.remaining().Milliseconds()), slog.Int("inputs", len(g.inputs)), slog.Int64("expected_ms", placed.Expected.Milliseconds()),
		slog.String("copy_from", placed.CopyFrom), slog.Bool("on_trial", placed.onTrial), slog.Int64("crossing_bytes", crossDomainBytes(inputs, placed.FailureDomain)),
		slog.Any("prompt", sharedPartIDs(g.requestInfo.Prompt)), slog.Int64("view", g.viewVersion()))
	request := g.outgoingRequest(server, SendInfo{Urgency: &urgency, Inputs: stagework.Handles(g.inputs), LastEventID: g.stream.lastID, CopyFrom: g.copySource(placed)})
	stop := g.freeInputsWhenFetched()
	answer, err := g.client.Send(g.ctx, server, request)
	freed := stop()
	if err != nil {
		return g.handleSendError(placed, err, sent)
	}
	g.sends++
	defer answer.Close()
	info := g.protocol.ReadAnswer(answer.Status, answer.Header)
	g.lastRun.observeLoad(info)
	if freed {
		g.fetchEstimates.record(g.service.Name, !info.InputsLost)
	}
	return g.handleAnswer(placed, answer, info, sent)
}

// copySource returns the address of the server from which the chosen one copies cached parts
// of the prompt, empty when there is none or it has restarted since.
func (g *generateRequest) copySource(placed placement) string {
	source, known := g.servers.Server(placed.CopyFrom)
	if !known || source.Incarnation != placed.CopyFromIncarnation || !g.mayCopyFrom(placed.CopyFrom) {
		return ""
	}
	return source.Address
}

// report records the outcome of a placement.
func (g *generateRequest) report(placed placement, r engine.Report) {
	r.Server, r.Incarnation, r.Run = placed.Server, placed.Incarnation, g.run()
	if r.Failed || r.Refused {
		g.lastRun.recorded = false
	}
	if placed.owner != "" {
		g.placer.reportTo(placed.owner, g.service.Name, r)
		return
	}
	g.placer.Report(g.service.Name, r)
}

// refuseLimited ends a request before its stages run if its model servers are known to take no
// requests now. It asks the instance that places the prompts when some of them have a limit or
// were lately full.
func (g *generateRequest) refuseLimited() bool {
	if wait := g.shortestWait(); wait > 0 {
		return g.giveUp("servers take no requests now", wait, nil)
	}
	if len(g.client.permits.LimitedServers(g.service.Name)) == 0 && !g.placer.wasFull(g.service.Name) {
		return false
	}
	_, err := g.place(engine.Query{Prompt: g.requestInfo.Prompt, Excluded: g.tried, AskOnly: true, Run: g.run(), MaxWait: g.maxRoomWait()})
	var limited *LimitedError
	return errors.As(err, &limited) && g.handleNotPlaced(err)
}

// Urgencies at a model server: 0 is served first, and 5 is the default for other
// callers.
const (
	baseUrgency = 3
	maxUrgency  = 9
)

// giveUp ends the request after a try that did not run it. It returns true, as try does
// when the request has ended.
func (g *generateRequest) giveUp(reason string, retry time.Duration, err error) bool {
	switch {
	case g.stream.started:
		g.abort(errors.Join(errors.New(reason), err))
	case g.clientGone() || g.expired():
		g.endUnanswered()
	default:
		g.refuse(reason, retry)
	}
	return true
}

// handleSendError handles a send without an answer. It returns true when the request has
// ended.
func (g *generateRequest) handleSendError(placed placement, err error, sent time.Time) bool {
	if g.clientGone() || g.expired() {
		return g.endIncomplete()
	}
	g.logSendFailed(placed.Server, err)
	if withheld(err) {
		g.report(placed, engine.Report{Refused: true})
		return false
	}
	g.report(placed, engine.Report{Failed: true})
	if errors.Is(err, upstream.ErrNotSent) {
		if g.unsentTries++; g.unsentTries >= maxUnsentTries {
			return g.giveUpNotReached(placed.FailureDomain, err)
		}
		return false
	}
	g.sends++
	g.handleCutShort(placed, sent)
	return g.resumeOrFail(err)
}

// endIncomplete ends a request whose client has disconnected or whose deadline has
// passed, also in the middle of a stream. It returns true, as try does when the request
// has ended.
func (g *generateRequest) endIncomplete() bool {
	if g.stream.started && !g.clientGone() {
		g.abort(errDeadlinePassed)
	}
	g.endUnanswered()
	return true
}

// resumeOrFail handles a send that may have run the request without a complete answer.
// It returns false for another server to run or resume the request if the route allows
// that, otherwise it ends the request.
func (g *generateRequest) resumeOrFail(err error) bool {
	g.mayHaveRun = true
	if g.route.Repeatable() && !g.stream.unnumbered && g.crashes < maxCrashesPerRequest && g.mayRetry() {
		if g.stream.started {
			g.metrics.resumed.Inc(1)
			g.log(events.StreamResumed, slog.String("after", g.stream.lastID), slog.Int("events", g.stream.events))
		}
		return false
	}
	if g.stream.started {
		g.abort(err)
	}
	g.fail(http.StatusBadGateway, "no answer from the model server", err)
	return true
}

// handleAnswer handles the answer of a model server. It returns true when the request
// has ended.
func (g *generateRequest) handleAnswer(placed placement, answer *upstream.Answer, info AnswerInfo, sent time.Time) bool {
	switch {
	case info.InputsLost:
		g.logAnswerFailed(placed.Server, answer, nil)
		// The server can run the request when the stages have produced its inputs again.
		g.sends--
		g.tried = g.tried[:len(g.tried)-1]
		return g.rerunStages("inputs were lost")
	case info.NotRun:
		g.report(placed, engine.Report{Refused: true})
		g.logAnswerFailed(placed.Server, answer, nil)
		if g.mayRetry() {
			return false
		}
		return g.giveUp("servers are full", g.retryAfter(), nil)
	case info.Unverified:
		return g.handleBrokenStream(placed, answer, 0, errUnverifiedAnswer, sent)
	}
	g.mayHaveRun = true
	if answer.Status == http.StatusOK {
		return g.relay(placed, answer, sent)
	}
	g.report(placed, engine.Report{Failed: true})
	g.logAnswerFailed(placed.Server, answer, nil)
	if g.route.Repeatable() && g.mayRetry() {
		return false
	}
	switch {
	case g.stream.started:
		g.abort(errors.New("model server failed after the stream began"))
	case impliesNotRun(answer.Status):
		g.fail(http.StatusBadGateway, "model server refused without saying that it did not run", nil)
	default:
		if err := g.forwardAnswer(answer, placed.Server); err != nil {
			g.fail(http.StatusBadGateway, "answer of the model server broke off", err)
		}
	}
	return true
}

// relay passes on the events of an answer. It returns true when the request has ended.
func (g *generateRequest) relay(placed placement, answer *upstream.Answer, sent time.Time) bool {
	unfinished, err := g.relayEvents(&g.stream, answer, func() { g.recordFirstEvent(placed, time.Since(sent)) })
	if err != nil {
		return g.handleBrokenStream(placed, answer, unfinished, err, sent)
	}
	if g.stopAnswerStart() {
		g.recordAnswerBegan(placed)
	}
	g.lastRun.complete = true
	g.runTimes.observe(g.route.Name, time.Since(sent))
	g.recordAnswered(answer, placed.Server, slog.Int("events", g.stream.events))
	return true
}

// recordFirstEvent records the arrival of the first event and frees the inputs, which
// the model server has fetched by then.
func (g *generateRequest) recordFirstEvent(placed placement, delay time.Duration) {
	now := time.Now()
	g.firstEventDelay = delay
	g.answerBegan(placed)
	g.lastRun.firstEventAt = now
	g.report(placed, engine.Report{Expected: placed.Expected, Delay: delay, RunReport: engine.RunReport{Load: g.lastRun.load}})
	g.metrics.timeToFirstEvent.RecordDuration(now.Sub(g.arrived))
	g.freeInputs()
}

// handleBrokenStream handles a stream that broke off. Its last event, of which
// unfinishedBytes were received, is dropped. It returns true when the request has ended.
func (g *generateRequest) handleBrokenStream(placed placement, answer *upstream.Answer, unfinishedBytes int, err error, sent time.Time) bool {
	if g.clientGone() || g.expired() {
		return g.endIncomplete()
	}
	g.report(placed, engine.Report{Failed: true})
	g.logStreamBroken(placed.Server, answer, g.stream, unfinishedBytes, err)
	if g.stopAnswerStart() {
		g.handleCutShort(placed, sent)
	}
	return g.resumeOrFail(err)
}
