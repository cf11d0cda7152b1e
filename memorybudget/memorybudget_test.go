package memorybudget

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a plan that promises more than the machine has, or that has no room for one
// large request.
func TestPlanFitsTheMachine(t *testing.T) {
	c := qt.New(t)
	for _, m := range []Machine{{48 * mb, 600}, {136 * mb, 2870}, {0, 20000}, {536 * mb, 8192}, {1 * mb, 10}} {
		p := NewPlan(m)
		c.Check(p.Clients.Connections > 0 && p.Ready.Connections > 0 && p.Peers.Connections > 0, qt.IsTrue)
		if m.Descriptors < 600 {
			continue
		}
		used := p.Ready.Connections + p.Metrics.Connections + p.Peers.Connections + 2*p.Clients.Connections
		c.Check(used < m.Descriptors, qt.IsTrue, qt.Commentf("%+v: %+v", m, p))
		live := int64(p.Clients.Connections)*ConnectionBytes + p.Clients.HeadBytes + p.Clients.BodyBytes + p.AnswerBytes + p.Peers.HeadBytes + p.Peers.BodyBytes
		memory := m.MemoryBytes
		if memory == 0 {
			memory = DefaultMemoryBytes
		}
		c.Check(baseBytes+collectorFactor*live <= memory, qt.IsTrue, qt.Commentf("%+v: %+v", m, p))
		c.Check(p.Clients.HeadBytes > HeadBytes(16*kb, 2600), qt.IsTrue)
	}
}

// Guards against a machine with very many descriptors whose peers may hold most of its memory
// with connections alone.
func TestPeersHoldASmallPartOfTheMemory(t *testing.T) {
	c := qt.New(t)
	for _, descriptors := range []int{20000, 1 << 20} {
		p := NewPlan(Machine{Descriptors: descriptors})
		held := collectorFactor * ConnectionBytes * p.Peers.Connections
		c.Check(held < DefaultMemoryBytes/4, qt.IsTrue, qt.Commentf("%d descriptors: %+v", descriptors, p.Peers))
	}
}
