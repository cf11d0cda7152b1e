package experiment

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a change of the stage queue that loses its advantage during a burst:
// baselines that share no queue or call, or refuse no request, must not answer as many
// requests on time. Guards also against a rule for the limits of servers that exceeds them or
// leaves them unused.
func TestStagePoliciesBeatTheirBaselines(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"stages", "admission", "chains", "owners", "limits"} {
		report, err := Run(name, 1, 3)
		c.Assert(err, qt.IsNil)
		for _, goal := range report.Goals {
			c.Check(goal.Reached, qt.IsTrue, qt.Commentf("%s: %s is %.3f", name, goal.Figure, goal.Median))
		}
	}
}

// Guards against an experiment whose figures differ between runs with the same seed.
func TestStageExperimentsRepeat(t *testing.T) {
	c := qt.New(t)
	first, err := Run("stages", 7, 1)
	c.Assert(err, qt.IsNil)
	second, err := Run("stages", 7, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.DeepEquals, first)
}
