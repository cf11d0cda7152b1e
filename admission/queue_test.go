package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

var startTime = time.Unix(1000, 0)

func newQueue(share float64) *Queue { return NewQueue(share, rand.New(rand.NewPCG(1, 2))) }

// Guards against a ticket with two final decisions, such as one admitted after its
// refusal, against more running requests than the limit, and against more requests of
// the long class than its share.
func TestDecisionsAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(float64(rapid.IntRange(1, 12).Draw(t, "share")))
		now, id := startTime, uint64(0)
		final, tickets := map[uint64]Verdict{}, map[uint64]Ticket{}
		var running []Ticket
		record := func(decisions ...Decision) {
			for _, d := range decisions {
				if d.Verdict == Waiting {
					continue
				}
				if before, done := final[d.TicketID]; done {
					t.Fatalf("ticket %d: %v after %v", d.TicketID, d.Verdict, before)
				}
				final[d.TicketID] = d.Verdict
				if d.Verdict == Admitted {
					running = append(running, tickets[d.TicketID])
				} else if d.RetryAfter <= 0 {
					t.Fatalf("refusal without a retry delay")
				}
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				id++
				tickets[id] = Ticket{
					ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
					Class:        rapid.SampledFrom([]pipeline.Class{pipeline.ClassInteractive, pipeline.ClassNormal, pipeline.ClassLong}).Draw(t, "class"),
					Organisation: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")),
					Deadline:     now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond),
				}
				record(q.Offer(now, tickets[id]))
			case 2:
				if len(running) > 0 {
					k := rapid.IntRange(0, len(running)-1).Draw(t, "end")
					q.Release(now, running[k], Result{Duration: time.Duration(rapid.IntRange(1, 500).Draw(t, "took")) * time.Millisecond, Completed: rapid.Bool().Draw(t, "completed")})
					running = append(running[:k], running[k+1:]...)
				}
				record(q.Tick(now)...)
			case 3:
				record(q.Expire(now)...)
			default:
				if _, done := final[id]; !done && id > 0 && q.Cancel(tickets[id]) {
					final[id] = Refused
				}
			}
			count, waiting := q.Load()
			share := q.limiter.share
			interactive := q.running[classInteractive]
			if count != len(running) || float64(count) > share+math.Ceil(borrowFraction*share) || (interactive == 0 && float64(count) > share) || len(final)+waiting != len(tickets) {
				t.Fatalf("%d counted, %d running, limit %d", count, len(running), q.Limit())
			}
			if float64(q.running[classLong]) > max(1, LongShare*q.limiter.share) {
				t.Fatalf("%d long requests run with a share of %v", q.running[classLong], q.limiter.share)
			}
		}
	})
}

// Guards against requests of the long class that starve while interactive ones always
// wait.
func TestLongClassDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(float64(rapid.IntRange(1, 20).Draw(t, "share")))
		now, id := startTime, uint64(0)
		offer := func(class pipeline.Class) Ticket {
			id++
			ticket := Ticket{ID: id, Class: class, Deadline: now.Add(time.Hour)}
			q.Offer(now, ticket)
			return ticket
		}
		for range 100 {
			offer(pipeline.ClassInteractive)
		}
		long := offer(pipeline.ClassLong)
		// The reserve is at least one slot, so that the long class gets the next free
		// slot once no interactive request runs above the limit.
		borrowed := int(math.Ceil(borrowFraction * float64(q.Limit())))
		for range 1 + borrowed {
			offer(pipeline.ClassInteractive)
			q.Release(now, Ticket{Class: pipeline.ClassInteractive}, Result{Duration: time.Millisecond, Completed: true})
			for _, d := range q.Tick(now) {
				if d.TicketID == long.ID && d.Verdict == Admitted {
					return
				}
			}
		}
		t.Fatalf("long request still waits after %d slots became free", 1+borrowed)
	})
}

// Guards against refusals that continue after an overload has ended, because the
// expected duration stays too long when no request is admitted that could correct it.
func TestRefusalsEndAfterOverload(t *testing.T) {
	q := newQueue(4)
	now := startTime
	ticket := Ticket{ID: 1, Class: pipeline.ClassInteractive}
	run := func(took time.Duration, completed bool) bool {
		ticket.Deadline = now.Add(time.Second)
		if q.Offer(now, ticket).Verdict != Admitted {
			return false
		}
		now = now.Add(took)
		q.Release(now, ticket, Result{Duration: took, Completed: completed})
		q.Tick(now)
		return true
	}
	for range 50 {
		run(10*time.Second, false)
	}
	admitted := 0
	for range 10 {
		if run(10*time.Millisecond, true) {
			admitted++
		}
	}
	qt.Assert(t, admitted, qt.Equals, 10)
	qt.Assert(t, q.expectedSeconds[classInteractive] < 0.1, qt.IsTrue)
}

// Guards against one organisation that uses the whole pool, and against the share of
// an idle organisation staying unused.
func TestOrganisationsShareByWeight(t *testing.T) {
	c := qt.New(t)
	q := newQueue(1)
	id := uint64(0)
	owner := map[uint64]string{}
	offer := func(organisation string, weight int) {
		id++
		owner[id] = organisation
		q.Offer(startTime, Ticket{ID: id, Class: pipeline.ClassNormal, Organisation: organisation, Weight: weight, Deadline: startTime.Add(time.Hour)})
	}
	for range 300 {
		offer("heavy", 1)
	}
	for range 30 {
		offer("light", 3)
	}
	started := map[string]int{}
	next := func() {
		q.Release(startTime, Ticket{Class: pipeline.ClassNormal}, Result{})
		for _, d := range q.Tick(startTime) {
			started[owner[d.TicketID]]++
		}
	}
	for range 40 {
		next()
	}
	c.Assert(started["light"], qt.Equals, 30)
	for range 40 {
		next()
	}
	c.Assert(started["heavy"], qt.Equals, 50)
}

func benchmarkQueue(b *testing.B, organisations int) {
	q := newQueue(16)
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
	}
	now := startTime
	ticket := Ticket{Class: pipeline.ClassInteractive}
	n := 0
	offer := func() {
		n++
		ticket.ID, ticket.Organisation, ticket.Deadline = uint64(n), names[n%len(names)], now.Add(time.Hour)
		q.Offer(now, ticket)
	}
	for range 1000 {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		offer()
		q.Release(now, ticket, Result{Duration: time.Millisecond, Completed: true})
		q.Tick(now)
	}
}

func BenchmarkQueue5(b *testing.B)     { benchmarkQueue(b, 5) }
func BenchmarkQueue19000(b *testing.B) { benchmarkQueue(b, 19000) }
