package capacity

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a fit that swaps base and slope, uses the mean instead of the
// median, or extrapolates although the target size was measured.
func TestSweepFitsMedians(t *testing.T) {
	c := qt.New(t)
	values := map[int][]float64{1: {7, 5, 900}, 2: {7, 0, 9}, 4: {11, 11, 1}}
	s := sweep{role: "r", per: "thing", sizes: []int{1, 2, 4}, target: 4, setUp: withoutState(func(size int) ([]figure, error) {
		value := values[size][0]
		values[size] = values[size][1:]
		return []figure{{"f", "B", value}}, nil
	})}
	lines, err := s.run(3)
	c.Assert(err, qt.IsNil)
	line := lines[0]
	c.Assert(line.Values, qt.DeepEquals, []float64{7, 7, 11})
	c.Assert(line.AtTarget, qt.Equals, 11.0)
	c.Assert(line.Extrapolated, qt.IsFalse)
	straight := Line{Sizes: []float64{1, 2, 3}, Values: []float64{5, 7, 9}, Target: 10}
	straight.fit()
	c.Assert([]float64{straight.Base, straight.Slope, straight.R2, straight.AtTarget}, qt.DeepEquals, []float64{3, 2, 1, 23})
	c.Assert(straight.Extrapolated, qt.IsTrue)
}

// Checks figures that are counted and so don't depend on the machine against the
// bounds of the design page: heartbeats of at most 4 KB/s for each instance and at
// most 160 writes/s of the claim shards. Also guards against members of a replaced
// failure domain that don't discover each other.
func TestCountedFigures(t *testing.T) {
	c := qt.New(t)
	fleet, err := newWarmFleet(40, 6)
	c.Assert(err, qt.IsNil)
	figures, err := fleet.measureSteadyState(40)
	c.Assert(err, qt.IsNil)
	c.Assert(figures[2].name, qt.Equals, "bytes sent by the busiest instance")
	c.Assert(figures[2].value > 0 && figures[2].value <= 4096, qt.IsTrue, qt.Commentf("%v", figures[2]))
	figures, err = measureClaimRate(peakClaimsPerSecond)
	c.Assert(err, qt.IsNil)
	c.Assert(figures[0].value <= 160, qt.IsTrue, qt.Commentf("%v", figures[0]))
	figures, err = measureReplacement(6)
	c.Assert(err, qt.IsNil)
	c.Assert(figures[2].value, qt.Equals, 0.0)
}
