package engine

import (
	"strings"
	"time"
)

// isUnnamed reports whether the key of a run is one that the ledger gave it.
func isUnnamed(id string, _ *activeRun) bool { return strings.HasPrefix(id, unnamedPrefix) }

// isForeign reports whether the end of a run is not reported.
func isForeign(_ string, r *activeRun) bool { return r.foreign }

// hasLedger reports whether the runs at a server are recorded, which needs its slots.
func (c *serverState) hasLedger() bool { return c.Slots > 0 }

// roomWait returns the time until a server is expected to have a free slot and memory for a
// request; 0 for a server whose slots are unknown.
func (s *Scheduler) roomWait(c *serverState, now time.Time, q Query) time.Duration {
	if !c.hasLedger() {
		return 0
	}
	return c.ledger.wait(now, c.Slots, c.CacheTokens, q.Prompt, q.Run)
}

// withRoom returns the candidates that have room within the wait of a query, and the shortest
// wait of all candidates.
func (s *Scheduler) withRoom(now time.Time, q Query, candidates []*serverState) (remaining []*serverState, shortest time.Duration) {
	if q.MaxWait <= 0 {
		return candidates, 0
	}
	for i, c := range candidates {
		wait := s.roomWait(c, now, q)
		if wait <= q.MaxWait {
			remaining = append(remaining, c)
		}
		if i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return remaining, shortest
}

// startWait returns the time until a server can begin to process a prompt.
func (s *Scheduler) startWait(c *serverState, now time.Time, q Query) time.Duration {
	return max(0, c.busyUntil.Sub(now), s.roomWait(c, now, q))
}

// expireInterval is how often runs without a report of their end are looked for. Each search
// visits all runs.
const expireInterval = 250 * time.Millisecond

// expireRuns drops the runs that are no longer counted at any server.
func (s *Scheduler) expireRuns(now time.Time) {
	if now.Sub(s.expiredAt) < expireInterval {
		return
	}
	s.expiredAt = now
	for _, c := range s.servers {
		c.ledger.expire(now, maxRunsPerSlot*c.Slots)
	}
}

// recordRun adds a run that is expected to have its first event after a time. Its work until
// then is the last that was added to the server.
func (s *Scheduler) recordRun(c *serverState, now time.Time, q Query, firstEvent, work time.Duration) {
	if !c.hasLedger() {
		return
	}
	r := newActiveRun(now, q.Prompt, q.Run, firstEvent+s.runDuration(c, now, q.Run))
	r.work, r.workEnds = work, c.busyUntil
	c.ledger.add(q.Run.ID, r)
}

// Load is what a server says of its runs.
type Load struct {
	// Running and Waiting are the numbers of requests.
	Running, Waiting int
	// Tokens is the memory of the running requests; 0 when unknown.
	Tokens int
}

// RecordLoad corrects the runs at an incarnation of a server by what the server said. Runs
// that other schedulers placed are counted until they are expected to end; runs that this one
// placed remain until their end is reported, because the server may not have them yet.
func (s *Scheduler) RecordLoad(now time.Time, server string, incarnation int64, load Load) {
	if c := s.incarnationOf(server, incarnation); c != nil && c.hasLedger() {
		s.recordLoad(c, now, load)
	}
}

func (s *Scheduler) recordLoad(c *serverState, now time.Time, load Load) {
	l := &c.ledger
	l.expire(now, maxRunsPerSlot*c.Slots)
	reported := load.Running + load.Waiting
	for len(l.runs) > reported {
		foreign := l.firstToEnd(isForeign)
		if foreign == "" {
			return
		}
		l.remove(foreign)
	}
	missing := min(reported, maxRunsPerSlot*c.Slots) - len(l.runs)
	if missing <= 0 {
		return
	}
	tokens := max(0, load.Tokens-l.tokens) / missing
	duration := s.runDuration(c, now, Run{})
	for i := range missing {
		// The runs began at different times, so that they end one after another.
		l.add("", &activeRun{began: now, ends: now.Add(duration * time.Duration(i+1) / time.Duration(missing)), ownTokens: tokens, foreign: true})
	}
}

// Room is the use of the servers of the scheduler's region by the recorded runs.
type Room struct {
	// Servers is the number of servers with known slots.
	Servers int `json:"servers"`
	// Slots and Tokens are what these servers have, SlotsUsed and TokensUsed what runs use.
	// SlotsUsed includes runs that wait at a server.
	Slots      int `json:"slots"`
	SlotsUsed  int `json:"slots_used"`
	Tokens     int `json:"tokens"`
	TokensUsed int `json:"tokens_used"`
}

// Room returns the use of the servers of the scheduler's region.
func (s *Scheduler) Room(now time.Time) (room Room) {
	s.expireRuns(now)
	for _, c := range s.servers {
		if c.Region != s.region || !c.hasLedger() {
			continue
		}
		room.Servers++
		room.Slots += c.Slots
		room.SlotsUsed += len(c.ledger.runs)
		room.Tokens += c.CacheTokens
		room.TokensUsed += c.ledger.tokens
	}
	return room
}

// CountsRuns reports whether the runs at the scheduler's servers are recorded.
func (s *Scheduler) CountsRuns() bool {
	return len(s.servers) > 0 && s.servers[0].hasLedger()
}
