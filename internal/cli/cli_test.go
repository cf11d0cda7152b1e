package cli

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a usage mistake that exits with the code of success.
func TestUnknownArgumentIsUsageError(t *testing.T) {
	c := qt.New(t)
	var stdout, stderr bytes.Buffer
	c.Assert(Run([]string{"--no-such-flag"}, &stdout, &stderr), qt.Equals, ExitUsage)
	c.Assert(stderr.String(), qt.Contains, "no-such-flag")
	c.Assert(stdout.String(), qt.Equals, "")
}
