package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

// PathRequest is the route of callers' requests.
const PathRequest = "/v1/organisations/{organisation}/pipelines/{pipeline}/kinds/{kind}"

// writeMargin is how long after the deadline of its request a caller may still
// read the rest of a stream. Then the connection of a caller that does not read is
// closed.
const writeMargin = 5 * time.Second

// Jobs accepts durable requests as jobs.
type Jobs interface {
	// Submit records a request as a job. It returns the path of the job's status
	// once the job is certain to run.
	Submit(ctx context.Context, request *Request) (location string, problem *Problem)
	// Wait returns the status of a job once it is finished or ctx ends.
	Wait(ctx context.Context, location string) (JobStatus, *Problem)
	// Register adds the routes of job status to the caller API.
	Register(router *mux.Router)
}

// Handler serves the caller API. Admission, Claims and Jobs may be nil: without
// Admission every request is admitted, without Claims at-most-once requests are
// refused, and without Jobs durable requests are refused.
type Handler struct {
	Configuration ConfigurationSource
	Executor      *Executor
	Admission     Admission
	Claims        Claims
	Jobs          Jobs
	Now           func() time.Time

	running  atomic.Int64
	draining atomic.Bool
}

// Router returns the routes of the caller API.
func (h *Handler) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathRequest, h.serveRequest).Methods(http.MethodPost)
	if h.Jobs != nil {
		h.Jobs.Register(router)
	}
	router.NotFoundHandler = problemHandler(http.StatusNotFound, "unknown path")
	router.MethodNotAllowedHandler = problemHandler(http.StatusMethodNotAllowed, "method not allowed")
	return h.trackRequests(router)
}

// Running returns the number of requests being served.
func (h *Handler) Running() int64 {
	return h.running.Load()
}

// Drain makes every further answer close its connection, so that callers connect
// to another instance for their next request.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// trackRequests counts running requests, and closes connections while draining.
func (h *Handler) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.running.Add(1)
		defer h.running.Add(-1)
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func problemHandler(status int, title string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		doors.LimitUnreadBody(w, r)
		notRunProblem(status, ProblemNotFound, title, fmt.Sprintf("%s %s", r.Method, r.URL.Path)).write(w)
	})
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	request, problem := parseRequest(w, r, h.Configuration.Current(), h.Now())
	if problem != nil {
		h.Executor.Metrics.countRejected(problem.Status)
		doors.LimitUnreadBody(w, r)
		problem.write(w)
		return
	}
	leave, ok := doors.FromContext(r.Context()).Enter(memorybudget.Purpose{Organisation: request.Organisation.Name})
	if !ok {
		problem := notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable, "too many requests", "too many requests are in progress")
		problem.RetryAfterMS = refusedRetryAfter.Milliseconds()
		h.Executor.Metrics.countRejected(problem.Status)
		problem.write(w)
		return
	}
	defer leave()
	switch {
	case request.Kind.Durable && h.Jobs == nil:
		notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable, "durable work is unavailable",
			"this instance cannot record jobs").write(w)
	case request.Async:
		h.serveAsync(w, r, request)
	case request.Kind.Durable:
		h.serveDurable(w, r, request)
	case request.Stream:
		h.serveStream(w, r, request)
	default:
		h.servePlain(w, r, request)
	}
}

// acceptTimeout limits how long a caller that does not wait for the answer of a
// durable request waits for the acceptance of the job.
const acceptTimeout = 10 * time.Second

// serveAsync answers a durable request with 202 Accepted once its job is recorded.
func (h *Handler) serveAsync(w http.ResponseWriter, r *http.Request, request *Request) {
	ctx, cancel := context.WithTimeout(r.Context(), min(acceptTimeout, request.Deadline.Sub(h.Now())))
	defer cancel()
	location, problem := h.Jobs.Submit(ctx, request)
	if problem != nil {
		problem.write(w)
		return
	}
	w.Header().Set("Location", location)
	w.Header().Set("Preference-Applied", preferAsync)
	w.WriteHeader(http.StatusAccepted)
}

// servePlain sends the complete answer with its Content-Length, so that a caller
// detects a truncated one.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request, request *Request) {
	writePlain(w, h.serve(r.Context(), request, nil))
}

func writePlain(w http.ResponseWriter, result Result) {
	if result.Problem != nil {
		result.Problem.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(result.Answer)))
	w.Header().Set(HeaderOutcome, string(OutcomeCompleted))
	_, _ = w.Write(result.Answer)
}

// serveStream sends chunks as they arrive, and an end event after a complete
// answer.
func (h *Handler) serveStream(w http.ResponseWriter, r *http.Request, request *Request) {
	stream := newEventWriter(w)
	// A writer that does not support deadlines, as in tests, does not block.
	_ = stream.controller.SetWriteDeadline(time.Now().Add(request.Deadline.Sub(h.Now()) + writeMargin))
	result := h.serve(r.Context(), request, stream.writeChunk)
	if stream.finish(result) == nil {
		_ = stream.controller.SetWriteDeadline(time.Time{})
	}
}
