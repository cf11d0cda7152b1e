package stagework

import "time"

// server is what the queue knows of one server.
type server struct {
	Server
	listed  bool
	running int
	// freeAt is when the running call is expected to end.
	freeAt      time.Time
	pausedUntil time.Time
	failures    int
	// factor is the duration of calls relative to the shape.
	factor   float64
	factorAt time.Time
	bytes    int64
	// unknown is the memory that results of other callers are believed to take.
	unknown      int64
	unknownUntil time.Time
	// last holds the results of the last call, by which a second answer to it is
	// told from the answer to the next one.
	last map[string]bool
}

// repeats reports whether outcomes are those of the last call to the server, and
// remembers them otherwise. A faulty server answers a call twice; stage answers
// carry nothing else that ties them to their call.
func (s *server) repeats(outcomes []Outcome) bool {
	results := map[string]bool{}
	for _, o := range outcomes {
		if o.Result != "" {
			if s.last[o.Result] {
				return true
			}
			results[o.Result] = true
		}
	}
	s.last = results
	return false
}

// judge learns from a call what its server can do.
func (q *Queue) judge(s *server, c *call, now time.Time, outcomes []Outcome) {
	counts := map[Status]int{}
	for _, o := range outcomes {
		counts[o.Status]++
	}
	switch {
	case counts[Refused] > 0:
		s.pausedUntil = now.Add(refusedPause)
		return
	case counts[Failed] == len(outcomes):
		// Errors of single pieces say nothing of the server.
		s.failures++
		pause := min(maxFailurePause, failurePause<<min(s.failures-1, 8))
		s.pausedUntil = now.Add(pause)
		return
	case counts[NoRoom] > 0:
		s.unknown, s.unknownUntil = max(0, q.shape.RoomBytes-s.bytes), now.Add(roomPause)
	}
	s.failures = 0
	took := float64(now.Sub(c.started)) / float64(max(1, q.shape.CallDuration(len(c.Items))))
	if now.Sub(s.factorAt) > factorLife {
		s.factor = took
	} else {
		s.factor += factorWeight * (took - s.factor)
	}
	s.factorAt = now
}

// unproven reports whether a server was slow when it last had a call, long ago.
func (s *server) unproven(now time.Time) bool {
	return s.factor > slowFactor && now.Sub(s.factorAt) > factorLife
}

// slowness is the believed duration of calls relative to the shape.
func (s *server) slowness(now time.Time) float64 {
	if now.Sub(s.factorAt) > factorLife {
		return 1
	}
	return s.factor
}

// hold counts the memory of a result until it is freed or its life ends.
func (q *Queue) hold(s *server, result string, bytes int64, now time.Time) {
	s.bytes += bytes
	q.results[result] = held{s, bytes, now.Add(q.shape.ResultLife)}
}

// Freed takes results that were given up.
func (q *Queue) Freed(results []string) {
	for _, result := range results {
		if h, ok := q.results[result]; ok {
			h.server.bytes -= h.bytes
			delete(q.results, result)
		}
	}
}

// lapse forgets results whose life has ended.
func (q *Queue) lapse(now time.Time) {
	for result, h := range q.results {
		if now.After(h.until) {
			h.server.bytes -= h.bytes
			delete(q.results, result)
		}
	}
}

// room returns how many results of a job a server has memory for.
func (q *Queue) room(s *server, j *job, now time.Time) int {
	if q.shape.RoomBytes == 0 || j.ResultBytes <= 0 {
		return q.shape.Batch
	}
	return int(q.roomLeft(s, now) / j.ResultBytes)
}

// RoomShort reports whether memory for results limited the calls of the service
// lately.
func (q *Queue) RoomShort(now time.Time) bool {
	return !q.shortAt.IsZero() && now.Sub(q.shortAt) < shortLife
}

// roomLeft returns the memory for results in bytes that a server is believed to have
// left.
func (q *Queue) roomLeft(s *server, now time.Time) int64 {
	taken := s.bytes
	if now.Before(s.unknownUntil) {
		taken += s.unknown
	}
	return max(0, q.shape.RoomBytes-taken)
}
