package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a server that counts as busy for as long as a large prompt would have taken,
// although the prompt was refused, failed or was cancelled before its first event.
func TestPromptsThatDidNotRunLeaveNoWork(t *testing.T) {
	for name, report := range map[string]Report{
		"refused":   {Refused: true},
		"failed":    {Failed: true},
		"cancelled": {RunReport: RunReport{Ended: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := NewScheduler("r")
			s.SetServers(roomServers(1, testSlots))
			run := Run{ID: "large", Kind: "k"}
			placed, ok := s.Place(start, Query{Prompt: []Part{{"a", 300_000}}, Run: run})
			c.Assert(ok, qt.IsTrue)
			c.Assert(placed.Expected > 5*time.Second, qt.IsTrue)
			report.Server, report.Run = placed.Server, run
			s.Report(start.Add(100*time.Millisecond), report)
			placed, ok = s.Place(start.Add(time.Second), Query{Prompt: []Part{{"b", 1000}}, Run: Run{ID: "small", Kind: "k"}})
			c.Assert(ok, qt.IsTrue)
			c.Check(placed.Expected < time.Second, qt.IsTrue, qt.Commentf("%v", placed.Expected))
		})
	}
}

// Guards against a server that counts as idle because the end of an answered run is taken for
// that of one whose prompt was never processed.
func TestAnsweredRunsCancelNoWork(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers(roomServers(1, testSlots))
	run := Run{ID: "first", Kind: "k"}
	placed, _ := s.Place(start, Query{Prompt: []Part{{"a", 100_000}}, Run: run})
	second, _ := s.Place(start, Query{Prompt: []Part{{"b", 100_000}}, Run: Run{ID: "second", Kind: "k"}})
	c.Assert(second.Expected > placed.Expected, qt.IsTrue)
	s.Report(start.Add(time.Second), Report{Server: placed.Server, Expected: placed.Expected, Delay: time.Second, RunReport: RunReport{Run: run}})
	busyUntil := s.byID[placed.Server].busyUntil
	s.Report(start.Add(2*time.Second), Report{Server: placed.Server, RunReport: RunReport{Run: run, Ended: true, Complete: true, Took: time.Second, Events: 8}})
	c.Assert(s.byID[placed.Server].busyUntil, qt.Equals, busyUntil)
}
