package examples

import (
	"io/fs"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Guards against an example that the publish command refuses.
func TestExamplesHaveNoMistakes(t *testing.T) {
	c := qt.New(t)
	for _, name := range Deployments() {
		folder, err := fs.Sub(Files, name)
		c.Assert(err, qt.IsNil)
		_, mistakes, err := pipeline.Check(folder)
		c.Assert(err, qt.IsNil)
		c.Assert(mistakes, qt.HasLen, 0, qt.Commentf("%v", mistakes))
	}
}
