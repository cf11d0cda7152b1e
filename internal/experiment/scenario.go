package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Goal is a bound on one figure of PolicyColtsfootdrift.
type Goal struct {
	Figure string `json:"figure"`
	// AtLeast is true when the figure must not be below the bound, and false when it
	// must not be above.
	AtLeast bool    `json:"at_least"`
	Bound   float64 `json:"bound"`
	Median  float64 `json:"median"`
	Reached bool    `json:"reached"`
}

// Row is one figure of one policy, with the median, the lowest and the highest value of
// all repetitions.
type Row struct {
	Policy string  `json:"policy"`
	Figure string  `json:"figure"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// Report is the outcome of an experiment.
type Report struct {
	Name    string `json:"experiment"`
	Seed    uint64 `json:"seed"`
	Repeats int    `json:"repeats"`
	Rows    []Row  `json:"rows"`
	Goals   []Goal `json:"goals"`
}

// scenario is one experiment.
type scenario struct {
	policies []string
	// figures is the order of the figures in the table.
	figures []string
	goals   []Goal
	// trial measures one policy once.
	trial func(policy string, seed uint64) (map[string]float64, error)
	// derive adds figures that compare the policies within one repetition.
	derive func(byPolicy map[string]map[string]float64)
}

var scenarios = map[string]scenario{
	"swing":        swing,
	"straggler":    straggler,
	"head-of-line": headOfLine,
	"regions":      regions,
	"overhead":     overhead,
	"stages":       stages,
	"admission":    admission,
	"chains":       chains,
	"owners":       owners,
	"crashing":     crashing,
	"limits":       limits,
	"views":        views,
}

// Run measures all policies of an experiment in turn and repeats this. Within one
// repetition all policies get the same arrivals. The policy that starts changes with
// each repetition.
func Run(name string, seed uint64, repeats int) (Report, error) {
	s, ok := scenarios[name]
	if !ok {
		return Report{}, fmt.Errorf("experiment %q does not exist", name)
	}
	values := map[[2]string][]float64{}
	for repetition := range repeats {
		byPolicy := map[string]map[string]float64{}
		for turn := range s.policies {
			policy := s.policies[(turn+repetition)%len(s.policies)]
			figures, err := s.trial(policy, seed+uint64(repetition))
			if err != nil {
				return Report{}, fmt.Errorf("experiment %s, %s: %w", name, policy, err)
			}
			byPolicy[policy] = figures
		}
		if s.derive != nil {
			s.derive(byPolicy)
		}
		for policy, figures := range byPolicy {
			for figure, value := range figures {
				values[[2]string{policy, figure}] = append(values[[2]string{policy, figure}], value)
			}
		}
	}
	return s.report(name, seed, repeats, values), nil
}

func (s scenario) report(name string, seed uint64, repeats int, values map[[2]string][]float64) Report {
	report := Report{Name: name, Seed: seed, Repeats: repeats}
	for _, figure := range s.figures {
		for _, policy := range s.policies {
			sample := values[[2]string{policy, figure}]
			if len(sample) == 0 {
				continue
			}
			slices.Sort(sample)
			row := Row{policy, figure, median(sample), sample[0], sample[len(sample)-1]}
			report.Rows = append(report.Rows, row)
		}
	}
	for _, goal := range s.goals {
		goal.Median = median(values[[2]string{PolicyColtsfootdrift, goal.Figure}])
		order := cmp.Compare(goal.Median, goal.Bound)
		goal.Reached = order == 0 || (order > 0) == goal.AtLeast
		report.Goals = append(report.Goals, goal)
	}
	return report
}

// median returns the median of sorted values, or 0 when there are none.
func median(sorted []float64) float64 {
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// p99 returns the 99th percentile of the latency in milliseconds, without requests whose
// intended send time is before from.
func (r *results) p99(s selection, from time.Duration) float64 {
	return float64(r.latency(s, from).ValueAtQuantile(99)) / 1000
}
