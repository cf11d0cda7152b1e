package stagework

import (
	"cmp"
	"slices"
	"time"
)

// sortByRank sorts the jobs by rank, with those that can still end by their due time
// first.
func (q *Queue) sortByRank(now time.Time) {
	slices.SortStableFunc(q.jobsByRank, func(a, b *job) int {
		lastA, lastB := a.ranksLast(now, q.profile), b.ranksLast(now, q.profile)
		if lastA != lastB {
			if lastA {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.rank(), b.rank())
	})
}

// missesDue reports whether the job can no longer end by its due time.
func (j *job) missesDue(now time.Time, profile ServerProfile) bool {
	return now.Add(profile.CallDuration(min(len(j.Pieces), profile.Batch))).After(j.Due)
}

// ranksLast reports whether the job is sorted behind those that can still end by their
// due time.
func (j *job) ranksLast(now time.Time, profile ServerProfile) bool {
	return j.missesDue(now, profile)
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
