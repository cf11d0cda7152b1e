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

// testCluster connects loaders in memory. Each sees the revisions of the others at once.
type testCluster struct {
	c       *qt.C
	ctx     context.Context
	service *standin.Store
	address string

	mu        sync.Mutex
	instances []*testInstance
}

// testInstance runs one loader of a cluster and implements Members for it.
type testInstance struct {
	cluster    *testCluster
	id, domain string
	loader     *Loader
	revision   int64
	down       bool
	stopped    sync.WaitGroup
}

func newCluster(t *testing.T) *testCluster {
	c := qt.New(t)
	service := standin.NewStore()
	server := httptest.NewServer(service.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	cluster := &testCluster{c: c, ctx: ctx, service: service, address: server.Listener.Addr().String()}
	c.Cleanup(func() {
		cancel()
		for _, instance := range cluster.instances {
			instance.stopped.Wait()
		}
		server.CloseClientConnections()
		server.Close()
	})
	return cluster
}

func (cluster *testCluster) store() store.Store { return store.NewHTTP(cluster.address) }

// start runs an instance with the given store, which may be nil or differ from that
// of the cluster.
func (cluster *testCluster) start(domain string, s store.Store, files fs.FS) *testInstance {
	cluster.mu.Lock()
	instance := &testInstance{cluster: cluster, id: fmt.Sprintf("entry-%d", len(cluster.instances)), domain: domain}
	instance.loader = NewLoader(Options{Store: s, Peers: cluster, Members: instance, Files: files, Times: testTimes,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	cluster.instances = append(cluster.instances, instance)
	cluster.mu.Unlock()
	instance.stopped.Go(func() { instance.loader.Run(cluster.ctx) })
	return instance
}

// publish publishes a set with the given number of organisations.
func (cluster *testCluster) publish(s store.Store, organisations int) {
	_, err := Publish(cluster.ctx, s, config.Request{Author: "test", Set: setOf(organisations)}, false)
	cluster.c.Assert(err, qt.IsNil)
}

func setOf(organisations int) *pipeline.Set {
	set := &pipeline.Set{Deployment: pipeline.Deployment{Name: "d"}}
	for i := range organisations {
		set.Deployment.Organisations = append(set.Deployment.Organisations, pipeline.Organisation{Name: fmt.Sprint("o", i)})
	}
	return set
}

// eventually waits until the condition is true and fails the test after 10 s.
func (cluster *testCluster) eventually(what string, condition func() bool) {
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	cluster.c.Fatalf("condition not met within 10 s: %s", what)
}

func (cluster *testCluster) allAt(revision int64) {
	cluster.eventually(fmt.Sprintf("all at revision %d", revision), func() bool {
		return !slices.ContainsFunc(cluster.instances, func(instance *testInstance) bool { return instance.loader.Revision() != revision })
	})
}

func (cluster *testCluster) find(address string) (*testInstance, error) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for _, instance := range cluster.instances {
		if instance.id == address && !instance.down {
			return instance, nil
		}
	}
	return nil, errors.New("peer is down")
}

// Head implements Peers.
func (cluster *testCluster) Head(_ context.Context, address string, inForce int64) ([]byte, error) {
	instance, err := cluster.find(address)
	if err != nil {
		return nil, err
	}
	return instance.loader.HeadAfter(inForce)
}

// Parts implements Peers. It returns one part for each call, as for large parts.
func (cluster *testCluster) Parts(_ context.Context, address string, digests [][]byte) ([][]byte, error) {
	instance, err := cluster.find(address)
	if err != nil {
		return nil, err
	}
	data, ok := instance.loader.Part(digests[0])
	if !ok {
		return nil, nil
	}
	return [][]byte{data}, nil
}

func (instance *testInstance) Self() string { return instance.id }

// instanceIDs returns the IDs of the running instances that a filter accepts.
func (instance *testInstance) instanceIDs(accept func(*testInstance) bool) []string {
	instance.cluster.mu.Lock()
	defer instance.cluster.mu.Unlock()
	var ids []string
	for _, other := range instance.cluster.instances {
		if !other.down && accept(other) {
			ids = append(ids, other.id)
		}
	}
	return ids
}

func (instance *testInstance) Live() []string {
	return instance.instanceIDs(func(other *testInstance) bool { return other.domain == instance.domain })
}

func (instance *testInstance) Seeds() []string {
	return instance.instanceIDs(func(other *testInstance) bool { return other != instance })
}

func (instance *testInstance) AddressesWithRevision(revision int64) []string {
	return instance.instanceIDs(func(other *testInstance) bool { return other != instance && other.revision >= revision })
}

func (instance *testInstance) HighestRevision() int64 {
	highest := int64(0)
	instance.instanceIDs(func(other *testInstance) bool {
		highest = max(highest, other.revision)
		return false
	})
	return highest
}

func (instance *testInstance) SetRevision(revision int64, _ bool) {
	instance.cluster.mu.Lock()
	defer instance.cluster.mu.Unlock()
	instance.revision = revision
	for _, other := range instance.cluster.instances {
		other.loader.Wake()
	}
}

// brokenStore fails every call.
func brokenStore() store.Store { return store.NewHTTP("127.0.0.1:1") }
