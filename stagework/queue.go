package stagework

import (
	"slices"
	"time"
)

const (
	// maxFailuresPerPiece is the number of failed attempts for each piece of a job
	// beyond which the job is refused.
	maxFailuresPerPiece = 2
	// maxCrashesPerJob is the number of servers that may end during calls with pieces of a
	// job. After the first one, its pieces share no call with those of other jobs.
	maxCrashesPerJob = 2
	// refusedPause is how long a server that refused a call gets no other one.
	refusedPause = 40 * time.Millisecond
	// noRoomPause is how long a server that had no memory for a result counts as full.
	// Only memory that is freed meanwhile is used, because results that this queue
	// does not know of occupy the rest.
	noRoomPause = 400 * time.Millisecond
	// failurePause is how long a server gets no calls after all pieces of a call
	// failed. It doubles with each consecutive failure, up to maxFailurePause.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// missedDueWaitFactor multiplies the estimated wait of a new piece. The expected end
	// of a job that will miss its due time is later by the product, because jobs that
	// can still meet theirs overtake it.
	missedDueWaitFactor = 1
	// startedBonus moves jobs of requests with finished stages forward in the order,
	// because the work of those stages is lost if the job misses its deadline.
	startedBonus = 400 * time.Millisecond
	// priorityStep moves a job back in the order for each level of lower priority.
	priorityStep = 300 * time.Millisecond
	// workWeight multiplies the server time that a job needs; the product moves the
	// job back in the order. Preferring small jobs answers more requests with the same
	// capacity.
	workWeight = 3
	// maxRankedPriority is the largest priority value that the order distinguishes.
	maxRankedPriority = 9
	// estimateMargin covers delays that the estimate of a job's end omits.
	estimateMargin = 20 * time.Millisecond
	// overdueFactor is the multiple of its expected duration after which the pieces
	// of a call are also given to other servers.
	overdueFactor = 1.8
	// The timeout of a call is timeoutFactor times its expected duration plus
	// timeoutMargin.
	timeoutFactor = 4
	timeoutMargin = 500 * time.Millisecond
	// slownessWeight is the weight of the newest call in the moving average of a
	// server's slowness.
	slownessWeight = 0.5
	// slowFactor is the multiple of the slowness of the fastest server, or of 1 if that
	// is larger, above which a server counts as slow and gets no calls.
	slowFactor = 2.0
	// roomShortDuration is how long RoomShort reports a shortage after memory for
	// results limited a call.
	roomShortDuration = time.Second
	// slownessTTL is how long a measured slowness is used without a new measurement.
	slownessTTL = 3 * time.Second
	// heavyJobBytes is the size of inputs and results from which a job should run in
	// its own failure domain. domainWaitPerMegabyte is how long it waits for a server
	// there for each megabyte.
	heavyJobBytes         = 100 << 10
	domainWaitPerMegabyte = 50 * time.Millisecond
)

type job struct {
	Job
	// workDelay is the addend of the job's rank, in nanoseconds, for the server time
	// that the job needs.
	workDelay int64
	// waiting holds the indexes in Pieces that wait for a call.
	waiting []int
	// results holds the results in the order of Pieces, without a handle until produced.
	results []Result
	// unfinished is the number of pieces without a result, failures the number of
	// failed attempts to produce one of the pieces.
	unfinished int
	failures   int
	// crashes is the number of servers that ended during calls with pieces of the job,
	// and lastCrash the last of these calls.
	crashes   int
	lastCrash CallID
	// inputsFreed is true once the inputs may have been freed, so that no piece can be
	// retried.
	inputsFreed bool
	// dispatchedBy is the call that took the last waiting pieces.
	dispatchedBy CallID
}

type call struct {
	Call
	server *server
	// indexes holds for each item its index in the job's Pieces.
	indexes  []int
	started  time.Time
	expected time.Duration
	// overdue is true once the pieces were also given to other servers.
	overdue bool
	// resultBytes is the memory reserved for the results of the call.
	resultBytes int64
}

// heldResult is a result that occupies memory of its server.
type heldResult struct {
	server  *server
	bytes   int64
	expires time.Time
}

// Queue holds the jobs of one service and forms the calls to its servers. It is not
// safe for concurrent use.
type Queue struct {
	profile    ServerProfile
	jobs       map[JobID]*job
	jobsByRank []*job
	calls      map[CallID]*call
	servers    map[string]*server
	results    map[Result]heldResult
	lastCallID CallID
	// roomShortAt is when memory for results last limited a call.
	roomShortAt time.Time
	// fetchEstimator estimates how long servers take to fetch the inputs of a call.
	fetchEstimator FetchEstimator
	// priorityOrder is set by SetPriorityOrder. shortAt is when a job was last expected to
	// miss its due time, shortSince when that began.
	priorityOrder bool
	shortAt       time.Time
	shortSince    time.Time
	// leastShare is true while the jobs are sorted for a call of the least share.
	leastShare bool
	// callDuration is the expected duration of the next call at the time of the last sort;
	// 0 without priorityOrder.
	callDuration time.Duration
	// drain counts all started pieces, lateDrain those that could not be on time.
	drain, lateDrain drainMeter
}

// NewQueue returns a queue without servers.
func NewQueue(profile ServerProfile) *Queue {
	return &Queue{
		profile: withMinimums(profile), jobs: map[JobID]*job{}, calls: map[CallID]*call{},
		servers: map[string]*server{}, results: map[Result]heldResult{},
	}
}

func withMinimums(profile ServerProfile) ServerProfile {
	profile.Slots = max(1, profile.Slots)
	profile.Batch = max(1, profile.Batch)
	return profile
}

// SetProfile replaces the profile of the servers.
func (q *Queue) SetProfile(profile ServerProfile) { q.profile = withMinimums(profile) }

// SetServers replaces the servers that get calls. Running calls to other servers
// continue. Nothing is kept of a server that has restarted.
func (q *Queue) SetServers(servers []Server) {
	for _, s := range q.servers {
		s.inUse = false
	}
	for _, config := range servers {
		s := q.servers[config.ID]
		if s != nil && s.Incarnation != config.Incarnation {
			q.dropResultsOf(s)
			s = nil
		}
		if s == nil {
			s = &server{Server: config, meanSlowness: 1}
			q.servers[config.ID] = s
		}
		s.Server, s.inUse = config, true
	}
	for id, s := range q.servers {
		if !s.inUse && s.running == 0 {
			delete(q.servers, id)
		}
	}
}

// dropResultsOf forgets the results of a server that has ended.
func (q *Queue) dropResultsOf(s *server) {
	for result, held := range q.results {
		if held.server == s {
			delete(q.results, result)
		}
	}
}

// Servers returns the number of servers that get calls.
func (q *Queue) Servers() (n int) {
	for _, s := range q.servers {
		if s.inUse {
			n++
		}
	}
	return n
}

// Load returns the numbers of waiting pieces and of running calls.
func (q *Queue) Load() (pieces, calls int) {
	for _, j := range q.jobs {
		pieces += len(j.waiting)
	}
	return pieces, len(q.calls)
}

// Offer adds a job to the queue and returns true. It returns the reason and false when
// the service has no server or the job is not expected to end by its deadline. Jobs of
// requests with finished stages are not refused for their deadline.
func (q *Queue) Offer(now time.Time, offered Job) (Refusal, bool) {
	if q.Servers() == 0 {
		return RefusedNoServer, false
	}
	if !offered.Started {
		end := now.Add(q.timeToEnd(now, offered))
		if end.After(offered.Due) {
			end = end.Add(q.missedDueWait(now))
		}
		if end.After(offered.Deadline) {
			return RefusedLate, false
		}
	}
	j := &job{Job: offered, workDelay: q.workDelay(offered), results: make([]Result, len(offered.Pieces)), unfinished: len(offered.Pieces)}
	for index := range offered.Pieces {
		j.waiting = append(j.waiting, index)
	}
	q.jobs[j.ID] = j
	q.jobsByRank = append(q.jobsByRank, j)
	return "", true
}

// Cancel removes a job, which is not listed in Effects.Done. Its results become
// orphans.
func (q *Queue) Cancel(id JobID) Effects {
	j := q.jobs[id]
	if j == nil {
		return Effects{}
	}
	return Effects{Orphans: q.remove(j)}
}

// InputsFetched reports whether the inputs of a job may be freed, and then records that
// they are. They may be freed when no piece has returned to the queue since the call
// that took the last waiting ones.
func (q *Queue) InputsFetched(id JobID, callID CallID) bool {
	j := q.jobs[id]
	if j == nil || j.inputsFreed || len(j.waiting) > 0 || j.dispatchedBy != callID {
		return false
	}
	j.inputsFreed = true
	return true
}

// remove removes a job and returns the results that it already has.
func (q *Queue) remove(j *job) (orphans []Result) {
	delete(q.jobs, j.ID)
	q.jobsByRank = slices.DeleteFunc(q.jobsByRank, func(o *job) bool { return o == j })
	for _, result := range j.results {
		if result.Handle != "" {
			orphans = append(orphans, result)
		}
	}
	return orphans
}

// refuse ends a job with a refusal.
func (q *Queue) refuse(effects *Effects, j *job, refusal Refusal) {
	effects.Orphans = append(effects.Orphans, q.remove(j)...)
	effects.Done = append(effects.Done, EndedJob{Job: j.ID, Refusal: refusal})
}

// HandOver refuses the jobs whose pieces all wait, so that they can be offered to the
// queue of another instance. Jobs with a dispatched or produced piece stay until they
// end.
func (q *Queue) HandOver() (e Effects) {
	for _, j := range slices.Clone(q.jobsByRank) {
		if len(j.waiting) == len(j.Pieces) {
			q.refuse(&e, j, RefusedMoved)
		}
	}
	return e
}

// Expire refuses waiting jobs that can no longer end by their deadline, and returns the
// pieces of overdue calls to the queue, for other servers. It should be called every
// few tens of milliseconds.
func (q *Queue) Expire(now time.Time) Effects {
	q.updateShort(now)
	var e Effects
	q.refuseHopeless(&e, now)
	for _, j := range slices.Clone(q.jobsByRank) {
		switch {
		case len(j.waiting) == 0:
		case q.Servers() == 0:
			q.refuse(&e, j, RefusedNoServer)
		case now.Add(q.profile.CallDuration(1)).After(j.Deadline):
			q.refuse(&e, j, RefusedLate)
		}
	}
	for _, c := range q.calls {
		if limit := time.Duration(overdueFactor * float64(c.expected)); !c.overdue && now.Sub(c.started) > limit {
			q.retryElsewhere(c, now)
		}
	}
	return e
}

// retryElsewhere returns the pieces of an overdue call to the queue and marks its
// server as slow, so that other servers get them.
func (q *Queue) retryElsewhere(c *call, now time.Time) {
	c.overdue = true
	c.server.meanSlowness, c.server.slownessAt = max(c.server.meanSlowness, overdueFactor*slowFactor), now
	for i, item := range c.Items {
		if j := q.jobs[item.Job]; j != nil && j.results[c.indexes[i]].Handle == "" && !j.inputsFreed {
			j.waiting = append(j.waiting, c.indexes[i])
		}
	}
}

// Finished ends a call with its outcomes, one for each item in the order of
// Call.Items. Unknown calls are ignored.
func (q *Queue) Finished(now time.Time, id CallID, outcomes []Outcome) Effects {
	c := q.calls[id]
	if c == nil {
		return Effects{}
	}
	delete(q.calls, id)
	s := c.server
	s.running--
	s.resultBytes -= c.resultBytes
	if s.repeatsResults(outcomes) || q.restarted(s) {
		outcomes = SameOutcome(Failed, len(outcomes))
	}
	var e Effects
	for i, outcome := range outcomes {
		q.applyOutcome(&e, c, s, i, outcome, now)
	}
	q.recordCall(s, c, now, outcomes)
	if !s.inUse && s.running == 0 && q.servers[s.ID] == s {
		delete(q.servers, s.ID)
	}
	return e
}

// restarted reports whether another incarnation of a server has taken its place, with which
// its results are lost.
func (q *Queue) restarted(s *server) bool {
	current := q.servers[s.ID]
	return current != nil && current != s
}

// applyOutcome applies the outcome of item i of a call.
func (q *Queue) applyOutcome(effects *Effects, c *call, s *server, i int, outcome Outcome, now time.Time) {
	item, index := c.Items[i], c.indexes[i]
	j := q.jobs[item.Job]
	if outcome.Status == Produced {
		bytes := c.resultBytes / int64(len(c.Items))
		if j != nil {
			bytes = j.ResultBytes
		}
		result := Result{Handle: outcome.Handle, Producer: Producer{Server: s.ID, Incarnation: s.Incarnation}}
		q.holdResult(s, result, bytes, now)
		if j == nil || j.results[index].Handle != "" {
			effects.Orphans = append(effects.Orphans, result)
			return
		}
		q.recordResult(effects, j, index, result)
		return
	}
	if j == nil || j.results[index].Handle != "" {
		return
	}
	switch outcome.Status {
	case Late:
		q.refuse(effects, j, RefusedLate)
		return
	case InputGone:
		if j.inputsFreed {
			q.fetchEstimator.RecordLost()
		}
		q.refuse(effects, j, RefusedInputGone)
		return
	case Failed:
		j.failures++
	case ServerEnded:
		j.recordCrash(c.ID)
	}
	if j.inputsFreed {
		q.refuse(effects, j, RefusedInputGone)
		return
	}
	if j.crashes >= maxCrashesPerJob || j.failures > maxFailuresPerPiece*len(j.Pieces) {
		q.refuse(effects, j, RefusedFailed)
		return
	}
	if !slices.Contains(j.waiting, index) {
		j.waiting = append(j.waiting, index)
	}
}

// recordCrash counts the end of a server during a call once.
func (j *job) recordCrash(call CallID) {
	if j.lastCrash != call {
		j.crashes++
		j.lastCrash = call
	}
}

func (q *Queue) recordResult(effects *Effects, j *job, index int, result Result) {
	j.results[index] = result
	j.unfinished--
	j.waiting = slices.DeleteFunc(j.waiting, func(p int) bool { return p == index })
	if j.unfinished > 0 {
		return
	}
	if j.inputsFreed {
		q.fetchEstimator.RecordFetched()
	}
	q.remove(j)
	effects.Done = append(effects.Done, EndedJob{Job: j.ID, Results: j.results})
}
