package configuration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Guards against concurrent publishes that both succeed although one undid the
// other. The store is called over HTTP.
func TestOneOfConcurrentPublishesSucceeds(t *testing.T) {
	f := newCluster(t)
	f.publish(f.store(), 1)
	var racing sync.WaitGroup
	errs := make([]error, 4)
	for i := range errs {
		racing.Go(func() {
			_, errs[i] = Publish(f.ctx, f.store(), config.Request{Author: fmt.Sprint("operator ", i), Base: 1, Set: setOf(i + 2)}, false)
		})
	}
	racing.Wait()
	won := -1
	for i, err := range errs {
		var conflict *config.ConflictError
		switch {
		case err == nil:
			f.c.Assert(won, qt.Equals, -1)
			won = i
		default:
			f.c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
			f.c.Assert(conflict.Winner.Difference, qt.Contains, "added organisation")
		}
	}
	trail, err := Audit(f.ctx, f.store())
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(trail[1].Author, qt.Equals, fmt.Sprint("operator ", won))
}

// Guards against a change that took effect but is reported as failed, or is written
// twice, because responses of the store were lost.
func TestPublishSucceedsDespiteLostResponses(t *testing.T) {
	f := newCluster(t)
	f.publish(f.store(), 1)
	result, err := Publish(f.ctx, &lostResponseStore{Store: f.store()}, config.Request{Set: setOf(9)}, false)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(result.Revision, qt.Equals, int64(2))
	trail, err := Audit(f.ctx, f.store())
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(trail, qt.HasLen, 2)
}

// lostResponseStore loses the response to the first write of each key.
type lostResponseStore struct {
	store.Store
	lost sync.Map
}

func (s *lostResponseStore) CompareAndSwap(ctx context.Context, key string, expect store.Version, value []byte, lease store.LeaseID) (store.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if _, lost := s.lost.LoadOrStore(key, true); !lost {
		return 0, store.ErrUnknownOutcome
	}
	return version, err
}

// Guards against an instance that can't start during an outage of the store, and
// against one that uses its files because the store is unreachable.
func TestStartsFromPeersWhileStoreIsDown(t *testing.T) {
	f := newCluster(t)
	alone := f.start("b", brokenStore(), someFiles())
	time.Sleep(50 * time.Millisecond)
	f.c.Assert(alone.loader.Current(), qt.IsNil)
	f.publish(f.store(), 3)
	f.start("a", f.store(), nil)
	f.allAt(1)
	late := f.start("b", brokenStore(), nil)
	f.allAt(1)
	f.c.Assert(late.loader.Current().Deployment.Organisations, qt.HasLen, 3)
}

// Guards against a restarted instance that loads an old revision from a stale
// store, and against a watch of such a store that replaces a newer revision.
func TestStaleStoreDoesNotLowerTheRevisionAfterRestart(t *testing.T) {
	f, old := newCluster(t), newCluster(t)
	f.publish(f.store(), 1)
	f.publish(f.store(), 2)
	old.publish(old.store(), 1)
	f.start("a", f.store(), nil)
	f.allAt(2)
	restarted := f.start("b", old.store(), nil)
	f.allAt(2)
	f.eventually("watch", restarted.loader.Watching)
	time.Sleep(50 * time.Millisecond)
	f.c.Assert(restarted.loader.Revision(), qt.Equals, int64(2))
	f.c.Assert(restarted.loader.Current().Deployment.Organisations, qt.HasLen, 2)
}

// Guards against a lower revision of a peer or store that replaces the one in force.
func TestLowerRevisionIsRefused(t *testing.T) {
	f, old := newCluster(t), newCluster(t)
	f.publish(f.store(), 1)
	f.publish(f.store(), 2)
	old.publish(old.store(), 7)
	n := f.start("a", f.store(), nil)
	f.allAt(2)
	head, _, err := readHead(f.ctx, old.store())
	f.c.Assert(err, qt.IsNil)
	err = n.loader.load(f.ctx, head, storeSource{old.store()})
	f.c.Assert(isLowerRevision(err), qt.IsTrue, qt.Commentf("%v", err))
	f.c.Assert(n.loader.Current().Deployment.Organisations, qt.HasLen, 2)
}

// Guards against a failure domain that keeps an old configuration while it can
// reach its peers but not the store.
func TestFailureDomainWithoutStorePullsFromPeers(t *testing.T) {
	f := newCluster(t)
	f.publish(f.store(), 1)
	for range 3 {
		f.start("a", f.store(), nil)
		f.start("b", brokenStore(), nil)
	}
	f.allAt(1)
	f.publish(f.store(), 2)
	f.allAt(2)
}

func someFiles() fstest.MapFS {
	return fstest.MapFS{"deployment.jsonc": {Data: []byte(`{"deployment": "from-files", "regions": [{"name": "r", "failure_domains": ["r-a"]}]}`)}}
}

// Guards against operators' files that stay in force, or are loaded, although the
// store holds a configuration.
func TestFilesAreUsedOnlyWhileStoreIsEmpty(t *testing.T) {
	f := newCluster(t)
	n := f.start("a", f.store(), someFiles())
	f.eventually("files in force", func() bool { return n.loader.Current() != nil })
	f.c.Assert(n.loader.Current().Deployment.Name, qt.Equals, "from-files")
	f.publish(f.store(), 1)
	f.allAt(1)
	second := f.start("a", f.store(), someFiles())
	f.eventually("second in force", func() bool { return second.loader.Current() != nil })
	f.c.Assert(second.loader.Current().Deployment.Name, qt.Equals, "d")
}

// Guards against many instances that read the store at once: only two instances of
// a failure domain watch it, also after an outage, and only they read a change.
func TestOnlyWatchersReadTheStore(t *testing.T) {
	f := newCluster(t)
	f.publish(f.store(), 1)
	for range 10 {
		f.start("a", f.store(), nil)
	}
	f.allAt(1)
	f.eventually("two watches", func() bool { return f.service.Counts().WaitingWatches == watchersPerDomain })
	start, faults := f.service.Counts(), f.service.Faults()
	faults.Outage = true
	f.service.SetFaults(faults)
	f.eventually("refused watches", func() bool { return f.service.Counts().Unavailable >= 2*watchersPerDomain })
	faults.Outage = false
	f.service.SetFaults(faults)
	f.eventually("two watches after the outage", func() bool { return f.service.Counts().Watches == start.Watches+watchersPerDomain })
	before := f.service.Counts()
	f.publish(f.store(), 2)
	f.allAt(2)
	after := f.service.Counts()
	// The publish reads the head and two parts of revision 1, each watcher the one
	// part that changed.
	f.c.Assert(after.Gets-before.Gets <= 3+watchersPerDomain, qt.IsTrue, qt.Commentf("%d reads", after.Gets-before.Gets))
}
