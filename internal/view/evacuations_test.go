package view

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// removalOf returns the removal of a key at a version.
func removalOf(key string, version store.Version) store.WatchResult {
	result := watchResult(version)
	result.Deleted = []string{key}
	return result
}

// Guards against requests to the servers of an evacuated failure domain, against running answers
// and results there that are no longer found by the ID of their server, and against an instance
// that pulls the view and learns neither of the evacuation nor of its end, or that an older view
// makes forget it.
func TestEvacuationsReachPeers(t *testing.T) {
	c := qt.New(t)
	s, peer := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	s.Apply(epoch, watchResult(1, entry("config", "1", 1), entry("server/a", "x", 1)))
	older := s.ChangesAfter(0)
	change := s.Apply(epoch, watchResult(2, entry("evacuate/", "{}", 2), entry("evacuate/domain-of-x", "{}", 2)))
	c.Assert(change.Evacuated, qt.DeepEquals, []string{"domain-of-x"})
	c.Assert(change.Rejected, qt.HasLen, 1)
	peer.Merge(epoch, s.ChangesAfter(0))
	peer.Merge(epoch, older)
	for _, v := range []*View{s.View(), peer.View()} {
		c.Assert(v.IsEvacuated("domain-of-x"), qt.IsTrue)
		c.Assert(v.Servers, qt.HasLen, 0)
		_, listed := v.ByID("a")
		c.Assert(listed, qt.IsTrue)
	}
	s.Apply(epoch, watchResult(3, entry("server/b", "x", 3)))
	c.Assert(s.View().Servers, qt.HasLen, 0)
	c.Assert(s.Apply(epoch, removalOf("evacuate/domain-of-x", 4)).Returned, qt.DeepEquals, []string{"domain-of-x"})
	peer.Merge(epoch, s.ChangesAfter(2))
	for _, v := range []*View{s.View(), peer.View()} {
		c.Assert(v.Evacuated, qt.HasLen, 0)
		c.Assert(v.Servers["x"], qt.HasLen, 2)
	}
}

// Guards against an evacuation that ends because the store was restored from a backup without
// it, before the operator could write it again, and against one that never ends after that.
func TestEvacuationOutlastsARestoredStore(t *testing.T) {
	c := qt.New(t)
	s := NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("config", "1", 1), entry("evacuate/d", "{}", 1)}, store.NewVersion(1, 5))
	restored := s.Replace(epoch, []store.Entry{entry("config", "1", 1)}, store.NewVersion(2, 3))
	c.Assert(restored.Returned, qt.HasLen, 0)
	c.Assert(s.Tick(epoch.Add(reregisterGracePeriod/2)).Any(), qt.IsFalse)
	c.Assert(s.View().IsEvacuated("d"), qt.IsTrue)
	c.Assert(s.Tick(epoch.Add(reregisterGracePeriod)).Returned, qt.DeepEquals, []string{"d"})
	c.Assert(s.View().IsEvacuated("d"), qt.IsFalse)
}

// Guards against an evacuation that ends at the peers of a reader although the operator has
// written it again to a restored store, because it never ended at the reader.
func TestEvacuationThatIsWrittenAgainReachesPeers(t *testing.T) {
	c := qt.New(t)
	s, peer := NewState(fakeDecoder{}), NewState(fakeDecoder{})
	s.Replace(epoch, []store.Entry{entry("config", "1", 1), entry("evacuate/d", "{}", 1)}, store.NewVersion(1, 5))
	peer.Merge(epoch, s.ChangesAfter(0))
	s.Replace(epoch, []store.Entry{entry("config", "1", 1)}, store.NewVersion(2, 3))
	s.Apply(epoch, watchResult(store.NewVersion(2, 4), entry("server/a", "x", store.NewVersion(2, 4))))
	peer.Merge(epoch, s.ChangesAfter(peer.Position()))
	again := store.NewVersion(2, 5)
	s.Apply(epoch, watchResult(again, entry("evacuate/d", "{}", again)))
	c.Assert(s.View().Version, qt.Equals, again) // peers pull the versions of views
	peer.Merge(epoch, s.ChangesAfter(peer.Position()))
	peer.Tick(epoch.Add(reregisterGracePeriod))
	c.Assert(peer.View().IsEvacuated("d"), qt.IsTrue)
}
