package events

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an event that is missing in the catalogue or has another level or
// message there.
func TestEveryEventIsCatalogued(t *testing.T) {
	c := qt.New(t)
	catalogue, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	for id, event := range All() {
		c.Check(string(catalogue), qt.Contains, fmt.Sprintf("| %d | %s | %s |", id, event.Level, event.Message))
	}
}
