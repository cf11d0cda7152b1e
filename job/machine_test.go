package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

// fakeStore holds the record of one job and the holder keys of the instances.
type fakeStore struct {
	record  Record
	version int64
	// fencingTokens holds the fencing token of each instance, 0 without a lease.
	fencingTokens    map[string]int64
	lastFencingToken int64
	// nonIdempotentCalls and finished count the records that announce a
	// non-idempotent call and that finish the job.
	nonIdempotentCalls int
	finished           int
}

// apply carries out the writes of a machine and reports the results to it.
func (s *fakeStore) apply(t *rapid.T, m *Machine, outputs []Output) {
	for _, output := range outputs {
		write, ok := output.(WriteRecord)
		if !ok {
			continue
		}
		if write.ExpectedVersion != s.version {
			s.apply(t, m, m.Step(time.Unix(1, 0), WriteConflict{}))
			continue
		}
		if write.Record.NonIdempotentSent && !s.record.NonIdempotentSent {
			s.nonIdempotentCalls++
		}
		if s.record.State == StateFinished {
			t.Fatalf("record written after the job finished")
		}
		if write.Record.State == StateFinished {
			s.finished++
		}
		if len(write.Record.Stages) < len(s.record.Stages) {
			t.Fatalf("number of finished stages decreased from %d to %d", len(s.record.Stages), len(write.Record.Stages))
		}
		names := map[string]bool{}
		for _, stage := range write.Record.Stages {
			if names[stage.Name] {
				t.Fatalf("stage %q recorded twice", stage.Name)
			}
			names[stage.Name] = true
		}
		s.version++
		s.record = write.Record
		s.apply(t, m, m.Step(time.Unix(1, 0), RecordStored{Version: s.version}))
	}
}

// Guards against a non-idempotent call that two holders may send, a finished stage
// that is lost or runs again, and a record written by a former holder. Leases
// expire at any time, and holders continue without noticing it.
func TestFormerHoldersNeverWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{fencingTokens: map[string]int64{}, record: Record{ID: "x", State: StateAccepted}}
		machines := map[string]*Machine{}
		names := []string{"a", "b", "c"}
		sent := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "instance")
			m := machines[name]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				s.fencingTokens[name] = 0
			case 1:
				s.lastFencingToken++
				s.fencingTokens[name] = s.lastFencingToken
			case 2:
				if s.fencingTokens[name] == 0 || s.record.State == StateFinished || !MayTakeOver(s.record, s.fencingTokens[s.record.Holder]) {
					continue
				}
				before := s.record.NonIdempotentSent
				machines[name] = NewMachine(s.record, s.version)
				s.apply(t, machines[name], machines[name].Step(time.Unix(1, 0), StartRun{Holder{name, s.fencingTokens[name]}}))
				if before && s.record.State != StateFinished {
					t.Fatalf("a job whose non-idempotent call was sent runs again")
				}
			case 3:
				if m != nil && len(m.Record().Stages) < 4 {
					stage := Value{Name: string(rune('p' + len(m.Record().Stages)))}
					s.apply(t, m, m.Step(time.Unix(1, 0), StageDone{stage}))
				}
			case 4:
				if m == nil || m.Record().NonIdempotentSent {
					continue
				}
				before := s.nonIdempotentCalls
				s.apply(t, m, m.Step(time.Unix(1, 0), NonIdempotentCallStarting{}))
				if sent += s.nonIdempotentCalls - before; sent > 1 {
					t.Fatalf("two holders may send the non-idempotent call")
				}
			case 5:
				if m != nil {
					outcome := rapid.SampledFrom([]string{"completed", OutcomeFailed, OutcomeNotRun}).Draw(t, "outcome")
					harmful := rapid.Bool().Draw(t, "harmful")
					s.apply(t, m, m.Step(time.Unix(1, 0), RunEnded{Outcome: outcome, Harmful: harmful}))
				}
			case 6:
				if m != nil {
					s.apply(t, m, m.Step(time.Unix(1, 0), HandOver{}))
				}
			}
			if s.finished > 1 || s.record.Runs-s.record.EndedRuns > MaxRuns {
				t.Fatalf("job finished %d times after %d runs", s.finished, s.record.Runs)
			}
		}
	})
}

// endRuns ends runs of a new job without effect until it finishes, at most max times, and
// returns its record.
func endRuns(now time.Time, max int, ended RunEnded) Record {
	m := NewMachine(Record{ID: "x", State: StateAccepted, CreatedMS: now.UnixMilli()}, 1)
	version := int64(1)
	store := func(outputs []Output) {
		for _, output := range outputs {
			if _, ok := output.(WriteRecord); ok {
				version++
				m.Step(now, RecordStored{Version: version})
			}
		}
	}
	store(m.Step(now, StartRun{Holder{"a", 1}}))
	for i := 0; i < max && m.Record().State != StateFinished; i++ {
		store(m.Step(now, ended))
	}
	return m.Record()
}

// Guards against accepted work that ends as failed because servers gave bad answers in a few
// runs, although the period in which it is retried has not passed.
func TestAcceptedWorkIsNotGivenUp(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	if r := endRuns(now, 200, RunEnded{Outcome: OutcomeFailed}); r.State != StateAccepted || r.Runs != 201 {
		t.Fatalf("job is %s after %d runs", r.State, r.Runs)
	}
	if got := retryDelay(201); got != maxRetryDelay {
		t.Fatalf("next run after %v", got)
	}
}

// Guards against a job that ends backend servers in each of its runs and goes on, and against
// an invalid one whose caller waits for its outcome.
func TestHarmfulAndInvalidWorkEnds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	if r := endRuns(now, 200, RunEnded{Outcome: OutcomeFailed, Harmful: true}); r.State != StateFinished || r.Runs != MaxRuns {
		t.Fatalf("job is %s after %d harmful runs", r.State, r.Runs)
	}
	if r := endRuns(now, 200, RunEnded{Outcome: OutcomeFailed, Permanent: true}); r.State != StateFinished || r.Runs != 1 {
		t.Fatalf("job is %s after %d invalid runs", r.State, r.Runs)
	}
}
