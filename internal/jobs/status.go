package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

// Status is the state of a job.
type Status struct {
	Record job.Record
	// Answer is the complete answer of a finished job.
	Answer []byte
}

// maxVisibilityDelay is the age up to which the record of a job may be missing
// because the store returned stale data. Until then the job is reported as
// unavailable, so that no accepted job is reported as unknown.
const maxVisibilityDelay = time.Minute

var errNotVisible = errors.New("the record of a new job is not visible yet")

// Status reads the state of a job, which may run on any instance.
func (j *Jobs) Status(ctx context.Context, id string) (Status, error) {
	ctx = jobContext(ctx)
	_, created, err := job.ParseID(id)
	if err != nil {
		return Status{}, ErrNotFound
	}
	record, err := j.record(ctx, id)
	if errors.Is(err, ErrNotFound) && j.WallTime().Sub(created) < maxVisibilityDelay {
		return Status{}, errors.Join(ErrUnavailable, errNotVisible)
	}
	if err != nil {
		return Status{}, err
	}
	status := Status{Record: record}
	if record.State == job.StateFinished && record.Answer.Bytes > 0 {
		if status.Answer, err = j.values.get(ctx, id, record.Answer); err != nil {
			return Status{}, unavailable(err)
		}
	}
	return status, nil
}

// record reads the record of an unfinished job or, if there is none, the record to
// which it was moved at the end of the job. moveFinished creates the second record
// before it deletes the first.
func (j *Jobs) record(ctx context.Context, id string) (job.Record, error) {
	entry, err := j.Store.Get(ctx, job.RecordKey(id))
	if errors.Is(err, store.ErrNotFound) {
		entry, err = j.Store.Get(ctx, job.FinishedKey(id))
	}
	if err != nil {
		return job.Record{}, unavailable(err)
	}
	record, err := job.Decode(entry.Value)
	if err == nil && record.Expired(j.WallTime()) {
		return job.Record{}, ErrNotFound
	}
	return record, err
}

func unavailable(err error) error {
	if errors.Is(err, store.ErrNotFound) {
		return ErrNotFound
	}
	return errors.Join(ErrUnavailable, err)
}

// Wait waits until a job is finished and returns its status, or the last known status
// if ctx ends first.
func (j *Jobs) Wait(ctx context.Context, id string) (Status, error) {
	readCtx := context.WithoutCancel(ctx)
	for {
		j.mu.Lock()
		r := j.running[id]
		j.mu.Unlock()
		if r != nil {
			select {
			case <-r.done:
			case <-ctx.Done():
			}
		}
		status, err := j.Status(readCtx, id)
		if err != nil || status.Record.State == job.StateFinished || !clock.Sleep(ctx, statusPollInterval) {
			return status, err
		}
	}
}
