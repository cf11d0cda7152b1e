// Package configuration publishes configurations to the store, and keeps the
// configuration of an entry instance up to date from the store and from peers. The
// rules for both are in package config.
package configuration

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Errors of the package.
var (
	// ErrNoConfiguration reports that the store holds no configuration.
	ErrNoConfiguration = errors.New("no configuration is in force")
	// ErrUnavailable reports that the configuration couldn't be read.
	ErrUnavailable = errors.New("configuration is unavailable")
)

// Limits of the store calls of one publish.
const (
	// maxParallelCalls keeps a publish within the rate limit of the store.
	maxParallelCalls = 8
	// maxPartWrites is the number of attempts to create a part while responses are
	// lost. Creating a part is idempotent.
	maxPartWrites = 3
)

// Publish publishes the requested configuration, or compares it only if dryRun is
// set. It generates a publish ID if the request has none.
func Publish(ctx context.Context, s store.Store, request config.Request, dryRun bool) (config.Result, error) {
	if request.PublishID == "" {
		request.PublishID = uuid.NewString()
	}
	p := config.NewPublish(request, dryRun)
	outputs := p.Start()
	for {
		var input config.Input
		for _, output := range outputs {
			if done, ok := output.(config.Done); ok {
				return done.Result, done.Err
			}
			if in := carryOut(ctx, s, output); in != nil {
				input = in
			}
		}
		outputs = p.Step(time.Now(), input)
	}
}

// carryOut carries out one output of a publish at the store. It returns the input
// that the output results in, or nil if it has none.
func carryOut(ctx context.Context, s store.Store, output config.Output) config.Input {
	switch out := output.(type) {
	case config.ReadHead:
		head, version, err := readHead(ctx, s)
		return config.HeadRead{Head: head, Version: int64(version), Err: err}
	case config.ReadParts:
		parts, err := readParts(ctx, s, out.Digests)
		return config.PartsRead{Parts: parts, Err: err}
	case config.WriteParts:
		return config.PartsWritten{Err: writeParts(ctx, s, out.Parts)}
	case config.WriteHead:
		_, err := s.CompareAndSwap(ctx, config.KeyHead, store.Version(out.ExpectedVersion), out.Value, 0)
		return config.HeadWritten{Outcome: writeOutcome(err), Err: wrapUnavailable(err, "write head")}
	case config.DeleteParts:
		deleteParts(ctx, s, out.Digests)
	}
	return nil
}

// wrapUnavailable wraps an error of the store and ErrUnavailable with the step that
// failed.
func wrapUnavailable(err error, step string) error {
	if err == nil {
		return nil
	}
	return oops.In("configuration").Code("store").Wrap(fmt.Errorf("%w: %s: %w", ErrUnavailable, step, err))
}

// writeOutcome classifies the error of a compare-and-swap.
func writeOutcome(err error) config.WriteOutcome {
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return config.WriteDone
	case errors.As(err, &conflict):
		return config.WriteConflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
		return config.WriteNotSent
	}
	return config.WriteUnknown
}

// readHead reads the head and its store version. It returns nil and version 0 when
// the store holds no head.
func readHead(ctx context.Context, s store.Store) (*config.Head, store.Version, error) {
	entry, err := s.Get(ctx, config.KeyHead)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, wrapUnavailable(err, "read head")
	}
	head, err := config.DecodeHead(entry.Value)
	return head, entry.Version, err
}

// readParts reads parts in parallel. The result lacks those that the store doesn't
// hold.
func readParts(ctx context.Context, s store.Store, digests []config.Digest) (config.Parts, error) {
	values := make([][]byte, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for i, digest := range digests {
		group.Go(func() error {
			entry, err := s.Get(ctx, digest.Key())
			if errors.Is(err, store.ErrNotFound) {
				return nil
			}
			values[i] = entry.Value
			return wrapUnavailable(err, "read part")
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	parts := make(config.Parts, len(digests))
	for i, digest := range digests {
		if values[i] != nil {
			parts[digest] = values[i]
		}
	}
	return parts, nil
}

func writeParts(ctx context.Context, s store.Store, parts config.Parts) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for digest, data := range parts {
		group.Go(func() error { return writePart(ctx, s, digest, data) })
	}
	return group.Wait()
}

// writePart creates a part. A conflict means that an earlier attempt created it.
func writePart(ctx context.Context, s store.Store, digest config.Digest, data []byte) error {
	var err error
	for range maxPartWrites {
		_, err = s.CompareAndSwap(ctx, digest.Key(), 0, data, 0)
		switch writeOutcome(err) {
		case config.WriteDone, config.WriteConflict:
			return nil
		case config.WriteNotSent:
			return wrapUnavailable(err, "write part")
		}
	}
	return wrapUnavailable(err, "write part")
}

// deleteParts deletes unused parts. It ignores errors, because a part that remains
// only takes space.
func deleteParts(ctx context.Context, s store.Store, digests []config.Digest) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, digest := range digests {
		group.Go(func() error {
			entry, err := s.Get(ctx, digest.Key())
			if err != nil {
				return err
			}
			return s.Delete(ctx, digest.Key(), entry.Version)
		})
	}
	_ = group.Wait()
}

// Audit returns the audit trail, oldest change first. It returns
// ErrNoConfiguration when the store holds no configuration.
func Audit(ctx context.Context, s store.Store) ([]config.AuditEntry, error) {
	head, _, err := readHead(ctx, s)
	if err != nil {
		return nil, err
	}
	if head == nil {
		return nil, ErrNoConfiguration
	}
	return head.Audit, nil
}
