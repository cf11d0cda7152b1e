package stagework

import "time"

// server is the state of one server.
type server struct {
	Server
	// inUse is true while the server is one of those set by SetServers.
	inUse bool
	// running is the number of calls in progress.
	running int
	// freeAt is when the last call that began is expected to end.
	freeAt time.Time
	// pausedUntil is until when the server gets no calls because it refused or failed one.
	pausedUntil time.Time
	// callRate is the number of calls per second that the server takes, 0 without a limit, and
	// limitedUntil is until when it takes none.
	callRate     float64
	limitedUntil time.Time
	// failures is the number of consecutive failed calls.
	failures int
	// meanSlowness is the moving average of the duration of calls relative to the
	// profile, and slownessAt the time of its last change.
	meanSlowness float64
	slownessAt   time.Time
	// resultBytes is the memory that is occupied by known results or reserved for
	// running calls.
	resultBytes int64
	// otherBytes is the memory that results unknown to this queue are assumed to
	// occupy until otherBytesUntil.
	otherBytes      int64
	otherBytesUntil time.Time
	// lastResults holds the result handles of the last call, to detect a repeated
	// answer to it.
	lastResults map[string]bool
}

// repeatsResults reports whether outcomes contain a result twice, or one of the last call
// to the server; otherwise it stores their results. A faulty server may answer a call
// twice, and the second answer would be taken for that of the next call: stage answers
// carry no ID of their call.
func (s *server) repeatsResults(outcomes []Outcome) bool {
	results := map[string]bool{}
	for _, o := range outcomes {
		if o.Handle == "" {
			continue
		}
		if s.lastResults[o.Handle] || results[o.Handle] {
			return true
		}
		results[o.Handle] = true
	}
	s.lastResults = results
	return false
}

// recordCall updates the state of a server with the outcomes of a call.
func (q *Queue) recordCall(s *server, c *call, now time.Time, outcomes []Outcome) {
	counts := map[Status]int{}
	for _, o := range outcomes {
		counts[o.Status]++
	}
	switch {
	case counts[Refused] > 0:
		s.pausedUntil = now.Add(refusedPause)
		return
	case counts[Failed]+counts[ServerEnded] == len(outcomes):
		// Errors of some pieces only don't count as a failure of the server.
		s.failures++
		pause := min(maxFailurePause, failurePause<<min(s.failures-1, 8))
		s.pausedUntil = now.Add(pause)
		return
	case counts[NoRoom] > 0:
		s.otherBytes, s.otherBytesUntil = max(0, q.profile.RoomBytes-s.resultBytes), now.Add(noRoomPause)
	}
	s.failures = 0
	measured := float64(now.Sub(c.started)) / float64(max(1, q.profile.CallDuration(len(c.Items))))
	if now.Sub(s.slownessAt) > slownessTTL {
		s.meanSlowness = measured
	} else {
		s.meanSlowness += slownessWeight * (measured - s.meanSlowness)
	}
	s.slownessAt = now
}

// CallLimit bounds the calls to a server.
type CallLimit struct {
	// PerSecond is the number of calls that the server takes.
	PerSecond float64
	// Wait is the time until it takes the next one.
	Wait time.Duration
}

// SetLimits replaces the limits of servers, by ID.
func (q *Queue) SetLimits(now time.Time, limits map[string]CallLimit) {
	for id, s := range q.servers {
		limit := limits[id]
		s.callRate, s.limitedUntil = limit.PerSecond, now.Add(limit.Wait)
	}
}

// untilAvailable returns how long a server gets no calls because of a pause or of its limit,
// which is not positive when it may get one.
func (s *server) untilAvailable(now time.Time) time.Duration {
	return max(s.pausedUntil.Sub(now), s.limitedUntil.Sub(now))
}

// isAvailable reports whether neither a pause nor the limit of a server keeps calls from it.
func (s *server) isAvailable(now time.Time) bool { return s.untilAvailable(now) <= 0 }

// callsPerSecond returns how many full calls a server can make.
func (q *Queue) callsPerSecond(s *server) float64 {
	capacity := float64(q.profile.Slots) / max(q.profile.CallDuration(q.profile.Batch), time.Millisecond).Seconds()
	if s.callRate > 0 {
		return min(capacity, s.callRate)
	}
	return capacity
}

// Pause keeps calls from a server until a time. It never shortens a pause.
func (q *Queue) Pause(id string, until time.Time) {
	if s := q.servers[id]; s != nil && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// needsProbe reports whether a server was slow when it was last measured and that
// measurement has expired.
func (s *server) needsProbe(now time.Time) bool {
	return s.meanSlowness > slowFactor && now.Sub(s.slownessAt) > slownessTTL
}

// slowness returns the expected duration of calls relative to the profile; 1 when the
// last measurement has expired.
func (s *server) slowness(now time.Time) float64 {
	if now.Sub(s.slownessAt) > slownessTTL {
		return 1
	}
	return s.meanSlowness
}

// holdResult counts the memory of a result as occupied until the result is freed or
// expires.
func (q *Queue) holdResult(s *server, result Result, bytes int64, now time.Time) {
	s.resultBytes += bytes
	q.results[result] = heldResult{s, bytes, now.Add(q.profile.ResultLife)}
}

// Freed records that servers have freed results.
func (q *Queue) Freed(results []Result) {
	for _, result := range results {
		if h, ok := q.results[result]; ok {
			h.server.resultBytes -= h.bytes
			delete(q.results, result)
		}
	}
}

// expireResults removes results that their servers no longer keep.
func (q *Queue) expireResults(now time.Time) {
	for result, h := range q.results {
		if now.After(h.expires) {
			h.server.resultBytes -= h.bytes
			delete(q.results, result)
		}
	}
}

// roomFor returns how many results of a job a server has memory for.
func (q *Queue) roomFor(s *server, j *job, now time.Time) int {
	if q.profile.RoomBytes == 0 || j.ResultBytes <= 0 {
		return q.profile.Batch
	}
	return int(q.roomLeft(s, now) / j.ResultBytes)
}

// RoomShort reports whether memory for results limited a call of the service within
// the last second.
func (q *Queue) RoomShort(now time.Time) bool {
	return !q.roomShortAt.IsZero() && now.Sub(q.roomShortAt) < roomShortDuration
}

// roomLeft returns the estimated free memory of a server for results, in bytes.
func (q *Queue) roomLeft(s *server, now time.Time) int64 {
	occupied := s.resultBytes
	if now.Before(s.otherBytesUntil) {
		occupied += s.otherBytes
	}
	return max(0, q.profile.RoomBytes-occupied)
}
