package jobs

import (
	"context"
	"errors"
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

// putAttempts bounds the writes of one piece whose answers are lost.
const putAttempts = 3

// values stores bodies and results in pieces.
type values struct {
	store store.Store
}

// put writes all pieces. A piece is created only, and its key names the run that
// wrote it, so that a conflict means an earlier try took effect.
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
	for range putAttempts {
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

// get reads all pieces and checks them against the digest.
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
		return nil, fmt.Errorf("%s of job %s does not match its digest", value.Name, id)
	}
	return data, nil
}

// deletePage is the number of values deleted at once. Each is read with up to
// job.PieceBytes.
const deletePage = 16

// deleteAll deletes all values of a job, the record of its end last, so that an
// interrupted deletion is found again.
func (v values) deleteAll(ctx context.Context, id string) error {
	end := job.FinishedKey(id)
	for {
		page, err := v.store.List(ctx, job.ResultsPrefix(id), end, deletePage)
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
	entry, err := v.store.Get(ctx, end)
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
