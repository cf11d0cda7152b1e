package stagework

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leastShareCalls is the interval, in calls, at which a service that is short of
	// capacity serves the first job regardless of its priority, so that no priority
	// starves.
	leastShareCalls = 10
	// shortFor is how long a service counts as short of capacity after its queue last
	// held a job that would miss its due time.
	shortFor = time.Second
)

// SetPriorityOrder sets whether the queue serves more urgent jobs first while it can't
// serve all jobs on time.
func (q *Queue) SetPriorityOrder(on bool) {
	q.priorityOrder = on
	if !on {
		q.callDuration = 0
	}
}

// Short reports whether the queue recently held a job that would miss its due time.
func (q *Queue) Short(now time.Time) bool {
	return !q.shortAt.IsZero() && now.Sub(q.shortAt) < shortFor
}

// updateShort records whether the waiting jobs, in their present order, miss due times.
func (q *Queue) updateShort(now time.Time) {
	ahead := 0
	for _, j := range q.jobsByRank {
		if len(j.waiting) == 0 {
			continue
		}
		end := now.Add(q.waitBehind(now, ahead) + q.profile.CallDuration(min(len(j.Pieces), q.profile.Batch)))
		if end.After(j.Due) {
			if !q.Short(now) {
				q.shortSince = now
			}
			q.shortAt = now
			return
		}
		ahead += len(j.waiting)
	}
}

// sortForCall sorts the jobs for the next call, which is one of the least share at an interval
// of leastShareCalls. Estimates leave the least share out: one call of it delays the more
// urgent jobs by that call only.
func (q *Queue) sortForCall(now time.Time) {
	q.leastShare = q.lastCallID%leastShareCalls == 0
	q.sortByRank(now)
	q.leastShare = false
}

// comparePriority compares jobs by priority while the service is short of capacity,
// except for the calls of the least share.
func (q *Queue) comparePriority(a, b *job, now time.Time) int {
	if !q.byPriority(now) {
		return 0
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// compareBegun compares jobs by whether a piece was sent. The results of a job that has begun
// occupy memory until its last piece has one, so it is finished first.
func (q *Queue) compareBegun(a, b *job) int {
	begunA, begunB := len(a.waiting) < len(a.Pieces), len(b.waiting) < len(b.Pieces)
	switch {
	case !q.priorityOrder || begunA == begunB:
		return 0
	case begunA:
		return -1
	}
	return 1
}

// byPriority reports whether jobs are ordered by priority.
func (q *Queue) byPriority(now time.Time) bool {
	return q.priorityOrder && q.Short(now) && !q.leastShare
}

// Waits returns the expected waits of a new piece.
func (q *Queue) Waits(now time.Time) Waits {
	w := Waits{All: q.EstimatedWait(now), Call: q.nextCallDuration()}
	if !q.priorityOrder {
		return w
	}
	short := q.Short(now)
	ahead := make([]int, maxRankedPriority+1)
	for _, j := range q.jobsByRank {
		if len(j.waiting) == 0 || q.missesDue(j, now) {
			continue
		}
		first := 0
		if short {
			first = min(max(0, j.Priority), maxRankedPriority)
		}
		for level := first; level <= maxRankedPriority; level++ {
			ahead[level] += len(j.waiting)
		}
	}
	for _, pieces := range ahead {
		w.Levels = append(w.Levels, q.waitBehind(now, pieces))
	}
	w.Late = q.lateWait(now)
	return w
}

// nextCallDuration returns the expected duration of the next call: that of a full one when
// enough pieces wait.
func (q *Queue) nextCallDuration() time.Duration {
	pieces, _ := q.Load()
	return q.profile.CallDuration(min(pieces, q.profile.Batch))
}

// comesBefore reports whether the pieces of a waiting job count as ahead of an offered one.
func (q *Queue) comesBefore(waiting, offered *job, now time.Time) bool {
	if q.priorityOrder {
		return q.compareJobs(waiting, offered, now) <= 0
	}
	return waiting.rank() <= offered.rank()
}

// refuseHopeless refuses the jobs without work done that are not expected to end by their
// deadline, given the jobs before them. They are the least urgent ones: a more urgent job
// that arrives moves them back.
func (q *Queue) refuseHopeless(effects *Effects, now time.Time) {
	if !q.priorityOrder || q.Servers() == 0 {
		return
	}
	q.sortByRank(now)
	ahead, late := 0, 0
	for _, j := range slices.Clone(q.jobsByRank) {
		if len(j.waiting) == 0 {
			continue
		}
		end := now.Add(q.waitOfLate(now, ahead, late) + q.profile.CallDuration(min(len(j.Pieces), q.profile.Batch)))
		if !j.Started && len(j.waiting) == len(j.Pieces) && end.After(j.Deadline) {
			q.refuse(effects, j, RefusedLate)
			continue
		}
		ahead += len(j.waiting)
		if q.missesDue(j, now) {
			late += len(j.waiting)
		}
	}
}
