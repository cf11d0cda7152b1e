package rendezvous

import (
	"fmt"
	"slices"
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

// Guards against an order other than that of choosing again without the members
// chosen before.
func TestOrderIsThatOfRepeatedChoice(t *testing.T) {
	c := qt.New(t)
	for i := range 100 {
		key := fmt.Sprint(i)
		left := []string{"a", "b", "c", "d", "e"}
		for _, member := range Order(key, left) {
			c.Assert(member, qt.Equals, Choose(key, left))
			left = slices.DeleteFunc(left, func(m string) bool { return m == member })
		}
		c.Assert(left, qt.HasLen, 0)
	}
}
