package proof

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/crowd"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/traffic"
)

// Guards against an entry process that takes more than its machine has, or serves no caller,
// while bodies stop just short of their end.
func TestCrowdOfBodiesAtAnEntryInstance(t *testing.T) { testEntryCrowd(t, crowd.BodyInOnePiece) }

// Guards against the same with bodies in small chunks.
func TestCrowdOfChunkedBodiesAtAnEntryInstance(t *testing.T) { testEntryCrowd(t, crowd.ChunkedBody) }

// Guards against the same with heads of very many short fields.
func TestCrowdOfManyFieldsAtAnEntryInstance(t *testing.T) {
	testEntryCrowd(t, crowd.ManyFields)
}

// Guards against the same with requests that are sent ahead without reading the answers.
func TestCrowdOfRequestsSentAheadAtAnEntryInstance(t *testing.T) {
	testEntryCrowd(t, crowd.RequestsAhead)
}

// testEntryCrowd sends a crowd to each door of an entry process, one door after the other.
func testEntryCrowd(t *testing.T, play crowd.Client) {
	f := &fleet{C: qt.New(t), name: "crowd", random: randomOf("crowd", "faults")}
	i, request := f.startLimitedInstance()
	e := i.settings
	path := fmt.Sprintf("/v1/organisations/%s/pipelines/%s/kinds/%s", request.Organisation, request.Pipeline, request.Kind.Name)
	client := traffic.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	served := func() bool {
		return client.Send(context.Background(), e.CallerAddress, request).Outcome == entry.OutcomeCompleted
	}
	f.waitUntil("request is served", served)
	for _, d := range []crowd.Door{
		{Name: "callers with a route", Address: e.CallerAddress, Path: path},
		{Name: "callers without a route", Address: e.CallerAddress, Path: "/"},
		{Name: "ready", Address: e.AdminAddress, Path: "/readyz"},
		{Name: "metrics", Address: e.AdminAddress, Path: "/metrics"},
		{Name: "peers", Address: e.PeerAddress, Path: "/twirp/x"},
	} {
		d.Host = "entry"
		leave := crowd.Send(d, play)
		f.waitUntil("instance is ready", i.ready)
		f.waitUntil("request is served", served)
		taken, err := crowd.Measure(i.command.Process.Pid)
		leave()
		f.Assert(err, qt.IsNil)
		f.Logf("%s: %+v", d.Name, taken)
		f.Check(taken.Fits(), qt.IsTrue, qt.Commentf("%s: %+v", d.Name, taken))
	}
}

// startLimitedInstance starts one entry process with the machine of the crowds, and returns
// an idempotent request that it serves.
func (f *fleet) startLimitedInstance() (*instance, traffic.Request) {
	var err error
	f.cluster, err = standin.StartCluster(standin.ClusterConfig{Folder: exampleFolder, Speed: speedFactor})
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = f.cluster.Close() }) // connections of killed processes may be broken
	entries, err := f.cluster.EntrySettings(exampleFolder, 1, nextPort)
	f.Assert(err, qt.IsNil)
	entries[0].MemoryMB, entries[0].MaxDescriptors = crowd.MemoryMB, crowd.MaxDescriptors
	paths, err := standin.WriteSettings(f.TempDir(), entries[:1])
	f.Assert(err, qt.IsNil)
	i := &instance{C: f.C, settings: entries[0], path: paths[0]}
	i.start()
	f.Cleanup(i.killAndShowLog)
	f.waitReady(i)
	for _, r := range traffic.Plan(f.cluster.Set, f.random, "crowd-") {
		if !r.Kind.AtMostOnce() && !r.Kind.Durable && r.Key == "" {
			return i, r
		}
	}
	f.Fatal("no idempotent request is planned")
	return nil, traffic.Request{}
}
