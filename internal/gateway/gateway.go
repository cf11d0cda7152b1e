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
	protocol   Protocol
	views      *view.Sync
	fleet      *Fleet
	upstream   *upstream.Client
	stages     *StageRunner
	placer     *Placer
	drain      *Drain
	logger     *slog.Logger
	metrics    requestMetrics
	inFlight   atomic.Int64
	bodyMemory *bodyMemory
	// runTimes holds the durations of runs at model servers by route.
	runTimes       *movingAverages
	fetchEstimates *fetchEstimates
}

// requestMetrics are the metrics of requests.
type requestMetrics struct {
	requests, answered, refused, failed, aborted, abandoned, resumed tally.Counter
	duration, timeToFirstEvent                                       tally.Histogram
}

func newRequestMetrics(scope tally.Scope) requestMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	return requestMetrics{
		requests: scope.Counter("requests"), answered: scope.Counter("requests_answered"),
		refused: scope.Counter("requests_refused"), failed: scope.Counter("requests_failed"),
		aborted: scope.Counter("requests_broken_off"), abandoned: scope.Counter("requests_left"),
		resumed:  scope.Counter("streams_resumed"),
		duration: scope.Histogram("request_seconds", buckets), timeToFirstEvent: scope.Histogram("first_event_seconds", buckets),
	}
}

// New returns a gateway.
func New(protocol Protocol, views *view.Sync, fleet *Fleet, client *upstream.Client, stages *StageRunner, placer *Placer, drain *Drain, logger *slog.Logger, scope tally.Scope) *Gateway {
	return &Gateway{protocol: protocol, views: views, fleet: fleet, upstream: client, stages: stages, placer: placer, drain: drain, logger: logger, metrics: newRequestMetrics(scope), runTimes: newMovingAverages(), fetchEstimates: newFetchEstimates(), bodyMemory: newBodyMemory()}
}

// InFlight returns the number of requests under way.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// defaultTimeout bounds requests of routes without a timeout whose client gives no
// deadline.
const defaultTimeout = 30 * time.Second

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.metrics.requests.Inc(1)
	a := &clientRequest{
		Gateway: g, writer: w, request: r, arrived: time.Now(),
		view: g.views.Current(), requestInfo: g.protocol.ReadRequest(r.Header),
	}
	a.deadline = a.arrived.Add(defaultTimeout)
	defer a.releaseBody()
	if !a.resolveRoute() || !a.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	a.ctx = ctx
	if !g.drain.Admits(a.route.Kind == route.Stream) {
		a.refuse("draining", shortRetryAfter)
		return
	}
	g.fleet.CountRequest(a.service.Name)
	if a.service.Engine != nil {
		a.serveEngine()
		return
	}
	a.servePlain()
}

// resolveRoute finds what the configuration says of the request, or answers it.
func (a *clientRequest) resolveRoute() bool {
	if a.view == nil || a.view.Table == nil {
		a.refuse("no configuration", longRetryAfter)
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
		o := table.Organisation(a.requestInfo.Key)
		if o == nil {
			a.fail(http.StatusUnauthorized, "unknown key", nil)
			return false
		}
		a.organisation = o.Name
		a.priority = combinedPriority(o, a.route)
	}
	wait := a.route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if a.requestInfo.HasTimeout {
		wait = min(wait, a.requestInfo.Timeout)
	}
	a.deadline = a.arrived.Add(wait)
	a.service = table.Service(a.route.Choose(a.fleet.RandomFloat64()))
	if a.service == nil {
		a.refuse("no service", longRetryAfter)
		return false
	}
	return true
}

// routePriorities is the number of priorities of routes within one of organisations.
const routePriorities = 3

// combinedPriority combines the priority of an organisation with that of a route, which counts
// only between requests of equal organisations.
func combinedPriority(o *route.Organisation, r *route.Route) int {
	if !o.Ranked {
		return r.Priority
	}
	return o.Priority*routePriorities + min(r.Priority, routePriorities-1)
}

// readBody reads the body, or answers the request.
func (a *clientRequest) readBody() bool {
	if a.request.ContentLength == 0 {
		return true
	}
	controller := http.NewResponseController(a.writer)
	_ = controller.SetReadDeadline(a.deadline) // connections without deadlines wait for the client
	reader := io.Reader(a.request.Body)
	if limit := a.view.Table.Limits.BodyBytes; limit > 0 {
		reader = http.MaxBytesReader(a.writer, a.request.Body, limit)
	}
	a.bodyReader = &bodyReader{memory: a.bodyMemory, reader: reader}
	body, err := io.ReadAll(a.bodyReader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemoryFull):
		a.refuse("memory for bodies is full", shortRetryAfter)
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
