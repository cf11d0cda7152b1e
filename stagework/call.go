package stagework

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Next returns the next call to make, or false while no server is free for the
// waiting pieces.
func (q *Queue) Next(now time.Time) (Call, bool) {
	if !q.anyWaiting() {
		return Call{}, false
	}
	q.lapse(now)
	q.sort(now)
	if c := q.probe(now); c != nil {
		return c.Call, true
	}
	free := q.free(now)
	if len(free) == 0 {
		return Call{}, false
	}
	for _, j := range q.order {
		if len(j.waiting) == 0 {
			continue
		}
		s := q.serverFor(j, free, now)
		if s == nil {
			continue
		}
		if c := q.fill(s, j, now); c != nil {
			return c.Call, true
		}
	}
	return Call{}, false
}

func (q *Queue) anyWaiting() bool {
	return slices.ContainsFunc(q.order, func(j *job) bool { return len(j.waiting) > 0 })
}

// free returns the servers that can take a call, the fastest first. Slow ones are
// left out while a faster one exists, because a call at a slow server makes all
// its pieces late.
func (q *Queue) free(now time.Time) []*server {
	var free []*server
	fastest := math.Inf(1)
	for _, s := range q.servers {
		if s.listed && !now.Before(s.pausedUntil) {
			fastest = min(fastest, s.slowness(now))
		}
	}
	for _, s := range q.servers {
		switch {
		case !s.listed, s.running >= q.shape.Slots, now.Before(s.pausedUntil), s.unproven(now):
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

// probe returns a call with one piece of the last job to a server that was slow and
// has had no call since. A full call would make all its pieces late if the server
// still is.
func (q *Queue) probe(now time.Time) *call {
	for _, s := range q.servers {
		if !s.listed || s.running > 0 || now.Before(s.pausedUntil) || !s.unproven(now) {
			continue
		}
		for _, j := range slices.Backward(q.order) {
			if len(j.waiting) > 0 && q.room(s, j, now) > 0 {
				c := &call{started: now}
				q.addUpTo(1, c, s, j, now)
				return q.begin(c, s, now)
			}
		}
	}
	return nil
}

// serverFor returns the free server for the first piece of a job, or nil when the
// job should wait for one in its own failure domain.
func (q *Queue) serverFor(j *job, free []*server, now time.Time) *server {
	var other *server
	for _, s := range free {
		if q.room(s, j, now) == 0 {
			q.shortAt = now
			continue
		}
		if s.FailureDomain == j.FailureDomain {
			return s
		}
		if other == nil {
			other = s
		}
	}
	if other != nil && q.mayCross(j, now) {
		return other
	}
	return nil
}

// mayCross reports whether a job may run in another failure domain than its own:
// always when its inputs and results are small, otherwise when its own domain has no
// server soon, or so late that the job would be.
func (q *Queue) mayCross(j *job, now time.Time) bool {
	bytes := int64(len(j.waiting)) * (j.InputBytes + j.ResultBytes)
	if bytes < heavyJob {
		return true
	}
	near, found := q.nearestEnd(j.FailureDomain, now)
	if !found {
		return true
	}
	end := near.Add(q.shape.CallDuration(min(q.shape.Batch, len(j.Pieces))))
	const megabyte = 1e6
	patience := time.Duration(float64(bytes) / megabyte * float64(crossPatience))
	return end.After(j.Due) || near.Sub(now) > patience
}

// nearestEnd returns when the first server of a failure domain is expected to be
// free, and false when it has none that can be waited for.
func (q *Queue) nearestEnd(domain string, now time.Time) (at time.Time, found bool) {
	for _, s := range q.servers {
		if !s.listed || s.FailureDomain != domain || now.Before(s.pausedUntil) {
			continue
		}
		end := now
		if s.running >= q.shape.Slots && s.freeAt.After(now) {
			end = s.freeAt
		}
		if !found || end.Before(at) {
			at, found = end, true
		}
	}
	return at, found
}

// fill forms a call for a server from the waiting pieces in their order,
// beginning with a job that it has room for.
func (q *Queue) fill(s *server, first *job, now time.Time) *call {
	c := &call{started: now}
	q.add(c, s, first, now)
	// Jobs that fit whole come before parts of others: a job ends with the last of
	// its calls, and its first results hold room until then.
	for _, whole := range []bool{true, false} {
		for _, j := range q.order {
			if len(c.Items) >= q.shape.Batch {
				break
			}
			if j == first || len(j.waiting) == 0 || whole && len(j.waiting) > min(q.shape.Batch-len(c.Items), q.room(s, j, now)) {
				continue
			}
			if s.FailureDomain == j.FailureDomain || q.mayCross(j, now) {
				q.add(c, s, j, now)
			}
		}
	}
	if len(c.Items) == 0 {
		return nil
	}
	return q.begin(c, s, now)
}

// begin counts a call that is made now.
func (q *Queue) begin(c *call, s *server, now time.Time) *call {
	q.lastCall++
	c.ID, c.Server = q.lastCall, s.ID
	c.Waiting, _ = q.Load()
	c.RoomLeft = q.roomLeft(s, now)
	c.expected = time.Duration(float64(q.shape.CallDuration(len(c.Items))) * max(1, s.slowness(now)))
	q.begun(c)
	c.Timeout = timeoutFactor*c.expected + timeoutMargin
	q.calls[c.ID] = c
	s.running++
	s.freeAt = now.Add(c.expected)
	return c
}

// begun notes the jobs of which no piece waits any more.
func (q *Queue) begun(c *call) {
	var inputs int64
	for _, item := range c.Items {
		j := q.jobs[item.Job]
		inputs += j.InputBytes
		if len(j.waiting) == 0 && j.begunBy != c.ID {
			j.begunBy = c.ID
			c.FullyDispatched = append(c.FullyDispatched, item.Job)
		}
	}
	c.FetchTime = q.fetch.Duration(q.shape, inputs)
}

// add moves waiting pieces of a job into a call, as far as the batch and the
// server's room allow.
func (q *Queue) add(c *call, s *server, j *job, now time.Time) {
	q.addUpTo(q.shape.Batch-len(c.Items), c, s, j, now)
}

// addUpTo moves at most a number of waiting pieces.
func (q *Queue) addUpTo(most int, c *call, s *server, j *job, now time.Time) {
	n := min(len(j.waiting), most)
	if room := q.room(s, j, now); room < n {
		n, q.shortAt = room, now
	}
	for _, place := range j.waiting[:n] {
		c.Items = append(c.Items, Item{Job: j.ID, Piece: j.Pieces[place]})
		if j.FailureDomain != s.FailureDomain {
			c.CrossDomain++
		}
		c.places = append(c.places, place)
		c.bytes += j.ResultBytes
		s.bytes += j.ResultBytes
	}
	j.waiting = slices.Clone(j.waiting[n:])
}
