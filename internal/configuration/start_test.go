package configuration

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// partReadCounter counts the parts that are read.
type partReadCounter struct {
	store.Store
	reads atomic.Int64
}

func (s *partReadCounter) Get(ctx context.Context, key string) (store.Entry, error) {
	if strings.HasPrefix(key, config.PartPrefix) {
		s.reads.Add(1)
	}
	return s.Store.Get(ctx, key)
}

// Guards against an instance that at its start reads all parts from the store
// although a peer has them, and so exhausts its share of the store's rate limit.
func TestStartReadsPartsFromPeers(t *testing.T) {
	cluster := newCluster(t)
	cluster.publish(cluster.store(), 400)
	first, late := &partReadCounter{Store: cluster.store()}, &partReadCounter{Store: cluster.store()}
	cluster.start("a", first, nil)
	cluster.allAt(1)
	cluster.start("a", late, nil)
	cluster.allAt(1)
	cluster.c.Assert(first.reads.Load() > 100, qt.IsTrue)
	cluster.c.Assert(late.reads.Load(), qt.Equals, int64(0))
}
