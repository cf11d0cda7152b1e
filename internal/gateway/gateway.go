package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Gateway serves the requests of clients.
type Gateway struct {
	protocol Protocol
	views    *view.Sync
	fleet    *Fleet
	upstream *upstream.Client
	stages   *Stages
	placer   *Placer
	drain    *Drain
	logger   *slog.Logger
	counts   counts
	running  atomic.Int64
	bodies   *bodies
	// runs holds the durations of runs at model servers by route.
	runs    *averages
	fetches *fetches
}

// counts are the metrics of requests.
type counts struct {
	requests, answered, refused, failed, broken, left, resumed tally.Counter
	latency, firstEvent                                        tally.Histogram
}

func newCounts(scope tally.Scope) counts {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	return counts{
		requests: scope.Counter("requests"), answered: scope.Counter("requests_answered"),
		refused: scope.Counter("requests_refused"), failed: scope.Counter("requests_failed"),
		broken: scope.Counter("requests_broken_off"), left: scope.Counter("requests_left"),
		resumed: scope.Counter("streams_resumed"),
		latency: scope.Histogram("request_seconds", buckets), firstEvent: scope.Histogram("first_event_seconds", buckets),
	}
}

// New returns a gateway.
func New(protocol Protocol, views *view.Sync, fleet *Fleet, client *upstream.Client, stages *Stages, placer *Placer, drain *Drain, logger *slog.Logger, scope tally.Scope) *Gateway {
	return &Gateway{protocol: protocol, views: views, fleet: fleet, upstream: client, stages: stages, placer: placer, drain: drain, logger: logger, counts: newCounts(scope), runs: newAverages(), fetches: newFetches(), bodies: newBodies()}
}

// Running returns the number of requests under way.
func (g *Gateway) Running() int64 { return g.running.Load() }

// defaultWait bounds requests of routes without a timeout whose client gives no
// deadline.
const defaultWait = 30 * time.Second

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	g.counts.requests.Inc(1)
	a := &attempt{
		Gateway: g, writer: w, request: r, arrived: time.Now(),
		view: g.views.Current(), demand: g.protocol.ReadRequest(r.Header),
	}
	a.deadline = a.arrived.Add(defaultWait)
	defer a.releaseBody()
	if !a.plan() || !a.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	a.ctx = ctx
	if !g.drain.Admits(a.route.Kind == route.Stream) {
		a.refuse("draining", retrySoon)
		return
	}
	g.fleet.CountRequest(a.service.Name)
	if a.service.Engine != nil {
		a.serveEngine()
		return
	}
	a.servePlain()
}

// plan finds what the configuration says of the request, or answers it.
func (a *attempt) plan() bool {
	if a.view == nil || a.view.Table == nil {
		a.refuse("no configuration", retryLater)
		return false
	}
	table := a.view.Table
	path, _, _ := strings.Cut(a.request.RequestURI, "?")
	a.route = table.Match(a.request.Host, path)
	if a.route == nil {
		a.fail(http.StatusNotFound, "no route", nil)
		return false
	}
	a.priority = a.route.Priority
	if table.KeysRequired() && !a.route.Public {
		o := table.Organisation(a.demand.Key)
		if o == nil {
			a.fail(http.StatusUnauthorized, "unknown key", nil)
			return false
		}
		a.organisation = o.Name
		a.priority = rank(o, a.route)
	}
	wait := a.route.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if a.demand.Bounded {
		wait = min(wait, a.demand.Wait)
	}
	a.deadline = a.arrived.Add(wait)
	a.service = table.Service(a.route.ChooseService(a.fleet.Draw()))
	if a.service == nil {
		a.refuse("no service", retryLater)
		return false
	}
	return true
}

// routeRanks is the number of priorities of routes within one of organisations.
const routeRanks = 3

// rank combines the priority of an organisation with that of a route, which counts
// only between requests of equal organisations.
func rank(o *route.Organisation, r *route.Route) int {
	if !o.HasPriority {
		return r.Priority
	}
	return o.Priority*routeRanks + min(r.Priority, routeRanks-1)
}

// readBody reads the body, or answers the request.
func (a *attempt) readBody() bool {
	if a.request.ContentLength == 0 {
		return true
	}
	controller := http.NewResponseController(a.writer)
	_ = controller.SetReadDeadline(a.deadline) // connections without deadlines wait for the client
	reader := io.Reader(a.request.Body)
	if limit := a.view.Table.Limits.BodyBytes; limit > 0 {
		reader = http.MaxBytesReader(a.writer, a.request.Body, limit)
	}
	a.held = &heldBody{bodies: a.bodies, reader: reader}
	body, err := io.ReadAll(a.held)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodiesFull):
		a.refuse("memory for bodies is full", retrySoon)
		return false
	case errors.As(err, &tooLarge):
		a.fail(http.StatusRequestEntityTooLarge, "body is too large", err)
		return false
	case err != nil:
		a.fail(http.StatusBadRequest, "body could not be read", err)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	a.body = body
	return true
}
