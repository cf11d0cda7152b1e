package entry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// Guards against callers that wait forever or run above the limit, and against
// tickets that stay in the queue when their callers disconnect while they wait.
func TestAdmissionKeepsLimitUnderConcurrency(t *testing.T) {
	c := qt.New(t)
	set := &pipeline.Set{Deployment: pipeline.Deployment{Pools: []pipeline.Pool{{Name: "shelf", Slots: 3}}}}
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	servers := NewServers("i", routing.Location{}, 1, discard, time.Now)
	servers.Update([]platform.Member{{ID: "s", Role: platform.RoleBackend, Pool: "shelf", State: platform.StateLive}}, set)
	control := NewAdmissionControl(servers, NewAdmissionMetrics(tally.NoopScope), discard, time.Now)
	request := &Request{
		Pipeline: &pipeline.Pipeline{Stages: []pipeline.Stage{{Name: "fetch", Pool: "shelf"}}},
		Kind:     pipeline.Kind{Class: pipeline.ClassNormal},
		Deadline: time.Now().Add(time.Minute),
	}
	var running, over atomic.Int32
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			ctx, cancel := context.WithCancel(c.Context())
			defer cancel()
			if i%5 == 0 {
				cancel()
			}
			release, problem := control.Admit(ctx, request)
			if problem != nil {
				return
			}
			if running.Add(1) > 3 {
				over.Add(1)
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
			release(OutcomeCompleted)
		})
	}
	callers.Wait()
	control.Tick()
	left, waiting := control.queues["shelf"].queue.Load()
	c.Assert([]int{int(over.Load()), left, waiting, len(control.queues["shelf"].waiters)}, qt.DeepEquals, []int{0, 0, 0, 0})
}

// Guards against requests that are refused by a region above its capacity while
// the other region and the link have capacity, and against requests that run in
// another region without a budget for the link.
func TestRefusedRequestRunsInOtherRegion(t *testing.T) {
	c := qt.New(t)
	set := &pipeline.Set{Deployment: pipeline.Deployment{LinkMbits: 30, Pools: []pipeline.Pool{{Name: "shelf", Slots: 1}}}}
	discard := slog.New(slog.DiscardHandler)
	servers := NewServers("i", routing.Location{Region: "near", FailureDomain: "near-a"}, 1, discard, time.Now)
	servers.Update([]platform.Member{
		{ID: "s", Role: platform.RoleBackend, Region: "near", FailureDomain: "near-a", Pool: "shelf", State: platform.StateLive},
		{ID: "f", Role: platform.RoleBackend, Region: "far", FailureDomain: "far-a", Pool: "shelf", State: platform.StateLive},
	}, set)
	control := NewAdmissionControl(servers, NewAdmissionMetrics(tally.NoopScope), discard, time.Now)
	admit := func(linkBytes int64) (*Request, *Problem) {
		request := &Request{
			Pipeline: &pipeline.Pipeline{Stages: []pipeline.Stage{{Name: "fetch", Pool: "shelf"}}},
			Kind:     pipeline.Kind{Class: pipeline.ClassNormal, Cost: pipeline.Cost{LinkBytes: linkBytes}},
			Deadline: time.Now().Add(time.Second),
		}
		ctx, cancel := context.WithTimeout(c.Context(), time.Millisecond)
		defer cancel()
		_, problem := control.Admit(ctx, request)
		return request, problem
	}
	_, problem := admit(0)
	c.Assert(problem == nil, qt.IsTrue)
	_, problem = admit(0)
	c.Assert(problem == nil, qt.IsFalse)
	request, problem := admit(1000)
	c.Assert(problem == nil, qt.IsTrue)
	picked, ok := servers.Pick(Query{Pool: "shelf", LinkBytes: 1000, CrossRegion: request.crossRegion, Remaining: time.Second})
	c.Assert(ok, qt.IsTrue)
	c.Assert(picked.Server().ID, qt.Equals, "f")
	picked.Done(nil, 600)
	c.Assert(servers.LinkUsage(), qt.DeepEquals, map[quota.LinkUse]int64{{}: 600})
}
