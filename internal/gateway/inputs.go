package gateway

import (
	"context"
	"errors"
	"iter"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// chooseDomain returns the failure domain in which the inputs are made: that of the
// model server for the prompt when they are large, otherwise one by the prompt's
// shared part and the servers that make the largest inputs.
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
	domain := engine.ChooseDomain(g.demand.Prompt, near, g.fleet.Draw())
	if g.inputBytes() < heavyInputs {
		return domain
	}
	placed, ok := g.placer.Place(g.ctx, g.demand.ID, g.service.Name, engine.Query{
		Prompt: g.demand.Prompt, InputBytes: map[string]int64{domain: g.inputBytes()}, Excluded: g.tried, AskOnly: true,
	})
	if _, made := near[placed.FailureDomain]; ok && made {
		return placed.FailureDomain
	}
	return domain
}

// heavyInputs is the size of inputs from which they are made where the model server
// that keeps the prompt stands.
const heavyInputs = 100 << 10

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

// inputsByDomain returns the approximate size of the inputs that are held, by the
// failure domain of their producers, which may not be the one that was chosen.
func (g *generation) inputsByDomain() map[string]int64 {
	bytes := map[string]int64{}
	for input, stage := range g.eachInput() {
		bytes[g.domainOf(input)] += stage.ResultBytes
	}
	return bytes
}

// eachInput yields the inputs that are held with the stage that made each.
func (g *generation) eachInput() iter.Seq2[string, *route.Stage] {
	return func(yield func(string, *route.Stage) bool) {
		at := 0
		for _, i := range g.graph.Final {
			for range g.graph.Counts[i] {
				if !yield(g.inputs[at], &g.route.Stages[i]) {
					return
				}
				at++
			}
		}
	}
}

// domainOf returns the failure domain in which a result is held, or an empty string
// when its producer is not registered any more.
func (g *generation) domainOf(result string) string {
	return g.views.Current().ByAddress[g.protocol.Producer(result)].FailureDomain
}

// crossing returns the size of the inputs that are in other failure domains.
func crossing(inputs map[string]int64, domain string) (bytes int64) {
	for at, size := range inputs {
		if at != domain {
			bytes += size
		}
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
	g.fleet.Engines(g.service.Name, func(s *engine.Scheduler) { typical = s.TypicalDelay() })
	ctx, cancel := g.untilClosing()
	defer cancel()
	inputs, err := g.stages.Run(ctx, Chain{
		RequestID: g.demand.ID, Key: g.demand.PieceKey, Table: g.view.Table, Route: g.route, Graph: g.graph, Priority: g.priority,
		Due:           g.arrived.Add(g.route.Target - typical),
		Deadline:      g.stagesDeadline(typical),
		FailureDomain: g.domain, DomainOf: g.domainOf,
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
	if patience := g.arrived.Add(g.route.MaxFirstEventWait - firstEvent); g.route.MaxFirstEventWait > 0 && patience.Before(end) {
		return patience
	}
	return end
}

// producersLive reports whether the servers that hold the inputs are still
// registered. Results end with their producer, at any moment after it has left.
func (g *generation) producersLive() bool {
	current := g.views.Current()
	for _, result := range g.inputs {
		if _, ok := current.ByAddress[g.protocol.Producer(result)]; !ok {
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

// freeInputs gives up the results that the request holds.
func (g *generation) freeInputs() {
	if len(g.inputs) == 0 {
		return
	}
	g.stages.FreeAll(g.inputsByService())
	g.inputs = nil
}

// inputsByService returns the inputs by the service that made them, which counts the
// room that they take.
func (g *generation) inputsByService() map[string][]string {
	results := map[string][]string{}
	for input, stage := range g.eachInput() {
		results[stage.Service] = append(results[stage.Service], input)
	}
	return results
}

// freeFetched gives up the inputs once the model server that the request is sent to
// is expected to have fetched them. The returned function ends the wait and reports
// whether they were given up.
func (g *generation) freeFetched() (stop func() bool) {
	if len(g.inputs) == 0 {
		return func() bool { return false }
	}
	results := g.inputsByService()
	timer := time.AfterFunc(g.fetches.time(g.service.Name, g.view.Table, results, g.inputBytes()), func() { g.stages.FreeAll(results) })
	return func() bool {
		if timer.Stop() {
			return false
		}
		g.inputs = nil
		return true
	}
}
