package stagework

import (
	"slices"
	"time"
)

// startMargin is how much earlier than necessary a delayed stage starts. It covers the
// variance of the stages' durations.
const startMargin = 200 * time.Millisecond

// StageSchedule decides when the stages of one request start. Results occupy memory of
// their server from the start of their call until the model server has fetched them, so
// a stage that runs in parallel with a longer chain starts only as early as necessary.
// It is not safe for concurrent use.
type StageSchedule struct {
	// dependencies lists for each stage the stages whose results it needs.
	dependencies [][]int
	omitted      []bool
	// typical is the typical duration of each stage.
	typical []time.Duration
	// tail is for each stage the typical time from its end to the end of the last
	// stage that depends on it.
	tail    []time.Duration
	started []time.Time
	ended   []bool
}

// NewStageSchedule returns a schedule with no stage started. It takes for each stage the
// stages whose results it needs and its number of pieces; stages without pieces are
// omitted. SetTypicalDurations must be called before the other methods.
func NewStageSchedule(dependencies [][]int, counts []int) *StageSchedule {
	n := len(dependencies)
	s := &StageSchedule{dependencies: dependencies, omitted: make([]bool, n), started: make([]time.Time, n), ended: make([]bool, n)}
	for i := range n {
		s.omitted[i] = i >= len(counts) || counts[i] == 0
	}
	return s
}

// SetTypicalDurations replaces the typical durations of all stages.
func (s *StageSchedule) SetTypicalDurations(typical []time.Duration) {
	s.typical = typical
	s.tail = make([]time.Duration, len(typical))
	// One pass per stage finds the longest paths, whatever the order of the stages.
	for range typical {
		for i := range typical {
			if s.omitted[i] {
				continue
			}
			for _, j := range s.dependencies[i] {
				s.tail[j] = max(s.tail[j], s.tail[i]+typical[i])
			}
		}
	}
}

// Tail returns the typical time from the end of a stage to the end of the last stage
// that depends on it, directly or not.
func (s *StageSchedule) Tail(i int) time.Duration { return s.tail[i] }

// MarkStarted records that a stage starts.
func (s *StageSchedule) MarkStarted(i int, now time.Time) { s.started[i] = now }

// MarkEnded records that a stage has ended.
func (s *StageSchedule) MarkEnded(i int) { s.ended[i] = true }

// AnyEnded reports whether a stage has ended. Its work is lost if a later stage is
// refused.
func (s *StageSchedule) AnyEnded() bool {
	return slices.Contains(s.ended, true)
}

// StartDelay returns how long a stage that is ready to start can be delayed without
// delaying the end of all stages. It is 0 for a stage with inputs, because these occupy
// memory until it has fetched them.
func (s *StageSchedule) StartDelay(i int, now time.Time) time.Duration {
	if len(s.dependencies[i]) > 0 {
		return 0
	}
	var longest time.Duration
	for j := range s.dependencies {
		if j != i && !s.omitted[j] && !s.ended[j] {
			longest = max(longest, s.remaining(j, now)+s.tail[j])
		}
	}
	return max(0, longest-s.typical[i]-s.tail[i]-startMargin)
}

// remaining returns the time from now to the expected end of a stage.
func (s *StageSchedule) remaining(j int, now time.Time) time.Duration {
	if s.started[j].IsZero() {
		return s.typical[j]
	}
	return max(0, s.typical[j]-now.Sub(s.started[j]))
}
