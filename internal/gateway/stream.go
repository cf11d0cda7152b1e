package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
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
	if !g.makersLive() {
		return g.remake("a maker of inputs has left")
	}
	placed, ok := g.placer.Place(g.ctx, g.demand.ID, g.service.Name, engine.Query{
		Prompt: g.demand.Prompt, FailureDomain: g.domain, InputBytes: g.inputBytes(), Excluded: g.tried,
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
		slog.Int64("view", g.viewVersion()))
	answer, err := g.upstream.Send(g.ctx, target, g.outgoing(target, Send{Urgency: &urgency, Inputs: g.inputs, LastEventID: g.lastID}))
	if err != nil {
		return g.sendFailed(placed, err)
	}
	g.sends++
	defer answer.Close()
	return g.answer(placed, answer, sent)
}

// Urgencies of model servers: 0 is first and 5 is the default of other callers.
const (
	firstUrgency = 3
	maxUrgency   = 9
)

// chooseDomain returns the failure domain in which the inputs are made: those of
// prompts with the same shared part in the same one, and by the servers that make
// the largest inputs.
func (g *generation) chooseDomain() string {
	largest := g.largestInput()
	if largest < 0 {
		return ""
	}
	near, all := map[string]int{}, map[string]int{}
	for _, s := range g.view.Servers[g.route.Stages[largest].Service] {
		all[s.FailureDomain]++
		if g.fleet.Near(s.FailureDomain) {
			near[s.FailureDomain]++
		}
	}
	if len(near) == 0 {
		near = all
	}
	return engine.Domain(g.demand.Prompt, near, g.fleet.Draw())
}

// largestInput returns the final stage with the largest results, -1 without stages.
func (g *generation) largestInput() int {
	largest := -1
	for _, i := range g.graph.Final {
		if largest < 0 || g.route.Stages[i].ResultBytes > g.route.Stages[largest].ResultBytes {
			largest = i
		}
	}
	return largest
}

// inputBytes returns the approximate size of all inputs.
func (g *generation) inputBytes() (bytes int64) {
	for _, i := range g.graph.Final {
		bytes += int64(g.graph.Counts[i]) * g.route.Stages[i].ResultBytes
	}
	return bytes
}

// prepare runs the stages unless their results are held. It returns false when the
// request has its answer or must be tried again.
func (g *generation) prepare() (ready, ended bool) {
	if g.graph.Empty() || g.inputs != nil {
		return true, false
	}
	if g.domain == "" {
		g.domain = g.chooseDomain()
	}
	var typical time.Duration
	g.fleet.Engines(g.service.Name, func(s *engine.Set) { typical = s.Typical() })
	ctx, cancel := g.untilClosing()
	defer cancel()
	inputs, err := g.stages.Run(ctx, Chain{
		RequestID: g.demand.ID, Key: g.demand.PieceKey, Table: g.view.Table, Route: g.route, Graph: g.graph, Priority: g.priority,
		Due:           g.arrived.Add(g.route.Target - typical),
		Deadline:      g.stagesDeadline(typical),
		FailureDomain: g.domain,
	})
	if err == nil {
		g.inputs = inputs
		return true, false
	}
	if g.left() || g.late() {
		return false, g.end()
	}
	if ctx.Err() != nil {
		return false, g.giveUp("draining", retrySoon, nil)
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return false, g.giveUp("stages failed", retrySoon, err)
	}
	if refused.Reason == stagework.RefusedInputGone && time.Now().Before(g.arrived.Add(g.route.Target)) {
		return false, g.remake("stages: inputs were lost")
	}
	return false, g.giveUp("stages: "+string(refused.Reason), refused.Wait, err)
}

// untilClosing returns the context of the request, which also ends when a shutdown
// refuses the requests that were not sent yet.
func (g *generation) untilClosing() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(g.ctx)
	stop := context.AfterFunc(g.drain.closing, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// stagesDeadline returns when the stages must end, so that a run of typical length
// ends by the deadline and its first event comes while the client still waits.
func (g *generation) stagesDeadline(firstEvent time.Duration) time.Time {
	end := g.deadline.Add(-max(firstEvent, g.runs.of(g.route.Name)))
	if patience := g.arrived.Add(g.route.Patience - firstEvent); g.route.Patience > 0 && patience.Before(end) {
		return patience
	}
	return end
}

// makersLive reports whether the servers that hold the inputs are still
// registered. Results end with their maker, at any moment after it has left.
func (g *generation) makersLive() bool {
	current := g.views.Current()
	for _, result := range g.inputs {
		if _, ok := current.ByAddress[g.protocol.Maker(result)]; !ok {
			return false
		}
	}
	return true
}

// remake gives up the inputs so that the next try makes them again, or ends the
// request.
func (g *generation) remake(reason string) bool {
	g.freeInputs()
	if g.remade++; g.remade > maxRemade || g.remaining() < minRepeat {
		return g.giveUp(reason, retrySoon, nil)
	}
	return false
}

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

// freeInputs gives up the results that the request holds.
func (g *generation) freeInputs() {
	if len(g.inputs) == 0 {
		return
	}
	// All final results go to the freeing of their makers; the room is counted by
	// the service that made each.
	byService := map[string][]string{}
	at := 0
	for _, i := range g.graph.Final {
		service := g.route.Stages[i].Service
		byService[service] = append(byService[service], g.inputs[at:at+g.graph.Counts[i]]...)
		at += g.graph.Counts[i]
	}
	for service, results := range byService {
		g.stages.Free(service, results)
	}
	g.inputs = nil
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
	return g.mayHaveRun(err)
}

// end answers a request whose client left or whose deadline has passed.
func (g *generation) end() bool {
	if g.started && !g.left() {
		g.broken(errDeadline)
	}
	g.ended()
	return true
}

// mayHaveRun handles a broken send: another server goes on where the kind allows
// it.
func (g *generation) mayHaveRun(err error) bool {
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
func (g *generation) answer(placed engine.Placement, answer *upstream.Answer, sent time.Time) bool {
	info := g.protocol.ReadAnswer(answer.Status, answer.Header)
	switch {
	case info.LostWork:
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
	case answer.Status == http.StatusOK:
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
				g.ended()
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
	return g.mayHaveRun(err)
}
