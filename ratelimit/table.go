package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// settleTime is how long after a limit was named a higher one, or the end of the limit,
	// is not believed: answers arrive out of order.
	settleTime = time.Second
	// rampTime is how long after the end of a limit requests are still limited. The rate
	// doubles in each rampStep, so that the instances don't all return at once.
	rampTime = 6 * time.Second
	rampStep = time.Second
	// endedRetention is how long the end of a limit is kept, so that a delayed entry does
	// not begin it again.
	endedRetention = time.Minute
	// maxEntries bounds the servers in a table. Further ones are not limited.
	maxEntries = 4096
)

// Entry is the limit of one server in the form that instances exchange.
type Entry struct {
	// Server is the ID of the server.
	Server string
	// Incarnation is that of the server.
	Incarnation int64
	// Sequence increases with each change that an instance reads in an answer.
	Sequence uint64
	// Rate is the limit, the last one when it has ended.
	Rate Rate
	// Ended is true when the server names no limit any more.
	Ended bool
}

// supersedes reports whether e replaces another entry of the server. Of two that are equally
// new, the lower limit counts.
func (e Entry) supersedes(other Entry) bool {
	return cmp.Or(
		cmp.Compare(e.Incarnation, other.Incarnation),
		cmp.Compare(e.Sequence, other.Sequence),
		cmp.Compare(other.bound(), e.bound()),
	) > 0
}

// bound returns the rate of the entry, infinity when the limit has ended.
func (e Entry) bound() Rate {
	if e.Ended {
		return Rate(math.Inf(1))
	}
	return e.Rate
}

// limit is an entry with what this instance knows of its age.
type limit struct {
	Entry
	// learnedAt is when this instance learned of the entry.
	learnedAt time.Time
	// namedAt is when this instance last learned that the server names the limit, or a
	// lower one.
	namedAt time.Time
}

// Table holds the limits that an instance knows. It is not safe for concurrent use.
type Table struct {
	limits map[string]*limit
	// cold holds the latest cold period of each server, by its ID.
	cold map[string]ColdPeriod
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: map[string]*limit{}, cold: map[string]ColdPeriod{}} }

// Observe records what an answer of a server says of its limit. sentAt is when its request
// was sent. It returns the new entry and true when the limit changes. An answer of an earlier
// incarnation is ignored.
func (t *Table) Observe(now time.Time, server string, incarnation int64, s Statement, sentAt time.Time) (Entry, bool) {
	known := t.limits[server]
	next := Entry{Server: server, Incarnation: incarnation, Rate: min(max(s.Rate, MinRate), MaxRate)}
	if known == nil || known.Incarnation < incarnation {
		return t.adopt(now, next, s.Kind == Named)
	}
	if known.Incarnation > incarnation {
		return known.Entry, false
	}
	next.Sequence = known.Sequence + 1
	switch s.Kind {
	case Named:
		if known.Ended || next.Rate < known.Rate {
			return t.adopt(now, next, true)
		}
		if next.Rate == known.Rate {
			known.namedAt = now
			return known.Entry, false
		}
		return t.adopt(now, next, known.mayRise(now, sentAt))
	case Absent:
		next.Rate, next.Ended = known.Rate, true
		return t.adopt(now, next, !known.Ended && known.mayRise(now, sentAt))
	}
	return known.Entry, false
}

// mayRise reports whether an answer to a request that was sent at a time may raise the limit
// or end it.
func (l *limit) mayRise(now, sentAt time.Time) bool {
	return sentAt.After(l.learnedAt) && now.Sub(l.namedAt) >= settleTime
}

// adopt replaces the entry of a server if accepted is true, and returns both.
func (t *Table) adopt(now time.Time, e Entry, accepted bool) (Entry, bool) {
	if _, known := t.limits[e.Server]; accepted && (known || len(t.limits) < maxEntries) {
		t.limits[e.Server] = &limit{Entry: e, learnedAt: now, namedAt: now}
		return e, true
	}
	return e, false
}

// Merge records an entry of another instance and reports whether it was new.
func (t *Table) Merge(now time.Time, e Entry) bool {
	if !(e.Rate >= MinRate && e.Rate <= MaxRate) {
		return false
	}
	known := t.limits[e.Server]
	if known == nil && e.Ended || known != nil && !e.supersedes(known.Entry) {
		return false
	}
	_, accepted := t.adopt(now, e, true)
	return accepted
}

// Limit returns the rate that applies to a server, and false when none does.
func (t *Table) Limit(now time.Time, server string) (Rate, bool) {
	rate, limited := t.namedLimit(now, server)
	coldRate, cold := t.coldLimit(now, server)
	switch {
	case !cold:
		return rate, limited
	case !limited:
		return coldRate, true
	}
	return min(rate, coldRate), true
}

// namedLimit returns the rate that applies to a server because it named a limit.
func (t *Table) namedLimit(now time.Time, server string) (Rate, bool) {
	l := t.limits[server]
	if l == nil {
		return 0, false
	}
	if !l.Ended {
		return l.Rate, true
	}
	return rampedRate(l.Rate, now.Sub(l.learnedAt))
}

// BoundWait returns the time after which an instance that got no permit should ask again, which
// is at most rampStep while the rate rises: by then a permit is due earlier.
func (t *Table) BoundWait(now time.Time, server string, wait time.Duration) time.Duration {
	rate, limited := t.Limit(now, server)
	next, stillLimited := t.Limit(now.Add(rampStep), server)
	if limited && (!stillLimited || next > rate) {
		return min(wait, rampStep)
	}
	return wait
}

// Entry returns the entry of a server, also of a limit that has ended.
func (t *Table) Entry(server string) (Entry, bool) {
	if l := t.limits[server]; l != nil {
		return l.Entry, true
	}
	return Entry{}, false
}

// Entries returns all entries, sorted by server.
func (t *Table) Entries() []Entry {
	list := make([]Entry, 0, len(t.limits))
	for _, l := range t.limits {
		list = append(list, l.Entry)
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// Limited returns the IDs of the servers to which a rate applies, in no order.
func (t *Table) Limited(now time.Time) (ids []string) {
	for id := range t.limits {
		if _, limited := t.Limit(now, id); limited {
			ids = append(ids, id)
		}
	}
	for id := range t.cold {
		if _, cold := t.coldLimit(now, id); cold && t.limits[id] == nil {
			ids = append(ids, id) // the others are listed by their entries
		}
	}
	return ids
}

// Expire drops ended limits, and the limits and cold periods of servers that incarnationOf does
// not know or knows in a later incarnation.
func (t *Table) Expire(now time.Time, incarnationOf func(server string) (int64, bool)) {
	maps.DeleteFunc(t.cold, func(id string, p ColdPeriod) bool {
		incarnation, known := incarnationOf(id)
		return !known || incarnation > p.Incarnation
	})
	maps.DeleteFunc(t.limits, func(id string, l *limit) bool {
		incarnation, known := incarnationOf(id)
		return !known || incarnation > l.Incarnation || l.Ended && now.Sub(l.learnedAt) >= endedRetention
	})
}
