package stagework

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Next returns the next call to make and counts it as running. It returns false when no
// piece waits or no server can take one now.
func (q *Queue) Next(now time.Time) (Call, bool) {
	if !q.anyWaiting() {
		return Call{}, false
	}
	q.expireResults(now)
	q.sortForCall(now)
	if c := q.probeCall(now); c != nil {
		return c.Call, true
	}
	free := q.freeServers(now)
	if len(free) == 0 {
		return Call{}, false
	}
	for _, j := range q.jobsByRank {
		if len(j.waiting) == 0 {
			continue
		}
		s := q.serverFor(j, free, now)
		if s == nil {
			continue
		}
		if c := q.formCall(s, j, now); c != nil {
			return c.Call, true
		}
	}
	return Call{}, false
}

// anyWaiting reports whether a piece waits for a call.
func (q *Queue) anyWaiting() bool {
	return slices.ContainsFunc(q.jobsByRank, func(j *job) bool { return len(j.waiting) > 0 })
}

// freeServers returns the servers that can take a call, fastest first. Servers that
// are slow compared to the fastest one are omitted, even when that one is busy, because
// a call at a slow server makes all its pieces late.
func (q *Queue) freeServers(now time.Time) []*server {
	var free []*server
	fastest := math.Inf(1)
	for _, s := range q.servers {
		if s.inUse && s.isAvailable(now) {
			fastest = min(fastest, s.slowness(now))
		}
	}
	for _, s := range q.servers {
		switch {
		case !s.inUse, s.running >= q.profile.Slots, !s.isAvailable(now), s.needsProbe(now):
		case s.slowness(now) > slowFactor*max(1, fastest):
		default:
			free = append(free, s)
		}
	}
	slices.SortFunc(free, func(a, b *server) int {
		if a.slowness(now) != b.slowness(now) {
			if a.slowness(now) < b.slowness(now) {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return free
}

// probeCall returns a call with one piece of the last job by rank to a server that was
// slow and has not been measured since, or nil. If the server is still slow, a full call
// would make all its pieces late.
func (q *Queue) probeCall(now time.Time) *call {
	for _, s := range q.servers {
		if !s.inUse || s.running > 0 || !s.isAvailable(now) || !s.needsProbe(now) {
			continue
		}
		for _, j := range slices.Backward(q.jobsByRank) {
			if len(j.waiting) > 0 && q.roomFor(s, j, now) > 0 {
				c := &call{started: now}
				q.addPiecesUpTo(1, c, s, j, now)
				return q.startCall(c, s, now)
			}
		}
	}
	return nil
}

// serverFor returns a free server for a job. It returns nil when no free server has
// memory for a result, or when the job should wait for a server in its own failure
// domain.
func (q *Queue) serverFor(j *job, free []*server, now time.Time) *server {
	var other *server
	for _, s := range free {
		if q.roomFor(s, j, now) == 0 {
			q.roomShortAt = now
			continue
		}
		if s.FailureDomain == j.FailureDomain {
			return s
		}
		if other == nil {
			other = s
		}
	}
	if other != nil && q.mayLeaveDomain(j, now) {
		return other
	}
	return nil
}

// mayLeaveDomain reports whether a job may run outside its own failure domain. Jobs
// with small inputs and results always may. Others may when their domain has no
// server, when its first server is free so late that the job would miss its due time,
// or when the wait for it exceeds the limit for their size.
func (q *Queue) mayLeaveDomain(j *job, now time.Time) bool {
	bytes := int64(len(j.waiting)) * (j.InputBytes + j.ResultBytes)
	if bytes < heavyJobBytes {
		return true
	}
	freeAt, inDomain := q.earliestFreeServer(j.FailureDomain, now)
	if !inDomain {
		return true
	}
	end := freeAt.Add(q.profile.CallDuration(min(q.profile.Batch, len(j.Pieces))))
	const megabyte = 1e6
	maxWait := time.Duration(float64(bytes) / megabyte * float64(domainWaitPerMegabyte))
	return end.After(j.Due) || freeAt.Sub(now) > maxWait
}

// earliestFreeServer returns when the first server of a failure domain is expected to
// be free, and false when the domain has no server that is available.
func (q *Queue) earliestFreeServer(domain string, now time.Time) (at time.Time, found bool) {
	for _, s := range q.servers {
		if !s.inUse || s.FailureDomain != domain || !s.isAvailable(now) {
			continue
		}
		end := now
		if s.running >= q.profile.Slots && s.freeAt.After(now) {
			end = s.freeAt
		}
		if !found || end.Before(at) {
			at, found = end, true
		}
	}
	return at, found
}

// formCall forms a call to a server from the pieces of the first job and then those of
// other jobs in their order. A job during whose call a server ended gets calls of its own,
// because its pieces may be the cause. formCall returns nil when no piece fits.
func (q *Queue) formCall(s *server, first *job, now time.Time) *call {
	c := &call{started: now}
	q.addPieces(c, s, first, now)
	if first.crashes > 0 {
		return q.startUnlessEmpty(c, s, now)
	}
	// Jobs that fit whole come before parts of others: a job ends with the last of
	// its calls, and its first results occupy memory until then.
	for _, wholeJobs := range []bool{true, false} {
		for _, j := range q.jobsByRank {
			if len(c.Items) >= q.profile.Batch {
				break
			}
			if j == first || j.crashes > 0 || len(j.waiting) == 0 || wholeJobs && len(j.waiting) > min(q.profile.Batch-len(c.Items), q.roomFor(s, j, now)) {
				continue
			}
			if s.FailureDomain == j.FailureDomain || q.mayLeaveDomain(j, now) {
				q.addPieces(c, s, j, now)
			}
		}
	}
	return q.startUnlessEmpty(c, s, now)
}

func (q *Queue) startUnlessEmpty(c *call, s *server, now time.Time) *call {
	if len(c.Items) == 0 {
		return nil
	}
	return q.startCall(c, s, now)
}

// startCall completes a call and counts it as running.
func (q *Queue) startCall(c *call, s *server, now time.Time) *call {
	q.lastCallID++
	c.ID, c.Server, c.Incarnation, c.server = q.lastCallID, s.ID, s.Incarnation, s
	c.Waiting, _ = q.Load()
	c.RoomLeft = q.roomLeft(s, now)
	c.expected = time.Duration(float64(q.profile.CallDuration(len(c.Items))) * max(1, s.slowness(now)))
	q.recordDispatched(c)
	q.recordDrain(c, now)
	c.Timeout = timeoutFactor*c.expected + timeoutMargin
	q.calls[c.ID] = c
	s.running++
	s.freeAt = now.Add(c.expected)
	return c
}

// recordDispatched adds the jobs without waiting pieces to Call.FullyDispatched and
// sets Call.FetchTime.
func (q *Queue) recordDispatched(c *call) {
	var inputs int64
	for _, item := range c.Items {
		j := q.jobs[item.Job]
		inputs += j.InputBytes
		if len(j.waiting) == 0 && j.dispatchedBy != c.ID {
			j.dispatchedBy = c.ID
			c.FullyDispatched = append(c.FullyDispatched, item.Job)
		}
	}
	c.FetchTime = q.fetchEstimator.Duration(q.profile, inputs)
}

// addPieces moves waiting pieces of a job into a call, as far as the batch size and the
// server's memory for results allow.
func (q *Queue) addPieces(c *call, s *server, j *job, now time.Time) {
	q.addPiecesUpTo(q.profile.Batch-len(c.Items), c, s, j, now)
}

// addPiecesUpTo moves at most limit waiting pieces of a job into a call, as far as the
// server's memory for results allows.
func (q *Queue) addPiecesUpTo(limit int, c *call, s *server, j *job, now time.Time) {
	n := min(len(j.waiting), limit)
	if room := q.roomFor(s, j, now); room < n {
		n, q.roomShortAt = room, now
	}
	for _, index := range j.waiting[:n] {
		c.Items = append(c.Items, Item{Job: j.ID, Piece: j.Pieces[index]})
		if j.FailureDomain != s.FailureDomain {
			c.CrossDomain++
		}
		c.indexes = append(c.indexes, index)
		c.resultBytes += j.ResultBytes
		s.resultBytes += j.ResultBytes
	}
	j.waiting = slices.Clone(j.waiting[n:])
}
