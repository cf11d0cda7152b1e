package engine

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/regions"
)

// Guards against a prompt that runs in a region which is not allowed, and against one that
// is refused although an allowed region has a server.
func TestPromptsStayInAllowedRegions(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	c.Assert(place(c, s, start, Query{Prompt: prompt("x", "1"), Regions: regions.Only([]string{"far"})}), qt.Equals, "4")
	_, ok := s.Place(start, Query{Prompt: prompt("x", "2"), Regions: regions.Only([]string{"far"}), Excluded: []string{"4"}})
	c.Assert(ok, qt.IsFalse)
	_, ok = s.Place(start, Query{Prompt: prompt("x", "3"), Regions: regions.Only([]string{"r"}), Excluded: []string{"1", "2", "3"}})
	c.Assert(ok, qt.IsFalse)
}

// Guards against a copy of cached prompt parts from a server in a region that is not
// allowed.
func TestCopiesComeFromAllowedRegions(t *testing.T) {
	for _, test := range []struct {
		allowed regions.Set
		want    string
	}{
		{regions.Set{}, "far"},
		{regions.Only([]string{"r"}), ""},
		{regions.Only([]string{"r", "q"}), "far"},
	} {
		c := qt.New(t)
		s := NewScheduler("r")
		s.SetServers([]Server{{ID: "near", Region: "r", CopyRate: 1e9}, {ID: "far", Region: "q", CopyRate: 1e9}})
		s.RecordCached(start, "far", 0, prompt("x", "1"))
		placed, ok := s.Place(start, Query{Prompt: prompt("x", "2"), Regions: test.allowed})
		c.Assert(ok, qt.IsTrue)
		c.Assert(placed.Server, qt.Equals, "near")
		c.Assert(placed.CopyFrom, qt.Equals, test.want)
	}
}
