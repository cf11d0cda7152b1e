package regions

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a list that binds when it is empty, and against two lists without a common
// region that bind nothing together.
func TestBothListsBind(t *testing.T) {
	for name, test := range map[string]struct {
		route, organisation []string
		want                string
	}{
		"none":                 {nil, []string{}, "all"},
		"route only":           {[]string{"b", "a"}, nil, "a,b"},
		"organisation only":    {nil, []string{"c"}, "c"},
		"both":                 {[]string{"a", "b"}, []string{"b", "c"}, "b"},
		"nothing in common":    {[]string{"a"}, []string{"c"}, "none"},
		"list that is invalid": {[]string{InvalidList}, nil, "none"},
		"one invalid":          {[]string{InvalidList}, []string{"a"}, "none"},
		"empty name":           {[]string{""}, nil, "none"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			set := Listed(test.route).Intersect(Listed(test.organisation))
			c.Assert(set.String(), qt.Equals, test.want)
			c.Assert(set.Contains(""), qt.Equals, test.want == "all", qt.Commentf("servers of unknown failure domains"))
			c.Assert(set.Contains(InvalidList), qt.Equals, test.want == "all")
		})
	}
}

// Guards against work in a region that is not allowed or has no servers, and against
// instances that choose different regions for the same request.
func TestChooseRegion(t *testing.T) {
	servers := map[string]int{"a": 2, "b": 5, "c": 5, "empty": 0}
	for name, test := range map[string]struct {
		set  Set
		own  string
		want string
	}{
		"own":                     {Only([]string{"a", "b"}), "a", "a"},
		"own without servers":     {Only([]string{"a", "empty"}), "empty", "a"},
		"own not allowed":         {Only([]string{"c", "b"}), "a", "b"},
		"unbound":                 {Set{}, "a", "a"},
		"allowed without servers": {Only([]string{"empty"}), "a", ""},
		"nowhere":                 {Only(nil), "a", ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			region, ok := test.set.Choose(test.own, servers)
			c.Assert(region, qt.Equals, test.want)
			c.Assert(ok, qt.Equals, test.want != "")
		})
	}
}
