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
	cluster := newCluster(t)
	cluster.publish(cluster.store(), 1)
	var racing sync.WaitGroup
	errs := make([]error, 4)
	for i := range errs {
		racing.Go(func() {
			_, errs[i] = Publish(cluster.ctx, cluster.store(), config.Request{Author: fmt.Sprint("operator ", i), Base: 1, Set: setOf(i + 2)}, false)
		})
	}
	racing.Wait()
	won := -1
	for i, err := range errs {
		var conflict *config.ConflictError
		switch {
		case err == nil:
			cluster.c.Assert(won, qt.Equals, -1)
			won = i
		default:
			cluster.c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
			cluster.c.Assert(conflict.Winner.Difference, qt.Contains, "added organisation")
		}
	}
	trail, err := Audit(cluster.ctx, cluster.store())
	cluster.c.Assert(err, qt.IsNil)
	cluster.c.Assert(trail[1].Author, qt.Equals, fmt.Sprint("operator ", won))
}

// Guards against a change that took effect but is reported as failed, or is written
// twice, because responses of the store were lost.
func TestPublishSucceedsDespiteLostResponses(t *testing.T) {
	cluster := newCluster(t)
	cluster.publish(cluster.store(), 1)
	result, err := Publish(cluster.ctx, &lostResponseStore{Store: cluster.store()}, config.Request{Set: setOf(9)}, false)
	cluster.c.Assert(err, qt.IsNil)
	cluster.c.Assert(result.Revision, qt.Equals, int64(2))
	trail, err := Audit(cluster.ctx, cluster.store())
	cluster.c.Assert(err, qt.IsNil)
	cluster.c.Assert(trail, qt.HasLen, 2)
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
	cluster := newCluster(t)
	alone := cluster.start("b", brokenStore(), someFiles())
	time.Sleep(50 * time.Millisecond)
	cluster.c.Assert(alone.loader.Current(), qt.IsNil)
	cluster.publish(cluster.store(), 3)
	cluster.start("a", cluster.store(), nil)
	cluster.allAt(1)
	late := cluster.start("b", brokenStore(), nil)
	cluster.allAt(1)
	cluster.c.Assert(late.loader.Current().Deployment.Organisations, qt.HasLen, 3)
}

// Guards against a restarted instance that loads an old revision from a stale
// store, and against a watch of such a store that replaces a newer revision.
func TestStaleStoreDoesNotLowerTheRevisionAfterRestart(t *testing.T) {
	cluster, staleCluster := newCluster(t), newCluster(t)
	cluster.publish(cluster.store(), 1)
	cluster.publish(cluster.store(), 2)
	staleCluster.publish(staleCluster.store(), 1)
	cluster.start("a", cluster.store(), nil)
	cluster.allAt(2)
	restarted := cluster.start("b", staleCluster.store(), nil)
	cluster.allAt(2)
	cluster.eventually("watch", restarted.loader.Watching)
	time.Sleep(50 * time.Millisecond)
	cluster.c.Assert(restarted.loader.Revision(), qt.Equals, int64(2))
	cluster.c.Assert(restarted.loader.Current().Deployment.Organisations, qt.HasLen, 2)
}

// Guards against a lower revision of a peer or store that replaces the one in force.
func TestLowerRevisionIsRefused(t *testing.T) {
	cluster, staleCluster := newCluster(t), newCluster(t)
	cluster.publish(cluster.store(), 1)
	cluster.publish(cluster.store(), 2)
	staleCluster.publish(staleCluster.store(), 7)
	instance := cluster.start("a", cluster.store(), nil)
	cluster.allAt(2)
	head, _, err := readHead(cluster.ctx, staleCluster.store())
	cluster.c.Assert(err, qt.IsNil)
	err = instance.loader.load(cluster.ctx, head, storeSource{staleCluster.store()})
	cluster.c.Assert(isLowerRevision(err), qt.IsTrue, qt.Commentf("%v", err))
	cluster.c.Assert(instance.loader.Current().Deployment.Organisations, qt.HasLen, 2)
}

// Guards against a failure domain that keeps an old configuration while it can
// reach its peers but not the store.
func TestFailureDomainWithoutStorePullsFromPeers(t *testing.T) {
	cluster := newCluster(t)
	cluster.publish(cluster.store(), 1)
	for range 3 {
		cluster.start("a", cluster.store(), nil)
		cluster.start("b", brokenStore(), nil)
	}
	cluster.allAt(1)
	cluster.publish(cluster.store(), 2)
	cluster.allAt(2)
}

func someFiles() fstest.MapFS {
	return fstest.MapFS{"deployment.jsonc": {Data: []byte(`{"deployment": "from-files", "regions": [{"name": "r", "failure_domains": ["r-a"]}]}`)}}
}

// Guards against operators' files that stay in force, or are loaded, although the
// store holds a configuration.
func TestFilesAreUsedOnlyWhileStoreIsEmpty(t *testing.T) {
	cluster := newCluster(t)
	instance := cluster.start("a", cluster.store(), someFiles())
	cluster.eventually("files in force", func() bool { return instance.loader.Current() != nil })
	cluster.c.Assert(instance.loader.Current().Deployment.Name, qt.Equals, "from-files")
	cluster.publish(cluster.store(), 1)
	cluster.allAt(1)
	second := cluster.start("a", cluster.store(), someFiles())
	cluster.eventually("second in force", func() bool { return second.loader.Current() != nil })
	cluster.c.Assert(second.loader.Current().Deployment.Name, qt.Equals, "d")
}

// Guards against many instances that read the store at once: only two instances of
// a failure domain watch it, also after an outage, and only they read a change.
func TestOnlyWatchersReadTheStore(t *testing.T) {
	cluster := newCluster(t)
	cluster.publish(cluster.store(), 1)
	for range 10 {
		cluster.start("a", cluster.store(), nil)
	}
	cluster.allAt(1)
	cluster.eventually("two watches", func() bool { return cluster.service.Counts().WaitingWatches == watchersPerDomain })
	start, faults := cluster.service.Counts(), cluster.service.Faults()
	faults.Outage = true
	cluster.service.SetFaults(faults)
	cluster.eventually("refused watches", func() bool { return cluster.service.Counts().Unavailable >= 2*watchersPerDomain })
	faults.Outage = false
	cluster.service.SetFaults(faults)
	cluster.eventually("two watches after the outage", func() bool { return cluster.service.Counts().Watches == start.Watches+watchersPerDomain })
	before := cluster.service.Counts()
	cluster.publish(cluster.store(), 2)
	cluster.allAt(2)
	after := cluster.service.Counts()
	// The publish reads the head and two parts of revision 1, each watcher the one
	// part that changed.
	cluster.c.Assert(after.Gets-before.Gets <= 3+watchersPerDomain, qt.IsTrue, qt.Commentf("%d reads", after.Gets-before.Gets))
}
