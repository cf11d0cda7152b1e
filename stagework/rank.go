package stagework

import (
	"cmp"
	"slices"
	"time"
)

// sortByRank sorts the jobs in the order in which they get calls.
func (q *Queue) sortByRank(now time.Time) {
	if q.priorityOrder {
		q.callDuration = q.nextCallDuration()
	}
	slices.SortStableFunc(q.jobsByRank, func(a, b *job) int { return q.compareJobs(a, b, now) })
}

// compareJobs compares jobs by rank, with those that can still end by their due time
// first.
func (q *Queue) compareJobs(a, b *job, now time.Time) int {
	if order := q.compareBegun(a, b); order != 0 {
		return order
	}
	lastA, lastB := q.ranksLast(a, now), q.ranksLast(b, now)
	if lastA != lastB {
		if lastA {
			return 1
		}
		return -1
	}
	if order := q.comparePriority(a, b, now); order != 0 {
		return order
	}
	return cmp.Compare(a.rank(), b.rank())
}

// missesDue reports whether the job can no longer end by its due time.
func (q *Queue) missesDue(j *job, now time.Time) bool {
	call := q.profile.CallDuration(min(len(j.Pieces), q.profile.Batch))
	return now.Add(max(call, q.callDuration)).After(j.Due)
}

// ranksLast reports whether the job is sorted behind those that can still end by their
// due time.
func (q *Queue) ranksLast(j *job, now time.Time) bool {
	return q.missesDue(j, now)
}

// rank returns the sort key of a job in Unix nanoseconds: its due time, adjusted by
// priority, needed server time and finished stages. The lowest comes first.
func (j *job) rank() int64 {
	at := j.Due.UnixNano() + int64(priorityStep)*int64(min(j.Priority, maxRankedPriority)) + j.workDelay
	if j.Started {
		at -= int64(startedBonus)
	}
	return at
}

// workDelay returns the addend of a job's rank, in nanoseconds, for the server time
// that the job needs.
func (q *Queue) workDelay(j Job) int64 {
	share := float64(len(j.Pieces)) / float64(q.profile.Batch)
	return int64(workWeight * share * float64(q.profile.CallDuration(q.profile.Batch)))
}
