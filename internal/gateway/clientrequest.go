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
	"sync/atomic"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// clientRequest is the state of one client request.
type clientRequest struct {
	*Gateway
	writer  http.ResponseWriter
	request *http.Request
	// ctx ends when the client disconnects, at the deadline, and near the end of a shutdown
	// while answering is false.
	ctx context.Context
	// answering is set once the head of the answer is written to the client.
	answering   atomic.Bool
	arrived     time.Time
	view        *view.View
	requestInfo RequestInfo
	// malformed is the error of Protocol.ReadRequest.
	malformed error
	route     *route.Route
	service   *route.Service
	// organisation is empty when the request needs no key.
	organisation string
	priority     int
	body         []byte
	// heldBody holds the memory reservation of the body; nil without a body.
	heldBody *doors.Body
	// bodyUnread is set until the whole body is read, if there is one.
	bodyUnread bool
	deadline   time.Time
	// sends is the number of times that the request was sent to a backend server. Sends
	// whose inputs were lost don't count.
	sends int
	// earlierSends are all sends of the request to backend servers.
	earlierSends upstream.Sends
	// mayHaveRun is set once a send ended without an answer that rules out that the
	// request ran. From then on the request is not refused, because a refusal states that
	// it did not run.
	mayHaveRun bool
	// firstEventDelay is the time from the last send to the first event of a stream.
	firstEventDelay time.Duration
}

var (
	errDeadlinePassed = errors.New("deadline has passed")
	errMayHaveRun     = errors.New("an earlier send may have run the request")
	// errUnverifiedAnswer reports a success with AnswerInfo.Unverified.
	errUnverifiedAnswer = errors.New("success is not the server's own answer")
)

// remaining returns the time left for the request.
func (c *clientRequest) remaining() time.Duration { return time.Until(c.deadline) }

// clientGone reports whether the client has closed its connection.
func (c *clientRequest) clientGone() bool { return c.request.Context().Err() != nil }

// expired reports whether the deadline has passed.
func (c *clientRequest) expired() bool { return c.remaining() <= 0 }

// mayRetry reports whether the number of sends, the time left and the retry budget
// allow that the request is sent to another server.
func (c *clientRequest) mayRetry() bool {
	return c.ctx.Err() == nil && c.sends < c.route.Attempts() && c.remaining() > minRetryTime && c.servers.AllowRetry(c.service.Name)
}

// minRetryTime is the least time left for which a request is retried.
const minRetryTime = 20 * time.Millisecond

// outgoingRequest returns the request in the form that is sent to a server. It fills in
// the server, the remaining time and the organisation of s.
func (c *clientRequest) outgoingRequest(server upstream.Server, s SendInfo) *upstream.Request {
	header := forwardedHeader(c.request.Header)
	s.Server, s.Remaining, s.Organisation = server.ID, c.remaining(), c.organisation
	c.protocol.WriteRequest(header, s)
	return &upstream.Request{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: header, Body: c.body,
		Belongs: func(h http.Header) bool { return c.protocol.Belongs(h, c.requestInfo.ID) },
		Earlier: &c.earlierSends,
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeader returns a copy of a header without hop-by-hop headers. It also drops
// Content-Length, which is computed again, and Expect, as interim answers are not
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

// log logs an event with the ID and the age of the request.
func (c *clientRequest) log(event events.Event, attrs ...slog.Attr) {
	all := append([]slog.Attr{
		slog.String("id", c.requestInfo.ID), slog.Int64("age_ms", time.Since(c.arrived).Milliseconds()),
	}, attrs...)
	event.Log(c.request.Context(), c.logger, all...)
}

// Values of the Retry-After header in answers that the gateway itself generates.
const (
	// shortRetryAfter is for conditions that other instances are unlikely to have.
	shortRetryAfter = 50 * time.Millisecond
	// longRetryAfter is for overloaded or missing backend servers.
	longRetryAfter = 300 * time.Millisecond
	maxRetryAfter  = 3 * time.Second
)

// refuse answers that the request has not run and when to retry it. When an earlier
// send may have run the request, it answers with 502 instead, which leaves that open.
func (c *clientRequest) refuse(reason string, retry time.Duration, attrs ...slog.Attr) {
	c.refuseFor(reason, min(retry, maxRetryAfter), attrs...)
}

// refuseFor is refuse without an upper bound on the time after which to retry.
func (c *clientRequest) refuseFor(reason string, retry time.Duration, attrs ...slog.Attr) {
	if c.mayHaveRun {
		c.fail(http.StatusBadGateway, reason, errMayHaveRun)
		return
	}
	c.metrics.refused.Inc(1)
	retry = max(retry, shortRetryAfter)
	c.log(events.AttemptRefused, append(attrs, slog.String("reason", reason), slog.Int64("retry_ms", retry.Milliseconds()),
		slog.Int64("left_ms", c.remaining().Milliseconds()), slog.Int64("view", int64(c.viewVersion())))...)
	c.writer.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(retry.Seconds()*1000)/1000, 'f', -1, 64))
	c.writeLocalAnswer(http.StatusServiceUnavailable, reason)
}

func (c *clientRequest) viewVersion() int64 {
	if c.view == nil {
		return 0
	}
	return int64(c.view.Version)
}

// fail answers that the request can't be served, or that it is unknown whether it ran.
func (c *clientRequest) fail(status int, reason string, err error) {
	c.metrics.failed.Inc(1)
	attrs := []slog.Attr{slog.Int("status", status), slog.String("reason", reason), slog.Int64("view", c.viewVersion())}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	c.log(events.AttemptEnded, attrs...)
	c.writeLocalAnswer(status, reason)
}

// writeLocalAnswer writes an answer that the gateway itself generates.
func (c *clientRequest) writeLocalAnswer(status int, reason string) {
	header := c.writer.Header()
	c.protocol.WriteLocalAnswer(header, c.requestInfo.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.closeWhenDraining(header)
	if c.bodyUnread {
		doors.LimitUnreadBody(c.writer, c.request)
	}
	c.writer.WriteHeader(status)
	fmt.Fprintln(c.writer, reason)
}

// endUnanswered ends a request whose client has disconnected or whose deadline has
// passed. In the first case it panics with http.ErrAbortHandler, in the second it answers
// with status 504.
func (c *clientRequest) endUnanswered() {
	if c.clientGone() {
		c.metrics.abandoned.Inc(1)
		c.log(events.AttemptAbandoned)
		panic(http.ErrAbortHandler)
	}
	c.fail(http.StatusGatewayTimeout, "deadline", errDeadlinePassed)
}

// abortFlushTimeout bounds how long an abort waits for a client that does not read.
const abortFlushTimeout = 500 * time.Millisecond

// abort closes the client connection in the middle of an answer, by a panic with
// http.ErrAbortHandler. What was written before still reaches a client that reads it.
func (c *clientRequest) abort(err error) {
	c.metrics.aborted.Inc(1)
	c.log(events.AttemptAborted, slog.Any("error", err))
	controller := http.NewResponseController(c.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(abortFlushTimeout))
	_ = controller.Flush() // the client may be gone
	if !c.request.ProtoAtLeast(1, 1) {
		// Without chunks, the end of the connection is the end of the answer.
		if conn := doors.FromContext(c.request.Context()); conn != nil {
			conn.ResetOnClose()
		}
	}
	panic(http.ErrAbortHandler)
}

// writeHead writes the head of a server's answer.
func (c *clientRequest) writeHead(answer *upstream.Answer, length int64) {
	c.answering.Store(true)
	header := c.writer.Header()
	for name, values := range forwardedHeader(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if answer.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // stops net/http from detecting one
	}
	c.closeWhenDraining(header)
	c.writer.WriteHeader(answer.Status)
}

// maxBufferedAnswerBytes is the size up to which an answer is buffered before it is
// passed on, so that the request can be retried when the answer breaks off.
const maxBufferedAnswerBytes = 256 << 10

// relayBufferBytes is the size of the buffer for an answer that is passed on as it comes.
const relayBufferBytes = 8 << 10

// forwardAnswer passes on an answer that is not a stream of events. It returns an error
// only when nothing was written to the client.
func (c *clientRequest) forwardAnswer(answer *upstream.Answer, server string) error {
	held := heldAnswer{memory: answer.Memory()}
	defer held.release()
	whole, err := held.read(answer.Body)
	if err != nil {
		return err
	}
	buffered := held.bytes
	if whole {
		c.writeHead(answer, int64(len(buffered)))
		_, _ = c.writer.Write(buffered) // a failure ends the context of the client's request
		c.recordAnswered(answer, server)
		return nil
	}
	c.writeHead(answer, answer.Length)
	if _, err := c.writer.Write(buffered); err != nil {
		c.abort(err)
	}
	// The writer's own ReadFrom would take a larger buffer.
	if _, err := io.CopyBuffer(struct{ io.Writer }{c.writer}, answer.Body, make([]byte, relayBufferBytes)); err != nil {
		c.abort(err)
	}
	c.recordAnswered(answer, server)
	return nil
}

// recordAnswered records the end of a request whose answer was passed on completely.
func (c *clientRequest) recordAnswered(answer *upstream.Answer, server string, attrs ...slog.Attr) {
	took := time.Since(c.arrived)
	c.metrics.answered.Inc(1)
	c.metrics.duration.RecordDuration(took)
	c.durations.observe(time.Now(), c.route.Name, took)
	c.log(events.AttemptEnded, append(attrs, slog.Int("status", answer.Status), slog.String("server", server), slog.String("route", c.route.Name),
		slog.String("framing", string(answer.Framing)), slog.Uint64("connection", answer.Connection), slog.Int("sends", c.sends),
		slog.Int64("first_event_ms", c.firstEventDelay.Milliseconds()), slog.Int64("left_ms", c.remaining().Milliseconds()))...)
}
