package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against what was said of a server before its restart being taken for its new
// incarnation, when it arrives before or after the news of the restart: cached parts, which
// would be copied from an empty cache, and failures, which would pause it.
func TestReportsOnEarlierIncarnationsAreIgnored(t *testing.T) {
	c := qt.New(t)
	before, after := []Server{{ID: "a", Region: "r", Incarnation: 1}}, []Server{{ID: "a", Region: "r", Incarnation: 2}}
	parts := []Part{{"system", 2000}, {"x", 4000}}
	for _, reportedFirst := range []bool{true, false} {
		s := NewScheduler("r")
		s.SetServers(before)
		restart := func() { s.SetServers(after) }
		if !reportedFirst {
			restart()
		}
		s.RecordCached(start, "a", 1, parts)
		s.ReplaceCached("a", 1, parts)
		s.Report(start, Report{Server: "a", Incarnation: 1, Failed: true})
		restart()
		state := s.byID["a"]
		c.Check(state.cachedParts, qt.HasLen, 0)
		c.Check(state.pausedUntil.After(start), qt.IsFalse)
		placed, ok := s.Place(start.Add(time.Millisecond), Query{Prompt: parts})
		c.Check(ok, qt.IsTrue)
		c.Check(placed.Incarnation, qt.Equals, int64(2))
	}
}

// Guards against prompts that are placed by the cache that a server had before it became cold.
func TestColdServersLoseTheirCache(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers([]Server{{ID: "a", Region: "r", Incarnation: 1}})
	s.RecordCached(start, "a", 1, []Part{{"system", 2000}})
	s.SetServers([]Server{{ID: "a", Region: "r", Incarnation: 1}})
	c.Assert(s.byID["a"].cachedParts, qt.HasLen, 1)
	s.SetServers([]Server{{ID: "a", Region: "r", Incarnation: 1, ColdPeriod: 1}})
	c.Assert(s.byID["a"].cachedParts, qt.HasLen, 0)
}
