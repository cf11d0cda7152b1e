package config

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an audit trail in which the entry after a truncated difference
// doesn't start on a new line.
func TestBoundedTextEndsWithANewline(t *testing.T) {
	c := qt.New(t)
	long := make(Difference, MaxDifferenceBytes)
	text := long.BoundedText()
	c.Assert(len(text) <= MaxDifferenceBytes, qt.IsTrue)
	c.Assert(strings.HasSuffix(text, "...\n"), qt.IsTrue)
}
