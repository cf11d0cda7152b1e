package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/jobs"
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

// PathJobs starts the path of a job's status.
const PathJobs = "/v1/jobs/"

// JobStatus is the answer to a status request.
type JobStatus struct {
	ID string `json:"id"`
	// State is accepted or finished.
	State      job.State `json:"state"`
	StagesDone int       `json:"stages_done"`
	// Outcome, Detail and Answer are those of a finished job.
	Outcome Outcome         `json:"outcome,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// StoreJobs accepts durable requests into the store and serves their status.
type StoreJobs struct {
	Jobs *jobs.Jobs
	// Claims ties a key to its job; nil when keys can't be claimed.
	Claims Claims
}

// Submit records a request. A repeated key gets the location of its first job.
func (s StoreJobs) Submit(ctx context.Context, request *Request) (location string, problem *Problem) {
	if request.Key == "" {
		return s.submit(ctx, request)
	}
	if s.Claims == nil {
		return "", notRun(http.StatusServiceUnavailable, ProblemUnavailable, "claims are unavailable", "the key cannot be claimed")
	}
	claim, recorded, problem := s.Claims.Claim(ctx, request)
	if problem != nil {
		return "", problem
	}
	if recorded != nil {
		return recordedLocation(recorded)
	}
	location, problem = s.submit(ctx, request)
	s.settle(ctx, claim, location, problem)
	return location, problem
}

// settle ties the key to the job, or frees it when there is none.
func (s StoreJobs) settle(ctx context.Context, claim Claim, location string, problem *Problem) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case problem == nil:
		// The claim goes on trying by itself when this fails.
		_ = claim.Finish(ctx, OutcomeCompleted, []byte(location))
	case problem.Outcome == OutcomeNotRun:
		_ = claim.Release(ctx)
	default:
		_ = claim.Finish(ctx, problem.Outcome, nil)
	}
}

func recordedLocation(recorded *RecordedAnswer) (string, *Problem) {
	location := string(recorded.Answer)
	if recorded.Outcome == OutcomeCompleted && strings.HasPrefix(location, PathJobs) {
		return location, nil
	}
	return "", replay(recorded, nil).Problem
}

func (s StoreJobs) submit(ctx context.Context, request *Request) (string, *Problem) {
	id, err := s.Jobs.Submit(ctx, jobs.Job{
		Organisation: request.Organisation.Name,
		Pipeline:     request.Pipeline.Name,
		Kind:         request.Kind.Name,
		Body:         request.Body,
		Retention:    request.Kind.Retention(),
	})
	switch {
	case err == nil:
		return PathJobs + id, nil
	case errors.Is(err, jobs.ErrNotAccepted):
		problem := notRun(http.StatusServiceUnavailable, ProblemUnavailable, "job was not accepted", err.Error())
		problem.RetryAfterMS = storeRetryAfter.Milliseconds()
		return "", problem
	}
	return "", &Problem{
		Type: ProblemUnavailable, Title: "job may have been accepted", Status: http.StatusServiceUnavailable,
		Detail: "if it was, its status is at " + PathJobs + id, Outcome: OutcomeUnknown,
	}
}

// Wait returns the status of a job once it is finished or ctx ends.
func (s StoreJobs) Wait(ctx context.Context, location string) (JobStatus, *Problem) {
	status, err := s.Jobs.Wait(ctx, strings.TrimPrefix(location, PathJobs))
	return jobStatus(status), jobProblem(err)
}

// Register adds the route of job status.
func (s StoreJobs) Register(router *mux.Router) {
	router.HandleFunc(PathJobs+"{id}", s.serveStatus).Methods(http.MethodGet)
}

func (s StoreJobs) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.Jobs.Status(r.Context(), mux.Vars(r)["id"])
	if problem := jobProblem(err); problem != nil {
		problem.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(jobStatus(status))
}

func jobStatus(status jobs.Status) JobStatus {
	return JobStatus{
		ID: status.Record.ID, State: status.Record.State, StagesDone: len(status.Record.Stages),
		Outcome: Outcome(status.Record.Outcome), Detail: status.Record.Detail, Answer: status.Answer,
	}
}

// jobProblem is the answer to a status request that can't be served. Its outcome
// is unknown, since it says nothing of the job.
func jobProblem(err error) *Problem {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, jobs.ErrNotFound):
		return &Problem{
			Type: ProblemNotFound, Title: "unknown job", Status: http.StatusNotFound,
			Detail: "the job does not exist or its retention has passed", Outcome: OutcomeUnknown,
		}
	}
	return &Problem{
		Type: ProblemUnavailable, Title: "job status is unavailable", Status: http.StatusServiceUnavailable,
		Detail: err.Error(), Outcome: OutcomeUnknown, RetryAfterMS: storeRetryAfter.Milliseconds(),
	}
}

// serveDurable records a durable request before it runs and waits for its end.
// At the deadline the caller is told where to find the answer.
func (h *Handler) serveDurable(w http.ResponseWriter, r *http.Request, request *Request) {
	ctx, cancel := context.WithTimeout(r.Context(), request.Deadline.Sub(h.Now()))
	defer cancel()
	location, problem := h.Jobs.Submit(ctx, request)
	if problem != nil {
		problem.write(w)
		return
	}
	status, problem := h.Jobs.Wait(ctx, location)
	if problem != nil || status.State != job.StateFinished {
		w.Header().Set("Location", location)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	writeResult(w, request, status.result())
}

// result is the status of a finished job as the result of an execution.
func (s JobStatus) result() Result {
	if s.Outcome == OutcomeCompleted {
		return Result{Outcome: OutcomeCompleted, Answer: s.Answer}
	}
	return failedResult(&Problem{
		Type: ProblemStage, Title: "job failed", Status: http.StatusBadGateway, Detail: s.Detail, Outcome: s.Outcome,
	})
}

func writeResult(w http.ResponseWriter, request *Request, result Result) {
	if !request.Stream {
		writePlain(w, result)
		return
	}
	stream := newEventWriter(w)
	if result.Problem == nil && stream.piece(asText(result.Answer)) != nil {
		return
	}
	_ = stream.finish(result)
}

// JobRunner runs jobs like other requests, with the configuration in force.
type JobRunner struct {
	Configuration ConfigurationSource
	Executor      *Executor
	Admission     Admission
	Now           func() time.Time
}

// Run implements jobs.Runner.
func (j JobRunner) Run(ctx context.Context, durable jobs.Job, progress jobs.Progress) jobs.Result {
	set := j.Configuration.Current()
	if set == nil {
		return jobs.Result{Outcome: job.OutcomeNotRun, Detail: "this instance holds no configuration yet"}
	}
	request, problem := lookUp(map[string]string{
		"organisation": durable.Organisation, "pipeline": durable.Pipeline, "kind": durable.Kind,
	}, set)
	if problem != nil {
		return jobs.Result{Outcome: string(problem.Outcome), Detail: problem.Error()}
	}
	request.Body = durable.Body
	request.Deadline = j.Now().Add(request.Kind.MaxWait())
	result := j.admitted(ctx, request, progress)
	if result.Problem != nil {
		return jobs.Result{Outcome: string(result.Outcome), Detail: result.Problem.Error()}
	}
	return jobs.Result{Outcome: string(result.Outcome), Answer: result.Answer}
}

func (j JobRunner) admitted(ctx context.Context, request *Request, progress jobs.Progress) Result {
	options := Options{Results: progress.Results, StageDone: progress.StageDone}
	if request.Kind.AtMostOnce() {
		options.Claim = jobClaim{allowed: progress.BeforeNonIdempotentCall}
	}
	if j.Admission == nil {
		return j.Executor.Execute(ctx, request, options)
	}
	release, problem := j.Admission.Admit(ctx, request)
	if problem != nil {
		return failedResult(problem)
	}
	result := j.Executor.Execute(ctx, request, options)
	release(result.Outcome)
	return result
}

// jobClaim lets a job's record stand for the claim: it says that a
// non-idempotent call was sent before the call is.
type jobClaim struct {
	allowed func() bool
}

func (c jobClaim) Usable() bool { return c.allowed() }

// Finish and Release do nothing: the job's record holds the outcome.
func (c jobClaim) Finish(context.Context, Outcome, []byte) error { return nil }
func (c jobClaim) Release(context.Context) error                 { return nil }
