package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func set() *Set {
	s := NewSet("r", "a")
	s.Update([]Server{
		{ID: "1", Region: "r", FailureDomain: "a"}, {ID: "2", Region: "r", FailureDomain: "a"},
		{ID: "3", Region: "r", FailureDomain: "b"}, {ID: "4", Region: "far", FailureDomain: "c"},
	})
	return s
}

// Guards against prompts with the same shared part that are read again at several
// servers, and against one server that gets all of them under a hot prompt.
func TestPromptsStayWithAServerUntilItIsLoaded(t *testing.T) {
	c := qt.New(t)
	s := set()
	first, _ := s.Pick(start, Query{Prompt: 7}, 0)
	again, _ := s.Pick(start, Query{Prompt: 7}, 0.9)
	c.Assert(again, qt.Equals, first)
	for range 10 {
		s.Started(first.ID)
	}
	other, _ := s.Pick(start, Query{Prompt: 7}, 0)
	c.Assert(other.ID, qt.Not(qt.Equals), first.ID)
}

// Guards against large results that cross failure domains because prompts are
// spread over engines in domains that make few of their inputs.
func TestPromptsFollowTheMakersOfTheirInputs(t *testing.T) {
	c := qt.New(t)
	s := set()
	counts := map[string]int{}
	for i := range 3000 {
		picked, _ := s.Pick(start, Query{Prompt: uint64(i) * 7919, Makers: map[string]int{"a": 2, "b": 1}}, 0)
		counts[picked.FailureDomain]++
	}
	c.Assert(counts["a"] > 1800 && counts["a"] < 2200, qt.IsTrue, qt.Commentf(fmt.Sprint(counts)))
}

// Guards against a failed server that keeps getting prompts, and against none
// being chosen when all have failed.
func TestFailedServersRest(t *testing.T) {
	c := qt.New(t)
	s := set()
	first, _ := s.Pick(start, Query{Prompt: 7}, 0)
	s.Failed(first.ID, start)
	other, _ := s.Pick(start, Query{Prompt: 7}, 0)
	c.Assert(other.ID, qt.Not(qt.Equals), first.ID)
	later, _ := s.Pick(start.Add(failurePause), Query{Prompt: 7}, 0)
	c.Assert(later.ID, qt.Equals, first.ID)
	for _, id := range []string{"1", "2", "3"} {
		s.Failed(id, start)
	}
	_, ok := s.Pick(start, Query{Prompt: 7}, 0)
	c.Assert(ok, qt.IsTrue)
}

// Guards against prompts that cross the link between regions while the own region
// has a server.
func TestOtherRegionsOnlyWithoutLocalServers(t *testing.T) {
	c := qt.New(t)
	s := set()
	_, ok := s.Pick(start, Query{Excluded: []string{"1", "2", "3"}}, 0.5)
	c.Assert(ok, qt.IsFalse)
	far, ok := s.Pick(start, Query{Excluded: []string{"1", "2", "3"}, Remote: true}, 0.5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(far.ID, qt.Equals, "4")
}
