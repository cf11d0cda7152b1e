package route

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an order by priority at services whose requests all have the same one.
func TestServicesSharedByPriorities(t *testing.T) {
	c := qt.New(t)
	configuration := Configuration{Routes: []Route{
		{Name: "x", Priority: 0, Stages: []Stage{{Service: "a"}, {Service: "b"}}},
		{Name: "y", Priority: 1, Stages: []Stage{{Service: "b"}}},
	}}
	table := NewTable(configuration)
	c.Assert(table.SharedByPriorities("a"), qt.IsFalse)
	c.Assert(table.SharedByPriorities("b"), qt.IsTrue)
	configuration.Organisations = []Organisation{{HasPriority: true}}
	table = NewTable(configuration)
	c.Assert(table.SharedByPriorities("a"), qt.IsTrue)
	c.Assert(table.SharedByPriorities("c"), qt.IsFalse)
}

// Guards against a priority below 0 that counts as no use of the service.
func TestNegativePriorityDiffersFromOthers(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Configuration{Routes: []Route{
		{Name: "x", Priority: -1, Stages: []Stage{{Service: "a"}}},
		{Name: "y", Priority: 0, Stages: []Stage{{Service: "a"}}},
	}})
	c.Assert(table.SharedByPriorities("a"), qt.IsTrue)
}
