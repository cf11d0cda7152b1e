package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// run drives a tracker with requests that follow each other.
type run struct {
	c       *qt.C
	tracker *Tracker
	now     time.Time
	servers int
}

// newRun returns a run with requests before it that have other parts.
func newRun(t *testing.T) *run {
	r := newIdleRun(t)
	for i := range 50 {
		r.verdict("", "other", fmt.Sprint("before", i))
	}
	return r
}

// newIdleRun returns a run without requests before it.
func newIdleRun(t *testing.T) *run {
	return &run{c: qt.New(t), tracker: NewTracker(), now: time.Unix(1_000_000, 0)}
}

// crash reports that a new server ended under a request with parts, a second after the
// report before.
func (r *run) crash(parts ...string) *Record {
	r.now = r.now.Add(time.Second)
	r.servers++
	return r.crashAt(fmt.Sprint("s", r.servers), parts...)
}

func (r *run) crashAt(server string, parts ...string) *Record {
	return r.tracker.Crashed(r.now, Crash{Server: ServerStart{ID: server}, Request: parts[len(parts)-1], Parts: parts, SentAt: r.now.Add(-100 * time.Millisecond), CutAt: r.now})
}

// remoteCrashes reports that five servers ended in another region under requests with parts,
// which begins no quarantine here.
func (r *run) remoteCrashes(parts ...string) {
	for i := range 5 {
		r.now = r.now.Add(time.Second)
		crash := Crash{Server: ServerStart{ID: fmt.Sprint("far", i)}, Parts: append(slices.Clone(parts), fmt.Sprint(i)), SentAt: r.now, CutAt: r.now, Remote: true}
		r.c.Assert(r.tracker.Crashed(r.now, crash), qt.IsNil)
	}
}

func (r *run) answer(parts ...string) {
	r.now = r.now.Add(100 * time.Millisecond)
	r.tracker.Answered(r.now, parts)
}

func (r *run) verdict(request string, parts ...string) Verdict {
	return r.tracker.Admit(r.now, request, parts).Verdict
}

// Guards against a fourth server that ends under a part, whatever its place in the prompt,
// and against a quarantine that takes in parts of sound requests.
func TestThreeCrashesQuarantineTheCommonPart(t *testing.T) {
	for _, prompt := range [][]string{{"bad", "caller"}, {"caller", "bad"}, {"route", "bad", "caller"}, {"bad"}} {
		r := newRun(t)
		r.answer("route", "caller", "sound")
		for i := range 2 {
			r.c.Assert(r.crash(append(prompt, fmt.Sprint(i))...), qt.IsNil)
			r.answer("route", "caller", fmt.Sprint("sound", i))
		}
		q := r.crash(append(prompt, "2")...)
		r.c.Assert(q, qt.IsNotNil)
		r.c.Assert(q.Parts, qt.DeepEquals, []string{"bad"})
		d := r.tracker.Check(r.now, append(prompt, "3"))
		r.c.Assert(d.Verdict, qt.Equals, Quarantined)
		r.c.Assert(d.Remaining, qt.Equals, Lifetime)
		r.c.Assert(r.verdict("q", "route", "caller", "own"), qt.Equals, Admitted)
	}
}

// Guards against sound parts that are quarantined because many servers end at once, with a
// failure domain or a rack, and against a cause whose requests end several servers at once
// and go on to others.
func TestServersThatEndTogetherAreOneWave(t *testing.T) {
	r := newRun(t)
	for i := range 20 {
		r.now = r.now.Add(time.Millisecond)
		r.c.Assert(r.crashAt(fmt.Sprint("s", i), "route", "caller", fmt.Sprint(i)), qt.IsNil)
	}
	r.c.Assert(r.tracker.Records(r.now), qt.HasLen, 0)
	r.answer("route", "caller", "sound")

	r = newRun(t)
	for i := range 2 {
		r.c.Assert(r.crashAt(fmt.Sprint("s", i), "bad", fmt.Sprint(i)), qt.IsNil)
	}
	r.now = r.now.Add(time.Second)
	r.c.Assert(r.crashAt("s2", "bad", "2"), qt.IsNotNil)
}

// Guards against a part that is quarantined for servers that end by themselves now and then.
func TestAnswersClearSuspects(t *testing.T) {
	r := newRun(t)
	for i := range 20 {
		r.c.Assert(r.crash("route", "caller", fmt.Sprint(i)), qt.IsNil)
		r.answer("route", "caller", "sound")
	}
	r.c.Assert(r.verdict("q", "route", "caller", "own"), qt.Equals, Admitted)
}

// Guards against a crash that is counted against the same part for each request at the server.
func TestOneServerCountsOnce(t *testing.T) {
	r := newRun(t)
	for i := range 5 {
		r.c.Assert(r.crashAt("s", "route", "bad", fmt.Sprint(i)), qt.IsNil)
	}
}

// Guards against servers that go on to end because each request was sent before the latest end
// of another, and against an unrelated part that is quarantined before the cause.
func TestOverlappingTrialsFindTheCause(t *testing.T) {
	r := newRun(t)
	var began *Record
	ended := 0
	for i := 0; began == nil && i < 10; i++ {
		r.now = r.now.Add(150 * time.Millisecond)
		server := ServerStart{ID: fmt.Sprint("s", i)}
		began = r.tracker.Crashed(r.now, Crash{Server: server, Parts: []string{"bad", fmt.Sprint("caller", i%2), fmt.Sprint(i)}, SentAt: r.now.Add(-200 * time.Millisecond), CutAt: r.now})
		ended++
	}
	r.c.Assert(began, qt.IsNotNil)
	r.c.Assert(began.Parts, qt.DeepEquals, []string{"bad"})
	r.c.Assert(ended, qt.Equals, 3)
}

// Guards against a route that is quarantined because servers end one after the other within
// a second, before the answers of others arrive.
func TestCascadesQuarantineNoEstablishedPart(t *testing.T) {
	r := newRun(t)
	r.answer("route", "sound")
	for i := range 10 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.c.Assert(r.crashAt(fmt.Sprint("s", i), "route", fmt.Sprint(i)), qt.IsNil)
	}
	r.answer("route", "sound")
	r.c.Assert(r.verdict("q", "route", "own"), qt.Equals, Admitted)
}

// Guards against parts that were at the same servers as the cause and are still suspects once the cause is known.
func TestUnrelatedPartsAreClearedWithTheCause(t *testing.T) {
	r := newRun(t)
	for i := range 2 {
		r.crash("bad", fmt.Sprint(i))
		r.crashAt(fmt.Sprint("s", r.servers), "rare", "sound")
	}
	r.now = r.now.Add(time.Second)
	r.c.Assert(r.crashAt("s3", "bad", "2"), qt.IsNotNil)
	r.c.Assert(r.crashAt("s3", "rare", "sound"), qt.IsNil)
	r.c.Assert(r.verdict("q", "rare", "own"), qt.Equals, Admitted)
	r.c.Assert(r.tracker.Records(r.now), qt.HasLen, 1)
}

// Guards against an end under a quarantined part, of a request that was sent before, which is
// counted against the other parts of that request.
func TestLateCrashesOfAQuarantinedPartAreExplained(t *testing.T) {
	r := newRun(t)
	for i := range 8 {
		r.crash("rare", "bad", fmt.Sprint(i))
		if i < 2 {
			r.answer("rare", "sound")
		}
	}
	r.c.Assert(r.tracker.Records(r.now), qt.HasLen, 1)
	r.c.Assert(r.verdict("q", "rare", "own"), qt.Equals, Admitted)
}

// Guards against a second cause that hides behind the first, and one that is never found
// because others crash servers as well.
func TestTwoCausesAreBothQuarantined(t *testing.T) {
	r := newRun(t)
	crashes := map[string]int{}
	for i := range 20 {
		r.answer("route", "caller", fmt.Sprint("sound", i))
		bad := []string{"bad1", "bad2"}[i%2]
		if r.verdict(fmt.Sprint(i), "route", "caller", bad, fmt.Sprint(i)) != Quarantined {
			crashes[bad]++
			r.crash("route", "caller", bad, fmt.Sprint(i))
		}
	}
	r.c.Assert(crashes, qt.DeepEquals, map[string]int{"bad1": 3, "bad2": 3})
}

// Guards against a sound part that stays refused because it was always in the prompts of the
// cause before: a request with it alone is tried, and its answer clears it.
func TestAnswersNarrowAQuarantine(t *testing.T) {
	r := newRun(t)
	for i := range 3 {
		r.crash("caller", "bad", fmt.Sprint(i))
	}
	r.c.Assert(r.tracker.Records(r.now)[0].Parts, qt.DeepEquals, []string{"bad", "caller"})
	r.c.Assert(r.verdict("q1", "caller", "bad", "own"), qt.Equals, Quarantined)
	r.c.Assert(r.verdict("q2", "caller", "own"), qt.Equals, OnTrial)
	r.c.Assert(r.verdict("q3", "caller", "own"), qt.Equals, Waiting)
	r.answer("caller", "own")
	r.c.Assert(r.verdict("q3", "caller", "own"), qt.Equals, Admitted)
	r.c.Assert(r.tracker.Records(r.now)[0].Parts, qt.DeepEquals, []string{"bad"})
	r.c.Assert(r.verdict("q4", "route", "bad", "own"), qt.Equals, Quarantined)
}

// Guards against a cause that goes on to crash servers in prompts without the parts that it
// had in common with the first ones.
func TestCrashesNarrowAQuarantine(t *testing.T) {
	r := newRun(t)
	for i := range 3 {
		r.crash("caller", "bad", fmt.Sprint(i))
	}
	r.c.Assert(r.verdict("q1", "other", "bad", "own"), qt.Equals, OnTrial)
	r.c.Assert(r.crash("other", "bad", "own"), qt.IsNil)
	r.c.Assert(r.verdict("q2", "third", "bad", "own"), qt.Equals, Quarantined)
	r.c.Assert(r.verdict("q3", "caller", "own"), qt.Equals, Admitted)
}

// Guards against several servers that end at the same time under requests with one suspect.
func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	r := newRun(t)
	r.crash("bad", "0")
	first := r.tracker.Admit(r.now, "q1", []string{"bad", "q1"})
	r.c.Assert(first, qt.Equals, Decision{Verdict: OnTrial})
	r.c.Assert(r.verdict("q1", "bad", "q1"), qt.Equals, OnTrial, qt.Commentf("a request that is placed again keeps its trial"))
	r.c.Assert(r.verdict("q2", "bad", "q2"), qt.Equals, Waiting)
	r.crashAt("s1", "bad", "earlier")
	r.c.Assert(r.verdict("q2", "bad", "q2"), qt.Equals, Waiting, qt.Commentf("a crash of a request that was sent before"))
	r.crash("bad", "q1")
	second := r.tracker.Admit(r.now, "q2", []string{"bad", "q2"})
	r.c.Assert(second, qt.Equals, Decision{Verdict: OnTrial, Isolate: true})
	r.now = r.now.Add(trialTimeout)
	r.c.Assert(r.verdict("q3", "bad", "3"), qt.Equals, OnTrial, qt.Commentf("a trial without outcome"))
}

// Guards against requests that go on to a server each while it is not known whether the first
// one has ended its server, and against sound ones that wait with them.
func TestPartsAreHeldWhileAnEndIsUncertain(t *testing.T) {
	r := newRun(t)
	r.answer("route", "sound")
	r.tracker.Hold(r.now, "q1", []string{"route", "bad", "1"})
	r.c.Assert(r.verdict("q2", "route", "bad", "2"), qt.Equals, Waiting)
	r.c.Assert(r.verdict("q3", "route", "3"), qt.Equals, Admitted)
	r.now = r.now.Add(HoldTime)
	r.c.Assert(r.verdict("q2", "route", "bad", "2"), qt.Equals, OnTrial)
	r.crash("route", "bad", "q2")
	r.c.Assert(r.verdict("q4", "route", "bad", "4"), qt.Equals, OnTrial)
}

// Guards against sound parts that are quarantined because requests with them are sent to
// servers that have already ended, which a proxy in front of them hides, in whatever order
// these requests are reported.
func TestRequestsSentAfterTheEndDoNotCount(t *testing.T) {
	for _, lateFirst := range []bool{false, true} {
		r := newRun(t)
		for i := range 5 {
			server := ServerStart{ID: fmt.Sprint("s", i)}
			r.now = r.now.Add(time.Second)
			ended := r.now.Add(-500 * time.Millisecond)
			first := Crash{Server: server, Parts: []string{"route", fmt.Sprint("victim", i)}, SentAt: ended.Add(-time.Second), CutAt: ended}
			late := Crash{Server: server, Parts: []string{"late", fmt.Sprint(i)}, SentAt: ended.Add(300 * time.Millisecond), CutAt: ended.Add(301 * time.Millisecond)}
			reports := []Crash{first, late}
			if lateFirst {
				reports = []Crash{late, first}
			}
			for _, report := range reports {
				r.c.Assert(r.tracker.Crashed(r.now, report), qt.IsNil)
			}
			r.tracker.Answered(r.now, []string{"route"})
		}
		r.c.Assert(r.verdict("q", "late", "own"), qt.Equals, Admitted)
	}
}

// Guards against the parts of a whole service that are quarantined while it answers nothing,
// also at an instance that does not know them yet.
func TestOutagesQuarantineNothing(t *testing.T) {
	for _, known := range []bool{true, false} {
		r := newIdleRun(t)
		if known {
			r.answer("route", "caller")
		}
		for i := range 20 {
			r.verdict(fmt.Sprint("q", i), "route", "caller", fmt.Sprint(i))
			r.c.Assert(r.crash("route", "caller", fmt.Sprint(i)), qt.IsNil, qt.Commentf("known %v", known))
		}
	}
}

// Guards against an established part whose requests all wait after a crash that they did not
// cause, also at an instance that has just begun to receive the reports of others.
func TestEstablishedPartsNeedNoTrial(t *testing.T) {
	r := newRun(t)
	r.answer("route", "sound")
	r.crash("route", "own")
	r.c.Assert(r.verdict("q", "route", "other"), qt.Equals, Admitted)

	r = newRun(t)
	r.remoteCrashes("route")
	r.tracker.BeginWarmUp(r.now)
	r.crash("route", "own")
	r.c.Assert(r.verdict("q", "route", "other"), qt.Equals, Admitted)
	r.crash("route", "another")
	r.c.Assert(r.verdict("q", "route", "other"), qt.Equals, OnTrial)
}

// Guards against a quarantine that ends with a series of crashes, and one that never ends
// although the fault is mended.
func TestQuarantinesEndWithATrial(t *testing.T) {
	r := newRun(t)
	for i := range 3 {
		r.crash("bad", fmt.Sprint(i))
	}
	r.now = r.now.Add(Lifetime)
	r.c.Assert(r.tracker.Records(r.now), qt.HasLen, 0)
	r.c.Assert(r.verdict("q1", "bad", "4"), qt.Equals, OnTrial)
	r.c.Assert(r.verdict("q2", "bad", "5"), qt.Equals, Waiting)
	r.c.Assert(r.crash("bad", "4"), qt.IsNotNil)
	r.c.Assert(r.verdict("q3", "bad", "6"), qt.Equals, Quarantined)
	r.now = r.now.Add(Lifetime)
	r.c.Assert(r.tracker.Records(r.now), qt.HasLen, 0)
	r.c.Assert(r.verdict("q4", "bad", "7"), qt.Equals, OnTrial)
	r.answer("bad", "7")
	r.c.Assert(r.verdict("q5", "bad", "8"), qt.Equals, Admitted)
}

// Guards against a region that quarantines parts because of crashes elsewhere although it has
// not seen the answers that clear them there, and against one that ignores these crashes.
func TestCrashesOfOtherRegionsMakeSuspects(t *testing.T) {
	r := newRun(t)
	r.remoteCrashes("caller", "bad")
	r.c.Assert(r.verdict("q", "caller", "bad", "own"), qt.Equals, OnTrial)
	r.answer("caller", "sound")
	r.c.Assert(r.crash("caller", "bad", "own").Parts, qt.DeepEquals, []string{"bad"})
}

// Guards against a caller that crashes servers on purpose until a known part is forgotten,
// and against a table that grows without bound.
func TestQuarantinesAreNotDisplaced(t *testing.T) {
	r := newRun(t)
	for i := range 3 {
		r.crash("bad", fmt.Sprint(i))
	}
	for i := range maxQuarantines + 10 {
		for range minCrashes {
			r.crash(fmt.Sprint("flood", i))
		}
		r.now = r.now.Add(-minCrashes * time.Second)
	}
	r.c.Assert(r.verdict("q", "bad", "own"), qt.Equals, Quarantined)
	r.c.Assert(r.tracker.quarantines, qt.HasLen, maxQuarantines)
	for i := range 2 * maxSuspects {
		r.crashAt(fmt.Sprint("t", i), fmt.Sprint("suspect", i))
	}
	r.c.Assert(len(r.tracker.suspects) <= maxSuspects, qt.IsTrue)
}

// Guards against records that come back after they were lifted or narrowed, and against some
// that a restored store has lost and nobody writes again.
func TestRecordsAreMerged(t *testing.T) {
	r := newRun(t)
	for i := range 3 {
		r.crash("caller", "bad", fmt.Sprint(i))
	}
	records := r.tracker.Unrecorded(r.now, nil)
	r.c.Assert(records, qt.HasLen, 1)
	r.c.Assert(r.tracker.Unrecorded(r.now, records), qt.HasLen, 0)

	other := NewTracker()
	other.Merge(r.now, records)
	r.c.Assert(other.Check(r.now, []string{"caller", "bad", "own"}).Verdict, qt.Equals, Quarantined)
	other.Answered(r.now, []string{"caller", "x"})
	other.Merge(r.now, records)
	narrowed := other.Unrecorded(r.now, records)
	r.c.Assert(narrowed, qt.HasLen, 1)
	r.c.Assert(narrowed[0].Parts, qt.DeepEquals, []string{"bad"})

	r.tracker.Merge(r.now, narrowed)
	r.c.Assert(r.verdict("q", "bad", "own"), qt.Equals, Quarantined)
	narrowed[0].Lifted = true
	r.tracker.Merge(r.now, narrowed)
	r.c.Assert(r.verdict("q", "bad", "own"), qt.Equals, Admitted)
	r.c.Assert(r.tracker.Unrecorded(r.now, narrowed), qt.HasLen, 0)
	r.c.Assert(r.tracker.Unrecorded(r.now, nil), qt.HasLen, 0)
}
