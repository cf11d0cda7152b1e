package stagework

import "time"

// EstimatedWait returns how long a new piece is expected to wait for its call behind all
// pieces that wait now.
func (q *Queue) EstimatedWait(now time.Time) time.Duration {
	pieces, _ := q.Load()
	return q.waitBehind(now, pieces)
}

// timeToEnd returns the expected time until the end of a job that is offered now. Of
// the waiting pieces, only those that rank before the job count.
func (q *Queue) timeToEnd(now time.Time, offered Job) time.Duration {
	offeredJob := &job{Job: offered, workDelay: q.workDelay(offered)}
	ahead := 0
	for _, j := range q.jobsByRank {
		if q.comesBefore(j, offeredJob, now) {
			ahead += len(j.waiting)
		}
	}
	calls := (len(offered.Pieces) + q.profile.Batch - 1) / q.profile.Batch
	ownTime := q.profile.CallDuration(min(len(offered.Pieces), q.profile.Batch))
	if parallel := max(1, q.Servers()); calls > parallel {
		ownTime = time.Duration((calls+parallel-1)/parallel) * q.profile.CallDuration(q.profile.Batch)
	}
	return q.waitBehind(now, ahead) + ownTime + estimateMargin
}

// waitBehind returns how long a call is expected to wait behind the given number of
// pieces.
func (q *Queue) waitBehind(now time.Time, pieces int) time.Duration {
	capacity := 0.0
	var soonest time.Duration = -1
	for _, s := range q.servers {
		if !s.inUse {
			continue
		}
		capacity += q.callsPerSecond(s)
		var untilFree time.Duration
		if s.running >= q.profile.Slots {
			untilFree = max(0, s.freeAt.Sub(now))
		}
		untilFree = max(untilFree, s.untilAvailable(now))
		if soonest < 0 || untilFree < soonest {
			soonest = untilFree
		}
	}
	if capacity == 0 {
		return 0
	}
	fullCalls := pieces / q.profile.Batch
	return soonest + time.Duration(float64(fullCalls)/q.limitToDrain(capacity, now)*float64(time.Second))
}

// missedDueWait returns how much longer a job waits that will miss its due time, because jobs
// that can still meet theirs overtake it.
func (q *Queue) missedDueWait(now time.Time) time.Duration {
	if q.priorityOrder {
		return q.lateWait(now)
	}
	return missedDueWaitFactor * q.EstimatedWait(now)
}

// WaitingOfFirstJob returns the number of waiting pieces of the first job by rank that
// has any, or 0 when no piece waits.
func (q *Queue) WaitingOfFirstJob(now time.Time) int {
	q.sortByRank(now)
	for _, j := range q.jobsByRank {
		if len(j.waiting) > 0 {
			return len(j.waiting)
		}
	}
	return 0
}
