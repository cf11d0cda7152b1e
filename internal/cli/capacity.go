package cli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/coltsfootdrift/coltsfootdrift/internal/capacity"
)

const capacityHelp = `Measures what each role costs at several sizes and fits a line per figure, in
this process and on loopback, in about two minutes. The roles are request,
routing, limits, membership, configuration, claims, jobs, orders and metrics.`

// capacityCommand measures what each role costs at several sizes.
type capacityCommand struct {
	streams
	Only    string `long:"only" value-name:"ROLE" description:"measure one role only"`
	Repeats int    `long:"repeats" default:"3" description:"number of repetitions; the report shows the median"`
	JSON    bool   `long:"json" description:"print the report as JSON"`
}

// Execute measures and prints the report.
func (c *capacityCommand) Execute([]string) error {
	report, err := capacity.Run(c.Only, c.Repeats)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(c.stdout).Encode(report)
	}
	return c.print(report)
}

// print writes one table per role and unit of size.
func (c *capacityCommand) print(report capacity.Report) error {
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "medians of %d repetitions, %.0f s\n", report.Repeats, report.Seconds)
	heading := ""
	for _, line := range report.Lines {
		if h := line.Role + " per " + line.Per; h != heading {
			heading = h
			fmt.Fprintf(table, "\n%s, sizes %v\n", h, line.Sizes)
			fmt.Fprintf(table, "figure\tunit\tmeasured\tbase\tslope\tR2\tat %g\n", line.Target)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%s\n",
			line.Figure, line.Unit, formatValues(line.Values), line.Base, line.Slope, line.R2, formatAtTarget(line))
	}
	return table.Flush()
}

func formatValues(all []float64) string {
	text := ""
	for i, value := range all {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%.4g", value)
	}
	return text
}

// formatAtTarget returns the value at the target's size, marked if it was not measured
// at that size.
func formatAtTarget(line capacity.Line) string {
	if line.Extrapolated {
		return fmt.Sprintf("%.4g (line)", line.AtTarget)
	}
	return fmt.Sprintf("%.4g", line.AtTarget)
}
