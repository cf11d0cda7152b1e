package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

// recordRetryDelay is the time between two attempts to write a record or a result
// while the lease is valid.
const recordRetryDelay = 200 * time.Millisecond

// run is a job that this instance holds.
type run struct {
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when this instance no longer holds the job.
	done chan struct{}

	mu      sync.Mutex
	machine *job.Machine
}

func (r *run) nonIdempotentSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Record().NonIdempotentSent
}

// Submit records a job and starts it. It returns ErrNotAccepted if the job will not
// run. After ErrUnresolved the job may run under the returned ID.
func (j *Jobs) Submit(ctx context.Context, request Job) (id string, err error) {
	ctx = jobContext(ctx)
	holder, ok := j.acquireLease(ctx)
	if !ok {
		return "", ErrNotAccepted
	}
	now := j.WallTime()
	id = job.NewID(now, uuid.NewString())
	body := job.NewValue(job.BodyName, holder.FencingToken, 0, request.Body)
	if err := j.values.put(ctx, id, body, request.Body); err != nil {
		return "", errors.Join(ErrNotAccepted, err)
	}
	record := job.Record{
		ID: id, Organisation: request.Organisation, Pipeline: request.Pipeline, Kind: request.Kind,
		Body: body, State: job.StateAccepted, CreatedMS: now.UnixMilli(), RetentionMS: request.Retention.Milliseconds(),
	}
	return id, j.start(ctx, record, 0, holder)
}

// start writes the record of a new run and runs it. version is that of the current
// record in the store, or 0 for a new job.
func (j *Jobs) start(ctx context.Context, record job.Record, version int64, holder job.Holder) error {
	r := &run{done: make(chan struct{}), machine: job.NewMachine(record, version)}
	r.ctx, r.cancel = context.WithCancel(jobContext(context.Background()))
	j.mu.Lock()
	if _, held := j.running[record.ID]; held || j.closing {
		j.mu.Unlock()
		return ErrNotAccepted
	}
	j.running[record.ID] = r
	j.mu.Unlock()
	return j.step(ctx, r, job.StartRun{Holder: holder})
}

// step applies one input to the job's state machine and carries out the actions that
// it returns. It returns an error if a record was not written or this instance no
// longer holds the job.
func (j *Jobs) step(ctx context.Context, r *run, input job.Input) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	outputs := r.machine.Step(j.WallTime(), input)
	var result error
	for len(outputs) > 0 {
		var more []job.Output
		switch out := outputs[0].(type) {
		case job.WriteRecord:
			var nextInput job.Input
			nextInput, result = j.writeRecord(ctx, r, out)
			more = r.machine.Step(j.WallTime(), nextInput)
		case job.RunStages:
			go j.execute(r, r.machine.Record(), out.Delay)
		case job.StopRun:
			j.remove(r)
			if result == nil && r.machine.Record().State != job.StateFinished {
				result = errStopped
			}
		}
		outputs = append(outputs[1:], more...)
	}
	return result
}

// remove cancels the run of a job that this instance no longer holds and removes the
// job.
func (j *Jobs) remove(r *run) {
	r.cancel()
	j.mu.Lock()
	defer j.mu.Unlock()
	if id := r.machine.Record().ID; j.running[id] == r {
		delete(j.running, id)
		close(r.done)
	}
}

// writeRecord writes a record, with retries while the lease is valid. It returns the
// result as the next input of the state machine, and an error of this package unless
// the store certainly holds the record.
func (j *Jobs) writeRecord(ctx context.Context, r *run, out job.WriteRecord) (job.Input, error) {
	key, value := job.RecordKey(out.Record.ID), out.Record.Encode()
	mayBeWritten := false
	for {
		if holder, ok := j.currentHolder(); !ok || out.Record.FencingToken != 0 && holder.FencingToken != out.Record.FencingToken {
			return j.unconfirmedWrite(out, mayBeWritten)
		}
		version, err := j.Store.CompareAndSwap(ctx, key, store.Version(out.ExpectedVersion), value, 0)
		mayBeWritten = mayBeWritten || errors.Is(err, store.ErrUnknownOutcome)
		if mayBeWritten && err != nil {
			version, err = j.readBack(ctx, key, value, out.ExpectedVersion, err)
		}
		var conflict *store.ConflictError
		switch {
		case err == nil:
			j.moveFinished(ctx, out.Record, int64(version))
			return job.RecordStored{Version: int64(version)}, nil
		case errors.As(err, &conflict):
			events.JobStopped.Log(ctx, j.Log, slog.String("job", out.Record.ID))
			j.lost.Inc(1)
			return job.WriteConflict{}, errStopped
		case out.ExpectedVersion == 0 && !mayBeWritten:
			return job.LeaseLost{}, errors.Join(ErrNotAccepted, err)
		}
		events.JobRecordError.Log(ctx, j.Log, slog.String("job", out.Record.ID), slog.Any("error", err))
		select {
		case <-time.After(recordRetryDelay):
		case <-ctx.Done():
			return j.unconfirmedWrite(out, mayBeWritten)
		}
	}
}

// unconfirmedWrite returns what writeRecord returns for a write that was given up
// because the lease or ctx ended: the input LeaseLost in both cases, and an error that
// states, for the first record of a job, whether it may be in the store.
func (j *Jobs) unconfirmedWrite(out job.WriteRecord, mayBeWritten bool) (job.Input, error) {
	switch {
	case out.ExpectedVersion != 0:
		return job.LeaseLost{}, errStopped
	case mayBeWritten:
		return job.LeaseLost{}, ErrUnresolved
	}
	return job.LeaseLost{}, ErrNotAccepted
}

// readBack finds out whether a write whose response was lost took effect. It returns
// writeErr if that is still unknown.
func (j *Jobs) readBack(ctx context.Context, key string, value []byte, expectedVersion int64, writeErr error) (store.Version, error) {
	entry, err := j.Store.Get(ctx, key)
	switch {
	case err == nil && string(entry.Value) == string(value):
		return entry.Version, nil
	case err == nil && int64(entry.Version) != expectedVersion:
		return 0, &store.ConflictError{Key: key, Current: entry.Version}
	case errors.Is(err, store.ErrNotFound) && expectedVersion != 0:
		return 0, &store.ConflictError{Key: key}
	}
	return 0, writeErr
}

// execute runs the unfinished stages of a job and records the result.
func (j *Jobs) execute(r *run, record job.Record, delay time.Duration) {
	if delay > 0 && !clock.Sleep(r.ctx, delay) {
		_ = j.step(r.ctx, r, job.LeaseLost{})
		return
	}
	durableJob, progress, err := j.loadRun(r, record)
	result := Result{Outcome: job.OutcomeNotRun}
	if err != nil {
		events.JobRecordError.Log(r.ctx, j.Log, slog.String("job", record.ID), slog.Any("error", err))
		result.Detail = err.Error()
	} else {
		result = j.Runner.Run(r.ctx, durableJob, progress)
	}
	if r.ctx.Err() != nil {
		// The context ends only if the lease is lost or another instance has written the
		// record. This instance must not record the result then.
		_ = j.step(r.ctx, r, job.LeaseLost{})
		return
	}
	answer := job.NewValue(job.AnswerName, record.FencingToken, record.Runs, result.Answer)
	if err := j.storeResult(r, record.ID, answer, result.Answer); err != nil {
		_ = j.step(r.ctx, r, job.LeaseLost{})
		return
	}
	_ = j.step(r.ctx, r, job.RunEnded{Outcome: result.Outcome, Detail: result.Detail, Answer: answer, Permanent: result.Permanent, Harmful: result.Harmful})
}

// loadRun reads the body and the stage results of a job from the store.
func (j *Jobs) loadRun(r *run, record job.Record) (Job, Progress, error) {
	body, err := j.awaitValue(r, record.ID, record.Body)
	if err != nil {
		return Job{}, Progress{}, err
	}
	results := map[string]json.RawMessage{}
	for _, stage := range record.Stages {
		if results[stage.Name], err = j.awaitValue(r, record.ID, stage); err != nil {
			return Job{}, Progress{}, err
		}
	}
	progress := Progress{
		Results: results,
		StageDone: func(_ context.Context, stage string, result json.RawMessage) error {
			value := job.NewValue(stage, record.FencingToken, record.Runs, result)
			if err := j.storeResult(r, record.ID, value, result); err != nil {
				return err
			}
			return j.step(r.ctx, r, job.StageDone{Result: value})
		},
		BeforeNonIdempotentCall: func() bool { return j.step(r.ctx, r, job.NonIdempotentCallStarting{}) == nil },
	}
	return Job{
		Organisation: record.Organisation, Pipeline: record.Pipeline, Kind: record.Kind, Body: body,
		Retention: time.Duration(record.RetentionMS) * time.Millisecond,
	}, progress, nil
}

// awaitValue reads a value that the record of a job names, with retries while the lease is
// valid. The value was written before the record, so a read that does not find it was
// answered with stale data, at most for maxVisibilityDelay.
func (j *Jobs) awaitValue(r *run, id string, value job.Value) ([]byte, error) {
	for visibleAt := time.Now().Add(maxVisibilityDelay); ; {
		data, err := j.values.get(r.ctx, id, value)
		if err == nil || errors.Is(err, errWrongDigest) || time.Now().After(visibleAt) {
			return data, err
		}
		if _, ok := j.currentHolder(); !ok {
			return nil, errStopped
		}
		events.JobRecordError.Log(r.ctx, j.Log, slog.String("job", id), slog.Any("error", err))
		if !clock.Sleep(r.ctx, recordRetryDelay) {
			return nil, err
		}
	}
}

// storeResult writes a result to the store, with retries while the lease is valid.
func (j *Jobs) storeResult(r *run, id string, value job.Value, data []byte) error {
	for {
		if _, ok := j.currentHolder(); !ok {
			return errStopped
		}
		err := j.values.put(r.ctx, id, value, data)
		if err == nil {
			return nil
		}
		events.JobRecordError.Log(r.ctx, j.Log, slog.String("job", id), slog.Any("error", err))
		if !clock.Sleep(r.ctx, recordRetryDelay) {
			return err
		}
	}
}
