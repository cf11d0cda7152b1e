package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Guards against slots that are home slots of two instances or of none, and against
// long calls of all instances that together exceed their share of a server.
func TestEveryHomeSlotHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"r-a", "r-b"}
		var list []Server
		for _, domain := range domains {
			list = append(list, servers(rapid.IntRange(0, 8).Draw(t, "servers"), domain)...)
		}
		instances := make([]Instance, rapid.IntRange(1, 9).Draw(t, "instances"))
		for i := range instances {
			instances[i] = Instance{ID: fmt.Sprint("i", i), FailureDomain: rapid.SampledFrom(domains).Draw(t, "domain")}
		}
		owned, long := map[string]int{}, map[string]int{}
		for _, instance := range instances {
			pool, _ := newPool(nil)
			pool.SetInstances(instance.ID, instances)
			pool.SetServers(list, startTime)
			for i := range pool.servers {
				owned[pool.servers[i].ID] += pool.servers[i].homeSlots
			}
			for range pool.totalHomeSlots {
				if i := pool.pickHome(startTime.UnixNano(), &Query{Class: pipeline.ClassLong}); i != noServer {
					pool.Started(i, pipeline.ClassLong, startTime)
					long[pool.ID(i)]++
				}
			}
		}
		for _, s := range list {
			if owned[s.ID] != s.Slots || float64(long[s.ID]) > LongShare*float64(s.Slots) {
				t.Fatalf("%s: %d of %d slots owned, %d long calls", s.ID, owned[s.ID], s.Slots, long[s.ID])
			}
		}
	})
}

// Guards against a slow server that is detected only when its first call ends.
func TestOverdueCallLowersItsServer(t *testing.T) {
	pool, random := newPool(servers(12, "r-a"))
	now := startTime
	serve(pool, random, &now, 500, func(ServerIndex) time.Duration { return 10 * time.Millisecond })
	pool.Started(3, pipeline.ClassInteractive, now)
	now = now.Add(60 * time.Millisecond)
	pool.Pick(now, random, Query{})
	qt.Assert(t, pool.Lowered(), qt.Equals, 1)
}

// Guards against a slow server that keeps its share of the calls because all of them
// are hedged and cancelled, so that it never returns a slow answer.
func TestHedgedCallsLowerTheirServer(t *testing.T) {
	pool, random := newPool(servers(12, "r-a"))
	now := startTime
	serve(pool, random, &now, 500, func(ServerIndex) time.Duration { return 10 * time.Millisecond })
	for range abandonedToLower {
		pool.Started(3, pipeline.ClassInteractive, now)
		now = now.Add(15 * time.Millisecond)
		pool.Finished(3, pipeline.ClassInteractive, Result{Abandoned, 15 * time.Millisecond}, now)
	}
	qt.Assert(t, pool.Lowered(), qt.Equals, 1)
}

// Guards against instances that put their long calls on the same servers because
// they do not know each other's calls.
func TestLongCallsOfAllInstancesSpreadOverServers(t *testing.T) {
	list := servers(8, "r-a")
	instances := []Instance{{"i0", "r-a"}, {"i1", "r-a"}, {"i2", "r-a"}, {"i3", "r-a"}}
	const perServer = 2
	long := map[string]int{}
	for _, instance := range instances {
		pool, random := newPool(nil)
		pool.SetInstances(instance.ID, instances)
		pool.SetServers(list, startTime)
		for range perServer * len(list) / len(instances) {
			i, _ := pool.Pick(startTime, random, Query{Class: pipeline.ClassLong})
			pool.Started(i, pipeline.ClassLong, startTime)
			long[pool.ID(i)]++
		}
	}
	for _, s := range list {
		qt.Check(t, long[s.ID], qt.Equals, perServer, qt.Commentf("%s", s.ID))
	}
}

// Guards against a prompt prefix that takes precedence over load: it decides only
// among home slots with about the same score.
func TestPrefixDecidesAmongEqualHomeSlots(t *testing.T) {
	pool, random := newPool(nil)
	pool.SetInstances("i0", []Instance{{"i0", "r-a"}})
	pool.SetServers(servers(8, "r-a"), startTime)
	query := Query{Prefix: 4711}
	first, _ := pool.Pick(startTime, random, query)
	again, _ := pool.Pick(startTime, random, query)
	qt.Check(t, again, qt.Equals, first)
	pool.Started(first, pipeline.ClassInteractive, startTime)
	other, _ := pool.Pick(startTime, random, query)
	qt.Check(t, other, qt.Not(qt.Equals), first)
}
