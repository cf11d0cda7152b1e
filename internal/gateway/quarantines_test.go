package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/quarantine"
)

func promptOf(ids ...string) (prompt []engine.Part) {
	for _, id := range ids {
		prompt = append(prompt, engine.Part{ID: id})
	}
	return prompt
}

// crashThree reports three crashes under the part "bad", after requests without it.
func crashThree(q *Quarantines) {
	for i := range 10 {
		q.admit("", "x", promptOf("other", fmt.Sprint(i)))
	}
	for i := range 3 {
		sent := time.Now().Add(time.Duration(i) * time.Second)
		q.recordCrash("x", quarantine.Crash{Server: quarantine.ServerStart{ID: fmt.Sprint(i)}, Parts: []string{"bad", fmt.Sprint(i)}, SentAt: sent, CutAt: sent.Add(time.Second)})
	}
}

// viewOf returns a view with the quarantines that a store holds.
func viewOf(c *qt.C, st *storetest.Fake) *view.View {
	entries, err := st.ListStale(context.Background(), view.QuarantinePrefix)
	c.Assert(err, qt.IsNil)
	return &view.View{Quarantines: entries}
}

func refuses(q *Quarantines, parts ...string) bool {
	return q.Check("x", promptOf(parts...)).Verdict == quarantine.Quarantined
}

// Guards against a quarantine that is lost with the instance that began it, one that is
// written again and again, and one that is lost when the store forgets it.
func TestQuarantinesAreRecordedInTheStore(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	q := NewQuarantines(discardLogger(), tally.NoopScope)
	crashThree(q)
	q.Record(c.Context(), st, "x")
	q.Record(c.Context(), st, "x")
	c.Assert(st.Count(storetest.Swap), qt.Equals, 1)

	restarted := NewQuarantines(discardLogger(), tally.NoopScope)
	restarted.ObserveView(viewOf(c, st))
	c.Assert(refuses(restarted, "route", "bad", "own"), qt.IsTrue)
	c.Assert(refuses(restarted, "route", "own"), qt.IsFalse)
	restarted.Record(c.Context(), st, "x")
	c.Assert(st.Count(storetest.Swap), qt.Equals, 1)

	empty := storetest.New()
	restarted.ObserveView(viewOf(c, empty))
	restarted.Record(c.Context(), empty, "x")
	c.Assert(empty.Count(storetest.Swap), qt.Equals, 1)
	empty.Advance(quarantine.Lifetime + time.Second)
	c.Assert(viewOf(c, empty).Quarantines, qt.HasLen, 0, qt.Commentf("the lease ends with the quarantine"))
}

// Guards against a quarantine that the store does not take because its answer was lost or it
// was away, and against calls without a pause meanwhile.
func TestQuarantinesAreRecordedAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	away := true
	st.Before = func(context.Context, storetest.Op, string) error {
		if away {
			return store.ErrUnavailable
		}
		return nil
	}
	q := NewQuarantines(discardLogger(), tally.NoopScope)
	crashThree(q)
	q.Record(c.Context(), st, "x")
	away = false
	q.Record(c.Context(), st, "x")
	c.Assert(st.Count(storetest.Grant), qt.Equals, 0, qt.Commentf("the next call comes after a pause"))
	for id := range q.writtenAt {
		q.writtenAt[id] = time.Now().Add(-quarantineRewriteDelay)
	}
	q.Record(c.Context(), st, "x")
	c.Assert(viewOf(c, st).Quarantines, qt.HasLen, 1)
}

// Guards against operators who can't end a quarantine, and against instances that write a
// lifted one again.
func TestOperatorsLiftQuarantines(t *testing.T) {
	c := qt.New(t)
	st := storetest.New()
	q := NewQuarantines(discardLogger(), tally.NoopScope)
	crashThree(q)
	q.Record(c.Context(), st, "x")
	q.ObserveView(viewOf(c, st))
	list, err := ListQuarantines(c.Context(), st)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 1)
	c.Assert(list[0].Parts, qt.DeepEquals, []string{"bad"})
	c.Assert(LiftQuarantine(c.Context(), st, "other", "ana", "fixed"), qt.ErrorIs, ErrNoQuarantine)
	c.Assert(LiftQuarantine(c.Context(), st, list[0].ID, "ana", "fixed"), qt.IsNil)
	q.ObserveView(viewOf(c, st))
	c.Assert(refuses(q, "bad", "own"), qt.IsFalse)
	q.Record(c.Context(), st, "x")
	c.Assert(st.Count(storetest.Swap), qt.Equals, 2)
	list, err = ListQuarantines(c.Context(), st)
	c.Assert(err, qt.IsNil)
	c.Assert(list[0].Author, qt.Equals, "ana")
	c.Assert(list[0].Lifted, qt.IsTrue)
}

// Guards against entries of other writers that end a gateway or quarantine everything.
func TestMalformedQuarantinesAreIgnored(t *testing.T) {
	c := qt.New(t)
	q := NewQuarantines(discardLogger(), tally.NoopScope)
	v := &view.View{}
	for i, value := range []string{"", "[]", "{}", `{"service":"x","parts":[],"until":"2030-01-01T00:00:00Z"}`, `{"service":"x","parts":["a"]}`, `{"service":5}`} {
		v.Quarantines = append(v.Quarantines, store.Entry{Key: view.QuarantinePrefix + fmt.Sprint(i), Value: []byte(value), Version: 1})
	}
	q.ObserveView(v)
	c.Assert(refuses(q, "a", "own"), qt.IsFalse)
	c.Assert(q.recorded, qt.HasLen, 0)
}

// Guards against another region that sends requests with a quarantined part until it has read
// the store, and against crashes there that are not reported to this region.
func TestCrashesAndQuarantinesReachOtherRegions(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.start()
	placer := f.gateway.placer
	report := func(i int, records ...*peerpb.QuarantineRecord) {
		placer.ReportCrash(&peerpb.ReportCrashRequest{Service: "x", Server: fmt.Sprint("far", i), Parts: []string{"bad", fmt.Sprint(i)}, SentAgoMs: 1, Remote: true, Quarantines: records})
	}
	report(0)
	c.Assert(placer.quarantines.admit("q", "x", promptOf("bad", "own")).Verdict, qt.Equals, quarantine.OnTrial)
	report(1, &peerpb.QuarantineRecord{Id: "q1", Parts: []string{"bad"}, RemainingMs: 60_000, Crashes: 3})
	var quarantined *QuarantinedError
	_, err := placer.Place(c.Context(), "q", "x", engine.Query{Prompt: promptOf("bad", "own")})
	c.Assert(errors.As(err, &quarantined), qt.IsTrue)
	c.Assert(quarantined.Quarantine, qt.Equals, "q1")
	response := placer.PlacePrompt(&peerpb.PlacePromptRequest{Service: "x", RequestId: "q", Prompt: encodeParts(promptOf("bad", "own"))})
	c.Assert(response.Server, qt.Equals, "")
	c.Assert(quarantine.Verdict(response.Verdict), qt.Equals, quarantine.Quarantined)
}

// Guards against a prompt of thousands of parts, or with parts of kilobytes, that costs
// memory and time with each request.
func TestPartsOfAPromptAreBounded(t *testing.T) {
	c := qt.New(t)
	var prompt []engine.Part
	for i := range 1000 {
		prompt = append(prompt, engine.Part{ID: fmt.Sprint(i, strings.Repeat("x", 1000))})
	}
	ids := partIDs(prompt)
	c.Assert(ids, qt.HasLen, quarantine.MaxParts)
	c.Assert(ids[0], qt.Not(qt.Equals), ids[1])
	for _, id := range ids {
		c.Assert(len(id) <= maxPartIDBytes, qt.IsTrue)
	}
}

// Guards against answered parts that are sent with each call, and against a queue of them that
// grows without bound while there are no calls.
func TestAnsweredPartsAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	q := NewQuarantines(discardLogger(), tally.NoopScope)
	q.queueAnswered("x", []string{"a", "b"})
	q.queueAnswered("x", []string{"b"})
	c.Assert(q.takeAnswered("x"), qt.HasLen, 2)
	c.Assert(q.takeAnswered("x"), qt.HasLen, 0)
	for i := range 2 * maxPendingAnswered {
		q.queueAnswered("x", []string{fmt.Sprint(i)})
	}
	c.Assert(q.takeAnswered("x"), qt.HasLen, maxPendingAnswered)
}
