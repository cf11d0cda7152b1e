package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func newScheduler() *Scheduler {
	s := NewScheduler("r")
	s.SetServers([]Server{
		{ID: "1", Region: "r", FailureDomain: "a"}, {ID: "2", Region: "r", FailureDomain: "a"},
		{ID: "3", Region: "r", FailureDomain: "b"}, {ID: "4", Region: "far", FailureDomain: "c"},
	})
	return s
}

func prompt(shared, own string) []Part {
	return []Part{{"system", 2000}, {shared, 4000}, {own, 1000}}
}

func place(c *qt.C, s *Scheduler, now time.Time, q Query) string {
	placed, ok := s.Place(now, q)
	c.Assert(ok, qt.IsTrue)
	return placed.Server
}

// Guards against prompts with the same shared part that are placed at several servers,
// each of which processes that part again.
func TestPromptsGoToServersThatCacheTheirParts(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	first := place(c, s, start, Query{Prompt: prompt("x", "1")})
	for i := range 5 {
		now := start.Add(time.Duration(i+1) * time.Second)
		c.Assert(place(c, s, now, Query{Prompt: prompt("x", fmt.Sprint("o", i))}), qt.Equals, first)
	}
}

// Guards against a burst of prompts with the same shared part that all wait for one
// server while others are idle.
func TestBurstsWithASharedPartUseSeveralServers(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	placements := map[string]int{}
	for i := range 60 {
		placements[place(c, s, start, Query{Prompt: prompt("x", fmt.Sprint(i))})]++
	}
	c.Assert(placements, qt.HasLen, 3)
	for server, n := range placements {
		c.Assert(n < 40, qt.IsTrue, qt.Commentf("%s has %d", server, n))
	}
}

// Guards against a transfer of large inputs between failure domains for a small gain.
func TestLargeInputsStayInTheirFailureDomain(t *testing.T) {
	c := qt.New(t)
	for i := range 20 {
		q := Query{Prompt: prompt(fmt.Sprint("x", i), "1"), InputBytes: map[string]int64{"b": 12_000_000}}
		c.Assert(place(c, newScheduler(), start, q), qt.Equals, "3")
	}
}

// Guards against a model server in the failure domain where the inputs should have been
// produced, when most were produced in another one.
func TestPromptsGoToTheDomainWithMostInputs(t *testing.T) {
	c := qt.New(t)
	for i := range 20 {
		q := Query{Prompt: prompt(fmt.Sprint("x", i), "1"), InputBytes: map[string]int64{"a": 3_000_000, "b": 12_000_000}}
		c.Assert(place(c, newScheduler(), start, q), qt.Equals, "3")
	}
}

// Guards against a distribution of prompts over failure domains that does not match the
// number of servers that produce their inputs.
func TestDomainsAreChosenByNumberOfProducers(t *testing.T) {
	c := qt.New(t)
	counts := map[string]int{}
	for i := range 3000 {
		counts[ChooseDomain(prompt(fmt.Sprint(i), ""), map[string]int{"a": 2, "b": 1}, 0)]++
	}
	c.Assert(counts["a"] > 1800 && counts["a"] < 2200, qt.IsTrue, qt.Commentf(fmt.Sprint(counts)))
	c.Assert(ChooseDomain(nil, nil, 0.5), qt.Equals, "")
}

// Guards against a failed server that still gets prompts, and against no choice when
// all servers have failed.
func TestFailedServersArePaused(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	first := place(c, s, start, Query{Prompt: prompt("x", "1")})
	s.Report(start, Report{Server: first, Failed: true})
	now := start.Add(time.Millisecond)
	c.Assert(place(c, s, now, Query{Prompt: prompt("x", "2")}), qt.Not(qt.Equals), first)
	for _, id := range []string{"1", "2", "3"} {
		s.Report(start, Report{Server: id, Failed: true})
	}
	_, ok := s.Place(now, Query{Prompt: prompt("x", "3")})
	c.Assert(ok, qt.IsTrue)
}

// Guards against a slow server that gets as many prompts as a fast one.
func TestSlowServersGetFewerPrompts(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	first := place(c, s, start, Query{Prompt: prompt("x", "1")})
	for range 5 {
		s.Report(start, Report{Server: first, Delay: 3 * time.Second, Expected: 3 * time.Second / 10})
	}
	c.Assert(place(c, s, start.Add(time.Second), Query{Prompt: prompt("x", "2")}), qt.Not(qt.Equals), first)
}

// Guards against a restarted server whose lost cache still counts, and against memory
// use that grows with every prompt.
func TestCachedPartsAreEvicted(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	servers := []Server{{ID: "1", Region: "r", CacheTokens: 20_000}}
	s.SetServers(servers)
	for i := range 50 {
		place(c, s, start.Add(time.Duration(i)*time.Second), Query{Prompt: prompt(fmt.Sprint("x", i), fmt.Sprint("o", i))})
	}
	server := s.byID["1"]
	c.Assert(server.cachedTokens <= 20_000, qt.IsTrue)
	uncached, _ := server.uncachedTokens(prompt("x49", "new"))
	c.Assert(uncached, qt.Equals, 1000)
	servers[0].Incarnation = 1
	s.SetServers(servers)
	uncached, shared := s.byID["1"].uncachedTokens(prompt("x49", "new"))
	c.Assert(uncached, qt.Equals, 7000)
	c.Assert(shared, qt.Equals, 6000)
}

// Guards against prompts that are sent to another region while their own region has a
// server.
func TestOtherRegionsAreUsedOnlyWithoutLocalServers(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	c.Assert(place(c, s, start, Query{Excluded: []string{"1", "2"}}), qt.Equals, "3")
	c.Assert(place(c, s, start, Query{Excluded: []string{"1", "2", "3"}}), qt.Equals, "4")
	_, ok := s.Place(start, Query{Excluded: []string{"1", "2", "3", "4"}})
	c.Assert(ok, qt.IsFalse)
}

// Guards against prompts that are processed again although servers cache their parts,
// after the instance that placed them has stopped.
func TestReplacedCacheContentsAttractPrompts(t *testing.T) {
	c := qt.New(t)
	for _, server := range []string{"1", "2", "3"} {
		s := newScheduler()
		s.ReplaceCached(server, 0, []Part{{"system", 2000}, {"x", 4000}})
		c.Assert(place(c, s, start, Query{Prompt: prompt("x", "1")}), qt.Equals, server)
		s.ReplaceCached(server, 0, nil)
		uncached, _ := s.byID[server].uncachedTokens(prompt("x", "2"))
		c.Assert(uncached, qt.Equals, 7000)
	}
}

// Guards against a query with AskOnly that is counted as a prompt, so that the prompt
// counts twice.
func TestAskOnlyQueriesAreNotCounted(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	first, _ := s.Place(start, Query{Prompt: prompt("x", "1"), AskOnly: true})
	second, _ := s.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(second.Expected, qt.Equals, first.Expected)
}
