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

// generation is a request to a model server.
type generation struct {
	*attempt
	graph route.Graph
	// domain is the failure domain in which the inputs are made.
	domain string
	// inputs are the final results of the stages while they are held.
	inputs  []string
	tried   []string
	unsent  int
	remade  int
	lastID  string
	started bool
	events  int
}

// maxRemade bounds how often lost results are made again.
const maxRemade = 1

// serveEngine runs the stages of a request and sends it to a model server.
func (a *attempt) serveEngine() {
	g := &generation{attempt: a, graph: a.route.NewGraph(a.demand.PieceCounts), lastID: a.demand.LastEventID}
	defer g.freeInputs()
	for !g.try() {
	}
}

// try runs the stages and sends the request to one server. It returns true when the
// request has its answer.
func (g *generation) try() bool {
	if ready, ended := g.prepare(); !ready {
		return ended
	}
	if !g.producersLive() {
		return g.remake("a producer of inputs has left")
	}
	inputs := g.inputsByDomain()
	placed, ok := g.placer.Place(g.ctx, g.demand.ID, g.service.Name, engine.Query{
		Prompt: g.demand.Prompt, InputBytes: inputs, Excluded: g.tried,
	})
	if !ok {
		return g.giveUp("no server", retryLater, nil)
	}
	g.tried = append(g.tried, placed.Server)
	target, known := g.fleet.Server(placed.Server)
	if !known {
		return false // it left in this moment
	}
	urgency := min(maxUrgency, g.priority+firstUrgency)
	sent := time.Now()
	g.log(events.AttemptSent, slog.String("server", placed.Server), slog.String("route", g.route.Name), slog.Int("try", len(g.tried)),
		slog.Int64("left_ms", g.remaining().Milliseconds()), slog.Int("inputs", len(g.inputs)), slog.Int64("expected_ms", placed.Expected.Milliseconds()),
		slog.String("copy_from", placed.CopyFrom), slog.Int64("crossing_bytes", crossing(inputs, placed.FailureDomain)),
		slog.Int64("view", g.viewVersion()))
	source, _ := g.fleet.Server(placed.CopyFrom)
	request := g.outgoing(target, SendInfo{Urgency: &urgency, Inputs: g.inputs, LastEventID: g.lastID, CopyFrom: source.Address})
	stop := g.freeFetched()
	answer, err := g.upstream.Send(g.ctx, target, request)
	freed := stop()
	if err != nil {
		return g.sendFailed(placed, err)
	}
	g.sends++
	defer answer.Close()
	info := g.protocol.ReadAnswer(answer.Status, answer.Header)
	if freed {
		g.fetches.learn(g.service.Name, !info.InputsLost)
	}
	return g.answer(placed, answer, info, sent)
}

// Urgencies of model servers: 0 is first and 5 is the default of other callers.
const (
	firstUrgency = 3
	maxUrgency   = 9
)

// giveUp ends the request, whose last send did not run.
func (g *generation) giveUp(reason string, retry time.Duration, err error) bool {
	switch {
	case g.started:
		g.broken(errors.Join(errors.New(reason), err))
	case g.left() || g.late():
		g.ended()
	default:
		g.refuse(reason, retry)
	}
	return true
}

// sendFailed handles a send without an answer.
func (g *generation) sendFailed(placed engine.Placement, err error) bool {
	if g.left() || g.late() {
		return g.end()
	}
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Failed: true})
	g.logFailed(upstream.Server{ID: placed.Server}, 0, err)
	if errors.Is(err, upstream.ErrNotSent) {
		if g.unsent++; g.unsent >= maxUnsent {
			return g.giveUp("servers are not reached", retrySoon, err)
		}
		return false
	}
	g.sends++
	return g.unanswered(err)
}

// end answers a request whose client left or whose deadline has passed.
func (g *generation) end() bool {
	if g.started && !g.left() {
		g.broken(errDeadline)
	}
	g.ended()
	return true
}

// unanswered handles a broken send: another server goes on where the kind allows
// it.
func (g *generation) unanswered(err error) bool {
	g.mayHaveRun = true
	if g.route.Repeatable() && g.mayRepeat() {
		if g.started {
			g.counts.resumed.Inc(1)
			g.log(events.StreamResumed, slog.String("after", g.lastID), slog.Int("events", g.events))
		}
		return false
	}
	if g.started {
		g.broken(err)
	}
	g.fail(http.StatusBadGateway, "no answer from the model server", err)
	return true
}

// answer handles an answer of a model server.
func (g *generation) answer(placed engine.Placement, answer *upstream.Answer, info AnswerInfo, sent time.Time) bool {
	switch {
	case info.InputsLost:
		g.logFailed(upstream.Server{ID: placed.Server}, answer.Status, nil)
		g.sends--
		g.tried = g.tried[:len(g.tried)-1]
		return g.remake("inputs were lost")
	case info.NotRun:
		g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Refused: true})
		g.logFailed(upstream.Server{ID: placed.Server}, answer.Status, nil)
		if g.mayRepeat() {
			return false
		}
		return g.giveUp("servers are full", retryLater, nil)
	}
	g.mayHaveRun = true
	if answer.Status == http.StatusOK {
		return g.relay(placed, answer, sent)
	}
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Failed: true})
	g.logFailed(upstream.Server{ID: placed.Server}, answer.Status, nil)
	if g.route.Repeatable() && g.mayRepeat() {
		return false
	}
	switch {
	case g.started:
		g.broken(errors.New("model server failed after the stream began"))
	case promises(answer.Status):
		g.fail(http.StatusBadGateway, "model server refused without saying that it did not run", nil)
	default:
		if err := g.deliver(answer, placed.Server); err != nil {
			g.fail(http.StatusBadGateway, "answer of the model server broke off", err)
		}
	}
	return true
}

// relay passes on events as they arrive.
func (g *generation) relay(placed engine.Placement, answer *upstream.Answer, sent time.Time) bool {
	reader := newEventReader(answer.Body)
	controller := http.NewResponseController(g.writer)
	for first := true; ; first = false {
		e, err := reader.next()
		whole := err == nil || errors.Is(err, io.EOF)
		if !whole {
			return g.interrupted(placed, err)
		}
		if first {
			g.begun(placed, time.Since(sent))
		}
		if len(e.data) > 0 {
			if !g.started {
				g.started = true
				g.writeHead(answer, -1)
			}
			if _, failed := g.writer.Write(e.data); failed != nil {
				g.broken(failed)
			}
			g.events++
			if e.id != "" {
				g.lastID = e.id
			}
		}
		if err != nil {
			if !g.started {
				g.started = true
				g.writeHead(answer, -1)
			}
			g.runs.learn(g.route.Name, time.Since(sent))
			g.answered(answer.Status, placed.Server)
			return true
		}
		if !reader.more() {
			_ = controller.Flush() // the next write reports a failure
		}
	}
}

// begun records the start of a run. The model server has read its inputs.
func (g *generation) begun(placed engine.Placement, delay time.Duration) {
	now := time.Now()
	g.firstEvent = delay
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Expected: placed.Expected, Delay: delay})
	g.counts.firstEvent.RecordDuration(now.Sub(g.arrived))
	g.freeInputs()
}

// interrupted handles a stream that broke off. Events that were not whole are
// dropped.
func (g *generation) interrupted(placed engine.Placement, err error) bool {
	if g.left() || g.late() {
		return g.end()
	}
	g.placer.Report(g.service.Name, engine.Report{Server: placed.Server, Failed: true})
	g.logFailed(upstream.Server{ID: placed.Server}, http.StatusOK, err)
	return g.unanswered(err)
}
