package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testSlots = 16

// roomServers returns n servers of one failure domain with some slots.
func roomServers(n, slots int) (servers []Server) {
	for i := range n {
		servers = append(servers, Server{ID: fmt.Sprint(i), Region: "r", FailureDomain: "a", Slots: slots})
	}
	return servers
}

// burst places runs of two kinds at servers that run testSlots at once in order of arrival, and
// returns the mean wait for a slot. slowness multiplies the time of the runs at a server.
func burst(slots int, slowness func(server string) float64) time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	s := NewScheduler("r")
	s.SetServers(roomServers(8, slots))
	slotsFree := map[string][]time.Time{}
	type ended struct {
		at time.Time
		r  Report
	}
	var running []ended
	waited, n := time.Duration(0), 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
		running = slices.DeleteFunc(running, func(e ended) bool {
			if e.at.Before(now) {
				s.Report(e.at, e.r)
			}
			return e.at.Before(now)
		})
		run, took, events := Run{ID: fmt.Sprint(n), Kind: "short", OutputTokens: 50}, 400*time.Millisecond, 5
		if random.IntN(4) == 0 {
			run.Kind, run.OutputTokens, took, events = "long", 560, 8*time.Second, 56
		}
		placed, _ := s.Place(now, Query{Prompt: []Part{{run.ID, 100}}, Run: run})
		took = time.Duration(float64(took) * slowness(placed.Server))
		free := slotsFree[placed.Server]
		if free == nil {
			free = make([]time.Time, testSlots)
		}
		slices.SortFunc(free, time.Time.Compare)
		begins := now
		if free[0].After(begins) {
			begins = free[0]
		}
		free[0] = begins.Add(took)
		slotsFree[placed.Server] = free
		waited += begins.Sub(now)
		n++
		running = append(running, ended{free[0], Report{Server: placed.Server, RunReport: RunReport{Run: run, Ended: true, Complete: true, Took: took, Events: events}}})
	}
	return waited / time.Duration(n)
}

// Guards against a request that waits for a slot at a server with long streams while another
// server has a free one.
func TestRunsGoToServersWithFreeSlots(t *testing.T) {
	c := qt.New(t)
	even := func(string) float64 { return 1 }
	withoutLedger, withLedger := burst(0, even), burst(testSlots, even)
	c.Assert(withLedger < withoutLedger/4, qt.IsTrue, qt.Commentf("mean wait %v, without ledger %v", withLedger, withoutLedger))
}

// Guards against a slow server that gets as many runs as the others.
func TestSlowServersGetFewerRuns(t *testing.T) {
	c := qt.New(t)
	slow := func(server string) float64 {
		if server == "3" {
			return 4
		}
		return 1
	}
	withoutLedger, withLedger := burst(0, slow), burst(testSlots, slow)
	c.Assert(withLedger < withoutLedger/4, qt.IsTrue, qt.Commentf("mean wait %v, without ledger %v", withLedger, withoutLedger))
}

// Guards against prefill at a slow server that counts like that at the others.
func TestPaceOfAServerScalesItsPrefill(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers(roomServers(4, testSlots))
	for i := range 40 {
		for id, gap := range map[string]time.Duration{"0": 30 * time.Millisecond, "1": 10 * time.Millisecond, "2": 10 * time.Millisecond, "3": 10 * time.Millisecond} {
			s.Report(start, Report{Server: id, RunReport: RunReport{Run: Run{ID: fmt.Sprint(i)}, Ended: true, Complete: true, Took: 10 * gap, Events: 11}})
		}
	}
	placements := map[string]int{}
	for i := range 40 {
		placements[place(c, s, start, Query{Prompt: []Part{{fmt.Sprint("p", i), 10_000}}})]++
	}
	c.Assert(placements["0"] > 0 && placements["0"] < 40/6, qt.IsTrue, qt.Commentf("%v", placements))
}

// Guards against a new placer that takes servers for empty which the one before it has filled,
// and against one that never learns that these runs have ended.
func TestRunsThatAServerReportsCount(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers(roomServers(2, testSlots))
	s.RecordLoad(start, "0", 0, Load{Running: testSlots, Waiting: 2, Tokens: 9000})
	c.Assert(s.Room(start).TokensUsed, qt.Equals, 9000)
	for i := range testSlots {
		c.Assert(place(c, s, start, Query{Prompt: []Part{{fmt.Sprint(i), 10}}, Run: Run{ID: fmt.Sprint(i)}}), qt.Equals, "1")
	}
	for i := range 3 {
		s.Report(start, Report{Server: "0", RunReport: RunReport{Run: Run{ID: fmt.Sprint("before", i)}, Ended: true}})
	}
	c.Assert(place(c, s, start, Query{Prompt: []Part{{"x", 10}}, Run: Run{ID: "x"}}), qt.Equals, "0")
	s.RecordLoad(start, "0", 0, Load{})
	c.Assert(s.Room(start).SlotsUsed, qt.Equals, testSlots+1)
	c.Assert(s.Room(start.Add(time.Minute)).SlotsUsed, qt.Equals, 0)
}

// Guards against runs of callers that name none, such as instances of an earlier version, that
// fill a server long after they have ended.
func TestRunsWithoutAnIDEndByThemselves(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers(roomServers(1, 2))
	place(c, s, start, Query{})
	c.Assert(s.Room(start).SlotsUsed, qt.Equals, 1)
	c.Assert(s.Room(start.Add(2*defaultOutputTokens*initialTokenTime)).SlotsUsed, qt.Equals, 0)
}

// Guards against an urgent request that is refused, or waits, behind less urgent ones that have
// not begun.
func TestUrgentRequestsOvertakeThoseThatWait(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers(roomServers(1, 2))
	q := Query{Run: Run{OutputTokens: 100, Priority: 2}}
	for i := range 6 {
		q.Run.ID = fmt.Sprint(i)
		place(c, s, start.Add(time.Duration(i)), q)
	}
	q.MaxWait = 2 * time.Second
	_, ok := s.Place(start.Add(10), q)
	c.Assert(ok, qt.IsFalse)
	q.Run.Priority = 0
	placed, ok := s.Place(start.Add(10), q)
	c.Assert(ok, qt.IsTrue)
	c.Assert(placed.RoomWait < 2*time.Second, qt.IsTrue, qt.Commentf("%v", placed.RoomWait))
}

// Guards against a refusal because the server that is cheapest without its wait is full, while
// another one has room.
func TestServersWithoutRoomInTimeArePassedOver(t *testing.T) {
	c := qt.New(t)
	s := NewScheduler("r")
	s.SetServers([]Server{{ID: "0", Region: "r", FailureDomain: "a", Slots: 1}, {ID: "1", Region: "r", FailureDomain: "b", Slots: 1}})
	q := Query{Run: Run{ID: "long", OutputTokens: 100}, InputBytes: map[string]int64{"a": 30_000_000}, MaxWait: 500 * time.Millisecond}
	c.Assert(place(c, s, start, q), qt.Equals, "0")
	c.Assert(place(c, s, start, q), qt.Equals, "1")
}

// Guards against a request that is sent to a full server although its client gives up before
// a slot or memory is free, and against one that then still counts.
func TestRequestsWithoutRoomInTimeAreNotPlaced(t *testing.T) {
	c := qt.New(t)
	for name, server := range map[string]Server{
		"slots":  {ID: "0", Region: "r", Slots: 2},
		"memory": {ID: "0", Region: "r", Slots: 64, CacheTokens: 10_000},
	} {
		s := NewScheduler("r")
		s.SetServers([]Server{server})
		for i := range 2 {
			run := Run{ID: fmt.Sprint(i), OutputTokens: 500}
			place(c, s, start, Query{Prompt: []Part{{"shared", 1000}, {fmt.Sprint(name, i), 4000}}, Run: run, MaxWait: time.Second})
		}
		q := Query{Prompt: []Part{{"shared", 1000}, {"x", 4000}}, Run: Run{ID: "x", OutputTokens: 500}, MaxWait: time.Second}
		refused, ok := s.Place(start, q)
		c.Assert(ok, qt.IsFalse, qt.Commentf(name))
		c.Assert(refused.RoomWait > time.Second, qt.IsTrue)
		c.Assert(s.Room(start).SlotsUsed, qt.Equals, 2)
		_, ok = s.Place(start.Add(refused.RoomWait), q)
		c.Assert(ok, qt.IsTrue, qt.Commentf(name))
	}
}
