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

// PathJobs is the prefix of the path of a job's status; the job's ID follows it.
const PathJobs = "/v1/jobs/"

// JobStatus is the answer to a status request.
type JobStatus struct {
	ID string `json:"id"`
	// State is accepted or finished.
	State      job.State `json:"state"`
	StagesDone int       `json:"stages_done"`
	// Outcome, Detail and Answer are set for a finished job.
	Outcome Outcome         `json:"outcome,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// StoreJobs implements Jobs with records in the store, and serves the status of
// jobs.
type StoreJobs struct {
	Jobs *jobs.Jobs
	// Claims records which job belongs to an idempotency key; nil when keys cannot
	// be claimed.
	Claims Claims
}

// Submit implements Jobs. For a repeated idempotency key it returns the location
// of the first job.
func (s StoreJobs) Submit(ctx context.Context, request *Request) (location string, problem *Problem) {
	if request.Key == "" {
		return s.submit(ctx, request)
	}
	if s.Claims == nil {
		return "", notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable, "claims are unavailable", "the key cannot be claimed")
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

// settle records the location of the job for the key, or frees the key when no job
// was created.
func (s StoreJobs) settle(ctx context.Context, claim Claim, location string, problem *Problem) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case problem == nil:
		// When this fails, the claim retries in the background.
		_ = claim.Finish(ctx, OutcomeCompleted, []byte(location))
	case problem.Outcome == OutcomeNotRun:
		_ = claim.Release(ctx)
	default:
		_ = claim.Finish(ctx, problem.Outcome, nil)
	}
}

// recordedLocation returns the location of the job of an earlier request with the
// same key.
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
		problem := notRunProblem(http.StatusServiceUnavailable, ProblemUnavailable, "job was not accepted", err.Error())
		problem.RetryAfterMS = storeRetryAfter.Milliseconds()
		return "", problem
	}
	return "", &Problem{
		Type: ProblemUnavailable, Title: "job may have been accepted", Status: http.StatusServiceUnavailable,
		Detail: "if it was, its status is at " + PathJobs + id, Outcome: OutcomeUnknown,
	}
}

// Wait implements Jobs.
func (s StoreJobs) Wait(ctx context.Context, location string) (JobStatus, *Problem) {
	status, err := s.Jobs.Wait(ctx, strings.TrimPrefix(location, PathJobs))
	return jobStatus(status), jobProblem(err)
}

// Register implements Jobs.
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

// jobProblem returns the problem of a status request that failed, nil when it
// succeeded. Its outcome is unknown, since it carries no information about the job.
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

// serveDurable records a durable request as a job before it runs, and waits until
// the job is finished. At the deadline the caller gets the location of the job
// instead of the answer.
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

// result converts the status of a finished job to the result of an execution.
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
	if result.Problem == nil && stream.writeChunk(asText(result.Answer)) != nil {
		return
	}
	_ = stream.finish(result)
}

// JobRunner runs jobs like other requests, with the current configuration.
type JobRunner struct {
	Configuration ConfigurationSource
	Executor      *Executor
	Admission     Admission
	Now           func() time.Time
}

// Run implements jobs.Runner.
func (j JobRunner) Run(ctx context.Context, durableJob jobs.Job, progress jobs.Progress) jobs.Result {
	set := j.Configuration.Current()
	if set == nil {
		return jobs.Result{Outcome: job.OutcomeNotRun, Detail: "this instance holds no configuration yet"}
	}
	request, problem := resolveRequest(map[string]string{
		"organisation": durableJob.Organisation, "pipeline": durableJob.Pipeline, "kind": durableJob.Kind,
	}, set)
	if problem != nil {
		return jobs.Result{Outcome: string(problem.Outcome), Detail: problem.Error()}
	}
	request.Body = durableJob.Body
	request.Deadline = j.Now().Add(request.Kind.MaxWait())
	result := j.runWithAdmission(ctx, request, progress)
	if result.Problem != nil {
		return jobs.Result{
			Outcome: string(result.Outcome), Detail: result.Problem.Error(),
			Permanent: result.Problem.Type == ProblemInvalid, Harmful: result.ServersEnded,
		}
	}
	return jobs.Result{Outcome: string(result.Outcome), Answer: result.Answer}
}

func (j JobRunner) runWithAdmission(ctx context.Context, request *Request, progress jobs.Progress) Result {
	options := ExecutionOptions{Results: progress.Results, StageDone: progress.StageDone}
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

// jobClaim implements Claim for jobs, which need no record of a claim: before a
// non-idempotent call is sent, the job's own record states that it will be.
type jobClaim struct {
	allowed func() bool
}

func (c jobClaim) Usable() bool { return c.allowed() }

// Finish and Release do nothing, because the outcome is in the job's record.
func (c jobClaim) Finish(context.Context, Outcome, []byte) error { return nil }
func (c jobClaim) Release(context.Context) error                 { return nil }
