package configuration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// testTimes are short, so that the tests run quickly.
var testTimes = Times{ReadTimeout: 2 * time.Second, BackoffMin: 5 * time.Millisecond, BackoffMax: 50 * time.Millisecond,
	PullSpread: 5 * time.Millisecond, CheckInterval: 10 * time.Millisecond}

// cluster connects loaders in memory. Each sees the revisions of the others at once.
type cluster struct {
	c       *qt.C
	ctx     context.Context
	service *standin.Store
	address string

	mu        sync.Mutex
	instances []*instance
}

// instance runs one loader of a cluster and implements Members for it.
type instance struct {
	cluster    *cluster
	id, domain string
	loader     *Loader
	revision   int64
	down       bool
	stopped    sync.WaitGroup
}

func newCluster(t *testing.T) *cluster {
	c := qt.New(t)
	service := standin.NewStore()
	server := httptest.NewServer(service.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	f := &cluster{c: c, ctx: ctx, service: service, address: server.Listener.Addr().String()}
	c.Cleanup(func() {
		cancel()
		for _, n := range f.instances {
			n.stopped.Wait()
		}
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

func (f *cluster) store() store.Store { return store.NewHTTP(f.address) }

// start runs an instance with the given store, which may be nil or differ from that
// of the cluster.
func (f *cluster) start(domain string, s store.Store, files fs.FS) *instance {
	f.mu.Lock()
	n := &instance{cluster: f, id: fmt.Sprintf("entry-%d", len(f.instances)), domain: domain}
	n.loader = NewLoader(Options{Store: s, Peers: f, Members: n, Files: files, Times: testTimes,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	f.instances = append(f.instances, n)
	f.mu.Unlock()
	n.stopped.Go(func() { n.loader.Run(f.ctx) })
	return n
}

// publish publishes a set with the given number of organisations.
func (f *cluster) publish(s store.Store, organisations int) {
	_, err := Publish(f.ctx, s, config.Request{Author: "test", Set: setOf(organisations)}, false)
	f.c.Assert(err, qt.IsNil)
}

func setOf(organisations int) *pipeline.Set {
	set := &pipeline.Set{Deployment: pipeline.Deployment{Name: "d"}}
	for i := range organisations {
		set.Deployment.Organisations = append(set.Deployment.Organisations, pipeline.Organisation{Name: fmt.Sprint("o", i)})
	}
	return set
}

// eventually waits until the condition is true and fails the test after 10 s.
func (f *cluster) eventually(what string, condition func() bool) {
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.c.Fatalf("condition not met within 10 s: %s", what)
}

func (f *cluster) allAt(revision int64) {
	f.eventually(fmt.Sprintf("all at revision %d", revision), func() bool {
		return !slices.ContainsFunc(f.instances, func(n *instance) bool { return n.loader.Revision() != revision })
	})
}

func (f *cluster) find(address string) (*instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.instances {
		if n.id == address && !n.down {
			return n, nil
		}
	}
	return nil, errors.New("peer is down")
}

// Head implements Peers.
func (f *cluster) Head(_ context.Context, address string, have int64) ([]byte, error) {
	n, err := f.find(address)
	if err != nil {
		return nil, err
	}
	return n.loader.HeadAfter(have)
}

// Parts implements Peers. It returns one part for each call, as for large parts.
func (f *cluster) Parts(_ context.Context, address string, digests [][]byte) ([][]byte, error) {
	n, err := f.find(address)
	if err != nil {
		return nil, err
	}
	data, ok := n.loader.Part(digests[0])
	if !ok {
		return nil, nil
	}
	return [][]byte{data}, nil
}

func (n *instance) Self() string { return n.id }

func (n *instance) others(accept func(*instance) bool) []string {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var ids []string
	for _, other := range n.cluster.instances {
		if !other.down && accept(other) {
			ids = append(ids, other.id)
		}
	}
	return ids
}

func (n *instance) Live() []string {
	return n.others(func(other *instance) bool { return other.domain == n.domain })
}

func (n *instance) Seeds() []string {
	return n.others(func(other *instance) bool { return other != n })
}

func (n *instance) AddressesWithRevision(revision int64) []string {
	return n.others(func(other *instance) bool { return other != n && other.revision >= revision })
}

func (n *instance) HighestRevision() int64 {
	highest := int64(0)
	n.others(func(other *instance) bool {
		highest = max(highest, other.revision)
		return false
	})
	return highest
}

func (n *instance) SetRevision(revision int64, _ bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.revision = revision
	for _, other := range n.cluster.instances {
		other.loader.Wake()
	}
}

// brokenStore fails every call.
func brokenStore() store.Store { return store.NewHTTP("127.0.0.1:1") }
