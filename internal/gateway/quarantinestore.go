package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/quarantine"
)

const (
	// quarantineRewriteDelay is how long a written quarantine has to come back in the view
	// before it is written again.
	quarantineRewriteDelay = 3 * time.Second
)

// StoredQuarantine is the JSON value under view.QuarantinePrefix and the quarantine's ID. The
// lease of the entry ends with the quarantine.
type StoredQuarantine struct {
	Service string `json:"service"`
	// Parts are the IDs of the prompt parts that a request must all have to be refused.
	Parts   []string  `json:"parts"`
	Until   time.Time `json:"until"`
	Crashes int       `json:"crashes"`
	Lifted  bool      `json:"lifted"`
	// Author and Reason say who lifted the quarantine, and why; empty for an instance.
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// recordedQuarantine is a quarantine as the store has it.
type recordedQuarantine struct {
	quarantine.Record
	Service, Author, Reason string
	version                 store.Version
	lease                   store.LeaseID
}

var errIncompleteQuarantine = errors.New("service, parts or end are missing, or there are too many parts")

func decodeQuarantine(e store.Entry) (r recordedQuarantine, err error) {
	var s StoredQuarantine
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return r, fmt.Errorf("quarantine: %w", err)
	}
	if s.Service == "" || len(s.Parts) == 0 || len(s.Parts) > quarantine.MaxParts || s.Until.IsZero() {
		return r, fmt.Errorf("quarantine: %w", errIncompleteQuarantine)
	}
	r.Record = quarantine.Record{ID: strings.TrimPrefix(e.Key, view.QuarantinePrefix), Parts: s.Parts, Until: s.Until, Crashes: s.Crashes, Lifted: s.Lifted}
	r.Service, r.Author, r.Reason = s.Service, s.Author, s.Reason
	r.version, r.lease = e.Version, e.Lease
	return r, nil
}

func storedQuarantine(service string, r quarantine.Record, author, reason string) StoredQuarantine {
	return StoredQuarantine{Service: service, Parts: r.Parts, Until: r.Until.UTC().Round(time.Millisecond), Crashes: r.Crashes, Lifted: r.Lifted, Author: author, Reason: reason}
}

// Record writes the quarantines of a service that the store lacks or has otherwise. The
// instance that places the prompts of the service does this.
func (q *Quarantines) Record(ctx context.Context, st RegistrationStore, service string) {
	now := time.Now()
	for _, r := range q.unrecorded(now, service) {
		if err := q.write(ctx, st, service, r); err != nil {
			events.QuarantineNotRecorded.Log(ctx, q.logger, slog.String("service", service), slog.String("quarantine", r.ID), slog.Any("error", err))
		}
	}
}

// unrecorded returns the quarantines of a service that are to be written now.
func (q *Quarantines) unrecorded(now time.Time, service string) (due []quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.tracker(service).Unrecorded(now, q.recordedByService()[service]) {
		if now.Sub(q.writtenAt[r.ID]) >= quarantineRewriteDelay {
			q.writtenAt[r.ID] = now
			due = append(due, r)
		}
	}
	for id, at := range q.writtenAt {
		if now.Sub(at) >= quarantineRewriteDelay {
			delete(q.writtenAt, id)
		}
	}
	return due
}

func (q *Quarantines) write(ctx context.Context, st RegistrationStore, service string, r quarantine.Record) error {
	q.mu.Lock()
	known := q.recorded[r.ID]
	q.mu.Unlock()
	value, err := json.Marshal(storedQuarantine(service, r, known.Author, known.Reason))
	if err != nil {
		return err
	}
	lease := known.lease
	if lease == 0 {
		if lease, err = st.GrantLease(ctx, time.Until(r.Until)); err != nil {
			return err
		}
	}
	_, err = st.CompareAndSwap(ctx, view.QuarantinePrefix+r.ID, known.version, value, lease)
	return err
}
