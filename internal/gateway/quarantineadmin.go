package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
)

// ErrNoQuarantine reports an ID that no recorded quarantine has.
var ErrNoQuarantine = errors.New("no such quarantine")

// QuarantineEntry is a recorded quarantine for operators.
type QuarantineEntry struct {
	ID string `json:"id"`
	StoredQuarantine
}

// ListQuarantines returns the recorded quarantines, as they were up to seconds ago.
func ListQuarantines(ctx context.Context, st RegistrationStore) (list []QuarantineEntry, err error) {
	entries, err := st.ListStale(ctx, view.QuarantinePrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		r, err := decodeQuarantine(e)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", e.Key, err)
		}
		list = append(list, QuarantineEntry{ID: r.ID, StoredQuarantine: storedQuarantine(r.Service, r.Record, r.Author, r.Reason)})
	}
	return list, nil
}

// LiftQuarantine ends a quarantine before its time. The instances learn of it with their next
// view.
func LiftQuarantine(ctx context.Context, st RegistrationStore, id, author, reason string) error {
	entries, err := st.ListStale(ctx, view.QuarantinePrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Key != view.QuarantinePrefix+id {
			continue
		}
		r, err := decodeQuarantine(e)
		if err != nil {
			return err
		}
		r.Lifted = true
		value, err := json.Marshal(storedQuarantine(r.Service, r.Record, author, reason))
		if err != nil {
			return err
		}
		return overwrite(ctx, st, e, value)
	}
	return fmt.Errorf("%w: %q", ErrNoQuarantine, id)
}

// overwrite writes a value over an entry, or over a newer version of it.
func overwrite(ctx context.Context, st RegistrationStore, e store.Entry, value []byte) error {
	_, err := st.CompareAndSwap(ctx, e.Key, e.Version, value, e.Lease)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && conflict.Current != 0 {
		_, err = st.CompareAndSwap(ctx, e.Key, conflict.Current, value, e.Lease)
	}
	return err
}
