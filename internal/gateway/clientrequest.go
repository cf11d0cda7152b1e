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

// clientRequest is one request of a client on its way.
type clientRequest struct {
	*Gateway
	writer  http.ResponseWriter
	request *http.Request
	// ctx ends when the client leaves and at the deadline.
	ctx     context.Context
	arrived time.Time
	view    *view.View
	requestInfo    RequestInfo
	route   *route.Route
	service *route.Service
	// organisation is empty for public routes.
	organisation string
	priority     int
	body         []byte
	// bodyReader counts the memory of the body; nil without one.
	bodyReader *bodyReader
	deadline   time.Time
	// sends counts the backend servers that the request was sent to.
	sends int
	// mayHaveRun is set once a send had no whole answer that says whether the request
	// ran. The request is never refused from then on.
	mayHaveRun bool
	// firstEvent is the time from the last send to the first event of a stream.
	firstEvent time.Duration
}

var (
	errDeadlinePassed = errors.New("deadline has passed")
	errMayHaveRun     = errors.New("an earlier send may have run the request")
)

// remaining returns the time left for the request.
func (a *clientRequest) remaining() time.Duration { return time.Until(a.deadline) }

// releaseBody gives back the memory of the body.
func (a *clientRequest) releaseBody() {
	if a.bodyReader != nil {
		a.bodyReader.release()
	}
}

// clientGone reports whether the client has closed its connection.
func (a *clientRequest) clientGone() bool { return a.request.Context().Err() != nil }

// expired reports whether the deadline has passed.
func (a *clientRequest) expired() bool { return a.remaining() <= 0 }

// mayRetry reports whether the request may be sent to one more server after one
// that may have run it or refused it.
func (a *clientRequest) mayRetry() bool {
	return a.sends < a.route.Attempts() && a.remaining() > minRetryTime && a.fleet.AllowRetry(a.service.Name)
}

// minRetryTime is the least time left for which a request is sent once more.
const minRetryTime = 20 * time.Millisecond

// outgoingRequest returns the request as it is sent to a server.
func (a *clientRequest) outgoingRequest(server upstream.Server, s SendInfo) *upstream.Request {
	header := forwardedHeader(a.request.Header)
	s.Server, s.Remaining, s.Organisation = server.ID, a.remaining(), a.organisation
	a.protocol.WriteRequest(header, s)
	return &upstream.Request{
		Method: a.request.Method, Target: a.request.RequestURI, Host: a.request.Host, Header: header, Body: a.body,
		Belongs: func(h http.Header) bool { return a.protocol.Belongs(h, a.requestInfo.ID) },
	}
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
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
	for _, name := range hopByHopHeaders {
		result.Del(name)
	}
	result.Del("Content-Length")
	result.Del("Expect")
	return result
}

// log writes an event of the request.
func (a *clientRequest) log(event events.Event, attrs ...slog.Attr) {
	all := append([]slog.Attr{
		slog.String("id", a.requestInfo.ID), slog.Int64("age_ms", time.Since(a.arrived).Milliseconds()),
	}, attrs...)
	event.Log(a.request.Context(), a.logger, all...)
}

// Times to come back that own answers give.
const (
	// shortRetryAfter is for conditions that another instance is likely not to have.
	shortRetryAfter = 50 * time.Millisecond
	// longRetryAfter is for backend servers without room.
	longRetryAfter = 300 * time.Millisecond
	maxRetryAfter  = 3 * time.Second
)

// refuse answers that the request has not run and when to come back. A request that
// an earlier send may have run gets an answer that promises nothing instead.
func (a *clientRequest) refuse(reason string, retry time.Duration, attrs ...slog.Attr) {
	if a.mayHaveRun {
		a.fail(http.StatusBadGateway, reason, errMayHaveRun)
		return
	}
	a.metrics.refused.Inc(1)
	retry = min(max(retry, shortRetryAfter), maxRetryAfter)
	a.log(events.AttemptRefused, append(attrs, slog.String("reason", reason), slog.Int64("retry_ms", retry.Milliseconds()),
		slog.Int64("left_ms", a.remaining().Milliseconds()), slog.Int64("view", int64(a.viewVersion())))...)
	a.writer.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(retry.Seconds()*1000)/1000, 'f', -1, 64))
	a.writeLocalAnswer(http.StatusServiceUnavailable, reason)
}

func (a *clientRequest) viewVersion() int64 {
	if a.view == nil {
		return 0
	}
	return int64(a.view.Version)
}

// fail answers that it is not known whether the request ran, or why it can't be
// served.
func (a *clientRequest) fail(status int, reason string, err error) {
	a.metrics.failed.Inc(1)
	attrs := []slog.Attr{slog.Int("status", status), slog.String("reason", reason), slog.Int64("view", a.viewVersion())}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	a.log(events.AttemptEnded, attrs...)
	a.writeLocalAnswer(status, reason)
}

// writeLocalAnswer writes an answer of the gateway itself.
func (a *clientRequest) writeLocalAnswer(status int, reason string) {
	header := a.writer.Header()
	a.protocol.WriteLocalAnswer(header, a.requestInfo.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	a.closeWhenDraining(header)
	a.writer.WriteHeader(status)
	fmt.Fprintln(a.writer, reason)
}

// endUnanswered answers a request whose client left or whose deadline has passed.
func (a *clientRequest) endUnanswered() {
	if a.clientGone() {
		a.metrics.abandoned.Inc(1)
		a.log(events.AttemptLeft)
		panic(http.ErrAbortHandler)
	}
	a.fail(http.StatusGatewayTimeout, "deadline", errDeadlinePassed)
}

// abort breaks off an answer that has begun.
func (a *clientRequest) abort(err error) {
	a.metrics.aborted.Inc(1)
	a.log(events.AttemptBroken, slog.Any("error", err))
	panic(http.ErrAbortHandler)
}

// writeHead writes the head of a server's answer.
func (a *clientRequest) writeHead(answer *upstream.Answer, length int64) {
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

// maxBufferedAnswerBytes is the size up to which an answer is read whole before it is
// passed on, so that one that breaks off can be replaced.
const maxBufferedAnswerBytes = 256 << 10

// forwardAnswer passes on a plain answer. It returns an error while nothing was written
// to the client.
func (a *clientRequest) forwardAnswer(answer *upstream.Answer, server string) error {
	held, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswerBytes))
	if err != nil {
		return err
	}
	if len(held) < maxBufferedAnswerBytes {
		a.writeHead(answer, int64(len(held)))
		_, _ = a.writer.Write(held) // the end of the client's context reports a failure
		a.recordAnswered(answer.Status, server)
		return nil
	}
	a.writeHead(answer, answer.Length)
	if _, err := a.writer.Write(held); err != nil {
		a.abort(err)
	}
	if _, err := io.Copy(a.writer, answer.Body); err != nil {
		a.abort(err)
	}
	a.recordAnswered(answer.Status, server)
	return nil
}

// recordAnswered records the end of a request that has its whole answer.
func (a *clientRequest) recordAnswered(status int, server string) {
	took := time.Since(a.arrived)
	a.metrics.answered.Inc(1)
	a.metrics.duration.RecordDuration(took)
	a.log(events.AttemptEnded, slog.Int("status", status), slog.String("server", server), slog.String("route", a.route.Name),
		slog.Int("sends", a.sends), slog.Int64("first_event_ms", a.firstEvent.Milliseconds()), slog.Int64("left_ms", a.remaining().Milliseconds()))
}
