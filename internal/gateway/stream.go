package gateway

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// generateRequest is a request to a model server.
type generateRequest struct {
	*clientRequest
	graph route.Graph
	// inputDomain is the failure domain in which the inputs are made.
	inputDomain string
	// inputs are the final results of the stages while they are held.
	inputs      []string
	tried       []string
	unsentTries int
	stageReruns int
	lastID      string
	streaming   bool
	eventsSent  int
}

// maxStageReruns bounds how often lost results are made again.
const maxStageReruns = 1

// serveEngine runs the stages of a request and sends it to a model server.
func (a *clientRequest) serveEngine() {
	g := &generateRequest{clientRequest: a, graph: a.route.NewGraph(a.requestInfo.PieceCounts), lastID: a.requestInfo.LastEventID}
	defer g.freeInputs()
	for !g.try() {
	}
}

// try runs the stages and sends the request to one server. It returns true when the
// request has its answer.
func (g *generateRequest) try() bool {
	if ready, ended := g.prepareInputs(); !ready {
		return ended
	}
	if !g.producersLive() {
		return g.rerunStages("a producer of inputs has left")
	}
	inputs := g.inputsByDomain()
	placed, ok := g.placer.Place(g.ctx, g.requestInfo.ID, g.service.Name, engine.Query{
		Prompt: g.requestInfo.Prompt, InputBytes: inputs, Excluded: g.tried,
	})
	if !ok {
		return g.giveUp("no server", longRetryAfter, nil)
	}
	g.tried = append(g.tried, placed.Server)
	target, known := g.fleet.Server(placed.Server)
	if !known {
		return false // it left in this moment
	}
	urgency := min(maxUrgency, g.priority+baseUrgency)
	sent := time.Now()
	g.log(events.AttemptSent, slog.String("server", placed.Server), slog.String("route", g.route.Name), slog.Int("try", len(g.tried)),
		slog.Int64("left_ms", g.remaining().Milliseconds()), slog.Int("inputs", len(g.inputs)), slog.Int64("expected_ms", placed.Expected.Milliseconds()),
		slog.String("copy_from", placed.CopyFrom), slog.Int64("crossing_bytes", crossDomainBytes(inputs, placed.FailureDomain)),
		slog.Int64("view", g.viewVersion()))
	source, _ := g.fleet.Server(placed.CopyFrom)
	request := g.outgoingRequest(target, SendInfo{Urgency: &urgency, Inputs: g.inputs, LastEventID: g.lastID, CopyFrom: source.Address})
	stop := g.freeInputsWhenFetched()
	answer, err := g.upstream.Send(g.ctx, target, request)
	freed := stop()
	if err != nil {
		return g.handleSendError(placed, err)
	}
	g.sends++
	defer answer.Close()
	info := g.protocol.ReadAnswer(answer.Status, answer.Header)
	if freed {
		g.fetchEstimates.record(g.service.Name, !info.InputsLost)
	}
	return g.handleAnswer(placed, answer, info, sent)
}

// Urgencies of model servers: 0 is first and 5 is the default of other callers.
const (
	baseUrgency = 3
	maxUrgency  = 9
)

// giveUp ends the request, whose last send did not run.
func (g *generateRequest) giveUp(reason string, retry time.Duration, err error) bool {
	switch {
	case g.streaming:
		g.abort(errors.Join(errors.New(reason), err))
	case g.clientGone() || g.expired():
		g.endUnanswered()
	default:
		g.refuse(reason, retry)
	}
	return true
}

// handleSendError handles a send without an answer.
func (g *generateRequest) handleSendError(placed engine.Placement, err error) bool {
	if g.clientGone() || g.expired() {
		return g.endIncomplete()
	}
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Failed: true})
	g.logSendFailed(upstream.Server{ID: placed.Server}, 0, err)
	if errors.Is(err, upstream.ErrNotSent) {
		if g.unsentTries++; g.unsentTries >= maxUnsentTries {
			return g.giveUp("servers are not reached", shortRetryAfter, err)
		}
		return false
	}
	g.sends++
	return g.resumeOrFail(err)
}

// endIncomplete answers a request whose client left or whose deadline has passed.
func (g *generateRequest) endIncomplete() bool {
	if g.streaming && !g.clientGone() {
		g.abort(errDeadlinePassed)
	}
	g.endUnanswered()
	return true
}

// resumeOrFail handles a broken send: another server goes on where the kind allows
// it.
func (g *generateRequest) resumeOrFail(err error) bool {
	g.mayHaveRun = true
	if g.route.Repeatable() && g.mayRetry() {
		if g.streaming {
			g.metrics.resumed.Inc(1)
			g.log(events.StreamResumed, slog.String("after", g.lastID), slog.Int("events", g.eventsSent))
		}
		return false
	}
	if g.streaming {
		g.abort(err)
	}
	g.fail(http.StatusBadGateway, "no answer from the model server", err)
	return true
}

// handleAnswer handles an answer of a model server.
func (g *generateRequest) handleAnswer(placed engine.Placement, answer *upstream.Answer, info AnswerInfo, sent time.Time) bool {
	switch {
	case info.InputsLost:
		g.logSendFailed(upstream.Server{ID: placed.Server}, answer.Status, nil)
		g.sends--
		g.tried = g.tried[:len(g.tried)-1]
		return g.rerunStages("inputs were lost")
	case info.NotRun:
		g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Refused: true})
		g.logSendFailed(upstream.Server{ID: placed.Server}, answer.Status, nil)
		if g.mayRetry() {
			return false
		}
		return g.giveUp("servers are full", longRetryAfter, nil)
	}
	g.mayHaveRun = true
	if answer.Status == http.StatusOK {
		return g.relay(placed, answer, sent)
	}
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Failed: true})
	g.logSendFailed(upstream.Server{ID: placed.Server}, answer.Status, nil)
	if g.route.Repeatable() && g.mayRetry() {
		return false
	}
	switch {
	case g.streaming:
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

// relay passes on events as they arrive.
func (g *generateRequest) relay(placed engine.Placement, answer *upstream.Answer, sent time.Time) bool {
	reader := newEventReader(answer.Body)
	controller := http.NewResponseController(g.writer)
	for first := true; ; first = false {
		e, err := reader.next()
		whole := err == nil || errors.Is(err, io.EOF)
		if !whole {
			return g.handleBrokenStream(placed, err)
		}
		if first {
			g.recordFirstEvent(placed, time.Since(sent))
		}
		if len(e.data) > 0 {
			if !g.streaming {
				g.streaming = true
				g.writeHead(answer, -1)
			}
			if _, failed := g.writer.Write(e.data); failed != nil {
				g.abort(failed)
			}
			g.eventsSent++
			if e.id != "" {
				g.lastID = e.id
			}
		}
		if err != nil {
			if !g.streaming {
				g.streaming = true
				g.writeHead(answer, -1)
			}
			g.runTimes.observe(g.route.Name, time.Since(sent))
			g.recordAnswered(answer.Status, placed.Server)
			return true
		}
		if !reader.buffered() {
			_ = controller.Flush() // the next write reports a failure
		}
	}
}

// recordFirstEvent records the start of a run. The model server has read its inputs.
func (g *generateRequest) recordFirstEvent(placed engine.Placement, delay time.Duration) {
	now := time.Now()
	g.firstEvent = delay
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Expected: placed.Expected, Delay: delay})
	g.metrics.timeToFirstEvent.RecordDuration(now.Sub(g.arrived))
	g.freeInputs()
}

// handleBrokenStream handles a stream that broke off. Events that were not whole are
// dropped.
func (g *generateRequest) handleBrokenStream(placed engine.Placement, err error) bool {
	if g.clientGone() || g.expired() {
		return g.endIncomplete()
	}
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Failed: true})
	g.logSendFailed(upstream.Server{ID: placed.Server}, http.StatusOK, err)
	return g.resumeOrFail(err)
}
