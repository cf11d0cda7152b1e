package proof

import (
	"testing"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// Guards against faulty answers of a backend server that are passed on to a caller, and
// against non-idempotent calls that are sent again although they may have run.
func TestFaultyAnswers(t *testing.T) {
	f := startScenario(t, "faulty-answers")
	faults := []standin.Fault{standin.FaultGarbage, standin.FaultHalf, standin.FaultCrossed, standin.FaultError, standin.FaultCloseDelimited, standin.FaultRefuse}
	share := map[standin.Fault]float64{standin.FaultTooMuch: 0.002}
	for _, fault := range faults {
		share[fault] = 0.02
	}
	for _, server := range f.cluster.Servers {
		server.Backend().SetFaults(standin.BackendFaults{Share: share})
	}
	l := f.startLoad()
	// A refused request does not run, so there are no runs with FaultRefuse.
	for _, fault := range append(faults[:5:5], standin.FaultTooMuch) {
		f.waitUntil(string(fault), func() bool { return f.runsWithFault(fault) > 0 })
	}
	l.waitMore(150, atMostOnce)
	l.verify("garbage, half, crossed, error, close-delimited, refused 2 % each", "too much 0.2 %")
}

// runsWithFault returns the number of runs with an injected fault.
func (f *fleet) runsWithFault(fault standin.Fault) int {
	n := 0
	for _, run := range f.cluster.Runs() {
		if run.Fault == fault {
			n++
		}
	}
	return n
}
