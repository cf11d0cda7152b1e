package stagework

import (
	"cmp"
	"slices"
	"time"
)

// sort orders the jobs by rank: those that can still be on time first.
func (q *Queue) sort(now time.Time) {
	slices.SortStableFunc(q.order, func(a, b *job) int {
		behindA, behindB := a.behind(now, q.shape), b.behind(now, q.shape)
		if behindA != behindB {
			if behindA {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.rank(), b.rank())
	})
}

// late reports whether the job can't be on time any more.
func (j *job) late(now time.Time, shape ServerProfile) bool {
	return now.Add(shape.CallDuration(min(len(j.Pieces), shape.Batch))).After(j.Due)
}

// behind reports whether the job comes after those that can be on time.
func (j *job) behind(now time.Time, shape ServerProfile) bool {
	return j.late(now, shape)
}

// rank is the time by which jobs are ordered.
func (j *job) rank() int64 {
	at := j.Due.UnixNano() + int64(priorityBonus)*int64(min(j.Priority, rankedPriorities)) + j.work
	if j.Started {
		at -= int64(startedBonus)
	}
	return at
}

// work returns the delay of a job's rank for the servers' time that it needs.
func (q *Queue) work(j Job) int64 {
	share := float64(len(j.Pieces)) / float64(q.shape.Batch)
	return int64(workFactor * share * float64(q.shape.CallDuration(q.shape.Batch)))
}
