package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func set() *Scheduler {
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

// Guards against prompts with the same shared part that are read again at several
// servers.
func TestPromptsGoWhereTheirPartsAreKept(t *testing.T) {
	c := qt.New(t)
	s := set()
	first := place(c, s, start, Query{Prompt: prompt("x", "1")})
	for i := range 5 {
		now := start.Add(time.Duration(i+1) * time.Second)
		c.Assert(place(c, s, now, Query{Prompt: prompt("x", fmt.Sprint("o", i))}), qt.Equals, first)
	}
}

// Guards against a burst of prompts with one shared part that all wait for one
// server while others have nothing to do.
func TestABurstOfOnePromptUsesSeveralServers(t *testing.T) {
	c := qt.New(t)
	s := set()
	used := map[string]int{}
	for i := range 60 {
		used[place(c, s, start, Query{Prompt: prompt("x", fmt.Sprint(i))})]++
	}
	c.Assert(used, qt.HasLen, 3)
	for server, n := range used {
		c.Assert(n < 40, qt.IsTrue, qt.Commentf("%s has %d", server, n))
	}
}

// Guards against large inputs that cross failure domains for a small gain.
func TestLargeInputsKeepTheirFailureDomain(t *testing.T) {
	c := qt.New(t)
	for i := range 20 {
		q := Query{Prompt: prompt(fmt.Sprint("x", i), "1"), InputBytes: map[string]int64{"b": 12_000_000}}
		c.Assert(place(c, set(), start, q), qt.Equals, "3")
	}
}

// Guards against a model server in the failure domain where the inputs should have
// been made, when most were made elsewhere.
func TestPromptsGoWhereMostOfTheirInputsAre(t *testing.T) {
	c := qt.New(t)
	for i := range 20 {
		q := Query{Prompt: prompt(fmt.Sprint("x", i), "1"), InputBytes: map[string]int64{"a": 3_000_000, "b": 12_000_000}}
		c.Assert(place(c, set(), start, q), qt.Equals, "3")
	}
}

// Guards against prompts that are spread over domains other than by the servers
// that make their inputs.
func TestDomainsFollowTheMakers(t *testing.T) {
	c := qt.New(t)
	counts := map[string]int{}
	for i := range 3000 {
		counts[ChooseDomain(prompt(fmt.Sprint(i), ""), map[string]int{"a": 2, "b": 1}, 0)]++
	}
	c.Assert(counts["a"] > 1800 && counts["a"] < 2200, qt.IsTrue, qt.Commentf(fmt.Sprint(counts)))
	c.Assert(ChooseDomain(nil, nil, 0.5), qt.Equals, "")
}

// Guards against a failed server that keeps getting prompts, and against none
// being chosen when all have failed.
func TestFailedServersRest(t *testing.T) {
	c := qt.New(t)
	s := set()
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

// Guards against a slow server that keeps getting prompts as if it were not.
func TestSlowServersGetFewerPrompts(t *testing.T) {
	c := qt.New(t)
	s := set()
	first := place(c, s, start, Query{Prompt: prompt("x", "1")})
	for range 5 {
		s.Report(start, Report{Server: first, Delay: 3 * time.Second, Expected: 3 * time.Second / 10})
	}
	c.Assert(place(c, s, start.Add(time.Second), Query{Prompt: prompt("x", "2")}), qt.Not(qt.Equals), first)
}

// Guards against a restarted server that counts as keeping what it had before, and
// against memory that grows with the prompts ever seen.
func TestKeptPartsAreForgotten(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	servers := []Server{{ID: "1", Region: "r", CacheTokens: 20_000}}
	s.SetServers(servers)
	for i := range 50 {
		place(c, s, start.Add(time.Duration(i)*time.Second), Query{Prompt: prompt(fmt.Sprint("x", i), fmt.Sprint("o", i))})
	}
	one := s.byID["1"]
	c.Assert(one.tokens <= 20_000, qt.IsTrue)
	unread, _ := one.unread(prompt("x49", "new"))
	c.Assert(unread, qt.Equals, 1000)
	servers[0].Incarnation = 1
	s.SetServers(servers)
	unread, shared := s.byID["1"].unread(prompt("x49", "new"))
	c.Assert(unread, qt.Equals, 7000)
	c.Assert(shared, qt.Equals, 6000)
}

// Guards against prompts that cross the link between regions while the own region
// has a server.
func TestOtherRegionsOnlyWithoutLocalServers(t *testing.T) {
	c := qt.New(t)
	s := set()
	c.Assert(place(c, s, start, Query{Excluded: []string{"1", "2"}}), qt.Equals, "3")
	c.Assert(place(c, s, start, Query{Excluded: []string{"1", "2", "3"}}), qt.Equals, "4")
	_, ok := s.Place(start, Query{Excluded: []string{"1", "2", "3", "4"}})
	c.Assert(ok, qt.IsFalse)
}

// Guards against prompts that are read again after the instance that placed them
// has gone, although the servers still keep their parts.
func TestRestoredPartsAttractTheirPrompts(t *testing.T) {
	c := qt.New(t)
	for _, server := range []string{"1", "2", "3"} {
		s := set()
		s.ReplaceCached(server, []Part{{"system", 2000}, {"x", 4000}})
		c.Assert(place(c, s, start, Query{Prompt: prompt("x", "1")}), qt.Equals, server)
		s.ReplaceCached(server, nil)
		unread, _ := s.byID[server].unread(prompt("x", "2"))
		c.Assert(unread, qt.Equals, 7000)
	}
}

// Guards against a question that counts as a prompt, which then is expected to be
// read twice.
func TestQuestionsAreNotCounted(t *testing.T) {
	c := qt.New(t)
	s := set()
	first, _ := s.Place(start, Query{Prompt: prompt("x", "1"), AskOnly: true})
	second, _ := s.Place(start, Query{Prompt: prompt("x", "1")})
	c.Assert(second.Expected, qt.Equals, first.Expected)
}
