package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newCopyingScheduler returns a scheduler whose servers copy a token in a hundredth of
// the time that its prefill takes.
func newCopyingScheduler() *Scheduler {
	s := newScheduler()
	var servers []Server
	for _, c := range s.servers {
		c.CopyRate = 100 * initialPrefillTokensPerSecond
		servers = append(servers, c.Server)
	}
	s.SetServers(servers)
	return s
}

// Guards against a burst of prompts with the same shared part in which each server
// processes that part although another one caches it.
func TestBurstsWithASharedPartCopyIt(t *testing.T) {
	c := qt.New(t)
	s := newCopyingScheduler()
	used, copies := map[string]int{}, map[string]int{}
	var first Placement
	for i := range 60 {
		placed, _ := s.Place(start, Query{Prompt: prompt("x", fmt.Sprint(i))})
		if i == 0 {
			first = placed
		}
		used[placed.Server]++
		if placed.CopyFrom != "" {
			copies[placed.CopyFrom]++
			c.Assert(placed.Expected < 60*first.Expected/2, qt.IsTrue)
		}
	}
	c.Assert(first.CopyFrom, qt.Equals, "")
	c.Assert(used, qt.HasLen, 3)
	total := 0
	for _, n := range copies {
		total += n
	}
	c.Assert(total, qt.Equals, 2)
}

// Guards against a copy that saves less time than the prefill of what it displaces, and against
// a hot prompt that waits for the full server which caches it.
func TestPartsAreCopiedWhenThatSavesALongerWait(t *testing.T) {
	c := qt.New(t)
	s := newCopyingScheduler()
	first := place(c, s, start, Query{Prompt: prompt("x", "1")})
	// The server is busy for 115 ms more; the shared parts have 6,000 tokens.
	now := start.Add(60 * time.Millisecond)
	placed, _ := s.Place(now, Query{Prompt: prompt("x", "2")})
	c.Assert(placed.Server, qt.Equals, first)
	c.Assert(placed.CopyFrom, qt.Equals, "")
	for _, server := range s.servers {
		server.Slots = testSlots
	}
	now = now.Add(time.Minute)
	s.RecordLoad(now, first, 0, Load{Running: testSlots, Waiting: 4})
	placed, _ = s.Place(now, Query{Prompt: prompt("x", "3")})
	c.Assert(placed.CopyFrom, qt.Equals, first)
}

// Guards against parts that are processed again although a server of another region
// caches them.
func TestPartsCachedInOtherRegionsAreCopied(t *testing.T) {
	c := qt.New(t)
	s := newCopyingScheduler()
	s.RecordCached(start, "4", 0, []Part{{"system", 2000}, {"x", 4000}})
	s.RecordCached(start, "gone", 0, []Part{{"system", 2000}})
	placed, _ := s.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(placed.CopyFrom, qt.Equals, "4")
	c.Assert(placed.NewParts, qt.DeepEquals, []Part{{"system", 2000}, {"x", 4000}})
	again, _ := s.Place(start.Add(time.Second), Query{Prompt: prompt("x", "2")})
	c.Assert(again.Server, qt.Equals, placed.Server)
	c.Assert(again.CopyFrom, qt.Equals, "")
	c.Assert(again.NewParts, qt.HasLen, 0)
}

// Guards against copies that take longer than a prefill, against copies from failing
// servers, and against copies of parts so small that the overhead exceeds the gain.
func TestUnprofitableCopiesAreNotMade(t *testing.T) {
	c := qt.New(t)
	slow := newScheduler()
	slow.RecordCached(start, "4", 0, []Part{{"system", 2000}, {"x", 4000}})
	placed, _ := slow.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(placed.CopyFrom, qt.Equals, "")
	failing := newCopyingScheduler()
	failing.RecordCached(start, "4", 0, []Part{{"system", 2000}, {"x", 4000}})
	failing.Report(start, Report{Server: "4", Failed: true})
	placed, _ = failing.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(placed.CopyFrom, qt.Equals, "")
	small := newCopyingScheduler()
	small.RecordCached(start, "4", 0, []Part{{"s", minCopyTokens - 1}})
	placed, _ = small.Place(start, Query{Prompt: []Part{{"s", minCopyTokens - 1}, {"own", 10}}})
	c.Assert(placed.CopyFrom, qt.Equals, "")
}

// Guards against copies that all have the same server as their source.
func TestCopiesAreSpreadOverSources(t *testing.T) {
	c := qt.New(t)
	s := newCopyingScheduler()
	for _, id := range []string{"1", "2"} {
		s.RecordCached(start, id, 0, []Part{{"system", 2000}, {"x", 4000}})
	}
	sources := map[string]int{}
	for i := range 4 {
		s.ReplaceCached("3", 0, nil)
		placed, _ := s.Place(start.Add(time.Duration(i)*time.Second), Query{Prompt: prompt("x", fmt.Sprint(i)), Excluded: []string{"1", "2"}})
		sources[placed.CopyFrom]++
	}
	c.Assert(sources, qt.DeepEquals, map[string]int{"1": 2, "2": 2})
}
