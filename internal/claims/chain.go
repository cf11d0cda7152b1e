package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// maxStateAge limits the time between a read of the chain and the end of a write
// that is based on it. A segment is deleted no sooner than claim.DeletionMargin
// after it was created, so that within this time the write can't create a deleted
// segment again.
const maxStateAge = 10 * time.Second

// listPageSize is the number of segments per read: about 1 MB of full segments.
const listPageSize = 64

// chain reads and writes the segments of one shard. It is not safe for concurrent
// use.
type chain struct {
	store store.Store
	shard int
	// bootTime reads the boot-time clock, wallTime the wall clock for the times in
	// records.
	bootTime func() time.Time
	wallTime func() time.Time

	writes tally.Counter

	state *claim.Shard
	// stateAsOf is when the last read or write that state reflects was started.
	stateAsOf time.Time
	loaded    bool
}

// fresh reports whether a write may be based on the state.
func (c *chain) fresh() bool {
	return c.loaded && c.bootTime().Sub(c.stateAsOf) < maxStateAge
}

// refresh updates the state from the store.
func (c *chain) refresh(ctx context.Context) error {
	startedAt := c.bootTime()
	err := c.loadNew(ctx)
	if errors.Is(err, claim.ErrGap) {
		err = c.loadAll(ctx)
	}
	c.loaded = err == nil
	if err != nil {
		return err
	}
	c.stateAsOf = startedAt
	return nil
}

// loadNew loads the segments from the known tail on.
func (c *chain) loadNew(ctx context.Context) error {
	if c.state.TailNumber() == 0 {
		return c.loadAll(ctx)
	}
	segments, err := c.list(ctx, claim.SegmentKey(c.shard, c.state.TailNumber()-1))
	if err != nil {
		return err
	}
	return c.state.Load(segments)
}

// loadAll loads all segments. Segments count as orphans, and are deleted, only if a
// second read finds them unchanged, because a segment may have been sealed between
// the reads of two pages.
func (c *chain) loadAll(ctx context.Context) error {
	var orphans []claim.Segment
	for {
		c.state.Reset()
		segments, err := c.list(ctx, "")
		if err != nil {
			return err
		}
		if err := c.state.Load(segments); err != nil {
			c.state.Reset()
			return err
		}
		found := c.state.Orphans()
		if sameVersions(found, orphans) {
			c.deleteOrphans(ctx, found)
			return nil
		}
		orphans = found
	}
}

func sameVersions(a, b []claim.Segment) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Number != b[i].Number || a[i].Version != b[i].Version {
			return false
		}
	}
	return true
}

// deleteOrphans ignores errors: an orphan that is not deleted is found again by the
// next load of all segments.
func (c *chain) deleteOrphans(ctx context.Context, orphans []claim.Segment) {
	for _, orphan := range orphans {
		_ = c.store.Delete(ctx, claim.SegmentKey(c.shard, orphan.Number), store.Version(orphan.Version))
	}
}

func (c *chain) list(ctx context.Context, after string) ([]claim.Segment, error) {
	var segments []claim.Segment
	for {
		page, err := c.store.List(ctx, claim.ShardPrefix(c.shard), after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, entry := range page {
			segment, err := segmentFromEntry(entry)
			if err != nil {
				return nil, err
			}
			segments = append(segments, segment)
			after = entry.Key
		}
		if len(page) < listPageSize {
			return segments, nil
		}
	}
}

func segmentFromEntry(entry store.Entry) (claim.Segment, error) {
	number, err := claim.SegmentNumber(entry.Key)
	return claim.Segment{Number: number, Version: int64(entry.Version), Data: entry.Value}, err
}

// Errors of an append that must be decided again on a newer state.
var (
	// errTailChanged reports decisions without a write that are based on an old state.
	errTailChanged = errors.New("claim chain has changed")
	// errLateWrite reports a write that may have ended later than maxStateAge allows.
	errLateWrite = errors.New("write of a claim segment took too long")
)

// append decides on operations and writes their records. It returns a decision for
// each operation that fits into one write, in order.
func (c *chain) append(ctx context.Context, ops []claim.Op) ([]claim.Decision, error) {
	write, decisions := c.state.PrepareAppend(c.wallTime(), ops)
	if write.Records == 0 {
		return decisions, c.confirmTail(ctx)
	}
	startedAt := c.bootTime()
	key := claim.SegmentKey(c.shard, write.Segment.Number)
	c.writes.Inc(1)
	version, err := c.store.CompareAndSwap(ctx, key, store.Version(write.ExpectedVersion), write.Segment.Data, 0)
	if err != nil {
		c.loaded = c.loaded && errors.Is(err, store.ErrUnavailable)
		return nil, err
	}
	if !c.fresh() {
		// While the process was paused, the segment may have been deleted, so that this
		// write has created it again outside the chain.
		c.state.Reset()
		c.loaded = false
		return nil, errLateWrite
	}
	c.state.CommitWrite(int64(version))
	c.stateAsOf = startedAt
	return decisions, nil
}

// confirmTail returns errTailChanged if the newest segment is no longer the one that
// decisions without a write are based on.
func (c *chain) confirmTail(ctx context.Context) error {
	before := c.state.TailVersion()
	if err := c.refresh(ctx); err != nil {
		return err
	}
	if c.state.TailVersion() != before {
		return errTailChanged
	}
	return nil
}

// deleteExpiredSegment deletes the oldest segment if all its records have expired.
func (c *chain) deleteExpiredSegment(ctx context.Context) error {
	oldest, ok := c.state.ExpiredSegment(c.wallTime())
	if !ok {
		return nil
	}
	err := c.store.Delete(ctx, claim.SegmentKey(c.shard, oldest.Number), store.Version(oldest.Version))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("delete expired claim segment: %w", err)
	}
	c.state.SegmentDeleted(oldest.Number)
	return nil
}

// storeContext sets the class of store calls: that of the shard's appender, or, if
// direct is true, that of all other calls for claims, reads of answers included.
func storeContext(ctx context.Context, direct bool) context.Context {
	if direct {
		return store.WithClass(ctx, quota.StoreClaims)
	}
	return store.WithClass(ctx, quota.StoreAppends)
}
