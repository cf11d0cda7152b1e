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
	Kinds     map[string]*traffic.Counts `json:"kinds"`
	Instances int                        `json:"instances"`
	Seconds   float64                    `json:"seconds"`
}

func (r *Report) kind(deployment, kind string) *traffic.Counts {
	name := deployment + "/" + kind
	if r.Kinds[name] == nil {
		r.Kinds[name] = &traffic.Counts{}
	}
	return r.Kinds[name]
}

// total sums the kinds up.
func (r *Report) total() {
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
	_, err := fmt.Fprintf(w, "\n%d entry instances, %d streams, %d repeated keys, %.1f s\n",
		r.Instances, r.Streams, r.RepeatedKeys, r.Seconds)
	return err
}

func printCounts(w io.Writer, name string, c traffic.Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, c.Requests, c.Completed, c.NotRun, c.Failed,
		c.Unknown, c.Lost, c.Doubled, c.MixedUp, c.NotRunButRan)
}
