package job

import (
	"slices"
	"time"
)

// Outcomes that this package sets or handles specially. All others pass unchanged.
const (
	OutcomeUnknown = "unknown"
	OutcomeFailed  = "failed"
	OutcomeNotRun  = "not_run"
)

// Holder is an instance that holds a job.
type Holder struct {
	Instance string
	// FencingToken is that of the instance.
	FencingToken int64
}

// MayTakeOver reports whether another instance may take a job over. holderVersion
// is the version of the holder key of the record's holder, 0 if the key is absent.
// It must be read after the record.
func MayTakeOver(record Record, holderVersion int64) bool {
	if record.State != StateAccepted {
		return false
	}
	return record.Holder == "" || holderVersion != record.FencingToken
}

// Input is an event that the adapter reports to a Machine.
type Input interface{ input() }

// StartRun starts a run of a job at its holder.
type StartRun struct{ Holder Holder }

// StageDone reports a finished stage whose result is in the store.
type StageDone struct{ Result Value }

// NonIdempotentCallStarting reports that a non-idempotent call is about to be sent.
type NonIdempotentCallStarting struct{}

// RunEnded reports the end of a run with its outcome.
type RunEnded struct {
	Outcome string
	Detail  string
	Answer  Value
	// Permanent is true for a failure that another run would repeat, Harmful for a run
	// during which backend servers ended.
	Permanent, Harmful bool
}

// HandOver releases the job so that another instance can take it over.
type HandOver struct{}

// RecordStored reports that the store holds the record of the last WriteRecord.
type RecordStored struct{ Version int64 }

// WriteConflict reports that the record in the store has another version, because
// another instance wrote it.
type WriteConflict struct{}

// LeaseLost reports that the holder's lease is no longer valid.
type LeaseLost struct{}

func (StartRun) input()                  {}
func (StageDone) input()                 {}
func (NonIdempotentCallStarting) input() {}
func (RunEnded) input()                  {}
func (HandOver) input()                  {}
func (RecordStored) input()              {}
func (WriteConflict) input()             {}
func (LeaseLost) input()                 {}

// Output is an action that the adapter carries out.
type Output interface{ output() }

// WriteRecord replaces the record if it has the expected version. The adapter
// reports RecordStored or WriteConflict before any other input.
type WriteRecord struct {
	Record          Record
	ExpectedVersion int64
}

// StopRun ends the run. No further record is written.
type StopRun struct{}

// RunStages starts the unfinished stages after Delay.
type RunStages struct{ Delay time.Duration }

func (WriteRecord) output() {}
func (StopRun) output()     {}
func (RunStages) output()   {}

// Machine is the state machine of one job at its holder. It is not safe for
// concurrent use.
type Machine struct {
	record  Record
	version int64
	// next is the record of the last WriteRecord.
	next    Record
	stopped bool
}

// NewMachine returns the state machine for a record that the store holds with the
// given version.
func NewMachine(record Record, version int64) *Machine {
	return &Machine{record: record, version: version}
}

// Record returns the last record that is known to be in the store.
func (m *Machine) Record() Record { return m.record }

// Step applies one input and returns the actions that are due.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if m.stopped {
		return []Output{StopRun{}}
	}
	next := m.record
	switch in := input.(type) {
	case RecordStored:
		return m.recordStored(in)
	case WriteConflict, LeaseLost:
		m.stopped = true
		return []Output{StopRun{}}
	case StartRun:
		startRun(&next, now, in.Holder)
	case StageDone:
		next.Stages = append(slices.Clone(next.Stages), in.Result)
	case NonIdempotentCallStarting:
		next.NonIdempotentSent = true
	case RunEnded:
		m.runEnded(&next, now, in)
	case HandOver:
		next.Holder = ""
		next.FencingToken = 0
		// A planned stop does not count towards MaxRuns, so that instances can be
		// restarted any number of times during a long job.
		next.Runs--
	}
	m.next = next
	return []Output{WriteRecord{Record: next, ExpectedVersion: m.version}}
}

func (m *Machine) recordStored(in RecordStored) []Output {
	previous := m.record
	m.record = m.next
	m.version = in.Version
	switch {
	case m.record.State == StateFinished || m.record.Holder == "":
		m.stopped = true
		return []Output{StopRun{}}
	case m.record.Runs == previous.Runs:
		// The record of a running job: a stage is done, or a non-idempotent call starts.
		return nil
	case m.record.FencingToken == previous.FencingToken:
		// The same holder runs the job again: after a run without effect, or after a
		// run whose record it could not confirm.
		return []Output{RunStages{Delay: retryDelay(m.record.Runs)}}
	}
	return []Output{RunStages{}}
}

// startRun starts a run, or finishes the job if it must not run again: because a
// non-idempotent call of an earlier run may have been executed, or because the
// job has reached MaxRuns without finishing.
func startRun(next *Record, now time.Time, holder Holder) {
	next.Holder = holder.Instance
	next.FencingToken = holder.FencingToken
	switch {
	case next.NonIdempotentSent:
		finishJob(next, now, RunEnded{Outcome: OutcomeUnknown, Detail: "the holder stopped after a non-idempotent call was sent"})
	case next.Runs-next.EndedRuns >= MaxRuns:
		finishJob(next, now, RunEnded{Outcome: OutcomeFailed, Detail: "the job was started too often without an end"})
	default:
		next.Runs++
	}
}

// runEnded finishes the job, or starts another run after one that had no effect.
func (m *Machine) runEnded(next *Record, now time.Time, in RunEnded) {
	noEffect := in.Outcome == OutcomeFailed || in.Outcome == OutcomeNotRun
	if !noEffect || next.NonIdempotentSent || in.Permanent || !mayRunAgain(next, now, in.Harmful) {
		finishJob(next, now, in)
		return
	}
	next.Runs++
	if !in.Harmful {
		next.EndedRuns++
	}
}

// mayRunAgain reports whether a job may be run again after one that ended without effect.
func mayRunAgain(r *Record, now time.Time, harmful bool) bool {
	if harmful && r.Runs-r.EndedRuns >= MaxRuns {
		return false
	}
	return now.Sub(time.UnixMilli(r.CreatedMS)) < MaxRetryPeriod
}

func finishJob(next *Record, now time.Time, in RunEnded) {
	next.State = StateFinished
	next.FinishedMS = now.UnixMilli()
	next.Outcome = in.Outcome
	next.Detail = in.Detail
	next.Answer = in.Answer
}

// maxRetryDelay bounds the delay before a run that follows one without effect.
const maxRetryDelay = time.Minute

// retryDelay returns the delay before a run that follows one without effect: 1 s
// before the second run, doubled for each further run up to maxRetryDelay.
func retryDelay(runs int) time.Duration {
	const maxDoublings = 6
	return min(maxRetryDelay, time.Second<<min(max(runs-2, 0), maxDoublings))
}
