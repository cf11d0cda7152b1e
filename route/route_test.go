package route

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func newTable() *Table {
	return NewTable(Configuration{
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against requests that match a shorter prefix or the route of another host, and
// against paths that match a prefix only in part.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"A.Example:8080", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := newTable().Match(test.host, test.path); r != nil {
			got = r.Name
		}
		c.Check(got, qt.Equals, test.route, qt.Commentf("%s%s", test.host, test.path))
	}
}

// Guards against API keys that are attributed to the wrong organisation.
func TestKeysIdentifyTheirOrganisation(t *testing.T) {
	c := qt.New(t)
	c.Assert(newTable().Organisation("k2").Name, qt.Equals, "o")
	c.Assert(newTable().Organisation("k3"), qt.IsNil)
	c.Assert(newTable().Organisation(""), qt.IsNil)
}

// Guards against requests to a service of weight 0, and against requests without a
// service.
func TestServicesAreChosenByWeight(t *testing.T) {
	c := qt.New(t)
	r := Route{Split: []Weight{{"a", 90}, {"b", 10}, {"c", 0}}}
	c.Assert(r.ChooseService(0), qt.Equals, "a")
	c.Assert(r.ChooseService(0.899), qt.Equals, "a")
	c.Assert(r.ChooseService(0.9), qt.Equals, "b")
	c.Assert(r.ChooseService(0.9999), qt.Equals, "b")
	c.Assert((&Route{}).ChooseService(0.5), qt.Equals, "")
}

// Guards against a stage that does not get the results of earlier stages when a stage
// between them is omitted, and against final results that the model server does not
// get.
func TestGraphReplacesOmittedStagesByTheirDependencies(t *testing.T) {
	c := qt.New(t)
	r := Route{Stages: []Stage{{}, {After: []int{0}}, {After: []int{1}}}}
	g := r.NewGraph([]int{2, 0, 3})
	c.Assert(g.After[2], qt.DeepEquals, []int{0})
	c.Assert(g.Final, qt.DeepEquals, []int{2})
	c.Assert(r.NewGraph([]int{2, 1, 0}).Final, qt.DeepEquals, []int{1})
	c.Assert(r.NewGraph(nil).Empty(), qt.IsTrue)
}

// Guards against requests that are rejected for pieces that are allowed, or for those of stages
// that their route does not have.
func TestCheckPieces(t *testing.T) {
	c := qt.New(t)
	r := &Route{Stages: make([]Stage, 2)}
	c.Check(r.CheckPieces(nil), qt.IsNil)
	c.Check(r.CheckPieces([]int{MaxPieces, -5, MaxPieces + 1}), qt.IsNil)
	var limit *PieceLimitError
	c.Check(r.CheckPieces([]int{0, MaxPieces + 1}), qt.ErrorAs, &limit)
	c.Check(limit.Stage, qt.Equals, 1)
}
