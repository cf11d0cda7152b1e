package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxWaiting is the maximum length of the queue. In practice, requests are refused
	// because of their deadlines long before it is reached.
	maxWaiting = 10000
	// maxWaitFraction is the largest fraction of a request's slack that its estimated
	// wait may use. It is below 1 because the release rate is an estimate.
	maxWaitFraction = 0.7
	// Bounds of Retry-After before jitter, and the largest jitter as a fraction of it.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	retryJitter   = 0.5
	// borrowFraction is the fraction of the limit by which interactive requests may
	// exceed it.
	borrowFraction = 0.25
	// durationGain is the weight of a new duration in the moving average.
	durationGain = 0.1
)

// Queue is the admission queue of one pool. It is not safe for concurrent use.
type Queue struct {
	random  *rand.Rand
	limiter limiter
	waiting [classCount]classQueue
	running [classCount]int
	// expectedSeconds is the moving average of the duration by class, in seconds.
	expectedSeconds [classCount]float64
	releases        releaseRate
}

// NewQueue returns a queue for an instance whose share of the pool is the given
// number of slots.
func NewQueue(share float64, random *rand.Rand) *Queue {
	return &Queue{random: random, limiter: newLimiter(share)}
}

// SetShare sets the instance's share of the pool, in slots.
func (q *Queue) SetShare(share float64) { q.limiter.share = share }

// Limit returns the number of requests that may currently run at once. Interactive
// requests may exceed it by a fixed fraction.
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
	if q.waiting[class].size == 0 && q.canStart(class) {
		if !q.canMeetDeadline(now, t, 0) {
			return q.refuse(t, ReasonDeadline, 0)
		}
		q.running[class]++
		return Decision{TicketID: t.ID, Verdict: Admitted}
	}
	if _, waiting := q.Load(); waiting >= maxWaiting {
		return q.refuse(t, ReasonFull, q.estimateWait(now, t))
	}
	if wait := q.estimateWait(now, t); !q.canMeetDeadline(now, t, wait) {
		return q.refuse(t, ReasonDeadline, wait)
	}
	q.waiting[class].push(t)
	return Decision{TicketID: t.ID, Verdict: Waiting}
}

// Release records the end of an admitted ticket. The caller then calls Tick.
func (q *Queue) Release(now time.Time, t Ticket, result Result) {
	class := classIndex(t.Class)
	if q.running[class] == 0 {
		return
	}
	q.running[class]--
	q.releases.add(now)
	q.updateExpected(class, result)
	if result.Completed {
		q.limiter.record(class, result.Duration)
	}
}

// updateExpected updates the expected duration of a class. A request that did not
// complete would have taken longer than it did, so that it counts only if it took
// longer than expected. The duration of a request that ran alone in its class replaces
// an expected duration that is more than twice as long.
func (q *Queue) updateExpected(class int, result Result) {
	seconds := result.Duration.Seconds()
	expected := q.expectedSeconds[class]
	switch {
	case !result.Completed && seconds < expected:
	case result.Completed && (expected == 0 || (q.running[class] == 0 && 2*seconds < expected)):
		q.expectedSeconds[class] = seconds
	default:
		q.expectedSeconds[class] += durationGain * (seconds - expected)
	}
}

// Cancel removes a waiting ticket and reports whether it was waiting.
func (q *Queue) Cancel(t Ticket) bool {
	queue := &q.waiting[classIndex(t.Class)]
	before := queue.size
	queue.removeIf(func(other Ticket) bool { return other.ID == t.ID })
	return queue.size < before
}

// Tick adapts the limit, admits waiting tickets while there is room, and refuses those
// among them whose deadline can no longer be met. It returns the decisions.
func (q *Queue) Tick(now time.Time) []Decision {
	q.limiter.adapt(now)
	var decisions []Decision
	for {
		class, ok := q.nextClass()
		if !ok {
			return decisions
		}
		t, _ := q.waiting[class].pop()
		if !q.canMeetDeadline(now, t, 0) {
			decisions = append(decisions, q.refuse(t, ReasonDeadline, q.estimateWait(now, t)))
			continue
		}
		q.running[class]++
		decisions = append(decisions, Decision{TicketID: t.ID, Verdict: Admitted})
	}
}

// Expire refuses all waiting tickets whose deadline can no longer be met and returns
// the decisions.
func (q *Queue) Expire(now time.Time) []Decision {
	var decisions []Decision
	for class := range q.waiting {
		q.waiting[class].removeIf(func(t Ticket) bool {
			if q.canMeetDeadline(now, t, 0) {
				return false
			}
			decisions = append(decisions, q.refuse(t, ReasonDeadline, q.estimateWait(now, t)))
			return true
		})
	}
	return decisions
}

// nextClass returns the class of the next ticket to start: the long class while it
// runs fewer requests than its reserve, otherwise the first class with a waiting ticket
// that may start.
func (q *Queue) nextClass() (class int, ok bool) {
	if q.waiting[classLong].size > 0 && q.running[classLong] < q.reserve() && q.canStart(classLong) {
		return classLong, true
	}
	for class := range classCount {
		if q.waiting[class].size > 0 && q.canStart(class) {
			return class, true
		}
	}
	return 0, false
}

// canStart reports whether the limit has room for one more request of a class.
func (q *Queue) canStart(class int) bool {
	running, _ := q.Load()
	limit := q.Limit()
	if class == classInteractive {
		return running < limit+q.borrowable()
	}
	if running >= limit {
		return false
	}
	if class == classLong {
		return q.running[classLong] < max(1, int(LongShare*float64(limit)))
	}
	return true
}

// borrowable returns the number of interactive requests that may run above the limit,
// in slots that other instances probably leave free. It is 0 while the limit is
// reduced, and while requests of the long class wait for their reserve: they start
// only within the limit and would starve if interactive requests ran above it.
func (q *Queue) borrowable() int {
	starved := q.waiting[classLong].size > 0 && q.running[classLong] < q.reserve()
	if starved || q.limiter.factor < maxFactor {
		return 0
	}
	return int(math.Ceil(borrowFraction * float64(q.Limit())))
}

// reserve returns the number of slots reserved for requests of the long class.
func (q *Queue) reserve() int {
	return max(1, int(LongReserve*float64(q.Limit())))
}

// canMeetDeadline reports whether a ticket that starts after the given wait can be
// answered by its deadline. The expected duration is ignored if no other request of the
// class runs, so that an expected duration that grew too long in an overload is
// corrected.
func (q *Queue) canMeetDeadline(now time.Time, t Ticket, wait time.Duration) bool {
	slack := t.Deadline.Sub(now)
	if q.running[classIndex(t.Class)] > 0 {
		slack -= q.expectedDuration(t)
	}
	return slack >= 0 && float64(wait) <= maxWaitFraction*float64(slack)
}

func (q *Queue) expectedDuration(t Ticket) time.Duration {
	return time.Duration(q.expectedSeconds[classIndex(t.Class)] * float64(time.Second))
}

// estimateWait estimates how long a new ticket would wait until it starts.
func (q *Queue) estimateWait(now time.Time, t Ticket) time.Duration {
	class := classIndex(t.Class)
	ahead := 1 + q.waiting[class].countAhead(t.Priority)
	for higher := range class {
		ahead += q.waiting[higher].size
	}
	perSecond := q.releases.perSecond(now)
	if perSecond == 0 {
		perSecond = q.limitRate(class)
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// limitRate returns the release rate, in requests per second, that follows from the
// limit and the expected duration; 0 when the duration is unknown.
func (q *Queue) limitRate(class int) float64 {
	if q.expectedSeconds[class] == 0 {
		return 0
	}
	return float64(q.Limit()) / q.expectedSeconds[class]
}

// refuse returns a refusal. RetryAfter is the wait plus jitter, so that refused callers
// do not all retry at the same time.
func (q *Queue) refuse(t Ticket, reason Reason, wait time.Duration) Decision {
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	wait += time.Duration(retryJitter * q.random.Float64() * float64(wait))
	return Decision{TicketID: t.ID, Verdict: Refused, Reason: reason, RetryAfter: wait}
}
