package stagework

import "time"

// EstimatedWait estimates how long a new piece waits before its call begins, behind all
// pieces that wait now.
func (q *Queue) EstimatedWait(now time.Time) time.Duration {
	pieces, _ := q.Load()
	return q.waitBehind(now, pieces)
}

// estimate is the time until a job that is offered now would end. Only the pieces
// that rank before it count.
func (q *Queue) estimate(now time.Time, offered Job) time.Duration {
	self := &job{Job: offered, work: q.work(offered)}
	ahead := 0
	for _, j := range q.order {
		if j.rank() <= self.rank() {
			ahead += len(j.waiting)
		}
	}
	calls := (len(offered.Pieces) + q.shape.Batch - 1) / q.shape.Batch
	own := q.shape.CallDuration(min(len(offered.Pieces), q.shape.Batch))
	if parallel := max(1, q.Servers()); calls > parallel {
		own = time.Duration((calls+parallel-1)/parallel) * q.shape.CallDuration(q.shape.Batch)
	}
	return q.waitBehind(now, ahead) + own + waitMargin
}

// waitBehind estimates when a call can begin that has a number of pieces ahead.
func (q *Queue) waitBehind(now time.Time, pieces int) time.Duration {
	servers := 0
	var soonest time.Duration = -1
	for _, s := range q.servers {
		if !s.listed {
			continue
		}
		servers++
		var left time.Duration
		if s.running >= q.shape.Slots {
			left = max(0, s.freeAt.Sub(now))
		}
		if pause := s.pausedUntil.Sub(now); pause > left {
			left = pause
		}
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if servers == 0 {
		return 0
	}
	perCall := q.shape.CallDuration(q.shape.Batch)
	full := pieces / q.shape.Batch
	return soonest + time.Duration(full)*perCall/time.Duration(servers*q.shape.Slots)
}

// WaitingOfFirstJob returns the number of waiting pieces of the job that ranks first among
// those with any, 0 when none waits.
func (q *Queue) WaitingOfFirstJob(now time.Time) int {
	q.sort(now)
	for _, j := range q.order {
		if len(j.waiting) > 0 {
			return len(j.waiting)
		}
	}
	return 0
}
