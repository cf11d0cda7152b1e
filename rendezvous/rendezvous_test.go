package rendezvous

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against keys that move although their member stays, and members that
// get no keys.
func TestOnlyKeysOfALeavingMemberMove(t *testing.T) {
	c := qt.New(t)
	before, after := []string{"a", "b", "c"}, []string{"c", "a"}
	counts := map[string]int{}
	for i := range 300 {
		key := fmt.Sprint(i)
		chosen := Choose(key, before)
		counts[chosen]++
		if chosen != "b" {
			c.Assert(Choose(key, after), qt.Equals, chosen)
		}
	}
	for _, member := range before {
		c.Assert(counts[member] > 50, qt.IsTrue)
	}
	c.Assert(Choose("x", nil), qt.Equals, "")
}
