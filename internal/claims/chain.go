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

// maxViewAge bounds the time between reading the chain and a write that builds
// on it. A segment is deleted no sooner than claim.DeletionMargin after it was
// created, so that within this bound the write can't recreate a deleted one.
const maxViewAge = 10 * time.Second

// listPage is the number of segments read at once: about 1 MB of full segments.
const listPage = 64

// chain reads and writes the segments of one shard. One goroutine uses it.
type chain struct {
	store store.Store
	shard int
	// boot gives the boot-time clock, wall the time that records carry.
	boot func() time.Time
	wall func() time.Time

	writes tally.Counter

	state *claim.Shard
	// viewAt is when the last read or write that state reflects began.
	viewAt time.Time
	loaded bool
}

// fresh reports whether a write may build on the state.
func (c *chain) fresh() bool {
	return c.loaded && c.boot().Sub(c.viewAt) < maxViewAge
}

// refresh brings the state up to what the store holds.
func (c *chain) refresh(ctx context.Context) error {
	began := c.boot()
	err := c.follow(ctx)
	if errors.Is(err, claim.ErrGap) {
		err = c.reload(ctx)
	}
	c.loaded = err == nil
	if err != nil {
		return err
	}
	c.viewAt = began
	return nil
}

// follow loads the segments from the known tail on.
func (c *chain) follow(ctx context.Context) error {
	if c.state.TailNumber() == 0 {
		return c.reload(ctx)
	}
	segments, err := c.list(ctx, claim.SegmentKey(c.shard, c.state.TailNumber()-1))
	if err != nil {
		return err
	}
	return c.state.Load(segments)
}

// reload loads all segments. Orphans are believed only when a second read finds
// them unchanged, since a segment may have been sealed between two pages.
func (c *chain) reload(ctx context.Context) error {
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

// deleteOrphans is best effort: a orphan that stays is found again.
func (c *chain) deleteOrphans(ctx context.Context, orphans []claim.Segment) {
	for _, orphan := range orphans {
		_ = c.store.Delete(ctx, claim.SegmentKey(c.shard, orphan.Number), store.Version(orphan.Version))
	}
}

func (c *chain) list(ctx context.Context, after string) ([]claim.Segment, error) {
	var segments []claim.Segment
	for {
		page, err := c.store.List(ctx, claim.ShardPrefix(c.shard), after, listPage)
		if err != nil {
			return nil, err
		}
		for _, entry := range page {
			segment, err := segmentOf(entry)
			if err != nil {
				return nil, err
			}
			segments = append(segments, segment)
			after = entry.Key
		}
		if len(page) < listPage {
			return segments, nil
		}
	}
}

func segmentOf(entry store.Entry) (claim.Segment, error) {
	number, err := claim.SegmentNumber(entry.Key)
	return claim.Segment{Number: number, Version: int64(entry.Version), Data: entry.Value}, err
}

// Errors of an append that has to be decided again on a newer state.
var (
	// errChanged reports decisions without a write that rest on an old state.
	errChanged = errors.New("chain has changed")
	// errLate reports a write that took effect later than maxViewAge allows.
	errLate = errors.New("write came too late")
)

// append decides on operations and writes their records. It returns one decision
// for each operation that it took.
func (c *chain) append(ctx context.Context, ops []claim.Op) ([]claim.Decision, error) {
	write, decisions := c.state.PrepareAppend(c.wall(), ops)
	if write.Records == 0 {
		return decisions, c.unchanged(ctx)
	}
	began := c.boot()
	key := claim.SegmentKey(c.shard, write.Segment.Number)
	c.writes.Inc(1)
	version, err := c.store.CompareAndSwap(ctx, key, store.Version(write.ExpectedVersion), write.Segment.Data, 0)
	if err != nil {
		c.loaded = c.loaded && errors.Is(err, store.ErrUnavailable)
		return nil, err
	}
	if !c.fresh() {
		// The segment may have been deleted during a pause and is now outside the chain.
		c.state.Reset()
		c.loaded = false
		return nil, errLate
	}
	c.state.CommitWrite(int64(version))
	c.viewAt = began
	return decisions, nil
}

// unchanged confirms that the tail is still the one that decisions without a
// write rest on.
func (c *chain) unchanged(ctx context.Context) error {
	before := c.state.TailVersion()
	if err := c.refresh(ctx); err != nil {
		return err
	}
	if c.state.TailVersion() != before {
		return errChanged
	}
	return nil
}

// clean deletes the oldest segment once its records have expired.
func (c *chain) clean(ctx context.Context) error {
	oldest, ok := c.state.ExpiredSegment(c.wall())
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

// appendContext marks store calls as those of an appender.
func appendContext(ctx context.Context, direct bool) context.Context {
	if direct {
		return store.WithClass(ctx, quota.StoreClaims)
	}
	return store.WithClass(ctx, quota.StoreAppends)
}
