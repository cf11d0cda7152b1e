package jobs

import (
	"context"
	"errors"
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

var errWrongDigest = errors.New("value does not match its digest")

// maxPutAttempts limits the attempts to write one piece if the responses are lost.
const maxPutAttempts = 3

// values stores request bodies and results, split into pieces.
type values struct {
	store store.Store
}

// put writes all pieces of a value. A piece is only created, never replaced, and its
// key identifies the run that wrote it. A conflict therefore means that an earlier
// attempt took effect.
func (v values) put(ctx context.Context, id string, value job.Value, data []byte) error {
	for piece := range value.Pieces {
		if err := v.create(ctx, job.PieceKey(id, value, piece), value.Piece(data, piece)); err != nil {
			return fmt.Errorf("store %s of job %s: %w", value.Name, id, err)
		}
	}
	return nil
}

func (v values) create(ctx context.Context, key string, data []byte) error {
	var err error
	for range maxPutAttempts {
		_, err = v.store.CompareAndSwap(ctx, key, 0, data, 0)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return nil
		}
		if !errors.Is(err, store.ErrUnknownOutcome) {
			return err
		}
	}
	return err
}

// get reads all pieces of a value and checks them against its digest.
func (v values) get(ctx context.Context, id string, value job.Value) ([]byte, error) {
	data := make([]byte, 0, value.Bytes)
	for piece := range value.Pieces {
		entry, err := v.store.Get(ctx, job.PieceKey(id, value, piece))
		if err != nil {
			return nil, fmt.Errorf("read %s of job %s: %w", value.Name, id, err)
		}
		data = append(data, entry.Value...)
	}
	if !value.Matches(data) {
		return nil, fmt.Errorf("%s of job %s: %w", value.Name, id, errWrongDigest)
	}
	return data, nil
}

// deletePageSize is the number of entries per read of a deletion. Each is read with
// up to job.PieceBytes.
const deletePageSize = 16

// deleteAll deletes all values of a job. The record of the finished job is deleted
// last, so that a later scan finds a job whose deletion was interrupted.
func (v values) deleteAll(ctx context.Context, id string) error {
	finishedKey := job.FinishedKey(id)
	for {
		page, err := v.store.List(ctx, job.ResultsPrefix(id), finishedKey, deletePageSize)
		if err != nil {
			return err
		}
		if len(page) == 0 {
			break
		}
		for _, entry := range page {
			if err := v.delete(ctx, entry); err != nil {
				return err
			}
		}
	}
	entry, err := v.store.Get(ctx, finishedKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return v.delete(ctx, entry)
}

func (v values) delete(ctx context.Context, entry store.Entry) error {
	err := v.store.Delete(ctx, entry.Key, entry.Version)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}
