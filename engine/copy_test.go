package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// copying returns a set whose servers copy a token in a hundredth of the time that
// they take to read it.
func copying() *Scheduler {
	s := set()
	var servers []Server
	for _, c := range s.list {
		c.CopyRate = 100 * readRate
		servers = append(servers, c.Server)
	}
	s.SetServers(servers)
	return s
}

// Guards against a burst of prompts with one shared part in which each server reads
// that part, although it is kept elsewhere.
func TestABurstOfOnePromptCopiesIt(t *testing.T) {
	c := qt.New(t)
	s := copying()
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

// Guards against parts that a region reads although a server of another region keeps
// them.
func TestPartsOfOtherRegionsAreCopied(t *testing.T) {
	c := qt.New(t)
	s := copying()
	s.RecordCached(start, "4", []Part{{"system", 2000}, {"x", 4000}})
	s.RecordCached(start, "gone", []Part{{"system", 2000}})
	placed, _ := s.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(placed.CopyFrom, qt.Equals, "4")
	c.Assert(placed.NewParts, qt.DeepEquals, []Part{{"system", 2000}, {"x", 4000}})
	again, _ := s.Place(start.Add(time.Second), Query{Prompt: prompt("x", "2")})
	c.Assert(again.Server, qt.Equals, placed.Server)
	c.Assert(again.CopyFrom, qt.Equals, "")
	c.Assert(again.NewParts, qt.HasLen, 0)
}

// Guards against copies that take longer than reading, from servers that fail, and of
// parts so small that a copy is not worth its set-up.
func TestCopiesThatDoNotPayAreNotMade(t *testing.T) {
	c := qt.New(t)
	slow := set()
	slow.RecordCached(start, "4", []Part{{"system", 2000}, {"x", 4000}})
	placed, _ := slow.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(placed.CopyFrom, qt.Equals, "")
	failing := copying()
	failing.RecordCached(start, "4", []Part{{"system", 2000}, {"x", 4000}})
	failing.Report(start, Report{Server: "4", Failed: true})
	placed, _ = failing.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(placed.CopyFrom, qt.Equals, "")
	small := copying()
	small.RecordCached(start, "4", []Part{{"s", minCopy - 1}})
	placed, _ = small.Place(start, Query{Prompt: []Part{{"s", minCopy - 1}, {"own", 10}}})
	c.Assert(placed.CopyFrom, qt.Equals, "")
}

// Guards against one server that all others copy from.
func TestCopiesAreSpreadOverTheirSources(t *testing.T) {
	c := qt.New(t)
	s := copying()
	for _, id := range []string{"1", "2"} {
		s.RecordCached(start, id, []Part{{"system", 2000}, {"x", 4000}})
	}
	sources := map[string]int{}
	for i := range 4 {
		s.ReplaceCached("3", nil)
		placed, _ := s.Place(start.Add(time.Duration(i)*time.Second), Query{Prompt: prompt("x", fmt.Sprint(i)), Excluded: []string{"1", "2"}})
		sources[placed.CopyFrom]++
	}
	c.Assert(sources, qt.DeepEquals, map[string]int{"1": 2, "2": 2})
}
