package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/coltsfootdrift/coltsfootdrift/internal/traffic"
)

// Report is the result of a demo.
type Report struct {
	traffic.Counts
	// Kinds holds the counts by deployment and request kind, as "tavares/dossier".
	Kinds map[string]*traffic.Counts `json:"kinds"`
	// ViolationDetails describes the first requests with a count that must be 0 and is
	// not.
	ViolationDetails []string `json:"faults,omitempty"`
	Instances        int      `json:"instances"`
	Seconds          float64  `json:"seconds"`
}

// maxViolations is the maximum number of requests in ViolationDetails.
const maxViolations = 10

// addViolation adds the description of a request with a count that must be 0 and is
// not.
func (r *Report) addViolation(deployment string, e traffic.Exchange) {
	if len(r.ViolationDetails) == maxViolations {
		return
	}
	description := deployment + "/" + e.Kind.Name + " " + e.ID + ":"
	for _, answer := range e.Answers {
		description += fmt.Sprintf(" [%s %s, %d bytes]", answer.Outcome, answer.Detail, len(answer.Body))
	}
	r.ViolationDetails = append(r.ViolationDetails, description)
}

func (r *Report) countsOf(deployment, kind string) *traffic.Counts {
	name := deployment + "/" + kind
	if r.Kinds[name] == nil {
		r.Kinds[name] = &traffic.Counts{}
	}
	return r.Kinds[name]
}

// sumKinds sets the totals to the sums over all kinds.
func (r *Report) sumKinds() {
	r.Counts = traffic.Counts{}
	for _, counts := range r.Kinds {
		r.Counts.Add(*counts)
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
	for _, description := range r.ViolationDetails {
		fmt.Fprintln(w, description)
	}
	_, err := fmt.Fprintf(w, "\n%d entry instances, %d streams, %d repeated keys, %.1f s\n",
		r.Instances, r.Streams, r.RepeatedKeys, r.Seconds)
	return err
}

func printCounts(w io.Writer, name string, c traffic.Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, c.Requests, c.Completed, c.NotRun, c.Failed,
		c.Unknown, c.Lost, c.Doubled, c.MixedUp, c.NotRunButRan)
}
