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

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Gateway serves the requests of clients.
type Gateway struct {
	protocol Protocol
	views    *view.Sync
	servers  *Servers
	client   *ServerClient
	stages   *StageRunner
	placer   *Placer
	drain    *Drain
	logger   *slog.Logger
	metrics  requestMetrics
	inFlight atomic.Int64
	// door bounds the memory of request bodies.
	door *doors.Door
	// runTimes holds the mean duration of runs at model servers by route.
	runTimes *movingAverages
	// durations holds the longest recent durations of whole requests by route.
	durations      *recentMaxima
	fetchEstimates *fetchEstimates
	unreached      *unreachedRegions
}

// requestMetrics are the metrics of client requests.
type requestMetrics struct {
	requests, answered, refused, failed, aborted, abandoned, resumed tally.Counter
	// undecided counts the requests that were refused because a newer configuration may
	// allow them.
	undecided tally.Counter
	// unservedRegions counts the requests that no allowed region could serve.
	unservedRegions            tally.Counter
	duration, timeToFirstEvent tally.Histogram
}

func newRequestMetrics(scope tally.Scope) requestMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
	return requestMetrics{
		requests: scope.Counter("requests"), answered: scope.Counter("requests_answered"),
		refused: scope.Counter("requests_refused"), failed: scope.Counter("requests_failed"),
		aborted: scope.Counter("requests_broken_off"), abandoned: scope.Counter("requests_left"),
		resumed: scope.Counter("streams_resumed"), undecided: scope.Counter("requests_undecided"),
		unservedRegions: scope.Counter("requests_without_allowed_region"),
		duration:        scope.Histogram("request_seconds", buckets), timeToFirstEvent: scope.Histogram("first_event_seconds", buckets),
	}
}

// New returns a gateway that serves requests by the current view of views.
func New(protocol Protocol, views *view.Sync, servers *Servers, client *ServerClient, stages *StageRunner, placer *Placer, door *doors.Door, drain *Drain, logger *slog.Logger, scope tally.Scope) *Gateway {
	return &Gateway{protocol: protocol, views: views, servers: servers, client: client, stages: stages, placer: placer, door: door, drain: drain, logger: logger, metrics: newRequestMetrics(scope), runTimes: newMovingAverages(), durations: newRecentMaxima(), fetchEstimates: newFetchEstimates(), unreached: newUnreachedRegions()}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// defaultTimeout bounds requests whose route has no timeout and whose client sets no
// deadline.
const defaultTimeout = 30 * time.Second

// ServeHTTP serves one client request. It panics with http.ErrAbortHandler to close
// the connection of a client that is gone or whose answer broke off.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.metrics.requests.Inc(1)
	info, malformed := g.protocol.ReadRequest(r.Header)
	c := &clientRequest{
		Gateway: g, writer: w, request: r, arrived: time.Now(),
		view: g.views.Current(), requestInfo: info, malformed: malformed,
	}
	c.deadline = c.arrived.Add(defaultTimeout)
	c.bodyUnread = r.ContentLength != 0
	defer func() { c.heldBody.Release() }()
	if !c.resolveRoute() || !c.checkRequest() || !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	stop := context.AfterFunc(g.drain.unansweredCtx, func() {
		if !c.answering.Load() {
			cancel()
		}
	})
	defer stop()
	if !g.drain.Admits(c.route.Kind == route.Stream, c.remaining(), g.durations.longest(c.route.Name)) {
		c.refuse("draining", shortRetryAfter)
		return
	}
	leave, ok := g.door.Enter(doors.FromContext(r.Context()), memorybudget.Purpose{Organisation: c.organisation, Service: c.service.Name})
	if !ok {
		c.refuse("too many requests in progress", shortRetryAfter)
		return
	}
	defer leave()
	g.servers.CountRequest(c.service.Name)
	if c.service.Engine != nil {
		c.serveEngine()
		return
	}
	c.servePlain()
}

// resolveRoute looks up the route, organisation, priority, deadline and service of the
// request in the configuration. It returns false after it has answered the request
// itself.
func (c *clientRequest) resolveRoute() bool {
	if c.view == nil || c.view.Table == nil {
		c.refuse("no configuration", longRetryAfter)
		return false
	}
	table := c.view.Table
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	c.route = table.Match(c.request.Host, path)
	if c.route == nil {
		c.deny(http.StatusNotFound, "no route")
		return false
	}
	c.priority = c.route.Priority
	if table.KeysRequired() && !c.route.Public {
		o := table.Organisation(c.requestInfo.Key)
		if o == nil {
			c.deny(http.StatusUnauthorized, "unknown key")
			return false
		}
		c.organisation = o.Name
		c.priority = combinedPriority(o, c.route)
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.requestInfo.HasTimeout {
		timeout = min(timeout, c.requestInfo.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	c.service = table.Service(c.route.ChooseService(c.servers.RandomFloat64()))
	if c.service == nil {
		c.refuse("no service", longRetryAfter)
		return false
	}
	return true
}

// deny answers that the configuration does not allow the request. While a newer one may, it
// refuses the request instead, which may then be sent again.
func (c *clientRequest) deny(status int, reason string) {
	if !c.views.IsCurrent(time.Now()) || c.views.Current() != c.view {
		c.metrics.undecided.Inc(1)
		c.refuse(reason+", and the configuration may not be the newest", longRetryAfter)
		return
	}
	c.logDenial(status, reason)
	c.fail(status, reason, nil)
}

// logDenial logs what the denial of a request rests on.
func (c *clientRequest) logDenial(status int, reason string) {
	basis := c.views.Basis(time.Now())
	c.log(events.AttemptDenied, slog.Int("status", status), slog.String("reason", reason), slog.Int64("configuration", c.view.Table.Version),
		slog.Int64("version", basis.Version.Revision()), slog.Int64("known", basis.Known.Revision()),
		slog.Int64("state_age_ms", basis.StateAge.Milliseconds()), slog.String("confirmed_by", basis.ConfirmedBy))
}

// routePriorities is the number of route priorities within each organisation priority.
const routePriorities = 3

// combinedPriority combines the priority of an organisation with that of a route. The
// route's priority only orders requests of organisations with the same priority.
func combinedPriority(o *route.Organisation, r *route.Route) int {
	if !o.HasPriority {
		return r.Priority
	}
	return o.Priority*routePriorities + min(r.Priority, routePriorities-1)
}

// readBody reads the request body into memory. It returns false after it has answered
// the request itself.
func (c *clientRequest) readBody() bool {
	if c.request.ContentLength == 0 {
		return true
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.deadline) // a connection without read deadlines waits for the client
	reader := io.Reader(c.request.Body)
	maxBytes := int64(-1)
	if limit := c.view.Table.Limits.BodyBytes; limit > 0 {
		maxBytes = limit
		if c.request.ContentLength > limit {
			c.fail(http.StatusRequestEntityTooLarge, "body is too large", nil)
			return false
		}
		reader = http.MaxBytesReader(c.writer, c.request.Body, limit)
	}
	body, err := c.door.ReadBody(doors.FromContext(c.request.Context()), reader, c.request.ContentLength, maxBytes)
	c.heldBody = body
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, doors.ErrNoRoom):
		c.refuse("memory for bodies is full", shortRetryAfter)
		return false
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, "body is too large", err)
		return false
	case err != nil:
		c.fail(http.StatusBadRequest, "body could not be read", err)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	c.body, c.bodyUnread = body.Bytes, false
	return true
}
