package experiment

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against parts of prompts that end servers on and on, in any variant of the
// experiment, and against sound requests that are refused or delayed because of them.
func TestCrashingPartsAreStoppedInEachVariant(t *testing.T) {
	c := qt.New(t)
	report, err := Run("crashing", 1, 10)
	c.Assert(err, qt.IsNil)
	for _, row := range report.Rows {
		switch {
		case row.Figure == "sent late most" && row.Policy == PolicyColtsfootdrift:
			c.Check(row.High <= 3, qt.IsTrue, qt.Commentf("%v requests were sent after the bound", row.High))
		case row.Figure == "sound begun least" && row.Policy == PolicyColtsfootdrift:
			c.Check(row.Low >= 0.5, qt.IsTrue, qt.Commentf("%v of the sound requests began", row.Low))
		case row.Figure == "sent late most" && row.Policy == policyInstanceAlone:
			c.Check(row.Low > 3, qt.IsTrue, qt.Commentf("instances that count alone are within the bound"))
		case row.Figure == "sound begun least" && row.Policy == policyThreeStrikes:
			c.Check(row.High < 0.5, qt.IsTrue, qt.Commentf("a plain count is within the bound"))
		}
	}
}

// Guards against an experiment whose figures differ between runs with the same seed.
func TestCrashingExperimentRepeats(t *testing.T) {
	c := qt.New(t)
	first, err := Run("crashing", 7, 1)
	c.Assert(err, qt.IsNil)
	second, err := Run("crashing", 7, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.DeepEquals, first)
}
