package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxWaiting bounds the queue; the deadline refuses far earlier in practice.
	maxWaiting = 10000
	// waitShare is the part of the spare time that a request may be expected to
	// wait, because the drain rate is an estimate.
	waitShare = 0.7
	// Bounds of Retry-After, and the part of it that is random.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	retryJitter   = 0.5
	// borrowShare is the part of the limit that interactive requests may borrow.
	borrowShare = 0.25
	// durationGain is the weight of a new duration in its mean.
	durationGain = 0.1
)

// Queue admits the requests of one pool.
type Queue struct {
	random  *rand.Rand
	limiter limiter
	waiting [classCount]levels
	running [classCount]int
	// expected is the mean duration of completed requests by class, in seconds.
	expected [classCount]float64
	drain    drainRate
}

// NewQueue returns a queue for an instance whose share of the pool is a number
// of slots.
func NewQueue(share float64, random *rand.Rand) *Queue {
	return &Queue{random: random, limiter: newLimiter(share)}
}

// SetShare sets the instance's share of the pool's slots.
func (q *Queue) SetShare(share float64) { q.limiter.share = share }

// Limit is the number of requests that may run at once now.
func (q *Queue) Limit() int { return q.limiter.limit() }

// Load returns the number of running and of waiting requests.
func (q *Queue) Load() (running, waiting int) {
	for class := range classCount {
		running += q.running[class]
		waiting += q.waiting[class].size
	}
	return running, waiting
}

// Offer admits, queues or refuses a ticket.
func (q *Queue) Offer(now time.Time, t Ticket) Decision {
	class := classIndex(t.Class)
	if q.Limit() == 0 {
		return q.refuse(t, ReasonNoServer, 0)
	}
	if q.waiting[class].size == 0 && q.mayStart(class) {
		if !q.inTime(now, t, 0) {
			return q.refuse(t, ReasonDeadline, 0)
		}
		q.running[class]++
		return Decision{TicketID: t.ID, Verdict: Admitted}
	}
	if _, waiting := q.Load(); waiting >= maxWaiting {
		return q.refuse(t, ReasonFull, q.wait(now, t))
	}
	if wait := q.wait(now, t); !q.inTime(now, t, wait) {
		return q.refuse(t, ReasonDeadline, wait)
	}
	q.waiting[class].push(t)
	return Decision{TicketID: t.ID, Verdict: Waiting}
}

// Release ends an admitted ticket. The caller then calls Tick.
func (q *Queue) Release(now time.Time, t Ticket, result Result) {
	class := classIndex(t.Class)
	if q.running[class] == 0 {
		return
	}
	q.running[class]--
	q.drain.add(now)
	q.learn(class, result)
	if result.Completed {
		q.limiter.record(class, result.Duration)
	}
}

// learn updates the expected duration. A request without an answer would have
// taken longer than it did. The answer to a request that ran alone replaces an
// expectation that was far too long.
func (q *Queue) learn(class int, result Result) {
	seconds := result.Duration.Seconds()
	expected := q.expected[class]
	switch {
	case !result.Completed && seconds < expected:
	case result.Completed && (expected == 0 || (q.running[class] == 0 && 2*seconds < expected)):
		q.expected[class] = seconds
	default:
		q.expected[class] += durationGain * (seconds - expected)
	}
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (q *Queue) Cancel(t Ticket) bool {
	level := &q.waiting[classIndex(t.Class)]
	before := level.size
	level.removeIf(func(other Ticket) bool { return other.ID == t.ID })
	return level.size < before
}

// Tick returns the decisions on waiting tickets that are due: those that start,
// and those whose deadline can no longer be met.
func (q *Queue) Tick(now time.Time) []Decision {
	q.limiter.adapt(now)
	var decisions []Decision
	for {
		class, ok := q.next()
		if !ok {
			return decisions
		}
		t, _ := q.waiting[class].pop()
		if !q.inTime(now, t, 0) {
			decisions = append(decisions, q.refuse(t, ReasonDeadline, q.wait(now, t)))
			continue
		}
		q.running[class]++
		decisions = append(decisions, Decision{TicketID: t.ID, Verdict: Admitted})
	}
}

// Expire refuses the waiting tickets whose deadline can no longer be met.
func (q *Queue) Expire(now time.Time) []Decision {
	var decisions []Decision
	for class := range q.waiting {
		q.waiting[class].removeIf(func(t Ticket) bool {
			if q.inTime(now, t, 0) {
				return false
			}
			decisions = append(decisions, q.refuse(t, ReasonDeadline, q.wait(now, t)))
			return true
		})
	}
	return decisions
}

// next chooses the class of the next ticket to start: long work while it has
// less than its reserve, then by precedence.
func (q *Queue) next() (class int, ok bool) {
	if q.waiting[classLong].size > 0 && q.running[classLong] < q.reserve() && q.mayStart(classLong) {
		return classLong, true
	}
	for class := range classCount {
		if q.waiting[class].size > 0 && q.mayStart(class) {
			return class, true
		}
	}
	return 0, false
}

// mayStart reports whether the limit has room for one more request of a class.
func (q *Queue) mayStart(class int) bool {
	running, _ := q.Load()
	limit := q.Limit()
	if class == classInteractive {
		return running < limit+q.borrow()
	}
	if running >= limit {
		return false
	}
	if class == classLong {
		return q.running[classLong] < max(1, int(LongShare*float64(limit)))
	}
	return true
}

// borrow is the number of interactive requests that may start above the limit,
// in slots that other instances probably leave free. There are none while
// requests take longer than usual, nor while long work waits for its reserve:
// it starts within the limit only, and would starve behind borrowed slots.
func (q *Queue) borrow() int {
	starved := q.waiting[classLong].size > 0 && q.running[classLong] < q.reserve()
	if starved || q.limiter.factor < mostShare {
		return 0
	}
	return int(math.Ceil(borrowShare * float64(q.Limit())))
}

// reserve is the number of long requests that start before any other.
func (q *Queue) reserve() int {
	return max(1, int(LongReserve*float64(q.Limit())))
}

// inTime reports whether a ticket that waits this long can be answered by its
// deadline. The expected duration is not held against a request that would run
// alone in its class, so that an expectation from an overload is corrected.
func (q *Queue) inTime(now time.Time, t Ticket, wait time.Duration) bool {
	spare := t.Deadline.Sub(now)
	if q.running[classIndex(t.Class)] > 0 {
		spare -= q.expect(t)
	}
	return spare >= 0 && float64(wait) <= waitShare*float64(spare)
}

func (q *Queue) expect(t Ticket) time.Duration {
	return time.Duration(q.expected[classIndex(t.Class)] * float64(time.Second))
}

// wait estimates how long a new ticket waits until it starts.
func (q *Queue) wait(now time.Time, t Ticket) time.Duration {
	class := classIndex(t.Class)
	ahead := 1 + q.waiting[class].ahead(t.Priority)
	for before := range class {
		ahead += q.waiting[before].size
	}
	perSecond := q.drain.perSecond(now)
	if perSecond == 0 {
		perSecond = q.perSecond(class)
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// perSecond is the drain rate that follows from the limit and the durations.
func (q *Queue) perSecond(class int) float64 {
	if q.expected[class] == 0 {
		return 0
	}
	return float64(q.Limit()) / q.expected[class]
}

// refuse returns a refusal. The time to come back is the wait with jitter, so
// that refused callers do not come back together.
func (q *Queue) refuse(t Ticket, reason Reason, wait time.Duration) Decision {
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	wait += time.Duration(retryJitter * q.random.Float64() * float64(wait))
	return Decision{TicketID: t.ID, Verdict: Refused, Reason: reason, RetryAfter: wait}
}
