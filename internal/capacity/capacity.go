// Package capacity measures what each role of the system costs at several sizes
// and fits a straight line to each figure. docs/CAPACITY.md uses these lines to
// calculate the load at the sizes that the design page expects.
package capacity

import (
	"fmt"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Roles that can be measured.
const (
	RoleRequest       = "request"
	RoleRouting       = "routing"
	RoleLimits        = "limits"
	RoleMembership    = "membership"
	RoleConfiguration = "configuration"
	RoleClaims        = "claims"
	RoleJobs          = "jobs"
	RoleOrders        = "orders"
	RoleMetrics       = "metrics"
	RoleControl       = "control"
)

// Report holds all lines of a run.
type Report struct {
	Repeats int     `json:"repeats"`
	Lines   []Line  `json:"lines"`
	Seconds float64 `json:"seconds"`
}

// Line is one figure measured at several sizes, with the line fitted to the values.
type Line struct {
	Role   string `json:"role"`
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	// Per names what a size counts, such as instances or organisations.
	Per   string    `json:"per"`
	Sizes []float64 `json:"sizes"`
	// Values holds, for each size, the median of the repetitions.
	Values []float64 `json:"values"`
	// Base and Slope are those of the least-squares line, R2 its coefficient of
	// determination.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
	// Target is the size expected in two years. AtTarget is the value measured
	// at that size, or the value of the fitted line when Extrapolated is true.
	Target       float64 `json:"target"`
	AtTarget     float64 `json:"at_target"`
	Extrapolated bool    `json:"extrapolated"`
}

// figure is one measured value.
type figure struct {
	name, unit string
	value      float64
}

// sweep measures figures at several sizes.
type sweep struct {
	role, per string
	sizes     []int
	target    float64
	// singleRun measures each size once, because repetitions would give the same
	// figures.
	singleRun bool
	// setUp is called once before the first size. It returns the function that
	// measures one size, and tearDown, which is called after the last size.
	setUp func() (measure func(size int) ([]figure, error), tearDown func(), err error)
}

// withoutState returns the setUp of a sweep whose sizes share no state.
func withoutState(measure func(size int) ([]figure, error)) func() (func(int) ([]figure, error), func(), error) {
	return func() (func(int) ([]figure, error), func(), error) { return measure, func() {}, nil }
}

// sweeps lists all sweeps in the order of the report.
func sweeps() []sweep {
	return slices.Concat(requestSweeps(), routingSweeps(), limitsSweeps(), membershipSweeps(),
		configurationSweeps(), claimsSweeps(), jobsSweeps(), ordersSweeps(), metricsSweeps(), controlSweeps())
}

// Roles lists the roles in the order of the report.
func Roles() []string {
	var roles []string
	for _, s := range sweeps() {
		if !slices.Contains(roles, s.role) {
			roles = append(roles, s.role)
		}
	}
	return roles
}

// Run measures the role named by only, or all roles when it is empty. Each size is
// measured repeats times, except in sweeps that run once. The error reports an
// unknown role, fewer than one repetition or a failed measurement.
func Run(only string, repeats int) (Report, error) {
	if only != "" && !slices.Contains(Roles(), only) {
		return Report{}, fmt.Errorf("role %q does not exist, expected one of %s", only, strings.Join(Roles(), ", "))
	}
	if repeats < 1 {
		return Report{}, fmt.Errorf("%d repetitions, expected at least 1", repeats)
	}
	report := Report{Repeats: repeats}
	elapsed := stopwatch()
	for _, s := range sweeps() {
		if only != "" && s.role != only {
			continue
		}
		lines, err := s.run(repeats)
		if err != nil {
			return report, fmt.Errorf("measure %s per %s: %w", s.role, s.per, err)
		}
		report.Lines = append(report.Lines, lines...)
	}
	report.Seconds = elapsed().Seconds()
	return report, nil
}

func (s sweep) run(repeats int) ([]Line, error) {
	measure, tearDown, err := s.setUp()
	if err != nil {
		return nil, err
	}
	defer tearDown()
	if s.singleRun {
		repeats = 1
	}
	var lines []Line
	for _, size := range s.sizes {
		runs, err := repeat(measure, size, repeats)
		if err != nil {
			return nil, err
		}
		if lines == nil {
			lines = s.lines(runs[0])
		}
		for i := range lines {
			lines[i].Sizes = append(lines[i].Sizes, float64(size))
			lines[i].Values = append(lines[i].Values, median(runs, i))
		}
	}
	for i := range lines {
		lines[i].fit()
	}
	return lines, nil
}

// lines returns a Line without values for each figure.
func (s sweep) lines(figures []figure) []Line {
	lines := make([]Line, len(figures))
	for i, f := range figures {
		lines[i] = Line{Role: s.role, Figure: f.name, Unit: f.unit, Per: s.per, Target: s.target}
	}
	return lines
}

func repeat(measure func(int) ([]figure, error), size, repeats int) ([][]figure, error) {
	var runs [][]figure
	for range repeats {
		figures, err := measure(size)
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", size, err)
		}
		runs = append(runs, figures)
	}
	return runs, nil
}

// median returns the median over all runs of the figure at index.
func median(runs [][]figure, index int) float64 {
	var values []float64
	for _, run := range runs {
		values = append(values, run[index].value)
	}
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil)
}

// fit computes the least-squares line and the value at the target.
func (l *Line) fit() {
	if len(l.Sizes) > 1 {
		l.Base, l.Slope = stat.LinearRegression(l.Sizes, l.Values, nil, false)
	} else {
		l.Base = l.Values[0]
	}
	l.R2 = 1
	if slices.Min(l.Values) != slices.Max(l.Values) {
		l.R2 = stat.RSquared(l.Sizes, l.Values, nil, l.Base, l.Slope)
	}
	if i := slices.Index(l.Sizes, l.Target); i >= 0 {
		l.AtTarget = l.Values[i]
		return
	}
	l.Extrapolated = true
	l.AtTarget = l.Base + l.Slope*l.Target
}
