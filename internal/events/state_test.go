package events

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an event of claims and jobs that the catalogue lacks or
// describes with another level or message.
func TestStateEventsAreCatalogued(t *testing.T) {
	c := qt.New(t)
	catalogue, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	for id, event := range All() {
		if id >= 2000 && id < 3000 {
			c.Check(string(catalogue), qt.Contains, fmt.Sprintf("| %d | %s | %s |", id, event.Level, event.Message))
		}
	}
}
