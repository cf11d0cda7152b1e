package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
)

// HTTPCaller calls backend servers over HTTP/1.1 with JSON and server-sent events.
type HTTPCaller struct {
	transport http.RoundTripper
	memory    *answermemory.Account
}

// NewHTTPCaller returns a caller that sends requests over transport. It uses no
// http.Client, which would send a request again after a redirect. The memory of answers
// is reserved in an account while they are read; nil for no bound.
func NewHTTPCaller(transport http.RoundTripper, memory *answermemory.Account) *HTTPCaller {
	return &HTTPCaller{transport: answerhead.Transport{Next: transport}, memory: memory}
}

// maxHeadBytes limits the head of an answer, which has few fields.
const maxHeadBytes = 4 << 10

// NewTransport returns a transport for calls to backend servers. Idle
// connections are kept per server, because each call is short compared with a
// handshake between regions.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dialCounted,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
		// A faulty server may send a head without end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Call sends one attempt and returns its answer as a stream.
func (h *HTTPCaller) Call(ctx context.Context, server Server, request StageRequest) (StageStream, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	var conns callConns
	trace := &httptrace.ClientTrace{GotConn: conns.gotConn}
	httpRequest, err := newRequest(httptrace.WithClientTrace(ctx, trace), server, request)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := h.transport.RoundTrip(httpRequest)
	if err != nil {
		cancel()
		return nil, transportError(err, conns.finish(), server)
	}
	memory := h.memory.Open(server.ID, cancel)
	stream, err := newStream(response, request, conns.carriedOthers(), memory)
	if err != nil {
		cancel()
		memory.Close()
		return nil, errors.Join(err, response.Body.Close())
	}
	return &cancelStream{StageStream: stream, cancel: cancel, memory: memory}, nil
}

func newRequest(ctx context.Context, server Server, request StageRequest) (*http.Request, error) {
	body, err := encodeBody(request)
	if err != nil {
		return nil, err
	}
	httpRequest := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: server.Address, Path: PathStage + string(request.Type)},
		Header: http.Header{
			"Content-Type": {"application/json"},
			HeaderAttempt:  {request.Attempt},
			HeaderTimeout:  {strconv.FormatInt(request.Timeout.Milliseconds(), 10) + "m"},
			HeaderPriority: {"u=" + strconv.Itoa(request.Priority)},
		},
		Body:          io.NopCloser(bytes.NewReader(body)),
		GetBody:       func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil },
		ContentLength: int64(len(body)),
	}
	return httpRequest.WithContext(ctx), nil
}

// encodeBody appends the input unchanged, since encoding/json would parse and
// compact a document that is known to be valid.
func encodeBody(request StageRequest) ([]byte, error) {
	head, err := json.Marshal(Body{
		Organisation: request.Organisation,
		Pipeline:     request.Pipeline,
		Kind:         request.Kind,
		Class:        string(request.Class),
		Model:        request.Model,
		PrefixKey:    request.PrefixKey,
		MaxTokens:    request.MaxTokens,
		ResumeOffset: request.ResumeOffset,
	})
	if err != nil {
		return nil, err
	}
	const field = `,"input":`
	body := make([]byte, 0, len(head)+len(field)+len(request.Input))
	body = append(body, head[:len(head)-1]...)
	body = append(body, field...)
	body = append(body, request.Input...)
	return append(body, '}'), nil
}

// transportError classifies an error of a call that got no response. Cancelled
// calls, such as the slower call of a hedge, and refusals get no oops context: they
// are frequent, and the stack trace of oops makes an error 20 times as expensive.
func transportError(err error, sent bool, server Server) error {
	kind := ErrNotSent
	if sent {
		kind = ErrMayHaveRun
	}
	err = fmt.Errorf("%w: %w", kind, err)
	if errors.Is(err, context.Canceled) {
		return err
	}
	failure := oops.In("backend").Code("call_failed").With("server", server.ID, "address", server.Address)
	return failure.Wrap(err)
}

// newStream returns the answer in a response as a stream, or the error that the
// response reports. reused is true when its connection has carried other calls.
func newStream(response *http.Response, request StageRequest, reused bool, memory *answermemory.Holding) (StageStream, error) {
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response, request.Attempt, reused)
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return nil, fmt.Errorf("%w: content type: %w", ErrBadAnswer, err)
	}
	switch mediaType {
	case "application/json":
		return newAnswerStream(response, request, memory)
	case "text/event-stream":
		return newEventStream(response.Body, request, memory), nil
	default:
		return nil, fmt.Errorf("%w: content type %q", ErrBadAnswer, mediaType)
	}
}

const maxRefusalBytes = 64 << 10

// statusError returns the error for a status other than 200. A 503 or 429 is a
// refusal only if its body says so: an intermediary may send the same status after
// the request ran. On a connection that was reused it must also name the attempt: a server
// may write the refusal of the call before once more.
func statusError(response *http.Response, attempt string, reused bool) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err != nil {
		return fmt.Errorf("%w: status %d: %w", ErrMayHaveRun, response.StatusCode, err)
	}
	var refusal Refusal
	switch {
	case json.Unmarshal(body, &refusal) != nil || !refusal.Refused:
		return fmt.Errorf("%w: status %d", ErrMayHaveRun, response.StatusCode)
	case refusal.Attempt != "" && refusal.Attempt != attempt:
		return fmt.Errorf("%w: refusal", ErrWrongAttempt)
	case refusal.Attempt == "" && reused:
		return fmt.Errorf("%w: refusal that names no attempt, status %d", ErrMayHaveRun, response.StatusCode)
	}
	return refusalError(response.StatusCode, refusal)
}

func refusalError(status int, refusal Refusal) error {
	switch {
	case refusal.Draining:
		return ErrDraining
	case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	default:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
}

// cancelStream cancels the context of the call when the stream is closed.
type cancelStream struct {
	StageStream
	cancel func()
	memory *answermemory.Holding
}

func (s *cancelStream) Close() error {
	s.cancel()
	s.memory.Close()
	return s.StageStream.Close()
}
