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

// Bounds of one scan.
const (
	// scanPage is the number of records read at once.
	scanPage = 64
	// sweepsPerScan is the number of jobs per shard whose retention is checked.
	sweepsPerScan = 4
)

// orphanAge is the age after which values without a record are deleted: their
// holder failed between body and record.
const orphanAge = time.Hour

// Scan takes over jobs without a holder in the shards that are assigned to this
// instance, and deletes what has expired.
func (j *Jobs) Scan(ctx context.Context) {
	j.scanning.Lock()
	defer j.scanning.Unlock()
	ctx = jobContext(ctx)
	for shard := range job.Shards {
		if rendezvous.Choose(job.ShardPrefix(shard), j.Members.FailureDomainInstances()) != j.Instance {
			continue
		}
		err := errors.Join(j.scanShard(ctx, shard), j.sweep(ctx, shard))
		if err != nil && ctx.Err() == nil {
			events.JobScanFailed.Log(ctx, j.Log, slog.Int("shard", shard), slog.Any("error", err))
			return
		}
	}
}

// scanShard looks at every unfinished job of a shard.
func (j *Jobs) scanShard(ctx context.Context, shard int) error {
	alive := map[job.Owner]bool{}
	after := ""
	for {
		page, err := j.Store.List(ctx, job.ShardPrefix(shard), after, scanPage)
		if err != nil {
			return err
		}
		for _, entry := range page {
			after = entry.Key
			if err := j.look(ctx, entry, alive); err != nil {
				return err
			}
		}
		if len(page) < scanPage {
			return nil
		}
	}
}

// look moves a finished record, or takes the job over if its holder is gone.
// alive holds the owners whose lease was seen during this scan.
func (j *Jobs) look(ctx context.Context, entry store.Entry, alive map[job.Owner]bool) error {
	record, err := job.Decode(entry.Value)
	if err != nil {
		return err
	}
	if record.State == job.StateFinished {
		j.afterWrite(ctx, record, int64(entry.Version))
		return nil
	}
	if !j.room(record.ID) {
		return nil
	}
	own, _ := j.owner()
	holder := job.Owner{Instance: record.Holder, Fence: record.Fence}
	if alive[holder] && holder != own {
		return nil
	}
	version, err := j.holderVersion(ctx, record.Holder)
	if err != nil {
		return err
	}
	// A record of this instance that does not run here is one whose creation was
	// not confirmed.
	if holder != own && !job.MayTakeOver(record, version) {
		alive[holder] = true
		return nil
	}
	leased, ok := j.acquire(ctx)
	if !ok {
		return nil
	}
	return j.takeOver(ctx, record, int64(entry.Version), leased)
}

func (j *Jobs) takeOver(ctx context.Context, record job.Record, version int64, own job.Owner) error {
	if err := j.start(ctx, record, version, own); err != nil {
		// Another instance was faster, or the store went away.
		return nil
	}
	j.takeovers.Inc(1)
	events.JobTakenOver.Log(ctx, j.Log, slog.String("job", record.ID), slog.String("from", record.Holder), slog.Int64("fence", own.Fence))
	return nil
}

// HandOverJob takes over the job with the given ID if it has no holder. It serves
// instances that shut down.
func (j *Jobs) HandOverJob(ctx context.Context, id []byte) (accepted bool, err error) {
	ctx = jobContext(ctx)
	if _, _, err := job.ParseID(string(id)); err != nil {
		return false, err
	}
	entry, err := j.Store.Get(ctx, job.RecordKey(string(id)))
	if err != nil {
		return false, unavailable(err)
	}
	if err := j.look(ctx, entry, map[job.Owner]bool{}); err != nil {
		return false, unavailable(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, accepted = j.running[string(id)]
	return accepted, nil
}

// room reports whether a job that does not run here may be taken over.
func (j *Jobs) room(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, held := j.running[id]
	return !held && !j.closing && len(j.running) < maxRunning
}

// holderVersion returns the fencing number of an instance, 0 without a lease.
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

// afterWrite moves the record of a finished job out of the scanned keys. A move
// that fails is repeated by a later scan.
func (j *Jobs) afterWrite(ctx context.Context, record job.Record, version int64) {
	if record.State != job.StateFinished {
		return
	}
	if j.values.create(ctx, job.FinishedKey(record.ID), record.Encode()) == nil {
		_ = j.Store.Delete(ctx, job.RecordKey(record.ID), store.Version(version))
	}
}

// sweep deletes the values of some jobs of a shard that have expired.
func (j *Jobs) sweep(ctx context.Context, shard int) error {
	for range sweepsPerScan {
		page, err := j.Store.List(ctx, job.ResultShardPrefix(shard), j.cursors[shard], 1)
		if err != nil {
			return err
		}
		if len(page) == 0 {
			j.cursors[shard] = ""
			return nil
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(page[0].Key, job.ResultPrefix), "/")
		// '0' follows '/', so that the next page begins with the next job.
		j.cursors[shard] = job.ResultPrefix + id + "0"
		if err := j.sweepJob(ctx, id, page[0]); err != nil {
			return err
		}
	}
	return nil
}

func (j *Jobs) sweepJob(ctx context.Context, id string, first store.Entry) error {
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
