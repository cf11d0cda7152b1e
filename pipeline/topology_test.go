package pipeline

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a stage that runs before the stages whose results it reads.
func TestTopologicalOrderFollowsPredecessors(t *testing.T) {
	c := qt.New(t)
	p := Pipeline{Name: "p", Stages: []Stage{
		{Name: "answer", After: []string{"rank", "fetch"}},
		{Name: "rank", After: []string{"fetch"}},
		{Name: "fetch", After: []string{"encode"}},
		{Name: "encode"},
	}}
	p.Stages[3].After = nil
	// A stage without After reads the preceding stage, here "fetch".
	_, err := p.TopologicalOrder()
	var cycle *CycleError
	c.Assert(errors.As(err, &cycle), qt.IsTrue)

	p.Stages = []Stage{
		{Name: "encode"},
		{Name: "answer", After: []string{"rank", "fetch"}},
		{Name: "rank", After: []string{"fetch"}},
		{Name: "fetch", After: []string{"encode"}},
	}
	order, err := p.TopologicalOrder()
	c.Assert(err, qt.IsNil)
	c.Assert(order, qt.DeepEquals, []int{0, 3, 2, 1})
}
