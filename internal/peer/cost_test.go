package peer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// fleetSizes are the fleet sizes at which the cost is measured.
var fleetSizes = []struct{ instances, domains int }{{3, 1}, {9, 3}, {40, 3}, {390, 18}}

// Limits of the design page, sections 2, 8.4 and 1. Bytes and messages are those that
// one instance sends.
const (
	maxBytesPerSecond    = 4096
	maxMessagesPerSecond = 2.2
	maxDrainRounds       = 3
	maxRevisionRounds    = 13
)

// Guards against control traffic that grows with the fleet, and against drain
// markers and revisions that reach some instances too late, also at a datagram loss
// of 5 %.
func TestControlCostIsConstantInFleetSize(t *testing.T) {
	for _, size := range fleetSizes {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d instances, loss %v", size.instances, loss), func(t *testing.T) {
				measureFleet(qt.New(t), newFleet(t, size.instances, size.domains, loss))
			})
		}
	}
}

func measureFleet(c *qt.C, f *fleet) {
	for range 25 {
		f.round()
	}
	f.sent, f.bytes, f.largestBytes = 0, 0, 0
	const seconds = 10
	for range seconds {
		f.round()
	}
	perInstance := float64(seconds * len(f.order))
	messages, bytes := float64(f.sent)/perInstance, float64(f.bytes)/perInstance

	first := f.instances[f.order[0]]
	domain := first.Self().FailureDomain
	f.emit(first, first.MarkDraining(f.now, "backend-server-0001", 1, time.Minute))
	f.deliver()
	drained := func(s *membership.State) bool { return len(s.Draining(f.now)) == 1 }
	ownRounds := f.roundsUntil(func(s *membership.State) bool { return s.Self().FailureDomain != domain || drained(s) })
	allRounds := ownRounds + f.roundsUntil(drained)
	f.emit(first, first.SetRevision(7, true))
	f.deliver()
	revisionRounds := f.roundsUntil(func(s *membership.State) bool { return s.Self().Revision == 7 })
	c.Logf("per instance and second: %.2f messages, %.0f bytes, largest %d bytes; rounds: drain marker %d in the failure domain, %d in all, revision %d",
		messages, bytes, f.largestBytes, ownRounds, allRounds, revisionRounds)

	c.Assert(bytes <= maxBytesPerSecond, qt.IsTrue)
	c.Assert(messages <= maxMessagesPerSecond, qt.IsTrue)
	c.Assert(f.largestBytes <= membership.MaxMessageBytes, qt.IsTrue)
	c.Assert(ownRounds <= maxDrainRounds, qt.IsTrue)
	c.Assert(revisionRounds <= maxRevisionRounds, qt.IsTrue)
}

// Measures the processor time that one instance spends in one second on heartbeats:
// sending, encoding, decoding and receiving.
func BenchmarkInstanceSecond(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			f := newFleet(b, size.instances, size.domains, 0)
			for range 30 {
				f.round()
			}
			for b.Loop() {
				f.round()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size.instances), "ns/instance-second")
		})
	}
}
