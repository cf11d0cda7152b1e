// Package traffic generates requests of callers and verifies the answers against the
// runs that the stand-in backend servers recorded. The demo and the fault scenarios
// use it.
package traffic

import "github.com/coltsfootdrift/coltsfootdrift/internal/entry"

// Counts counts requests by result. Each request has one of the four outcomes or is
// lost.
type Counts struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	// Lost counts requests without a final answer or whose whole answer did not
	// arrive.
	Lost int `json:"lost"`
	// Doubled counts the runs of a non-idempotent stage after the first one for a key.
	Doubled int `json:"doubled"`
	// MixedUp counts answers that belong to another request.
	MixedUp int `json:"mixed_up"`
	// NotRunButRan counts requests that a backend server ran although the caller got
	// the outcome not_run.
	NotRunButRan int `json:"not_run_but_ran"`
	// Streams counts streamed requests, RepeatedKeys those sent again with their key.
	Streams      int `json:"streams"`
	RepeatedKeys int `json:"repeated_keys"`
}

// Violations returns the sum of the counts that must be 0: lost, doubled and mixed-up
// requests, and those that ran although their outcome is not_run.
func (c Counts) Violations() int {
	return c.Lost + c.Doubled + c.MixedUp + c.NotRunButRan
}

// Add adds other counts to c.
func (c *Counts) Add(other Counts) {
	c.Requests += other.Requests
	c.Completed += other.Completed
	c.NotRun += other.NotRun
	c.Failed += other.Failed
	c.Unknown += other.Unknown
	c.Lost += other.Lost
	c.Doubled += other.Doubled
	c.MixedUp += other.MixedUp
	c.NotRunButRan += other.NotRunButRan
	c.Streams += other.Streams
	c.RepeatedKeys += other.RepeatedKeys
}

// count adds the outcome of one request.
func (c *Counts) count(outcome entry.Outcome) {
	switch outcome {
	case entry.OutcomeCompleted:
		c.Completed++
	case entry.OutcomeNotRun:
		c.NotRun++
	case entry.OutcomeFailed:
		c.Failed++
	case entry.OutcomeUnknown:
		c.Unknown++
	default:
		c.Lost++
	}
}
