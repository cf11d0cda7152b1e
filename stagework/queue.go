package stagework

import (
	"slices"
	"time"
)

const (
	// maxFailures is the number of failed calls after which a job is given up.
	maxFailures = 2
	// refusedPause keeps a server that refused a call from getting another one.
	refusedPause = 40 * time.Millisecond
	// roomPause is how long a server that had no room for a piece is taken as full,
	// but for what is freed meanwhile: results that this queue does not know of
	// lie there.
	roomPause = 400 * time.Millisecond
	// failurePause doubles with each failure in a row, up to maxFailurePause.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// lateFactor is the multiple of the present wait that a job which will be late
	// is expected to wait longer, because those that can be on time pass it.
	lateFactor = 1
	// startedBonus brings jobs with finished stages forward: their work is lost
	// if they come too late.
	startedBonus = 400 * time.Millisecond
	// priorityBonus brings each higher rank forward.
	priorityBonus = 300 * time.Millisecond
	// workFactor brings jobs forward that need little of the servers' time, because
	// the same capacity then answers more requests.
	workFactor = 3
	// rankedPriorities is the number of ranks that priorityBonus tells apart.
	rankedPriorities = 9
	// waitMargin covers what estimates leave out.
	waitMargin = 20 * time.Millisecond
	// overdueFactor is the multiple of its expected time after which the pieces of
	// a call are offered to other servers.
	overdueFactor = 1.8
	// timeoutFactor and timeoutMargin bound a call.
	timeoutFactor = 4
	timeoutMargin = 500 * time.Millisecond
	// factorWeight is the weight of the newest call in a server's slowness.
	factorWeight = 0.5
	// slowFactor marks a server as slow against the fastest one.
	slowFactor = 2.0
	// shortLife is how long a lack of memory for results is told after it limited a
	// call.
	shortLife = time.Second
	// factorLife is how long the slowness of a server is believed without a call.
	factorLife = 3 * time.Second
	// heavyJob is the size of inputs and results from which a job should run in its
	// failure domain, and crossPatience how long it waits for that for each megabyte.
	heavyJob      = 100 << 10
	crossPatience = 50 * time.Millisecond
)

type job struct {
	Job
	// work is the delay of the rank for the part of a full call that the job needs.
	work int64
	// waiting are the places in Pieces that are in no call.
	waiting  []int
	results  []string
	left     int
	failures int
	// inputsFreed is true once the inputs exist no more, so that no piece can be
	// produced again.
	inputsFreed bool
	// begunBy is the call with the last pieces that waited.
	begunBy CallID
}

type call struct {
	Call
	places   []int
	started  time.Time
	expected time.Duration
	// overdue is true once its pieces were offered to other servers.
	overdue bool
	bytes   int64
}

type held struct {
	server *server
	bytes  int64
	until  time.Time
}

// Queue holds the waiting jobs of one service and decides on its calls. It is not
// safe for concurrent use.
type Queue struct {
	shape    ServerProfile
	jobs     map[JobID]*job
	order    []*job
	calls    map[CallID]*call
	servers  map[string]*server
	results  map[string]held
	lastCall CallID
	// shortAt is when memory for results last limited a call.
	shortAt time.Time
	// fetch estimates how long calls take to fetch their inputs.
	fetch FetchEstimator
}

// NewQueue returns a queue without servers.
func NewQueue(shape ServerProfile) *Queue {
	return &Queue{
		shape: normal(shape), jobs: map[JobID]*job{}, calls: map[CallID]*call{},
		servers: map[string]*server{}, results: map[string]held{},
	}
}

func normal(shape ServerProfile) ServerProfile {
	shape.Slots = max(1, shape.Slots)
	shape.Batch = max(1, shape.Batch)
	return shape
}

// SetProfile replaces the shape of the servers.
func (q *Queue) SetProfile(shape ServerProfile) { q.shape = normal(shape) }

// SetServers replaces the servers that get calls. Calls to others go on.
func (q *Queue) SetServers(servers []Server) {
	for _, s := range q.servers {
		s.listed = false
	}
	for _, listed := range servers {
		s := q.servers[listed.ID]
		if s == nil {
			s = &server{Server: listed, factor: 1}
			q.servers[listed.ID] = s
		}
		s.Server, s.listed = listed, true
	}
	for id, s := range q.servers {
		if !s.listed && s.running == 0 {
			delete(q.servers, id)
		}
	}
}

// Servers returns the number of servers that get calls.
func (q *Queue) Servers() (n int) {
	for _, s := range q.servers {
		if s.listed {
			n++
		}
	}
	return n
}

// Load returns the number of waiting pieces and of running calls.
func (q *Queue) Load() (pieces, calls int) {
	for _, j := range q.jobs {
		pieces += len(j.waiting)
	}
	return pieces, len(q.calls)
}

// Offer takes a job, or refuses it when it can't end by its deadline.
func (q *Queue) Offer(now time.Time, offered Job) (Refusal, bool) {
	if q.Servers() == 0 {
		return RefusedNoServer, false
	}
	if !offered.Started {
		end := now.Add(q.estimate(now, offered))
		if end.After(offered.Due) {
			end = end.Add(lateFactor * q.EstimatedWait(now))
		}
		if end.After(offered.Deadline) {
			return RefusedLate, false
		}
	}
	j := &job{Job: offered, work: q.work(offered), results: make([]string, len(offered.Pieces)), left: len(offered.Pieces)}
	for place := range offered.Pieces {
		j.waiting = append(j.waiting, place)
	}
	q.jobs[j.ID] = j
	q.order = append(q.order, j)
	return "", true
}

// Cancel ends a job without an answer. Its results are orphans.
func (q *Queue) Cancel(id JobID) Effects {
	j := q.jobs[id]
	if j == nil {
		return Effects{}
	}
	return Effects{Orphans: q.remove(j)}
}

// InputsFetched reports whether the inputs of a job may be freed, and records that
// they are: its last pieces are still in the call that was formed for them.
func (q *Queue) InputsFetched(id JobID, begunBy CallID) bool {
	j := q.jobs[id]
	if j == nil || j.inputsFreed || len(j.waiting) > 0 || j.begunBy != begunBy {
		return false
	}
	j.inputsFreed = true
	return true
}

// remove forgets a job and returns the results that it has.
func (q *Queue) remove(j *job) (orphans []string) {
	delete(q.jobs, j.ID)
	q.order = slices.DeleteFunc(q.order, func(o *job) bool { return o == j })
	for _, result := range j.results {
		if result != "" {
			orphans = append(orphans, result)
		}
	}
	return orphans
}

// refuse ends a job with a reason.
func (q *Queue) refuse(e *Effects, j *job, why Refusal) {
	e.Orphans = append(e.Orphans, q.remove(j)...)
	e.Ended = append(e.Ended, EndedJob{Job: j.ID, Refusal: why})
}

// HandOver refuses the jobs of which no piece is in a call or produced, so that another
// queue takes them. The others end here.
func (q *Queue) HandOver() (e Effects) {
	for _, j := range slices.Clone(q.order) {
		if len(j.waiting) == len(j.Pieces) {
			q.refuse(&e, j, RefusedMoved)
		}
	}
	return e
}

// Expire refuses the jobs that can't end in time any more, and offers the pieces
// of overdue calls to other servers. Call it every few tens of milliseconds.
func (q *Queue) Expire(now time.Time) Effects {
	var e Effects
	for _, j := range slices.Clone(q.order) {
		switch {
		case len(j.waiting) == 0:
		case q.Servers() == 0:
			q.refuse(&e, j, RefusedNoServer)
		case now.Add(q.shape.CallDuration(1)).After(j.Deadline):
			q.refuse(&e, j, RefusedLate)
		}
	}
	for _, c := range q.calls {
		if limit := time.Duration(overdueFactor * float64(c.expected)); !c.overdue && now.Sub(c.started) > limit {
			q.giveAgain(c, now)
		}
	}
	return e
}

// giveAgain lets other servers produce the pieces of a call that takes too long.
func (q *Queue) giveAgain(c *call, now time.Time) {
	c.overdue = true
	if s := q.servers[c.Server]; s != nil {
		s.factor, s.factorAt = max(s.factor, overdueFactor*slowFactor), now
	}
	for i, item := range c.Items {
		if j := q.jobs[item.Job]; j != nil && j.results[c.places[i]] == "" && !j.inputsFreed {
			j.waiting = append(j.waiting, c.places[i])
		}
	}
}

// Finished takes the outcomes of a call, one for each item.
func (q *Queue) Finished(now time.Time, id CallID, outcomes []Outcome) Effects {
	c := q.calls[id]
	if c == nil {
		return Effects{}
	}
	delete(q.calls, id)
	s := q.servers[c.Server]
	s.running--
	s.bytes -= c.bytes
	if s.repeats(outcomes) {
		outcomes = SameOutcome(Failed, len(outcomes))
	}
	var e Effects
	for i, outcome := range outcomes {
		q.take(&e, c, s, i, outcome, now)
	}
	q.judge(s, c, now, outcomes)
	if !s.listed && s.running == 0 {
		delete(q.servers, s.ID)
	}
	return e
}

// take applies the outcome of one item.
func (q *Queue) take(e *Effects, c *call, s *server, i int, outcome Outcome, now time.Time) {
	item, place := c.Items[i], c.places[i]
	j := q.jobs[item.Job]
	if outcome.Status == Produced {
		bytes := c.bytes / int64(len(c.Items))
		if j != nil {
			bytes = j.ResultBytes
		}
		q.hold(s, outcome.Result, bytes, now)
		if j == nil || j.results[place] != "" {
			e.Orphans = append(e.Orphans, outcome.Result)
			return
		}
		q.produced(e, j, place, outcome.Result)
		return
	}
	if j == nil || j.results[place] != "" {
		return
	}
	switch outcome.Status {
	case Late:
		q.refuse(e, j, RefusedLate)
		return
	case InputGone:
		if j.inputsFreed {
			q.fetch.RecordLost()
		}
		q.refuse(e, j, RefusedInputGone)
		return
	case Failed:
		j.failures++
	}
	if j.inputsFreed {
		q.refuse(e, j, RefusedInputGone)
		return
	}
	if j.failures > maxFailures*len(j.Pieces) {
		q.refuse(e, j, RefusedFailed)
		return
	}
	if !slices.Contains(j.waiting, place) {
		j.waiting = append(j.waiting, place)
	}
}

func (q *Queue) produced(e *Effects, j *job, place int, result string) {
	j.results[place] = result
	j.left--
	j.waiting = slices.DeleteFunc(j.waiting, func(p int) bool { return p == place })
	if j.left > 0 {
		return
	}
	if j.inputsFreed {
		q.fetch.RecordFetched()
	}
	q.remove(j)
	e.Ended = append(e.Ended, EndedJob{Job: j.ID, Results: j.results})
}
