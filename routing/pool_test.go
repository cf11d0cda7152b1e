package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

var (
	startTime    = time.Unix(1000, 0)
	testLocation = Location{Region: "r", FailureDomain: "r-a"}
)

// servers returns n servers of one failure domain.
func servers(n int, failureDomain string) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("%s-%d", failureDomain, i), Region: failureDomain[:1], FailureDomain: failureDomain, Slots: 8}
	}
	return list
}

func newPool(list []Server) (*Pool, *rand.Rand) {
	pool := NewPool(testLocation)
	pool.SetServers(list, startTime)
	return pool, rand.New(rand.NewPCG(1, 2))
}

// serve runs n calls one after another, each with the latency of its server, and
// returns the number of calls per server.
func serve(pool *Pool, random *rand.Rand, now *time.Time, n int, latency func(ServerIndex) time.Duration) map[ServerIndex]int {
	picked := map[ServerIndex]int{}
	for range n {
		i, ok := pool.Pick(*now, random, Query{Class: pipeline.ClassInteractive, AllowProbe: true})
		if !ok {
			continue
		}
		picked[i]++
		d := latency(i)
		pool.Started(i, pipeline.ClassInteractive, *now)
		*now = now.Add(d)
		pool.Finished(i, pipeline.ClassInteractive, Result{Latency: d}, *now)
	}
	return picked
}

// Guards against stragglers that keep their share of the calls, and against ones
// that are never restored after they have recovered.
func TestStragglerIsLoweredAndRecovers(t *testing.T) {
	c := qt.New(t)
	pool, random := newPool(servers(12, "r-a"))
	now := startTime
	slow := func(i ServerIndex) time.Duration {
		if i < 2 {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	serve(pool, random, &now, 500, slow)
	c.Assert(pool.Lowered(), qt.Equals, 2)
	picked := serve(pool, random, &now, 1000, slow)
	c.Assert(picked[0]+picked[1] < 20, qt.IsTrue, qt.Commentf("%v", picked))
	serve(pool, random, &now, 6000, func(ServerIndex) time.Duration { return 10 * time.Millisecond })
	c.Assert(pool.Lowered(), qt.Equals, 0)
}

// Guards against a pool that lowers its own servers because all of them are slow.
func TestSlowPoolLowersNoServer(t *testing.T) {
	pool, random := newPool(servers(12, "r-a"))
	now := startTime
	serve(pool, random, &now, 500, func(ServerIndex) time.Duration { return 10 * time.Millisecond })
	serve(pool, random, &now, 500, func(ServerIndex) time.Duration { return 200 * time.Millisecond })
	qt.Assert(t, pool.Lowered(), qt.Equals, 0)
}

// Guards against more than 30 % of a pool lowered, negative counts, a pick of a
// draining or unlisted server, and more long calls than their share of a server's
// slots, under any order of calls and changes.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(servers(rapid.IntRange(1, 14).Draw(t, "near"), "r-a"), servers(4, "s-a")...)
		pool, random := newPool(all)
		now, listed, draining := startTime, all, map[string]bool{}
		type call struct {
			i     ServerIndex
			class pipeline.Class
			at    time.Time
		}
		var calls []call
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				listed = all[rapid.IntRange(0, len(all)-1).Draw(t, "from"):]
				pool.SetServers(listed, now)
			case 1:
				id := rapid.SampledFrom(all).Draw(t, "drain").ID
				draining[id] = pool.Drain(id) || draining[id]
			case 2:
				counts := []InFlightCount{{ID: all[0].ID, InFlight: 5, Long: 2}}
				pool.SetPeerCounts("peer", counts, now)
			case 3, 4, 5, 6:
				class := rapid.SampledFrom([]pipeline.Class{pipeline.ClassInteractive, pipeline.ClassLong}).Draw(t, "class")
				i, ok := pool.Pick(now, random, Query{Class: class, AllowProbe: true, AllowRemote: rapid.Bool().Draw(t, "link"), Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))})
				if !ok {
					continue
				}
				s := &pool.servers[i]
				if !s.live || s.draining {
					t.Fatalf("picked %q: live %v, draining %v", s.ID, s.live, s.draining)
				}
				pool.Started(i, class, now)
				if float64(s.long) > max(1, LongShare*float64(s.Slots)) {
					t.Fatalf("%d long calls on %d slots", s.long, s.Slots)
				}
				calls = append(calls, call{i, class, now})
			default:
				if len(calls) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(calls)-1).Draw(t, "end")
				ended := calls[k]
				calls = append(calls[:k], calls[k+1:]...)
				latency := now.Sub(ended.at)
				if ended.i%4 == 0 {
					latency *= 20
				}
				outcome := Outcome(rapid.IntRange(0, int(Unreachable)).Draw(t, "outcome"))
				pool.Finished(ended.i, ended.class, Result{outcome, latency}, now)
			}
			inFlight := 0
			for i := range pool.servers {
				s := &pool.servers[i]
				if s.inFlight < 0 || s.long < 0 || s.long > s.inFlight {
					t.Fatalf("%q has %d calls, %d long", s.ID, s.inFlight, s.long)
				}
				inFlight += s.inFlight
			}
			if inFlight != len(calls) {
				t.Fatalf("%d calls counted, %d running", inFlight, len(calls))
			}
			if float64(pool.Lowered()) > MaxLoweredShare*float64(len(pool.ordered)) {
				t.Fatalf("%d of %d servers lowered", pool.Lowered(), len(pool.ordered))
			}
		}
	})
}

// Guards against an unreachable server that attracts calls because it fails fast.
func TestUnreachableServerIsLowered(t *testing.T) {
	pool, random := newPool(servers(6, "r-a"))
	unreachable := 0
	for range 100 {
		i, _ := pool.Pick(startTime, random, Query{})
		pool.Started(i, pipeline.ClassNormal, startTime)
		outcome := Answered
		if i == 3 {
			unreachable++
			outcome = Unreachable
		}
		pool.Finished(i, pipeline.ClassNormal, Result{outcome, time.Millisecond}, startTime)
	}
	qt.Assert(t, unreachable, qt.Equals, 1)
}

// Guards against calls to another region that are not needed or not within the link
// budget.
func TestLinkIsLastResort(t *testing.T) {
	c := qt.New(t)
	near, far := servers(2, "r-a"), servers(2, "s-a")
	pool, random := newPool(append(near, far...))
	now := startTime
	for range 100 {
		i, _ := pool.Pick(now, random, Query{AllowRemote: true, Remaining: time.Second})
		c.Assert(pool.Local(i), qt.IsTrue)
		pool.Started(i, pipeline.ClassNormal, now)
	}
	pool.SetServers(far, now)
	_, ok := pool.Pick(now, random, Query{})
	c.Assert(ok, qt.IsFalse)
	_, ok = pool.Pick(now, random, Query{AllowRemote: true})
	c.Assert(ok, qt.IsTrue)
}

// Guards against a popular prompt prefix that overloads the server it hashes to.
func TestPrefixKeepsItsServerWithinBound(t *testing.T) {
	c := qt.New(t)
	pool, random := newPool(servers(8, "r-a"))
	q := Query{Prefix: 77}
	first, _ := pool.Pick(startTime, random, q)
	for range 16 {
		again, _ := pool.Pick(startTime, random, q)
		c.Assert(again, qt.Equals, first)
	}
	for range 64 {
		i, _ := pool.Pick(startTime, random, q)
		pool.Started(i, pipeline.ClassNormal, startTime)
	}
	for i := range pool.servers {
		c.Assert(pool.servers[i].inFlight <= 11, qt.IsTrue, qt.Commentf("%d calls", pool.servers[i].inFlight))
	}
}

func benchmarkPick(b *testing.B, n int, q Query) {
	pool, random := newPool(servers(n, "r-a"))
	now := startTime
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		i, _ := pool.Pick(now, random, q)
		pool.Started(i, pipeline.ClassNormal, now)
		pool.Finished(i, pipeline.ClassNormal, Result{Latency: time.Millisecond}, now)
	}
}

func BenchmarkDecision56(b *testing.B)         { benchmarkPick(b, 56, Query{}) }
func BenchmarkDecision1000(b *testing.B)       { benchmarkPick(b, 1000, Query{}) }
func BenchmarkDecision2100(b *testing.B)       { benchmarkPick(b, 2100, Query{}) }
func BenchmarkDecisionPrefix56(b *testing.B)   { benchmarkPick(b, 56, Query{Prefix: 77}) }
func BenchmarkDecisionPrefix1000(b *testing.B) { benchmarkPick(b, 1000, Query{Prefix: 77}) }
func BenchmarkDecisionPrefix2100(b *testing.B) { benchmarkPick(b, 2100, Query{Prefix: 77}) }

// Guards against memory allocations in a routing decision.
func TestDecisionAllocatesNothing(t *testing.T) {
	pool, random := newPool(servers(56, "r-a"))
	now := startTime
	allocated := testing.AllocsPerRun(1000, func() {
		now = now.Add(10 * time.Millisecond)
		i, _ := pool.Pick(now, random, Query{Prefix: 3})
		pool.Started(i, pipeline.ClassNormal, now)
		pool.Finished(i, pipeline.ClassNormal, Result{Latency: time.Millisecond}, now)
	})
	qt.Assert(t, allocated, qt.Equals, 0.0)
}

// Guards against a server that gets its full share of calls here although other
// instances report it as a straggler, against a report that outweighs later
// measurements of this instance, and against reports that reduce the calls to more
// servers of a pool than may be lowered.
func TestPeerStragglersGetFewerCalls(t *testing.T) {
	c := qt.New(t)
	pool, random := newPool(servers(6, "r-a"))
	reports := map[string]int{}
	for _, id := range []string{"r-a-2", "r-a-3", "r-a-4"} {
		reports[id] = 1
	}
	picks := func() (counts [6]int) {
		pool.maintain(startTime.UnixNano())
		for range 600 {
			i, _ := pool.Pick(startTime, random, Query{})
			counts[i]++
			pool.Started(i, pipeline.ClassNormal, startTime)
		}
		for i, n := range counts {
			for range n {
				pool.Finished(ServerIndex(i), pipeline.ClassNormal, Result{Refused, 0}, startTime)
			}
		}
		return counts
	}
	pool.SetPeerStragglers(reports, startTime)
	counts := picks()
	c.Assert(2*counts[2] < counts[0], qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(2*counts[4] > counts[0], qt.IsTrue, qt.Commentf("more than 30 %% get fewer calls: %v", counts))
	for i := range ServerIndex(6) {
		for range minSamples {
			pool.Started(i, pipeline.ClassNormal, startTime)
			pool.Finished(i, pipeline.ClassNormal, Result{Answered, time.Millisecond}, startTime)
		}
	}
	counts = picks()
	c.Assert(2*counts[2] > counts[0], qt.IsTrue, qt.Commentf("own measurements ignored: %v", counts))
}

// Guards against an instance that detects a slow server only through slow calls of
// its own although others agree on it, against lowering on the report of a single
// instance, against passing on such reports, and against a server that stays lowered
// after good probes.
func TestReportedServerIsLoweredToProbes(t *testing.T) {
	c := qt.New(t)
	pool, random := newPool(servers(6, "r-a"))
	now := startTime
	answer := func(i ServerIndex) {
		pool.Started(i, pipeline.ClassNormal, now)
		pool.Finished(i, pipeline.ClassNormal, Result{Answered, time.Millisecond}, now)
	}
	for range minSamples {
		for i := range ServerIndex(6) {
			answer(i)
		}
	}
	pool.maintain(now.UnixNano())
	pool.SetPeerStragglers(map[string]int{"r-a-2": 1}, now)
	c.Assert(pool.Lowered(), qt.Equals, 0)
	reports := map[string]int{"r-a-2": 2, "r-a-3": 2, "r-a-4": 2}
	pool.SetPeerStragglers(reports, now)
	c.Assert(pool.Lowered(), qt.Equals, 1)
	c.Assert(pool.Stragglers(), qt.HasLen, 0)
	for range 300 {
		i, _ := pool.Pick(now, random, Query{})
		c.Assert(i, qt.Not(qt.Equals), ServerIndex(2))
		answer(i)
	}
	for range levelProbeOnly * goodAnswersToRaise {
		answer(2)
	}
	pool.SetPeerStragglers(reports, now)
	c.Assert(pool.Lowered(), qt.Equals, 0)
}
