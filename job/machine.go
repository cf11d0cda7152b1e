package job

import (
	"slices"
	"time"
)

// Outcomes that the core sets or tells apart.
const (
	OutcomeUnknown = "unknown"
	OutcomeFailed  = "failed"
	OutcomeNotRun  = "not_run"
)

// Owner is an instance with its fencing number.
type Owner struct {
	Instance string
	Fence    int64
}

// MayTakeOver reports whether an instance may take a job over. holderVersion is the
// version of the key of the record's holder, 0 when the key is absent; it must
// have been read after the record.
func MayTakeOver(record Record, holderVersion int64) bool {
	if record.State != StateAccepted {
		return false
	}
	return record.Holder == "" || holderVersion != record.Fence
}

// Input is an event of a running job.
type Input interface{ input() }

// StartRun starts a run of a job under a new owner.
type StartRun struct{ Owner Owner }

// StageDone reports a stage whose result is stored.
type StageDone struct{ Result Value }

// NonIdempotentCallStarting reports that a non-idempotent call is about to be sent.
type NonIdempotentCallStarting struct{}

// RunEnded reports the end of a run.
type RunEnded struct {
	Outcome string
	Detail  string
	Answer  Value
}

// HandOver frees the job for another instance.
type HandOver struct{}

// RecordStored reports that the last record that was handed out is in the store.
type RecordStored struct{ Version int64 }

// WriteConflict reports that the record has another version: another instance wrote it.
type WriteConflict struct{}

// LeaseLost reports that the holder's lease is not valid any more.
type LeaseLost struct{}

func (StartRun) input()                  {}
func (StageDone) input()                 {}
func (NonIdempotentCallStarting) input() {}
func (RunEnded) input()                  {}
func (HandOver) input()                  {}
func (RecordStored) input()              {}
func (WriteConflict) input()             {}
func (LeaseLost) input()                 {}

// Output is what the adapter does next.
type Output interface{ output() }

// WriteRecord replaces the record if it has the expected version. The adapter answers
// with Stored or Taken before the next input.
type WriteRecord struct {
	Record          Record
	ExpectedVersion int64
}

// StopRun ends the run without another record.
type StopRun struct{}

// RunStages starts the stages that are not finished after Delay.
type RunStages struct{ Delay time.Duration }

func (WriteRecord) output() {}
func (StopRun) output()     {}
func (RunStages) output()   {}

// Machine is one job at its holder. It is not safe for concurrent use.
type Machine struct {
	record  Record
	version int64
	next    Record
	stopped bool
}

// NewMachine returns the machine of a record with the given version.
func NewMachine(record Record, version int64) *Machine {
	return &Machine{record: record, version: version}
}

// Record returns what is known to be in the store.
func (m *Machine) Record() Record { return m.record }

// Step takes one input and returns what to do.
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
		startRun(&next, now, in.Owner)
	case StageDone:
		next.Stages = append(slices.Clone(next.Stages), in.Result)
	case NonIdempotentCallStarting:
		next.NonIdempotentSent = true
	case RunEnded:
		m.runEnded(&next, now, in)
	case HandOver:
		next.Holder = ""
		next.Fence = 0
		// A planned stop does not count as a run, so that a fleet can be restarted
		// any number of times during a long job.
		next.Runs--
	}
	m.next = next
	return []Output{WriteRecord{Record: next, ExpectedVersion: m.version}}
}

func (m *Machine) recordStored(in RecordStored) []Output {
	was := m.record
	m.record = m.next
	m.version = in.Version
	switch {
	case m.record.State == StateFinished || m.record.Holder == "":
		m.stopped = true
		return []Output{StopRun{}}
	case m.record.Runs == was.Runs:
		return nil
	case m.record.Fence == was.Fence:
		return []Output{RunStages{Delay: retryDelay(m.record.Runs)}}
	}
	return []Output{RunStages{}}
}

// startRun starts a run, or ends the job when it must not run again: a
// non-idempotent call of an earlier run may have been carried out, and a job
// that never ends is given up.
func startRun(next *Record, now time.Time, owner Owner) {
	next.Holder = owner.Instance
	next.Fence = owner.Fence
	switch {
	case next.NonIdempotentSent:
		finishJob(next, now, RunEnded{Outcome: OutcomeUnknown, Detail: "the holder stopped after a non-idempotent call was sent"})
	case next.Runs >= MaxRuns:
		finishJob(next, now, RunEnded{Outcome: OutcomeFailed, Detail: "the job was started too often without an end"})
	default:
		next.Runs++
	}
}

// runEnded finishes the job, or starts it again after a run that had no effect.
func (m *Machine) runEnded(next *Record, now time.Time, in RunEnded) {
	effectless := in.Outcome == OutcomeFailed || in.Outcome == OutcomeNotRun
	if effectless && !next.NonIdempotentSent && next.Runs < MaxRuns {
		next.Runs++
		return
	}
	finishJob(next, now, in)
}

func finishJob(next *Record, now time.Time, in RunEnded) {
	next.State = StateFinished
	next.FinishedMS = now.UnixMilli()
	next.Outcome = in.Outcome
	next.Detail = in.Detail
	next.Answer = in.Answer
}

// retryDelay returns how long to wait before a run that follows one without
// effect: 1 s before the second, doubled for each further one.
func retryDelay(runs int) time.Duration {
	return time.Second << max(runs-2, 0)
}
