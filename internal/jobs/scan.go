package jobs

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/job"
	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

// Limits of one scan.
const (
	// scanPageSize is the number of records per read.
	scanPageSize = 64
	// expiryChecksPerScan is the number of jobs per shard whose retention is checked.
	expiryChecksPerScan = 4
)

// orphanAge is the age after which values without a record are deleted. They exist
// if the holder failed after it wrote the body and before it wrote the record.
const orphanAge = time.Hour

// Scan takes over jobs without a holder in the shards that are assigned to this
// instance, and deletes what has expired.
func (j *Jobs) Scan(ctx context.Context) {
	j.scanMu.Lock()
	defer j.scanMu.Unlock()
	ctx = jobContext(ctx)
	for shard := range job.Shards {
		if rendezvous.Choose(job.ShardPrefix(shard), j.Members.FailureDomainInstances()) != j.Instance {
			continue
		}
		err := errors.Join(j.scanShard(ctx, shard), j.deleteExpired(ctx, shard))
		if err != nil && ctx.Err() == nil {
			events.JobScanFailed.Log(ctx, j.Log, slog.Int("shard", shard), slog.Any("error", err))
			return
		}
	}
}

// scanShard checks every record of an unfinished job in a shard.
func (j *Jobs) scanShard(ctx context.Context, shard int) error {
	liveHolders := map[job.Holder]bool{}
	after := ""
	for {
		page, err := j.Store.List(ctx, job.ShardPrefix(shard), after, scanPageSize)
		if err != nil {
			return err
		}
		for _, entry := range page {
			after = entry.Key
			if err := j.checkRecord(ctx, entry, liveHolders); err != nil {
				return err
			}
		}
		if len(page) < scanPageSize {
			return nil
		}
	}
}

// checkRecord moves the record of a finished job, and takes over an unfinished job
// whose holder has no valid lease. liveHolders holds the holders whose lease was
// found during this scan, and checkRecord adds to it.
func (j *Jobs) checkRecord(ctx context.Context, entry store.Entry, liveHolders map[job.Holder]bool) error {
	record, err := job.Decode(entry.Value)
	if err != nil {
		return err
	}
	if record.State == job.StateFinished {
		j.moveFinished(ctx, record, int64(entry.Version))
		return nil
	}
	if !j.mayStart(record.ID) {
		return nil
	}
	self, _ := j.currentHolder()
	holder := job.Holder{Instance: record.Holder, FencingToken: record.FencingToken}
	if liveHolders[holder] && holder != self {
		return nil
	}
	version, err := j.holderVersion(ctx, record.Holder)
	if err != nil {
		return err
	}
	// If this instance holds the job but does not run it, the write that created the
	// record was not confirmed.
	if holder != self && !job.MayTakeOver(record, version) {
		liveHolders[holder] = true
		return nil
	}
	newHolder, ok := j.acquireLease(ctx)
	if !ok {
		return nil
	}
	return j.takeOver(ctx, record, int64(entry.Version), newHolder)
}

func (j *Jobs) takeOver(ctx context.Context, record job.Record, version int64, newHolder job.Holder) error {
	if err := j.start(ctx, record, version, newHolder); err != nil {
		// Another instance took the job over first, or the store is unavailable.
		return nil
	}
	j.takeovers.Inc(1)
	events.JobTakenOver.Log(ctx, j.Log, slog.String("job", record.ID), slog.String("from", record.Holder), slog.Int64("fence", newHolder.FencingToken))
	return nil
}

// HandOverJob takes over the job with the given ID if it has no holder. Instances
// that shut down call it.
func (j *Jobs) HandOverJob(ctx context.Context, id []byte) (accepted bool, err error) {
	ctx = jobContext(ctx)
	if _, _, err := job.ParseID(string(id)); err != nil {
		return false, err
	}
	entry, err := j.Store.Get(ctx, job.RecordKey(string(id)))
	if err != nil {
		return false, unavailable(err)
	}
	if err := j.checkRecord(ctx, entry, map[job.Holder]bool{}); err != nil {
		return false, unavailable(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, accepted = j.running[string(id)]
	return accepted, nil
}

// mayStart reports whether this instance may take over a job: it does not run the job
// yet, is not shutting down and has fewer than maxRunningJobs.
func (j *Jobs) mayStart(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, held := j.running[id]
	return !held && !j.closing && len(j.running) < maxRunningJobs
}

// holderVersion returns the version of the holder key of an instance, which is its
// fencing token, or 0 if the instance has no lease.
func (j *Jobs) holderVersion(ctx context.Context, instance string) (int64, error) {
	if instance == "" {
		return 0, nil
	}
	entry, err := j.Store.Get(ctx, job.HolderKey(instance))
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return int64(entry.Version), err
}

// moveFinished moves the record of a finished job to a key that scans don't read. If
// that fails, a later scan repeats it.
func (j *Jobs) moveFinished(ctx context.Context, record job.Record, version int64) {
	if record.State != job.StateFinished {
		return
	}
	if j.values.create(ctx, job.FinishedKey(record.ID), record.Encode()) == nil {
		_ = j.Store.Delete(ctx, job.RecordKey(record.ID), store.Version(version))
	}
}

// deleteExpired checks the retention of the next expiryChecksPerScan jobs of a shard
// and deletes the values of those that have expired.
func (j *Jobs) deleteExpired(ctx context.Context, shard int) error {
	for range expiryChecksPerScan {
		page, err := j.Store.List(ctx, job.ResultShardPrefix(shard), j.expiryCursors[shard], 1)
		if err != nil {
			return err
		}
		if len(page) == 0 {
			j.expiryCursors[shard] = ""
			return nil
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(page[0].Key, job.ResultPrefix), "/")
		// '0' is the character after '/', so that the next page starts at the next job.
		j.expiryCursors[shard] = job.ResultPrefix + id + "0"
		if err := j.deleteIfExpired(ctx, id, page[0]); err != nil {
			return err
		}
	}
	return nil
}

func (j *Jobs) deleteIfExpired(ctx context.Context, id string, first store.Entry) error {
	expired := false
	if first.Key == job.FinishedKey(id) {
		record, err := job.Decode(first.Value)
		if err != nil {
			return err
		}
		expired = record.Expired(j.WallTime())
	} else {
		_, created, err := job.ParseID(id)
		if err != nil || j.WallTime().Sub(created) < orphanAge {
			return err
		}
		_, err = j.Status(ctx, id)
		expired = errors.Is(err, ErrNotFound)
	}
	if !expired {
		return nil
	}
	return j.values.deleteAll(ctx, id)
}
