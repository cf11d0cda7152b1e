package stagework

import (
	"slices"
	"time"
)

// startMargin is how much earlier than needed a stage starts whose results would
// wait for other stages. It covers the spread of the stages' durations.
const startMargin = 200 * time.Millisecond

// StageSchedule tells when the stages of one request should start. Results take memory at
// their server from the start of their call until the model server has fetched them,
// so a stage beside a longer chain starts only as early as it must. StageSchedule is not
// safe for concurrent use.
type StageSchedule struct {
	// after lists the stages whose results each stage needs.
	after   [][]int
	skipped []bool
	typical []time.Duration
	// tail is the typical time from the end of a stage to that of the last one that
	// follows it.
	tail    []time.Duration
	started []time.Time
	ended   []bool
}

// NewStageSchedule returns the progress of stages before their start. Stages with a count
// of 0 are skipped. SetTypical must be called before the other methods.
func NewStageSchedule(after [][]int, counts []int) *StageSchedule {
	n := len(after)
	p := &StageSchedule{after: after, skipped: make([]bool, n), started: make([]time.Time, n), ended: make([]bool, n)}
	for i := range n {
		p.skipped[i] = i >= len(counts) || counts[i] == 0
	}
	return p
}

// SetTypicalDurations replaces the typical duration of each stage.
func (p *StageSchedule) SetTypicalDurations(typical []time.Duration) {
	p.typical = typical
	p.tail = make([]time.Duration, len(typical))
	// A pass for each stage reaches the longest path in any order of numbers.
	for range typical {
		for i := range typical {
			if p.skipped[i] {
				continue
			}
			for _, j := range p.after[i] {
				p.tail[j] = max(p.tail[j], p.tail[i]+typical[i])
			}
		}
	}
}

// Tail returns the typical time from the end of a stage to that of the last one that
// follows it.
func (p *StageSchedule) Tail(i int) time.Duration { return p.tail[i] }

// MarkStarted records that a stage starts.
func (p *StageSchedule) MarkStarted(i int, now time.Time) { p.started[i] = now }

// MarkEnded records that a stage has ended.
func (p *StageSchedule) MarkEnded(i int) { p.ended[i] = true }

// AnyEnded reports whether some stage has ended, whose work is lost if a later one is
// refused.
func (p *StageSchedule) AnyEnded() bool {
	return slices.Contains(p.ended, true)
}

// StartDelay returns how long a stage whose inputs are there may still wait so that it
// ends with the other stages. A stage with inputs does not wait, because they take
// memory meanwhile.
func (p *StageSchedule) StartDelay(i int, now time.Time) time.Duration {
	if len(p.after[i]) > 0 {
		return 0
	}
	var others time.Duration
	for j := range p.after {
		if j != i && !p.skipped[j] && !p.ended[j] {
			others = max(others, p.left(j, now)+p.tail[j])
		}
	}
	return max(0, others-p.typical[i]-p.tail[i]-startMargin)
}

// left returns the time that a stage is expected to take from now.
func (p *StageSchedule) left(j int, now time.Time) time.Duration {
	if p.started[j].IsZero() {
		return p.typical[j]
	}
	return max(0, p.typical[j]-now.Sub(p.started[j]))
}
