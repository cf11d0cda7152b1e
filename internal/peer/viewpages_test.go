package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// changingViews has a whole view, whose version and base are those of successive calls.
type changingViews struct {
	entries []store.Entry
	calls   []store.Changes
}

func (v *changingViews) ChangesAfter(store.Version) store.Changes {
	changes := v.calls[0]
	v.calls = v.calls[1:]
	changes.Changed = append(changes.Changed, v.entries...)
	return changes
}

func (*changingViews) Position() store.Version { return 7 }

// Guards against a view over the size of one response, which every pull from every peer fails
// to read, again and again, and against pages of different views that are taken for one.
func TestViewsOfAnySizeArePulledInPages(t *testing.T) {
	const entries, perPage = 10, 2
	at := func(version, base store.Version) store.Changes {
		return store.Changes{Base: base, WatchResult: store.WatchResult{Version: version, Deleted: []string{"gone"}}}
	}
	for _, test := range []struct {
		name  string
		calls []store.Changes
		ok    bool
	}{
		{"unchanged", []store.Changes{at(7, 6), at(7, 6), at(7, 6), at(7, 6), at(7, 6)}, true},
		{"newer later pages", []store.Changes{at(7, 6), at(8, 6), at(8, 6), at(9, 6), at(9, 6)}, true},
		{"removals were dropped", []store.Changes{at(7, 6), at(8, 0)}, false},
		{"restarted peer", []store.Changes{at(7, 0), at(5, 0)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			views := &changingViews{calls: test.calls}
			for i := range entries {
				views.entries = append(views.entries, store.Entry{Key: fmt.Sprintf("servers/%02d", i), Value: make([]byte, viewPageBytes/perPage-100), Version: 7})
			}
			rand.New(rand.NewPCG(1, 1)).Shuffle(entries, func(i, j int) { views.entries[i], views.entries[j] = views.entries[j], views.entries[i] })
			server := NewServer(nil)
			server.HandleViews(views)
			pulled, err := NewClient(nil).PullView(c.Context(), startServer(c, server), 6, callTimeout, nil)
			if !test.ok {
				c.Assert(err, qt.ErrorIs, errViewReplaced)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(pulled.Version, qt.Equals, store.Version(7))
			c.Assert(pulled.Deleted, qt.DeepEquals, []string{"gone"})
			c.Assert(pulled.Changed, qt.HasLen, entries)
			for i, e := range pulled.Changed {
				c.Check(e.Key, qt.Equals, fmt.Sprintf("servers/%02d", i))
			}
		})
	}
}

// Guards against an instance of an earlier release that takes the first page for the whole
// view, and drops all servers on the others.
func TestCallersWithoutPagesGetTheWholeView(t *testing.T) {
	c := qt.New(t)
	server := NewServer(nil)
	server.HandleViews(fakeViews{[]store.Entry{{Key: "a", Value: make([]byte, viewPageBytes), Version: 1}, {Key: "b", Value: make([]byte, viewPageBytes), Version: 2}}})
	response, err := server.PullView(c.Context(), &peerpb.PullViewRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(response.Entries, qt.HasLen, 2)
	c.Assert(response.NextAfterKey, qt.Equals, "")
}
