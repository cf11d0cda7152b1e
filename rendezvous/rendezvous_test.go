package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against keys that move although their member remains, and against members that
// get no keys.
func TestOnlyKeysOfARemovedMemberMove(t *testing.T) {
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

// Guards against an order that differs from repeated choices among the remaining
// members.
func TestOrderMatchesRepeatedChoice(t *testing.T) {
	c := qt.New(t)
	for i := range 100 {
		key := fmt.Sprint(i)
		remaining := []string{"a", "b", "c", "d", "e"}
		for _, member := range Order(key, remaining) {
			c.Assert(member, qt.Equals, Choose(key, remaining))
			remaining = slices.DeleteFunc(remaining, func(m string) bool { return m == member })
		}
		c.Assert(remaining, qt.HasLen, 0)
	}
}
