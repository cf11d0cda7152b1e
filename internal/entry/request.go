package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 8 << 20

// maxKeyBytes limits an idempotency key. Keys are recorded in the store, which
// limits the size of values.
const maxKeyBytes = 255

// Request is a request that was validated against the configuration.
type Request struct {
	Organisation pipeline.Organisation
	Pipeline     *pipeline.Pipeline
	Kind         pipeline.Kind
	// Body is the caller's JSON document.
	Body json.RawMessage
	// Key is the idempotency key; empty for none.
	Key string
	// Deadline is the time by which the complete answer must have arrived.
	Deadline time.Time
	// Stream is true when the caller accepts server-sent events.
	Stream bool

	// crossRegion is set by admission control when the request runs in another
	// region, because its own cannot answer in time.
	crossRegion bool
	// Async is true for a durable request whose answer the caller fetches later.
	Async bool
}

// parseRequest validates an HTTP request against a configuration. The body is
// read last, so that an invalid header is answered without waiting for it.
func parseRequest(w http.ResponseWriter, r *http.Request, set *pipeline.Set, now time.Time) (*Request, *Problem) {
	if set == nil {
		problem := notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable, "no configuration", "this instance holds no configuration yet")
		problem.RetryAfterMS = refusedRetryAfter.Milliseconds()
		return nil, problem
	}
	request, problem := resolveRequest(mux.Vars(r), set)
	if problem != nil {
		return nil, problem
	}
	timeout, err := parseTimeout(r.Header, request.Kind.MaxWait())
	if err != nil {
		return nil, notRunProblem(http.StatusBadRequest, ProblemInvalid, "invalid deadline", err.Error())
	}
	if timeout <= 0 {
		return nil, notRunProblem(http.StatusGatewayTimeout, ProblemDeadline, "deadline expired", "no time is left for the request")
	}
	request.Deadline = now.Add(timeout)
	if request.Key, problem = parseKey(r.Header, request.Kind); problem != nil {
		return nil, problem
	}
	request.Stream = strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	request.Async = request.Kind.Durable && prefersAsync(r.Header)
	request.Body, problem = readBody(w, r, timeout)
	return request, problem
}

// parseKey reads the idempotency key, which at-most-once kinds require.
func parseKey(header http.Header, kind pipeline.Kind) (string, *Problem) {
	keys := header.Values("Idempotency-Key")
	switch {
	case len(keys) > 1:
		return "", notRunProblem(http.StatusBadRequest, ProblemInvalid, "ambiguous idempotency key",
			"the Idempotency-Key header was sent more than once")
	case len(keys) == 1 && len(keys[0]) > maxKeyBytes:
		return "", notRunProblem(http.StatusBadRequest, ProblemInvalid, "idempotency key too long",
			fmt.Sprintf("the key exceeds %d bytes", maxKeyBytes))
	case len(keys) == 1 && keys[0] != "":
		return keys[0], nil
	case kind.AtMostOnce():
		return "", notRunProblem(http.StatusBadRequest, ProblemInvalid, "missing idempotency key",
			fmt.Sprintf("kind %q is at-most-once and needs the Idempotency-Key header", kind.Name))
	default:
		return "", nil
	}
}

// resolveRequest looks up the organisation, pipeline and kind whose names are in
// vars, the variables of the request path.
func resolveRequest(vars map[string]string, set *pipeline.Set) (*Request, *Problem) {
	organisation, ok := set.Organisation(vars["organisation"])
	if !ok {
		return nil, unknownName("organisation", vars["organisation"])
	}
	p, ok := set.Pipeline(vars["pipeline"])
	if !ok {
		return nil, unknownName("pipeline", vars["pipeline"])
	}
	kind, ok := p.Kind(vars["kind"])
	if !ok {
		return nil, unknownName("kind", vars["kind"])
	}
	return &Request{Organisation: organisation, Pipeline: p, Kind: kind}, nil
}

func unknownName(what, name string) *Problem {
	return notRunProblem(http.StatusNotFound, ProblemNotFound, "unknown "+what, fmt.Sprintf("%s %q is not configured", what, name))
}

// readBody reads a JSON document of at most maxBodyBytes within timeout.
func readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) (json.RawMessage, *Problem) {
	if r.ContentLength > maxBodyBytes {
		return nil, bodyTooLarge()
	}
	control := http.NewResponseController(w)
	// The writers of tests do not support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := readAll(r.Context(), http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge()
	case errors.Is(err, doors.ErrNoRoom):
		problem := notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable, "no memory", "the memory for request bodies is used up")
		problem.RetryAfterMS = refusedRetryAfter.Milliseconds()
		return nil, problem
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, notRunProblem(http.StatusGatewayTimeout, ProblemDeadline, "deadline expired", "the body did not arrive in time")
	case err != nil:
		return nil, notRunProblem(http.StatusBadRequest, ProblemInvalid, "unreadable body", err.Error())
	case !json.Valid(body):
		return nil, notRunProblem(http.StatusBadRequest, ProblemInvalid, "malformed body", "the body is not a JSON document")
	}
	// Otherwise the read deadline would end net/http's background read, which
	// detects that the caller disconnected, and cancel the request.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// preallocatedBodyBytes limits the memory that a Content-Length reserves before
// the body has arrived.
const preallocatedBodyBytes = 64 << 10

// readAll reads a body into the memory of the door that it came through. Without a door, one
// whose length is known and short is read without growing a buffer. length is -1 when it is
// unknown.
func readAll(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	if conn := doors.FromContext(ctx); conn != nil {
		return conn.HoldBody(body, length, maxBodyBytes)
	}
	if length < 0 || length > preallocatedBodyBytes {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}

func bodyTooLarge() *Problem {
	return notRunProblem(http.StatusRequestEntityTooLarge, ProblemInvalid, "body too large",
		fmt.Sprintf("the body exceeds %d bytes", maxBodyBytes))
}
