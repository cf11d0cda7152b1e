package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
)

// Counts says what became of requests. Each request has one of the four outcomes
// or is lost.
type Counts struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	// Lost counts requests without a final answer or whose whole answer did not
	// arrive.
	Lost int `json:"lost"`
	// Doubled counts runs of a once stage beyond the first one for a key.
	Doubled int `json:"doubled"`
	// MixedUp counts answers that belong to another request.
	MixedUp int `json:"mixed_up"`
	// NotRunButRan counts requests that a backend server ran although the caller
	// was told not_run.
	NotRunButRan int `json:"not_run_but_ran"`
	// Streams and RepeatedKeys count requests of these sorts.
	Streams      int `json:"streams"`
	RepeatedKeys int `json:"repeated_keys"`
}

// Faulty returns the sum of the counts that must be 0.
func (c Counts) Faulty() int {
	return c.Lost + c.Doubled + c.MixedUp + c.NotRunButRan
}

func (c *Counts) add(other Counts) {
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

// Report is the result of a demo.
type Report struct {
	Counts
	// Kinds holds the counts by deployment and request kind, as "tavares/dossier".
	Kinds     map[string]*Counts `json:"kinds"`
	Instances int                `json:"instances"`
	Seconds   float64            `json:"seconds"`
}

func (r *Report) kind(deployment, kind string) *Counts {
	name := deployment + "/" + kind
	if r.Kinds[name] == nil {
		r.Kinds[name] = &Counts{}
	}
	return r.Kinds[name]
}

// total sums the kinds up.
func (r *Report) total() {
	r.Counts = Counts{}
	for _, counts := range r.Kinds {
		r.Counts.add(*counts)
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\trequests\tcompleted\tnot_run\tfailed\tunknown\tlost\tdoubled\tmixed_up\tnot_run_but_ran\t")
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		printCounts(table, name, *r.Kinds[name])
	}
	printCounts(table, "total", r.Counts)
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%d entry instances, %d streams, %d repeated keys, %.1f s\n",
		r.Instances, r.Streams, r.RepeatedKeys, r.Seconds)
	return err
}

func printCounts(w io.Writer, name string, c Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, c.Requests, c.Completed, c.NotRun, c.Failed,
		c.Unknown, c.Lost, c.Doubled, c.MixedUp, c.NotRunButRan)
}
