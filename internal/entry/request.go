package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// maxBodyBytes bounds a caller's body.
const maxBodyBytes = 8 << 20

// Request is a caller's request after validation against the configuration.
type Request struct {
	Organisation pipeline.Organisation
	Pipeline     *pipeline.Pipeline
	Kind         pipeline.Kind
	// Body is the caller's JSON document.
	Body json.RawMessage
	// Key is the idempotency key; empty for none.
	Key string
	// Deadline is when the whole answer must have arrived.
	Deadline time.Time
	// Stream is true when the caller wants server-sent events.
	Stream bool
}

// parseRequest validates an HTTP request against a configuration.
func parseRequest(r *http.Request, set *pipeline.Set, now time.Time) (*Request, *Problem) {
	request, problem := lookUp(mux.Vars(r), set)
	if problem != nil {
		return nil, problem
	}
	timeout, err := parseTimeout(r.Header, request.Kind.MaxWait())
	if err != nil {
		return nil, notRun(http.StatusBadRequest, ProblemInvalid, "invalid deadline", err.Error())
	}
	if timeout <= 0 {
		return nil, notRun(http.StatusGatewayTimeout, ProblemDeadline, "deadline expired", "no time is left for the request")
	}
	request.Deadline = now.Add(timeout)
	request.Key = r.Header.Get("Idempotency-Key")
	if request.Kind.AtMostOnce() && request.Key == "" {
		return nil, notRun(http.StatusBadRequest, ProblemInvalid, "missing idempotency key",
			fmt.Sprintf("kind %q is at-most-once and needs the Idempotency-Key header", request.Kind.Name))
	}
	request.Stream = strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	request.Body, problem = readBody(r)
	return request, problem
}

// lookUp finds the organisation, pipeline and kind that the path names.
func lookUp(vars map[string]string, set *pipeline.Set) (*Request, *Problem) {
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
	return notRun(http.StatusNotFound, ProblemNotFound, "unknown "+what, fmt.Sprintf("%s %q is not configured", what, name))
}

// readBody reads a bounded JSON document.
func readBody(r *http.Request) (json.RawMessage, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(http.StatusRequestEntityTooLarge, ProblemInvalid, "body too large",
			fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, notRun(http.StatusBadRequest, ProblemInvalid, "unreadable body", err.Error())
	}
	if !json.Valid(body) {
		return nil, notRun(http.StatusBadRequest, ProblemInvalid, "malformed body", "the body is not a JSON document")
	}
	return body, nil
}

// parseTimeout reads the deadline from Grpc-Timeout or from the wait preference
// of RFC 7240, bounded by the longest wait of the kind.
func parseTimeout(header http.Header, longest time.Duration) (time.Duration, error) {
	if value := header.Get("Grpc-Timeout"); value != "" {
		timeout, err := parseGRPCTimeout(value)
		return min(timeout, longest), err
	}
	for preference := range strings.SplitSeq(header.Get("Prefer"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(preference), "wait=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0, fmt.Errorf("preference wait=%q is not a number of seconds", value)
		}
		return min(time.Duration(seconds)*time.Second, longest), nil
	}
	return longest, nil
}

// grpcUnits are the units of the Grpc-Timeout header.
var grpcUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// maxTimeoutDigits is the bound that the gRPC protocol sets on the number.
const maxTimeoutDigits = 8

func parseGRPCTimeout(value string) (time.Duration, error) {
	unit, ok := grpcUnits[value[len(value)-1]]
	digits := value[:len(value)-1]
	if !ok || len(digits) > maxTimeoutDigits {
		return 0, fmt.Errorf("Grpc-Timeout %q is not a number of at most %d digits with a unit", value, maxTimeoutDigits)
	}
	number, err := strconv.ParseUint(digits, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("Grpc-Timeout %q: %w", value, err)
	}
	return time.Duration(number) * unit, nil
}
