package cli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/coltsfootdrift/coltsfootdrift/internal/experiment"
)

const experimentHelp = `Measures a design decision against baselines, side by side in one run: swing,
straggler, head-of-line, regions or overhead on loopback, views over a simulated network,
stages, admission, owners, crashing or limits in virtual time. Each takes less than a minute with
two repetitions, views two minutes.`

// experimentCommand runs one experiment.
type experimentCommand struct {
	streams
	Seed    uint64 `long:"seed" default:"1" description:"seed of the arrivals"`
	Repeats int    `long:"repeats" default:"2" description:"number of repetitions"`
	JSON    bool   `long:"json" description:"print the report as JSON"`
	Args    struct {
		Name string `positional-arg-name:"NAME" required:"true" description:"the experiment"`
	} `positional-args:"true"`
}

// Execute runs the experiment and prints its report.
func (c *experimentCommand) Execute([]string) error {
	report, err := experiment.Run(c.Args.Name, c.Seed, c.Repeats)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(c.stdout).Encode(report)
	}
	return c.print(report)
}

func (c *experimentCommand) print(report experiment.Report) error {
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, seed %d, %d repetitions\n", report.Name, report.Seed, report.Repeats)
	fmt.Fprintln(table, "figure\tpolicy\tmedian\tlow\thigh")
	for _, row := range report.Rows {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\n", row.Figure, row.Policy, row.Median, row.Low, row.High)
	}
	for _, goal := range report.Goals {
		relation, result := "at most", "missed"
		if goal.AtLeast {
			relation = "at least"
		}
		if goal.Reached {
			result = "reached"
		}
		fmt.Fprintf(table, "goal: %s %s %g: %.3f, %s\n", goal.Figure, relation, goal.Bound, goal.Median, result)
	}
	return table.Flush()
}
