package ratelimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a cold server that gets more requests in a second than its bound while the
// instance that gives out the permits changes and another region is cut off, with bounds far
// above and close to its rate.
func TestColdServersStayWithinTheirBound(t *testing.T) {
	c := qt.New(t)
	for _, given := range []struct{ perSecond, overage, slack float64 }{{12, 1.5, 5}, {12, 1, 0}, {40, 1.2, 0}, {3, 1.5, 5}, {8, 0.5, 2}} {
		bound := given.perSecond*given.overage + given.slack
		rate := min(Rate(given.perSecond), SafeRate(bound))
		first, second, otherRegion := NewAllocator(), NewAllocator(), NewAllocator()
		var granted []time.Time
		change := start.Add(10 * time.Second)
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
			overlap := now.Before(change.Add(5 * time.Second))
			first.SetOwner(now, overlap)
			second.SetOwner(now, !now.Before(change))
			otherRegion.SetOwner(now, true)
			if _, ok := otherRegion.Take(now, "s", rate, CutOffShare); ok {
				granted = append(granted, now)
			}
			if _, ok := first.Take(now, "s", rate, 1); ok && overlap {
				granted = append(granted, now)
			}
			if _, ok := second.Take(now, "s", rate, 1); ok && !now.Before(change) {
				granted = append(granted, now)
			}
		}
		most := MostWithin(granted, time.Second)
		c.Check(float64(most) <= bound, qt.IsTrue, qt.Commentf("%d in a second, bound %v", most, bound))
		c.Check(len(granted) > 0, qt.IsTrue)
	}
}

// Guards against a cold server without a limit, a limit that stays after the server has warmed
// up or ends at once, and a named limit that replaces a lower one or is replaced.
func TestColdPeriodsLimitServers(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	cold := ColdPeriod{Server: "s", Incarnation: 1, Number: 1, Rate: 12, Until: at(3)}
	c.Assert(table.SetCold(cold), qt.IsTrue)
	checkLimit(c, table, at(2), 12)
	c.Assert(table.Limited(at(2)), qt.DeepEquals, []string{"s"})
	table.Observe(at(2), "s", 1, named(5), at(1))
	checkLimit(c, table, at(2), 5)
	table.Observe(at(2.1), "s", 2, named(50), at(2))
	checkLimit(c, table, at(2.5), 12)
	c.Assert(table.EndCold(at(2.5), "s"), qt.IsTrue)
	c.Assert(table.SetCold(cold), qt.IsFalse)
	checkLimit(c, table, at(3.5), 48)
	checkLimit(c, table, at(9), 50)
	cold.Number, cold.Until = 2, at(12)
	c.Assert(table.SetCold(cold), qt.IsTrue)
	checkLimit(c, table, at(10), 12)
	table.Expire(at(10), func(string) (int64, bool) { return 2, true })
	checkLimit(c, table, at(10), 50)
}

// Guards against an instance that gives out permits without a limit because others learned first
// that a server is cold, and against a period that their delayed requests begin again.
func TestColdPeriodsReportedByOthers(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	reported := ColdPeriod{Server: "s", Incarnation: 1, Rate: 12, Until: at(3)}
	c.Assert(table.ReportCold(reported), qt.IsTrue)
	c.Assert(table.EndCold(at(0.5), "s"), qt.IsFalse)
	checkLimit(c, table, at(1), 12)
	registered := reported
	registered.Number = 1
	c.Assert(table.SetCold(registered), qt.IsTrue)
	reported.Until = at(3.5)
	c.Assert(table.ReportCold(reported), qt.IsFalse)
	checkLimit(c, table, at(3.2), 12*2.2973967099940698)
}
