package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// attempt is one request of a client on its way.
type attempt struct {
	*Gateway
	writer  http.ResponseWriter
	request *http.Request
	// ctx ends when the client leaves and at the deadline.
	ctx     context.Context
	arrived time.Time
	view    *view.View
	demand  RequestInfo
	route   *route.Route
	service *route.Service
	// organisation is empty for public routes.
	organisation string
	priority     int
	body         []byte
	// held counts the memory of the body; nil without one.
	held     *heldBody
	deadline time.Time
	// sends counts the backend servers that the request was sent to.
	sends int
	// mayHaveRun is set once a send had no whole answer that says whether the request
	// ran. The request is never refused from then on.
	mayHaveRun bool
	// firstEvent is the time from the last send to the first event of a stream.
	firstEvent time.Duration
}

var (
	errDeadline   = errors.New("deadline has passed")
	errMayHaveRun = errors.New("an earlier send may have run the request")
)

// remaining returns the time left for the request.
func (a *attempt) remaining() time.Duration { return time.Until(a.deadline) }

// releaseBody gives back the memory of the body.
func (a *attempt) releaseBody() {
	if a.held != nil {
		a.held.release()
	}
}

// left reports whether the client has closed its connection.
func (a *attempt) left() bool { return a.request.Context().Err() != nil }

// late reports whether the deadline has passed.
func (a *attempt) late() bool { return a.remaining() <= 0 }

// mayRepeat reports whether the request may be sent to one more server after one
// that may have run it or refused it.
func (a *attempt) mayRepeat() bool {
	return a.sends < a.route.Attempts() && a.remaining() > minRepeat && a.fleet.AllowRetry(a.service.Name)
}

// minRepeat is the least time left for which a request is sent once more.
const minRepeat = 20 * time.Millisecond

// outgoing returns the request as it is sent to a server.
func (a *attempt) outgoing(server upstream.Server, s SendInfo) *upstream.Request {
	header := forwardedHeader(a.request.Header)
	s.Server, s.Remaining, s.Organisation = server.ID, a.remaining(), a.organisation
	a.protocol.WriteRequest(header, s)
	return &upstream.Request{
		Method: a.request.Method, Target: a.request.RequestURI, Host: a.request.Host, Header: header, Body: a.body,
		Belongs: func(h http.Header) bool { return a.protocol.Belongs(h, a.demand.ID) },
	}
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeader returns a copy of a header without what concerns the client's
// connection. The length of the body is set anew and interim answers are not
// passed on.
func forwardedHeader(header http.Header) http.Header {
	result := header.Clone()
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		result.Del(name)
	}
	result.Del("Content-Length")
	result.Del("Expect")
	return result
}

// log writes an event of the request.
func (a *attempt) log(event events.Event, attrs ...slog.Attr) {
	all := append([]slog.Attr{
		slog.String("id", a.demand.ID), slog.Int64("age_ms", time.Since(a.arrived).Milliseconds()),
	}, attrs...)
	event.Log(a.request.Context(), a.logger, all...)
}

// Times to come back that own answers give.
const (
	// retrySoon is for conditions that another instance is likely not to have.
	retrySoon = 50 * time.Millisecond
	// retryLater is for backend servers without room.
	retryLater = 300 * time.Millisecond
	maxRetry   = 3 * time.Second
)

// refuse answers that the request has not run and when to come back. A request that
// an earlier send may have run gets an answer that promises nothing instead.
func (a *attempt) refuse(reason string, retry time.Duration, attrs ...slog.Attr) {
	if a.mayHaveRun {
		a.fail(http.StatusBadGateway, reason, errMayHaveRun)
		return
	}
	a.counts.refused.Inc(1)
	retry = min(max(retry, retrySoon), maxRetry)
	a.log(events.AttemptRefused, append(attrs, slog.String("reason", reason), slog.Int64("retry_ms", retry.Milliseconds()),
		slog.Int64("left_ms", a.remaining().Milliseconds()), slog.Int64("view", int64(a.viewVersion())))...)
	a.writer.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(retry.Seconds()*1000)/1000, 'f', -1, 64))
	a.own(http.StatusServiceUnavailable, reason)
}

func (a *attempt) viewVersion() int64 {
	if a.view == nil {
		return 0
	}
	return int64(a.view.Version)
}

// fail answers that it is not known whether the request ran, or why it can't be
// served.
func (a *attempt) fail(status int, reason string, err error) {
	a.counts.failed.Inc(1)
	attrs := []slog.Attr{slog.Int("status", status), slog.String("reason", reason), slog.Int64("view", a.viewVersion())}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	a.log(events.AttemptEnded, attrs...)
	a.own(status, reason)
}

// own writes an answer of the gateway itself.
func (a *attempt) own(status int, reason string) {
	header := a.writer.Header()
	a.protocol.WriteLocalAnswer(header, a.demand.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	a.closeWhenDraining(header)
	a.writer.WriteHeader(status)
	fmt.Fprintln(a.writer, reason)
}

// ended answers a request whose client left or whose deadline has passed.
func (a *attempt) ended() {
	if a.left() {
		a.counts.left.Inc(1)
		a.log(events.AttemptLeft)
		panic(http.ErrAbortHandler)
	}
	a.fail(http.StatusGatewayTimeout, "deadline", errDeadline)
}

// broken breaks off an answer that has begun.
func (a *attempt) broken(err error) {
	a.counts.broken.Inc(1)
	a.log(events.AttemptBroken, slog.Any("error", err))
	panic(http.ErrAbortHandler)
}

// writeHead writes the head of a server's answer.
func (a *attempt) writeHead(answer *upstream.Answer, length int64) {
	header := a.writer.Header()
	for name, values := range forwardedHeader(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if answer.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	a.closeWhenDraining(header)
	a.writer.WriteHeader(answer.Status)
}

// maxHeldAnswer is the size up to which an answer is read whole before it is
// passed on, so that one that breaks off can be replaced.
const maxHeldAnswer = 256 << 10

// deliver passes on a plain answer. It returns an error while nothing was written
// to the client.
func (a *attempt) deliver(answer *upstream.Answer, server string) error {
	held, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldAnswer))
	if err != nil {
		return err
	}
	if len(held) < maxHeldAnswer {
		a.writeHead(answer, int64(len(held)))
		_, _ = a.writer.Write(held) // the end of the client's context reports a failure
		a.answered(answer.Status, server)
		return nil
	}
	a.writeHead(answer, answer.Length)
	if _, err := a.writer.Write(held); err != nil {
		a.broken(err)
	}
	if _, err := io.Copy(a.writer, answer.Body); err != nil {
		a.broken(err)
	}
	a.answered(answer.Status, server)
	return nil
}

// answered records the end of a request that has its whole answer.
func (a *attempt) answered(status int, server string) {
	took := time.Since(a.arrived)
	a.counts.answered.Inc(1)
	a.counts.latency.RecordDuration(took)
	a.log(events.AttemptEnded, slog.Int("status", status), slog.String("server", server), slog.String("route", a.route.Name),
		slog.Int("sends", a.sends), slog.Int64("first_event_ms", a.firstEvent.Milliseconds()), slog.Int64("left_ms", a.remaining().Milliseconds()))
}
